package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// Retries stay a small share of the requests when no engine can be reached.
func TestRetryBudgetLimitsRetriesInAnOutage(t *testing.T) {
	c := qt.New(t)
	router := newTestRouter(c, unreachableEngine(), unreachableEngine(), unreachableEngine())
	router.dispatcher.retryBudget = retryBudget{ratio: router.dispatcher.retryBudget.ratio}
	for range 200 {
		answer := router.open(requestBody)
		c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
		answer.text()
		// Long enough for every engine to be tried anew.
		router.clock.now.Add(int64(10 * kernel.Second))
		next := router.copyTable()
		next.LeaseUntil = router.clock.Now() + 100*kernel.Second
		router.dispatcher.SetRoutingTable(next)
	}
	counts := router.dispatcher.Counts()
	c.Assert(counts.FirstAttempts, qt.Equals, uint64(200))
	c.Assert(counts.Retries >= 15 && counts.Retries <= 20, qt.IsTrue, qt.Commentf("%+v", counts))
}
