package relay

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

func TestForeignLoadExcludesOwnLoad(t *testing.T) {
	c := qt.New(t)
	var own ledger
	own.add(1_000_000, 500) // placed at 1 s
	own.add(3_000_000, 300) // placed at 3 s
	// The report says 900 as of 2 s. At that time, 500 of them were this router's own. What it placed later makes no
	// difference.
	c.Assert(own.remainingForeign(2_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 400.0)
	// After half of the decay time, half of the load counts.
	c.Assert(own.remainingForeign(7_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 200.0)
	c.Assert(own.remainingForeign(12_000_000, 2_000_000, 900, 10_000_000, 0), qt.Equals, 0.0)
	c.Assert(own.remainingForeign(2_000_000, 2_000_000, 100, 10_000_000, 0), qt.Equals, 0.0)
	// If attempts take one second on average, a report that is one second old counts by 1/e.
	c.Assert(math.Abs(own.remainingForeign(3_000_000, 2_000_000, 900, 10_000_000, 1_000_000)-400/math.E) < 0.001, qt.IsTrue)
}

// The load as the published policy defines it, calculated by hand. Each request adds its prompt and the rest of its
// output budget. The prompt that the engine is processing counts a second time.
func TestLoadWorkedExamples(t *testing.T) {
	c := qt.New(t)
	config, err := fleetconfig.Read([]byte(`{"bindings":[{"name":"all","shares":[{"weight":1}]}]}`))
	c.Assert(err, qt.IsNil)
	dispatcher := NewDispatcher("r", "z", func(kernel.Micros, string, string, string) {})
	routingTable := &RoutingTable{Config: config, Drained: map[string]bool{}, LeaseExpiresAt: kernel.Second, Engines: []Engine{{ID: "e", Address: "10.0.0.1:1", Start: 1}}}
	dispatcher.SetRoutingTable(routingTable)
	admit := func(id string, prompt, budget int) *Call {
		c.Helper()
		call, rejection := dispatcher.Admit(0, Request{ID: id, Prefix: []uint32{1}, PromptTokens: prompt, MaxTokens: budget})
		c.Assert(rejection == nil, qt.IsTrue)
		return call
	}
	finish := func(call *Call) {
		c.Helper()
		isRetry, rejection := dispatcher.CloseAttempt(0, call, Served, "")
		c.Assert(!isRetry && rejection == nil, qt.IsTrue)
	}
	assertLoad := func(what string, want float64) {
		c.Helper()
		binding, isBound := config.Bind("", "")
		c.Assert(isBound, qt.IsTrue)
		eligible, _ := dispatcher.findEligible(0, &Call{}, binding)
		c.Assert(eligible.candidates[0].Load, qt.Equals, want, qt.Commentf("%s", what))
	}
	assertLoad("idle", 0)
	first := admit("first", 100, 50)
	assertLoad("100 + 50, plus the prompt of 100 that is being processed", 250)
	second := admit("second", 30, 20)
	assertLoad("200 of two requests, plus the prompt of the first", 300)
	dispatcher.CountTokens(0, first, 10)
	assertLoad("10 of 50 are produced, and the second prompt of 30 is being processed", 220)
	dispatcher.CountTokens(0, second, 25)
	assertLoad("more tokens than the budget leave the prompt of 30; no attempt waits for its first token", 170)
	finish(first)
	assertLoad("only the second prompt is left", 30)
	finish(second)
	assertLoad("idle again", 0)
}
