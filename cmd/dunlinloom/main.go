// Dunlinloom is the daemon of a fleet. Its first argument selects the role of the process: router,
// controller, node (both in one process), or platform (both, with the settings file that an
// environment variable names).
package main

import (
	"fmt"
	"io"
	"os"

	"dunlinloom/internal/earlysignal"
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
  router      routes the requests of callers to engines
  controller  runs the control plane; with a data folder, a voter or standby
  node        runs both in one process
  platform    runs both as deployed on a platform; settings come from the file
              that the environment variable DUNLINLOOM_CONFIG names

"dunlinloom COMMAND --help" lists a command's flags.
`

// command runs one kind of process with its arguments until it ends, and returns its exit status.
type command func(arguments []string) int

// daemon returns the command that runs a process with the given roles.
func daemon(name string, isRouter, isController bool) command {
	roles := server.Roles{Program: "dunlinloom " + name, IsRouter: isRouter, IsController: isController}
	return func(arguments []string) int {
		earlysignal.Release()
		return server.Main(roles, arguments)
	}
}

// commands returns all commands by name.
func commands() map[string]command {
	return map[string]command{
		"router":     daemon("router", true, false),
		"controller": daemon("controller", false, true),
		"node":       daemon("node", true, true),
		"platform":   func(arguments []string) int { return platform.Main(arguments, earlysignal.Reloads()) },
	}
}

// run executes the command line and returns the exit status.
func run(arguments []string, out, errOut io.Writer) int {
	if len(arguments) == 0 {
		show(errOut, usage)
		return exitUsage
	}
	name := arguments[0]
	if name == "help" || name == "--help" || name == "-h" {
		show(out, usage)
		return exitOK
	}
	start, isKnown := commands()[name]
	if !isKnown {
		show(errOut, fmt.Sprintf("dunlinloom: unknown command %q\n\n%s", name, usage))
		return exitUsage
	}
	return start(arguments[1:])
}

// show writes a text to the user. It ignores an error, because the exit status tells the result and
// there is no other output to report the error on.
func show(to io.Writer, text string) { _, _ = io.WriteString(to, text) }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
