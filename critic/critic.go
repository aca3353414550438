// Package critic judges a fleet from the outside: by what callers, engines and
// operators saw. The simulator and the rehearsals hand it the same events.
package critic

import (
	"fmt"
	"sort"

	"dunlinloom/house"
)

// Happening says what an event is about.
type Happening string

// What can happen.
const (
	RunBegan      Happening = "run_began"      // an engine began to run a request
	RunDeclined   Happening = "run_declined"   // an engine said that it will not run it
	RunOvercrowd  Happening = "run_overcrowd"  // a starting engine got more than it can bear
	CallEnded     Happening = "call_ended"     // a caller knows how its request ended
	SpecSent      Happening = "spec_sent"      // an operator's spec went out
	SpecYes       Happening = "spec_yes"       // and was acknowledged
	SpecNo        Happening = "spec_no"        // or declined for good
	SpecRead      Happening = "spec_read"      // an operator read a spec back
	ZoneEmptied   Happening = "zone_emptied"   // an evacuation was acknowledged
	ZoneRefilling Happening = "zone_refilling" // an operator asked for its end
	ZoneRefilled  Happening = "zone_refilled"  // that order has ended, either way
	EngineLeaving Happening = "engine_leaving" // the first node learned that an engine leaves
	NodeStopping  Happening = "node_stopping"  // a planned stop of a node was asked for
	NodeStopped   Happening = "node_stopped"
	NodeKilled    Happening = "node_killed"   // a fault ended it, so a planned stop is none any more
	EngineFailed  Happening = "engine_failed" // a fault struck an engine: it died, went dark or tore a stream
	Repaired      Happening = "repaired"      // every machine is back
	Totals        Happening = "totals"        // the fleet's own counts at the end
)

// Event is one thing that someone outside saw.
type Event struct {
	At   house.Micros `json:"at_us"`
	What Happening    `json:"what"`
	// Tag names a caller's request, the same at the caller and at the engines.
	Tag    string `json:"tag,omitempty"`
	Node   string `json:"node,omitempty"`
	Engine string `json:"engine,omitempty"`
	Start  uint64 `json:"start,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Kind   string `json:"kind,omitempty"`
	// Began is when the caller sent its request.
	Began      house.Micros `json:"began_us,omitempty"`
	Outcome    Outcome      `json:"outcome,omitempty"`
	Reason     string       `json:"reason,omitempty"`
	Generation uint64       `json:"generation,omitempty"`
	ID         string       `json:"id,omitempty"`
	Digest     string       `json:"digest,omitempty"`
	First      uint64       `json:"first,omitempty"`
	Retries    uint64       `json:"retries,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes a caller can see.
const (
	Served     Outcome = "served"       // whole, to the closing mark, every byte the engine's
	EngineSays Outcome = "engine_says"  // the engine's own error, byte for byte
	NotRun     Outcome = "not_run"      // declined with that promise
	MayHaveRun Outcome = "may_have_run" // declined without it
	Torn       Outcome = "torn"         // broken off, and seen to be
	Wrong      Outcome = "wrong"        // bytes that are not the engine's, or of two runs
	FalseEnd   Outcome = "false_end"    // ended as if complete when it was not
	NoReceipt  Outcome = "no_receipt"   // the channel closed without any answer
	Unreached  Outcome = "unreached"    // no channel could be opened
	HungUp     Outcome = "hung_up"      // the caller itself left
)

// Rule names a thing that must never happen.
type Rule string

// The rules of the brief.
const (
	RunTwice     Rule = "a request ran twice"
	RunAfterNo   Rule = "a request ran after a promise that it had not"
	BodyWrong    Rule = "a body was not exactly the engine's"
	EndFalse     Rule = "a stream ended as if complete"
	LeavingUsed  Rule = "a request went to a leaving engine"
	EmptiedUsed  Rule = "a request went to an emptied zone"
	SpecOld      Rule = "a request was handled under an old spec"
	SpecSlipped  Rule = "a node slipped back to an older spec"
	RetriesMany  Rule = "retries exceeded their share"
	ColdFlooded  Rule = "a starting engine was flooded"
	StopDropped  Rule = "a planned stop dropped a request"
	ReceiptLost  Rule = "an acknowledged order was lost"
	NoTookEffect Rule = "a declined order took effect"
	BrokenLong   Rule = "service stayed broken after repair"
)

// Bounds are the figures of the rules.
type Bounds struct {
	Leaving, Emptied, OldSpec, SlipBack, Broken house.Micros
	RetryShare                                  float64
}

// BriefBounds are the brief's own figures.
func BriefBounds() Bounds {
	return Bounds{
		Leaving: 3 * house.Second, Emptied: 5 * house.Second, OldSpec: 2 * house.Second,
		SlipBack: house.Second / 4, Broken: 12 * house.Second, RetryShare: 0.1,
	}
}

// Breach is one breaking of a rule.
type Breach struct {
	Rule   Rule         `json:"rule"`
	At     house.Micros `json:"at_us"`
	Detail string       `json:"detail"`
}

// Review is the critic's whole word on a history.
type Review struct {
	Breaches []Breach       `json:"breaches"`
	Outcomes map[string]int `json:"outcomes"`
	Declines map[string]int `json:"declines"`
	Calls    int            `json:"calls"`
	Runs     int            `json:"runs"`
	// RepairTook is the time from the repair to the first request served after it.
	RepairTook house.Micros `json:"repair_took_us"`
}

// Judge holds a history against every rule.
func Judge(events []Event, bounds Bounds) Review {
	ordered := append([]Event(nil), events...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At < ordered[j].At })
	j := &judge{bounds: bounds, review: Review{Outcomes: map[string]int{}, Declines: map[string]int{}}}
	j.runs(ordered)
	j.calls(ordered)
	j.marks(ordered)
	j.specs(ordered)
	j.stops(ordered)
	j.repair(ordered)
	sort.SliceStable(j.review.Breaches, func(a, b int) bool { return j.review.Breaches[a].At < j.review.Breaches[b].At })
	return j.review
}

type judge struct {
	bounds Bounds
	review Review
	ranAt  map[string]Event
}

func (j *judge) breach(rule Rule, at house.Micros, detail string, args ...any) {
	j.review.Breaches = append(j.review.Breaches, Breach{rule, at, fmt.Sprintf(detail, args...)})
}

func (j *judge) runs(events []Event) {
	j.ranAt = map[string]Event{}
	for _, event := range events {
		switch event.What {
		case RunBegan:
			j.review.Runs++
			if earlier, isThere := j.ranAt[event.Tag]; isThere {
				j.breach(RunTwice, event.At, "%s ran on %s and on %s", event.Tag, earlier.Engine, event.Engine)
				continue
			}
			j.ranAt[event.Tag] = event
		case RunOvercrowd:
			j.breach(ColdFlooded, event.At, "engine %s: %s", event.Engine, event.Reason)
		case Totals:
			allowed := j.bounds.RetryShare * float64(event.First)
			if float64(event.Retries) > allowed {
				j.breach(RetriesMany, event.At, "%d retries on %d first rounds", event.Retries, event.First)
			}
		}
	}
}

func (j *judge) calls(events []Event) {
	for _, event := range events {
		if event.What != CallEnded {
			continue
		}
		j.review.Calls++
		j.review.Outcomes[string(event.Outcome)]++
		switch event.Outcome {
		case NotRun:
			j.review.Declines[event.Reason]++
			if ran, hasRun := j.ranAt[event.Tag]; hasRun {
				j.breach(RunAfterNo, event.At, "%s was declined as not run, yet ran on %s", event.Tag, ran.Engine)
			}
		case MayHaveRun:
			j.review.Declines[event.Reason]++
		case Wrong:
			j.breach(BodyWrong, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		case FalseEnd:
			j.breach(EndFalse, event.At, "%s through %s: %s", event.Tag, event.Node, event.Reason)
		}
	}
}

// marks checks engines that leave and zones that are emptied.
func (j *judge) marks(events []Event) {
	type start struct {
		engine string
		start  uint64
	}
	leaving, emptied := map[start]house.Micros{}, map[string]house.Micros{}
	refills := map[string]int{}
	for _, event := range events {
		switch event.What {
		case EngineLeaving:
			key := start{event.Engine, event.Start}
			if _, isKnown := leaving[key]; !isKnown {
				leaving[key] = event.At
			}
		case ZoneEmptied:
			// While a refill is under way it may take effect after this receipt.
			if _, isKnown := emptied[event.Zone]; !isKnown && refills[event.Zone] == 0 {
				emptied[event.Zone] = event.At
			}
		case ZoneRefilling:
			refills[event.Zone]++
			delete(emptied, event.Zone)
		case ZoneRefilled:
			refills[event.Zone]--
		case RunBegan:
			if since, isLeaving := leaving[start{event.Engine, event.Start}]; isLeaving && event.At-since > j.bounds.Leaving {
				j.breach(LeavingUsed, event.At, "%s on %s, %d us after the mark", event.Tag, event.Engine, event.At-since)
			}
			if since, isEmptied := emptied[event.Zone]; isEmptied && event.At-since > j.bounds.Emptied {
				j.breach(EmptiedUsed, event.At, "%s on %s in %s, %d us after the receipt", event.Tag, event.Engine, event.Zone, event.At-since)
			}
		}
	}
}

func (j *judge) specs(events []Event) {
	type seen struct {
		at         house.Micros
		generation uint64
	}
	acked, newest := []Event{}, map[string][]seen{}
	sent, declined := map[string]string{}, map[string]string{}
	for _, event := range events {
		switch event.What {
		case SpecSent:
			sent[event.ID] = event.Digest
		case SpecYes:
			acked = append(acked, event)
			if reason, isDeclined := declined[event.ID]; isDeclined {
				j.breach(NoTookEffect, event.At, "submission %s was declined (%s) and then acknowledged", event.ID, reason)
			}
		case SpecNo:
			declined[event.ID] = event.Reason
		case SpecRead:
			j.readBack(event, acked, sent, declined)
		case CallEnded:
			if event.Generation == 0 || event.Outcome == Unreached || event.Outcome == NoReceipt {
				continue
			}
			for _, yes := range acked {
				// A request that came in after the grace must be under the new spec.
				if event.Generation < yes.Generation && event.Began-yes.At > j.bounds.OldSpec {
					j.breach(SpecOld, event.At, "%s by %s under %d, sent %d us after %d was acknowledged", event.Tag, event.Node, event.Generation, event.Began-yes.At, yes.Generation)
					break
				}
			}
			// Slipping back is judged between requests that did not overlap.
			for _, earlier := range newest[event.Node] {
				if event.Began-earlier.at > j.bounds.SlipBack && event.Generation < earlier.generation {
					j.breach(SpecSlipped, event.At, "%s by %s under %d after %d", event.Tag, event.Node, event.Generation, earlier.generation)
					break
				}
			}
			marks := newest[event.Node]
			if len(marks) == 0 || event.Generation > marks[len(marks)-1].generation {
				newest[event.Node] = append(marks, seen{event.At, event.Generation})
			}
		}
	}
}

// readBack checks what an operator read under a generation.
func (j *judge) readBack(read Event, acked []Event, sent, declined map[string]string) {
	for _, yes := range acked {
		if yes.Generation == read.Generation && yes.Digest != read.Digest {
			j.breach(ReceiptLost, read.At, "generation %d reads %q, acknowledged was %q", read.Generation, read.Digest, yes.Digest)
		}
	}
	for id := range declined {
		digest, isSent := sent[id]
		if isSent && digest == read.Digest && digest != "" {
			j.breach(NoTookEffect, read.At, "submission %s was declined, yet generation %d is its spec", id, read.Generation)
		}
	}
}

// stops checks that a planned stop leaves no accepted request without an answer.
// What a fault took, of the node or of the engine that served, is not the stop's.
func (j *judge) stops(events []Event) {
	type span struct{ from, to house.Micros }
	spans, breakdowns := map[string][]span{}, map[string][]house.Micros{}
	for _, event := range events {
		switch event.What {
		case NodeStopping:
			spans[event.Node] = append(spans[event.Node], span{event.At, -1})
		case NodeStopped:
			if last := len(spans[event.Node]) - 1; last >= 0 && spans[event.Node][last].to < 0 {
				spans[event.Node][last].to = event.At + house.Second
			}
		case NodeKilled:
			for i, open := range spans[event.Node] {
				if open.to < 0 || open.to >= event.At {
					spans[event.Node][i].to = event.At - 1
				}
			}
		case EngineFailed:
			breakdowns[event.Engine] = append(breakdowns[event.Engine], event.At)
		}
	}
	// A stream stands still for a while before a failed engine is given up.
	const patience = 60 * house.Second
	isExcused := func(call Event) bool {
		for _, at := range breakdowns[call.Engine] {
			if call.Engine != "" && at >= call.Began-patience && at <= call.At {
				return true
			}
		}
		return false
	}
	for _, event := range events {
		if event.What != CallEnded || event.Outcome != NoReceipt && event.Outcome != Torn || isExcused(event) {
			continue
		}
		for _, span := range spans[event.Node] {
			if event.At >= span.from && (span.to < 0 || event.At <= span.to) {
				j.breach(StopDropped, event.At, "%s at %s: %s (%s)", event.Tag, event.Node, event.Outcome, event.Reason)
			}
		}
	}
}

// repair checks that service is back soon after every machine is.
func (j *judge) repair(events []Event) {
	var repaired *Event
	for i := range events {
		if events[i].What == Repaired {
			repaired = &events[i]
		}
	}
	if repaired == nil {
		return
	}
	lastEvent := events[len(events)-1].At
	for _, event := range events {
		if event.What == CallEnded && event.Outcome == Served && event.Began >= repaired.At {
			j.review.RepairTook = event.Began - repaired.At
			if j.review.RepairTook > j.bounds.Broken {
				j.breach(BrokenLong, event.At, "the first request served after the repair was sent %d us after it", j.review.RepairTook)
			}
			return
		}
	}
	if lastEvent-repaired.At > j.bounds.Broken {
		j.breach(BrokenLong, lastEvent, "nothing was served in %d us after the repair", lastEvent-repaired.At)
	}
}
