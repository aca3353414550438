package checker

// Rules about draining engines, drained zones, planned stops, and the time after a repair.

import "dunlinloom/internal/kernel"

// drainedZones tracks which zones are known to be drained.
type drainedZones struct {
	since      map[string]kernel.Micros // when the drain was acknowledged
	undraining map[string]int           // the number of undrain operations in flight
	undrained  map[string]uint64        // the newest revision that ended a drain
}

func newDrainedZones() *drainedZones {
	return &drainedZones{map[string]kernel.Micros{}, map[string]int{}, map[string]uint64{}}
}

func (z *drainedZones) apply(event Event) {
	switch event.EventKind {
	case ZoneDrained:
		// An undrain in flight may take effect after this reply, so the zone is not known to
		// be drained. Nor is it if the reply arrives late, after an undrain with a higher
		// revision.
		isOld := event.Revision > 0 && event.Revision < z.undrained[event.Zone]
		if _, isKnown := z.since[event.Zone]; !isKnown && z.undraining[event.Zone] == 0 && !isOld {
			z.since[event.Zone] = event.At
		}
	case ZoneUndraining:
		z.undraining[event.Zone]++
		delete(z.since, event.Zone)
	case ZoneUndrained:
		z.undraining[event.Zone]--
		z.undrained[event.Zone] = max(z.undrained[event.Zone], event.Revision)
	}
}

// checkDrains checks that no request starts on a draining engine or in a drained zone after the drain
// timeout.
func (c *historyChecker) checkDrains(events []Event) {
	type start struct {
		engine string
		start  uint64
	}
	draining, zones := map[start]kernel.Micros{}, newDrainedZones()
	for _, event := range events {
		zones.apply(event)
		switch event.EventKind {
		case EngineDraining:
			key := start{event.Engine, event.Start}
			if _, isKnown := draining[key]; !isKnown {
				draining[key] = event.At
			}
		case RunStarted:
			if since, isDraining := draining[start{event.Engine, event.Start}]; isDraining && event.At-since > c.bounds.EngineDrainTimeout {
				c.violation(DrainingEngineUsed, event.At, "%s ran on %s, %d us after the engine was marked as draining", event.Tag, event.Engine, event.At-since)
			}
			if since, isDrained := zones.since[event.Zone]; isDrained && event.At-since > c.bounds.ZoneDrainTimeout {
				c.violation(DrainedZoneUsed, event.At, "%s ran on %s in %s, %d us after the drain was acknowledged", event.Tag, event.Engine, event.Zone, event.At-since)
			}
		}
	}
}

// timeSpan is a closed time interval. A negative end means that it has not ended yet.
type timeSpan struct{ from, to kernel.Micros }

// outages are the planned stops of nodes and the failures of engines.
type outages struct {
	stops    map[string][]timeSpan // by node
	failures map[string][]timeSpan // by engine
}

func (o outages) apply(event Event) {
	stops, failures := o.stops[event.Node], o.failures[event.Engine]
	switch event.EventKind {
	case NodeStopping:
		o.stops[event.Node] = append(stops, timeSpan{event.At, -1})
	case NodeStopped:
		if last := len(stops) - 1; last >= 0 && stops[last].to < 0 {
			stops[last].to = event.At + kernel.Second
		}
	case NodeKilled:
		for i, stop := range stops {
			if stop.to < 0 || stop.to >= event.At {
				stops[i].to = event.At - 1
			}
		}
	case EngineFailed:
		o.failures[event.Engine] = append(failures, timeSpan{event.At, event.At})
	case EngineRecovered:
		if last := len(failures) - 1; last >= 0 {
			failures[last].to = event.At
		}
	}
}

// checkStops checks that a planned stop of a node leaves no accepted request without a response.
// Requests ended by a fault of the node or of the serving engine are not attributed to the stop.
func (c *historyChecker) checkStops(events []Event) {
	found := outages{map[string][]timeSpan{}, map[string][]timeSpan{}}
	for _, event := range events {
		found.apply(event)
	}
	for _, event := range events {
		isDropped := event.EventKind == CallEnded && (event.Outcome == NoResponse || event.Outcome == Truncated)
		if !isDropped || c.isCausedByFailure(event, found.failures) {
			continue
		}
		for _, stop := range found.stops[event.Node] {
			if event.At >= stop.from && (stop.to < 0 || event.At <= stop.to) {
				c.violation(ShutdownDroppedRequest, event.At, "%s at %s: %s (%s)", event.Tag, event.Node, event.Outcome, event.Reason)
			}
		}
	}
}

// isCausedByFailure reports whether an engine failure may have ended the call: the run began before the
// failure was over, and the call ended at most StreamStallTimeout after it.
func (c *historyChecker) isCausedByFailure(call Event, failures map[string][]timeSpan) bool {
	run, hasRun := c.runs[call.Tag]
	if !hasRun {
		return false
	}
	for _, failure := range failures[run.Engine] {
		if run.At <= failure.to && failure.from <= call.At && call.At <= failure.to+c.bounds.StreamStallTimeout {
			return true
		}
	}
	return false
}
