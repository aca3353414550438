package modelcheck

// The fleets that are explored.

// Scenario is the start of a search: a fleet, and for how many time steps it is played. The first
// time steps are played without deviations; by symmetry of the members it does not matter which
// of them leads then.
type Scenario struct {
	Name         string
	Settings     Settings
	Prologue     int // time steps before the first deviation
	MaxTimeSteps int // time steps in total
}

// Scenarios are the fleets that the bounded run explores.
func Scenarios() []Scenario {
	timing := ModelTiming()
	return []Scenario{
		{"three members, first election", Settings{BootstrapMembers: 3, Timing: timing}, 0, 14},
		{"three members, led", Settings{BootstrapMembers: 3, Timing: timing}, 6, 18},
		{"three members and a standby", Settings{BootstrapMembers: 3, Learners: 1, Timing: timing}, 6, 32},
		{"three wanted and a standby", Settings{Voters: 3, BootstrapMembers: 3, Learners: 1, Timing: timing}, 6, 32},
		{"four members", Settings{Voters: 3, BootstrapMembers: 4, Timing: timing}, 6, 26},
		{"five members", Settings{Voters: 3, BootstrapMembers: 5, Timing: timing}, 6, 20},
		{"three members, failing disks", Settings{BootstrapMembers: 3, Timing: timing, FailingDisks: true}, 6, 18},
		{"two of three members, failing disks", Settings{
			BootstrapMembers: 3, Timing: timing, FailingDisks: true, PlannedActions: []PlannedAction{{7, Choice{Kill, 2, 0}}},
		}, 6, 18},
		{"a voter is replaced, failing disks", Settings{
			Voters: 3, BootstrapMembers: 3, Learners: 1, Timing: timing, FailingDisks: true,
			PlannedActions: []PlannedAction{{7, Choice{WipeDisk, 1, 0}}},
		}, 6, 20},
		{"a voter leaves, failing disks", Settings{
			BootstrapMembers: 3, Learners: 1, Timing: timing, FailingDisks: true, StopsReleasedLeavers: true,
			PlannedActions: []PlannedAction{{7, Choice{Leave, 1, 0}}},
		}, 6, 20},
		{"a voter leaves and nobody takes its place, failing disks", Settings{
			// The leader releases a leaver once it has led for long enough to know the standbys.
			BootstrapMembers: 3, Timing: timing, FailingDisks: true, StopsReleasedLeavers: true,
			OperationsFromStep: 12, PlannedActions: []PlannedAction{{20, Choice{Leave, 1, 0}}},
		}, 18, 25},
		{"a leader is frozen while a voter writes slowly, failing disks", Settings{
			// The put of time step 9 reaches the slow voter alone. The third member requests its vote in step 13,
			// before the write is done, and what is explored begins there.
			BootstrapMembers: 3, Timing: timing, FailingDisks: true, PlannedActions: []PlannedAction{
				{7, Choice{Kill, 2, 0}},
				{7, Choice{StallDisk, 1, longStallIndex}},
				{10, Choice{Freeze, 0, 0}},
				{11, Choice{Start, 2, 0}},
			},
		}, 14, 18},
	}
}
