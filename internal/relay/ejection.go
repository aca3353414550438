package relay

import (
	"fmt"

	"dunlinloom/internal/kernel"
)

// The ejection time of an engine doubles with each consecutive failure, up to a maximum.
const (
	baseEjectionTime = 500 * kernel.Millisecond
	maxEjectionTime  = 5 * kernel.Second
	maxDoublings     = 8
)

// isEjected reports whether the engine gets no requests now, either because it failed recently or because one request
// is already probing whether it serves again. Failures count only for the engine process in which they occurred; start
// is the start number of the current process.
func (s *engineState) isEjected(now kernel.Micros, start uint64) bool {
	return s.start == start && s.failures > 0 && (now < s.ejectedUntil || s.isProbing)
}

// recordOutcome updates the engine's count of consecutive failures with the outcome of an attempt. NotSent and
// ConnectionLost are failures, Served and RejectedByEngine reset the count, and the other outcomes leave it unchanged.
// Attempts at an earlier process of the engine are ignored.
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
		d.record(now, "engine "+attempt.Engine.ID, "broken", fmt.Sprintf("%s; ejected for %d us", why, ejectionTime))
	case Served, RejectedByEngine:
		if state.failures > 0 {
			d.record(now, "engine "+attempt.Engine.ID, "mended", "it responded again")
		}
		state.failures = 0
	}
}

// ResponseStarted records that the engine of the call's attempt has begun to respond, which ends its ejection. A
// response of an earlier process of the engine is ignored.
func (d *Dispatcher) ResponseStarted(call *Call) {
	d.lock.Lock()
	defer d.lock.Unlock()
	state := d.state(call.Attempt.Engine.ID)
	if state.start == call.Attempt.Engine.Start {
		state.failures, state.isProbing = 0, false
	}
}
