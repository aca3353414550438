package fuzzing

import (
	"bytes"
	"errors"
	"testing"
)

// maxForms limits the damaged forms of one seed for each kind of damage, so that ordinary test runs stay short.
// A text shorter than twice this value is damaged at every byte, so it can have nearly twice as many forms.
const maxForms = 60

// Damage returns the damaged forms of a text: truncated, with a byte removed, duplicated or with a
// bit flipped, and with its two parts swapped. It is deterministic, and the forms share no memory
// with the text.
func Damage(text []byte) [][]byte {
	forms := [][]byte{}
	step := max(1, len(text)/maxForms)
	for offset := 0; offset < len(text); offset += step {
		head, rest := text[:offset], text[offset+1:]
		flipped := bytes.Clone(text)
		// A flipped bit turns a letter into another letter, and a quote or bracket into another character.
		flipped[offset] ^= 1 << (offset % 8)
		forms = append(forms, bytes.Clone(head), flipped,
			append(bytes.Clone(head), rest...),
			append(append(bytes.Clone(text[:offset+1]), text[offset]), rest...),
			append(append([]byte{}, text[offset:]...), head...))
	}
	return forms
}

// Seed adds texts and their damaged forms to the corpus of a fuzz test with one argument of type []byte.
func Seed(f *testing.F, texts ...string) {
	f.Helper()
	for _, text := range texts {
		f.Add([]byte(text))
		for _, form := range Damage([]byte(text)) {
			f.Add(form)
		}
	}
}

// SeedPairs adds pairs of texts to the corpus of a fuzz test with two arguments of type []byte, unchanged and with
// one of the two texts damaged.
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

// Is reports whether an error is of the type E or wraps one. Its instances are arguments of RequireErrorType.
func Is[E error](err error) bool {
	var typed E
	return errors.As(err, &typed)
}

// RequireErrorType fails the test if an error is not nil and of none of the types that a parser promises. The
// types are instances of Is.
func RequireErrorType(tb testing.TB, err error, types ...func(error) bool) {
	tb.Helper()
	if err == nil {
		return
	}
	for _, isType := range types {
		if isType(err) {
			return
		}
	}
	tb.Fatalf("the parser returned an error of an unexpected type: %T: %v", err, err)
}
