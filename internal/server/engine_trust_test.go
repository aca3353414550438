package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// fixedClock is a clock that always returns the same time.
type fixedClock kernel.Micros

func (c fixedClock) Now() kernel.Micros { return kernel.Micros(c) }

// The deadline left by the control plane's last event ends the trust in the list of engines even if no event follows. Zero
// means no deadline.
func TestEngineViewIsTrustedUntilItsDeadline(t *testing.T) {
	for _, test := range []struct {
		now, until kernel.Micros
		isTrusted  bool
	}{{10, 0, true}, {10, 11, true}, {10, 10, false}, {1 << 60, 10, false}} {
		runner := &Runner{env: kernel.Env{Clock: fixedClock(test.now)}}
		runner.enginesTrustedUntil.Store(int64(test.until))
		qt.Check(t, runner.MayTrustEngines(), qt.Equals, test.isTrusted, qt.Commentf("at %d, until %d", test.now, test.until))
	}
}
