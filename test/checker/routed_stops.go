package checker

// Rules about draining engines and planned stops in a routed fleet.

import (
	"net/http"

	"dunlinloom/internal/kernel"
)

// checkDrains checks that no request arrives at an engine more than DrainTimeout after its drain was
// acknowledged. Requests that the engine rejects, those from disconnected routers, and those that a cut may have held up
// within ContactTimeout do not count.
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
			if isKnown && event.At-since > c.bounds.DrainTimeout && !rejected[event.Engine+" "+event.ID] && !c.isDisconnected(event.ID, event.At) &&
				!c.cuts.isCut(event.Engine, event.At-c.bounds.ContactTimeout, event.At) {
				c.violation(DrainingEngineUsed, event.At, "%s arrived at %s %d us after its drain was acknowledged", event.ID, event.Engine, event.At-since)
			}
		}
	}
}

// A planned stop may cut off a request that an engine is still running in the last of the gracePeriodParts equal parts
// of the grace period. The request must have been sent at most shutdownStartSpan after the stop began.
const (
	gracePeriodParts  = 6
	shutdownStartSpan = 3 * kernel.Second
)

// faultSpans returns the periods of faults and the time of the planned stop of each router.
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

// checkStops checks that a planned stop drops no request. Requests that an engine broke off, that reached
// their deadline, or that were in flight near a fault are not attributed to the stop.
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

// isDroppedDuring reports whether an attempt got no complete response because of the router's planned stop,
// which began at the time stop. It does not consider faults.
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
	// The engine may still have been running the request in the last part of the grace period.
	isInTime := sent.At <= stop+shutdownStartSpan
	isInLastPart := end.At > stop+c.bounds.GracePeriod*(gracePeriodParts-1)/gracePeriodParts
	return !isInTime || !isInLastPart || len(attempt.runs) == 0
}
