// Soak runs a fleet of platform nodes, real processes on loopback addresses, under overlapping faults
// drawn from a seed, and checks what callers, engines and operators observed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/soak"
	"dunlinloom/test/summary"
)

type arguments struct {
	First   uint64   `arg:"--first" default:"1" help:"first seed"`
	Count   uint64   `arg:"--count" default:"1" help:"number of seeds"`
	SpanS   float64  `arg:"--span-s" default:"40" help:"duration of the faults before the final fault, in seconds"`
	Load    float64  `arg:"--load" default:"1" help:"factor on the usual request rates of callers"`
	Workers int      `arg:"--workers" default:"1" help:"number of concurrent runs, each with about eight processes"`
	Network int      `arg:"--network" default:"20" help:"second byte of the loopback addresses of the first worker"`
	Program string   `arg:"--program" help:"path of the daemon, built with -tags faults; default: dunlinloom in the folder of this program"`
	Folder  string   `arg:"--folder" help:"folder for logs and reports; default: a temporary folder"`
	Tenants bool     `arg:"--tenants" help:"require keys for requests, add and withdraw keys during the run, and give tenants quotas"`
	Nodes   int      `arg:"--nodes" default:"5" help:"number of nodes"`
	Disks   int      `arg:"--disks" default:"3" help:"number of nodes with a disk, from 3 to 9; from 7 on, two of them may be lost at once"`
	Only    []string `arg:"--only,separate" help:"draw only this kind of fault; may be given several times"`
	Quiet   bool     `arg:"--quiet" help:"print only the outcome of each seed, in one line"`
	JSON    bool     `arg:"--json" help:"print the complete report of each seed as JSON instead of a summary; it is also written to report.json in the seed's folder"`
}

// Exit statuses.
const (
	exitClean     = 0
	exitFailed    = 1
	exitViolation = 3
)

func main() {
	status, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	os.Exit(status)
}

func run() (int, error) {
	var flags arguments
	arg.MustParse(&flags)
	if flags.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return exitFailed, fmt.Errorf("find the daemon: %w", err)
		}
		flags.Program = filepath.Join(filepath.Dir(self), "dunlinloom")
	}
	if flags.Folder == "" {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return exitFailed, fmt.Errorf("make a folder: %w", err)
		}
		flags.Folder = folder
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return runSeeds(ctx, flags)
}

// runSeeds runs all seeds, several at a time, and returns the exit status.
func runSeeds(ctx context.Context, flags arguments) (int, error) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var violations atomic.Int64
	var lock sync.Mutex
	var failed error
	for i := range max(flags.Workers, 1) {
		workers.Go(func() {
			for seed := range seeds {
				report, err := runSeed(ctx, flags, seed, flags.Network+i)
				lock.Lock()
				failed = errors.Join(failed, err)
				if report != nil {
					failed = errors.Join(failed, printReport(report, flags))
					violations.Add(int64(report.Violations))
				}
				lock.Unlock()
			}
		})
	}
	for seed := flags.First; seed < flags.First+flags.Count && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	if failed == nil {
		// After a signal some seeds have not been run, so the result is not a success.
		failed = ctx.Err()
	}
	switch {
	case failed != nil:
		return exitFailed, failed
	case violations.Load() > 0:
		return exitViolation, nil
	}
	return exitClean, nil
}

// runSeed runs one seed and writes its report into the folder of its logs.
func runSeed(ctx context.Context, flags arguments, seed uint64, network int) (*soak.Report, error) {
	folder := filepath.Join(flags.Folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	report, err := soak.Play(ctx, soak.Settings{
		Program: flags.Program, Folder: folder, Seed: seed, Network: network, Span: kernel.Micros(flags.SpanS * float64(kernel.Second)), Load: flags.Load, HasTenants: flags.Tenants, Nodes: flags.Nodes, Disks: flags.Disks, Only: flags.Only,
		Logf: func(format string, words ...any) {
			if !flags.Quiet {
				fmt.Fprintf(os.Stderr, "seed %d: %s\n", seed, fmt.Sprintf(format, words...))
			}
		},
	})
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, "report.json"), content, 0o644)
	}
	if err != nil {
		return report, fmt.Errorf("write the report of seed %d: %w", seed, err)
	}
	return report, nil
}

// printReport prints the outcome of a seed: a summary, the complete report as JSON, or one line and a
// further one for each violation and problem.
func printReport(report *soak.Report, flags arguments) error {
	if !flags.Quiet || flags.JSON {
		return summary.Print(os.Stdout, report.Page(), report, summary.Output{IsJSON: flags.JSON})
	}
	fmt.Printf("seed %d: %d violations; %d of %d tries served, %d of %d orders acknowledged, %d reads, %d MB; closing: %s\n",
		report.Seed, report.Violations, report.Review.Served, report.Review.Attempts, report.Answered, report.Sent, report.Reads, report.MemoryMB, report.Closing)
	for _, violation := range slices.Concat(report.Review.Violations, report.Orders) {
		fmt.Printf("  seed %d, %.3f s: %s: %s\n", report.Seed, float64(violation.At)/float64(kernel.Second), violation.Rule, violation.Detail)
	}
	for _, problem := range report.Problems {
		fmt.Printf("  seed %d: %s\n", report.Seed, problem)
	}
	return nil
}
