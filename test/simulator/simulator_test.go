package simulator

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// ciSeeds are replayed in CI. What a seed of a search finds gets a test of its own
// that causes it directly, since any change to the code draws other faults.
var ciSeeds = []struct {
	deployment string
	seed       uint64
}{
	{"qurum", 1}, {"qurum", 2}, {"qurum", 3}, {"qurum", 4}, {"qurum", 5}, {"qurum", 6},
	{"cronometro", 1}, {"cronometro", 2}, {"cronometro", 3}, {"cronometro", 4}, {"cronometro", 5}, {"cronometro", 6},
}

func TestSeededRuns(t *testing.T) {
	t.Parallel()
	for _, day := range ciSeeds {
		t.Run(fmt.Sprintf("%s %d", day.deployment, day.seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			outcome := Run(Plan{Seed: day.seed, Deployment: day.deployment, Span: 25 * sec, Rate: 10})
			c.Assert(outcome.Lines(), qt.HasLen, 0, qt.Commentf("%s", strings.Join(outcome.Lines(), "\n")))
			c.Assert(outcome.IsClean(), qt.IsTrue)
			// A day on which nothing was served would break no rule either. What found no
			// machine up, say a crowd while all were down, says nothing of that.
			served := outcome.Review.Outcomes[string(checker.Served)]
			reached := outcome.Review.Calls - outcome.Review.Outcomes[string(checker.Unreached)]
			c.Assert(served*2 > reached, qt.IsTrue, qt.Commentf("%d of %d served", served, reached))
			// Nor would a history without reads and repeats.
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

// openWorld founds a fleet under light traffic, for the tests of single faults.
func openWorld(c *qt.C, deployment string, seed uint64) *World {
	w := WorldOf(seed, deployment)
	c.Assert(w.Open(), qt.IsTrue)
	w.Traffic(10, kernel.Micros(1<<60), 0.1)
	w.Run(2 * sec)
	return w
}

// finish judges a world and checks that orders go through again.
func finish(c *qt.C, w *World) checker.Report {
	yes := w.operator.Accepted
	w.operator.putConfig(nil)
	w.Run(12 * sec)
	c.Assert(w.operator.Accepted > yes, qt.IsTrue, qt.Commentf("no order is acknowledged any more"))
	w.operator.readBack()
	w.totals()
	review := checker.Check(w.events, checker.DefaultBounds())
	c.Assert(review.Violations, qt.HasLen, 0)
	c.Assert(w.insideViolations, qt.HasLen, 0)
	return review
}
