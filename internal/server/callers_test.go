package server

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
)

// A voter that restarts during a network partition learns of no other router. If it counted only itself, each voter in
// this situation would use the entire fleet's retry budget.
func TestARouterAloneCountsTheMembersOfItsDocument(t *testing.T) {
	c := qt.New(t)
	tables := &routeTableBuilder{compiler: &fleetconfig.Compiler{}}
	alone := []registry.NodeRecord{{Address: "a", IsRouter: true}}
	c.Assert(tables.routingTable(&control.State{Nodes: alone}).Routers, qt.Equals, 1)
	members := &cluster.Document{Voters: []cluster.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	c.Assert(tables.routingTable(&control.State{Nodes: alone, Document: members}).Routers, qt.Equals, 3)
}

// Engines continuously report their load, and nodes their own state. Neither changes routing, so neither may cause a new
// routing table.
func TestRoutingTableIsRebuiltOnlyForRelevantChanges(t *testing.T) {
	c := qt.New(t)
	tables := &routeTableBuilder{compiler: &fleetconfig.Compiler{}}
	engines := []registry.EngineRecord{{ID: "e1", Address: "10.0.1.1:1", Pool: "p"}, {ID: "e2", Address: "10.0.1.2:1", Pool: "p"}}
	nodes := []registry.NodeRecord{{Address: "a", IsRouter: true}}
	first := tables.routingTable(&control.State{EngineRev: 1, Engines: engines, Nodes: nodes})
	c.Assert(first.Engines, qt.HasLen, 2)

	reported := slices.Clone(engines)
	reported[0].Load, reported[0].Seq = 500, 7
	c.Assert(tables.routingTable(&control.State{EngineRev: 2, Engines: reported, Nodes: nodes}), qt.IsNil)
	renewed := []registry.NodeRecord{{Address: "a", IsRouter: true, Seq: 9}, {Address: "b"}}
	c.Assert(tables.routingTable(&control.State{EngineRev: 2, Engines: reported, Nodes: renewed}), qt.IsNil)

	two := []registry.NodeRecord{{Address: "a", IsRouter: true}, {Address: "b", IsRouter: true}}
	more := tables.routingTable(&control.State{EngineRev: 2, Engines: reported, Nodes: two})
	c.Assert(more.Routers, qt.Equals, 2)
	c.Assert(more.Engines, qt.DeepEquals, first.Engines)
	draining := slices.Clone(reported)
	draining[1].IsDraining = true
	last := tables.routingTable(&control.State{EngineRev: 3, Engines: draining, Nodes: two})
	c.Assert([]bool{last.Engines[0].IsDraining, last.Engines[1].IsDraining}, qt.DeepEquals, []bool{false, true})
	c.Assert(first.Engines[1].IsDraining, qt.IsFalse)
	none := tables.routingTable(&control.State{EngineRev: 4, Nodes: two})
	c.Assert(none.Engines, qt.HasLen, 0)
}
