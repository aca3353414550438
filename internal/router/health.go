package router

import (
	"dunlinloom/internal/kernel"
)

// Spans of an engine's ejection.
const (
	baseEjectionTime          = 300 * kernel.Millisecond // of an engine that failed once; doubled with each further failure
	maxEjectionTime           = 3 * kernel.Second
	maxEjectionDoublings      = 6
	nonRepeatableEjectionTime = 2 * kernel.Second       // and so much longer by requests that may run once only
	overloadEjectionTime      = 50 * kernel.Millisecond // of one that rejected a request
)

// isAvoided reports whether an engine gets a request only if no other can: it is unresponsive, ejected, or
// probed by another request already.
func (c *Chooser) isAvoided(now kernel.Micros, state *engineState, call *Call) bool {
	if state.engine.IsUnresponsive || now < state.ejectedUntil {
		return true
	}
	return state.failures > 0 && (state.isProbing || isTooRisky(now, state, call))
}

// isTooRisky reports whether a request should not be the probe of an engine that failed: one that may run
// once only is lost if the engine has not recovered.
func isTooRisky(now kernel.Micros, state *engineState, call *Call) bool {
	return !call.Request.Route.IsRepeatable() && now < state.ejectedUntil+nonRepeatableEjectionTime
}

// recordOutcome keeps the engine's record of failures.
func (s *engineState) recordOutcome(now kernel.Micros, outcome Outcome) {
	switch outcome {
	case NotSent, ConnectionLost, Unresponsive, AddressReused:
		s.isProbing = false
		s.failures++
		s.ejectedUntil = now + min(baseEjectionTime<<min(s.failures-1, maxEjectionDoublings), maxEjectionTime)
	case RejectedByEngine:
		s.isProbing = false
		s.ejectedUntil = max(s.ejectedUntil, now+overloadEjectionTime)
	case Served, Failed:
		s.recover()
	case CallerDisconnected, Withheld:
		s.isProbing = false
	}
}

// recover ends an engine's ejection: it has answered.
func (s *engineState) recover() { s.failures, s.isProbing, s.ejectedUntil = 0, false, 0 }

// HasSeenSince reports whether anything came from an engine at or after a time of the Env's clock.
func (c *Chooser) HasSeenSince(id string, moment kernel.Micros) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := c.engines[id]
	return state != nil && state.lastSeenAt >= moment
}
