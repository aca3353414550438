package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

const (
	linkOf10Mbit = 10e6 / 8
	// Processor time of one core for a megabyte: JSON and gzip at the sender, the reverse at the receiver.
	encodeTimePerMB = 50 * kernel.Millisecond
	decodeTimePerMB = 25 * kernel.Millisecond
	// A write syncs file and folder, both for the hard state and for the document.
	syncsPerWrite = 4
	syncTime      = kernel.Millisecond / 2
	diskMBps      = 120
	// Bounds of the channels between processes, see internal/server/channel.go.
	channelQueueLength = 512
	bulkThreshold      = 32 << 10
)

func TestLargeConfigsOnSlowLinksCostNoLeader(t *testing.T) {
	t.Parallel()
	for _, example := range []struct {
		size, changes int
		most          kernel.Micros
	}{
		{16 << 10, 40, 10 * kernel.Second}, {256 << 10, 20, 30 * kernel.Second}, {1 << 20, 6, 35 * kernel.Second},
	} {
		c := qt.New(t)
		s := newThrottledFleet(c, 3, example.size, 100*ms, func(int) machine { return smallMachine() })
		s.bootstrapAndStabilize()
		saves := 0
		s.watchSaves(&saves)
		s.submitChanges(example.changes)
		took := s.await("all changes", example.most, func() bool { return s.areChangesDone })
		c.Logf("%d KB: %d changes in %d ms", example.size>>10, example.changes, took/ms)
		c.Assert(s.leaderChanges, qt.Equals, 1)
		c.Assert(saves <= 2, qt.IsTrue, qt.Commentf("%d writes waited", saves))
		// No node receives more than two copies of a change. The bytes queued at one sender for one node stay below two
		// copies, plus 64 KB for other messages.
		for _, n := range s.nodes {
			e := s.resources[n]
			c.Assert(e.maxQueued < 2*example.size+64<<10, qt.IsTrue, qt.Commentf("%d bytes waited", e.maxQueued))
			c.Assert(e.bulkReceived <= 2*example.changes*(example.size+32<<10), qt.IsTrue, qt.Commentf("%s received %d bytes", n.identity.Address, e.bulkReceived))
		}
	}
}

func TestAMemberThatMissedManyChangesCatchesUpSoon(t *testing.T) {
	t.Parallel()
	for _, example := range []catchUpCase{
		{name: "1,000 changes", configBytes: 16 << 10, initialChanges: 100, missedChanges: []int{1000}},
		{name: "large ones", configBytes: 1 << 20, initialChanges: 10, missedChanges: []int{40, 1}},
		{name: "an empty disk", configBytes: 256 << 10, initialChanges: 20, missedChanges: []int{60}, isWiped: true},
	} {
		c := qt.New(t)
		for _, result := range example.run(c, 5) {
			c.Logf("%s: healthy after %d ms, of which the link takes %d ms", example.name, result.timeToComplete/ms, result.linkTime()/ms)
			c.Assert(result.timeToComplete-result.linkTime() < 2*kernel.Second, qt.IsTrue)
			// The store's bounds are those for a disk of 64 MB. They also limit the history that other members send.
			c.Assert(result.diskPeak < 16<<20, qt.IsTrue, qt.Commentf("%d bytes on the disk", result.diskPeak))
		}
	}
}

func TestAMemberIsCurrentAgainDuringAStorm(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16 << 10, 1 << 20} {
		c := qt.New(t)
		example := catchUpCase{configBytes: size, changeInterval: 100 * ms, initialChanges: 10, missedChanges: []int{40}, changesContinue: true}
		for _, result := range example.run(c, 6) {
			c.Logf("%d KB: current after %d ms, of which the link takes %d ms", size>>10, result.timeToCurrent/ms, result.linkTime()/ms)
			// The member's document shares the leader's link with the documents for the other members.
			c.Assert(result.timeToCurrent < 2*kernel.Second+6*kernel.Micros(float64(size)/linkOf10Mbit*1e6), qt.IsTrue)
		}
	}
}

func TestASlowDiskHasAtMostTwoPendingWrites(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newThrottledFleet(c, 4, 16<<10, 20*ms, func(int) machine { return smallMachine() })
	s.setSpeed(1e9/8, 4)
	s.bootstrapAndStabilize()
	// A write to the leader's disk takes longer than the interval between changes. The other members commit the changes
	// without the leader's copy.
	lead := s.leader()
	s.resources[lead].diskFactor = 200
	saves := 0
	s.watchSaves(&saves)
	s.submitChanges(60)
	s.await("all changes", 60*kernel.Second, func() bool { return s.areChangesDone })
	c.Assert(saves, qt.Equals, 2)
	s.resources[lead].diskFactor = 1
	newest := s.leader().node.core.committed.Position()
	s.await("the slow disk to hold the newest document", 5*kernel.Second, func() bool { return !lead.node.core.synced.Before(newest) })
}

func TestAWriteThatHasNotBegunIsSuperseded(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	done := []int{}
	for i := range 4 {
		// Each saved document becomes the accepted one, as if it had arrived in a heartbeat.
		accepted := document(4, uint64(10+i))
		b.core.save(accepted, func() { done = append(done, i) })
		b.core.doc = accepted
	}
	b.drain()
	c.Assert(b.saves, qt.HasLen, 1)
	c.Assert(b.core.saves, qt.HasLen, 2)
	b.sync()
	// Each callback runs after a write that holds its document or a later one.
	c.Assert(done, qt.DeepEquals, []int{0, 1, 2, 3})
	c.Assert(b.core.synced, qt.Equals, cluster.Position{Term: 4, Revision: 13})
}

func TestADamagedDocumentStillLimitsVotes(t *testing.T) {
	c := qt.New(t)
	disk := &memoryDisk{files: map[string][]byte{}, capacity: 1 << 20}
	store, _, _, err := storage.OpenStore(disk, "f", func() string { return "b" })
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 4}, Document: document(4, 9)}), qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 4}, Document: document(4, 10)}), qt.IsNil)
	name := storage.FileName(cluster.Position{Term: 4, Revision: 10})
	disk.files[name][80] ^= 1
	// The second round is a further restart. By then the damaged file has been quarantined.
	for range 2 {
		again, hardState, newest, err := storage.OpenStore(disk, "f", func() string { return "another" })
		c.Assert(err, qt.IsNil)
		c.Assert(again.Member(), qt.Equals, cluster.MemberID("b"))
		c.Assert(newest.Position(), qt.Equals, cluster.Position{Term: 4, Revision: 9})
		c.Assert(again.Acknowledged(), qt.Equals, cluster.Position{Term: 4, Revision: 10})
		for _, example := range []struct {
			newest    cluster.Position
			isGranted bool
		}{{cluster.Position{Term: 4, Revision: 9}, false}, {cluster.Position{Term: 4, Revision: 10}, true}} {
			b := newCoreHarness(c, hardState, newest)
			b.core.acknowledged = again.Acknowledged()
			b.receive(memberA, voteRequest(memberA, 5, example.newest))
			b.sync()
			c.Assert(b.votes(), qt.HasLen, 1)
			c.Assert(b.votes()[0].IsGranted, qt.Equals, example.isGranted)
		}
		b := newCoreHarness(c, hardState, newest)
		b.core.acknowledged = again.Acknowledged()
		b.pass(5 * kernel.Second)
		c.Assert(b.core.role, qt.Equals, follower)
	}
	// If the acknowledged position can't be read, the store makes a new member, as it does if the hard state can't be
	// read.
	disk.files[storage.AcknowledgedName][3] ^= 1
	fresh, _, newest, err := storage.OpenStore(disk, "f", func() string { return "another" })
	c.Assert(err, qt.IsNil)
	c.Assert(fresh.Member(), qt.Equals, cluster.MemberID("another"))
	c.Assert(newest, qt.IsNil)
	c.Assert(fresh.Acknowledged(), qt.Equals, cluster.Position{})
}

func TestAFolderRestoredFromAnOlderCopyDoesNotVote(t *testing.T) {
	c := qt.New(t)
	// The folder holds revision 9. The leader knows from an earlier acknowledgement of this member that it held
	// revision 10.
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	heartbeat := wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 1, Acknowledged: cluster.Position{Term: 4, Revision: 10}}
	b.receive(memberA, wire.Message{Heartbeat: &heartbeat})
	b.sync()
	// The leader fails, and a candidate that lacks revision 10 asks for a vote.
	b.now += 5 * kernel.Second
	b.receive(memberC, voteRequest(memberC, 5, cluster.Position{Term: 4, Revision: 9}))
	b.sync()
	c.Assert(b.votes(), qt.HasLen, 1)
	c.Assert(b.votes()[0].IsGranted, qt.IsFalse)
	b.pass(5 * kernel.Second)
	c.Assert(b.core.role, qt.Equals, follower)
	// Once it holds that revision, it votes and stands for election like any other member.
	b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 5, Leader: memberA, Target: memberB.ID, Round: 1, Document: document(5, 10)}})
	b.sync()
	b.pass(5 * kernel.Second)
	c.Assert(b.core.role, qt.Equals, preCandidate)
}

func TestARestartedMemberCountsOnlyForWhatIsStillOnItsDisk(t *testing.T) {
	c := qt.New(t)
	s := newThrottledFleet(c, 8, 1<<10, 100*ms, func(int) machine { return smallMachine() })
	s.bootstrapAndStabilize()
	s.submitChanges(5)
	s.await("all changes", 10*kernel.Second, func() bool { return s.areChangesDone })
	s.advance(kernel.Second)
	lead, n := s.leader(), s.follower()
	newest := n.node.core.synced
	// The member restarts with its newest document damaged. The leader believes its report and sends the
	// document again, although it knows of an earlier report with a higher position.
	n.kill()
	disk := s.resources[n].disk
	disk.files[storage.FileName(newest)][90] ^= 1
	n.boot()
	c.Assert(n.node.core.synced.Before(newest), qt.IsTrue)
	c.Assert(n.node.core.acknowledged, qt.Equals, newest)
	s.await("the leader to learn the lower position", kernel.Second, func() bool { return lead.node.core.peers[n.member].synced.Before(newest) })
	s.await("the document to be synced again", 2*kernel.Second, func() bool { return n.node.core.synced == newest })
}
