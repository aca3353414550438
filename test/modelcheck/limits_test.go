package modelcheck

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each run lifts one assumption and violates an invariant. These are the counterexamples to which docs/control-safety
// refers; if a run no longer violates its invariant, the page has to be changed.
func TestAssumptionsAreNeeded(t *testing.T) {
	led := scenarioNamed(qt.New(t), "three members, led").Settings.Timing
	for _, test := range []struct {
		name     string
		scenario Scenario
		trace    string
		violates string
	}{
		{
			name:     "One-address-one-machine: the address goes back to a machine whose identity was swapped away",
			scenario: lifted(t, "five members", Assumptions{OneAddressOneMachine: true}),
			trace:    "183:twin/1/0,238:jump/3/0",
			violates: "disjoint majorities could elect m1 under {2 4} with 5 voters and m2 under {2 3} with 5 voters",
		}, {
			name:     "Seeds-keep-their-folders: all seeds' addresses are answered from empty folders",
			scenario: lifted(t, "three members, first election", Assumptions{SeedsKeepTheirFolders: true}),
			trace:    "1:twin/0/0,11:twin/2/0,21:twin/1/0",
			violates: "one cluster id per fleet",
		}, {
			// The first two members commit while the third is down. The second's folder is then restored from an older copy,
			// and the leader, which knows what the second held, is lost before the second is in contact again. The second and
			// the third form a majority without the document.
			name: "Folder-is-never-rolled-back: the leader that knows the member is lost first",
			scenario: Scenario{"a folder is rolled back", Settings{
				BootstrapMembers: 3, Timing: led, LiftedAssumptions: Assumptions{FolderIsNeverRolledBack: true},
				PlannedActions: []PlannedAction{
					{7, Choice{Kill, 2, 0}},
					{12, Choice{Kill, 0, 0}}, {13, Choice{RollBackFolder, 1, 0}}, {13, Choice{Start, 2, 0}},
				},
			}, 6, 40},
			violates: "and {3 2} was committed",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			trace, err := ParseTrace(test.trace)
			c.Assert(err, qt.IsNil)
			_, err = Replay(test.scenario, trace, nil)
			c.Assert(err, qt.ErrorAs, new(ViolationError))
			c.Assert(err.Error(), qt.Contains, test.violates)
		})
	}
}

// A member whose folder was restored from an older copy is fenced as long as there is a leader that knows what it held.
func TestAFolderThatIsRolledBackIsFencedByTheLeader(t *testing.T) {
	c := qt.New(t)
	scenario := lifted(t, "three members, led", Assumptions{FolderIsNeverRolledBack: true})
	scenario.Settings.PlannedActions = []PlannedAction{{7, Choice{Kill, 2, 0}}, {14, Choice{RollBackFolder, 1, 0}}, {16, Choice{Start, 2, 0}}, {18, Choice{Kill, 0, 0}}}
	scenario.MaxTimeSteps = 40
	_, err := Replay(scenario, nil, nil)
	c.Assert(err, qt.IsNil)
}

func lifted(t *testing.T, name string, assumptions Assumptions) Scenario {
	t.Helper()
	scenario := scenarioNamed(qt.New(t), name)
	scenario.Settings.LiftedAssumptions = assumptions
	return scenario
}
