package checker

import (
	"sort"

	"dunlinloom/internal/kernel"
)

// touchSpan is a time in which a router was not in touch.
type touchSpan struct{ from, till kernel.Micros }

// outOfTouch holds these times by router; those under no name hold for all.
type outOfTouch map[string][]touchSpan

// never is later than any event.
const never = kernel.Micros(1 << 62)

// outOfTouchOf gathers the times from events in their order. Those of one router may overlap.
func outOfTouchOf(events []RoutedEvent) outOfTouch {
	found, open, since := outOfTouch{}, map[string]int{}, map[string]kernel.Micros{}
	for _, event := range events {
		switch event.What {
		case TouchLost:
			if open[event.Router]++; open[event.Router] == 1 {
				since[event.Router] = event.At
			}
		case TouchBack:
			if open[event.Router]--; open[event.Router] == 0 {
				found[event.Router] = append(found[event.Router], touchSpan{since[event.Router], event.At})
			}
		}
	}
	for router, count := range open {
		if count > 0 {
			found[router] = append(found[router], touchSpan{since[router], never})
		}
	}
	return found
}

// isOut tells whether a router was out of touch at any time of a span.
func (o outOfTouch) isOut(router string, from, till kernel.Micros) bool {
	for _, spans := range [][]touchSpan{o[router], o[""]} {
		for _, span := range spans {
			if span.from <= till && span.till >= from {
				return true
			}
		}
	}
	return false
}

// isOutOfTouch tells whether the router of a try was out of touch at a moment, or within the contact
// span before it.
func (j *routedJudge) isOutOfTouch(id string, at kernel.Micros) bool {
	try := j.tries[id]
	return try != nil && j.touch.isOut(try.sent.Router, at-j.bounds.Contact, at)
}

// Figures of the rules below: what is forgiven, and the time after which an engine should not begin on
// a request whose caller has left.
const (
	keptForgiven = 3
	goneForgiven = 5
	goneTakes    = kernel.Second / 2
)

// kept counts the requests that a router in touch passed on from a kept connection to a sound engine and
// then left without any answer.
func (j *routedJudge) kept(events []RoutedEvent) {
	troubled := map[string]bool{}
	for _, event := range events {
		if event.What == EngineCrashed || event.What == TroubleStruck && event.Engine != "" {
			troubled[event.Engine] = true
		}
	}
	dropped := 0
	for _, id := range j.order {
		try := j.tries[id]
		over := try.over
		if over == nil || over.Ended != Nothing || !try.sent.IsKept || len(try.arrivals) == 0 || try.brokeOff {
			continue
		}
		isSound := true
		for _, arrival := range try.arrivals {
			isSound = isSound && !troubled[arrival.Engine]
		}
		if !isSound || j.touch.isOut(try.sent.Router, try.sent.At-j.bounds.Contact, over.At) {
			continue
		}
		if dropped++; dropped > keptForgiven {
			j.violation(KeptDropped, over.At, "%s through %s at %s: %s", id, try.sent.Router, try.arrivals[0].Engine, over.Why)
		}
	}
}

// gone counts the requests that reach an engine after their caller has left.
func (j *routedJudge) gone() {
	late := []RoutedEvent{}
	for _, id := range j.order {
		try := j.tries[id]
		if try.over == nil || try.over.Ended != LeftIt {
			continue
		}
		for _, arrival := range try.arrivals {
			if arrival.At > try.over.At+goneTakes && !j.isOutOfTouch(id, arrival.At) {
				late = append(late, arrival)
			}
		}
	}
	if len(late) <= goneForgiven {
		return
	}
	sort.Slice(late, func(a, b int) bool { return late[a].At < late[b].At })
	last := late[len(late)-1]
	j.violation(WorkedOnGone, last.At, "%d of them, the last %s at %s", len(late), last.ID, last.Engine)
}
