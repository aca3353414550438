package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A leaver is released for the documents up to the one that the leader names. What it accepts later
// may be committed by its word, and it must not end with that before others hold it.
func TestAReleaseCoversNoNewerDocument(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, Ballot{Term: 4}, document(4, 9))
	b.core.Leave(b.now)
	heartbeat := func(round, committed uint64, document *Document) {
		b.receive(memberA, Message{Heartbeat: &Heartbeat{
			Term: 4, Leader: memberA, Target: memberB.ID, Round: round, Committed: Stamp{4, committed}, Document: document, IsReleased: true,
		}})
		b.sync()
	}
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(1, 9, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
	heartbeat(2, 9, document(4, 10))
	c.Assert(b.core.synced, qt.Equals, Stamp{4, 10})
	c.Assert(b.core.isNeeded(), qt.IsTrue)
	heartbeat(3, 10, nil)
	c.Assert(b.core.isNeeded(), qt.IsFalse)
}
