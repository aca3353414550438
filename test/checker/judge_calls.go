package checker

// Rules about requests: where they ran, how they ended, how often they were tried.

import (
	"slices"

	"dunlinloom/internal/kernel"
)

func (j *historyChecker) runs(events []Event) {
	j.ranAt = map[string]Event{}
	for _, event := range events {
		switch event.EventKind {
		case RunStarted:
			j.report.Runs++
			if earlier, isThere := j.ranAt[event.Tag]; isThere {
				j.violation(RunTwice, event.At, "%s ran on %s and on %s", event.Tag, earlier.Engine, event.Engine)
				continue
			}
			j.ranAt[event.Tag] = event
		case RunOverloaded:
			j.violation(SlowStartOverloaded, event.At, "engine %s: %s", event.Engine, event.Reason)
		case Totals:
			allowed := j.bounds.RetryShare * float64(event.First)
			if float64(event.Retries) > allowed {
				j.violation(RetryBudgetExceeded, event.At, "%d retries on %d first rounds", event.Retries, event.First)
			}
		}
	}
}

func (j *historyChecker) calls(events []Event) {
	for _, event := range events {
		if event.EventKind != CallEnded {
			continue
		}
		j.report.Calls++
		j.report.Outcomes[string(event.Outcome)]++
		switch event.Outcome {
		case NotRun:
			j.report.Rejects[event.Reason]++
			if ran, hasRun := j.ranAt[event.Tag]; hasRun {
				j.violation(RunAfterRejection, event.At, "%s was rejected as not run, yet ran on %s", event.Tag, ran.Engine)
			}
		case MayHaveRun:
			j.report.Rejects[event.Reason]++
		case Corrupted:
			j.violation(BodyMismatch, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		case FalseEnd:
			j.violation(FalseCompletion, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		}
	}
}

// retries holds the rounds that engines and the wire saw against the windows: of
// the first rounds of the last span, no more than a share may have been retries.
func (j *historyChecker) retries(events []Event) {
	hasWire := false
	for _, event := range events {
		hasWire = hasWire || event.EventKind == AttemptSent
	}
	seen := map[string]bool{}
	firsts, again := []kernel.Micros{}, []kernel.Micros{}
	for _, event := range events {
		isRound := event.EventKind == AttemptSent || !hasWire && (event.EventKind == RunStarted || event.EventKind == RunRejected)
		switch {
		case !isRound:
		case seen[event.Tag]:
			again = append(again, event.At)
		default:
			seen[event.Tag] = true
			firsts = append(firsts, event.At)
		}
	}
	// One retry of three requests says nothing of a share; a handful is where it begins to.
	const few = 3
	for _, window := range j.bounds.RetryWindows {
		// Told once: a storm of retries is one violation.
		for at, fromFirst, toFirst, from := 0, 0, 0, 0; at < len(again); at++ {
			for toFirst < len(firsts) && firsts[toFirst] <= again[at] {
				toFirst++
			}
			for fromFirst < toFirst && firsts[fromFirst] <= again[at]-window.Span {
				fromFirst++
			}
			for again[from] <= again[at]-window.Span {
				from++
			}
			if retries, rounds := at-from+1, toFirst-fromFirst; retries > few && float64(retries) > window.Share*float64(rounds) {
				j.violation(RetryBudgetExceeded, again[at], "%d retries on %d first rounds within %d us", retries, rounds, window.Span)
				return
			}
		}
	}
}

// permitted checks each run from outside, whatever a node says of itself: a configuration
// that may still have been in force has to let it go to that engine's pool.
func (j *historyChecker) permitted(events []Event) {
	type order struct {
		sent, yes kernel.Micros
		revision  uint64
		pools     []string
	}
	orders, ids := map[string]*order{}, []string{}
	for _, event := range events {
		switch event.EventKind {
		case ConfigSent:
			if event.Pools != nil {
				orders[event.ID] = &order{sent: event.At, pools: event.Pools}
				ids = append(ids, event.ID)
			}
		case ConfigAccepted:
			if known := orders[event.ID]; known != nil && known.revision == 0 {
				known.yes, known.revision = event.At, event.Revision
			}
		case ConfigRejected:
			delete(orders, event.ID) // it never takes effect, before or after
		}
	}
	// isOver: a newer configuration was acknowledged longer ago than the old one may still be used.
	isOver := func(old *order, at kernel.Micros) bool {
		if old.revision == 0 {
			return false
		}
		for _, newer := range orders {
			if newer.revision > old.revision && at-newer.yes > j.bounds.StaleConfigTimeout {
				return true
			}
		}
		return false
	}
	for _, event := range events {
		if event.EventKind != RunStarted || event.Pool == "" || len(orders) == 0 {
			continue
		}
		isPermitted := false
		for _, id := range ids {
			known := orders[id]
			if known == nil || known.sent > event.At {
				continue
			}
			if slices.Contains(known.pools, event.Pool) && !isOver(known, event.At) {
				isPermitted = true
				break
			}
		}
		if !isPermitted {
			j.violation(StaleConfigUsed, event.At, "%s began on %s of pool %s, which no configuration then in force permits", event.Tag, event.Engine, event.Pool)
		}
	}
}
