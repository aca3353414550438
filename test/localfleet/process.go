package localfleet

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinloom/internal/server"
	"dunlinloom/test/childprocess"
)

// process is one program of the fleet or of its environment, across all its starts.
type process struct {
	childprocess.Process
	name      string
	program   string
	zone      string
	arguments []string
	public    string
	peer      string
	data      string
	start     uint64 // identifies the current start of an engine; zero for other programs
	pool      string
	// isEndExpected is set before the run itself stops the process.
	isEndExpected atomic.Bool
}

// exitViolation is the exit status of a load generator that saw a response violate a rule. The checker evaluates the
// same events again.
const exitViolation = 3

// checkEnd records the unexpected exit of a process. A load generator may exit by itself, unless it fails.
func (cluster *Cluster) checkEnd(a *process, err error) {
	var exit *exec.ExitError
	isVerdict := a.program == programLoadgen && errors.As(err, &exit) && exit.ExitCode() == exitViolation
	switch {
	case a.isEndExpected.Load() || isVerdict:
	case a.program == programLoadgen && err == nil:
	default:
		cluster.addFailure("%s exited unexpectedly: %v", a.name, err)
	}
}

// start launches a process unless it is running.
func (cluster *Cluster) start(a *process) error {
	if a.IsRunning() {
		return nil
	}
	a.Name, a.Path, a.Arguments = a.name, cluster.executable(a.program), append(subcommand(a.program), a.arguments...)
	a.Env = []string{server.EnvFaults + "=" + cluster.faultsFile(), server.EnvSelf + "=" + a.peer}
	a.LogPath = filepath.Join(cluster.folder, a.name+".log")
	a.isEndExpected.Store(false)
	a.OnEnd = func(err error) { cluster.checkEnd(a, err) }
	more := []string{}
	if strings.HasPrefix(a.name, "e") {
		a.start = uint64(time.Now().UnixMicro())
		more = append(more, "--start", fmt.Sprint(a.start))
	}
	if err := a.Start(more...); err != nil {
		return ClusterError{"start a process", err}
	}
	cluster.lock.Lock()
	cluster.starts[a.name]++
	cluster.lock.Unlock()
	return nil
}

// signal sends a signal to a process if it is running.
func (process *process) signal(signal syscall.Signal) {
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		process.isEndExpected.Store(true)
	}
	if err := process.Signal(signal); err != nil {
		panic(ClusterError{"signal a process", err})
	}
}

// The names of programs, and the executable that provides the node and router subcommands.
const (
	programNode    = "node"
	programRouter  = "router"
	programLoadgen = "loadgen"
	daemon         = "dunlinloom"
)

// executable returns the path of a program's executable file.
func (cluster *Cluster) executable(program string) string {
	if len(subcommand(program)) > 0 {
		program = daemon
	}
	return filepath.Join(cluster.bin, program)
}

// subcommand returns the daemon's subcommand for a program, or nil for a program with its own executable.
func subcommand(program string) []string {
	if program == programNode || program == programRouter {
		return []string{program}
	}
	return nil
}

// checkFaultSupport returns an error unless the programs are built with -tags faults.
func (cluster *Cluster) checkFaultSupport() error {
	out, err := exec.Command(cluster.executable(programNode), programNode, "--version").Output()
	if err != nil {
		return ClusterError{"get the version of the node program", err}
	}
	if !strings.Contains(string(out), "with faults") {
		return ClusterError{"inject faults", FaultsUnsupportedError{}}
	}
	return nil
}

// FaultsUnsupportedError reports that the programs are built without the fault injection that a scenario needs.
type FaultsUnsupportedError struct{}

func (FaultsUnsupportedError) Error() string {
	return "the scenario injects network or disk faults; build the programs with -tags faults"
}

// halt kills a process and waits until it has exited.
func (process *process) halt() {
	process.isEndExpected.Store(true)
	if err := process.Halt(); err != nil {
		panic(ClusterError{"halt a process", err})
	}
}
