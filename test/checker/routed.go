package checker

import (
	"fmt"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules of requests that routes lead to engines which register themselves. Where the
// brief has the same rule, its name is taken: RunTwice, RunAfterNo, RetriesMany,
// LeavingUsed, StopDropped.
const (
	AnswerMixed      Rule = "a caller got what is not the whole answer of the engine that ran its request"
	RunUnasked       Rule = "an engine ran what no caller sent"
	RouteStrayed     Rule = "a service ran a request that no spec leads to it"
	StreamDisordered Rule = "a stream's pieces are missing, doubled or joined of two runs"
	DeniedProper     Rule = "proper requests were denied"
	InvariantFailed  Rule = "an invariant was violated within a process"
	KeptDropped      Rule = "requests on kept connections went to a sound engine and got no answer"
	SplitStrayed     Rule = "a service of a split got another share than its weight's"
	WorkedOnGone     Rule = "engines got requests whose callers had left"
	TriesExceeded    Rule = "requests ran on more engines than their route's tries"
)

// RoutedHappening says what an event of a routed fleet is about.
type RoutedHappening string

// What callers, engines and operators of a routed fleet see.
const (
	TrySent       RoutedHappening = "try_sent"       // a caller sent one try, with its last byte
	TryOver       RoutedHappening = "try_over"       // and knows how it ended
	Arrived       RoutedHappening = "arrived"        // an engine read a request
	TurnedAway    RoutedHappening = "turned_away"    // an engine said that it did not run one
	Began         RoutedHappening = "began"          // an engine began to work on one
	EngineCrashed RoutedHappening = "engine_crashed" // an engine's process ended unplanned
	BrokeOff      RoutedHappening = "broke_off"      // an engine ended an answer too early, by itself
	Finished      RoutedHappening = "finished"       // an engine wrote its whole answer
	LeaveKnown    RoutedHappening = "leave_known"    // it was acknowledged that an engine leaves or is gone
	RouterLeaving RoutedHappening = "router_leaving" // a planned stop was asked for
	TroubleStruck RoutedHappening = "trouble_struck" // something unplanned
	TroubleOver   RoutedHappening = "trouble_over"
	// TouchLost and TouchBack bound a time in which a router, or all of them where none is named, was not
	// in touch: rules about what a router has to know do not bind it until RoutedBounds.Contact later.
	TouchLost RoutedHappening = "touch_lost"
	TouchBack RoutedHappening = "touch_back"
	// InvariantBroken is a violation that a process counted itself; Why says which.
	InvariantBroken RoutedHappening = "invariant_broken"
)

// Piece is one event of a stream as a caller got it.
type Piece struct {
	Run  string `json:"run"`
	ID   int    `json:"id"`
	Last bool   `json:"last,omitempty"` // the engine said that it is the last
}

// Ended is how a try's answer ended on the wire.
type Ended string

// The ends of an answer.
const (
	Whole   Ended = "whole"
	Broken  Ended = "broken"  // a head, then not all that it promised
	Nothing Ended = "nothing" // the connection closed without a head
	Garbage Ended = "garbage" // bytes that are no answer, or of no request that waits
	LeftIt  Ended = "left_it" // the caller gave up
)

// RoutedEvent is one thing that someone outside a routed fleet saw.
type RoutedEvent struct {
	At   kernel.Micros   `json:"at_us"`
	What RoutedHappening `json:"what"`
	ID   string          `json:"id,omitempty"` // of one try
	// Digest is of method, target and body.
	Digest  string `json:"digest,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Router  string `json:"router,omitempty"`
	Engine  string `json:"engine,omitempty"`
	Service string `json:"service,omitempty"`
	Run     string `json:"run,omitempty"` // an engine's stamp
	From    int    `json:"from,omitempty"`
	IsAnew  bool   `json:"anew,omitempty"` // an engine that was asked to go on after From began anew
	Status  int    `json:"status,omitempty"`
	Why     string `json:"why,omitempty"`
	// What a caller sent: may it run again, may it be resumed, where may it go, how long
	// does it wait.
	IsRepeatable bool          `json:"repeatable,omitempty"`
	IsResumable  bool          `json:"resumable,omitempty"`
	IsStream     bool          `json:"stream,omitempty"`
	Services     []string      `json:"services,omitempty"` // that any configuration ever led it to
	Until        kernel.Micros `json:"until_us,omitempty"`
	Tries        int           `json:"tries,omitempty"` // of its route: the engines that one try may run on
	IsKept       bool          `json:"kept,omitempty"`  // its connection had served a request before
	// What it got.
	Ended   Ended         `json:"ended,omitempty"`
	Pieces  []Piece       `json:"pieces,omitempty"`
	IsOwn   bool          `json:"own,omitempty"`      // the body is the run's, byte for byte
	GotID   string        `json:"got_id,omitempty"`   // the id that the answer repeats
	FirstAt kernel.Micros `json:"first_us,omitempty"` // when the first piece came
}

// RoutedBounds are the figures of the rules.
type RoutedBounds struct {
	Drain, Grace, Slack, Contact kernel.Micros
	RetryRatio, RetrySlack       float64
	RetryWindow                  kernel.Micros
	// DeniedFew and DeniedOneIn bound the proper requests that may be denied.
	DeniedFew, DeniedOneIn int
	// Splits are the weights of services by route, for routes that are split the same way all the time.
	Splits map[string]map[string]float64
}

// RoutedReview is the checker's word on a routed fleet.
type RoutedReview struct {
	Violations []Violation    `json:"breaches"`
	Endings    map[string]int `json:"endings"`
	Tries      int            `json:"tries"`
	Served     int            `json:"served"`
	Runs       int            `json:"runs"`
	Extras     int            `json:"extras"` // arrivals beyond the first of their request
}

type routedTry struct {
	sent     RoutedEvent
	over     *RoutedEvent
	arrivals []RoutedEvent
	runs     []RoutedEvent
	brokeOff bool
	finished map[string]RoutedEvent
}

type routedJudge struct {
	bounds RoutedBounds
	tries  map[string]*routedTry
	order  []string
	review RoutedReview
	touch  outOfTouch
}

// JudgeRouted holds the history of a routed fleet against every rule.
func JudgeRouted(events []RoutedEvent, bounds RoutedBounds) RoutedReview {
	ordered := append([]RoutedEvent(nil), events...)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	j := &routedJudge{bounds: bounds, tries: map[string]*routedTry{}, review: RoutedReview{Endings: map[string]int{}}}
	j.gather(ordered)
	j.touch = outOfTouchOf(ordered)
	for _, id := range j.order {
		j.judgeTry(j.tries[id])
	}
	j.denied()
	j.engines(ordered)
	j.budget(ordered)
	j.leaving(ordered)
	j.stops(ordered)
	j.kept(ordered)
	j.gone()
	j.splits(ordered)
	sort.SliceStable(j.review.Violations, func(a, b int) bool { return j.review.Violations[a].At < j.review.Violations[b].At })
	return j.review
}

func (j *routedJudge) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	j.review.Violations = append(j.review.Violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (j *routedJudge) gather(events []RoutedEvent) {
	// Sent tries first: an engine's clock may put a run at the very microsecond.
	for _, event := range events {
		if event.What == TrySent {
			j.tries[event.ID] = &routedTry{sent: event, finished: map[string]RoutedEvent{}}
			j.order = append(j.order, event.ID)
			j.review.Tries++
		}
	}
	for i, event := range events {
		if event.What == InvariantBroken {
			j.violation(InvariantFailed, event.At, "%s", event.Why)
		}
		try := j.tries[event.ID]
		if event.What == Began {
			j.review.Runs++
			if try == nil {
				j.violation(RunUnasked, event.At, "%s ran %s, which nobody sent", event.Engine, event.ID)
			}
		}
		if try == nil {
			continue
		}
		switch event.What {
		case TryOver:
			try.over = &events[i]
		case Arrived:
			try.arrivals = append(try.arrivals, event)
		case Began:
			try.runs = append(try.runs, event)
		case BrokeOff:
			try.brokeOff = true
		case Finished:
			try.finished[event.Run] = event
		}
	}
}

func (j *routedJudge) judgeTry(try *routedTry) {
	sent := try.sent
	for i, run := range try.runs {
		if run.Digest != sent.Digest {
			j.violation(RunUnasked, run.At, "%s ran %s changed", run.Engine, sent.ID)
		}
		if !contains(sent.Services, run.Service) {
			j.violation(RouteStrayed, run.At, "%s of %s ran %s, which is for %v", run.Engine, run.Service, sent.ID, sent.Services)
		}
		if i > 0 && !sent.IsRepeatable {
			j.violation(RunTwice, run.At, "%s ran on %s and on %s", sent.ID, try.runs[0].Engine, run.Engine)
		}
	}
	over := try.over
	if over == nil {
		j.violation(StopDropped, sent.At, "%s has no end", sent.ID)
		return
	}
	j.review.Endings[fmt.Sprintf("%s %d", over.Ended, over.Status)]++
	switch over.Status {
	case 429, 503, 408, 421:
		if !sent.IsRepeatable && len(try.runs) > 0 && over.Run == "" {
			j.violation(RunAfterNo, over.At, "%s was refused with %d and ran on %s", sent.ID, over.Status, try.runs[0].Engine)
		}
	}
	j.judgeAnswer(try, over)
}

// judgeAnswer checks what a caller got against what the engines made.
func (j *routedJudge) judgeAnswer(try *routedTry, over *RoutedEvent) {
	sent := try.sent
	if over.Ended == Garbage && !try.brokeOff {
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
	for i := range try.runs {
		if try.runs[i].Run == over.Run {
			made = &try.runs[i]
		}
	}
	if made == nil {
		j.violation(AnswerMixed, over.At, "%s got the stamp %s, which is of no run of it", sent.ID, over.Run)
		return
	}
	if done, isDone := try.finished[over.Run]; isDone && isSuccess && done.Status >= 400 {
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
		j.judgePieces(try, over)
	} else if _, isDone := try.finished[over.Run]; over.Ended == Whole && !isDone {
		j.violation(AnswerMixed, over.At, "%s ended as whole, run %s did not", sent.ID, over.Run)
	}
	if over.Ended == Whole {
		j.review.Served++
	}
}

func (j *routedJudge) judgePieces(try *routedTry, over *RoutedEvent) {
	sent := try.sent
	next, current := sent.From+1, over.Run
	for _, run := range try.runs {
		// That is the engine's own doing, and its answer is passed on as it is. An answer of
		// which it made the head alone goes on elsewhere from where it was asked to.
		if run.IsAnew && len(over.Pieces) > 0 && over.Pieces[0].Run == run.Run && run.Run == over.Run {
			next = 1
		}
	}
	isLast := false
	for _, piece := range over.Pieces {
		if piece.ID != next || isLast {
			j.violation(StreamDisordered, over.At, "%s got piece %d of %s where %d was due", sent.ID, piece.ID, piece.Run, next)
			return
		}
		if piece.Run != current {
			isFollower := false
			for _, run := range try.runs {
				isFollower = isFollower || run.Run == piece.Run && run.From == piece.ID-1
			}
			if !sent.IsResumable || !isFollower {
				j.violation(StreamDisordered, over.At, "%s joins %s and %s at %d", sent.ID, current, piece.Run, piece.ID)
				return
			}
			current = piece.Run
		}
		next++
		isLast = piece.Last
	}
	if over.Ended == Whole && !isLast {
		j.violation(StreamDisordered, over.At, "%s ended as whole after piece %d", sent.ID, next-1)
	}
}

func (j *routedJudge) denied() {
	count := 0
	var last RoutedEvent
	for _, id := range j.order {
		over := j.tries[id].over
		if over == nil || over.Run != "" || over.Status < 300 || over.Status >= 500 || over.Status == 408 || over.Status == 421 || over.Status == 429 {
			continue
		}
		count++
		last = *over
	}
	if count > j.bounds.DeniedFew+len(j.order)/max(j.bounds.DeniedOneIn, 1) {
		j.violation(DeniedProper, last.At, "%d of %d, the last with %d", count, len(j.order), last.Status)
	}
}

// triesForgiven is how many requests may run on more engines than their tries.
const triesForgiven = 3

// engines counts the requests that ran, in one try, on more engines than their route allows.
// An engine that crashed between the run's beginning and the try's end doesn't count.
func (j *routedJudge) engines(events []RoutedEvent) {
	crashes := map[string][]kernel.Micros{}
	for _, event := range events {
		if event.What == EngineCrashed {
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
		try := j.tries[id]
		if try.over == nil || try.sent.Tries == 0 {
			continue
		}
		ran := map[string]bool{}
		for _, run := range try.runs {
			if !hasCrashed(run.Engine, run.At, try.over.At) {
				ran[run.Engine] = true
			}
		}
		if len(ran) <= try.sent.Tries {
			continue
		}
		if exceeded++; exceeded > triesForgiven {
			j.violation(TriesExceeded, try.over.At, "%s ran on %d engines, its route has %d tries", id, len(ran), try.sent.Tries)
		}
	}
}

// budget slides a window over the arrivals beyond the first of each request. It needs to
// be looked at only where one begins, with all that follow within its span.
func (j *routedJudge) budget(events []RoutedEvent) {
	seen := map[string]bool{}
	extras, requests := map[string][]kernel.Micros{}, map[string][]kernel.Micros{}
	for _, event := range events {
		switch event.What {
		case TrySent:
			for _, service := range event.Services {
				requests[service] = append(requests[service], event.At)
			}
		case Arrived:
			if j.tries[event.ID] == nil {
				continue
			}
			if seen[event.ID] {
				j.review.Extras++
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
			j.violation(RetriesMany, at, "%s got %.1f arrivals more than the %.1f allowed", service, worst, allowedThen)
		}
	}
}

func (j *routedJudge) leaving(events []RoutedEvent) {
	known := map[string]kernel.Micros{}
	turned := map[string]bool{}
	for _, event := range events {
		if event.What == TurnedAway && event.Status == 421 {
			turned[event.Engine+" "+event.ID] = true
		}
	}
	for _, event := range events {
		switch event.What {
		case LeaveKnown:
			if _, isKnown := known[event.Engine]; !isKnown {
				known[event.Engine] = event.At
			}
		case Arrived:
			since, isKnown := known[event.Engine]
			if isKnown && event.At-since > j.bounds.Drain && !turned[event.Engine+" "+event.ID] && !j.isOutOfTouch(event.ID, event.At) {
				j.violation(LeavingUsed, event.At, "%s at %s, %d us after it was known to leave", event.ID, event.Engine, event.At-since)
			}
		}
	}
}

// A stop's engine may be cut off in the last sixth of the grace, on requests of its first seconds.
const (
	stopLastPart = 5
	stopTakes    = 3 * kernel.Second
)

// stops looks for requests that a planned stop dropped. What an engine broke off, what ran
// out of time, and what was near something unplanned is not the stop's doing.
func (j *routedJudge) stops(events []RoutedEvent) {
	type span struct{ from, to kernel.Micros }
	troubles, open := []span{}, map[string]kernel.Micros{}
	leaving := map[string]kernel.Micros{}
	end := kernel.Micros(0)
	for _, event := range events {
		end = event.At
		switch event.What {
		case TroubleStruck:
			open[event.Why+event.Engine+event.Router] = event.At
		case TroubleOver:
			key := event.Why + event.Engine + event.Router
			troubles = append(troubles, span{open[key], event.At})
			delete(open, key)
		case RouterLeaving:
			leaving[event.Router] = event.At
		}
	}
	for _, from := range open {
		troubles = append(troubles, span{from, end})
	}
	for _, id := range j.order {
		try := j.tries[id]
		over := try.over
		stop, isLeaving := leaving[try.sent.Router]
		if over == nil || !isLeaving || over.Ended != Broken && over.Ended != Nothing || try.brokeOff {
			continue
		}
		if over.At < stop || try.sent.At > stop+j.bounds.Grace+kernel.Second || over.At >= try.sent.Until {
			continue
		}
		if len(try.arrivals) == 0 && over.At <= try.sent.At+j.bounds.Slack {
			continue
		}
		isInTime := try.sent.At <= stop+stopTakes
		if isInTime && over.At > stop+j.bounds.Grace*stopLastPart/(stopLastPart+1) && len(try.runs) > 0 {
			continue // the engine was still at work in the last part
		}
		isNear := false
		for _, trouble := range troubles {
			isNear = isNear || trouble.from <= over.At && trouble.to >= try.sent.At-j.bounds.Contact
		}
		if !isNear {
			j.violation(StopDropped, over.At, "%s through %s: %s %s", id, try.sent.Router, over.Ended, over.Why)
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
