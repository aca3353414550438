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

// actor is one process of the fleet or of its surroundings.
type actor struct {
	name    string
	program string
	zone    string
	words   []string
	public  string
	peer    string
	data    string
	lock    sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	start   uint64 // engines
	pool    string
}

// start launches an actor's process.
func (s *Cluster) start(a *actor) error {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.process != nil {
		return nil
	}
	words := a.words
	if strings.HasPrefix(a.name, "e") {
		a.start = uint64(time.Now().UnixMicro())
		words = append(slices.Clone(words), "--start", fmt.Sprint(a.start))
	}
	log, err := os.OpenFile(filepath.Join(s.folder, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return ClusterError{"open a log", err}
	}
	process := exec.Command(s.executable(a.program), append(subcommand(a.program), words...)...)
	process.Stdout, process.Stderr = log, log
	process.Env = append(os.Environ(), "DUNLINLOOM_FAULTS="+s.faultsFile(), "DUNLINLOOM_SELF="+a.peer)
	// A local fleet run that dies must not leave a fleet behind.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		log.Close()
		return ClusterError{"start " + a.name, err}
	}
	ended := make(chan struct{})
	a.process, a.ended = process, ended
	go func() {
		// How it ended is seen in its log; what matters here is that it did.
		if err := process.Wait(); err != nil {
			fmt.Fprintln(log, "ended:", err)
		}
		log.Close()
		a.lock.Lock()
		if a.process == process {
			a.process = nil
		}
		a.lock.Unlock()
		close(ended)
	}()
	s.lock.Lock()
	s.starts[a.name]++
	s.lock.Unlock()
	return nil
}

func (a *actor) signal(signal syscall.Signal) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.process != nil {
		// It may have ended by itself just now, which is as good.
		if err := a.process.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			panic(ClusterError{"signal " + a.name, err})
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
func (s *Cluster) executable(program string) string {
	if len(subcommand(program)) > 0 {
		program = daemon
	}
	return filepath.Join(s.bin, program)
}

// subcommand gives the daemon's argument for a program; none for a program of its own.
func subcommand(program string) []string {
	if program == programNode || program == programRouter {
		return []string{program}
	}
	return nil
}

// canCut asks a program whether it is built with faults.
func (s *Cluster) canCut() error {
	out, err := exec.Command(s.executable(programNode), programNode, "--version").Output()
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

// halt kills an actor and waits for its end.
func (a *actor) halt() {
	a.lock.Lock()
	ended := a.ended
	a.lock.Unlock()
	a.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}
