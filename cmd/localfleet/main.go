// Localfleet runs a fault scenario on a fleet of real processes on this machine, and checks what
// callers, engines and operators observed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/test/localfleet"
	"dunlinloom/test/summary"
)

type arguments struct {
	Scenario string `arg:"positional,required" help:"scenario file; see test/scenarios/"`
	Bin      string `arg:"--bin" help:"folder of the programs; default: the folder of localfleet itself"`
	Folder   string `arg:"--folder" help:"empty folder for logs and data; default: a temporary folder"`
	Port     int    `arg:"--port" help:"first of 400 ports on 127.0.0.1; default: free ports"`
	Seed     uint64 `arg:"--seed" help:"seed that replaces the scenario's"`
	Report   string `arg:"--report" help:"file for the complete report as JSON"`
	JSON     bool   `arg:"--json" help:"print the complete report as JSON instead of a summary"`
}

// folderNotEmptyError reports that the folder for logs and data is not empty.
type folderNotEmptyError struct{ entries int }

func (err folderNotEmptyError) Error() string {
	return fmt.Sprintf("folder is not empty (%d entries)", err.entries)
}

func main() {
	status, err := run()
	var faults *fleetconfig.InvalidConfigError
	if errors.As(err, &faults) {
		for _, fault := range faults.List {
			fmt.Fprintln(os.Stderr, "localfleet: scenario:", fault.Error())
		}
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
	}
	os.Exit(status)
}

func run() (int, error) {
	var arguments arguments
	arg.MustParse(&arguments)
	scenario, err := localfleet.ReadScenario(arguments.Scenario)
	if err != nil {
		return 2, err
	}
	if arguments.Seed != 0 {
		scenario.Seed = arguments.Seed
	}
	if arguments.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			return 1, fmt.Errorf("find the folder of the programs: %w", err)
		}
		arguments.Bin = filepath.Dir(self)
	}
	if arguments.Folder == "" {
		if arguments.Folder, err = os.MkdirTemp("", "localfleet-"); err != nil {
			return 1, fmt.Errorf("create a temporary folder: %w", err)
		}
	} else if err := os.MkdirAll(arguments.Folder, 0o755); err != nil {
		return 1, fmt.Errorf("make a folder: %w", err)
	}
	// Logs of an earlier run would be checked together with those of this run.
	if left, err := os.ReadDir(arguments.Folder); err != nil || len(left) > 0 {
		return 2, fmt.Errorf("use folder %s: %w", arguments.Folder, folderNotEmptyError{len(left)})
	}
	deployment, _ := localfleet.DeploymentOf(scenario.Deployment)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cluster := localfleet.NewCluster(arguments.Bin, arguments.Folder, deployment, arguments.Port)
	report, err := localfleet.Run(ctx, cluster, scenario, func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	})
	if err != nil {
		return 1, err
	}
	if err := summary.Print(os.Stdout, report.Page(), report, summary.Output{IsJSON: arguments.JSON, File: arguments.Report}); err != nil {
		return 1, err
	}
	if len(report.Review.Violations) > 0 || len(report.Problems) > 0 {
		return 3, nil
	}
	return 0, nil
}
