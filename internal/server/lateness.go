package server

import (
	"fmt"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Bounds of the loop's lateness. A configuration passes a few nodes on its way to a router, and has to be in effect there
// within seconds of its acknowledgement; the lateness of all of them adds up.
const (
	// The loop is late once its lateness has been above latenessHigh for latenessSustained, without an event in time
	// between. A process that was frozen is late once, and not for long.
	latenessHigh      = 300 * kernel.Millisecond
	latenessSustained = 100 * kernel.Millisecond
	// It is late no more after latenessCalm in which nothing was above latenessLow.
	latenessLow  = 100 * kernel.Millisecond
	latenessCalm = 500 * kernel.Millisecond
)

// latenessMonitor tells whether the loop handles ticks and messages of other nodes so late that the process has more
// work than it can do. Requests of engines, operators and callers do not count: a flood of them must not pass for
// a lack of processor time. The loop alone observes; any goroutine may read.
type latenessMonitor struct {
	env          kernel.Env
	tickInterval kernel.Micros
	lastTickAt   kernel.Micros // zero: there was none
	highSince    kernel.Micros // lateness has been high from then on; zero: it is not
	lastLateAt   kernel.Micros // when it was last above latenessLow

	isLate                   atomic.Bool
	current, longest, starts atomic.Int64
}

// observeTick takes the time at which a tick is handled. It was due a tick interval after the one before.
func (m *latenessMonitor) observeTick(now kernel.Micros) {
	if m.lastTickAt > 0 {
		m.observe(now, max(now-m.lastTickAt-m.tickInterval, 0))
	}
	m.lastTickAt = now
}

// observe takes how late something is handled now.
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
			m.env.Record("server", "loop", "in time", fmt.Sprintf("nothing was later than %d us for %d us", latenessLow, latenessCalm))
		}
	case lateness < latenessHigh:
	case m.highSince == 0:
		m.highSince = now
	case now-m.highSince >= latenessSustained:
		m.isLate.Store(true)
		m.starts.Add(1)
		m.env.Record("server", "loop", "late", fmt.Sprintf("%d us, and above %d us for %d us", lateness, latenessHigh, now-m.highSince))
	}
}

// IsLate tells whether messages of other nodes and ticks are handled too late for what the deployment promises.
func (r *Runner) IsLate() bool { return r.lateness.isLate.Load() }

// metrics writes how late the loop is.
func (m *latenessMonitor) metrics(out metricsWriter) {
	out.sample("loop_lateness_us", m.current.Load())
	out.sample("loop_lateness_longest_us", m.longest.Load())
	out.sample("loop_late", boolMetric(m.isLate.Load()))
	out.sample("loop_late_total", m.starts.Load())
}
