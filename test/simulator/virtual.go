package simulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"dunlinloom/internal/kernel"
)

// VirtualTime runs things in virtual time from a program that is no test.
type VirtualTime struct{ test *testing.T }

// Run does something in a bubble of testing/synctest. Several may run side by side.
func (v VirtualTime) Run(name string, do func()) error {
	isDone := false
	v.test.Run(name, func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { do(); isDone = true })
	})
	if !isDone {
		return virtualTimeError{name}
	}
	return nil
}

// virtualTimeError says that a run in virtual time did not come to its end.
type virtualTimeError struct{ name string }

func (err virtualTimeError) Error() string {
	return err.name + " did not come to its end in virtual time"
}

// InVirtualTime runs a program's main part with virtual time at hand and exits with its
// status. A bubble wants a testing.T, which only a test's main makes; hence the detour.
func InVirtualTime(main func(VirtualTime) int) {
	testing.Init()
	// Of the testing package's flags none is set; the program reads its own words.
	os.Args = os.Args[:1]
	flag.Parse()
	every := func(_, _ string) (bool, error) { return true, nil }
	testing.Main(every, []testing.InternalTest{{Name: "virtual", F: func(t *testing.T) {
		os.Exit(main(VirtualTime{t}))
	}}}, nil, nil)
}

// RoutedSearch plays seeds of dealt deployments with drawn troubles.
type RoutedSearch struct {
	First   uint64
	Count   int
	Span    kernel.Micros
	Faults  []string // empty: up to three are drawn
	Workers int
	Stop    bool // at the first violation
	Counts  bool
}

// unknownFaultError names a word that is none.
type unknownFaultError struct{ name string }

func (err unknownFaultError) Error() string {
	return fmt.Sprintf("there is no trouble %q; known are %s", err.name, strings.Join(RoutedFaults(), ", "))
}

// drawFaults draws up to three troubles of a seed.
func drawFaults(seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 9))
	names := RoutedFaults()
	drawn := []string{}
	for range 1 + random.IntN(3) {
		drawn = append(drawn, names[random.IntN(len(names))])
	}
	return drawn
}

type routedLine struct {
	Seed       uint64   `json:"seed"`
	Faults     []string `json:"troubles"`
	Attempts   int      `json:"tries"`
	Served     int      `json:"served"`
	Extras     int      `json:"extras"`
	LateServed int      `json:"late_served"`
	LateSent   int      `json:"late"`
	Violations []string `json:"breaches,omitempty"`
}

// Run plays the seeds and tells how many broke a rule.
func (s RoutedSearch) Run(virtual VirtualTime, to io.Writer) (unclean int, err error) {
	for _, name := range s.Faults {
		if routedFaults[name] == nil {
			return 0, unknownFaultError{name}
		}
	}
	var lock sync.Mutex
	attempts, served, faulty, isOver := 0, 0, map[string]int{}, false
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var failed error
	for range max(s.Workers, 1) {
		workers.Go(func() {
			for seed := range seeds {
				plan := RoutedPlan{Seed: seed, Deployment: DrawDeployment(seed), Span: s.Span, Faults: s.Faults}
				if len(plan.Faults) == 0 {
					plan.Faults = drawFaults(seed)
				}
				var outcome RoutedOutcome
				err := virtual.Run(fmt.Sprint("seed ", seed), func() { outcome = RunRouted(plan) })
				lock.Lock()
				if err != nil {
					failed, isOver = err, true
				}
				line := routedLine{seed, plan.Faults, outcome.Review.Attempts, outcome.Review.Served, outcome.Review.ExtraArrivals, outcome.LateServed, outcome.LateSent, nil}
				for _, violation := range outcome.Review.Violations {
					line.Violations = append(line.Violations, fmt.Sprintf("%d us: %s: %s", violation.At, violation.Rule, violation.Detail))
				}
				attempts, served = attempts+line.Attempts, served+line.Served
				for ending, count := range outcome.Review.Endings {
					faulty[ending] += count
				}
				if outcome.Review.Served == 0 {
					line.Violations = append(line.Violations, "no request was served, so that the rules hold of nothing")
				}
				if len(line.Violations) > 0 {
					unclean++
					isOver = isOver || s.Stop
				}
				if len(line.Violations) > 0 || s.Count <= 5 {
					content, err := json.Marshal(line)
					if err != nil {
						failed = err
					}
					fmt.Fprintln(to, string(content))
				}
				lock.Unlock()
			}
		})
	}
	for i := range s.Count {
		lock.Lock()
		isDone := isOver
		lock.Unlock()
		if isDone {
			break
		}
		seeds <- s.First + uint64(i)
	}
	close(seeds)
	workers.Wait()
	fmt.Fprintf(to, "%d seeds from %d: %d with a breach; %d of %d tries served\n", s.Count, s.First, unclean, served, attempts)
	if s.Counts {
		for _, ending := range slices.Sorted(maps.Keys(faulty)) {
			fmt.Fprintf(to, "%9d  %s\n", faulty[ending], ending)
		}
	}
	return unclean, failed
}
