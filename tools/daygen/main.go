// Daygen generates random fault scenarios for a simulated deployment: TOML files that list faults, planned work and a
// final fault with their times. A theme selects what the scenarios stress, and a seed reproduces them exactly.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// arguments are the command-line flags.
type arguments struct {
	Site  string   `arg:"--site,required" help:"TOML file of the site: contracts, machines, services, request classes and timing"`
	Theme string   `arg:"--theme" default:"mixed" help:"what the scenarios stress: start, cut, race, repair, storm, stop, queue or mixed"`
	Seed  uint64   `arg:"--seed" default:"1" help:"the same seed generates the same scenarios"`
	Count int      `arg:"--count" default:"10" help:"number of scenarios"`
	Out   string   `arg:"--out,required" help:"output folder; it is created if it doesn't exist"`
	Skip  []string `arg:"--skip" help:"kinds of events that the site doesn't support"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if err := run(args); err != nil {
		parser.Fail(err.Error())
	}
}

// run writes the requested scenarios and prints their paths.
func run(args arguments) error {
	site, err := LoadSite(args.Site)
	if err != nil {
		return err
	}
	generator, err := NewGenerator(site, args.Theme, args.Skip)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(args.Out, directoryMode); err != nil {
		return err
	}
	for index := range args.Count {
		scenario := generator.Scenario(args.Seed, index)
		path := filepath.Join(args.Out, scenario.Name+".toml")
		if err := writeScenario(path, scenario); err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}

// writeScenario writes a scenario to the file at path.
func writeScenario(path string, scenario Scenario) error {
	encoded, err := scenario.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, fileMode)
}
