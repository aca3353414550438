// Loadgen generates the load of a fleet's callers, records their responses and checks them.
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
	NodesFile       string   `arg:"--nodes-file" help:"JSON file with a list of nodes and their zones, reloaded once a second"`
	Kinds           string   `arg:"--kinds" default:"qurum" help:"mix of requests: qurum or cronometro"`
	Rate            float64  `arg:"--rate" default:"20" help:"requests per second"`
	SpanUS          int64    `arg:"--span-us" default:"10000000"`
	CallerTimeoutUS int64    `arg:"--patient-us" default:"30000000" help:"timeout of a caller in microseconds"`
	Seed            uint64   `arg:"--seed" default:"1"`
	Retries         int      `arg:"--retries" default:"2" help:"number of retries after a rejection"`
	Hot             float64  `arg:"--hot" help:"fraction of the requests of each kind that use its first prefix"`
	Prefix          string   `arg:"--prefix" default:"c"`
	Log             string   `arg:"--log" help:"file to which the events are appended; the summary is written to standard output"`
	Report          string   `arg:"--report" help:"file for the complete summary as JSON"`
	JSON            bool     `arg:"--json" help:"print the summary as JSON instead of a page"`
}

// unknownKindsError reports that --kinds names no known mix of requests.
type unknownKindsError struct{ name string }

func (err unknownKindsError) Error() string {
	return fmt.Sprintf("unknown kinds %q; use qurum or cronometro", err.name)
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
	exitFailed    = 1 // the load could not be generated, or the log or summary could not be written
	exitViolation = 3 // a response violated a rule
)

// run generates the load until its time is over or a signal stops it, and then checks the
// responses.
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
		// The log is not buffered, so the encoder has returned any error of a write.
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
		TagPrefix: arguments.Prefix, CancelAfter: kernel.Micros(arguments.CallerTimeoutUS), Retries: arguments.Retries,
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

// newPage returns the human-readable summary. It covers only the rules that callers' responses can
// show to be violated.
func newPage(report checker.Report, events []checker.Event) *summary.Page {
	page := &summary.Page{Run: "load generated", Rules: len(checker.FleetRules()), Violations: report.Violations}
	page.Add("requests served", "%s", summary.Share(report.Outcomes[string(checker.Served)], report.Calls))
	page.Add("not served", "%s", summary.Counts(summary.Unserved(report.Outcomes)))
	page.Add("first byte", "%s", summary.Latency(checker.FirstByteLatency(events)))
	return page
}
