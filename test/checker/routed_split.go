package checker

import "dunlinloom/internal/kernel"

// The limits of the rule for traffic splits: in fault-free periods the share of each service in any
// splitRequests consecutive requests of a route deviates by at most splitTolerance from that of its weight.
const (
	splitRequests  = 200
	splitTolerance = 0.2
)

// faultFreeSpans returns, in order, the periods with no active fault and none that ended within the contact
// timeout before.
func faultFreeSpans(events []RoutedEvent, contactTimeout kernel.Micros) []period {
	spans, open, from := []period{}, 0, kernel.Micros(0)
	for _, event := range events {
		switch event.EventKind {
		case FaultStarted:
			if open == 0 && event.At > from {
				spans = append(spans, period{from, event.At})
			}
			open++
		case FaultEnded:
			open--
			from = event.At + contactTimeout
		}
	}
	if open == 0 {
		spans = append(spans, period{from, never})
	}
	return spans
}

// checkSplits checks the shares of each split route's services against their weights, within fault-free
// periods. Windows in which an engine rejected a request of the route do not count.
func (c *routedChecker) checkSplits(events []RoutedEvent) {
	if len(c.bounds.Splits) == 0 {
		return
	}
	rejected := map[string]bool{}
	for _, event := range events {
		if event.EventKind == Rejected {
			rejected[event.ID] = true
		}
	}
	for route, weights := range c.bounds.Splits {
		for _, span := range faultFreeSpans(events, c.bounds.ContactTimeout) {
			c.checkSplitWithin(route, weights, span, rejected)
		}
	}
}

// checkSplitWithin slides a window over a route's requests in a fault-free period.
func (c *routedChecker) checkSplitWithin(route string, weights map[string]float64, span period, rejected map[string]bool) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	chosen := []string{} // the service of each request, in order
	for _, id := range c.order {
		attempt := c.attempts[id]
		isWithin := attempt.sent.At >= span.from && attempt.ended != nil && attempt.ended.At <= span.till
		if attempt.sent.Kind != route || !isWithin || len(attempt.arrivals) == 0 {
			continue
		}
		if rejected[id] {
			chosen = chosen[:0]
			continue
		}
		chosen = append(chosen, attempt.arrivals[0].Service)
		if len(chosen) < splitRequests {
			continue
		}
		got := map[string]float64{}
		for _, service := range chosen[len(chosen)-splitRequests:] {
			got[service]++
		}
		for service, weight := range weights {
			share, want := got[service]/splitRequests, weight/sum
			if share < want-splitTolerance || share > want+splitTolerance {
				c.violation(SplitDeviated, attempt.sent.At, "service %s got %.2f of the last %d requests of route %s, but its share by weight is %.2f", service, share, splitRequests, route, want)
				return
			}
		}
	}
}
