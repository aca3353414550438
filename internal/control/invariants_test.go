package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Messages with an older term or an older document that arrive late never set a process back.

func TestAMemberNeverGoesBackToAnOlderTerm(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	for _, term := range []uint64{3, 1, 4} {
		b.receive(memberA, voteRequest(memberA, term, cluster.Position{Term: 4, Revision: 9}))
		b.sync()
		c.Assert(b.core.term, qt.Equals, uint64(4))
	}
	b.receive(memberA, voteRequest(memberA, 6, cluster.Position{Term: 4, Revision: 9}))
	b.sync()
	c.Assert(b.core.term, qt.Equals, uint64(6))
}

func TestANodeNeverAppliesAnOlderDocument(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(settings *NodeSettings) {
		settings.IsController, settings.HasFolder, settings.IsBootstrap = false, false, false
	})
	for _, step := range []struct{ revision, applied uint64 }{{5, 5}, {4, 5}, {1, 5}, {6, 6}} {
		grant := &wire.LeaseGrant{Revision: step.revision, Document: document(4, step.revision)}
		v.node.Deliver(v.now, wire.Envelope{Fleet: "f", ClusterID: "f", From: memberA.Address, To: memberB.Address, Message: wire.Message{LeaseGrant: grant}})
		c.Assert(v.node.lease.Revision(), qt.Equals, step.applied)
	}
}

// Several members stand for election at once when all start at the same time or the leader is lost. Only one of
// them becomes the leader of a term.
func TestOneMemberLeadsATermHoweverManyStand(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 7, firstHaveFolders(5))
		f.bootAll(ms)
		f.awaitStable(8 * kernel.Second)
		for range 3 {
			leader := f.leader()
			c.Assert(leader, qt.IsNotNil)
			leader.kill()
			f.advance(3 * kernel.Second)
			leader.boot()
			f.advance(2 * kernel.Second)
		}
	}
}
