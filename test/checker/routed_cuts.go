package checker

import "dunlinloom/internal/kernel"

// Rules about cuts between routers and engines.

// engineCuts holds, by engine, the periods in which nothing got through between it and the routers.
type engineCuts map[string][]period

// engineCutsOf collects the cuts from events sorted by time.
func engineCutsOf(events []RoutedEvent) engineCuts {
	found, since := engineCuts{}, map[string]kernel.Micros{}
	for _, event := range events {
		switch event.EventKind {
		case EngineCutOff:
			since[event.Engine] = event.At
		case EngineReachable:
			found[event.Engine] = append(found[event.Engine], period{since[event.Engine], event.At})
			delete(since, event.Engine)
		}
	}
	for engine, from := range since {
		found[engine] = append(found[engine], period{from, never})
	}
	return found
}

// isCut reports whether an engine was cut off at any time within a span.
func (e engineCuts) isCut(engine string, from, till kernel.Micros) bool {
	for _, cut := range e[engine] {
		if cut.from <= till && cut.till >= from {
			return true
		}
	}
	return false
}

// checkAnswered checks that no engine gets a request that its router had given up in a cut: one that arrives after a cut
// has ended, though the caller had its complete answer more than cancelTimeout before that.
func (c *routedChecker) checkAnswered() {
	for _, id := range c.order {
		end := c.attempts[id].ended
		if end == nil || end.Ending != Complete {
			continue
		}
		for _, arrival := range c.attempts[id].arrivals {
			if arrival.At > end.At+cancelTimeout && c.cuts.isCut(arrival.Engine, end.At, arrival.At) {
				c.violation(AnsweredRequestDelivered, arrival.At, "%s arrived at %s %d us after its answer", id, arrival.Engine, arrival.At-end.At)
			}
		}
	}
}
