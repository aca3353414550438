package checker

import "dunlinloom/internal/kernel"

// The rule of splits: in a calm time each service gets about its weight's share of a route's requests.
const (
	splitRequests  = 200
	splitTolerance = 0.2
)

// calmSpans are the times with no unplanned trouble within the contact span before, in order.
func calmSpans(events []RoutedEvent, contact kernel.Micros) []disconnection {
	spans, open, from := []disconnection{}, 0, kernel.Micros(0)
	for _, event := range events {
		switch event.EventKind {
		case FaultStarted:
			if open == 0 && event.At > from {
				spans = append(spans, disconnection{from, event.At})
			}
			open++
		case FaultEnded:
			open--
			from = event.At + contact
		}
	}
	if open == 0 {
		spans = append(spans, disconnection{from, never})
	}
	return spans
}

// splits holds the shares of each split route's services against their weights, in every calm span of as
// many requests. A span in which an engine of theirs turned a request away does not count.
func (j *routedChecker) splits(events []RoutedEvent) {
	if len(j.bounds.Splits) == 0 {
		return
	}
	rejected := map[string]bool{}
	for _, event := range events {
		if event.EventKind == Rejected {
			rejected[event.ID] = true
		}
	}
	for route, weights := range j.bounds.Splits {
		for _, span := range calmSpans(events, j.bounds.ContactTimeout) {
			j.splitWithin(route, weights, span, rejected)
		}
	}
}

// splitWithin slides a window over a route's requests in a calm span.
func (j *routedChecker) splitWithin(route string, weights map[string]float64, span disconnection, rejected map[string]bool) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	led := []string{} // the service of each request, in order
	for _, id := range j.order {
		attempt := j.attempts[id]
		isWithin := attempt.sent.At >= span.from && attempt.ended != nil && attempt.ended.At <= span.till
		if attempt.sent.Kind != route || !isWithin || len(attempt.arrivals) == 0 {
			continue
		}
		if rejected[id] {
			led = led[:0]
			continue
		}
		led = append(led, attempt.arrivals[0].Service)
		if len(led) < splitRequests {
			continue
		}
		got := map[string]float64{}
		for _, service := range led[len(led)-splitRequests:] {
			got[service]++
		}
		for service, weight := range weights {
			share, due := got[service]/splitRequests, weight/sum
			if share < due-splitTolerance || share > due+splitTolerance {
				j.violation(SplitDeviated, attempt.sent.At, "%s got %.2f of the last %d requests of %s, its weight's share is %.2f", service, share, splitRequests, route, due)
				return
			}
		}
	}
}
