package fuzzing

import (
	"bytes"
	"errors"
	"testing"
)

// maxForms bounds the damaged forms of one seed of each sort, so that ordinary test runs stay short.
// A text of fewer than twice as many bytes is damaged at each, so that it may have nearly twice as many forms.
const maxForms = 60

// Damage gives the damaged forms of a text: cut off, with a byte removed, doubled or with a
// bit flipped, and with its parts swapped. The same text always gives the same forms, none
// of which shares memory with it.
func Damage(text []byte) [][]byte {
	forms := [][]byte{}
	step := max(1, len(text)/maxForms)
	for offset := 0; offset < len(text); offset += step {
		head, rest := text[:offset], text[offset+1:]
		flipped := bytes.Clone(text)
		// Makes other letters of letters, and other characters of quotes and brackets.
		flipped[offset] ^= 1 << (offset % 8)
		forms = append(forms, bytes.Clone(head), flipped,
			append(bytes.Clone(head), rest...),
			append(append(bytes.Clone(text[:offset+1]), text[offset]), rest...),
			append(append([]byte{}, text[offset:]...), head...))
	}
	return forms
}

// Seed adds texts, as they are and damaged, to a fuzz test of one argument of type []byte.
func Seed(f *testing.F, texts ...string) {
	f.Helper()
	for _, text := range texts {
		f.Add([]byte(text))
		for _, form := range Damage([]byte(text)) {
			f.Add(form)
		}
	}
}

// SeedPairs adds pairs of texts, as they are and with one of the two damaged, to a fuzz test of two
// arguments of type []byte.
func SeedPairs(f *testing.F, pairs ...[2]string) {
	f.Helper()
	for _, pair := range pairs {
		first, second := []byte(pair[0]), []byte(pair[1])
		f.Add(first, second)
		for _, form := range Damage(first) {
			f.Add(form, second)
		}
		for _, form := range Damage(second) {
			f.Add(first, form)
		}
	}
}

// Is reports whether an error is of the type E, or wraps one: a type for FailsAs.
func Is[E error](err error) bool {
	var typed E
	return errors.As(err, &typed)
}

// FailsAs ends the test if an error is of none of the types that a parser promises; nil is no error. The
// types are instances of Is.
func FailsAs(tb testing.TB, err error, types ...func(error) bool) {
	tb.Helper()
	if err == nil {
		return
	}
	for _, isType := range types {
		if isType(err) {
			return
		}
	}
	tb.Fatalf("an error of no promised type: %T: %v", err, err)
}
