// Package childprocess runs a program over several starts, for runs that kill, freeze and restart the
// processes of a fleet.
//
// The fields of a Process are set while it does not run; any goroutine may call its methods. Start,
// Signal and Halt fail with a StartError. A process is killed when the program that started it ends.
package childprocess

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
)

// Process is one program over all its starts. The fields are set before the first one, and changed only
// while it does not run.
type Process struct {
	Name      string
	Path      string   // of the executable
	Arguments []string // beside those of one start
	Env       []string // beside the environment of this process
	LogPath   string   // where its output goes, one start after another
	// OnEnd, unless it is nil, is called at the end of each start, before Ended is closed, on a goroutine
	// of the process. The error is that of exec.Cmd.Wait; nil: it exited with 0.
	OnEnd func(err error)

	lock    sync.Mutex
	command *exec.Cmd     // nil while it does not run
	done    chan struct{} // of the last start
	starts  int
}

// StartError says that a process could not be started or signaled: Step of the process Name failed.
type StartError struct {
	Name, Step string
	Cause      error
}

func (err StartError) Error() string { return fmt.Sprintf("%s %s: %v", err.Step, err.Name, err.Cause) }

// Unwrap gives the cause.
func (err StartError) Unwrap() error { return err.Cause }

// Start starts the process, unless it runs, with further arguments for this start alone.
func (p *Process) Start(arguments ...string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return StartError{p.Name, "open the log of", err}
	}
	// It runs until Halt or its own end: no context ends it.
	command := &exec.Cmd{Path: p.Path, Args: slices.Concat([]string{p.Path}, p.Arguments, arguments)}
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), p.Env...)
	// The processes must not outlive the run that started them.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return StartError{p.Name, "start", errors.Join(err, log.Close())}
	}
	ended := make(chan struct{})
	p.command, p.done = command, ended
	p.starts++
	go p.wait(command, log, ended)
	return nil
}

// wait waits for the end of one start.
func (p *Process) wait(command *exec.Cmd, log *os.File, ended chan struct{}) {
	err := command.Wait()
	// The log is for people: OnEnd gets the error, also if the line or the end of the log is lost.
	if err != nil {
		_, _ = fmt.Fprintln(log, "ended:", err)
	}
	_ = log.Close()
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

// Signal sends a signal to the process. It does nothing while the process does not run.
func (p *Process) Signal(signal syscall.Signal) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return nil
	}
	// It may have ended by itself in the meantime, and then needs no signal.
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return StartError{p.Name, "signal", err}
	}
	return nil
}

// Halt kills the process and waits for its end, OnEnd included.
func (p *Process) Halt() error {
	ended := p.Ended()
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-ended
	return nil
}

// Ended is closed once the last start has ended; it is closed before the first start.
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

// IsRunning reports whether the process runs.
func (p *Process) IsRunning() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command != nil
}

// MemoryBytes gives the resident memory of the process in bytes; zero: it does not run, or /proc does
// not say.
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

// Starts gives how often the process was started.
func (p *Process) Starts() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.starts
}
