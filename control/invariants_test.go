package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Whatever older things arrive late, a life of a node goes forward alone.

func TestAMemberNeverGoesBackToAnOlderTerm(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, Ballot{Term: 4}, document(4, 9))
	for _, term := range []uint64{3, 1, 4} {
		b.receive(memberA, ask(memberA, term, Stamp{4, 9}))
		b.sync()
		c.Assert(b.core.term, qt.Equals, uint64(4))
	}
	b.receive(memberA, ask(memberA, 6, Stamp{4, 9}))
	b.sync()
	c.Assert(b.core.term, qt.Equals, uint64(6))
}

func TestANodeNeverAppliesAnOlderDocument(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(settings *NodeSettings) { settings.IsController, settings.HasFolder, settings.Bootstrap = false, false, false })
	for _, step := range []struct{ revision, applied uint64 }{{5, 5}, {4, 5}, {1, 5}, {6, 6}} {
		grant := &Grant{Revision: step.revision, Document: document(4, step.revision)}
		v.node.Deliver(v.now, Envelope{Fleet: "f", Founding: "f", From: memberA.Address, To: memberB.Address, Message: Message{Grant: grant}})
		c.Assert(v.node.lease.Revision(), qt.Equals, step.applied)
	}
}
