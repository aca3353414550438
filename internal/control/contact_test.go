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

func (n *fleetNode) isInTouch() bool {
	at := n.node.GrantedAt()
	return at > 0 && n.f.now-at < n.node.ContactSpan()
}

// In calm times every node knows that it is in touch with the leader; one that is cut off, and one
// that has just been started, knows that it may be behind, and so does everyone where nobody leads.
func TestANodeKnowsWhetherItIsInTouch(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := steadyCore(c, 11)
		f.advance(2 * kernel.Second)
		for range 100 {
			f.advance(50 * ms)
			for _, n := range f.nodes {
				c.Assert(n.isInTouch(), qt.IsTrue, qt.Commentf("%s in calm", n.identity.Address))
			}
		}
		router := f.nodes[7]
		router.cutFrom(way, f.nodes...)
		f.advance(4 * kernel.Second)
		c.Check(router.isInTouch(), qt.IsFalse, qt.Commentf("cut %v", way))
		f.heal()
		f.await("the router is in touch", 3*kernel.Second, router.isInTouch)
		router.kill()
		router.boot()
		c.Check(router.isInTouch(), qt.IsFalse)
		f.await("its next life is in touch", 3*kernel.Second, router.isInTouch)
		old := f.leader()
		old.cutFrom(way, f.nodes[:4]...)
		f.advance(4 * kernel.Second)
		c.Check(old.isInTouch(), qt.IsFalse, qt.Commentf("the old leader, cut off from the core %v", way))
		f.heal()
		f.await("the old leader is in touch", 3*kernel.Second, old.isInTouch)
		for _, n := range f.nodes[:4] {
			n.kill()
		}
		f.advance(4 * kernel.Second)
		for _, n := range f.nodes[4:] {
			c.Check(n.isInTouch(), qt.IsFalse, qt.Commentf("%s without a core", n.identity.Address))
		}
	}
}

// Validate runs beside the owners, also while they learn that an earlier life of this node was
// numbered higher; the race detector finds what they share.
func TestValidationSharesNothingWithTheOwners(t *testing.T) {
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
	var beside sync.WaitGroup
	beside.Go(func() {
		for range 200 {
			c.Check(n.node.Validate(submit, current), qt.IsNil)
		}
	})
	before := n.node.settings.Start
	n.node.Deliver(f.now, wire.Envelope{Fleet: "f", ClusterID: n.node.clusterID(), From: f.nodes[1].identity.Address, To: n.identity.Address, Message: message})
	beside.Wait()
	c.Assert(n.node.settings.Start > before, qt.IsTrue)
}
