// Simulator searches seeds: each is a simulated day of faults, and a seed that
// breaks a rule replays exactly.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/alexflint/go-arg"

	"dunlinloom/kernel"
	"dunlinloom/simulator"
	"dunlinloom/simulator/experiment"
)

type arguments struct {
	First      uint64  `arg:"--first" default:"1" help:"first seed"`
	Count      int     `arg:"--count" default:"50" help:"how many seeds"`
	Deployment string  `arg:"--deployment" default:"qurum" help:"qurum or cronometro"`
	SpanUS     int64   `arg:"--span-us" default:"60000000" help:"how long faults go on"`
	Rate       float64 `arg:"--rate" default:"20" help:"requests a second"`
	Workers    int     `arg:"--workers" default:"6"`
	Routed     bool    `arg:"--routed" help:"routers before model engines instead, each seed another deployment with up to three troubles; --span-us is its whole length"`
	Troubles   string  `arg:"--troubles" help:"with --routed: these troubles, separated by commas, instead of drawn ones"`
	Mix        string  `arg:"--mix" help:"replay this mix of requests under two settings instead, and write a report with plots"`
	A          string  `arg:"--a" help:"with --mix: one setting, as NAME=VALUE,NAME=VALUE"`
	B          string  `arg:"--b" help:"with --mix: the other"`
	Out        string  `arg:"--out" default:"experiment" help:"with --mix: the folder of the report"`
	Storm      bool    `arg:"--storm" help:"quick faults on a core of four instead of a day of a whole fleet"`
	Measure    string  `arg:"--measure" help:"compare ways of routing instead; \"all\", \"rebuild\" or one of admission, crash, current, divert, licence, policy, ramp, reports, reports-long, salt, traffic, zones"`
	Stop       bool    `arg:"--stop" help:"stop at the first seed that breaks a rule"`
	Counts     bool    `arg:"--counts" help:"tell which faults struck, what protections did, and what was not served and why"`
	Trace      bool    `arg:"--trace" help:"print what happens; best with one seed"`
}

type line struct {
	Seed     uint64 `json:"seed"`
	Final    string `json:"final"`
	Calls    int    `json:"calls"`
	Served   int    `json:"served"`
	RepairUS int64  `json:"repair_took_us"`
	Orders   [3]int `json:"orders_yes_no_unsure"`
	// Crossed is the control plane's bytes between zones by kind of message, for single seeds.
	Crossed    map[string]int `json:"crossed,omitempty"`
	Within     int            `json:"within,omitempty"`
	Violations []string       `json:"breaches,omitempty"`
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	if arguments.Measure == "rebuild" {
		simulator.MeasureRebuild(os.Stdout, arguments.First, arguments.Count)
		return
	}
	if arguments.Measure != "" {
		names := []string{arguments.Measure}
		if arguments.Measure == "all" {
			names = simulator.Measurements()
		}
		for _, name := range names {
			if !simulator.Measure(os.Stdout, name, arguments.First, arguments.Count) {
				parser.Fail(fmt.Sprintf("there is no measurement %q; known are %v", name, simulator.Measurements()))
			}
		}
		return
	}
	if arguments.Mix != "" {
		compare(parser, arguments)
		return
	}
	if arguments.Routed {
		search := simulator.RoutedSearch{First: arguments.First, Count: arguments.Count, Span: kernel.Micros(arguments.SpanUS), Workers: arguments.Workers, Stop: arguments.Stop, Counts: arguments.Counts}
		if arguments.Troubles != "" {
			search.Troubles = strings.Split(arguments.Troubles, ",")
		}
		simulator.InVirtualTime(func(virtual simulator.VirtualTime) int {
			unclean, err := search.Run(virtual, os.Stdout)
			switch {
			case err != nil:
				fmt.Fprintln(os.Stderr, "simulator:", err)
				return 1
			case unclean > 0:
				return 3
			}
			return 0
		})
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var lock sync.Mutex
	unclean, calls, served, begun, content := 0, 0, 0, 0, 0
	tally, struck, unserved := map[string]int{}, map[string]int{}, map[string]int{}
	for range max(arguments.Workers, 1) {
		workers.Go(func() {
			for seed := range seeds {
				plan := simulator.Plan{Seed: seed, Deployment: arguments.Deployment, Span: kernel.Micros(arguments.SpanUS), Rate: arguments.Rate}
				if arguments.Trace {
					plan.Trace = func(at kernel.Micros, text string) { fmt.Printf("%10.3f s  %s\n", float64(at)/1e6, text) }
				}
				run := simulator.Run
				if arguments.Storm {
					run = simulator.Storm
				}
				outcome := run(plan)
				lock.Lock()
				calls += outcome.Review.Calls
				served += outcome.Review.Outcomes["served"]
				begun += outcome.Callers
				content += outcome.Content
				add(tally, outcome.Tally)
				add(struck, outcome.Struck)
				add(unserved, outcome.Review.Unserved)
				if !outcome.IsClean() {
					unclean++
				}
				if !outcome.IsClean() || arguments.Count <= 5 {
					told := line{seed, outcome.Final, outcome.Review.Calls, outcome.Review.Outcomes["served"],
						int64(outcome.Review.RepairTook), outcome.Orders, nil, 0, outcome.Lines()}
					if arguments.Count <= 5 {
						told.Crossed, told.Within = outcome.Crossed, outcome.Within
					}
					print(told)
				}
				lock.Unlock()
			}
		})
	}
	for i := range arguments.Count {
		lock.Lock()
		isDone := arguments.Stop && unclean > 0
		lock.Unlock()
		if isDone {
			break
		}
		seeds <- arguments.First + uint64(i)
	}
	close(seeds)
	workers.Wait()
	fmt.Printf("%d seeds from %d, %s: %d with a violation; %d of %d requests served\n", arguments.Count, arguments.First, arguments.Deployment, unclean, served, calls)
	if begun > 0 {
		fmt.Printf("%d of %d callers served in the end\n", content, begun)
	}
	if arguments.Counts {
		tell("what protections did", tally)
		tell("faults that struck", struck)
		tell("not served, by ending and the fault before", unserved)
	}
	if unclean > 0 {
		os.Exit(3)
	}
}

// compare replays a mix under two settings.
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
	command := fmt.Sprintf("bin/simulator --mix %s --a %q --b %q --first %d --count %d --span-us %d", arguments.Mix, arguments.A, arguments.B, arguments.First, arguments.Count, arguments.SpanUS)
	simulator.InVirtualTime(func(virtual simulator.VirtualTime) int {
		if err := experiment.Run(virtual, mix, variants, arguments.First, arguments.Count, kernel.Micros(arguments.SpanUS), arguments.Out, command); err != nil {
			fmt.Fprintln(os.Stderr, "simulator:", err)
			return 1
		}
		fmt.Println(arguments.Out + "/report.md")
		return 0
	})
}

func add(sum, more map[string]int) {
	for name, count := range more {
		sum[name] += count
	}
}

// tell prints counts, the largest first.
func tell(title string, counts map[string]int) {
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

func print(line line) {
	content, err := json.Marshal(line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(1)
	}
	fmt.Println(string(content))
}
