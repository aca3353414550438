package checker

// Rules about the time after a repair.

import "dunlinloom/internal/kernel"

// minOverloaded is how many rejections for load are allowed at any rate: fewer say nothing about a share.
const minOverloaded = 5

// recovery follows the calls that were sent after a repair.
type recovery struct {
	checker  *historyChecker
	repaired Event
	deadline kernel.Micros // from which on every call has to be served
	last     kernel.Micros // of the history
	isServed bool
	// Of the calls sent from the deadline on: the nodes and kinds that were served, and counts.
	nodes, kinds      map[string]bool
	calls, overloaded int
}

// checkRecovery checks that service is back soon after every machine is: with the first
// request, and from the bound on for every node, every kind of request and operations.
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
		c.violation(RecoveryTooSlow, call.At, "%s by %s, %d us after the repair: %s (%s)", call.Tag, call.Node, call.StartedAt-r.repaired.At, call.Outcome, call.Reason)
	}
}

// checkService checks what was served of all calls together.
func (r *recovery) checkService() {
	c := r.checker
	if !r.isServed && r.last > r.deadline {
		c.violation(RecoveryTooSlow, r.last, "nothing was served in %d us after the repair", r.last-r.repaired.At)
	}
	if r.overloaded > minOverloaded && float64(r.overloaded) > c.bounds.LoadShare*float64(r.calls) {
		c.violation(RecoveryTooSlow, r.last, "%d of %d requests were rejected for load, %d us and on after the repair", r.overloaded, r.calls, c.bounds.RecoveryTimeout)
	}
	for _, node := range r.repaired.Roster {
		if !r.nodes[node] {
			c.violation(RecoveryTooSlow, r.last, "%s served nothing sent %d us and on after the repair", node, c.bounds.RecoveryTimeout)
		}
	}
	for _, kind := range r.repaired.Kinds {
		if !r.kinds[kind] {
			c.violation(RecoveryTooSlow, r.last, "no request of kind %s was served from %d us after the repair on", kind, c.bounds.RecoveryTimeout)
		}
	}
}
