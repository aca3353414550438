package modelcheck

// The fleets that the searches explore.

// Scenario is a fleet to explore and the number of time steps to explore it for. The first time steps are played
// without deviations; because the members are symmetric, it does not matter which of them leads afterwards.
type Scenario struct {
	Name         string
	Settings     Settings
	Prologue     int // time steps before the first deviation
	MaxTimeSteps int // time steps in total
}

// Scenarios returns the scenarios of the bounded search.
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
			// The leader releases a leaving member only after it has led for long enough to know the standbys.
			BootstrapMembers: 3, Timing: timing, FailingDisks: true, StopsReleasedLeavers: true,
			OperationsFromStep: 12, PlannedActions: []PlannedAction{{20, Choice{Leave, 1, 0}}},
		}, 18, 25},
		{"a leader is frozen while a voter writes slowly, failing disks", Settings{
			// The put of time step 9 reaches only the slow voter. The third member requests its vote in time step 13,
			// before the write is complete. The exploration begins there.
			BootstrapMembers: 3, Timing: timing, FailingDisks: true, PlannedActions: []PlannedAction{
				{7, Choice{Kill, 2, 0}},
				{7, Choice{StallDisk, 1, longStallIndex}},
				{10, Choice{Freeze, 0, 0}},
				{11, Choice{Start, 2, 0}},
			},
		}, 14, 18},
		{"five voters, failing disks", Settings{Voters: 5, BootstrapMembers: 5, Timing: timing, FailingDisks: true}, 6, 16},
		{"two of five voters are replaced, failing disks", Settings{
			Voters: 5, BootstrapMembers: 5, Learners: 1, Timing: timing, FailingDisks: true,
			PlannedActions: []PlannedAction{{7, diskLoss{first: 0, second: 1, part: keepAll}.choice()}},
		}, 9, 18},
		{"two of five voters are down, failing disks", Settings{
			// The two miss what is acknowledged while they are down.
			Voters: 5, BootstrapMembers: 5, Timing: timing, FailingDisks: true, OperationsFromStep: 12, PlannedActions: []PlannedAction{
				{7, Choice{Kill, 3, 0}},
				{7, Choice{Kill, 4, 0}},
				{24, Choice{Start, 3, 0}},
				{24, Choice{Start, 4, 0}},
			},
		}, 20, 34},
	}
}
