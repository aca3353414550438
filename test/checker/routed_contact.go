package checker

import (
	"sort"

	"dunlinloom/internal/kernel"
)

// period is a time interval, including both ends.
type period struct{ from, till kernel.Micros }

// disconnections holds, by router, the periods in which it was disconnected from the control plane. Those under the
// empty name apply to all routers.
type disconnections map[string][]period

// never is later than any event.
const never = kernel.Micros(1 << 62)

// disconnectionsOf collects the disconnections from events sorted by time. Overlapping ones of a router are
// merged.
func disconnectionsOf(events []RoutedEvent) disconnections {
	found, open, since := disconnections{}, map[string]int{}, map[string]kernel.Micros{}
	for _, event := range events {
		switch event.EventKind {
		case ContactLost:
			if open[event.Router]++; open[event.Router] == 1 {
				since[event.Router] = event.At
			}
		case ContactRestored:
			if open[event.Router]--; open[event.Router] == 0 {
				found[event.Router] = append(found[event.Router], period{since[event.Router], event.At})
			}
		}
	}
	for router, count := range open {
		if count > 0 {
			found[router] = append(found[router], period{since[router], never})
		}
	}
	return found
}

// isDisconnected reports whether a router was disconnected at any time within a span.
func (d disconnections) isDisconnected(router string, from, till kernel.Micros) bool {
	for _, spans := range [][]period{d[router], d[""]} {
		for _, span := range spans {
			if span.from <= till && span.till >= from {
				return true
			}
		}
	}
	return false
}

// isDisconnected reports whether the router of an attempt was disconnected at a time or within the contact
// timeout before it.
func (c *routedChecker) isDisconnected(id string, at kernel.Micros) bool {
	attempt := c.attempts[id]
	return attempt != nil && c.disconnections.isDisconnected(attempt.sent.Router, at-c.bounds.ContactTimeout, at)
}

// The limits of the rules below: how many requests are tolerated, and the time after which a request whose
// caller canceled must not reach an engine.
const (
	toleratedKeepAliveDrops = 3
	toleratedAbandoned      = 5
	cancelTimeout           = kernel.Second / 2
)

// checkKeepAlive checks how many requests on reused connections got no response although their router was
// connected to the control plane and their engine had no fault.
func (c *routedChecker) checkKeepAlive(events []RoutedEvent) {
	faulty := map[string]bool{}
	for _, event := range events {
		if event.EventKind == EngineCrashed || event.EventKind == FaultStarted && event.Engine != "" {
			faulty[event.Engine] = true
		}
	}
	dropped := 0
	for _, id := range c.order {
		attempt := c.attempts[id]
		end := attempt.ended
		if end == nil || end.Ending != NoAnswer || !attempt.sent.IsKeepAlive || len(attempt.arrivals) == 0 || attempt.hasAborted {
			continue
		}
		isFaultless := true
		for _, arrival := range attempt.arrivals {
			isFaultless = isFaultless && !faulty[arrival.Engine]
		}
		if !isFaultless || c.disconnections.isDisconnected(attempt.sent.Router, attempt.sent.At-c.bounds.ContactTimeout, end.At) {
			continue
		}
		if dropped++; dropped > toleratedKeepAliveDrops {
			c.violation(KeepAliveDropped, end.At, "%s through %s, which arrived at %s: %s", id, attempt.sent.Router, attempt.arrivals[0].Engine, end.Why)
		}
	}
}

// checkAbandoned checks how many requests reached an engine more than cancelTimeout after their caller canceled.
func (c *routedChecker) checkAbandoned() {
	late := []RoutedEvent{}
	for _, id := range c.order {
		attempt := c.attempts[id]
		if attempt.ended == nil || attempt.ended.Ending != Canceled {
			continue
		}
		for _, arrival := range attempt.arrivals {
			if arrival.At > attempt.ended.At+cancelTimeout && !c.isDisconnected(id, arrival.At) {
				late = append(late, arrival)
			}
		}
	}
	if len(late) <= toleratedAbandoned {
		return
	}
	sort.Slice(late, func(a, b int) bool { return late[a].At < late[b].At })
	last := late[len(late)-1]
	c.violation(AbandonedRequestsDelivered, last.At, "%d requests, the last one %s at %s", len(late), last.ID, last.Engine)
}
