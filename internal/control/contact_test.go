package control

import (
	"encoding/json"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

func (n *fleetNode) isInContact() bool {
	at := n.node.GrantedAt()
	return at > 0 && n.f.now-at < n.node.ContactSpan()
}

// Without faults every node knows that it is in contact with the leader. A partitioned node and one that has just
// started know that they may be behind, and so does every node while there is no leader.
func TestANodeKnowsWhetherItIsInContact(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := steadyCore(c, 11)
		f.advance(2 * kernel.Second)
		for range 100 {
			f.advance(50 * ms)
			for _, n := range f.nodes {
				c.Assert(n.isInContact(), qt.IsTrue, qt.Commentf("%s without a fault", n.identity.Address))
			}
		}
		router := f.nodes[7]
		router.cutFrom(way, f.nodes...)
		f.advance(4 * kernel.Second)
		c.Check(router.isInContact(), qt.IsFalse, qt.Commentf("partitioned %v", way))
		f.heal()
		f.await("the router is in contact", 3*kernel.Second, router.isInContact)
		router.kill()
		router.boot()
		c.Check(router.isInContact(), qt.IsFalse)
		f.await("its next incarnation is in contact", 3*kernel.Second, router.isInContact)
		old := f.leader()
		old.cutFrom(way, f.nodes[:4]...)
		f.advance(4 * kernel.Second)
		c.Check(old.isInContact(), qt.IsFalse, qt.Commentf("the old leader, partitioned from the core %v", way))
		f.heal()
		f.await("the old leader is in contact", 3*kernel.Second, old.isInContact)
		for _, n := range f.nodes[:4] {
			n.kill()
		}
		f.advance(4 * kernel.Second)
		for _, n := range f.nodes[4:] {
			c.Check(n.isInContact(), qt.IsFalse, qt.Commentf("%s without a core", n.identity.Address))
		}
	}
}

// Validate runs concurrently with the event loop, also while the node learns of an earlier incarnation with a higher
// start number. The race detector finds shared state.
func TestValidateRunsConcurrentlyWithDeliver(t *testing.T) {
	c := qt.New(t)
	f := steadyCore(c, 4)
	n := f.nodes[6]
	later := n.node.record()
	later.Start += 1000
	update, err := json.Marshal(wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: "elsewhere", Nodes: []registry.NodeRecord{later}}})
	c.Assert(err, qt.IsNil)
	var message wire.Message
	c.Assert(json.Unmarshal(update, &message), qt.IsNil)
	current, submit := n.node.lease.Applied(), &cluster.Submit{ID: "x", Operation: cluster.PutConfig, Config: configOf(5, "x"), BaseVersion: version(1)}
	var validations sync.WaitGroup
	validations.Go(func() {
		for range 200 {
			c.Check(n.node.Validate(submit, current), qt.IsNil)
		}
	})
	before := n.node.settings.Start
	n.node.Deliver(f.now, wire.Envelope{Fleet: "f", ClusterID: n.node.clusterID(), From: f.nodes[1].identity.Address, To: n.identity.Address, Message: message})
	validations.Wait()
	c.Assert(n.node.settings.Start > before, qt.IsTrue)
}
