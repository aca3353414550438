package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/kernel"
)

// A machine came up with an empty folder, was given its predecessor's place as a voter in one step,
// and then came back with the old folder: the voters before and after that step could elect two
// leaders that shared no voter, and each could commit.
func TestVoterSwappedInOneStepNeedsBothMajorities(t *testing.T) {
	c := qt.New(t)
	members := []Member{memberA, memberB, memberC, {"d", "10.0.0.4:1", "z1"}, {"e", "10.0.0.5:1", "z2"}}
	old := document(4, 9)
	old.Voters = members
	b := newBench(c, Ballot{Term: 4}, old)
	b.core.settings.Voters = 3
	b.electAmongAll()
	for _, member := range members {
		if member.ID != memberB.ID {
			b.confirm(member, b.core.doc.stamp())
		}
	}
	c.Assert(b.core.isOwnTerm, qt.IsTrue)
	// Another member joins at a voter's address and catches up.
	fresh := Member{"f", memberC.Address, memberC.Zone}
	b.pass(100 * kernel.Millisecond)
	b.receive(fresh, Message{Join: &Join{fresh, b.core.committed.stamp(), true}})
	b.pass(200 * kernel.Millisecond)
	swap := b.core.doc
	_, isIn := swap.voter(fresh.ID)
	c.Assert(isIn, qt.IsTrue)
	c.Assert(swap.PriorVoters, qt.DeepEquals, members)
	// This member, the fresh one and one more are a majority of the voters after the swap alone.
	b.confirm(fresh, swap.stamp())
	b.confirm(memberA, swap.stamp())
	c.Assert(b.core.committed.stamp().before(swap.stamp()), qt.IsTrue)
	// With a majority of the voters before it the swap is committed, and the next document ends it.
	b.confirm(members[3], swap.stamp())
	c.Assert(b.core.committed.stamp(), qt.Equals, swap.stamp())
	c.Assert(b.core.doc.Revision, qt.Equals, swap.Revision+1)
	c.Assert(b.core.doc.PriorVoters, qt.HasLen, 0)
	c.Assert(b.core.doc.Voters, qt.DeepEquals, swap.Voters)
}

// electAmongAll makes the bench's core the leader by the votes of all that it asks.
func (b *bench) electAmongAll() {
	for range 200 {
		b.pass(20 * kernel.Millisecond)
		for _, send := range b.sent {
			ask := send.Message.VoteAsk
			if ask == nil || b.core.role == leader {
				continue
			}
			b.core.Receive(b.now, send.To, Message{Vote: &Vote{Term: ask.Term, IsPre: ask.IsPre, IsGranted: true, Voter: ask.Voter}})
			b.drain()
			b.sync()
		}
		if b.core.role == leader {
			b.sent = nil
			return
		}
	}
	b.c.Fatal("no lead")
}
