package localfleet

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
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
}

// start launches a process unless it runs.
func (cluster *Cluster) start(a *process) error {
	if a.IsRunning() {
		return nil
	}
	a.Name, a.Path, a.Arguments = a.name, cluster.executable(a.program), append(subcommand(a.program), a.arguments...)
	a.Env = []string{server.EnvFaults + "=" + cluster.faultsFile(), server.EnvSelf + "=" + a.peer}
	a.LogPath = filepath.Join(cluster.folder, a.name+".log")
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

func (process *process) signal(signal syscall.Signal) {
	if err := process.Signal(signal); err != nil {
		panic(ClusterError{"signal a process", err})
	}
}

// Kinds of process that the daemon's subcommands start.
const (
	programNode   = "node"
	programRouter = "router"
	daemon        = "dunlinloom"
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
	if err := process.Halt(); err != nil {
		panic(ClusterError{"halt a process", err})
	}
}
