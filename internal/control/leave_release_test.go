package control

import (
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// The leader releases a leaver for what was committed when it said so. A document that the leaver
// accepts with that word or after it may be committed by its acknowledgement, so it stays until the
// leader has spoken again.
func TestAReleaseEndsWithTheNextDocument(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, Ballot{Term: 4}, document(4, 9))
	round := uint64(0)
	hear := func(committed Stamp, brought *Document) {
		round++
		b.receive(memberA, Message{Heartbeat: &Heartbeat{
			Term: 4, Leader: memberA, Target: memberB.ID, Round: round, Committed: committed, Document: brought, IsReleased: true,
		}})
		b.sync()
	}
	b.core.Leave(b.now)
	hear(Stamp{4, 9}, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
	// With the release for revision 9 comes revision 10: the leader may commit it by this member alone.
	hear(Stamp{4, 9}, document(4, 10))
	c.Assert(b.acknowledged(Stamp{4, 10}), qt.IsTrue)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	hear(Stamp{4, 9}, nil)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	hear(Stamp{4, 10}, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}

// Orders come one after another while a voter leaves for good and another one has a slow disk: what
// was acknowledged when the leaver ended is on another disk besides the leader's soon, though the leader's
// is lost right then.
func TestALeaverTakesNoAcknowledgementAwayDuringAStorm(t *testing.T) {
	t.Parallel()
	released := 0
	for seed := range *lossSeeds {
		c := qt.New(t)
		d := newCoreDay(c, seed, shapeOfThree)
		lead, leaver := d.leader(), d.voting(false)
		slow := d.voting(false, leaver)
		slow.diskTimes = 60
		d.storm(d.now + 4*kernel.Second)
		d.pass(500 * ms)
		hasEnded, begun := false, d.now
		d.stop(leaver, func() { hasEnded = true })
		for !hasEnded {
			d.pass(ms)
		}
		d.pass(10 * ms) // what it sent last arrives
		held := lead.node.core.committed.stamp()
		if d.now-begun < 7*kernel.Second {
			released++
			c.Assert(slow.document.stamp().before(held), qt.IsFalse, qt.Commentf("seed %d: committed %v, on the other disk %v", seed, held, slow.document.stamp()))
		}
	}
	t.Logf("released in %d of %d runs", released, *lossSeeds)
}
