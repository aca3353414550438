package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The leader releases a leaver for what was committed when it said so. A document that the leaver
// accepts with that word or after it may be committed by its acknowledgement, so it stays until the
// leader has spoken again.
func TestAReleaseEndsWithTheNextDocument(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cluster.HardState{Term: 4}, document(4, 9))
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
	// With the release for revision 9 comes revision 10: the leader may commit it by this member alone.
	heartbeat(cluster.Position{Term: 4, Revision: 9}, document(4, 10))
	c.Assert(b.acknowledged(cluster.Position{Term: 4, Revision: 10}), qt.IsTrue)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(cluster.Position{Term: 4, Revision: 9}, nil)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(cluster.Position{Term: 4, Revision: 10}, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}

// Orders come one after another while a voter leaves for good and another one has a slow disk: what
// was acknowledged when the leaver ended is on another disk besides the leader's soon, though the leader's
// is lost right then.
func TestALeavingMemberTakesNoAcknowledgementAwayDuringAStorm(t *testing.T) {
	t.Parallel()
	released := 0
	for seed := range *lossSeeds {
		c := qt.New(t)
		d := newCoreRun(c, seed, shapeOfThree)
		lead, leaver := d.leader(), d.voting(false)
		slow := d.voting(false, leaver)
		slow.diskSlowdown = 60
		d.submitContinuously(d.now + 4*kernel.Second)
		d.advance(500 * ms)
		hasEnded, begun := false, d.now
		d.stop(leaver, func() { hasEnded = true })
		for !hasEnded {
			d.advance(ms)
		}
		d.advance(10 * ms) // what it sent last arrives
		committed := lead.node.core.committed.Position()
		if d.now-begun < 7*kernel.Second {
			released++
			c.Assert(slow.document.Position().Before(committed), qt.IsFalse, qt.Commentf("seed %d: committed %v, on the other disk %v", seed, committed, slow.document.Position()))
		}
	}
	t.Logf("released in %d of %d runs", released, *lossSeeds)
}
