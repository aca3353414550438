package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// replyOf is what a life of a member answers to the newest round.
func (b *bench) replyOf(from Member, incarnation uint64, synced Position) {
	b.receive(from, Message{HeartbeatResponse: &HeartbeatResponse{Term: b.core.term, Round: b.core.round, Member: from, Synced: synced, Incarnation: incarnation}})
}

func TestALateReplyOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, HardState{Term: 4}, document(4, 9))
	b.elect()
	newest := Position{b.core.term, 9}
	// C has synced the document and says so, and its restart loses it: its later words overtake that one.
	b.replyOf(memberC, 8, Position{4, 8})
	b.replyOf(memberC, 7, newest)
	c.Assert(b.core.Committed(), qt.IsNil)
	b.receive(memberC, Message{Join: &Join{Member: memberC, Synced: newest, HasFolder: true, Incarnation: 7}})
	b.replyOf(memberC, 8, Position{4, 8})
	c.Assert(b.core.Committed(), qt.IsNil)
	b.replyOf(memberC, 8, newest)
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(9))
}

// A clock that was put back may give a member a smaller start number than before. It counts again once
// the life with the larger number has been silent for as long as a lost member is.
func TestASmallerStartNumberIsBelievedInTheEnd(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, HardState{Term: 4}, document(4, 9))
	b.elect()
	newest := Position{b.core.term, 9}
	b.replyOf(memberC, 8, Position{4, 8})
	for range DefaultTiming().ReplaceTimeout/(100*kernel.Millisecond) + 1 {
		b.pass(100 * kernel.Millisecond)
		b.replyOf(memberA, 1, Position{4, 9})
		b.replyOf(memberC, 7, newest)
	}
	c.Assert(b.core.role, qt.Equals, leader)
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(9))
}
