// Package fuzzing holds what the fuzz tests of parsers have in common: seeds with their
// damaged forms, which run in every ordinary test run, and the rule on how a parser
// may fail.
package fuzzing

import (
	"bytes"
	"errors"
	"testing"
)

// Most damaged forms of one seed of each sort, so that ordinary test runs stay short.
const maxForms = 60

// Damage gives the damaged forms of a text: cut off, with a byte taken out, doubled or
// flipped, and with its parts swapped. The same text always gives the same forms.
func Damage(text []byte) [][]byte {
	forms := [][]byte{}
	step := max(1, len(text)/maxForms)
	for at := 0; at < len(text); at += step {
		head, rest := text[:at], text[at+1:]
		flipped := bytes.Clone(text)
		// Turns letters into other letters, quotes and brackets into something else.
		flipped[at] ^= 1 << (at % 8)
		forms = append(forms, bytes.Clone(head), flipped,
			append(bytes.Clone(head), rest...),
			append(append(bytes.Clone(text[:at+1]), text[at]), rest...),
			append(append([]byte{}, text[at:]...), head...))
	}
	return forms
}

// Seed adds texts, whole and damaged, to a fuzz test of one argument.
func Seed(f *testing.F, texts ...string) {
	for _, text := range texts {
		f.Add([]byte(text))
		for _, form := range Damage([]byte(text)) {
			f.Add(form)
		}
	}
}

// SeedPairs adds pairs of texts, each with damage done to one of the two.
func SeedPairs(f *testing.F, pairs ...[2]string) {
	for _, pair := range pairs {
		one, two := []byte(pair[0]), []byte(pair[1])
		f.Add(one, two)
		for _, form := range Damage(one) {
			f.Add(form, two)
		}
		for _, form := range Damage(two) {
			f.Add(one, form)
		}
	}
}

// Is is a rule that an error of this type may come out of a parser.
func Is[E error](err error) bool {
	var typed E
	return errors.As(err, &typed)
}

// FailsAs holds that an error is of one of the types that a parser promises; nil is fine.
func FailsAs(t testing.TB, err error, types ...func(error) bool) {
	t.Helper()
	if err == nil {
		return
	}
	for _, is := range types {
		if is(err) {
			return
		}
	}
	t.Fatalf("an error of no promised type: %T: %v", err, err)
}
