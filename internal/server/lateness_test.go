package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// handleLate makes the loop handle a message that has waited for lateness.
func handleLate(r *Runner, clock *manualClock, lateness kernel.Micros) {
	r.post(func() []commands.Command { return nil })
	clock.now += lateness
	r.runTurn(nil)
}

// decisionsOn returns the decisions that the journal holds about the loop, in order.
func decisionsOn(r *Runner) []string {
	decisions := []string{}
	for _, entry := range r.env.Journal.Read("server", "loop", 16) {
		decisions = append(decisions, entry.Decision)
	}
	return decisions
}

func TestTheLoopIsLateWhileMessagesWaitTooLong(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{kernel.Second}
	r := newLoopRunner(t.Context(), clock)
	handleLate(r, clock, latenessHigh)
	c.Assert(r.IsLate(), qt.IsFalse)
	handleLate(r, clock, latenessHigh)
	c.Assert(r.IsLate(), qt.IsTrue)
	// A lateness between the two thresholds does not end the late state.
	for range 10 {
		handleLate(r, clock, latenessLow)
	}
	c.Assert(r.IsLate(), qt.IsTrue)
	for range 4 {
		handleLate(r, clock, 0)
		clock.now += latenessCalm / 5
	}
	c.Assert(r.IsLate(), qt.IsTrue)
	handleLate(r, clock, latenessLow)
	handleLate(r, clock, 0)
	clock.now += latenessCalm
	handleLate(r, clock, 0)
	c.Assert(r.IsLate(), qt.IsFalse)
	for range 10 {
		handleLate(r, clock, latenessHigh-1)
	}
	c.Assert(r.IsLate(), qt.IsFalse)
	c.Assert(decisionsOn(r), qt.DeepEquals, []string{"late", "in time"})
	c.Assert(r.lateness.longest.Load(), qt.Equals, int64(latenessHigh))
	c.Assert(r.lateness.lateCount.Load(), qt.Equals, int64(1))
}

func TestTheLoopIsLateWhileTicksAreLate(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{kernel.Second}
	r := newLoopRunner(t.Context(), clock)
	ticks := make(chan time.Time, 1)
	tickAfter := func(span kernel.Micros) {
		clock.now += span
		ticks <- time.Time{}
		r.runTurn(ticks)
	}
	interval := r.node.TickInterval()
	for range 3 {
		tickAfter(interval)
	}
	c.Assert(r.lateness.longest.Load(), qt.Equals, int64(0))
	tickAfter(interval + latenessHigh)
	tickAfter(interval + latenessHigh)
	c.Assert(r.IsLate(), qt.IsTrue)
}

// After a process was frozen for a moment, all queued events are late, but it handles them quickly. This must not count as
// overload.
func TestAFrozenProcessIsNotTakenForABusyOne(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{kernel.Second}
	r := newLoopRunner(t.Context(), clock)
	for range 3 * maxTurnEvents {
		r.post(func() []commands.Command { clock.now += latenessSustained / (4 * maxTurnEvents); return nil })
	}
	clock.now += 10 * kernel.Second
	for len(r.queue) > 0 {
		c.Assert(r.runTurn(nil), qt.IsTrue)
	}
	handleLate(r, clock, 0)
	clock.now += kernel.Second
	handleLate(r, clock, latenessHigh)
	c.Assert(r.IsLate(), qt.IsFalse)
}

// Requests of engines and operators may wait in their queue for long without messages of nodes being late.
func TestAFloodOfRequestsDoesNotMakeTheLoopLate(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{kernel.Second}
	r := newLoopRunner(t.Context(), clock)
	for range 100 {
		r.postRequest(func() []commands.Command { clock.now += latenessLow; return nil })
	}
	for len(r.requests) > 0 {
		handleLate(r, clock, 0)
	}
	c.Assert(r.IsLate(), qt.IsFalse)
}
