package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

func TestALateAnnouncementDoesNotUndoADraining(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 6, 3, 9, firstHaveFolders(3))
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	f.advance(300 * ms)
	c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.Address == "10.9.0.1:80" && e.Slots == 4 }), qt.IsTrue)
	leaving := drainingEngine(5)
	f.register(f.nodes[5], 2, leaving)
	f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
	c.Assert(f.registerReplies[2].Err, qt.IsNil)
	// An earlier announcement arrives late at two nodes. The engine sent its previous announcements to other nodes.
	late := engineAt("e", "z1", 4)
	late.Address = "10.9.0.7:80"
	f.register(f.nodes[7], 3, late)
	f.register(f.nodes[0], 4, late)
	f.advance(kernel.Second)
	c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.IsDraining && e.Address == "10.9.0.1:80" }), qt.IsTrue)
	// The engine is deregistered, without a sequence number or an address, and then another late announcement arrives.
	f.register(f.nodes[8], 5, registry.EngineRecord{ID: "e", IsUnlisted: true})
	f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[5].Token == 5 })
	c.Assert(f.registerReplies[5].Err, qt.IsNil)
	f.register(f.nodes[6], 6, engineAt("e", "z1", 6))
	f.advance(kernel.Second)
	c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.IsUnlisted }), qt.IsTrue)
}

func TestADrainIsConfirmedByAllBeforeItsAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.advance(kernel.Second)
		leaving := drainingEngine(2)
		begun := f.now
		f.register(f.nodes[int(seed)%12], 2, leaving)
		f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil)
		c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.IsDraining }), qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Assert(f.now-begun < 200*ms, qt.IsTrue, qt.Commentf("seed %d: %d us", seed, f.now-begun))
	}
}

func TestADrainIsConfirmedInTimeBesideDeadCoordinatorsAndOutlivesItsReceiver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.advance(kernel.Second)
		coordinators := f.leader().state().Document.Coordinators
		f.byAddress(coordinators["z2"]).kill()
		receiver := f.nodes[11]
		leaving := drainingEngine(2)
		f.register(receiver, 2, leaving)
		f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil)
		receiver.kill()
		f.advance(kernel.Second)
		c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.IsDraining }), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// remoteCoordinator returns a zone coordinator that is a core member but not the leader, and not the only
// node of its zone.
func (f *fleet) remoteCoordinator() *fleetNode {
	f.c.Helper()
	leader := f.leader()
	var coordinator *fleetNode
	for _, zone := range []string{"z1", "z2", "z3", "z4"} {
		if n := f.byAddress(leader.state().Document.Coordinators[zone]); n.hasFolder && n != leader && len(nodesInZone(f, zone)) > 1 {
			coordinator = n
		}
	}
	f.c.Assert(coordinator, qt.IsNotNil)
	return coordinator
}

// cutOffFromCore cuts the links between a node and the other members of the core, both ways.
func (f *fleet) cutOffFromCore(alone *fleetNode) {
	for _, n := range f.nodes {
		if n.hasFolder && n != alone {
			alone.cut[n.identity.Address], n.cut[alone.identity.Address] = true, true
		}
	}
}

// A zone coordinator that is cut off from the rest of the core still answers its zone, so that the other nodes of its
// zone never see it time out. They are reachable from the other zones, so a confirmed drain has to apply to them.
func TestAZoneBehindACoordinatorThatIsCutOffFromTheCoreIsNotLeftBehind(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 9, firstHaveFolders(4))
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.advance(kernel.Second)
		coordinator := f.remoteCoordinator()
		f.cutOffFromCore(coordinator)
		f.advance(2500 * ms)
		leaving := drainingEngine(2)
		f.register(f.leader(), 2, leaving)
		f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil)
		f.advance(kernel.Second)
		for _, n := range f.nodes {
			if n != coordinator {
				c.Assert(n.engine("e").IsDraining, qt.IsTrue, qt.Commentf("seed %d, %s", seed, n.identity.Address))
			}
		}
		// An acknowledged configuration has to apply to these nodes as well.
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.leader())
		f.advance(kernel.Second)
		for _, n := range f.nodes {
			if n != coordinator {
				c.Assert(n.inForce().ConfigVersion, qt.Equals, uint64(1), qt.Commentf("seed %d, %s", seed, n.identity.Address))
			}
		}
	}
}

func TestADrainAtANodeThatIsCutOffIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 8, 3, 9, firstHaveFolders(3))
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	f.advance(kernel.Second)
	for token, passed := range []kernel.Micros{0, 10 * kernel.Second} {
		alone := f.nodes[8]
		for _, n := range f.nodes[:8] {
			alone.cut[n.identity.Address] = true
		}
		f.advance(passed)
		leaving := drainingEngine(2)
		f.register(alone, uint64(10+token), leaving)
		f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[uint64(10+token)].Token != 0 })
		c.Assert(f.registerReplies[uint64(10+token)].Err, qt.ErrorAs, new(NotConfirmedError))
	}
}

func TestHeartbeatsThatChangeNothingGoToTheCoordinatorAlone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newStableFleet(c, 9, 3, 9, firstHaveFolders(3))
	// The answer names the zone coordinator for the next heartbeat only once that coordinator is known to run.
	f.advance(2 * kernel.Second)
	f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
	coordinator := f.byAddress(f.leader().state().Document.Coordinators["z1"])
	c.Assert(f.registerReplies[1].HeartbeatTo, qt.Equals, coordinator.identity.Public)
	f.advance(2 * kernel.Second)
	sendHeartbeats := func(at *fleetNode) map[string]int {
		f.sentMessages = map[string]int{}
		for seq := range uint64(8) {
			f.advance(1200 * ms)
			f.register(at, 100+seq, engineAt("e", "z1", 10+seq))
		}
		return f.sentMessages
	}
	sent := sendHeartbeats(coordinator)
	c.Assert(sent["Heard"]+sent["Push"], qt.Equals, 0)
	other := f.nodes[5]
	c.Assert(other, qt.Not(qt.Equals), coordinator)
	f.register(other, 50, engineAt("e", "z1", 30))
	sent = sendHeartbeats(other)
	c.Assert(sent["Push"], qt.Equals, 0)
	c.Assert(sent["Heard"] <= 8, qt.IsTrue, qt.Commentf("%v", sent))
	c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.HasHeartbeat() }), qt.IsTrue)
}

func TestASilentEngineIsUnresponsiveUntilItsNextHeartbeat(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newStableFleet(c, 10, 3, 9, firstHaveFolders(3))
	seq := uint64(0)
	heartbeat := func(at *fleetNode) {
		seq++
		f.register(at, 100+seq, engineAt("e", "z1", seq))
	}
	coordinator := f.byAddress(f.leader().state().Document.Coordinators["z1"])
	for range 6 {
		heartbeat(coordinator)
		f.advance(1200 * ms)
	}
	isUnresponsive := func(e registry.EngineRecord) bool { return e.IsUnresponsive }
	c.Assert(f.allRecordsMatch("e", isUnresponsive), qt.IsFalse)
	took := f.await("the engine to be unresponsive", 4*kernel.Second, func() bool { return f.allRecordsMatch("e", isUnresponsive) })
	c.Logf("unresponsive at all nodes %d ms after its last heartbeat", (took+1200*ms)/ms)
	heartbeat(f.nodes[7])
	f.await("the engine to be responsive", kernel.Second, func() bool {
		return f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.HasHeartbeat() })
	})
	// A coordinator that was frozen, or that has just taken over, has missed heartbeats itself. It must not mark
	// engines as unresponsive because of that.
	for range 4 {
		heartbeat(coordinator)
		f.advance(1200 * ms)
	}
	coordinator.freeze(1400 * ms)
	f.advance(1400 * ms)
	f.advance(3 * kernel.Second)
	c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return !e.IsUnresponsive }), qt.IsTrue)
	heartbeat(coordinator)
	f.advance(1200 * ms)
	heartbeat(coordinator)
	coordinator.kill()
	for range 8 {
		f.advance(1200 * ms)
		other := f.nodes[4]
		if other == coordinator {
			other = f.nodes[5]
		}
		heartbeat(other)
		c.Assert(f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return !e.IsUnresponsive }), qt.IsTrue)
	}
}

func TestANewEngineAtAnAddressEndsTheOldOne(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 11, 3, 9, firstHaveFolders(3))
	f.register(f.nodes[4], 1, engineAt("old", "z1", 7))
	f.advance(kernel.Second)
	moved := engineAt("new", "z2", 1)
	moved.Pool = "q"
	f.register(f.nodes[5], 2, moved)
	f.advance(300 * ms)
	c.Assert(f.allRecordsMatch("old", func(e registry.EngineRecord) bool { return e.IsUnresponsive }), qt.IsTrue)
	c.Assert(f.countUsable("old"), qt.Equals, 0)
	c.Assert(f.countUsable("new"), qt.Equals, len(f.nodes))
	c.Assert(f.allRecordsMatch("new", func(e registry.EngineRecord) bool { return e.Pool == "q" && e.HasHeartbeat() }), qt.IsTrue)
	// A newer announcement of an engine changes its address; an older one does not.
	moved.Seq, moved.Address, moved.Pool = 3, "10.9.0.3:80", "r"
	f.register(f.nodes[6], 3, moved)
	moved.Seq, moved.Address = 2, "10.9.0.2:80"
	f.register(f.nodes[7], 4, moved)
	f.advance(300 * ms)
	c.Assert(f.allRecordsMatch("new", func(e registry.EngineRecord) bool { return e.Address == "10.9.0.3:80" && e.Pool == "r" }), qt.IsTrue)
}

func TestEnginesAreKnownAgainSoonAfterATotalFailure(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 9, firstHaveFolders(3))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		for _, n := range f.nodes {
			n.kill()
			n.bootstrap = false
		}
		f.bootAll(300 * ms)
		f.advance(300 * ms)
		// Heartbeats arrive before there is a leader.
		f.register(f.nodes[4], 1, engineAt("e", "z1", 20))
		f.advance(1200 * ms)
		f.register(f.nodes[8], 2, engineAt("e", "z1", 21))
		f.await("the engine to be known", 2*kernel.Second, func() bool {
			return f.allRecordsMatch("e", func(e registry.EngineRecord) bool { return e.HasHeartbeat() })
		})
	}
}
