package checker

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"dunlinloom/internal/kernel"
)

// Rule names an invariant by its violation. The texts are part of reports.
type Rule string

// The rules of every run.
const (
	RunTwice               Rule = "a request ran twice"
	RunAfterRejection      Rule = "a request ran after a promise that it had not"
	BodyMismatch           Rule = "a body was not exactly the engine's"
	FalseCompletion        Rule = "a stream ended as if complete"
	DrainingEngineUsed     Rule = "a request went to a leaving engine"
	DrainedZoneUsed        Rule = "a request went to an emptied zone"
	StaleConfigUsed        Rule = "a request was handled under an old configuration"
	ConfigRegressed        Rule = "a node slipped back to an older configuration"
	RetryBudgetExceeded    Rule = "retries exceeded their share"
	SlowStartOverloaded    Rule = "a starting engine was flooded"
	ShutdownDroppedRequest Rule = "a planned stop dropped a request"
	AcknowledgedLost       Rule = "an acknowledged order was lost"
	RejectedTookEffect     Rule = "a rejected order took effect"
	RecoveryTooSlow        Rule = "service stayed broken after repair"
	HistoryNotLinearizable Rule = "the operators' history is not linearizable"
	// HistoryUndecided is no violation that was seen, but a run with it is not shown to be correct either.
	HistoryUndecided Rule = "the operators' history was not judged in time: undecided"
	RepeatRefused    Rule = "a repeat of an acknowledged order was refused"
)

// Bounds are the figures of the rules. Times are microseconds, but for LinearizabilityTimeout; shares are
// fractions of 1.
type Bounds struct {
	EngineDrainTimeout, ZoneDrainTimeout, StaleConfigTimeout, RegressionTimeout, RecoveryTimeout kernel.Micros
	RetryShare                                                                                   float64 // of all first attempts
	// RetryWindows bound bursts: of the first attempts of the last Span no more than Share.
	RetryWindows []RetryWindow
	// History is how many past configurations have to be readable.
	History int
	// StreamStallTimeout is how long a stream may stand still after its engine failed.
	StreamStallTimeout kernel.Micros
	// OperationTimeout is how soon an operation has to be answered once all is repaired.
	OperationTimeout kernel.Micros
	// LoadShare is the share of rejections for load alone that is allowed after a repair.
	LoadShare float64
	// LinearizabilityTimeout is how long the check of the operators' history may take.
	LinearizabilityTimeout time.Duration
}

// RetryWindow is a bound on retries over a sliding span.
type RetryWindow struct {
	Span  kernel.Micros
	Share float64
}

// DefaultBounds gives the figures that are promised.
func DefaultBounds() Bounds {
	return Bounds{
		EngineDrainTimeout: 3 * kernel.Second, ZoneDrainTimeout: 5 * kernel.Second, StaleConfigTimeout: 2 * kernel.Second,
		RegressionTimeout: kernel.Second / 4, RecoveryTimeout: 12 * kernel.Second, RetryShare: 0.1,
		// What is promised is a small share, of no stated span: these two are the project's own, in docs/design.md.
		RetryWindows: []RetryWindow{{10 * kernel.Second, 0.2}, {60 * kernel.Second, 0.1}},
		History:      64, StreamStallTimeout: 25 * kernel.Second, OperationTimeout: 10 * kernel.Second, LoadShare: 0.1,
		LinearizabilityTimeout: linearizabilityTimeout,
	}
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule          `json:"rule"`
	At     kernel.Micros `json:"at_us"`
	Detail string        `json:"detail"`
}

// Report is the result of Check.
type Report struct {
	Violations []Violation    `json:"breaches"`
	Outcomes   map[string]int `json:"outcomes"`
	Rejects    map[string]int `json:"declines"`
	Calls      int            `json:"calls"`
	Runs       int            `json:"runs"`
	// RecoverySpan is the time from the repair to the first request served after it.
	RecoverySpan kernel.Micros `json:"repair_took_us"`
	// Unserved counts requests that were not served by how they ended and by the
	// fault that struck last before, within ten seconds.
	Unserved map[string]int `json:"unserved,omitempty"`
}

// Check checks a history against every rule. The events may come in any order; those of one time are
// taken in the given order.
func Check(events []Event, bounds Bounds) Report {
	ordered := slices.Clone(events)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	c := &historyChecker{bounds: bounds, runs: map[string]Event{}, report: Report{Outcomes: map[string]int{}, Rejects: map[string]int{}, Unserved: map[string]int{}}}
	for _, check := range []func([]Event){
		c.checkRuns, c.checkRetries, c.checkCalls, c.checkDrains, c.checkConfigs, c.checkRegister,
		c.checkRepeats, c.checkPermitted, c.checkFinalReads, c.checkStops, c.checkRecovery, c.countUnserved,
	} {
		check(ordered)
	}
	sortByTime(c.report.Violations)
	return c.report
}

// sortByTime keeps the order of violations at the same time.
func sortByTime(violations []Violation) {
	sort.SliceStable(violations, func(a, b int) bool { return violations[a].At < violations[b].At })
}

type historyChecker struct {
	bounds Bounds
	report Report
	runs   map[string]Event // the first run of each tag, once checkRuns is done
}

func (c *historyChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

// causeSpan is how long after a fault an unserved call is counted as its effect.
const causeSpan = 10 * kernel.Second

// countUnserved counts the calls that were not served, by how they ended and the fault before them.
func (c *historyChecker) countUnserved(events []Event) {
	faults := []Event{}
	for _, event := range events {
		if event.EventKind == FaultInjected {
			faults = append(faults, event)
		}
	}
	for _, event := range events {
		if event.EventKind != CallEnded || event.Outcome == Served || event.Outcome == Abandoned {
			continue
		}
		cause := "no fault"
		for _, fault := range faults {
			if fault.At <= event.At && event.At-fault.At <= causeSpan {
				cause = fault.Reason
			}
		}
		ending := string(event.Outcome)
		if event.Reason != "" && (event.Outcome == NotRun || event.Outcome == MayHaveRun) {
			ending += " " + event.Reason
		}
		c.report.Unserved[ending+" | "+cause]++
	}
}
