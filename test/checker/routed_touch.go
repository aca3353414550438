package checker

import (
	"sort"

	"dunlinloom/internal/kernel"
)

// disconnection is a time in which a router was not in touch.
type disconnection struct{ from, till kernel.Micros }

// disconnections holds these times by router; those under no name hold for all.
type disconnections map[string][]disconnection

// never is later than any event.
const never = kernel.Micros(1 << 62)

// disconnectionsOf gathers the times from events in their order. Those of one router may overlap.
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
				found[event.Router] = append(found[event.Router], disconnection{since[event.Router], event.At})
			}
		}
	}
	for router, count := range open {
		if count > 0 {
			found[router] = append(found[router], disconnection{since[router], never})
		}
	}
	return found
}

// isOut tells whether a router was out of touch at any time of a span.
func (o disconnections) isOut(router string, from, till kernel.Micros) bool {
	for _, spans := range [][]disconnection{o[router], o[""]} {
		for _, span := range spans {
			if span.from <= till && span.till >= from {
				return true
			}
		}
	}
	return false
}

// isDisconnected tells whether the router of a try was out of touch at a moment, or within the contact
// span before it.
func (j *routedChecker) isDisconnected(id string, at kernel.Micros) bool {
	attempt := j.attempts[id]
	return attempt != nil && j.disconnections.isOut(attempt.sent.Router, at-j.bounds.ContactTimeout, at)
}

// Figures of the rules below: what is forgiven, and the time after which an engine should not begin on
// a request whose caller has left.
const (
	toleratedKeepAliveDrops = 3
	toleratedAbandoned      = 5
	cancelTimeout           = kernel.Second / 2
)

// keptAlive counts the requests that a router in touch passed on from a kept connection to a sound engine and
// then left without any answer.
func (j *routedChecker) keptAlive(events []RoutedEvent) {
	faulty := map[string]bool{}
	for _, event := range events {
		if event.EventKind == EngineCrashed || event.EventKind == FaultStarted && event.Engine != "" {
			faulty[event.Engine] = true
		}
	}
	dropped := 0
	for _, id := range j.order {
		attempt := j.attempts[id]
		over := attempt.ended
		if over == nil || over.Ending != NoAnswer || !attempt.sent.IsKeepAlive || len(attempt.arrivals) == 0 || attempt.brokeOff {
			continue
		}
		isSound := true
		for _, arrival := range attempt.arrivals {
			isSound = isSound && !faulty[arrival.Engine]
		}
		if !isSound || j.disconnections.isOut(attempt.sent.Router, attempt.sent.At-j.bounds.ContactTimeout, over.At) {
			continue
		}
		if dropped++; dropped > toleratedKeepAliveDrops {
			j.violation(KeepAliveDropped, over.At, "%s through %s at %s: %s", id, attempt.sent.Router, attempt.arrivals[0].Engine, over.Why)
		}
	}
}

// abandoned counts the requests that reach an engine after their caller has left.
func (j *routedChecker) abandoned() {
	late := []RoutedEvent{}
	for _, id := range j.order {
		attempt := j.attempts[id]
		if attempt.ended == nil || attempt.ended.Ending != Canceled {
			continue
		}
		for _, arrival := range attempt.arrivals {
			if arrival.At > attempt.ended.At+cancelTimeout && !j.isDisconnected(id, arrival.At) {
				late = append(late, arrival)
			}
		}
	}
	if len(late) <= toleratedAbandoned {
		return
	}
	sort.Slice(late, func(a, b int) bool { return late[a].At < late[b].At })
	last := late[len(late)-1]
	j.violation(AbandonedRequestsDelivered, last.At, "%d of them, the last %s at %s", len(late), last.ID, last.Engine)
}
