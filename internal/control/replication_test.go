package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// confirmIncarnation delivers the response of one incarnation of a member to the newest heartbeat round.
func (b *coreHarness) confirmIncarnation(from cluster.Member, incarnation uint64, synced cluster.Position) {
	b.receive(from, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: b.core.term, Round: b.core.round, Member: from, Synced: synced, Incarnation: incarnation}})
}

func TestALateReplyOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	newest := cluster.Position{Term: b.core.term, Revision: 9}
	// C reports that it has synced the document, and loses it in a restart. Messages of its new incarnation overtake the
	// report.
	b.confirmIncarnation(memberC, 8, cluster.Position{Term: 4, Revision: 8})
	b.confirmIncarnation(memberC, 7, newest)
	c.Assert(b.core.Committed(), qt.IsNil)
	b.receive(memberC, wire.Message{Join: &wire.Join{Member: memberC, Synced: newest, HasFolder: true, Incarnation: 7}})
	b.confirmIncarnation(memberC, 8, cluster.Position{Term: 4, Revision: 8})
	c.Assert(b.core.Committed(), qt.IsNil)
	b.confirmIncarnation(memberC, 8, newest)
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(9))
}

// A clock that was set back may give a member a smaller start number than before. Its messages count again once the
// incarnation with the larger number has been silent for ReplaceTimeout.
func TestASmallerIncarnationIsAcceptedAfterReplaceTimeout(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	newest := cluster.Position{Term: b.core.term, Revision: 9}
	b.confirmIncarnation(memberC, 8, cluster.Position{Term: 4, Revision: 8})
	for range cluster.DefaultTiming().ReplaceTimeout/(100*kernel.Millisecond) + 1 {
		b.pass(100 * kernel.Millisecond)
		b.confirmIncarnation(memberA, 1, cluster.Position{Term: 4, Revision: 9})
		b.confirmIncarnation(memberC, 7, newest)
	}
	c.Assert(b.core.role, qt.Equals, leader)
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(9))
}
