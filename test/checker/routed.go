package checker

import (
	"fmt"
	"net/http"
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules for requests that are routed to registered engines, in addition to RunTwice, RunAfterRejection,
// RetryBudgetExceeded, DrainingEngineUsed and ShutdownDroppedRequest.
const (
	AnswerMixed                Rule = "a caller got what is not the whole answer of the engine that ran its request"
	UnsolicitedRun             Rule = "an engine ran what no caller sent"
	Misrouted                  Rule = "a service ran a request that no spec leads to it"
	StreamDisordered           Rule = "a stream's pieces are missing, doubled or joined of two runs"
	ValidRequestsRejected      Rule = "proper requests were denied"
	InvariantFailed            Rule = "an invariant was violated within a process"
	KeepAliveDropped           Rule = "requests on kept connections went to a sound engine and got no answer"
	SplitDeviated              Rule = "a service of a split got another share than its weight's"
	AbandonedRequestsDelivered Rule = "engines got requests whose callers had left"
	AnsweredRequestDelivered   Rule = "an engine got a request after a cut, though its caller had the answer before"
	AttemptsExceeded           Rule = "requests ran on more engines than their route's tries"
)

// RoutedBounds are the limits that the rules of CheckRouted apply. Times are in microseconds, ratios are
// fractions of 1.
type RoutedBounds struct {
	DrainTimeout, GracePeriod, Slack, ContactTimeout kernel.Micros
	RetryRatio, RetrySlack                           float64
	RetryWindow                                      kernel.Micros
	// MaxRejected and RejectedOneIn limit the valid requests that may be rejected: MaxRejected of them, plus
	// one in RejectedOneIn of all requests.
	MaxRejected, RejectedOneIn int
	Tenants                    TenantBounds
	// Splits holds the weights of services by route, for routes whose split does not change.
	Splits map[string]map[string]float64
}

// RoutedReport is the result of CheckRouted.
type RoutedReport struct {
	Violations    []Violation    `json:"breaches"`
	Endings       map[string]int `json:"endings"`
	Attempts      int            `json:"tries"`
	Served        int            `json:"served"`
	Runs          int            `json:"runs"`
	ExtraArrivals int            `json:"extras"` // arrivals beyond the first of their request
}

// routedAttempt is what was observed of one attempt.
type routedAttempt struct {
	sent       RoutedEvent
	ended      *RoutedEvent
	arrivals   []RoutedEvent
	runs       []RoutedEvent
	hasAborted bool // an engine broke off its response to the attempt
	finished   map[string]RoutedEvent
}

type routedChecker struct {
	bounds         RoutedBounds
	attempts       map[string]*routedAttempt
	order          []string // the ids of the attempts, in order of sending
	report         RoutedReport
	disconnections disconnections
	cuts           engineCuts
	keys           map[string]*keyHistory
}

// CheckRouted evaluates the history of a routed fleet against every rule. The events may be in any order;
// events with the same time are processed in the given order.
func CheckRouted(events []RoutedEvent, bounds RoutedBounds) RoutedReport {
	ordered := slices.Clone(events)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	c := &routedChecker{bounds: bounds, attempts: map[string]*routedAttempt{}, report: RoutedReport{Endings: map[string]int{}}}
	c.gather(ordered)
	c.disconnections, c.cuts, c.keys = disconnectionsOf(ordered), engineCutsOf(ordered), keyHistories(ordered)
	for _, id := range c.order {
		c.checkAttempt(c.attempts[id])
	}
	c.checkRejections()
	c.checkMaxAttempts(ordered)
	c.checkRetryBudget(ordered)
	c.checkDrains(ordered)
	c.checkStops(ordered)
	c.checkKeepAlive(ordered)
	c.checkAbandoned()
	c.checkAnswered()
	c.checkSplits(ordered)
	c.checkTenants()
	sortByTime(c.report.Violations)
	return c.report
}

func (c *routedChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

// gather collects the events of each attempt.
func (c *routedChecker) gather(events []RoutedEvent) {
	// Sent attempts are recorded first, because a run may begin in the microsecond in which its attempt was
	// sent.
	for _, event := range events {
		if event.EventKind == AttemptSentByCaller {
			c.attempts[event.ID] = &routedAttempt{sent: event, finished: map[string]RoutedEvent{}}
			c.order = append(c.order, event.ID)
			c.report.Attempts++
		}
	}
	for i, event := range events {
		if event.EventKind == InvariantBroken {
			c.violation(InvariantFailed, event.At, "%s", event.Why)
		}
		attempt := c.attempts[event.ID]
		if event.EventKind == Started {
			c.report.Runs++
			if attempt == nil {
				c.violation(UnsolicitedRun, event.At, "%s ran %s, which no caller sent", event.Engine, event.ID)
			}
		}
		if attempt == nil {
			continue
		}
		switch event.EventKind {
		case AttemptEnded:
			attempt.ended = &events[i]
		case Arrived:
			attempt.arrivals = append(attempt.arrivals, event)
		case Started:
			attempt.runs = append(attempt.runs, event)
		case Aborted:
			attempt.hasAborted = true
		case Finished:
			attempt.finished[event.Run] = event
		}
	}
}

// checkAttempt checks where an attempt ran and how it ended.
func (c *routedChecker) checkAttempt(attempt *routedAttempt) {
	sent := attempt.sent
	for i, run := range attempt.runs {
		if run.Digest != sent.Digest {
			c.violation(UnsolicitedRun, run.At, "%s ran %s with a digest other than the one sent", run.Engine, sent.ID)
		}
		if !slices.Contains(sent.Services, run.Service) {
			c.violation(Misrouted, run.At, "%s of service %s ran %s, which may only go to %v", run.Engine, run.Service, sent.ID, sent.Services)
		}
		if i > 0 && !sent.IsIdempotent {
			c.violation(RunTwice, run.At, "%s ran on %s and on %s", sent.ID, attempt.runs[0].Engine, run.Engine)
		}
	}
	end := attempt.ended
	if end == nil {
		c.violation(ShutdownDroppedRequest, sent.At, "attempt %s never ended", sent.ID)
		return
	}
	c.report.Endings[fmt.Sprintf("%s %d", end.Ending, end.Status)]++
	switch end.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !sent.IsIdempotent && len(attempt.runs) > 0 && end.Run == "" {
			c.violation(RunAfterRejection, end.At, "%s was rejected with %d but ran on %s", sent.ID, end.Status, attempt.runs[0].Engine)
		}
	}
	c.checkAnswer(attempt, end)
}

// checkRejections checks how many valid requests were rejected as invalid. Rejections for load do not count.
func (c *routedChecker) checkRejections() {
	count := 0
	var last RoutedEvent
	for _, id := range c.order {
		attempt := c.attempts[id]
		if end := attempt.ended; end != nil && end.Run == "" && isRejectionOfValid(end.Status) && !c.isKeyRejected(attempt) {
			count++
			last = *end
		}
	}
	if count > c.bounds.MaxRejected+len(c.order)/max(c.bounds.RejectedOneIn, 1) {
		c.violation(ValidRequestsRejected, last.At, "%d of %d requests were rejected, the last with %d", count, len(c.order), last.Status)
	}
}

// isRejectionOfValid reports whether a status rejects the request itself. Successes, server errors,
// timeouts, rate limits and misdirected requests do not.
func isRejectionOfValid(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
}
