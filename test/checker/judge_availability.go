package checker

// Rules about engines that leave, drained zones, stops, and the time after a repair.

import "dunlinloom/internal/kernel"

// drainedZones follows which zones are surely emptied.
type drainedZones struct {
	since      map[string]kernel.Micros
	undraining map[string]int    // under way
	undrained  map[string]uint64 // the newest revision that refilled one
}

func newDrainedZones() *drainedZones {
	return &drainedZones{map[string]kernel.Micros{}, map[string]int{}, map[string]uint64{}}
}

func (e *drainedZones) apply(event Event) {
	switch event.EventKind {
	case ZoneDrained:
		// While a refill is under way it may take effect after this reply. Nor does a
		// reply that comes late make an order newer than the refill after it.
		isOld := event.Revision > 0 && event.Revision < e.undrained[event.Zone]
		if _, isKnown := e.since[event.Zone]; !isKnown && e.undraining[event.Zone] == 0 && !isOld {
			e.since[event.Zone] = event.At
		}
	case ZoneUndraining:
		e.undraining[event.Zone]++
		delete(e.since, event.Zone)
	case ZoneUndrained:
		e.undraining[event.Zone]--
		e.undrained[event.Zone] = max(e.undrained[event.Zone], event.Revision)
	}
}

// drains checks engines that leave and zones that are emptied.
func (j *historyChecker) drains(events []Event) {
	type start struct {
		engine string
		start  uint64
	}
	leaving, zones := map[start]kernel.Micros{}, newDrainedZones()
	for _, event := range events {
		zones.apply(event)
		switch event.EventKind {
		case EngineDraining:
			key := start{event.Engine, event.Start}
			if _, isKnown := leaving[key]; !isKnown {
				leaving[key] = event.At
			}
		case RunStarted:
			if since, isLeaving := leaving[start{event.Engine, event.Start}]; isLeaving && event.At-since > j.bounds.EngineDrainTimeout {
				j.violation(DrainingEngineUsed, event.At, "%s on %s, %d us after the mark", event.Tag, event.Engine, event.At-since)
			}
			if since, isDrained := zones.since[event.Zone]; isDrained && event.At-since > j.bounds.ZoneDrainTimeout {
				j.violation(DrainedZoneUsed, event.At, "%s on %s in %s, %d us after the acknowledgement", event.Tag, event.Engine, event.Zone, event.At-since)
			}
		}
	}
}

// stops checks that a planned stop leaves no accepted request without an answer.
// What a fault took, of the node or of the engine that served, is not the stop's.
func (j *historyChecker) stops(events []Event) {
	type span struct{ from, to kernel.Micros }
	spans, errors := map[string][]span{}, map[string][]span{}
	for _, event := range events {
		switch event.EventKind {
		case NodeStopping:
			spans[event.Node] = append(spans[event.Node], span{event.At, -1})
		case NodeStopped:
			if last := len(spans[event.Node]) - 1; last >= 0 && spans[event.Node][last].to < 0 {
				spans[event.Node][last].to = event.At + kernel.Second
			}
		case NodeKilled:
			for i, open := range spans[event.Node] {
				if open.to < 0 || open.to >= event.At {
					spans[event.Node][i].to = event.At - 1
				}
			}
		case EngineFailed:
			errors[event.Engine] = append(errors[event.Engine], span{event.At, event.At})
		case EngineRecovered:
			if last := len(errors[event.Engine]) - 1; last >= 0 {
				errors[event.Engine][last].to = event.At
			}
		}
	}
	// A failure excuses only the runs that it can have touched: begun before it was
	// over, and given up no later than a stream may stand still after it.
	isExcused := func(call Event) bool {
		ran, hasRun := j.ranAt[call.Tag]
		if !hasRun {
			return false
		}
		for _, failure := range errors[ran.Engine] {
			if ran.At <= failure.to && failure.from <= call.At && call.At <= failure.to+j.bounds.StreamStallTimeout {
				return true
			}
		}
		return false
	}
	for _, event := range events {
		if event.EventKind != CallEnded || event.Outcome != NoResponse && event.Outcome != Truncated || isExcused(event) {
			continue
		}
		for _, span := range spans[event.Node] {
			if event.At >= span.from && (span.to < 0 || event.At <= span.to) {
				j.violation(ShutdownDroppedRequest, event.At, "%s at %s: %s (%s)", event.Tag, event.Node, event.Outcome, event.Reason)
			}
		}
	}
}

// repair checks that service is back soon after every machine is: with the first
// request, and from the bound on for every node, every kind of request and orders.
func (j *historyChecker) repair(events []Event) {
	var repaired *Event
	for i := range events {
		if events[i].EventKind == Repaired {
			repaired = &events[i]
		}
	}
	if repaired == nil {
		return
	}
	last := events[len(events)-1].At
	recoveryDeadline := repaired.At + j.bounds.RecoveryTimeout
	isServed := false
	nodes, kinds := map[string]bool{}, map[string]bool{}
	calls, overloaded := 0, 0
	for _, event := range events {
		if event.EventKind != CallEnded || event.StartedAt < repaired.At {
			continue
		}
		if event.Outcome == Served && !isServed {
			isServed = true
			if j.report.RecoverySpan = event.StartedAt - repaired.At; j.report.RecoverySpan > j.bounds.RecoveryTimeout {
				j.violation(RecoveryTooSlow, event.At, "the first request served after the repair was sent %d us after it", j.report.RecoverySpan)
			}
		}
		if event.StartedAt < recoveryDeadline {
			continue
		}
		calls++
		switch {
		case event.Outcome == Served:
			nodes[event.Node], kinds[event.Kind] = true, true
		case event.Outcome == Abandoned || event.Outcome == EngineError:
		case event.Outcome == NotRun && (event.Reason == "late" || event.Reason == "ramping" || event.Reason == "crowded"):
			overloaded++
		default:
			j.violation(RecoveryTooSlow, event.At, "%s by %s, %d us after the repair: %s (%s)", event.Tag, event.Node, event.StartedAt-repaired.At, event.Outcome, event.Reason)
		}
	}
	if !isServed && last > recoveryDeadline {
		j.violation(RecoveryTooSlow, last, "nothing was served in %d us after the repair", last-repaired.At)
	}
	// A handful says nothing about a share.
	if overloaded > 5 && float64(overloaded) > j.bounds.LoadShare*float64(calls) {
		j.violation(RecoveryTooSlow, last, "%d of %d requests were rejected for load, %d us and on after the repair", overloaded, calls, j.bounds.RecoveryTimeout)
	}
	for _, node := range repaired.Roster {
		if !nodes[node] {
			j.violation(RecoveryTooSlow, last, "%s served nothing sent %d us and on after the repair", node, j.bounds.RecoveryTimeout)
		}
	}
	for _, kind := range repaired.Kinds {
		if !kinds[kind] {
			j.violation(RecoveryTooSlow, last, "no request of kind %s was served from %d us after the repair on", kind, j.bounds.RecoveryTimeout)
		}
	}
	j.operations(events, recoveryDeadline, len(repaired.Roster) > 0)
}
