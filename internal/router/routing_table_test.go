package router

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// servicesOf returns the engine IDs of each service in the order of the Chooser.
func servicesOf(c *Chooser) map[string][]string {
	ids := map[string][]string{}
	for service, states := range c.services {
		for _, state := range states {
			ids[service] = append(ids[service], state.engine.ID)
		}
	}
	return ids
}

func TestARoutingTableReplacesTheOneBefore(t *testing.T) {
	c := qt.New(t)
	chooser := NewChooser("", "", RetryBudget{})
	set := func(engines ...Engine) { chooser.SetRoutingTable(&RoutingTable{Engines: engines}) }
	set(Engine{ID: "c", Service: "one"}, Engine{ID: "a", Service: "one"}, Engine{ID: "b", Service: "two"})
	c.Assert(servicesOf(chooser), qt.DeepEquals, map[string][]string{"one": {"a", "c"}, "two": {"b"}})

	busy, idle := chooser.engines["a"], chooser.engines["c"]
	busy.attempts[&Attempt{}] = true
	idle.prefillTimePerToken, idle.prefillTimeAt = 3, kernel.Second
	set(Engine{ID: "b", Service: "one"}, Engine{ID: "c", Service: "one", IsDraining: true}, Engine{ID: "d", Service: "one"})
	c.Assert(servicesOf(chooser), qt.DeepEquals, map[string][]string{"one": {"b", "c", "d"}})
	c.Assert(chooser.engines["c"], qt.Equals, idle)
	c.Assert(idle.engine.IsDraining, qt.IsTrue)
	c.Assert(idle.prefillTimePerToken, qt.Equals, 3.0)
	// An engine that has left keeps its state while it serves attempts. The next table after their end removes it.
	c.Assert(chooser.engines["a"], qt.Equals, busy)
	clear(busy.attempts)
	set(Engine{ID: "d", Service: "two"})
	c.Assert(servicesOf(chooser), qt.DeepEquals, map[string][]string{"two": {"d"}})
	c.Assert(chooser.engines, qt.HasLen, 1)
	set()
	c.Assert(servicesOf(chooser), qt.HasLen, 0)
	c.Assert(chooser.engines, qt.HasLen, 0)
}

// BenchmarkSetRoutingTable applies the routing table of a large fleet after a change of one engine.
func BenchmarkSetRoutingTable(b *testing.B) {
	chooser := NewChooser("", "", RetryBudget{})
	tables := [2]*RoutingTable{{}, {}}
	for i := range 240 {
		engine := Engine{ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "service"}
		tables[0].Engines = append(tables[0].Engines, engine)
		engine.IsDraining = i == 0
		tables[1].Engines = append(tables[1].Engines, engine)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		chooser.SetRoutingTable(tables[i%2])
	}
}
