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

// The processes of a run: how each is started, signalled and ended.

// process is one program of the fleet or of its surroundings, over all its starts.
type process struct {
	childprocess.Process
	name      string
	program   string
	zone      string
	arguments []string
	public    string
	peer      string
	data      string
	start     uint64 // engines
	pool      string
	// isEndExpected: this run ended the process, or it is one that ends by itself.
	isEndExpected atomic.Bool
}

// exitViolation is the status with which the load generator says that a response broke a rule; the checker judges
// the same events once more.
const exitViolation = 3

// checkEnd records the end of a process that nobody asked for, and of one that ended by itself with an error.
func (cluster *Cluster) checkEnd(a *process, err error) {
	var exit *exec.ExitError
	isVerdict := a.program == programLoadgen && errors.As(err, &exit) && exit.ExitCode() == exitViolation
	switch {
	case a.isEndExpected.Load() || isVerdict:
	case a.program == programLoadgen && err == nil:
	default:
		cluster.addFailure("%s ended by itself: %v", a.name, err)
	}
}

// start launches a process unless it runs.
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
		return ClusterError{"run a process", err}
	}
	cluster.lock.Lock()
	cluster.starts[a.name]++
	cluster.lock.Unlock()
	return nil
}

// signal sends a signal to a process; nothing happens unless it runs.
func (process *process) signal(signal syscall.Signal) {
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		process.isEndExpected.Store(true)
	}
	if err := process.Signal(signal); err != nil {
		panic(ClusterError{"signal a process", err})
	}
}

// Kinds of process that the daemon's subcommands start.
const (
	programNode    = "node"
	programRouter  = "router"
	programLoadgen = "loadgen"
	daemon         = "dunlinloom"
)

// executable gives the path of the file that a program is in.
func (cluster *Cluster) executable(program string) string {
	if len(subcommand(program)) > 0 {
		program = daemon
	}
	return filepath.Join(cluster.bin, program)
}

// subcommand gives the daemon's argument for a program; none for a program of its own.
func subcommand(program string) []string {
	if program == programNode || program == programRouter {
		return []string{program}
	}
	return nil
}

// canCut asks a program whether it is built with faults.
func (cluster *Cluster) canCut() error {
	out, err := exec.Command(cluster.executable(programNode), programNode, "--version").Output()
	if err != nil {
		return ClusterError{"ask node for its version", err}
	}
	if !strings.Contains(string(out), "with faults") {
		return ClusterError{"cut channels", FaultsUnsupportedError{}}
	}
	return nil
}

// FaultsUnsupportedError says that the programs can't do what a scenario asks for.
type FaultsUnsupportedError struct{}

func (FaultsUnsupportedError) Error() string {
	return "the scenario has channels or disks fail; build the programs with -tags faults"
}

// halt kills a process and waits for its end.
func (process *process) halt() {
	process.isEndExpected.Store(true)
	if err := process.Halt(); err != nil {
		panic(ClusterError{"halt a process", err})
	}
}
