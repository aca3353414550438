// Dunlinloom is the fleet's one daemon. Its first argument names what the process is:
// router, controller, node (both in one process), or platform (as deployed on a platform,
// with the settings that the environment names).
package main

import (
	"fmt"
	"io"
	"os"

	"dunlinloom/internal/server"
	"dunlinloom/platform"
)

// Exit statuses of the command line itself.
const (
	exitOK    = 0
	exitUsage = 2
)

const usage = `usage: dunlinloom COMMAND [FLAGS]

commands:
  router      serves callers
  controller  runs the control plane; with a data folder, a voter or standby
  node        both in one process
  platform    both, as deployed on a platform; settings come from the file that
              the environment names

"dunlinloom COMMAND --help" lists a command's flags.
`

// command starts one kind of process with its arguments and gives its exit status.
type command func(arguments []string) int

func daemon(name string, isRouter, isController bool) command {
	parts := server.Roles{Program: "dunlinloom " + name, IsRouter: isRouter, IsController: isController}
	return func(arguments []string) int { return server.Main(parts, arguments) }
}

func commands() map[string]command {
	return map[string]command{
		"router":     daemon("router", true, false),
		"controller": daemon("controller", false, true),
		"node":       daemon("node", true, true),
		"platform":   platform.Main,
	}
}

// run executes the command line and gives the exit status.
func run(arguments []string, out, errors io.Writer) int {
	if len(arguments) == 0 {
		fmt.Fprint(errors, usage)
		return exitUsage
	}
	name := arguments[0]
	if name == "help" || name == "--help" || name == "-h" {
		fmt.Fprint(out, usage)
		return exitOK
	}
	start, isKnown := commands()[name]
	if !isKnown {
		fmt.Fprintf(errors, "dunlinloom: unknown command %q\n\n%s", name, usage)
		return exitUsage
	}
	return start(arguments[1:])
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
