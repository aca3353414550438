package checker

// Rules about requests: how often they ran and were retried, and how they ended.

import "dunlinloom/internal/kernel"

// checkRuns records the runs by tag and checks that no request ran twice, that no starting engine was
// overloaded, and that the fleet's own counters stay within the retry budget.
func (c *historyChecker) checkRuns(events []Event) {
	c.runs = map[string]Event{}
	for _, event := range events {
		switch event.EventKind {
		case RunStarted:
			c.report.Runs++
			if earlier, isThere := c.runs[event.Tag]; isThere {
				c.violation(RunTwice, event.At, "%s ran on %s and on %s", event.Tag, earlier.Engine, event.Engine)
				continue
			}
			c.runs[event.Tag] = event
		case RunOverloaded:
			c.violation(SlowStartOverloaded, event.At, "engine %s: %s", event.Engine, event.Reason)
		case Totals:
			allowed := c.bounds.RetryShare * float64(event.First)
			if float64(event.Retries) > allowed {
				c.violation(RetryBudgetExceeded, event.At, "%d retries on %d first attempts", event.Retries, event.First)
			}
		}
	}
}

// checkCalls checks the outcomes of calls.
func (c *historyChecker) checkCalls(events []Event) {
	for _, event := range events {
		if event.EventKind != CallEnded {
			continue
		}
		c.report.Calls++
		c.report.Outcomes[string(event.Outcome)]++
		switch event.Outcome {
		case NotRun:
			c.report.Rejects[event.Reason]++
			if ran, hasRun := c.runs[event.Tag]; hasRun {
				c.violation(RunAfterRejection, event.At, "%s was rejected as not run, yet ran on %s", event.Tag, ran.Engine)
			}
		case MayHaveRun:
			c.report.Rejects[event.Reason]++
		case Corrupted:
			c.violation(BodyMismatch, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		case FalseEnd:
			c.violation(FalseCompletion, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		}
	}
}

// minRetries is the number of retries that is allowed in any window: so few are too small a sample to judge
// their share.
const minRetries = 3

// checkRetries checks that the retries within each sliding window stay below their share of the first
// attempts in it. It reports at most one violation, since one burst of retries exceeds many windows.
func (c *historyChecker) checkRetries(events []Event) {
	firsts, retries := attemptTimes(events)
	for _, window := range c.bounds.RetryWindows {
		if c.checkRetryWindow(window, firsts, retries) {
			return
		}
	}
}

// attemptTimes returns the times of the first attempts and of the retries, each in ascending order. If the
// history has no AttemptSent events, the runs and rejections of the engines count instead.
func attemptTimes(events []Event) (firsts, retries []kernel.Micros) {
	hasAttemptEvents := false
	for _, event := range events {
		hasAttemptEvents = hasAttemptEvents || event.EventKind == AttemptSent
	}
	seen := map[string]bool{}
	for _, event := range events {
		isAttempt := event.EventKind == AttemptSent || !hasAttemptEvents && (event.EventKind == RunStarted || event.EventKind == RunRejected)
		switch {
		case !isAttempt:
		case seen[event.Tag]:
			retries = append(retries, event.At)
		default:
			seen[event.Tag] = true
			firsts = append(firsts, event.At)
		}
	}
	return firsts, retries
}

// checkRetryWindow slides a window over the retries and reports whether it found a violation.
func (c *historyChecker) checkRetryWindow(window RetryWindow, firsts, retries []kernel.Micros) bool {
	fromFirst, toFirst, from := 0, 0, 0 // bounds of the window, as indexes into firsts and retries
	for index, at := range retries {
		for toFirst < len(firsts) && firsts[toFirst] <= at {
			toFirst++
		}
		for fromFirst < toFirst && firsts[fromFirst] <= at-window.Span {
			fromFirst++
		}
		for retries[from] <= at-window.Span {
			from++
		}
		retryCount, firstCount := index-from+1, toFirst-fromFirst
		if retryCount > minRetries && float64(retryCount) > window.Share*float64(firstCount) {
			c.violation(RetryBudgetExceeded, at, "%d retries on %d first attempts within %d us", retryCount, firstCount, window.Span)
			return true
		}
	}
	return false
}
