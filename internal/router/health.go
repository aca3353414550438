package router

import (
	"dunlinloom/internal/kernel"
)

// Durations of an engine's ejection.
const (
	baseEjectionTime          = 300 * kernel.Millisecond // after the first failure; doubled by each further failure
	maxEjectionTime           = 3 * kernel.Second
	maxEjectionDoublings      = 6
	nonRepeatableEjectionTime = 2 * kernel.Second       // added for requests that may run only once
	overloadEjectionTime      = 50 * kernel.Millisecond // after an engine rejected a request
)

// isAvoided reports whether an engine gets the call's request only if no other engine can take it. That is the case if
// the engine is unresponsive or ejected. It is also the case if the engine has failed and another request is probing
// it, or this request must not be its probe (see isTooRisky).
func (c *Chooser) isAvoided(now kernel.Micros, state *engineState, call *Call) bool {
	if state.engine.IsUnresponsive || now < state.ejectedUntil {
		return true
	}
	return state.failures > 0 && (state.isProbing || isTooRisky(now, state, call))
}

// isTooRisky reports whether a request must not be the probe of an engine that failed, because it may run only once and
// would be lost if the engine has not recovered. nonRepeatableEjectionTime after the ejection it may be the probe.
func isTooRisky(now kernel.Micros, state *engineState, call *Call) bool {
	return !call.Request.Route.IsRepeatable() && now < state.ejectedUntil+nonRepeatableEjectionTime
}

// recordOutcome updates an engine's failures and its ejection. A failure ejects the engine for a time that doubles with
// each further one. A rejection by the engine is no failure, but ejects it for overloadEjectionTime.
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
	case CallerDisconnected, Withheld, RouterStopped, Superseded:
		s.isProbing = false
	}
}

// recover ends an engine's ejection and its series of failures after a response.
func (s *engineState) recover() { s.failures, s.isProbing, s.ejectedUntil = 0, false, 0 }

// HasSeenSince reports whether anything was received from an engine at or after a moment of the Env's clock.
func (c *Chooser) HasSeenSince(id string, moment kernel.Micros) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := c.engines[id]
	return state != nil && state.lastSeenAt >= moment
}
