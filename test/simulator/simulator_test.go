package simulator

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// ciSeeds are run in CI. A fault found by a seed of a search gets a separate test that causes it
// directly, because after any change to the code the same seed draws other faults.
var ciSeeds = []struct {
	deployment string
	seed       uint64
}{
	{"qurum", 1}, {"qurum", 2}, {"qurum", 3}, {"qurum", 4}, {"qurum", 5}, {"qurum", 6},
	{"cronometro", 1}, {"cronometro", 2}, {"cronometro", 3}, {"cronometro", 4}, {"cronometro", 5}, {"cronometro", 6},
	{"two-losses", 1}, {"two-losses", 3},
}

func TestSeededRuns(t *testing.T) {
	t.Parallel()
	for _, run := range ciSeeds {
		t.Run(fmt.Sprintf("%s %d", run.deployment, run.seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			outcome := Run(Plan{Seed: run.seed, Deployment: run.deployment, Span: 25 * sec, Rate: 10})
			c.Assert(outcome.Lines(), qt.HasLen, 0, qt.Commentf("%s", strings.Join(outcome.Lines(), "\n")))
			c.Assert(outcome.IsClean(), qt.IsTrue)
			// A run that serves no request would break no rule either. Requests that reached no
			// running machine, such as a burst while all were down, are not counted.
			served := outcome.Report.Outcomes[string(checker.Served)]
			reached := outcome.Report.Calls - outcome.Report.Outcomes[string(checker.Unreached)]
			c.Assert(served*2 > reached, qt.IsTrue, qt.Commentf("%d of %d served", served, reached))
			// Nor would a history without reads and resent submissions break a rule.
			c.Assert(outcome.ProtectionCounts["newest reads"] > 5, qt.IsTrue, qt.Commentf("%v", outcome.ProtectionCounts))
			c.Assert(outcome.ProtectionCounts["orders repeated"] > 0, qt.IsTrue, qt.Commentf("%v", outcome.ProtectionCounts))
		})
	}
}

func TestASeedReplaysExactly(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	plan := Plan{Seed: 42, Deployment: "qurum", Span: 15 * sec, Rate: 10}
	first, second := Run(plan), Run(plan)
	c.Assert(len(first.Events) > 500, qt.IsTrue)
	c.Assert(fmt.Sprint(first.Events) == fmt.Sprint(second.Events), qt.IsTrue)
}

// openWorld bootstraps a fleet under light traffic, for the tests of single faults.
func openWorld(c *qt.C, deployment string, seed uint64) *World {
	w := WorldOf(seed, deployment)
	c.Assert(w.Open(), qt.IsTrue)
	w.Traffic(10, kernel.Micros(1<<60), 0.1)
	w.Run(2 * sec)
	return w
}

// finish checks that submissions are accepted again and that the run has no violation.
func finish(c *qt.C, w *World) checker.Report {
	accepted := w.operator.Accepted
	w.operator.putConfig(nil)
	w.Run(12 * sec)
	c.Assert(w.operator.Accepted > accepted, qt.IsTrue, qt.Commentf("the last submission was not accepted"))
	w.operator.readBack()
	w.totals()
	report := checker.Check(w.events, checker.DefaultBounds())
	c.Assert(report.Violations, qt.HasLen, 0)
	c.Assert(w.internalViolations, qt.HasLen, 0)
	return report
}
