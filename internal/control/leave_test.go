package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// The leader releases a leaving member, so that it may end, for the documents up to the one that the leader names. The
// member's acknowledgement may commit a document that it accepts later. It must not end before enough others hold that
// one too.
func TestAReleaseCoversNoNewerDocument(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.core.Leave(b.now)
	heartbeat := func(round, committed uint64, document *cluster.Document) {
		b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{
			Term: 4, Leader: memberA, Target: memberB.ID, Round: round, Committed: cluster.Position{Term: 4, Revision: committed}, Document: document, IsReleased: true,
		}})
		b.sync()
	}
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(1, 9, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
	heartbeat(2, 9, document(4, 10))
	c.Assert(b.core.synced, qt.Equals, cluster.Position{Term: 4, Revision: 10})
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(3, 10, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}

// A leaving member that becomes a voter and is dropped again is needed until the document that drops it is committed.
// Until then, the newest committed document may be the one that made it a voter, even if this member never saw
// that one committed.
func TestALeavingMemberIsNeededUntilItsRemovalIsCommitted(t *testing.T) {
	c := qt.New(t)
	others := []cluster.Member{memberA, memberC, {ID: "d", Address: "10.0.0.4:1", Zone: "z1"}}
	without := func(revision uint64) *cluster.Document {
		dropped := document(4, revision)
		dropped.Voters = others
		return dropped
	}
	b := newCoreHarness(c, cluster.HardState{Term: 4}, without(9))
	heartbeat := func(round, committed uint64, document *cluster.Document) {
		b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{
			Term: 4, Leader: memberA, Target: memberB.ID, Round: round, Committed: cluster.Position{Term: 4, Revision: committed}, Document: document,
		}})
		b.sync()
	}
	heartbeat(1, 9, nil)
	b.core.Leave(b.now)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
	added := document(4, 10)
	added.Voters = append([]cluster.Member{memberB}, others...)
	heartbeat(2, 9, added)
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(3, 10, without(11))
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(4, 11, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}
