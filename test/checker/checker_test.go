package checker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

const s = kernel.Second

// validHistory returns a history without a violation. The tests add events to it to plant a violation.
func validHistory() []Event {
	return []Event{
		{At: 1 * s, EventKind: ConfigSent, ID: "a", Digest: "A"},
		{At: 2 * s, EventKind: ConfigAccepted, ID: "a", Revision: 5, Digest: "A"},
		{At: 3 * s, EventKind: RunStarted, Tag: "r1", Engine: "e1", Start: 1, Zone: "z1"},
		{At: 4 * s, EventKind: CallEnded, Tag: "r1", Node: "n1", StartedAt: 3 * s, Outcome: Served, Revision: 5},
		{At: 4 * s, EventKind: RunRejected, Tag: "r2", Engine: "e1", Start: 1, Zone: "z1"},
		{At: 5 * s, EventKind: CallEnded, Tag: "r2", Node: "n1", StartedAt: 4 * s, Outcome: NotRun, Reason: "late"},
		{At: 6 * s, EventKind: EngineDraining, Engine: "e1", Start: 1},
		{At: 8 * s, EventKind: RunStarted, Tag: "r3", Engine: "e1", Start: 1, Zone: "z1"},
		{At: 9 * s, EventKind: CallEnded, Tag: "r3", Node: "n1", StartedAt: 8 * s, Outcome: Truncated, Revision: 5},
		{At: 10 * s, EventKind: ZoneDrained, Zone: "z2"},
		{At: 14 * s, EventKind: RunStarted, Tag: "r4", Engine: "e2", Start: 1, Zone: "z2"},
		{At: 16 * s, EventKind: CallEnded, Tag: "r4", Node: "n2", StartedAt: 14 * s, Outcome: Served, Revision: 5},
		{At: 17 * s, EventKind: ZoneUndraining, Zone: "z2"},
		{At: 20 * s, EventKind: RunStarted, Tag: "r5", Engine: "e2", Start: 1, Zone: "z2"},
		{At: 21 * s, EventKind: CallEnded, Tag: "r5", Node: "n2", StartedAt: 20 * s, Outcome: Served, Revision: 6},
		{At: 22 * s, EventKind: ZoneDrained, Zone: "z2"}, // the undrain requested at 17 s is still in flight
		{At: 23 * s, EventKind: ZoneUndrained, Zone: "z2"},
		{At: 29 * s, EventKind: RunStarted, Tag: "r9", Engine: "e2", Start: 1, Zone: "z2"},
		{At: 30 * s, EventKind: NodeStopping, Node: "n2"},
		{At: 30 * s, EventKind: RunStarted, Tag: "r7", Engine: "e5", Start: 1, Zone: "z1"},
		{At: 31 * s, EventKind: EngineFailed, Engine: "e5"},
		{At: 31 * s, EventKind: CallEnded, Tag: "r7", Node: "n2", StartedAt: 30 * s, Outcome: Truncated, Engine: "e5", Revision: 6},
		{At: 32 * s, EventKind: NodeStopped, Node: "n2"},
		{At: 33 * s, EventKind: NodeStopping, Node: "n3"},
		{At: 34 * s, EventKind: NodeKilled, Node: "n3"},
		{At: 34 * s, EventKind: CallEnded, Tag: "r8", Node: "n3", StartedAt: 33 * s, Outcome: NoResponse},
		{At: 40 * s, EventKind: Repaired},
		{At: 42 * s, EventKind: RunStarted, Tag: "r6", Engine: "e3", Start: 1, Zone: "z1"},
		{At: 43 * s, EventKind: CallEnded, Tag: "r6", Node: "n1", StartedAt: 42 * s, Outcome: Served, Revision: 6},
		{At: 50 * s, EventKind: ConfigRead, Revision: 5, Digest: "A"},
		{At: 51 * s, EventKind: Totals, First: 1000, Retries: 90},
	}
}

func TestValidHistoryHasNoViolation(t *testing.T) {
	c := qt.New(t)
	report := Check(validHistory(), DefaultBounds())
	c.Assert(report.Violations, qt.HasLen, 0)
	c.Assert(report.RecoverySpan, qt.Equals, 2*s)
	c.Assert(report.Calls, qt.Equals, 8)
}

// Without a read at the end a run does not show that acknowledged configurations were kept, so the
// missing reads are reported as a violation.
func TestMissingFinalReadsAreAViolation(t *testing.T) {
	c := qt.New(t)
	unread := slices.DeleteFunc(validHistory(), func(event Event) bool { return event.EventKind == ConfigRead })
	report := Check(unread, DefaultBounds())
	c.Assert(report.Violations, qt.HasLen, 1)
	c.Assert(report.Violations[0].Rule, qt.Equals, AcknowledgedLost)
}

func repairedWith(nodes, kinds []string) []Event {
	return []Event{{At: 40*s + 1, EventKind: Repaired, Roster: nodes, Kinds: kinds}}
}

// servedAfterRepair returns a request of kind log that n1 served and a configuration that was acknowledged,
// both after recovery.
func servedAfterRepair() []Event {
	return []Event{
		{At: 53 * s, EventKind: CallEnded, Tag: "calm", Node: "n1", Kind: "log", StartedAt: 52*s + 1, Outcome: Served, Revision: 6},
		{At: 53 * s, EventKind: ConfigSent, ID: "calm", Digest: "C"},
		{At: 54 * s, EventKind: ConfigAccepted, ID: "calm", Revision: 7, Digest: "C"},
		{At: 55 * s, EventKind: ConfigRead, Revision: 7, Digest: "C"},
	}
}

// burst returns first attempts at a fixed interval, followed by immediate retries of the last ones.
func burst(firsts, retries int, interval kernel.Micros) []Event {
	events := []Event{}
	for i := range firsts {
		events = append(events, Event{At: 60*s + kernel.Micros(i)*interval, EventKind: AttemptSent, Tag: fmt.Sprint("b", i)})
	}
	last := events[len(events)-1].At
	for i := range retries {
		events = append(events, Event{At: last + kernel.Micros(i), EventKind: AttemptSent, Tag: fmt.Sprint("b", firsts-1-i)})
	}
	return events
}

// twoPools returns a configuration that permits pool p and, acknowledged at 63 s, one that permits pool q.
func twoPools() []Event {
	return []Event{
		{At: 55 * s, EventKind: ConfigSent, ID: "p", Digest: "P", Pools: []string{"p"}},
		{At: 56 * s, EventKind: ConfigAccepted, ID: "p", Revision: 8, Digest: "P"},
		{At: 62 * s, EventKind: ConfigSent, ID: "q", Digest: "Q", Pools: []string{"q"}},
		{At: 63 * s, EventKind: ConfigAccepted, ID: "q", Revision: 9, Digest: "Q"},
		{At: 64 * s, EventKind: ConfigRead, Revision: 8, Digest: "P"}, {At: 64 * s, EventKind: ConfigRead, Revision: 9, Digest: "Q"},
	}
}

// twoOnOneBase returns two configurations that were both acknowledged on base revision 5.
func twoOnOneBase() []Event {
	return []Event{
		{At: 47 * s, EventKind: ConfigSent, ID: "o", Digest: "O", HasBase: true, Base: 5},
		{At: 47 * s, EventKind: ConfigSent, ID: "p", Digest: "P", HasBase: true, Base: 5},
		{At: 48 * s, EventKind: ConfigAccepted, ID: "o", Revision: 7, Digest: "O"},
		{At: 48 * s, EventKind: ConfigAccepted, ID: "p", Revision: 8, Digest: "P"},
		{At: 51 * s, EventKind: ConfigRead, Revision: 7, Digest: "O"}, {At: 51 * s, EventKind: ConfigRead, Revision: 8, Digest: "P"},
	}
}

// manyUnknown returns so many operations without an answer that their possible orders cannot all be tried,
// and a read that shows none of them.
func manyUnknown() []Event {
	events := []Event{
		{At: 47 * s, EventKind: ConfigSent, ID: "o", Digest: "O", HasBase: true, Base: 7},
		{At: 48 * s, EventKind: ConfigAccepted, ID: "o", Revision: 8, Digest: "O"},
		{At: 51 * s, EventKind: ConfigRead, Revision: 8, Digest: "O"},
		{At: 51 * s, EventKind: NewestRead, StartedAt: 50 * s, Revision: 9, Digest: "of nobody"},
	}
	for i := range 40 {
		events = append(events, Event{At: 47 * s, EventKind: ConfigSent, ID: fmt.Sprint("u", i), Digest: fmt.Sprint("U", i)})
	}
	return events
}

// Permitted histories that resemble a violation must not be reported.
func TestNearMissesAreNotReported(t *testing.T) {
	for name, events := range map[string][]Event{
		"rejected for load after a repair":                                {{At: 53 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 52*s + 1, Outcome: NotRun, Reason: "late"}},
		"rejected within the bound":                                       {{At: 53 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 52*s - 1, Outcome: NotRun, Reason: "no_licence"}},
		"every node, kind and operation":                                  append(repairedWith([]string{"n1"}, []string{"log"}), servedAfterRepair()...),
		"retries within both windows":                                     burst(120, 4, s/2),
		"a run within the timeout for the old configuration":              append(twoPools(), Event{At: 65 * s, EventKind: RunStarted, Tag: "x", Engine: "e8", Pool: "p"}),
		"a configuration that may be in force before its acknowledgement": append(twoPools(), Event{At: 62*s + 1, EventKind: RunStarted, Tag: "x", Engine: "e8", Pool: "q"}),
		"a configuration whose operator got no answer": append(twoPools(), Event{At: 66 * s, EventKind: ConfigSent, ID: "r", Pools: []string{"r"}},
			Event{At: 76 * s, EventKind: RunStarted, Tag: "x", Engine: "e8", Pool: "r"}, Event{At: 76 * s, EventKind: RunStarted, Tag: "y", Engine: "e8", Pool: "q"}),
		"a newer configuration than any acknowledged": {{At: 51 * s, EventKind: ConfigCurrent, Revision: 9}},
		"a zone whose undrain is newer than a late acknowledgement of its drain": {
			{At: 53 * s, EventKind: ZoneUndraining, Zone: "z3"}, {At: 54 * s, EventKind: ZoneUndrained, Zone: "z3", Revision: 12},
			{At: 55 * s, EventKind: ZoneDrained, Zone: "z3", Revision: 11}, {At: 61 * s, EventKind: RunStarted, Tag: "x", Engine: "e2", Zone: "z3"}},
		"a read that overlaps an operation shows the state before or after it": {
			{At: 47 * s, EventKind: ConfigSent, ID: "o", Digest: "O", HasBase: true, Base: 5}, {At: 48 * s, EventKind: NewestRead, StartedAt: 46 * s, Revision: 7, Digest: "O"},
			{At: 48 * s, EventKind: NewestRead, StartedAt: 46 * s, Revision: 5, Digest: "A"}, {At: 49 * s, EventKind: ConfigAccepted, ID: "o", Revision: 7, Digest: "O"}, {At: 51 * s, EventKind: ConfigRead, Revision: 7, Digest: "O"}},
		"the result of an operation without an answer is read": {
			{At: 47 * s, EventKind: ConfigSent, ID: "o", Digest: "O", HasBase: true, Base: 5}, {At: 49 * s, EventKind: NewestRead, StartedAt: 48 * s, Revision: 7, Digest: "O"}},
		"a repeat is acknowledged under the same revision": {{At: 48 * s, EventKind: RepeatAccepted, ID: "a", Revision: 5}},
		"a zone being undrained is read as not drained":    {{At: 51 * s, EventKind: ZoneDrained, Zone: "z3"}, {At: 52 * s, EventKind: ZoneUndraining, Zone: "z3"}, {At: 53 * s, EventKind: ZonesRead}},
		"a stream abandoned while its engine was down": {
			{At: 29 * s, EventKind: EngineFailed, Engine: "e6"}, {At: 30 * s, EventKind: RunStarted, Tag: "x", Engine: "e6"}, {At: 30*s + 1, EventKind: EngineRecovered, Engine: "e6"},
			{At: 31 * s, EventKind: CallEnded, Tag: "x", Node: "n2", StartedAt: 30 * s, Outcome: Truncated}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(Check(append(validHistory(), events...), DefaultBounds()).Violations, qt.HasLen, 0)
		})
	}
}

// Each planted violation has to be reported under its own rule and under no other.
func TestEveryPlantedViolationIsFound(t *testing.T) {
	for _, plant := range []struct {
		rule   Rule
		events []Event
		drop   string // the tag of the events to leave out
	}{
		{RunTwice, []Event{{At: 5 * s, EventKind: RunStarted, Tag: "r1", Engine: "e4", Zone: "z1"}}, ""},
		{RunAfterRejection, []Event{{At: 9 * s, EventKind: RunStarted, Tag: "r2", Engine: "e4", Zone: "z1"}}, ""},
		{BodyMismatch, []Event{{At: 9 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 8 * s, Outcome: Corrupted}}, ""},
		{FalseCompletion, []Event{{At: 9 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 8 * s, Outcome: FalseEnd}}, ""},
		{DrainedZoneUsed, []Event{{At: 24 * s, EventKind: ZoneDrained, Zone: "z2"}, {At: 29*s + 1, EventKind: RunStarted, Tag: "x", Engine: "e2", Start: 1, Zone: "z2"}}, "r9"},
		{DrainingEngineUsed, []Event{{At: 9*s + 1, EventKind: RunStarted, Tag: "x", Engine: "e1", Start: 1, Zone: "z1"}}, ""},
		{DrainedZoneUsed, []Event{{At: 15*s + 1, EventKind: RunStarted, Tag: "x", Engine: "e2", Start: 1, Zone: "z2"}}, ""},
		{StaleConfigUsed, []Event{{At: 5 * s, EventKind: CallEnded, Tag: "x", Node: "n3", StartedAt: 4*s + 1, Outcome: Served, Revision: 4}}, ""},
		{ConfigRegressed, []Event{{At: 22 * s, EventKind: CallEnded, Tag: "x", Node: "n2", StartedAt: 21*s + s/4 + 1, Outcome: Served, Revision: 5}}, ""},
		{RetryBudgetExceeded, []Event{{At: 52 * s, EventKind: Totals, First: 1000, Retries: 101}}, ""},
		{SlowStartOverloaded, []Event{{At: 9 * s, EventKind: RunOverloaded, Engine: "e9"}}, ""},
		{ShutdownDroppedRequest, []Event{{At: 31 * s, EventKind: CallEnded, Tag: "x", Node: "n2", StartedAt: 30 * s, Outcome: NoResponse}}, ""},
		{StaleConfigUsed, []Event{{At: 5 * s, EventKind: CallEnded, Tag: "x", Node: "n3", StartedAt: 4*s + 1, Outcome: Served}}, ""},
		{AcknowledgedLost, []Event{{At: 51 * s, EventKind: ConfigRead, Revision: 5, Digest: "(unreadable)"}}, ""},
		{RejectedTookEffect, []Event{{At: 2 * s, EventKind: ConfigSent, ID: "b", Digest: "B"}, {At: 3 * s, EventKind: ConfigRejected, ID: "b"}, {At: 51 * s, EventKind: ConfigRead, Revision: 9, Digest: "B"}}, ""},
		{RecoveryTooSlow, []Event{{At: 53 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 52*s + 1, Outcome: Served, Revision: 6}}, "r6"},
		// Recovery is required of every node and every request kind, and of operations as well as requests:
		// one that recovered does not stand for another.
		{RecoveryTooSlow, []Event{{At: 53 * s, EventKind: CallEnded, Tag: "x", Node: "n1", StartedAt: 52*s + 1, Outcome: NotRun, Reason: "no_licence", Revision: 6}}, ""},
		{RecoveryTooSlow, append(repairedWith([]string{"n1", "n2"}, nil), servedAfterRepair()...), ""},
		{RecoveryTooSlow, append(repairedWith([]string{"n1"}, []string{"log", "quote"}), servedAfterRepair()...), ""},
		{RecoveryTooSlow, append(repairedWith([]string{"n1"}, []string{"log"}), servedAfterRepair()[:1]...), ""},
		{RecoveryTooSlow, append(repairedWith([]string{"n1"}, []string{"log"}), append(servedAfterRepair(), Event{At: 54 * s, EventKind: ConfigSent, ID: "y", Digest: "Y"}, Event{At: 65 * s, EventKind: ConfigRejected, ID: "y"})...), ""},
		{RetryBudgetExceeded, burst(10, 4, s/2), ""},
		{RetryBudgetExceeded, burst(100, 11, 15*s/100), ""},
		{StaleConfigUsed, append(twoPools(), Event{At: 65*s + 1, EventKind: RunStarted, Tag: "x", Engine: "e8", Pool: "p"}), ""},
		{StaleConfigUsed, append(twoPools(), Event{At: 60 * s, EventKind: RunStarted, Tag: "x", Engine: "e8", Pool: "other"}), ""},
		{AcknowledgedLost, []Event{{At: 49 * s, EventKind: ConfigAccepted, ID: "q", Revision: 7, Digest: "Q"}}, ""},
		{AcknowledgedLost, []Event{{At: 51 * s, EventKind: ConfigCurrent, Revision: 4}}, ""},
		{HistoryNotLinearizable, twoOnOneBase(), ""},
		{HistoryNotLinearizable, []Event{{At: 49 * s, EventKind: NewestRead, StartedAt: 48 * s}}, ""},
		{HistoryNotLinearizable, []Event{{At: 49 * s, EventKind: NewestRead, StartedAt: 48 * s, Revision: 6, Digest: "A"}}, ""},
		{HistoryUndecided, manyUnknown(), ""},
		{RepeatRefused, []Event{{At: 48 * s, EventKind: RepeatRejected, ID: "a", Reason: "clash"}}, ""},
		{RepeatRefused, []Event{{At: 48 * s, EventKind: RepeatAccepted, ID: "a", Revision: 6}}, ""},
		{AcknowledgedLost, []Event{{At: 51 * s, EventKind: ZoneDrained, Zone: "z3"}, {At: 52 * s, EventKind: ZonesRead, Zones: []string{"z1"}}}, ""},
		{ShutdownDroppedRequest, []Event{ // the engine had failed and recovered before the run began
			{At: 29 * s, EventKind: EngineFailed, Engine: "e6"}, {At: 29*s + 1, EventKind: EngineRecovered, Engine: "e6"},
			{At: 30 * s, EventKind: RunStarted, Tag: "x", Engine: "e6"},
			{At: 31 * s, EventKind: CallEnded, Tag: "x", Node: "n2", StartedAt: 30 * s, Outcome: Truncated},
		}, ""},
	} {
		t.Run(string(plant.rule), func(t *testing.T) {
			c := qt.New(t)
			history := plant.events
			for _, event := range validHistory() {
				if plant.drop == "" || event.Tag != plant.drop {
					history = append(history, event)
				}
			}
			bounds := DefaultBounds()
			if plant.rule == HistoryUndecided {
				bounds.LinearizabilityTimeout = time.Millisecond
			}
			report := Check(history, bounds)
			c.Assert(report.Violations, qt.HasLen, 1)
			c.Assert(report.Violations[0].Rule, qt.Equals, plant.rule)
		})
	}
}
