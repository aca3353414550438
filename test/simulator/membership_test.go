package simulator

// Tests of bootstrap and of voter changes after lost disks and machines.

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

func TestAVoterWithALostDiskComesBackAsANewMember(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 11)
	victim := w.machines[1]
	old := victim.store.Member()
	w.loseDisk(victim)
	w.Run(500 * ms)
	victim.boot()
	c.Assert(victim.store.Member(), qt.Not(qt.Equals), old)
	w.await(c, "the member with the new disk votes again under its new id", 20*sec, func() bool { return w.isVoter(victim) && len(w.newestDocument().Voters) == 3 })
	for _, voter := range w.newestDocument().Voters {
		c.Assert(voter.ID, qt.Not(qt.Equals), old)
	}
	finish(c, w)
}

// Guards against losing the core's majority while a voter with an empty disk waits to vote
// again: the leader was cut off during that wait, and after the fleet was killed no router
// served. Found with qurum, seed 3.
func TestACoreWithARejoinedMemberToleratesTheLossOfItsLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 3)
	leader := w.leader()
	for _, victim := range w.core() {
		if running, _ := w.voters(); victim != leader && running == voterCountWanted {
			w.loseDisk(victim)
			victim.restart(500 * ms)
		}
	}
	w.Run(3 * sec)
	leader.halt()
	w.acknowledge(c, "a configuration accepted without the leader", 6*sec)
	leader.boot()
	w.Run(2 * sec)
	finish(c, w)
}

func TestAnEmptyMachineElsewhereTakesALostVotersPlaceUnattended(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 12)
	lost := w.machines[2]
	w.replace(lost)
	fresh := w.machines[len(w.machines)-1]
	w.await(c, "the empty machine votes", 25*sec, func() bool { return fresh.isUp && w.isVoter(fresh) && len(w.newestDocument().Voters) == 3 })
	finish(c, w)
}

func TestAllVotersAreSwappedOneAfterAnother(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 13)
	clusterID := w.newestDocument().ClusterID
	first := append([]*machine(nil), w.machines[:3]...)
	for _, old := range first {
		w.replace(old)
		fresh := w.machines[len(w.machines)-1]
		w.await(c, "the new machine votes", 25*sec, func() bool { return fresh.isUp && w.isVoter(fresh) && len(w.newestDocument().Voters) == 3 })
	}
	// No seed remains: a router that starts now can learn of the fleet only from its neighbors.
	late := w.machines[7]
	killAndRestart(late, 200*ms)
	w.await(c, "all routers serve without the seeds", 12*sec, func() bool { return w.ready() == len(w.machines)-3 })
	c.Assert(w.newestDocument().ClusterID, qt.Equals, clusterID)
	finish(c, w)
}

func TestBootstrapWaitsForEveryMember(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := WorldOf(20, "qurum")
	missing := w.machines[1]
	missing.halt()
	w.Run(15 * sec)
	c.Assert(w.newestDocument(), qt.IsNil)
	missing.boot()
	w.await(c, "the cluster bootstrapped", 8*sec, func() bool { return w.newestDocument() != nil })
	c.Assert(w.newestDocument().Voters, qt.HasLen, 3)
	w.operator.putConfig(nil)
	w.await(c, "every router serves", 12*sec, func() bool { return w.ready() == len(w.machines) })
}

// A founder that loses its disk later must not bootstrap a second cluster beside the first.
func TestNobodyBootstrapsTwice(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 21)
	clusterID := w.newestDocument().ClusterID
	for _, m := range w.core() {
		m.halt()
	}
	// Two of three founders lose their disks: the fleet may stop making progress, but must not
	// bootstrap again.
	w.machines[0].disk.files = map[string][]byte{}
	w.machines[1].disk.files = map[string][]byte{}
	for _, m := range w.core() {
		m.boot()
	}
	w.Run(20 * sec)
	for _, m := range w.machines {
		if state := m.node.State(nil); state.ClusterID != "" {
			c.Assert(state.ClusterID, qt.Equals, clusterID)
		}
	}
	c.Assert(w.internalViolations, qt.HasLen, 0)
}

func TestAMemberOfAnotherFleetIsRejected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 22)
	target := w.leader()
	before := len(w.newestDocument().Voters)
	for _, stray := range []wire.Envelope{
		{Fleet: "another", From: "10.9.9.9:1", To: target.identity.Address, Message: wire.Message{VoteRequest: &wire.VoteRequest{
			Term: 1000, Candidate: cluster.Member{ID: "x", Address: "10.9.9.9:1"}, Voter: target.store.Member(), IsTransfer: true, LastPosition: cluster.Position{Term: 999, Revision: 999}}}},
		{Fleet: "sim", ClusterID: "someone else's", From: "10.9.9.9:1", To: target.identity.Address, Message: wire.Message{Join: &wire.Join{
			Member: cluster.Member{ID: "y", Address: "10.9.9.9:1", Zone: "z9"}, HasFolder: true}}},
	} {
		target.execute(target.node.Deliver(target.clock(), stray))
	}
	entries := target.journal.Read("control", "node 10.9.9.9:1", 0)
	c.Assert(entries, qt.HasLen, 1) // the second arrives within the interval in which only one entry is recorded
	c.Assert(entries[0].Decision, qt.Equals, "reject message")
	c.Assert(target.node.State(nil).IsLeader, qt.IsTrue)
	w.Run(2 * sec)
	c.Assert(w.newestDocument().Voters, qt.HasLen, before)
	finish(c, w)
}
