// Simulator simulates a fleet under faults, one run per seed, and searches for seeds that violate a
// rule. A run is a deterministic function of its seed, unless --routed is given.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/simulator"
	"dunlinloom/test/simulator/experiment"
)

type arguments struct {
	First      uint64  `arg:"--first" default:"1" help:"first seed"`
	Count      int     `arg:"--count" default:"50" help:"number of seeds"`
	Deployment string  `arg:"--deployment" default:"qurum" help:"deployment to simulate: qurum, cronometro or two-losses"`
	SpanUS     int64   `arg:"--span-us" default:"60000000" help:"duration of the faults in microseconds of virtual time"`
	Rate       float64 `arg:"--rate" default:"20" help:"requests per second"`
	Workers    int     `arg:"--workers" default:"6"`
	Routed     bool    `arg:"--routed" help:"simulate only routers in front of modelled engines; each seed is another deployment with up to three faults, and --span-us is the length of the whole run"`
	Tenants    bool    `arg:"--tenants" help:"with --routed: fleets whose requests need keys and have quotas, with additional faults"`
	Record     string  `arg:"--record" help:"with --routed: folder for the record of each seed that is printed"`
	Replay     string  `arg:"--replay" help:"replay this record: check its events again and repeat the routers' decisions"`
	OneCore    bool    `arg:"--one-core" help:"with --routed: run on one processor, one seed at a time, so that a seed mostly reproduces its run"`
	Faults     string  `arg:"--troubles" help:"with --routed: comma-separated faults to inject instead of random ones"`
	Mix        string  `arg:"--mix" help:"replay this mix of requests under two settings and write a report with plots"`
	A          string  `arg:"--a" help:"with --mix: first setting, as NAME=VALUE,NAME=VALUE"`
	B          string  `arg:"--b" help:"with --mix: second setting"`
	Out        string  `arg:"--out" default:"experiment" help:"with --mix: folder of the report"`
	Storm      bool    `arg:"--storm" help:"inject faults in quick succession into a core of four members instead of a whole fleet"`
	Measure    string  `arg:"--measure" help:"compare ways of routing; \"all\", \"rebuild\" or one of admission, crash, current, divert, lease, policy, ramp, reports, reports-long, salt, traffic, zones"`
	Stop       bool    `arg:"--stop" help:"stop at the first seed that violates a rule"`
	Counts     bool    `arg:"--counts" help:"print counts of the injected faults, of the actions of protections, and of unserved requests by reason"`
	Trace      bool    `arg:"--trace" help:"print the events of each run; use it with a single seed"`
}

// result is the printed result of one seed. Durations are in microseconds.
type result struct {
	Seed       uint64 `json:"seed"`
	FinalFault string `json:"final"`
	Calls      int    `json:"calls"`
	Served     int    `json:"served"`
	RepairUS   int64  `json:"repair_took_us"`
	Operations [3]int `json:"orders_yes_no_unsure"`
	// CrossZoneBytes counts the bytes that the control plane sent between zones, by kind of message.
	// It is set only if few seeds are run.
	CrossZoneBytes map[string]int `json:"crossed,omitempty"`
	InZoneBytes    int            `json:"within,omitempty"`
	Violations     []string       `json:"breaches,omitempty"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	switch {
	case arguments.Replay != "":
		os.Exit(replay(arguments.Replay))
	case arguments.Measure == "rebuild":
		simulator.MeasureRebuild(os.Stdout, arguments.First, arguments.Count)
	case arguments.Measure != "":
		measure(parser, arguments)
	case arguments.Mix != "":
		compare(parser, arguments)
	case arguments.Routed:
		searchRouted(arguments)
	default:
		search := newSearch(arguments)
		search.run()
		search.print()
		if search.unclean > 0 {
			os.Exit(exitViolation)
		}
	}
}

// Exit statuses.
const (
	exitOK        = 0
	exitFailed    = 1 // the search or comparison could not be run, or its output could not be written
	exitViolation = 3 // a seed violated a rule
)

// measure prints the selected comparison of ways of routing, or all of them.
func measure(parser *arg.Parser, arguments arguments) {
	names := []string{arguments.Measure}
	if arguments.Measure == "all" {
		names = simulator.Measurements()
	}
	for _, name := range names {
		if !simulator.Measure(os.Stdout, name, arguments.First, arguments.Count) {
			parser.Fail(fmt.Sprintf("unknown measurement %q; use one of %v", name, simulator.Measurements()))
		}
	}
}

// replay replays and checks a record of a routed run, and returns the exit status.
func replay(path string) int {
	file, err := os.Open(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		return exitFailed
	}
	// The file is only read, so an error of Close can't lose data.
	defer func() { _ = file.Close() }()
	record, err := simulator.ReadRoutedRecord(file)
	if err == nil {
		err = record.Replay()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		return exitFailed
	}
	fmt.Printf("seed %d: %d events, decisions of %d routers reproduced, %d violations\n",
		record.Seed, len(record.Events), len(record.Decisions), len(record.Violations))
	for _, violation := range record.Violations {
		fmt.Printf("%d us: %s: %s\n", violation.At, violation.Rule, violation.Detail)
	}
	if len(record.Violations) > 0 {
		return exitViolation
	}
	return exitOK
}

// useOneCore makes the order in which goroutines run depend on little but the run itself. Garbage
// collections would interrupt them at varying points, so there is none below the memory limit.
func useOneCore() {
	const memoryLimit = 4 << 30
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(-1)
	debug.SetMemoryLimit(memoryLimit)
}

// searchRouted searches seeds of routers in front of modelled engines. It exits the process.
func searchRouted(arguments arguments) {
	search := simulator.RoutedSearch{
		First: arguments.First, Count: arguments.Count, Span: kernel.Micros(arguments.SpanUS),
		Workers: arguments.Workers, Stop: arguments.Stop, Counts: arguments.Counts, RecordFolder: arguments.Record,
		HasTenants: arguments.Tenants,
	}
	if arguments.OneCore {
		search.Workers = 1
		useOneCore()
	}
	if arguments.Faults != "" {
		search.Faults = strings.Split(arguments.Faults, ",")
	}
	simulator.InVirtualTime(func(virtual simulator.VirtualTime) int {
		unclean, err := search.Run(virtual, os.Stdout)
		switch {
		case err != nil:
			fmt.Fprintln(os.Stderr, "simulator:", err)
			return exitFailed
		case unclean > 0:
			return exitViolation
		}
		return exitOK
	})
}

// maxPrintedSeeds is the largest number of seeds for which the result of each is printed. With more
// seeds only failed ones are printed.
const maxPrintedSeeds = 5

// search runs the seeds and sums up their outcomes. Its workers share it.
type search struct {
	arguments arguments

	lock                                    sync.Mutex // protects the fields below
	unclean, calls, served                  int
	callers, callersServed                  int
	protectionCounts, faultCounts, unserved map[string]int
}

func newSearch(arguments arguments) *search {
	return &search{arguments: arguments, protectionCounts: map[string]int{}, faultCounts: map[string]int{}, unserved: map[string]int{}}
}

// run passes the seeds to the workers in order, and returns when all runs have ended.
func (s *search) run() {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(s.arguments.Workers, 1) {
		workers.Go(func() {
			for seed := range seeds {
				s.add(seed, s.runSeed(seed))
			}
		})
	}
	for i := range s.arguments.Count {
		if s.isOver() {
			break
		}
		seeds <- s.arguments.First + uint64(i)
	}
	close(seeds)
	workers.Wait()
}

// isOver reports whether the search has to stop early.
func (s *search) isOver() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.arguments.Stop && s.unclean > 0
}

// runSeed simulates one seed.
func (s *search) runSeed(seed uint64) simulator.Outcome {
	plan := simulator.Plan{Seed: seed, Deployment: s.arguments.Deployment, Span: kernel.Micros(s.arguments.SpanUS), Rate: s.arguments.Rate}
	if s.arguments.Trace {
		plan.Trace = func(at kernel.Micros, text string) { fmt.Printf("%10.3f s  %s\n", float64(at)/1e6, text) }
	}
	if s.arguments.Storm {
		return simulator.Storm(plan)
	}
	return simulator.Run(plan)
}

// add adds a seed's outcome to the sums. It prints the outcome if it is not clean or if there are at
// most maxPrintedSeeds seeds.
func (s *search) add(seed uint64, outcome simulator.Outcome) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.calls += outcome.Report.Calls
	s.served += outcome.Report.Outcomes["served"]
	s.callers += outcome.Callers
	s.callersServed += outcome.ServedCallers
	addCounts(s.protectionCounts, outcome.ProtectionCounts)
	addCounts(s.faultCounts, outcome.FaultCounts)
	addCounts(s.unserved, outcome.Report.Unserved)
	if !outcome.IsClean() {
		s.unclean++
	}
	isFew := s.arguments.Count <= maxPrintedSeeds
	if outcome.IsClean() && !isFew {
		return
	}
	seedResult := result{
		Seed: seed, FinalFault: outcome.FinalFault, Calls: outcome.Report.Calls, Served: outcome.Report.Outcomes["served"],
		RepairUS: int64(outcome.Report.RecoverySpan), Operations: outcome.Operations, Violations: outcome.Lines(),
	}
	if isFew {
		seedResult.CrossZoneBytes, seedResult.InZoneBytes = outcome.CrossZoneBytes, outcome.InZoneBytes
	}
	printResult(seedResult)
}

// print prints the sums.
func (s *search) print() {
	fmt.Printf("%d seeds from %d, %s: %d with a violation; %d of %d requests served\n",
		s.arguments.Count, s.arguments.First, s.arguments.Deployment, s.unclean, s.served, s.calls)
	if s.callers > 0 {
		fmt.Printf("%d of %d callers eventually served\n", s.callersServed, s.callers)
	}
	if s.arguments.Counts {
		printCounts("actions of protections", s.protectionCounts)
		printCounts("injected faults", s.faultCounts)
		printCounts("unserved requests, by outcome and preceding fault", s.unserved)
	}
}

// compare replays a mix under two settings and writes the report. It exits the process.
func compare(parser *arg.Parser, arguments arguments) {
	mix, err := simulator.ReadMix(arguments.Mix)
	var variants [2]simulator.Variant
	for i, text := range []string{arguments.A, arguments.B} {
		if err == nil {
			variants[i], err = simulator.ParseVariant(text)
		}
	}
	if err != nil {
		parser.Fail(err.Error())
	}
	command := fmt.Sprintf("bin/simulator --mix %s --a %q --b %q --first %d --count %d --span-us %d",
		arguments.Mix, arguments.A, arguments.B, arguments.First, arguments.Count, arguments.SpanUS)
	simulator.InVirtualTime(func(virtual simulator.VirtualTime) int {
		span := kernel.Micros(arguments.SpanUS)
		if err := experiment.Run(virtual, mix, variants, arguments.First, arguments.Count, span, arguments.Out, command); err != nil {
			fmt.Fprintln(os.Stderr, "simulator:", err)
			return exitFailed
		}
		fmt.Println(arguments.Out + "/report.md")
		return exitOK
	})
}

// addCounts adds more to sum, by name.
func addCounts(sum, more map[string]int) {
	for name, count := range more {
		sum[name] += count
	}
}

// printCounts prints counts, the largest first.
func printCounts(title string, counts map[string]int) {
	fmt.Println(title + ":")
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		fmt.Printf("%9d  %s\n", counts[name], name)
	}
}

// printResult prints a seed's result as a line of JSON. It exits the process if encoding fails.
func printResult(seedResult result) {
	content, err := json.Marshal(seedResult)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(exitFailed)
	}
	fmt.Println(string(content))
}
