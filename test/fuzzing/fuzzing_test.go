package fuzzing

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"reflect"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDamageIsBoundedAndTheSameEachTime(t *testing.T) {
	for _, size := range []int{0, 1, 2, 59, 60, 61, 5000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			c := qt.New(t)
			text := make([]byte, size)
			for i := range text {
				text[i] = byte(i * 7)
			}
			original := bytes.Clone(text)
			forms := Damage(text)
			c.Assert(bytes.Equal(text, original), qt.IsTrue)
			c.Assert(reflect.DeepEqual(Damage(text), forms), qt.IsTrue)
			c.Assert(len(forms) >= min(size, maxForms), qt.IsTrue)
			c.Assert(len(forms) <= 10*maxForms, qt.IsTrue)
			damaged := 0
			for _, form := range forms {
				if !bytes.Equal(form, original) {
					damaged++
				}
			}
			// Only the swap at the first byte leaves the text unchanged.
			c.Assert(damaged >= len(forms)-1, qt.IsTrue)
		})
	}
}

// recorder records a failure instead of reporting it.
type recorder struct {
	testing.TB
	hasFailed bool
}

func (r *recorder) Helper() {}

func (r *recorder) Fatalf(string, ...any) { r.hasFailed = true }

func TestOnlyAllowedTypesOfErrorsPass(t *testing.T) {
	for _, example := range []struct {
		name      string
		err       error
		hasFailed bool
	}{
		{"no error", nil, false},
		{"an error of the type", &fs.PathError{}, false},
		{"a wrapped error of the type", fmt.Errorf("read: %w", &fs.PathError{}), false},
		{"an error of another type", errors.New("read"), true},
	} {
		t.Run(example.name, func(t *testing.T) {
			recorded := &recorder{}
			RequireErrorType(recorded, example.err, Is[*fs.PathError])
			qt.Assert(t, recorded.hasFailed, qt.Equals, example.hasFailed)
		})
	}
}
