// Package childprocess runs a program over several starts, for runs that kill, freeze and restart the
// processes of a fleet.
package childprocess

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is one program over all its starts. The fields are set before the first one.
type Process struct {
	Name      string
	Path      string   // of the executable
	Arguments []string // beside those of one start
	Env       []string // beside the environment of this process
	LogPath   string   // where its output goes, one start after another
	// OnEnd hears of the end of each start; err tells how it ended. Nil: nobody does.
	OnEnd func(err error)

	lock    sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	starts  int
}

// StartError says that a process could not be started or signalled.
type StartError struct {
	Name, Step string
	Cause      error
}

func (err StartError) Error() string { return fmt.Sprintf("%s %s: %v", err.Step, err.Name, err.Cause) }

// Unwrap gives the cause.
func (err StartError) Unwrap() error { return err.Cause }

// Start launches the process, unless it runs, with arguments of this start alone.
func (p *Process) Start(more ...string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return StartError{p.Name, "open the log of", err}
	}
	command := exec.Command(p.Path, append(append([]string{}, p.Arguments...), more...)...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), p.Env...)
	// A run that dies must not leave a fleet behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return StartError{p.Name, "start", err}
	}
	ended := make(chan struct{})
	p.command, p.done = command, ended
	p.starts++
	go p.wait(command, log, ended)
	return nil
}

// wait sees one start to its end.
func (p *Process) wait(command *exec.Cmd, log *os.File, ended chan struct{}) {
	err := command.Wait()
	if err != nil {
		fmt.Fprintln(log, "ended:", err)
	}
	log.Close()
	p.lock.Lock()
	if p.command == command {
		p.command = nil
	}
	onEnd := p.OnEnd
	p.lock.Unlock()
	if onEnd != nil {
		onEnd(err)
	}
	close(ended)
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(signal syscall.Signal) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return nil
	}
	// It may have ended by itself just now, which is as good.
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return StartError{p.Name, "signal", err}
	}
	return nil
}

// Halt kills the process and waits for its end.
func (p *Process) Halt() error {
	ended := p.Ended()
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-ended
	return nil
}

// Ended is closed once the present start has ended.
func (p *Process) Ended() <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.done == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.done
}

// IsRunning tells whether the process runs.
func (p *Process) IsRunning() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command != nil
}

// MemoryBytes is how much memory the running process holds; zero: it does not run, or can't be asked.
func (p *Process) MemoryBytes() int64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if count, err := fmt.Sscan(string(content), &size, &resident); err != nil || count != 2 {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Starts is how often it has been started.
func (p *Process) Starts() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.starts
}
