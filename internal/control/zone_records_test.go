package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

const (
	recordZones = 3
	recordNodes = maxNodesKnownToAll + recordZones
	recordCore  = 3 // nodes with a folder
)

// newZonedFleet returns a stable fleet that is too large for every node to have all records: in other zones, most nodes
// of a zone are not known.
func newZonedFleet(c *qt.C, seed uint64) *fleet {
	f := newStableFleet(c, seed, recordZones, recordNodes, firstHaveFolders(recordCore))
	f.await("all routers known", 20*kernel.Second, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.state().KnownRouters() != recordNodes })
	})
	return f
}

// emulateEarlierBuilds makes nodes communicate like builds that sent all records to all zones. Such builds neither ask
// for just the records of their own zone nor report a number of routers.
func (f *fleet) emulateEarlierBuilds(isEarlier func(*fleetNode) bool) {
	f.executor = func(n *fleetNode, command commands.Command) bool {
		outgoing, isOutgoing := command.(Outgoing)
		if !isOutgoing {
			return false
		}
		message := &outgoing.Envelope.Message
		if message.LeaseRequest != nil && (isEarlier(n) || isEarlier(f.byAddress(outgoing.Envelope.To))) {
			request := *message.LeaseRequest
			request.WantsZoneNodes = false
			message.LeaseRequest = &request
		}
		if message.LeaseGrant != nil && isEarlier(n) {
			grant := *message.LeaseGrant
			grant.KnownRouters = 0
			message.LeaseGrant = &grant
		}
		n.send(outgoing.Envelope)
		return true
	}
}

func (n *fleetNode) isCoordinator() bool { return n.node.isCoordinator() }

// countKnownNodes returns the number of nodes of a zone whose records this node has.
func (n *fleetNode) countKnownNodes(zone string) int {
	count := 0
	for _, node := range n.state().Nodes {
		if node.Zone == zone {
			count++
		}
	}
	return count
}

func TestRecordsOfNodesStayInTheirZone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newZonedFleet(c, 1)
	f.advance(2 * cluster.SparseTiming().NodeExpiryTimeout)
	for _, n := range f.nodes {
		comment := qt.Commentf("%s, coordinator %v", n.identity.Address, n.isCoordinator())
		c.Assert(n.state().KnownRouters(), qt.Equals, recordNodes, comment)
		c.Assert(n.state().HasAllNodes(), qt.Equals, n.isCoordinator(), comment)
		for zone := range n.state().Document.Coordinators {
			known := n.countKnownNodes(zone)
			switch {
			case zone == n.identity.Zone || n.isCoordinator():
				c.Assert(known, qt.Equals, recordNodes/recordZones, comment)
			default:
				// These are the zone's coordinator, its deputies (the nodes that represent the zone besides the
				// coordinator), and possibly a voter.
				c.Assert(known > maxDeputies && known <= maxDeputies+2, qt.IsTrue, qt.Commentf("%s knows %d nodes of %s", n.identity.Address, known, zone))
			}
			c.Assert(n.node.aliveNodes(zone), qt.Not(qt.HasLen), 0)
			c.Assert(n.node.heartbeatTarget(zone), qt.Not(qt.Equals), "", comment)
		}
	}
}

// The number of routers must not be underestimated, because budgets of the whole fleet are divided by it.
func TestTheCountOfRoutersHoldsWhileACoordinatorIsReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newZonedFleet(c, seed)
		f.advance(cluster.SparseTiming().NodeExpiryTimeout)
		zone := fmt.Sprint("z", 1+seed%recordZones)
		lost := f.byAddress(f.leader().state().Document.Coordinators[zone])
		lost.kill()
		for end := f.now + 3*cluster.SparseTiming().NodeExpiryTimeout; f.now < end; f.advance(50 * ms) {
			for _, n := range f.nodes {
				if n.isUp && n.state().KnownRouters() < recordNodes-1 {
					c.Fatalf("seed %d: %s counts %d routers while %d live", seed, n.identity.Address, n.state().KnownRouters(), recordNodes-1)
				}
			}
		}
		for _, n := range f.nodes {
			if n.isUp {
				c.Assert(n.state().KnownRouters(), qt.Equals, recordNodes-1, qt.Commentf("seed %d: %s", seed, n.identity.Address))
			}
		}
	}
}

func TestEarlierBuildsAreToldOfAllNodes(t *testing.T) {
	t.Parallel()
	for _, example := range []struct {
		name      string
		isEarlier func(f *fleet, n *fleetNode) bool
	}{
		{"every second node", func(_ *fleet, n *fleetNode) bool { return n.identity.Address[len("10.0.0.0")]%2 == 0 }},
		{"the coordinators", func(_ *fleet, n *fleetNode) bool { return n.node != nil && n.node.isCoordinator() }},
		{"all but the coordinators", func(_ *fleet, n *fleetNode) bool { return n.node != nil && !n.node.isCoordinator() }},
	} {
		t.Run(example.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(c, 2, recordZones, recordNodes, firstHaveFolders(recordCore))
			isEarlier := func(n *fleetNode) bool { return example.isEarlier(f, n) }
			f.emulateEarlierBuilds(isEarlier)
			f.bootAll(500 * ms)
			f.awaitStable(6 * kernel.Second)
			f.advance(3 * cluster.SparseTiming().NodeExpiryTimeout)
			for _, n := range f.nodes {
				comment := qt.Commentf("%s: earlier %v, coordinator %v", n.identity.Address, isEarlier(n), n.isCoordinator())
				c.Assert(n.state().KnownRouters(), qt.Equals, recordNodes, comment)
				if isEarlier(n) || isEarlier(f.byAddress(n.node.coordinator())) {
					c.Assert(n.state().Nodes, qt.HasLen, recordNodes, comment)
				}
			}
		})
	}
}

// When the coordinator of a zone has just failed, a deputy of that zone is asked for the confirmation in its place.
func TestADrainIsConfirmedDespiteAFailedCoordinatorOfAPartlyKnownZone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newZonedFleet(c, seed)
		f.advance(cluster.SparseTiming().NodeExpiryTimeout)
		f.register(f.nodes[recordCore], 1, engineAt("e", "z1", 1))
		f.advance(kernel.Second)
		coordinators := f.leader().state().Document.Coordinators
		var receiver, dead *fleetNode
		for _, n := range f.nodes {
			if !n.isCoordinator() && n.identity.Zone == "z1" {
				receiver = n
			}
		}
		for _, zone := range []string{"z2", "z3"} {
			if n := f.byAddress(coordinators[zone]); n != f.leader() {
				dead = n
			}
		}
		dead.kill()
		f.register(receiver, 2, drainingEngine(2))
		f.await("the answer", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil, qt.Commentf("seed %d", seed))
		c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.IsDraining }), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

func TestACountOfRoutersIsKeptForAsLongAsTheirRecordsWouldBe(t *testing.T) {
	const expiry = 10 * kernel.Second
	for _, example := range []struct {
		name     string
		reported map[kernel.Micros]int // reported number by second
		at       kernel.Micros
		wants    int
	}{
		{"never reported", nil, 5, 0},
		{"reported once", map[kernel.Micros]int{1: 300}, 11, 300},
		{"not reported any more", map[kernel.Micros]int{1: 300}, 12, 0},
		{"a smaller one", map[kernel.Micros]int{1: 300, 2: 250}, 11, 300},
		{"a smaller one, long after", map[kernel.Micros]int{1: 300, 2: 250, 9: 240}, 12, 240},
		{"a larger one", map[kernel.Micros]int{1: 300, 2: 310}, 3, 310},
		{"smaller for long", map[kernel.Micros]int{1: 300, 6: 250, 12: 240}, 13, 250},
	} {
		t.Run(example.name, func(t *testing.T) {
			var count routerCount
			for second := range kernel.Micros(20) {
				if reported := example.reported[second]; reported > 0 && second <= example.at {
					count.record(second*kernel.Second, reported, expiry)
				}
			}
			qt.Assert(t, count.current(example.at*kernel.Second, expiry), qt.Equals, example.wants)
		})
	}
}
