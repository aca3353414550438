package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// A coordinator that is partitioned from the core, together with one other node, marks no engines unresponsive for
// missing heartbeats: its zone's engines send them to the other side of the partition.
func TestAnIsolatedCoordinatorCallsNoEngineUnresponsive(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		c := qt.New(t)
		f := newFleet(c, seed, 5, 9, firstHaveFolders(4))
		f.bootAll(300 * ms)
		f.awaitStable(8 * kernel.Second)
		f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[5])
		coordinator, other := f.nodes[4], f.nodes[5]
		c.Assert(coordinator.node.isCoordinator(), qt.IsTrue)
		f.register(f.nodes[1], 1, engineAt("e", coordinator.identity.Zone, 1))
		f.advance(2 * kernel.Second)
		far := []*fleetNode{}
		for _, n := range f.nodes {
			if n != coordinator && n != other {
				far = append(far, n)
			}
		}
		coordinator.cutFrom(bothWays, far...)
		other.cutFrom(bothWays, far...)
		for heartbeat := range uint64(10) {
			f.register(f.nodes[1], 2+heartbeat, engineAt("e", coordinator.identity.Zone, 2+heartbeat))
			f.advance(kernel.Second)
			for _, n := range f.nodes {
				engine, isThere := n.node.directory.Engine("e")
				c.Assert(isThere, qt.IsTrue)
				c.Assert(engine.IsUnresponsive, qt.IsFalse, qt.Commentf("seed %d, at %s after %d s", seed, n.identity.Address, heartbeat+1))
			}
		}
	}
}

// announcingEngine sends each heartbeat to the node that the answer to the previous one named.
type announcingEngine struct {
	*fleet
	zone       string
	at         *fleetNode
	heartbeats uint64
}

func (e *announcingEngine) heartbeat() {
	e.heartbeats++
	e.register(e.at, e.heartbeats, engineAt("e", e.zone, e.heartbeats))
	for _, n := range e.nodes {
		if n.identity.Public == e.registerReplies[e.heartbeats].HeartbeatTo {
			e.at = n
		}
	}
}

// The same holds for a coordinator that is partitioned from the core alone. The nodes that it still reaches tell it
// who the leader is, but that is no contact with the leader.
func TestACoordinatorCutOffFromTheCoreCallsNoEngineUnresponsive(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := newFleet(c, 1, 5, 10, firstHaveFolders(4))
		f.bootAll(300 * ms)
		f.awaitStable(8 * kernel.Second)
		f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[5])
		coordinator := f.nodes[4]
		if !coordinator.node.isCoordinator() {
			coordinator = f.byAddress(coordinator.node.coordinator())
		}
		zone := coordinator.identity.Zone
		engine := &announcingEngine{fleet: f, zone: zone, at: f.nodes[1]}
		engine.heartbeat()
		f.advance(2 * kernel.Second)
		engine.heartbeat()
		coordinator.cutFrom(way, f.nodes[:4]...)
		unresponsive := 0
		for range 10 {
			engine.heartbeat()
			f.advance(kernel.Second)
			for _, n := range f.nodes {
				if n.engine("e").IsUnresponsive {
					unresponsive++
				}
			}
		}
		c.Check(unresponsive, qt.Equals, 0, qt.Commentf("%v: unresponsive in %d of %d samples", way, unresponsive, 10*len(f.nodes)))
	}
}
