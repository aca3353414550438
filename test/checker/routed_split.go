package checker

import "dunlinloom/internal/kernel"

// The rule of splits: in a calm time each service gets about its weight's share of a route's requests.
const (
	splitRequests = 200
	splitOff      = 0.2
)

// calmSpans are the times with no unplanned trouble within the contact span before, in order.
func calmSpans(events []RoutedEvent, contact kernel.Micros) []touchSpan {
	spans, open, from := []touchSpan{}, 0, kernel.Micros(0)
	for _, event := range events {
		switch event.What {
		case TroubleStruck:
			if open == 0 && event.At > from {
				spans = append(spans, touchSpan{from, event.At})
			}
			open++
		case TroubleOver:
			open--
			from = event.At + contact
		}
	}
	if open == 0 {
		spans = append(spans, touchSpan{from, never})
	}
	return spans
}

// splits holds the shares of each split route's services against their weights, in every calm span of as
// many requests. A span in which an engine of theirs turned a request away does not count.
func (j *routedJudge) splits(events []RoutedEvent) {
	if len(j.bounds.Splits) == 0 {
		return
	}
	turned := map[string]bool{}
	for _, event := range events {
		if event.What == TurnedAway {
			turned[event.ID] = true
		}
	}
	for route, weights := range j.bounds.Splits {
		for _, span := range calmSpans(events, j.bounds.Contact) {
			j.splitWithin(route, weights, span, turned)
		}
	}
}

// splitWithin slides a window over a route's requests in a calm span.
func (j *routedJudge) splitWithin(route string, weights map[string]float64, span touchSpan, turned map[string]bool) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	led := []string{} // the service of each request, in order
	for _, id := range j.order {
		try := j.tries[id]
		isWithin := try.sent.At >= span.from && try.over != nil && try.over.At <= span.till
		if try.sent.Kind != route || !isWithin || len(try.arrivals) == 0 {
			continue
		}
		if turned[id] {
			led = led[:0]
			continue
		}
		led = append(led, try.arrivals[0].Service)
		if len(led) < splitRequests {
			continue
		}
		got := map[string]float64{}
		for _, service := range led[len(led)-splitRequests:] {
			got[service]++
		}
		for service, weight := range weights {
			share, due := got[service]/splitRequests, weight/sum
			if share < due-splitOff || share > due+splitOff {
				j.violation(SplitStrayed, try.sent.At, "%s got %.2f of the last %d requests of %s, its weight's share is %.2f", service, share, splitRequests, route, due)
				return
			}
		}
	}
}
