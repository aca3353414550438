package kernel

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Micros is a time or a duration in microseconds.
type Micros int64

// Units of duration.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration converts m to the standard library's type, for timers and contexts.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts a duration of the standard library, truncated to microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Clock is a monotonic clock of one machine. Now may be called from any goroutine.
type Clock interface {
	Now() Micros
}

// BootClock counts from the boot of the machine and continues while the machine is suspended. Leases need
// this: the Go runtime's monotonic clock stops during a suspend, so a lease would seem valid after it lapsed.
type BootClock struct{}

// Now reads CLOCK_BOOTTIME. It panics with a [ClockError] if the system call fails.
func (BootClock) Now() Micros {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		// Without this clock the process can't tell whether a lease has lapsed, so it must not continue.
		panic(ClockError{err})
	}
	return Micros(timespec.Nano() / time.Microsecond.Nanoseconds())
}

// ClockError says that the machine's clock could not be read.
type ClockError struct{ Cause error }

func (err ClockError) Error() string { return fmt.Sprintf("read the boot clock: %v", err.Cause) }

// Unwrap returns the system's error.
func (err ClockError) Unwrap() error { return err.Cause }

// SteadyClock reads the Go runtime's monotonic clock, which needs no system call. This clock stops while
// the machine is suspended, so it is only for machines that are never suspended.
type SteadyClock struct{ start time.Time }

// steadyStart is the first time that a SteadyClock returns. It is far from zero, because a zero time means
// "never" in many records.
const steadyStart = 3600 * Second

// NewSteadyClock returns a clock that starts now.
func NewSteadyClock() SteadyClock { return SteadyClock{time.Now()} }

// Now returns the time since the start of the clock plus steadyStart.
func (c SteadyClock) Now() Micros { return steadyStart + MicrosOf(time.Since(c.start)) }
