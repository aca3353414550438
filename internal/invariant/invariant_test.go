package invariant

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAMonitorCountsAndReportsViolations(t *testing.T) {
	c := qt.New(t)
	reported := []ViolationError{}
	monitor := NewMonitor(func(violation ViolationError) { reported = append(reported, violation) })
	monitor.Check(RunsOnce, true, "it holds")
	monitor.Check(RunsOnce, false, "request %s", "r1")
	monitor.Check(RunsOnce, false, "request %s", "r2")
	c.Assert(reported, qt.DeepEquals, []ViolationError{{RunsOnce, "request r1"}, {RunsOnce, "request r2"}})
	c.Assert(reported[0].Error(), qt.Equals, "invariant runs_once is violated: request r1")
	total := uint64(0)
	for _, count := range monitor.Counts() {
		total += count.Count
		c.Check(count.Count > 0, qt.Equals, count.Name == RunsOnce)
	}
	c.Assert(total, qt.Equals, uint64(2))
	c.Assert(monitor.Counts(), qt.HasLen, len(Names()))
}

// Check works on a nil monitor and on one without a callback.
func TestChecksNeedNoCallbackAndNoMonitor(t *testing.T) {
	c := qt.New(t)
	var none *Monitor
	none.Check(RunsOnce, false, "nobody counts")
	c.Assert(none.Counts(), qt.HasLen, len(Names()))
	silent := NewMonitor(nil)
	silent.Check(AttemptsWithinLimit, false, "nobody is notified")
	for _, count := range silent.Counts() {
		c.Check(count.Count == 1, qt.Equals, count.Name == AttemptsWithinLimit)
	}
}
