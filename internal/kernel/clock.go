package kernel

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Micros is a time or a duration in microseconds.
type Micros int64

// Durations that settings and timers are written in.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration converts a duration to the standard library's type, for timers and contexts.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts a duration, truncated to microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Clock is a monotonic clock of one machine. Now may be called from any goroutine.
type Clock interface {
	Now() Micros
}

// BootClock counts from the boot of the machine, and continues while the machine is suspended. A lease
// must not outlive a suspend, which the runtime's monotonic clock would allow: that one stops.
type BootClock struct{}

// Now reads CLOCK_BOOTTIME. It panics with a [ClockError] if the system can't.
func (BootClock) Now() Micros {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		// Without this clock the expiry of a lease is unknown, so it would be unsafe to continue.
		panic(ClockError{err})
	}
	return Micros(timespec.Nano() / time.Microsecond.Nanoseconds())
}

// ClockError says that the machine's clock could not be read.
type ClockError struct{ Cause error }

func (err ClockError) Error() string { return fmt.Sprintf("read the boot clock: %v", err.Cause) }

// Unwrap returns the system's error.
func (err ClockError) Unwrap() error { return err.Cause }

// SteadyClock reads the runtime's monotonic clock, which needs no system call. It stops while a machine
// is suspended, so it is for machines that never are.
type SteadyClock struct{ start time.Time }

// steadyStart is the first time of a SteadyClock. Zero means "never" in many records, so that a new
// clock must not be near it.
const steadyStart = 3600 * Second

// NewSteadyClock starts a clock.
func NewSteadyClock() SteadyClock { return SteadyClock{time.Now()} }

// Now returns the time since the start, plus an hour.
func (c SteadyClock) Now() Micros { return steadyStart + MicrosOf(time.Since(c.start)) }
