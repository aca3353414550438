package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// When no engine can be reached, retries stay a small share of the requests.
func TestRetryBudgetLimitsRetriesInAnOutage(t *testing.T) {
	c := qt.New(t)
	router := newTestRouter(c, unreachableEngine(), unreachableEngine(), unreachableEngine())
	router.dispatcher.retryBudget = retryBudget{ratio: router.dispatcher.retryBudget.ratio}
	for range 200 {
		answer := router.open(requestBody)
		c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
		answer.text()
		// Long enough for the ejection of every engine to end.
		router.clock.now.Add(int64(10 * kernel.Second))
		next := router.copyTable()
		next.LeaseExpiresAt = router.clock.Now() + 100*kernel.Second
		router.dispatcher.SetRoutingTable(next)
	}
	counts := router.dispatcher.Counts()
	c.Assert(counts.FirstAttempts, qt.Equals, uint64(200))
	c.Assert(counts.Retries >= 15 && counts.Retries <= 20, qt.IsTrue, qt.Commentf("%+v", counts))
}
