// Capacity measures what the control plane costs at a size, one table a command.
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
	List     bool     `arg:"--list" help:"name the tables"`
	Run      bool     `arg:"--run" help:"one fleet of the sizes below, as JSON"`
	Seed     uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int      `arg:"--seeds" default:"3" help:"how many seeds a row of a table takes"`
	Workers  int      `arg:"--workers" default:"3" help:"runs at a time, each of one core"`
	Rules    string   `arg:"--rules" default:"strict" help:"strict; deployment: as a deployment in wings sets them, with engines that register themselves"`
	Most     int      `arg:"--most" help:"rows of a table above this size are left out; 0: none"`
	Nodes    int      `arg:"--nodes" default:"32"`
	Control  int      `arg:"--control" help:"0: by the number of nodes, as are zones and regions"`
	Zones    int      `arg:"--zones"`
	Regions  int      `arg:"--regions"`
	Engines  int      `arg:"--engines" default:"64"`
	Routes   int      `arg:"--routes" default:"100"`
	Prefixes int      `arg:"--prefixes" default:"1000"`
	Sessions int      `arg:"--sessions" default:"100"`
	Tenants  int      `arg:"--tenants" default:"16"`
	ReportUS int64    `arg:"--report-us" default:"1000000" help:"between an engine's reports, or its heartbeats under the deployment's rules"`
	Changes  int      `arg:"--changes" help:"orders in a thousand seconds"`
	SpanUS   int64    `arg:"--span-us" default:"5000000" help:"virtual time that is measured"`
	Restart  int      `arg:"--restart" help:"percent of the routers that are restarted at once"`
	CutUS    int64    `arg:"--cut-us" help:"how long the last region is cut off"`
	Roles    []string `arg:"--role,separate" help:"whose memory is taken apart; none: all"`
	WallUS   int64    `arg:"--wall-us" default:"240000000" help:"bound of each run"`
	MemoryMB int      `arg:"--memory-mb" default:"1536" help:"bound of each run"`
}

func (w arguments) sizes() capacity.Sizes {
	sizes := capacity.Sizes{
		Nodes: w.Nodes, Control: w.Control, Zones: w.Zones, Regions: w.Regions, Engines: w.Engines, Routes: w.Routes,
		Prefixes: w.Prefixes, Sessions: w.Sessions, Tenants: w.Tenants, Report: kernel.Micros(w.ReportUS), Changes: w.Changes,
		Span: kernel.Micros(w.SpanUS), Restart: w.Restart, Cut: kernel.Micros(w.CutUS), Wall: kernel.Micros(w.WallUS), MemoryMB: w.MemoryMB,
		Roles: capacity.Roles(), Rules: capacity.Rules(w.Rules),
	}
	if len(w.Roles) > 0 {
		sizes.Roles = nil
		for _, role := range w.Roles {
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
		parser.Fail("one of --table, --run and --list is needed")
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
		return fmt.Errorf("tell the outcome: %w", failed)
	}
	return err
}
