package checker

import (
	"fmt"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules of requests that routes lead to engines which register themselves. Where the
// brief has the same rule, its name is taken: RunTwice, RunAfterRejection, RetryBudgetExceeded,
// DrainingEngineUsed, ShutdownDroppedRequest.
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
	AttemptsExceeded           Rule = "requests ran on more engines than their route's tries"
)

// RoutedEventKind says what an event of a routed fleet is about.
type RoutedEventKind string

// What callers, engines and operators of a routed fleet see.
const (
	AttemptSentByCaller RoutedEventKind = "try_sent"       // a caller sent one try, with its last byte
	AttemptEnded        RoutedEventKind = "try_over"       // and knows how it ended
	Arrived             RoutedEventKind = "arrived"        // an engine read a request
	Rejected            RoutedEventKind = "turned_away"    // an engine said that it did not run one
	Started             RoutedEventKind = "began"          // an engine began to work on one
	EngineCrashed       RoutedEventKind = "engine_crashed" // an engine's process ended unplanned
	Aborted             RoutedEventKind = "broke_off"      // an engine ended an answer too early, by itself
	Finished            RoutedEventKind = "finished"       // an engine wrote its whole answer
	DrainAcknowledged   RoutedEventKind = "leave_known"    // it was acknowledged that an engine leaves or is gone
	RouterStopping      RoutedEventKind = "router_leaving" // a planned stop was asked for
	FaultStarted        RoutedEventKind = "trouble_struck" // something unplanned
	FaultEnded          RoutedEventKind = "trouble_over"
	// ContactLost and ContactRestored bound a time in which a router, or all of them where none is named, was not
	// in touch: rules about what a router has to know do not bind it until RoutedBounds.Contact later.
	ContactLost     RoutedEventKind = "touch_lost"
	ContactRestored RoutedEventKind = "touch_back"
	// InvariantBroken is a violation that a process counted itself; Why says which.
	InvariantBroken RoutedEventKind = "invariant_broken"
)

// Chunk is one event of a stream as a caller got it.
type Chunk struct {
	Run  string `json:"run"`
	ID   int    `json:"id"`
	Last bool   `json:"last,omitempty"` // the engine said that it is the last
}

// Ending is how a try's answer ended on the wire.
type Ending string

// The ends of an answer.
const (
	Complete   Ending = "whole"
	Incomplete Ending = "broken"  // a head, then not all that it promised
	NoAnswer   Ending = "nothing" // the connection closed without a head
	Malformed  Ending = "garbage" // bytes that are no answer, or of no request that waits
	Canceled   Ending = "left_it" // the caller gave up
)

// RoutedEvent is one thing that someone outside a routed fleet saw.
type RoutedEvent struct {
	At        kernel.Micros   `json:"at_us"`
	EventKind RoutedEventKind `json:"what"`
	ID        string          `json:"id,omitempty"` // of one try
	// Digest is of method, target and body.
	Digest       string `json:"digest,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Router       string `json:"router,omitempty"`
	Engine       string `json:"engine,omitempty"`
	Service      string `json:"service,omitempty"`
	Run          string `json:"run,omitempty"` // an engine's stamp
	From         int    `json:"from,omitempty"`
	HasRestarted bool   `json:"anew,omitempty"` // an engine that was asked to go on after From began anew
	Status       int    `json:"status,omitempty"`
	Why          string `json:"why,omitempty"`
	// What a caller sent: may it run again, may it be resumed, where may it go, how long
	// does it wait.
	IsIdempotent bool          `json:"repeatable,omitempty"`
	IsResumable  bool          `json:"resumable,omitempty"`
	IsStream     bool          `json:"stream,omitempty"`
	Services     []string      `json:"services,omitempty"` // that any configuration ever led it to
	Deadline     kernel.Micros `json:"until_us,omitempty"`
	MaxAttempts  int           `json:"tries,omitempty"` // of its route: the engines that one try may run on
	IsKeepAlive  bool          `json:"kept,omitempty"`  // its connection had served a request before
	// What it got.
	Ending  Ending        `json:"ended,omitempty"`
	Chunks  []Chunk       `json:"pieces,omitempty"`
	IsOwn   bool          `json:"own,omitempty"`      // the body is the run's, byte for byte
	GotID   string        `json:"got_id,omitempty"`   // the id that the answer repeats
	FirstAt kernel.Micros `json:"first_us,omitempty"` // when the first piece came
}

// RoutedBounds are the figures of the rules.
type RoutedBounds struct {
	DrainTimeout, GracePeriod, Slack, ContactTimeout kernel.Micros
	RetryRatio, RetrySlack                           float64
	RetryWindow                                      kernel.Micros
	// MaxRejected and RejectedOneIn bound the proper requests that may be denied.
	MaxRejected, RejectedOneIn int
	// Splits are the weights of services by route, for routes that are split the same way all the time.
	Splits map[string]map[string]float64
}

// RoutedReport is the checker's word on a routed fleet.
type RoutedReport struct {
	Violations    []Violation    `json:"breaches"`
	Endings       map[string]int `json:"endings"`
	Attempts      int            `json:"tries"`
	Served        int            `json:"served"`
	Runs          int            `json:"runs"`
	ExtraArrivals int            `json:"extras"` // arrivals beyond the first of their request
}

type routedAttempt struct {
	sent     RoutedEvent
	ended    *RoutedEvent
	arrivals []RoutedEvent
	runs     []RoutedEvent
	brokeOff bool
	finished map[string]RoutedEvent
}

type routedChecker struct {
	bounds         RoutedBounds
	attempts       map[string]*routedAttempt
	order          []string
	report         RoutedReport
	disconnections disconnections
}

// CheckRouted holds the history of a routed fleet against every rule.
func CheckRouted(events []RoutedEvent, bounds RoutedBounds) RoutedReport {
	ordered := append([]RoutedEvent(nil), events...)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	j := &routedChecker{bounds: bounds, attempts: map[string]*routedAttempt{}, report: RoutedReport{Endings: map[string]int{}}}
	j.gather(ordered)
	j.disconnections = disconnectionsOf(ordered)
	for _, id := range j.order {
		j.checkAttempt(j.attempts[id])
	}
	j.rejections()
	j.engines(ordered)
	j.budget(ordered)
	j.leaving(ordered)
	j.stops(ordered)
	j.keptAlive(ordered)
	j.abandoned()
	j.splits(ordered)
	sort.SliceStable(j.report.Violations, func(a, b int) bool { return j.report.Violations[a].At < j.report.Violations[b].At })
	return j.report
}

func (j *routedChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	j.report.Violations = append(j.report.Violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (j *routedChecker) gather(events []RoutedEvent) {
	// Sent tries first: an engine's clock may put a run at the very microsecond.
	for _, event := range events {
		if event.EventKind == AttemptSentByCaller {
			j.attempts[event.ID] = &routedAttempt{sent: event, finished: map[string]RoutedEvent{}}
			j.order = append(j.order, event.ID)
			j.report.Attempts++
		}
	}
	for i, event := range events {
		if event.EventKind == InvariantBroken {
			j.violation(InvariantFailed, event.At, "%s", event.Why)
		}
		attempt := j.attempts[event.ID]
		if event.EventKind == Started {
			j.report.Runs++
			if attempt == nil {
				j.violation(UnsolicitedRun, event.At, "%s ran %s, which nobody sent", event.Engine, event.ID)
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
			attempt.brokeOff = true
		case Finished:
			attempt.finished[event.Run] = event
		}
	}
}

func (j *routedChecker) checkAttempt(attempt *routedAttempt) {
	sent := attempt.sent
	for i, run := range attempt.runs {
		if run.Digest != sent.Digest {
			j.violation(UnsolicitedRun, run.At, "%s ran %s changed", run.Engine, sent.ID)
		}
		if !contains(sent.Services, run.Service) {
			j.violation(Misrouted, run.At, "%s of %s ran %s, which is for %v", run.Engine, run.Service, sent.ID, sent.Services)
		}
		if i > 0 && !sent.IsIdempotent {
			j.violation(RunTwice, run.At, "%s ran on %s and on %s", sent.ID, attempt.runs[0].Engine, run.Engine)
		}
	}
	over := attempt.ended
	if over == nil {
		j.violation(ShutdownDroppedRequest, sent.At, "%s has no end", sent.ID)
		return
	}
	j.report.Endings[fmt.Sprintf("%s %d", over.Ending, over.Status)]++
	switch over.Status {
	case 429, 503, 408, 421:
		if !sent.IsIdempotent && len(attempt.runs) > 0 && over.Run == "" {
			j.violation(RunAfterRejection, over.At, "%s was refused with %d and ran on %s", sent.ID, over.Status, attempt.runs[0].Engine)
		}
	}
	j.checkAnswer(attempt, over)
}

// checkAnswer checks what a caller got against what the engines made.
func (j *routedChecker) checkAnswer(attempt *routedAttempt, over *RoutedEvent) {
	sent := attempt.sent
	if over.Ending == Malformed && !attempt.brokeOff {
		j.violation(AnswerMixed, over.At, "%s got %s", sent.ID, over.Why)
	}
	if over.GotID != "" && over.GotID != sent.ID {
		j.violation(AnswerMixed, over.At, "%s got the answer to %s", sent.ID, over.GotID)
		return
	}
	isSuccess := over.Status >= 200 && over.Status < 300
	if over.Run == "" {
		if isSuccess {
			j.violation(AnswerMixed, over.At, "%s got a success without a stamp", sent.ID)
		}
		return
	}
	var made *RoutedEvent
	for i := range attempt.runs {
		if attempt.runs[i].Run == over.Run {
			made = &attempt.runs[i]
		}
	}
	if made == nil {
		j.violation(AnswerMixed, over.At, "%s got the stamp %s, which is of no run of it", sent.ID, over.Run)
		return
	}
	if done, isDone := attempt.finished[over.Run]; isDone && isSuccess && done.Status >= 400 {
		j.violation(AnswerMixed, over.At, "%s got a success, its engine said %d", sent.ID, done.Status)
	} else if !isSuccess && done.Status != over.Status {
		j.violation(AnswerMixed, over.At, "%s got %d with the stamp of an engine that said %d", sent.ID, over.Status, done.Status)
	}
	if !over.IsOwn {
		j.violation(AnswerMixed, over.At, "%s got bytes that run %s did not make: %s", sent.ID, over.Run, over.Why)
		return
	}
	if !isSuccess {
		return
	}
	if sent.IsStream {
		j.checkChunks(attempt, over)
	} else if _, isDone := attempt.finished[over.Run]; over.Ending == Complete && !isDone {
		j.violation(AnswerMixed, over.At, "%s ended as whole, run %s did not", sent.ID, over.Run)
	}
	if over.Ending == Complete {
		j.report.Served++
	}
}

func (j *routedChecker) checkChunks(attempt *routedAttempt, over *RoutedEvent) {
	sent := attempt.sent
	next, current := sent.From+1, over.Run
	for _, run := range attempt.runs {
		// That is the engine's own doing, and its answer is passed on as it is. An answer of
		// which it made the head alone goes on elsewhere from where it was asked to.
		if run.HasRestarted && len(over.Chunks) > 0 && over.Chunks[0].Run == run.Run && run.Run == over.Run {
			next = 1
		}
	}
	isLast := false
	for _, chunk := range over.Chunks {
		if chunk.ID != next || isLast {
			j.violation(StreamDisordered, over.At, "%s got piece %d of %s where %d was due", sent.ID, chunk.ID, chunk.Run, next)
			return
		}
		if chunk.Run != current {
			isFollower := false
			for _, run := range attempt.runs {
				isFollower = isFollower || run.Run == chunk.Run && run.From == chunk.ID-1
			}
			if !sent.IsResumable || !isFollower {
				j.violation(StreamDisordered, over.At, "%s joins %s and %s at %d", sent.ID, current, chunk.Run, chunk.ID)
				return
			}
			current = chunk.Run
		}
		next++
		isLast = chunk.Last
	}
	if over.Ending == Complete && !isLast {
		j.violation(StreamDisordered, over.At, "%s ended as whole after piece %d", sent.ID, next-1)
	}
}

func (j *routedChecker) rejections() {
	count := 0
	var last RoutedEvent
	for _, id := range j.order {
		over := j.attempts[id].ended
		if over == nil || over.Run != "" || over.Status < 300 || over.Status >= 500 || over.Status == 408 || over.Status == 421 || over.Status == 429 {
			continue
		}
		count++
		last = *over
	}
	if count > j.bounds.MaxRejected+len(j.order)/max(j.bounds.RejectedOneIn, 1) {
		j.violation(ValidRequestsRejected, last.At, "%d of %d, the last with %d", count, len(j.order), last.Status)
	}
}

// toleratedExcessAttempts is how many requests may run on more engines than their tries.
const toleratedExcessAttempts = 3

// engines counts the requests that ran, in one try, on more engines than their route allows.
// An engine that crashed between the run's beginning and the try's end doesn't count.
func (j *routedChecker) engines(events []RoutedEvent) {
	crashes := map[string][]kernel.Micros{}
	for _, event := range events {
		if event.EventKind == EngineCrashed {
			crashes[event.Engine] = append(crashes[event.Engine], event.At)
		}
	}
	hasCrashed := func(engine string, from, till kernel.Micros) bool {
		for _, at := range crashes[engine] {
			if at >= from && at <= till {
				return true
			}
		}
		return false
	}
	exceeded := 0
	for _, id := range j.order {
		attempt := j.attempts[id]
		if attempt.ended == nil || attempt.sent.MaxAttempts == 0 {
			continue
		}
		ran := map[string]bool{}
		for _, run := range attempt.runs {
			if !hasCrashed(run.Engine, run.At, attempt.ended.At) {
				ran[run.Engine] = true
			}
		}
		if len(ran) <= attempt.sent.MaxAttempts {
			continue
		}
		if exceeded++; exceeded > toleratedExcessAttempts {
			j.violation(AttemptsExceeded, attempt.ended.At, "%s ran on %d engines, its route has %d tries", id, len(ran), attempt.sent.MaxAttempts)
		}
	}
}

// budget slides a window over the arrivals beyond the first of each request. It needs to
// be looked at only where one begins, with all that follow within its span.
func (j *routedChecker) budget(events []RoutedEvent) {
	seen := map[string]bool{}
	extras, requests := map[string][]kernel.Micros{}, map[string][]kernel.Micros{}
	for _, event := range events {
		switch event.EventKind {
		case AttemptSentByCaller:
			for _, service := range event.Services {
				requests[service] = append(requests[service], event.At)
			}
		case Arrived:
			if j.attempts[event.ID] == nil {
				continue
			}
			if seen[event.ID] {
				j.report.ExtraArrivals++
				extras[event.Service] = append(extras[event.Service], event.At)
			}
			seen[event.ID] = true
		}
	}
	within := func(times []kernel.Micros, from, till kernel.Micros) int {
		first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
		return sort.Search(len(times), func(i int) bool { return times[i] > till }) - first
	}
	window := j.bounds.RetryWindow
	for service, times := range extras {
		worst, at, allowedThen := 0.0, kernel.Micros(0), 0.0
		for _, from := range times {
			till := from + window
			own := 0
			for _, back := range []kernel.Micros{0, window / 2, window} {
				own = max(own, within(requests[service], from-back, till-back))
			}
			allowed := j.bounds.RetryRatio*float64(own) + j.bounds.RetrySlack
			if over := float64(within(times, from, till)) - allowed; over > worst {
				worst, at, allowedThen = over, from, allowed
			}
		}
		if worst > 0 {
			j.violation(RetryBudgetExceeded, at, "%s got %.1f arrivals more than the %.1f allowed", service, worst, allowedThen)
		}
	}
}

func (j *routedChecker) leaving(events []RoutedEvent) {
	known := map[string]kernel.Micros{}
	rejected := map[string]bool{}
	for _, event := range events {
		if event.EventKind == Rejected && event.Status == 421 {
			rejected[event.Engine+" "+event.ID] = true
		}
	}
	for _, event := range events {
		switch event.EventKind {
		case DrainAcknowledged:
			if _, isKnown := known[event.Engine]; !isKnown {
				known[event.Engine] = event.At
			}
		case Arrived:
			since, isKnown := known[event.Engine]
			if isKnown && event.At-since > j.bounds.DrainTimeout && !rejected[event.Engine+" "+event.ID] && !j.isDisconnected(event.ID, event.At) {
				j.violation(DrainingEngineUsed, event.At, "%s at %s, %d us after it was known to leave", event.ID, event.Engine, event.At-since)
			}
		}
	}
}

// A stop's engine may be cut off in the last sixth of the grace, on requests of its first seconds.
const (
	stopLastPart      = 5
	shutdownStartSpan = 3 * kernel.Second
)

// stops looks for requests that a planned stop dropped. What an engine broke off, what ran
// out of time, and what was near something unplanned is not the stop's doing.
func (j *routedChecker) stops(events []RoutedEvent) {
	type span struct{ from, to kernel.Micros }
	faults, open := []span{}, map[string]kernel.Micros{}
	leaving := map[string]kernel.Micros{}
	end := kernel.Micros(0)
	for _, event := range events {
		end = event.At
		switch event.EventKind {
		case FaultStarted:
			open[event.Why+event.Engine+event.Router] = event.At
		case FaultEnded:
			key := event.Why + event.Engine + event.Router
			faults = append(faults, span{open[key], event.At})
			delete(open, key)
		case RouterStopping:
			leaving[event.Router] = event.At
		}
	}
	for _, from := range open {
		faults = append(faults, span{from, end})
	}
	for _, id := range j.order {
		attempt := j.attempts[id]
		over := attempt.ended
		stop, isLeaving := leaving[attempt.sent.Router]
		if over == nil || !isLeaving || over.Ending != Incomplete && over.Ending != NoAnswer || attempt.brokeOff {
			continue
		}
		if over.At < stop || attempt.sent.At > stop+j.bounds.GracePeriod+kernel.Second || over.At >= attempt.sent.Deadline {
			continue
		}
		if len(attempt.arrivals) == 0 && over.At <= attempt.sent.At+j.bounds.Slack {
			continue
		}
		isInTime := attempt.sent.At <= stop+shutdownStartSpan
		if isInTime && over.At > stop+j.bounds.GracePeriod*stopLastPart/(stopLastPart+1) && len(attempt.runs) > 0 {
			continue // the engine was still at work in the last part
		}
		isNear := false
		for _, fault := range faults {
			isNear = isNear || fault.from <= over.At && fault.to >= attempt.sent.At-j.bounds.ContactTimeout
		}
		if !isNear {
			j.violation(ShutdownDroppedRequest, over.At, "%s through %s: %s %s", id, attempt.sent.Router, over.Ending, over.Why)
		}
	}
}

func contains(list []string, word string) bool {
	for _, known := range list {
		if known == word {
			return true
		}
	}
	return false
}
