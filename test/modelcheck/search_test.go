package modelcheck

import (
	"os"
	"runtime/debug"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/test/checker"
)

// The bounds of the search that every build runs. They count states and runs rather than time, so that the
// result is the same on every machine.
const (
	boundedStates = 2500
	boundedRuns   = 150
	boundedSeed   = 1
)

// TestMain makes garbage collections less frequent: a search keeps little memory live but discards a world
// with each run.
func TestMain(m *testing.M) {
	debug.SetGCPercent(garbagePercent)
	os.Exit(m.Run())
}

const garbagePercent = 500

func requireNoViolation(c *qt.C, result Result) {
	c.Helper()
	c.Assert(result.Err, qt.IsNil)
	if result.Found != nil {
		c.Fatalf("after %d states and %d runs: %s", result.States, result.Runs, result.Found)
	}
}

// TestBoundedSearch explores the real core within fixed bounds: random runs with many deviations, and all runs
// with one deviation up to the limit of states.
func TestBoundedSearch(t *testing.T) {
	t.Parallel()
	for index, scenario := range Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			walked := Walk(scenario, boundedSeed+uint64(index)<<32, Bounds{Runs: boundedRuns})
			t.Logf("walks: %d runs, %d steps, the longest of %d", walked.Runs, walked.Steps, walked.Depth)
			requireNoViolation(c, walked)
			explored := Explore(scenario, Bounds{Deviations: 1, States: boundedStates})
			t.Logf("exhaustive: %d states in %d runs, depth %d", explored.States, explored.Runs, explored.Depth)
			requireNoViolation(c, explored)
		})
	}
}

// TestKnownTraces replays the shortest traces that led to a violation in an earlier version or in a build with a
// planted fault. Most of these faults need a timing so narrow that the bounded search does not always reach it.
func TestKnownTraces(t *testing.T) {
	for _, known := range []struct{ breaks, scenario, trace string }{
		{"a read shows what was proposed before the leader was cut off", "three members and a standby", "171:cut/0/3"},
		{"a read shows what was proposed before the leader was cut off", "three members, led", "46:jump/1/0,92:cut/0/3"},
		{"a leader cut off answers without a confirmed round", "three wanted and a standby", "123:cut/0/1"},
		{"a leader cut off answers without a confirmed round", "three members and a standby", "85:cut/0/1,87:crash/1/0,91:jump/2/0"},
		{"a vote is granted before it is on disk", "three members, led", "53:crash/2/0"},
		{"a late response of an earlier incarnation counts", "two of three members, failing disks", "91:hold/0/0,92:damage-document/1/0,101:release/0/0"},
		{"a restarted member counts for what it held before its restart", "two of three members, failing disks", "74:stall-disk/0/0,90:damage-document/1/0"},
		{"a member forgets what it acknowledged", "three members, failing disks", "56:leave/0/0,57:leave/1/0,62:twin/2/0,68:crash/2/0,90:damage-document/0/0"},
		{"a leaver ends on a release for an older document", "a voter leaves and nobody takes its place, failing disks", "178:kill/2/0"},
		{"a leaver ends on a release for an older document", "a voter leaves and nobody takes its place, failing disks", "178:fill-disk/2/0"},
		{"a vote forgets the document that is being written", "a leader is frozen while a voter writes slowly, failing disks", "105:wake/0/2"},
		{"a vote forgets the document that is being written", "three members, failing disks", "67:stall-disk/2/1,92:hold/0/0,93:freeze/0/0,105:wake/0/3"},
		{"a document without its configuration is taken for complete", "three members and a standby", "60:cut/0/1,94:jump/1/0,216:heal/0/0"},
	} {
		t.Run(known.breaks+" with "+known.scenario, func(t *testing.T) {
			c := qt.New(t)
			trace, err := ParseTrace(known.trace)
			c.Assert(err, qt.IsNil)
			_, err = Replay(scenarioNamed(c, known.scenario), trace, nil)
			c.Assert(err, qt.IsNil)
		})
	}
}

func scenarioNamed(c *qt.C, name string) Scenario {
	c.Helper()
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario
		}
	}
	c.Fatalf("there is no scenario %q", name)
	return Scenario{}
}

// TestRunsReplayBySeedAndTrace checks that the same seed gives the same run, and that the text of a trace is
// parsed to the same trace.
func TestRunsReplayBySeedAndTrace(t *testing.T) {
	c := qt.New(t)
	scenario := scenarioNamed(c, "three members and a standby")
	one, other := Walk(scenario, 5, Bounds{Runs: 3}), Walk(scenario, 5, Bounds{Runs: 3})
	c.Assert(one, qt.DeepEquals, other)
	trace := Trace{{3, Choice{Crash, 1, keepAll}}, {17, Choice{Deliver, 2, 0}}}
	again, err := ParseTrace(trace.String())
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, trace)
	_, err = ParseTrace("3:no-such-kind/1/2")
	c.Assert(err, qt.ErrorAs, new(TraceError))
}

// TestReplayedStatesAreTheSame checks that replaying a trace gives the same fingerprints. Nondeterminism left in
// a core would make them differ.
func TestReplayedStatesAreTheSame(t *testing.T) {
	c := qt.New(t)
	for _, scenario := range Scenarios() {
		prints := [2][]uint64{}
		for i := range prints {
			w := NewWorld(scenario.Settings)
			_, err := w.Run(Trace{{40, Choice{Partition, 0, int(partitionBoth)}}}, scenario.MaxTimeSteps, func(int) bool {
				prints[i] = append(prints[i], w.Fingerprint())
				return true
			})
			c.Assert(err, qt.IsNil)
		}
		c.Assert(prints[0], qt.DeepEquals, prints[1])
	}
}

// TestNoFailureOfARunIsSwallowed plants each kind of failure other than the violation of an invariant of the model, and
// requires that walks and exhaustive searches end with it.
func TestNoFailureOfARunIsSwallowed(t *testing.T) {
	const plantedAt = 10 // time step
	flood := func(w *World) { w.enqueue(-1, operatorAddress, wire.Message{}) }
	for _, test := range []struct {
		name      string
		plant     func(w *World)
		invariant Invariant // empty: the run cannot be decided
	}{
		{"a violation that the core reports", func(w *World) {
			w.takeCoreViolation(invariant.ViolationError{Invariant: invariant.TermIsMonotonic, Detail: "planted"})
		}, "the core's own: term_never_falls"},
		{"a panic of the core", func(w *World) {
			if p := w.processes[0]; p.isUp {
				p.core = nil
			}
		}, CoreDoesNotPanic},
		{"messages without end", flood, RunsEnd},
		{"a history that could not be decided", func(w *World) {
			w.checkLinearizable = func(history []checker.RegisterOperation, _ time.Duration) error {
				return checker.UndecidedError{Operations: len(history)}
			}
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			scenario := scenarioNamed(c, "three members, led")
			scenario.Settings.plant = func(w *World) {
				if w.timeStep >= plantedAt {
					test.plant(w)
				}
			}
			_, err := Replay(scenario, nil, nil)
			c.Check(err, qt.IsNotNil)
			walked := Walk(scenario, boundedSeed, Bounds{Runs: 20})
			explored := Explore(scenario, Bounds{Deviations: 0})
			for _, result := range []Result{walked, explored} {
				if test.invariant == "" {
					c.Assert(result.Err, qt.ErrorAs, new(UndecidedRunError))
					c.Assert(result.Err, qt.ErrorAs, new(checker.UndecidedError))
					c.Assert(result.Found, qt.IsNil)
					continue
				}
				c.Assert(result.Err, qt.IsNil)
				c.Assert(result.Found, qt.IsNotNil)
				c.Assert(result.Found.Violation.Invariant, qt.Equals, test.invariant)
			}
		})
	}
}
