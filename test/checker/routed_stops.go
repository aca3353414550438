package checker

// Rules about draining engines and planned stops in a routed fleet.

import (
	"net/http"

	"dunlinloom/internal/kernel"
)

// checkDrains checks that no request arrives at an engine long after its drain was acknowledged, unless the
// engine rejects it.
func (c *routedChecker) checkDrains(events []RoutedEvent) {
	known := map[string]kernel.Micros{}
	rejected := map[string]bool{}
	for _, event := range events {
		if event.EventKind == Rejected && event.Status == http.StatusMisdirectedRequest {
			rejected[event.Engine+" "+event.ID] = true
		}
	}
	for _, event := range events {
		switch event.EventKind {
		case DrainAcknowledged:
			if _, isKnown := known[event.Engine]; !isKnown {
				known[event.Engine] = event.At
			}
		case Arrived:
			since, isKnown := known[event.Engine]
			if isKnown && event.At-since > c.bounds.DrainTimeout && !rejected[event.Engine+" "+event.ID] && !c.isDisconnected(event.ID, event.At) {
				c.violation(DrainingEngineUsed, event.At, "%s at %s, %d us after it was known to leave", event.ID, event.Engine, event.At-since)
			}
		}
	}
}

// An engine may be cut off by a stop in the last part of the grace period, 1 of lastParts, on requests that
// were sent in the first time of the stop.
const (
	lastParts         = 6
	shutdownStartSpan = 3 * kernel.Second
)

// faultSpans gives the times of faults, and the time of the planned stop of each router.
func faultSpans(events []RoutedEvent) (faults []timeSpan, stops map[string]kernel.Micros) {
	open, last := map[string]kernel.Micros{}, kernel.Micros(0)
	stops = map[string]kernel.Micros{}
	for _, event := range events {
		last = event.At
		key := event.Why + event.Engine + event.Router
		switch event.EventKind {
		case FaultStarted:
			open[key] = event.At
		case FaultEnded:
			faults = append(faults, timeSpan{open[key], event.At})
			delete(open, key)
		case RouterStopping:
			stops[event.Router] = event.At
		}
	}
	for _, from := range open {
		faults = append(faults, timeSpan{from, last})
	}
	return faults, stops
}

// checkStops looks for requests that a planned stop dropped. What an engine broke off, what ran
// out of time, and what was near a fault is not due to the stop.
func (c *routedChecker) checkStops(events []RoutedEvent) {
	faults, stops := faultSpans(events)
	for _, id := range c.order {
		attempt := c.attempts[id]
		stop, isStopping := stops[attempt.sent.Router]
		if !isStopping || !c.isDroppedDuring(stop, attempt) {
			continue
		}
		end, isNear := attempt.ended, false
		for _, fault := range faults {
			isNear = isNear || fault.from <= end.At && fault.to >= attempt.sent.At-c.bounds.ContactTimeout
		}
		if !isNear {
			c.violation(ShutdownDroppedRequest, end.At, "%s through %s: %s %s", id, attempt.sent.Router, end.Ending, end.Why)
		}
	}
}

// isDroppedDuring reports whether the router's planned stop, from the time stop on, is what left an attempt
// without a complete answer, unless a fault did.
func (c *routedChecker) isDroppedDuring(stop kernel.Micros, attempt *routedAttempt) bool {
	sent, end := attempt.sent, attempt.ended
	if end == nil || end.Ending != Incomplete && end.Ending != NoAnswer || attempt.hasAborted {
		return false
	}
	if end.At < stop || sent.At > stop+c.bounds.GracePeriod+kernel.Second || end.At >= sent.Deadline {
		return false
	}
	if len(attempt.arrivals) == 0 && end.At <= sent.At+c.bounds.Slack {
		return false
	}
	// The engine may still have been at work in the last part.
	isInTime := sent.At <= stop+shutdownStartSpan
	isInLastPart := end.At > stop+c.bounds.GracePeriod*(lastParts-1)/lastParts
	return !isInTime || !isInLastPart || len(attempt.runs) == 0
}
