// Modelcheck explores the states of the production consensus core for a given time. If a state
// violates an invariant, it prints the shortest trace that it found.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"dunlinloom/test/modelcheck"
)

type arguments struct {
	For                     time.Duration `arg:"--for" default:"1m" help:"how long to search"`
	Seed                    uint64        `arg:"--seed" default:"1" help:"first seed of the random walks"`
	Members                 int           `arg:"--members" help:"only scenarios with this number of initial voters"`
	Scenario                string        `arg:"--scenario" help:"only scenarios whose name contains this"`
	Depth                   int           `arg:"--depth" default:"2" help:"explore all runs with up to this number of deviations before the random walks; 0: random walks only"`
	States                  int           `arg:"--states" default:"3000000" help:"maximum number of states that one exhaustive search keeps in memory"`
	Workers                 int           `arg:"--workers" default:"2"`
	Trace                   string        `arg:"--trace" help:"replay this trace of the single selected scenario and print its steps"`
	LiftOneAddress          bool          `arg:"--lift-one-address" help:"explore without the assumption One-address-one-machine"`
	LiftSeeds               bool          `arg:"--lift-seeds" help:"explore without the assumption that the seeds keep their folders"`
	LiftRollback            bool          `arg:"--lift-rollback" help:"explore without the assumption Folder-is-never-rolled-back"`
	ContinuesAfterViolation bool          `arg:"--all" help:"continue with the other scenarios after a violation"`
}

// seedStride separates the seeds of consecutive scenarios, so that their walks use different seeds.
const seedStride = 1 << 32

func selectScenarios(flags arguments) []modelcheck.Scenario {
	lifted := modelcheck.Assumptions{OneAddressOneMachine: flags.LiftOneAddress, SeedsKeepTheirFolders: flags.LiftSeeds, FolderIsNeverRolledBack: flags.LiftRollback}
	scenarios := modelcheck.Scenarios()
	for i := range scenarios {
		scenarios[i].Settings.LiftedAssumptions = lifted
	}
	return slices.DeleteFunc(scenarios, func(scenario modelcheck.Scenario) bool {
		isExcluded := flags.Members > 0 && scenario.Settings.BootstrapMembers != flags.Members
		return isExcluded || !strings.Contains(scenario.Name, flags.Scenario)
	})
}

func replay(scenario modelcheck.Scenario, text string) int {
	trace, err := modelcheck.ParseTrace(text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "modelcheck:", err)
		return exitFailed
	}
	steps, err := modelcheck.Replay(scenario, trace, func(line string) { fmt.Println(line) })
	if err == nil {
		fmt.Println("no invariant is violated")
		return exitOK
	}
	fmt.Printf("after %d steps: %v\n", steps, err)
	if errors.As(err, new(modelcheck.ViolationError)) {
		return exitViolation
	}
	return exitFailed
}

// Exit statuses. After several searches the program exits with the largest one.
const (
	exitOK        = 0
	exitFailed    = 1 // a trace can't be replayed, or a search ended without a verdict
	exitViolation = 3
)

// exitStatus returns the exit status for the result of a search.
func exitStatus(result modelcheck.Result) int {
	switch {
	case result.Found != nil:
		return exitViolation
	case result.Err != nil:
		return exitFailed
	}
	return exitOK
}

// report prints the result of a search.
func report(searchKind string, scenario modelcheck.Scenario, started time.Time, result modelcheck.Result) {
	took := time.Since(started)
	fmt.Printf("%s %q: %d states, %.0f a second, %d runs, depth %d steps", searchKind, scenario.Name, result.States,
		float64(result.States)/took.Seconds(), result.Runs, result.Depth)
	if searchKind == "exhaustive" {
		fmt.Printf(", complete up to %d deviations", result.Complete)
	}
	fmt.Println()
	if result.Found != nil {
		fmt.Printf("VIOLATED after %d states: %s\n", result.Found.States, result.Found)
	}
	if result.Err != nil {
		fmt.Println("NO VERDICT:", result.Err)
	}
}

// search explores a scenario exhaustively and then by random walks until the deadline. It stops at
// the first violation or error, and returns the exit status.
func search(flags arguments, scenario modelcheck.Scenario, index int, deadline time.Time) int {
	isOver := func() bool { return time.Now().After(deadline) }
	if flags.Depth > 0 {
		started := time.Now()
		result := modelcheck.Explore(scenario, modelcheck.Bounds{Deviations: flags.Depth, States: flags.States, IsOver: isOver})
		report("exhaustive", scenario, started, result)
		if status := exitStatus(result); status != exitOK {
			return status
		}
	}
	started := time.Now()
	result := modelcheck.Walk(scenario, flags.Seed+uint64(index)*seedStride, modelcheck.Bounds{IsOver: isOver})
	report("walks", scenario, started, result)
	return exitStatus(result)
}

func main() {
	var flags arguments
	parser := arg.MustParse(&flags)
	scenarios := selectScenarios(flags)
	if len(scenarios) == 0 {
		parser.Fail("no scenario matches --members and --scenario")
	}
	if flags.Trace != "" {
		if len(scenarios) != 1 {
			parser.Fail("--trace requires that exactly one scenario is selected")
		}
		os.Exit(replay(scenarios[0], flags.Trace))
	}
	os.Exit(searchAll(flags, scenarios))
}

// searchAll searches all scenarios, each for an equal part of the time, and returns the largest exit
// status.
func searchAll(flags arguments, scenarios []modelcheck.Scenario) (worst int) {
	workers := max(min(flags.Workers, len(scenarios)), 1)
	timePerScenario := flags.For * time.Duration(workers) / time.Duration(len(scenarios))
	var lock sync.Mutex
	var group sync.WaitGroup
	next := 0
	nextIndex := func() (index int, isThere bool) {
		lock.Lock()
		defer lock.Unlock()
		if next >= len(scenarios) || worst != exitOK && !flags.ContinuesAfterViolation {
			return 0, false
		}
		next++
		return next - 1, true
	}
	for range workers {
		group.Go(func() {
			for index, isThere := nextIndex(); isThere; index, isThere = nextIndex() {
				status := search(flags, scenarios[index], index, time.Now().Add(timePerScenario))
				lock.Lock()
				worst = max(worst, status)
				lock.Unlock()
			}
		})
	}
	group.Wait()
	return worst
}
