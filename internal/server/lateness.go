package server

import (
	"fmt"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Thresholds of the control loop's lateness. A configuration passes through a few nodes on its way to a router, and has to
// take effect there within seconds of its acknowledgement. The lateness of these nodes adds up.
const (
	// The loop is late once its lateness has been at least latenessHigh for latenessSustained, with no lower value in
	// between. A process that was frozen for a moment does not count: its lateness is high only briefly.
	latenessHigh      = 300 * kernel.Millisecond
	latenessSustained = 100 * kernel.Millisecond
	// The loop is no longer late after latenessCalm in which its lateness stayed below latenessLow.
	latenessLow  = 100 * kernel.Millisecond
	latenessCalm = 500 * kernel.Millisecond
)

// latenessMonitor detects that the control loop handles ticks and messages of other nodes so late that the process must be
// overloaded. Requests of engines, operators and callers do not count, since a flood of them does not mean that the
// process lacks CPU time. Only the loop's goroutine may call the observe methods. Any goroutine may read the atomic fields.
type latenessMonitor struct {
	env          kernel.Env
	tickInterval kernel.Micros
	lastTickAt   kernel.Micros // zero before the first tick
	highSince    kernel.Micros // since when lateness has been at least latenessHigh; zero if it is lower
	lastLateAt   kernel.Micros // when lateness was last at least latenessLow

	isLate                      atomic.Bool
	current, longest, lateCount atomic.Int64
}

// observeTick records that a tick is handled at now. The tick was due one tick interval after the previous one was handled.
func (m *latenessMonitor) observeTick(now kernel.Micros) {
	if m.lastTickAt > 0 {
		m.observe(now, max(now-m.lastTickAt-m.tickInterval, 0))
	}
	m.lastTickAt = now
}

// observe records how late an event is handled at now, and updates whether the loop is late.
func (m *latenessMonitor) observe(now, lateness kernel.Micros) {
	m.current.Store(int64(lateness))
	m.longest.Store(max(m.longest.Load(), int64(lateness)))
	if lateness < latenessHigh {
		m.highSince = 0
	}
	if lateness >= latenessLow {
		m.lastLateAt = now
	}
	switch {
	case m.isLate.Load():
		if now-m.lastLateAt >= latenessCalm {
			m.isLate.Store(false)
			m.env.Record("server", "loop", "in time", fmt.Sprintf("lateness below %d us for %d us", latenessLow, latenessCalm))
		}
	case lateness < latenessHigh:
	case m.highSince == 0:
		m.highSince = now
	case now-m.highSince >= latenessSustained:
		m.isLate.Store(true)
		m.lateCount.Add(1)
		m.env.Record("server", "loop", "late", fmt.Sprintf("lateness %d us, at least %d us for %d us", lateness, latenessHigh, now-m.highSince))
	}
}

// IsLate reports whether the control loop handles ticks and messages of other nodes too late for the deployment's
// guarantees. It may be called from any goroutine.
func (r *Runner) IsLate() bool { return r.lateness.isLate.Load() }

// metrics writes the loop's current and longest lateness, whether it is late, and how often it has become late.
func (m *latenessMonitor) metrics(out metricsWriter) {
	out.sample("loop_lateness_us", m.current.Load())
	out.sample("loop_lateness_longest_us", m.longest.Load())
	out.sample("loop_late", boolMetric(m.isLate.Load()))
	out.sample("loop_late_total", m.lateCount.Load())
}
