package localfleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The processes of a run: how each is started, signalled and ended.

// process is one program of the fleet or of its surroundings, over all its starts.
type process struct {
	name      string
	program   string
	zone      string
	arguments []string
	public    string
	peer      string
	data      string
	lock      sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	start     uint64 // engines
	pool      string
}

// start launches a process unless it runs.
func (cluster *Cluster) start(a *process) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.command != nil {
		return nil
	}
	arguments := a.arguments
	if strings.HasPrefix(a.name, "e") {
		a.start = uint64(time.Now().UnixMicro())
		arguments = append(slices.Clone(arguments), "--start", fmt.Sprint(a.start))
	}
	log, err := os.OpenFile(filepath.Join(cluster.folder, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return ClusterError{"open a log", err}
	}
	command := exec.Command(cluster.executable(a.program), append(subcommand(a.program), arguments...)...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "DUNLINLOOM_FAULTS="+cluster.faultsFile(), "DUNLINLOOM_SELF="+a.peer)
	// A local fleet run that dies must not leave a fleet behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return ClusterError{"start " + a.name, err}
	}
	ended := make(chan struct{})
	a.command, a.ended = command, ended
	go func() {
		// How it ended is seen in its log; what matters here is that it did.
		if err := command.Wait(); err != nil {
			fmt.Fprintln(log, "ended:", err)
		}
		log.Close()
		a.lock.Lock()
		if a.command == command {
			a.command = nil
		}
		a.lock.Unlock()
		close(ended)
	}()
	cluster.lock.Lock()
	cluster.starts[a.name]++
	cluster.lock.Unlock()
	return nil
}

func (process *process) signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil {
		// It may have ended by itself just now, which is as good.
		if err := process.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			panic(ClusterError{"signal " + process.name, err})
		}
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
		return ClusterError{"cut channels", ClusterUnfit{}}
	}
	return nil
}

// ClusterUnfit says that the programs can't do what a scenario asks for.
type ClusterUnfit struct{}

func (ClusterUnfit) Error() string {
	return "the scenario has channels or disks fail; build the programs with -tags faults"
}

// halt kills a process and waits for its end.
func (process *process) halt() {
	process.lock.Lock()
	ended := process.ended
	process.lock.Unlock()
	process.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}
