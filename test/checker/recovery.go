package checker

// The rule that service recovers soon after a repair.

import "dunlinloom/internal/kernel"

// minOverloaded is the number of rejections for load that is always allowed: so few are too small a sample
// to judge their share.
const minOverloaded = 5

// recovery evaluates the calls sent after the last repair.
type recovery struct {
	checker  *historyChecker
	repaired Event
	deadline kernel.Micros // calls sent from then on have to be served
	last     kernel.Micros // the time of the last event
	isServed bool
	// Of the calls sent from the deadline on: the nodes that served, the kinds that were served, and counts.
	nodes, kinds      map[string]bool
	calls, overloaded int
}

// checkRecovery checks that service recovers within RecoveryTimeout after the last repair. By then a
// request has to be served; from then on every node has to serve requests, every kind of request has to be
// served, and operations have to be answered.
func (c *historyChecker) checkRecovery(events []Event) {
	var repaired *Event
	for i := range events {
		if events[i].EventKind == Repaired {
			repaired = &events[i]
		}
	}
	if repaired == nil {
		return
	}
	r := &recovery{
		checker: c, repaired: *repaired, deadline: repaired.At + c.bounds.RecoveryTimeout, last: events[len(events)-1].At,
		nodes: map[string]bool{}, kinds: map[string]bool{},
	}
	for _, event := range events {
		if event.EventKind == CallEnded && event.StartedAt >= repaired.At {
			r.apply(event)
		}
	}
	r.checkService()
	c.checkOperations(events, r.deadline, len(repaired.Roster) > 0)
}

func (r *recovery) apply(call Event) {
	c := r.checker
	if call.Outcome == Served && !r.isServed {
		r.isServed = true
		if c.report.RecoverySpan = call.StartedAt - r.repaired.At; c.report.RecoverySpan > c.bounds.RecoveryTimeout {
			c.violation(RecoveryTooSlow, call.At, "the first request served after the repair was sent %d us after it", c.report.RecoverySpan)
		}
	}
	if call.StartedAt < r.deadline {
		return
	}
	r.calls++
	switch {
	case call.Outcome == Served:
		r.nodes[call.Node], r.kinds[call.Kind] = true, true
	case call.Outcome == Abandoned || call.Outcome == EngineError:
	case call.Outcome == NotRun && (call.Reason == "late" || call.Reason == "ramping" || call.Reason == "crowded"):
		r.overloaded++
	default:
		c.violation(RecoveryTooSlow, call.At, "%s, sent to %s %d us after the repair: %s (%s)", call.Tag, call.Node, call.StartedAt-r.repaired.At, call.Outcome, call.Reason)
	}
}

// checkService checks the totals over all calls after the repair.
func (r *recovery) checkService() {
	c := r.checker
	if !r.isServed && r.last > r.deadline {
		c.violation(RecoveryTooSlow, r.last, "nothing was served in %d us after the repair", r.last-r.repaired.At)
	}
	if r.overloaded > minOverloaded && float64(r.overloaded) > c.bounds.LoadShare*float64(r.calls) {
		c.violation(RecoveryTooSlow, r.last, "%d of %d requests sent %d us or more after the repair were rejected for load", r.overloaded, r.calls, c.bounds.RecoveryTimeout)
	}
	for _, node := range r.repaired.Roster {
		if !r.nodes[node] {
			c.violation(RecoveryTooSlow, r.last, "%s served no request sent %d us or more after the repair", node, c.bounds.RecoveryTimeout)
		}
	}
	for _, kind := range r.repaired.Kinds {
		if !r.kinds[kind] {
			c.violation(RecoveryTooSlow, r.last, "no request of kind %s sent %d us or more after the repair was served", kind, c.bounds.RecoveryTimeout)
		}
	}
}
