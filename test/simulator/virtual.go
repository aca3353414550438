package simulator

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"dunlinloom/internal/kernel"
)

// VirtualTime runs functions in virtual time in a program that is not a test.
type VirtualTime struct{ test *testing.T }

// Run calls do in a testing/synctest bubble. Several calls may run concurrently.
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

// virtualTimeError reports that a run in virtual time did not finish.
type virtualTimeError struct{ name string }

func (err virtualTimeError) Error() string {
	return err.name + " did not finish in virtual time"
}

// InVirtualTime runs main with virtual time available and exits with the status that it returns.
// A synctest bubble needs a testing.T, which only the testing package can create, so main runs
// inside a test.
func InVirtualTime(main func(VirtualTime) int) {
	testing.Init()
	// No flag of the testing package is set; the program has parsed its own arguments.
	os.Args = os.Args[:1]
	flag.Parse()
	matchAll := func(_, _ string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "virtual", F: func(t *testing.T) {
		os.Exit(main(VirtualTime{t}))
	}}}, nil, nil)
}

// RoutedSearch runs seeds with random deployments and random faults.
type RoutedSearch struct {
	First   uint64
	Count   int
	Span    kernel.Micros
	Faults  []string // if empty, up to three random ones
	Workers int
	Stop    bool // at the first violation
	Counts  bool // also print how often each ending of an attempt occurred
	// HasTenants gives the fleets tenants, and adds TenantFaults to the random faults.
	HasTenants bool
	// RecordFolder receives the records of the seeds that are printed; if empty, none is written.
	RecordFolder string
}

// unknownFaultError reports a fault name that does not exist.
type unknownFaultError struct {
	name  string
	known []string
}

func (err unknownFaultError) Error() string {
	return fmt.Sprintf("unknown fault %q; known faults are %s", err.name, strings.Join(err.known, ", "))
}

// faultNames returns the names of the faults that the search may inject.
func (s RoutedSearch) faultNames() []string {
	if s.HasTenants {
		return append(RoutedFaults(), TenantFaults()...)
	}
	return RoutedFaults()
}

// drawFaults returns one to three random faults for a seed.
func drawFaults(seed uint64, names []string) []string {
	random := rand.New(rand.NewPCG(seed, 9))
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
	Events     string   `json:"events"` // digest of all events; equal digests mean equal runs
	Violations []string `json:"breaches,omitempty"`
}

// Run runs the seeds and returns how many of them had violations. It writes a line for each seed with a violation, or for
// each seed when there are at most fewSeeds.
func (s RoutedSearch) Run(virtual VirtualTime, to io.Writer) (unclean int, err error) {
	for _, name := range s.Faults {
		if !slices.Contains(s.faultNames(), name) {
			return 0, unknownFaultError{name, s.faultNames()}
		}
	}
	tally := &routedTally{search: s, to: to, endings: map[string]int{}}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(s.Workers, 1) {
		workers.Go(func() {
			for seed := range seeds {
				var outcome RoutedOutcome
				plan := s.plan(seed)
				err := virtual.Run(fmt.Sprint("seed ", seed), func() { outcome = RunRouted(plan) })
				tally.add(plan, outcome, err)
			}
		})
	}
	for i := range s.Count {
		if tally.hasEnded() {
			break
		}
		seeds <- s.First + uint64(i)
	}
	close(seeds)
	workers.Wait()
	tally.print()
	return tally.unclean, tally.err
}

// plan returns the plan of a seed's run.
func (s RoutedSearch) plan(seed uint64) RoutedPlan {
	plan := RoutedPlan{Seed: seed, Deployment: DrawDeployment(seed), Span: s.Span, Faults: s.Faults, IsRecorded: s.RecordFolder != ""}
	if len(plan.Faults) == 0 {
		plan.Faults = drawFaults(seed, s.faultNames())
	}
	if s.HasTenants {
		plan.Tenants = DrawTenants(seed, plan.Deployment)
	}
	return plan
}

// fewSeeds is the largest number of seeds for which every result is printed.
const fewSeeds = 5

// routedTally adds up the outcomes of a search. The workers of the search share it.
type routedTally struct {
	search RoutedSearch
	to     io.Writer

	lock                      sync.Mutex // guards all that follows
	attempts, served, unclean int
	endings                   map[string]int
	isOver                    bool
	err                       error
}

func (t *routedTally) hasEnded() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.isOver
}

// add adds the outcome of a seed; failed is the error of a run that did not finish.
func (t *routedTally) add(plan RoutedPlan, outcome RoutedOutcome, failed error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if failed != nil {
		t.err, t.isOver = failed, true
		return
	}
	report := outcome.Report
	line := routedLine{
		Seed: plan.Seed, Faults: plan.Faults, Attempts: report.Attempts, Served: report.Served, Extras: report.ExtraArrivals,
		LateServed: outcome.LateServed, LateSent: outcome.LateSent, Events: outcome.Record.digest(),
	}
	for _, violation := range report.Violations {
		line.Violations = append(line.Violations, fmt.Sprintf("%d us: %s: %s", violation.At, violation.Rule, violation.Detail))
	}
	if report.Served == 0 {
		line.Violations = append(line.Violations, "no request was served, so the checks had nothing to verify")
	}
	t.attempts, t.served = t.attempts+report.Attempts, t.served+report.Served
	for ending, count := range report.Endings {
		t.endings[ending] += count
	}
	if len(line.Violations) > 0 {
		t.unclean++
		t.isOver = t.isOver || t.search.Stop
	}
	if len(line.Violations) > 0 || t.search.Count <= fewSeeds {
		t.err = errors.Join(t.err, t.printSeed(line, outcome.Record))
	}
}

// printSeed writes the line of a seed, and its record if RecordFolder is set.
func (t *routedTally) printSeed(line routedLine, record *RoutedRecord) error {
	content, err := json.Marshal(line)
	if err != nil {
		return err
	}
	fmt.Fprintln(t.to, string(content))
	if t.search.RecordFolder == "" {
		return nil
	}
	return record.writeFile(filepath.Join(t.search.RecordFolder, fmt.Sprintf("routed-%d.jsonl", line.Seed)))
}

func (t *routedTally) print() {
	t.lock.Lock()
	defer t.lock.Unlock()
	fmt.Fprintf(t.to, "%d seeds from %d: %d with violations; %d of %d tries served\n", t.search.Count, t.search.First, t.unclean, t.served, t.attempts)
	if !t.search.Counts {
		return
	}
	for _, ending := range slices.Sorted(maps.Keys(t.endings)) {
		fmt.Fprintf(t.to, "%9d  %s\n", t.endings[ending], ending)
	}
}
