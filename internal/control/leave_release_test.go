package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The leader releases a leaving member: it tells the member that it may end, as far as the documents up to the
// committed one are concerned. The member's acknowledgement may commit a document that it accepts with the release or
// after it. The member therefore stays until it is released for that document too.
func TestAReleaseEndsWithTheNextDocument(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	round := uint64(0)
	heartbeat := func(committed cluster.Position, received *cluster.Document) {
		round++
		b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{
			Term: 4, Leader: memberA, Target: memberB.ID, Round: round, Committed: committed, Document: received, IsReleased: true,
		}})
		b.sync()
	}
	b.core.Leave(b.now)
	heartbeat(cluster.Position{Term: 4, Revision: 9}, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
	// Revision 10 arrives with the release for revision 9. The leader may commit it with this member's
	// acknowledgement alone.
	heartbeat(cluster.Position{Term: 4, Revision: 9}, document(4, 10))
	c.Assert(b.hasAcknowledged(cluster.Position{Term: 4, Revision: 10}), qt.IsTrue)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(cluster.Position{Term: 4, Revision: 9}, nil)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(cluster.Position{Term: 4, Revision: 10}, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}

// Operations are submitted one after another while a voter leaves and another voter has a slow disk. The document
// that is committed when the leaving voter ends has to be on the slow voter's disk by then. Otherwise the leader alone
// would hold it, and the loss of its disk would lose acknowledged operations.
func TestALeavingMemberTakesNoAcknowledgementAwayDuringAStorm(t *testing.T) {
	t.Parallel()
	released := 0
	for seed := range *lossSeeds {
		c := qt.New(t)
		d := newCoreRun(c, seed, topologyOfThree)
		lead, leavingVoter := d.leader(), d.pickVoter(false)
		slow := d.pickVoter(false, leavingVoter)
		slow.diskSlowdown = 60
		d.submitContinuously(d.now + 4*kernel.Second)
		d.advance(500 * ms)
		hasEnded, begun := false, d.now
		d.stopGracefully(leavingVoter, func() { hasEnded = true })
		for !hasEnded {
			d.advance(ms)
		}
		d.advance(10 * ms) // its last messages arrive
		committed := lead.node.core.committed.Position()
		if d.now-begun < 7*kernel.Second {
			released++
			c.Assert(slow.document.Position().Before(committed), qt.IsFalse, qt.Commentf("seed %d: committed %v, on the other disk %v", seed, committed, slow.document.Position()))
		}
	}
	t.Logf("released in %d of %d runs", released, *lossSeeds)
}
