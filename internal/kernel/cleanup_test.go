package kernel

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

type stepFailedError struct{ step int }

func (stepFailedError) Error() string { return "a step failed" }

func TestCleanUpRunsInReverseAndJoinsFailures(t *testing.T) {
	c := qt.New(t)
	var cleanup Cleanup
	order := []int{}
	for i := range 3 {
		cleanup.Defer(func() error {
			order = append(order, i)
			if i == 1 {
				return stepFailedError{i}
			}
			return nil
		})
	}
	err := cleanup.Run()
	c.Assert(order, qt.DeepEquals, []int{2, 1, 0})
	c.Assert(errors.Is(err, stepFailedError{1}), qt.IsTrue)
	// Steps run once.
	c.Assert(cleanup.Run(), qt.IsNil)
	c.Assert(order, qt.HasLen, 3)
}
