// Capacity measures the resource usage of the control plane at given fleet sizes and prints one
// table per invocation.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/capacity"
)

type arguments struct {
	Table    string   `arg:"--table" help:"print this table; see --list"`
	List     bool     `arg:"--list" help:"list the names of the tables"`
	Run      bool     `arg:"--run" help:"simulate one fleet of the sizes below and print the result as JSON"`
	Seed     uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int      `arg:"--seeds" default:"3" help:"number of seeds per table row"`
	Workers  int      `arg:"--workers" default:"3" help:"number of concurrent runs, each on one core"`
	Rules    string   `arg:"--rules" default:"strict" help:"strict or deployment; deployment: the rules of a platform deployment, whose engines register themselves"`
	Most     int      `arg:"--most" help:"skip table rows above this size; 0: no limit"`
	Nodes    int      `arg:"--nodes" default:"32"`
	Control  int      `arg:"--control" help:"number of controllers; 0, here and for zones and regions: derived from the number of nodes"`
	Zones    int      `arg:"--zones"`
	Regions  int      `arg:"--regions"`
	Engines  int      `arg:"--engines" default:"64"`
	Routes   int      `arg:"--routes" default:"100"`
	Prefixes int      `arg:"--prefixes" default:"1000"`
	Sessions int      `arg:"--sessions" default:"100"`
	Tenants  int      `arg:"--tenants" default:"16"`
	ReportUS int64    `arg:"--report-us" default:"1000000" help:"interval of an engine's reports, or of its heartbeats with the deployment rules, in microseconds"`
	Changes  int      `arg:"--changes" help:"operations per 1000 seconds"`
	SpanUS   int64    `arg:"--span-us" default:"5000000" help:"measured virtual time in microseconds"`
	Restart  int      `arg:"--restart" help:"percentage of routers that are restarted at the same time"`
	CutUS    int64    `arg:"--cut-us" help:"duration of a partition of the last region in microseconds"`
	Roles    []string `arg:"--role,separate" help:"role whose memory is broken down; default: all roles"`
	WallUS   int64    `arg:"--wall-us" default:"240000000" help:"limit on the wall time of each run in microseconds"`
	MemoryMB int      `arg:"--memory-mb" default:"1536" help:"limit on the memory of each run in MB"`
}

func (a arguments) sizes() capacity.Sizes {
	sizes := capacity.Sizes{
		Nodes: a.Nodes, Control: a.Control, Zones: a.Zones, Regions: a.Regions, Engines: a.Engines, Routes: a.Routes,
		Prefixes: a.Prefixes, Sessions: a.Sessions, Tenants: a.Tenants, Report: kernel.Micros(a.ReportUS), Changes: a.Changes,
		Span: kernel.Micros(a.SpanUS), Restart: a.Restart, Cut: kernel.Micros(a.CutUS), Wall: kernel.Micros(a.WallUS), MemoryMB: a.MemoryMB,
		Roles: capacity.Roles(), Rules: capacity.Rules(a.Rules),
	}
	if len(a.Roles) > 0 {
		sizes.Roles = nil
		for _, role := range a.Roles {
			sizes.Roles = append(sizes.Roles, capacity.Role(role))
		}
	}
	return sizes
}

func main() {
	var arguments arguments
	parser := arg.MustParse(&arguments)
	var err error
	switch {
	case arguments.List:
		for _, name := range capacity.Tables() {
			fmt.Println(name)
		}
	case arguments.Run:
		err = run(arguments)
	case arguments.Table != "":
		err = capacity.Print(os.Stdout, arguments.Table, capacity.Batch{First: arguments.Seed, Seeds: arguments.Seeds, Workers: arguments.Workers,
			Rules: capacity.Rules(arguments.Rules), Most: arguments.Most})
	default:
		parser.Fail("one of --table, --run and --list is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(arguments arguments) error {
	outcome, err := capacity.Run(arguments.sizes(), arguments.Seed)
	if outcome == nil {
		return err
	}
	if err != nil {
		outcome.Failed = err.Error()
	}
	if failed := json.NewEncoder(os.Stdout).Encode(outcome); failed != nil {
		return fmt.Errorf("write the outcome as JSON: %w", failed)
	}
	return err
}
