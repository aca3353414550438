// Package kernel is the micro-kernel that every program of the fleet stands in:
// the clock, the one context type, the journal, clean-up stacks and the table
// by which services find each other.
package kernel

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Micros is a time or a span in whole microseconds.
type Micros int64

// Spans that settings and timers are written in.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration turns a span into the standard library's type, for timers and contexts.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf rounds a duration down to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Clock tells a time that never goes back on one machine.
type Clock interface {
	Now() Micros
}

// BootClock counts from the machine's start and goes on while it sleeps. A
// lease must not outlive a suspended machine, which the runtime's monotonic
// clock would allow, since that one stands still in a suspend.
type BootClock struct{}

// Now reads CLOCK_BOOTTIME.
func (BootClock) Now() Micros {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		// Without this clock no lease can be judged, so going on would be unsafe.
		panic(ClockError{err})
	}
	return Micros(timespec.Nano() / 1000)
}

// ClockError says that the machine's clock could not be read.
type ClockError struct{ Cause error }

func (err ClockError) Error() string { return fmt.Sprintf("read the boot clock: %v", err.Cause) }

// Unwrap gives the system's own error.
func (err ClockError) Unwrap() error { return err.Cause }

// SteadyClock counts on the runtime's own steady clock, which costs no system call. It
// stands still while a machine sleeps, so it is for machines that do not.
type SteadyClock struct{ start time.Time }

// steadyStart is where a SteadyClock begins. Zero means "never" in many records, so a
// fresh clock must not be near it.
const steadyStart = 3600 * Second

// NewSteadyClock starts a clock.
func NewSteadyClock() SteadyClock { return SteadyClock{time.Now()} }

// Now gives the time since the start, and an hour.
func (c SteadyClock) Now() Micros { return steadyStart + MicrosOf(time.Since(c.start)) }
