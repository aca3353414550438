package checker

// Rules about how often requests of a routed fleet reach engines.

import (
	"sort"

	"dunlinloom/internal/kernel"
)

// toleratedExcessAttempts is the number of requests that may run on more engines than their route allows.
const toleratedExcessAttempts = 3

// checkMaxAttempts checks how many requests ran, in one attempt of the caller, on more engines than their
// route allows. An engine that crashed between the start of the run and the end of the attempt does not count.
func (c *routedChecker) checkMaxAttempts(events []RoutedEvent) {
	crashes := map[string][]kernel.Micros{}
	for _, event := range events {
		if event.EventKind == EngineCrashed {
			crashes[event.Engine] = append(crashes[event.Engine], event.At)
		}
	}
	exceeded := 0
	for _, id := range c.order {
		attempt := c.attempts[id]
		if attempt.ended == nil || attempt.sent.MaxAttempts == 0 {
			continue
		}
		engines := map[string]bool{}
		for _, run := range attempt.runs {
			if countWithin(crashes[run.Engine], run.At, attempt.ended.At) <= 0 {
				engines[run.Engine] = true
			}
		}
		if len(engines) <= attempt.sent.MaxAttempts {
			continue
		}
		if exceeded++; exceeded > toleratedExcessAttempts {
			c.violation(AttemptsExceeded, attempt.ended.At, "%s ran on %d engines, its route allows %d", id, len(engines), attempt.sent.MaxAttempts)
		}
	}
}

// countWithin counts the times of a sorted list in a span, including its ends. The result is zero or negative
// if the span ends before it begins.
func countWithin(times []kernel.Micros, from, till kernel.Micros) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return sort.Search(len(times), func(i int) bool { return times[i] > till }) - first
}

// checkRetryBudget slides a window over the arrivals beyond the first of each request and reports the worst
// window of each service. Only windows that begin at such an arrival have to be evaluated.
func (c *routedChecker) checkRetryBudget(events []RoutedEvent) {
	requests, extras := c.arrivalTimes(events)
	window := c.bounds.RetryWindow
	for service, times := range extras {
		worst, worstAt, worstAllowed := 0.0, kernel.Micros(0), 0.0
		for _, from := range times {
			till := from + window
			own := 0
			for _, back := range []kernel.Micros{0, window / 2, window} {
				own = max(own, countWithin(requests[service], from-back, till-back))
			}
			allowed := c.bounds.RetryRatio*float64(own) + c.bounds.RetrySlack
			if excess := float64(countWithin(times, from, till)) - allowed; excess > worst {
				worst, worstAt, worstAllowed = excess, from, allowed
			}
		}
		if worst > 0 {
			c.violation(RetryBudgetExceeded, worstAt, "service %s got %.1f repeated arrivals more than the %.1f allowed", service, worst, worstAllowed)
		}
	}
}

// arrivalTimes returns, by service, the times of requests and of arrivals beyond the first of their request.
func (c *routedChecker) arrivalTimes(events []RoutedEvent) (requests, extras map[string][]kernel.Micros) {
	seen := map[string]bool{}
	requests, extras = map[string][]kernel.Micros{}, map[string][]kernel.Micros{}
	for _, event := range events {
		switch event.EventKind {
		case AttemptSentByCaller:
			for _, service := range event.Services {
				requests[service] = append(requests[service], event.At)
			}
		case Arrived:
			if c.attempts[event.ID] == nil {
				continue
			}
			if seen[event.ID] {
				c.report.ExtraArrivals++
				extras[event.Service] = append(extras[event.Service], event.At)
			}
			seen[event.ID] = true
		}
	}
	return requests, extras
}
