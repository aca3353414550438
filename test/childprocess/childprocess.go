// Package childprocess starts, signals and restarts a child process, for test runs that kill, suspend and restart the
// processes of a fleet.
//
// The fields of a Process may be set only while it is not running; its methods are safe for concurrent use. Start,
// Signal and Halt return errors of type StartError. The child is killed when its parent exits.
package childprocess

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// Process is a program that may be started several times. Its fields are set before the first start, and changed only
// while it is not running.
type Process struct {
	Name      string
	Path      string   // path of the executable
	Arguments []string // arguments of every start
	Env       []string // added to the environment of the parent
	LogPath   string   // file to which the output of every start is appended
	// OnEnd, if not nil, is called on a separate goroutine each time the process exits, before the channel of Ended is
	// closed. The error is that of exec.Cmd.Wait; it is nil if the process exited with status 0.
	OnEnd func(err error)

	lock    sync.Mutex
	command *exec.Cmd     // nil while the process is not running
	done    chan struct{} // closed when the last start has ended
	starts  int
}

// StartError reports that the process called Name could not be started or signaled. Step is the operation that failed.
type StartError struct {
	Name, Step string
	Cause      error
}

func (err StartError) Error() string { return fmt.Sprintf("%s %s: %v", err.Step, err.Name, err.Cause) }

// Unwrap returns the cause.
func (err StartError) Unwrap() error { return err.Cause }

// Start starts the process unless it is running. The arguments are appended for this start only.
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
	// No context is used, because the process runs until Halt or until it exits by itself.
	command := &exec.Cmd{Path: p.Path, Args: slices.Concat([]string{p.Path}, p.Arguments, arguments)}
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), p.Env...)
	// The child must not outlive its parent.
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

// wait waits until the process of one start exits.
func (p *Process) wait(command *exec.Cmd, log *os.File, ended chan struct{}) {
	err := command.Wait()
	// Errors of writing and closing the log are ignored, because OnEnd receives the exit error in any case.
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

// Signal sends a signal to the process. It does nothing while the process is not running.
func (p *Process) Signal(signal syscall.Signal) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return nil
	}
	// The process may have exited in the meantime, which is not an error.
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return StartError{p.Name, "signal", err}
	}
	return nil
}

// Halt kills the process and waits until it has exited and OnEnd has returned.
func (p *Process) Halt() error {
	ended := p.Ended()
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-ended
	return nil
}

// Ended returns a channel that is closed when the last start has ended. Before the first start it is already closed.
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

// IsRunning reports whether the process is running.
func (p *Process) IsRunning() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.command != nil
}

// MemoryBytes returns the resident memory of the process in bytes, or zero if the process is not running or /proc
// does not provide the value.
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

// Starts returns how many times the process was started.
func (p *Process) Starts() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.starts
}

// HandlesSignal reports whether the process runs and handles or ignores the signal. Until its program is loaded it does
// neither, and a signal to reload ends it.
func (p *Process) HandlesSignal(signal syscall.Signal) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.command == nil {
		return false
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return false
	}
	handled := uint64(0)
	for _, field := range []string{"SigIgn:", "SigCgt:"} {
		_, rest, _ := strings.Cut(string(status), field)
		var signals uint64
		if _, err := fmt.Sscanf(rest, "%x", &signals); err != nil {
			return false
		}
		handled |= signals
	}
	return handled&(1<<(signal-1)) != 0
}
