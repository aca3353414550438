package control

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Bounds of a deployment under which the tests of this file play a disk that fails at a start.
const (
	diskTroubleSpan = 4 * kernel.Second  // how long the disk refuses files
	syncSpan        = 4 * kernel.Second  // within which a machine that returned has to be a voter again
	recoverySpan    = 12 * kernel.Second // within which the configuration has to be read after a loss
	bootSpan        = 300 * ms           // within which all machines of a first start are started
	lateFolderSeeds = 12                 // of each case
)

// awaitReserve waits until each of the nodes is a healthy voter.
func (f *fleet) awaitReserve(what string, timeout kernel.Micros, nodes ...*fleetNode) {
	f.c.Helper()
	f.await(what, timeout, func() bool {
		lead := f.leader()
		if lead == nil {
			return false
		}
		health := lead.node.core.Health()
		isVoter := func(n *fleetNode) bool {
			return slices.ContainsFunc(health.Voters, func(voter VoterHealth) bool { return voter.ID == n.member && voter.isHealthy() })
		}
		return health != nil && health.IsHealthy && !slices.ContainsFunc(nodes, func(n *fleetNode) bool { return !isVoter(n) })
	})
}

// checkRead reads the newest configuration at a node and checks its version.
func (f *fleet) checkRead(at *fleetNode, wanted uint64, timeout kernel.Micros) {
	f.c.Helper()
	token := uint64(f.now)
	f.await("the read", timeout, func() bool {
		if f.reads[token] == nil {
			token++
			at.do(func() []commands.Command { return at.node.Read(f.now, token) })
			f.advance(500 * ms)
		}
		return f.reads[token] != nil
	})
	f.c.Assert(f.reads[token].ConfigVersion, qt.Equals, wanted)
}

// Guards against a core without reserve: a disk that failed while its process started stayed unused, and the next lost
// disk took the acknowledged configuration.
func TestALateFolderLeavesTheCoreItsReserve(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		name           string
		isFirstStart   bool // the trouble is at the first start of the fleet
		isWiped        bool // the disk is lost before the restart
		restarts       int
		troubled, lost int // the node in trouble, and the one that loses its disk afterwards
	}{
		{name: "first start", isFirstStart: true, lost: 1},
		{name: "first start of another machine", isFirstStart: true, troubled: 2, lost: 0},
		{name: "empty disk", isWiped: true, restarts: 1, lost: 1},
		{name: "whole disk", restarts: 1, troubled: 1, lost: 2},
		{name: "empty disk twice in a row", isWiped: true, restarts: 2, troubled: 2, lost: 0},
		{name: "whole disk twice in a row", restarts: 2, lost: 1},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(lateFolderSeeds) {
				c := qt.New(t)
				f := newFleet(c, seed, 3, 5, firstHaveFolders(3))
				troubled, lost, core := f.nodes[each.troubled], f.nodes[each.lost], f.nodes[:3]
				if each.isFirstStart {
					troubled.opensAfter = diskTroubleSpan
				}
				f.bootAll(bootSpan)
				f.advance(bootSpan)
				f.acknowledge("first", 0, configOf(1, "first"), diskTroubleSpan+syncSpan, f.nodes...)
				f.advance(diskTroubleSpan)
				for range each.restarts {
					f.awaitReserve("the core before the trouble", syncSpan, core...)
					troubled.kill()
					if each.isWiped {
						troubled.wipe()
					}
					troubled.bootstrap, troubled.opensAfter = false, diskTroubleSpan
					f.advance(kernel.Second)
					troubled.boot()
					f.advance(diskTroubleSpan)
				}
				f.awaitReserve(fmt.Sprintf("seed %d: the core bears a loss", seed), syncSpan, core...)
				f.acknowledge("second", 1, configOf(2, "second"), 4*kernel.Second, f.nodes...)
				lost.wipe()
				f.advance(3 * kernel.Second)
				lost.boot()
				f.checkRead(f.nodes[4], 2, recoverySpan)
			}
		})
	}
}

// Guards against a fleet that is not founded, or does not come back, because all folders open late.
func TestAFleetIsFoundedAndRestartedThoughAllFoldersOpenLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(lateFolderSeeds) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 5, firstHaveFolders(3))
		core := f.nodes[:3]
		drawLateness := func() kernel.Micros {
			latest := kernel.Micros(0)
			for _, n := range core {
				n.opensAfter = 1 + kernel.Micros(f.random.Int64N(int64(diskTroubleSpan)))
				latest = max(latest, n.opensAfter)
			}
			return latest
		}
		latest := drawLateness()
		f.bootAll(bootSpan)
		f.advance(bootSpan + latest)
		f.acknowledge("first", 0, configOf(1, "first"), syncSpan, f.nodes[3:]...)
		f.awaitReserve("the core after the first start", syncSpan, core...)
		for _, n := range f.nodes {
			n.kill()
			n.bootstrap = false
		}
		latest = drawLateness()
		f.advance(kernel.Second)
		f.bootAll(bootSpan)
		f.advance(bootSpan + latest)
		f.awaitReserve("the core after a stop of all", syncSpan, core...)
		f.checkRead(f.nodes[4], 1, recoverySpan)
	}
}

// Guards against a node that votes, or leads, by another state than its folder's.
func TestANodeWithAPendingFolderTakesNoPartInTheCore(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 7, 3, 5, firstHaveFolders(3))
	f.awaitVoters(4*kernel.Second, f.nodes[:3]...)
	late := f.nodes[2]
	late.kill()
	late.bootstrap, late.opensAfter = false, diskTroubleSpan
	hardState, document := late.hardState, late.document
	late.boot()
	vote := wire.VoteRequest{
		Term: hardState.Term + 5, Candidate: cluster.Member{ID: f.nodes[0].member, Address: f.nodes[0].identity.Address, Zone: "z1"}, Voter: late.member,
		LastPosition: cluster.Position{Term: hardState.Term + 4, Revision: document.Revision + 9}, IsTransfer: true,
	}
	envelope := wire.Envelope{
		Fleet: "f", ClusterID: document.ClusterID, From: f.nodes[0].identity.Address, To: late.identity.Address, Message: wire.Message{VoteRequest: &vote},
	}
	f.advance(diskTroubleSpan / 2)
	for _, command := range late.node.Deliver(f.now, envelope) {
		if out, isMessage := command.(Outgoing); isMessage {
			c.Assert(out.Envelope.Message.VoteResponse, qt.IsNil)
		}
	}
	c.Assert(late.hardState, qt.Equals, hardState)
	c.Assert(late.node.State(nil).IsFolderPending, qt.IsTrue)
	c.Assert(late.node.State(nil).Role, qt.Equals, "")
	f.awaitReserve("the core after the trouble", diskTroubleSpan+syncSpan, f.nodes[:3]...)
	c.Assert(late.node.State(nil).IsFolderPending, qt.IsFalse)
	c.Assert(late.node.State(nil).Member, qt.Equals, late.member)
	c.Assert(late.hardState.Term >= hardState.Term, qt.IsTrue)
}

// Guards against a document in force that goes back to the folder's older one.
func TestALateFolderBringsNoOlderDocumentIntoForce(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 11, 3, 5, firstHaveFolders(3))
	f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[0])
	f.awaitVoters(4*kernel.Second, f.nodes[:3]...)
	late := f.nodes[1]
	late.kill()
	f.acknowledge("second", 1, configOf(2, "second"), 6*kernel.Second, f.nodes[0], f.nodes[2])
	late.bootstrap, late.opensAfter = false, diskTroubleSpan
	late.boot()
	f.await("the newest document in force", diskTroubleSpan/2, func() bool { return late.inForce() != nil && late.inForce().ConfigVersion == 2 })
	revision := late.inForce().Revision
	f.advance(diskTroubleSpan - ms)
	c.Assert(late.inForce().ConfigVersion, qt.Equals, uint64(2))
	c.Assert(late.inForce().Revision >= revision, qt.IsTrue)
}

// A fleet whose disks are all in trouble serves by its snapshots as soon as they can be read.
func TestALateFolderBringsItsSnapshotWhereNoDocumentIsInForce(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 13, 3, 5, firstHaveFolders(3))
	f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[0])
	f.advance(2 * kernel.Second)
	for _, n := range f.nodes {
		n.kill()
		n.bootstrap = false
	}
	late := f.nodes[0]
	late.opensAfter = kernel.Second
	late.boot()
	f.advance(900 * ms)
	c.Assert(late.inForce(), qt.IsNil)
	f.advance(200 * ms)
	c.Assert(late.inForce().ConfigVersion, qt.Equals, uint64(1))
}

func TestAFolderThatANodeCanNotTakeLeavesItAsItWas(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 17, 3, 5, firstHaveFolders(3))
	late := f.nodes[0]
	state := late.openFolder(f.seeds())
	_, err := late.node.AttachFolder(f.now, state, 0)
	c.Assert(errors.As(err, new(FolderNotPendingError)), qt.IsTrue)
	late.kill()
	late.bootstrap, late.opensAfter = false, kernel.Second*3600
	late.boot()
	f.awaitStable(4 * kernel.Second)
	foreign := *late.document
	foreign.ClusterID = "another"
	state.Document = &foreign
	_, err = late.node.AttachFolder(f.now, state, 0)
	c.Assert(errors.As(err, new(ForeignFolderError)), qt.IsTrue)
	c.Assert(late.node.State(nil).IsFolderPending, qt.IsTrue)
	c.Assert(late.node.core, qt.IsNil)
	late.node.Leave(f.now)
	state.Document = late.document
	_, err = late.node.AttachFolder(f.now, state, 0)
	c.Assert(errors.As(err, new(LeavingError)), qt.IsTrue)
	c.Assert(late.node.core, qt.IsNil)
}

// The state shows since when an operator has to look after the disk, and why.
func TestTheStateNamesTheFaultOfAPendingFolder(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 19, 3, 5, firstHaveFolders(3))
	late := f.nodes[0]
	late.kill()
	late.bootstrap, late.opensAfter = false, diskTroubleSpan
	late.boot()
	late.do(func() []commands.Command { return late.node.FolderFailed(f.now, "no space left") })
	c.Assert(late.state().DiskFault, qt.Equals, "no space left")
	f.advance(diskTroubleSpan + syncSpan)
	c.Assert(late.state().DiskFault, qt.Equals, "")
}
