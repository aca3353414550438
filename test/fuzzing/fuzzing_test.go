package fuzzing

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDamageIsBoundedTheSameEachTimeAndDamage(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, 2, 59, 60, 61, 5000} {
		text := make([]byte, size)
		for i := range text {
			text[i] = byte(i * 7)
		}
		whole := bytes.Clone(text)
		forms := Damage(text)
		c.Assert(bytes.Equal(text, whole), qt.IsTrue)
		c.Assert(reflect.DeepEqual(Damage(text), forms), qt.IsTrue)
		c.Assert(len(forms) >= min(size, maxForms), qt.IsTrue)
		c.Assert(len(forms) <= 10*maxForms, qt.IsTrue)
		damaged := 0
		for _, form := range forms {
			if !bytes.Equal(form, whole) {
				damaged++
			}
		}
		// Of five forms only the swap can leave a text as it is, at its first byte.
		c.Assert(damaged >= len(forms)-1, qt.IsTrue)
	}
}

// recorder keeps a failure to itself.
type recorder struct {
	testing.TB
	hasFailed bool
}

func (r *recorder) Helper() {}

func (r *recorder) Fatalf(string, ...any) { r.hasFailed = true }

func TestOnlyAllowedTypesOfErrorsPass(t *testing.T) {
	c := qt.New(t)
	for _, example := range []struct {
		err       error
		hasFailed bool
	}{
		{nil, false}, {&fs.PathError{}, false}, {fmt.Errorf("read: %w", &fs.PathError{}), false}, {errors.New("read"), true},
	} {
		judge := &recorder{}
		FailsAs(judge, example.err, Is[*fs.PathError])
		c.Assert(judge.hasFailed, qt.Equals, example.hasFailed)
	}
}
