package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// By the routing policy, each request adds its prompt tokens and its output budget to its engine's load. The prompt of
// the request that the engine is working on counts once more. That request is assumed to be the oldest one whose
// response has not begun.
func TestTheRequestThatAnEngineWorksOnCountsItsPromptOnceMore(t *testing.T) {
	c := qt.New(t)
	config := fleetconfig.NewRouteConfig([]fleetconfig.Route{{Name: "r", MaxAttempts: 1, Splits: []fleetconfig.Split{{Service: "s", Weight: 1}}}}, []fleetconfig.Service{{Name: "s", Slots: 4}})
	chooser := NewChooser("", "", RetryBudget{})
	chooser.SetRoutingTable(&RoutingTable{Config: config, Routers: 1, Engines: []Engine{{ID: "e", Service: "s", Slots: 4}}})
	now := kernel.Second
	admit := func(id string, prompt, out int) *Call {
		call, rejection := chooser.Admit(now, Request{ID: id, PromptTokens: prompt, MaxTokens: out, Route: &config.Routes[0], Service: "s", Deadline: 2 * kernel.Second})
		c.Assert(rejection, qt.IsNil)
		return call
	}
	load := func() float64 { return chooser.candidate(now, chooser.engines["e"], 0).Load }
	first := admit("a", 100, 40)
	c.Check(load(), qt.Equals, 140.0+100)
	admit("b", 30, 10)
	c.Check(load(), qt.Equals, 140.0+40+100)
	chooser.Answered(now, first.Attempt, Load{}, false)
	c.Check(load(), qt.Equals, 140.0+40+30)
}
