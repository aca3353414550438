package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
)

// A member that was restarted while it is cut off hears of no other router. The other members, in
// the same place, would each use the whole fleet's part of the retry budget.
func TestARouterAloneCountsTheMembersOfItsDocument(t *testing.T) {
	c := qt.New(t)
	shown := &routeTableBuilder{compiler: &fleetconfig.Compiler{}}
	alone := []registry.NodeRecord{{Address: "a", IsRouter: true}}
	c.Assert(shown.routingTable(&control.State{Nodes: alone}).Routers, qt.Equals, 1)
	members := &cluster.Document{Voters: []cluster.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	c.Assert(shown.routingTable(&control.State{Nodes: alone, Document: members}).Routers, qt.Equals, 3)
}
