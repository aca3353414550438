package relay

import (
	"fmt"

	"dunlinloom/internal/kernel"
)

// An engine that failed is ejected for a time that doubles with each failure in a row.
const (
	baseEjectionTime = 500 * kernel.Millisecond
	maxEjectionTime  = 5 * kernel.Second
	maxDoublings     = 8
)

// isEjected tells that an engine gets no requests now: it failed lately, or one request is trying
// whether it serves again. Another start is another process, of which no failure is known.
func (s *engineState) isEjected(now kernel.Micros, start uint64) bool {
	return s.start == start && s.failures > 0 && (now < s.ejectedUntil || s.isProbing)
}

// recordOutcome keeps the engine's record of failures.
func (d *Dispatcher) recordOutcome(now kernel.Micros, state *engineState, attempt *Attempt, outcome Outcome, why string) {
	if state.start != attempt.Engine.Start {
		return
	}
	state.isProbing = false
	switch outcome {
	case NotSent, ConnectionLost:
		state.failures++
		ejectionTime := min(baseEjectionTime<<min(state.failures-1, maxDoublings), maxEjectionTime)
		state.ejectedUntil = now + ejectionTime
		d.record(now, "engine "+attempt.Engine.ID, "broken", fmt.Sprintf("%s; left alone for %d us", why, ejectionTime))
	case Served, RejectedByEngine:
		if state.failures > 0 {
			d.record(now, "engine "+attempt.Engine.ID, "mended", "it answered again")
		}
		state.failures = 0
	}
}

// ResponseStarted notes that the engine of the call's attempt has begun to answer, which ends its ejection.
func (d *Dispatcher) ResponseStarted(call *Call) {
	d.lock.Lock()
	defer d.lock.Unlock()
	state := d.state(call.Attempt.Engine.ID)
	if state.start == call.Attempt.Engine.Start {
		state.failures, state.isProbing = 0, false
	}
}
