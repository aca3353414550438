package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// hasAcknowledged reports whether the core confirmed to a leader that it has synced a document.
func (b *coreHarness) hasAcknowledged(position cluster.Position) bool {
	for _, send := range b.sent {
		if reply := send.Message.HeartbeatResponse; reply != nil && reply.Term == position.Term && reply.Synced == position {
			return true
		}
	}
	return false
}

// A document that was accepted and is still being written will be acknowledged to its leader once it is synced. So this
// member must not vote for a candidate that lacks it. Otherwise both the old leader and the candidate could count this
// member towards their majorities.
func TestNoVoteAgainstADocumentThatIsBeingWritten(t *testing.T) {
	for _, example := range []struct {
		newest    cluster.Position
		isGranted bool
	}{{cluster.Position{Term: 4, Revision: 9}, false}, {cluster.Position{Term: 4, Revision: 10}, true}} {
		c := qt.New(t)
		b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
		b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 1, Document: document(4, 10)}})
		// The disk is slow, but does not count as stalled, and the leader is silent.
		b.now += b.core.settings.Timing.MinElectionTimeout + 100*kernel.Millisecond
		c.Assert(b.core.DiskFault(), qt.Equals, "")
		b.receive(memberC, voteRequest(memberC, 5, example.newest))
		b.sync()
		c.Assert(b.hasAcknowledged(cluster.Position{Term: 4, Revision: 10}), qt.IsTrue)
		c.Assert(b.votes(), qt.HasLen, 1)
		c.Assert(b.votes()[0].IsGranted, qt.Equals, example.isGranted)
	}
}

// A leader freezes right after it sent a document. One voter is cut off from it, and the other writes the document so
// slowly that an election comes first. When the leader resumes, it finds the acknowledgement of the slow voter. What it
// acknowledges then must not be lost under the next leader.
func TestAFrozenLeaderAcknowledgesNothingThatItsSuccessorLacks(t *testing.T) {
	t.Parallel()
	acknowledged := 0
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 6, firstHaveFolders(3))
		f.bootAll(200 * ms)
		f.awaitStable(6 * kernel.Second)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		f.advance(2 * kernel.Second)
		lead := f.leader()
		voters := []*fleetNode{}
		for _, n := range f.nodes[:3] {
			if n != lead {
				voters = append(voters, n)
			}
		}
		slow, apart := voters[0], voters[1]
		lead.cut[apart.identity.Address] = true
		slow.diskSlowdown = 200
		lead.submit("two", 1, configOf(2, "b"))
		f.await("the slow voter accepts the document", 300*ms, func() bool { return slow.node.core.doc.ConfigVersion == 2 })
		// A process that resumes may read the messages that wait in its sockets before its timers fire.
		waiting := []wire.Envelope{}
		f.executor = func(n *fleetNode, command commands.Command) bool {
			outgoing, isOutgoing := command.(Outgoing)
			isForLead := isOutgoing && n == slow && outgoing.Envelope.To == lead.identity.Address
			if isForLead && outgoing.Envelope.Message.HeartbeatResponse != nil {
				waiting = append(waiting, outgoing.Envelope)
			}
			return isForLead // other messages to the leader are lost
		}
		lead.isFrozen = true
		f.advance(1600 * ms)
		f.executor, lead.isFrozen = nil, false
		for _, envelope := range waiting {
			lead.do(func() []commands.Command { return lead.node.Deliver(f.now, envelope) })
		}
		held := lead.pausedEvents
		lead.pausedEvents = nil
		for _, event := range held {
			event()
		}
		delete(lead.cut, apart.identity.Address)
		slow.diskSlowdown = 0
		f.advance(4 * kernel.Second)
		if f.replies["two"].Outcome == cluster.Accepted {
			acknowledged++
		}
		newest := f.leader().node.core.committed
		isLost := f.replies["two"].Outcome == cluster.Accepted && newest.ConfigVersion < 2
		c.Assert(isLost, qt.IsFalse, qt.Commentf("seed %d: version 2 was acknowledged, version %d is in force", seed, newest.ConfigVersion))
		for _, n := range f.nodes {
			applied := n.inForce()
			c.Assert(applied.ConfigVersion, qt.Equals, newest.ConfigVersion, qt.Commentf("seed %d, %s", seed, n.identity.Address))
		}
	}
	t.Logf("acknowledged in %d of 4 runs", acknowledged)
}
