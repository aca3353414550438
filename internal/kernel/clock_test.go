package kernel

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTheBootClockNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	last := BootClock{}.Now()
	for range 1000 {
		next := BootClock{}.Now()
		c.Assert(next >= last, qt.IsTrue)
		last = next
	}
}
