// Loadgen stands in for the callers of a fleet and writes what each of them saw.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/loadgen"
	"dunlinloom/test/summary"
)

type arguments struct {
	Nodes           []string `arg:"--node,separate" help:"public address of a node"`
	NodesFile       string   `arg:"--nodes-file" help:"JSON list of nodes with their zones, read again once a second"`
	Kinds           string   `arg:"--kinds" default:"qurum" help:"qurum or cronometro"`
	Rate            float64  `arg:"--rate" default:"20" help:"requests a second"`
	SpanUS          int64    `arg:"--span-us" default:"10000000"`
	CallerTimeoutUS int64    `arg:"--patient-us" default:"30000000" help:"how long a caller waits at most"`
	Seed            uint64   `arg:"--seed" default:"1"`
	Retries         int      `arg:"--retries" default:"2" help:"times a rejected caller comes again"`
	Hot             float64  `arg:"--hot" help:"share of each kind that its first prefix draws"`
	Prefix          string   `arg:"--prefix" default:"c"`
	Log             string   `arg:"--log" help:"file for the events; a page goes to standard output"`
	Report          string   `arg:"--report" help:"file for the whole summary, as JSON"`
	JSON            bool     `arg:"--json" help:"print the summary as JSON instead of a page"`
}

// unknownKindsError says that no deployment has that name.
type unknownKindsError struct{ name string }

func (err unknownKindsError) Error() string {
	return fmt.Sprintf("there are no kinds %q; qurum and cronometro are known", err.name)
}

func main() {
	var arguments arguments
	arg.MustParse(&arguments)
	report, events, err := run(arguments)
	if err == nil {
		err = summary.Print(os.Stdout, newPage(report, events), report, summary.Output{IsJSON: arguments.JSON, File: arguments.Report})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitFailed)
	}
	if len(report.Violations) > 0 {
		os.Exit(exitViolation)
	}
}

// Exit statuses.
const (
	exitFailed    = 1 // the load could not be generated, or its log or summary not be written
	exitViolation = 3 // a response broke a rule
)

// run generates the load until it ends or a signal stops it, and checks the responses.
func run(arguments arguments) (report checker.Report, events []checker.Event, err error) {
	known, isKnown := loadgen.KindsOf(arguments.Kinds)
	if !isKnown {
		return report, nil, unknownKindsError{arguments.Kinds}
	}
	kinds := append([]loadgen.Kind(nil), known...)
	for i := range kinds {
		kinds[i].Hot = arguments.Hot
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var lock sync.Mutex
	var lines *json.Encoder
	if arguments.Log != "" {
		file, err := os.OpenFile(arguments.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return report, nil, fmt.Errorf("open the log: %w", err)
		}
		// The log is not buffered: an error of a write is returned by its encoder.
		defer func() { _ = file.Close() }()
		lines = json.NewEncoder(file)
	}
	nodes := []loadgen.Node{}
	for _, address := range arguments.Nodes {
		nodes = append(nodes, loadgen.Node{Address: address})
	}
	platform, err := loadgen.NewPlatform(nodes, arguments.NodesFile)
	if err != nil {
		return report, nil, err
	}
	go platform.Watch(ctx)
	var failed error
	loadgen.Generator{
		Platform: platform, Kinds: kinds, Rate: arguments.Rate, Span: kernel.Micros(arguments.SpanUS), Seed: arguments.Seed,
		Prefix: arguments.Prefix, PatientSpan: kernel.Micros(arguments.CallerTimeoutUS), Retries: arguments.Retries,
	}.Run(ctx, func(event checker.Event) {
		lock.Lock()
		defer lock.Unlock()
		events = append(events, event)
		if lines != nil && failed == nil {
			failed = lines.Encode(event)
		}
	})
	if failed != nil {
		return report, nil, fmt.Errorf("write the log: %w", failed)
	}
	return checker.Check(events, checker.DefaultBounds()), events, nil
}

// newPage is the summary for people. Of the rules only those are judged that callers can see.
func newPage(report checker.Report, events []checker.Event) *summary.Page {
	page := &summary.Page{Run: "load generated", Rules: len(checker.FleetRules()), Violations: report.Violations}
	page.Add("requests served", "%s", summary.Share(report.Outcomes[string(checker.Served)], report.Calls))
	page.Add("not served", "%s", summary.Counts(summary.Unserved(report.Outcomes)))
	page.Add("first byte", "%s", summary.Latency(checker.FirstByteLatency(events)))
	return page
}
