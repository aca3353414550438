package simulator

// Tests of rebuilding the core from a surviving disk by hand.

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/storage"
)

// rebuild rebuilds the core from a machine's data folder, as an operator does while the process
// is down.
func (w *World) rebuild(c *qt.C, m *machine, peers ...storage.PeerStatus) error {
	survivor, err := storage.ReadSurvivor(m.disk)
	c.Assert(err, qt.IsNil)
	if err := survivor.CheckPeers(peers); err != nil {
		return err
	}
	self := cluster.Member{ID: cluster.MemberID("rebuilt-" + m.name), Address: m.identity.Address, Zone: m.identity.Zone}
	document := survivor.Rebuild(self, "founding of "+m.name)
	c.Assert(storage.WriteRebuilt(m.disk, survivor.Fleet, document), qt.IsNil)
	return nil
}

// Two of three data folders are lost permanently. The operator rebuilds the core from the third
// and restarts the other nodes. The state of the third is then served again, and submissions are
// accepted.
func TestACoreIsRebuiltFromOneSurvivor(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 49)
	w.acknowledge(c, "a configuration accepted", 8*sec)
	w.operator.drainZone("z3", 300*sec)
	w.Run(2 * sec)
	before, old := w.newestDocument(), map[string]bool{}
	for _, voter := range before.Voters {
		old[string(voter.ID)] = true
	}
	survivor, lost := w.machines[2], w.machines[:2]
	kept := map[string][]byte{}
	for name, content := range w.machines[1].disk.files {
		kept[name] = content
	}
	for _, m := range w.core() {
		m.halt()
	}
	for _, m := range lost {
		m.disk.files = map[string][]byte{}
	}
	// A rebuild is rejected while a majority of the folders exists, when another member was
	// already rebuilt, and when a member has a newer folder.
	clusterID := before.ClusterID
	alive := storage.PeerStatus{Address: "x", Member: before.Voters[0].ID, ClusterID: clusterID, Revision: before.Revision}
	for _, peer := range []storage.PeerStatus{alive, {Address: "y", ClusterID: "another"}, {Address: "z", Member: "standby", ClusterID: clusterID, Revision: before.Revision + 3}} {
		c.Assert(errors.As(w.rebuild(c, survivor, peer), new(storage.RebuildRefusedError)), qt.IsTrue)
	}
	c.Assert(w.rebuild(c, survivor, storage.PeerStatus{Address: "z", Member: "standby", ClusterID: clusterID, Revision: 1}), qt.IsNil)
	w.committedDigests = map[uint64]string{} // the rebuilt cluster uses new, much higher revisions
	survivor.boot()
	// The routers of the old cluster still serve with each other's confirmation, so no
	// submission may be accepted.
	accepted := w.operator.Accepted
	w.operator.target = survivor
	w.operator.putConfig(nil)
	w.Run(5 * sec)
	c.Assert(w.operator.Accepted, qt.Equals, accepted)
	c.Assert(w.ready() >= 9, qt.IsTrue)
	for _, m := range w.others(w.core()) {
		killAndRestart(m, 500*ms)
	}
	w.operator.target = nil
	w.await(c, "routers serving and a configuration accepted in the new cluster", 12*sec, func() bool { return w.operator.Accepted > accepted && w.ready() >= 10 })
	after := w.newestDocument()
	c.Assert(after.ClusterID, qt.Not(qt.Equals), clusterID)
	c.Assert(after.Revision > before.Revision+1000, qt.IsTrue)
	c.Assert(after.DrainedZones, qt.DeepEquals, before.DrainedZones)
	// Empty machines join and vote. An old voter that restarts with its data folder neither
	// takes part nor serves; its folder has to be erased like the others.
	back := w.machines[1]
	back.disk.files = kept
	back.boot()
	w.machines[0].boot()
	w.await(c, "an empty machine votes", 20*sec, func() bool { return w.isVoter(w.machines[0]) })
	c.Assert(back.node.State(nil).ClusterID, qt.Equals, clusterID)
	c.Assert(back.node.State(nil).IsLeader || back.serves(), qt.IsFalse)
	for _, voter := range w.newestDocument().Voters {
		c.Assert(old[string(voter.ID)], qt.IsFalse)
	}
	w.loseDisk(back)
	back.halt()
	back.disk.files = map[string][]byte{}
	back.boot()
	w.await(c, "three voters", 20*sec, func() bool { return len(w.newestDocument().Voters) == 3 && w.isVoter(back) })
	finish(c, w)
}

// A power loss at any step of the rebuild leaves a folder from which it can be repeated.
func TestAnInterruptedRebuildCanBeRepeated(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 50)
	m := w.machines[2]
	before := w.newestDocument()
	for _, each := range w.core() {
		each.halt()
	}
	kept := m.disk.files
	for steps := range 3 {
		m.disk.files = map[string][]byte{}
		for name, content := range kept {
			m.disk.files[name] = content
		}
		survivor, err := storage.ReadSurvivor(m.disk)
		c.Assert(err, qt.IsNil)
		document := survivor.Rebuild(cluster.Member{ID: "fresh", Address: m.identity.Address, Zone: m.identity.Zone}, "new")
		m.disk.failAfter(steps)
		c.Assert(storage.WriteRebuilt(m.disk, survivor.Fleet, document), qt.IsNotNil)
		m.disk.failAfter(-1)
		again, err := storage.ReadSurvivor(m.disk)
		c.Assert(err, qt.IsNil)
		c.Assert(again.Document.Revision, qt.Equals, before.Revision)
		c.Assert(w.rebuild(c, m), qt.IsNil)
	}
}
