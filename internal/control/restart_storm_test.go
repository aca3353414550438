package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// countCopies counts the large messages that are sent to a node from now on.
func (s *throttledFleet) countCopies(to *fleetNode) *int {
	copies, executor := 0, s.executor
	s.executor = func(n *fleetNode, command commands.Command) bool {
		outgoing, isOutgoing := command.(Outgoing)
		if isOutgoing && outgoing.Envelope.To == to.identity.Address && outgoing.Envelope.Message.IsLarge() {
			copies++
		}
		return executor(n, command)
	}
	return &copies
}

// While changes go on, a member is killed and restarted repeatedly, each time before a large document can have reached
// it. After the last restart it is current as soon as a member that was down once. The leader does not change
// meanwhile. The copies that the member is sent occupy its link for at most half of the time until it is current,
// unless there is only one.
func TestAMemberThatRestartsAgainAndAgainCatchesUp(t *testing.T) {
	t.Parallel()
	for _, example := range []struct {
		size     int
		restarts int
		pause    kernel.Micros
	}{{16 << 10, 4, 300 * ms}, {1 << 20, 6, 700 * ms}} {
		c := qt.New(t)
		s := newThrottledFleet(c, 9, example.size, 100*ms, func(int) machine { return smallMachine() })
		s.bootstrapAndStabilize()
		s.submitChanges(1 << 30)
		s.awaitChanges(5, 60*kernel.Second)
		n := s.follower()
		for range example.restarts {
			n.kill()
			s.advance(100 * ms)
			n.boot()
			s.advance(example.pause)
		}
		lead, copies := s.leader(), s.countCopies(n)
		wanted, begun := lead.node.core.committed.Revision, s.now
		// The leader's uplink for large messages still transmits what was sent to earlier incarnations of the member.
		queued := max(s.resources[lead].uplinkFreeAt[1]-s.now, 0)
		s.await("the member to be current", 30*kernel.Second, func() bool { return n.node.core.synced.Revision >= wanted })
		took, link := s.now-begun, kernel.Micros(float64(example.size)/linkOf10Mbit*1e6)
		c.Logf("%d KB: current %d ms after the last of %d starts, with %d ms queued before; %d large copies, of which each takes %d ms",
			example.size>>10, took/ms, example.restarts, queued/ms, *copies, link/ms)
		// As in TestAMemberIsCurrentAgainDuringAStorm, the document shares the leader's link.
		c.Assert(took-queued < 2*kernel.Second+6*link, qt.IsTrue)
		c.Assert(kernel.Micros(*copies)*link <= max(took/2, link), qt.IsTrue)
		c.Assert(s.leaderChanges, qt.Equals, 1)
		s.areChangesDone = true
	}
}
