package control

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

func TestAnAcceptedConfigurationReachesAllNodesWhenItsLeaderDies(t *testing.T) {
	t.Parallel()
	worst := kernel.Micros(0)
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 12, firstHaveFolders(4))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[9])
		f.advance(kernel.Second)
		lead := f.leader()
		// The coordinator of one zone has just failed, and no other node knows it yet.
		for _, n := range f.nodes {
			if coordinator := f.byAddress(lead.state().Document.Coordinators[n.identity.Zone]); coordinator != lead && coordinator.identity.Zone != lead.identity.Zone {
				coordinator.kill()
				break
			}
		}
		at := f.nodes[11]
		if !at.isUp {
			at = f.nodes[10]
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, at)
		repliedAt := f.repliedAt["two"]
		lead.kill()
		f.await("the configuration at all nodes", 1500*ms, func() bool {
			for _, n := range f.nodes {
				if n.isUp && n.node.lease.Applied().ConfigVersion != 2 {
					return false
				}
			}
			return true
		})
		worst = max(worst, f.now-repliedAt)
	}
	t.Logf("the last node applied it %d ms after the acknowledgement", worst/ms)
}

func TestUnreachableRoutersNeverBlockAnAcceptance(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 5, 3, 12, firstHaveFolders(3))
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[9])
	// More than half of the registered routers fail at once.
	for _, n := range f.nodes[4:] {
		n.kill()
	}
	took := f.acknowledge("two", 1, configOf(2, "b"), 2*kernel.Second, f.nodes[3])
	c.Assert(took < 900*ms, qt.IsTrue, qt.Commentf("%d us", took))
	c.Assert(f.nodes[3].state().LeaseExpiresAt, qt.Equals, cluster.ServeWithoutLimit)
}

func TestOneOfTwoConcurrentOperationsOnAVersionIsAccepted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 6, firstHaveFolders(3))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[3])
		f.nodes[4].submit("left", 1, configOf(5, "left"))
		f.nodes[5].submit("right", 1, configOf(7, "right"))
		f.await("both acknowledgements", 2*kernel.Second, func() bool { return len(f.replies) == 3 })
		outcomes := []string{string(f.replies["left"].Outcome), string(f.replies["right"].Outcome)}
		slices.Sort(outcomes)
		c.Assert(outcomes, qt.DeepEquals, []string{"no", "yes"})
		for id, reply := range f.replies {
			if reply.Outcome == cluster.Rejected {
				c.Assert(reply.Reason, qt.Equals, "clash", qt.Commentf(id))
			}
		}
	}
}

func TestVersionsRiseAndChangesBuildOnWhatIsInForce(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 2, 3, 6, firstHaveFolders(3))
	f.acknowledge("one", 0, configOf(4, "a"), 4*kernel.Second, f.nodes[3])
	reason := func(id string, submit cluster.Submit) string {
		submit.ID = id
		delete(f.replies, id)
		f.nodes[4].do(func() []commands.Command { return f.nodes[4].node.Submit(f.now, &submit) })
		f.await(id, 2*kernel.Second, func() bool { _, isThere := f.replies[id]; return isThere })
		return string(f.replies[id].Outcome) + " " + f.replies[id].Reason
	}
	c.Assert(reason("clash", cluster.Submit{Operation: cluster.PutConfig, Config: configOf(9, "x"), BaseVersion: version(3)}), qt.Equals, "no clash")
	c.Assert(reason("old", cluster.Submit{Operation: cluster.PutConfig, Config: configOf(4, "x"), BaseVersion: version(4)}), qt.Equals, "no old_version")
	c.Assert(reason("bad", cluster.Submit{Operation: cluster.PutConfig, Config: configOf(9, "bad"), BaseVersion: version(4)}), qt.Equals, "no invalid_spec")
	c.Assert(reason("torn", cluster.Submit{Operation: cluster.PutConfig, Config: []byte("{"), BaseVersion: version(4)}), qt.Equals, "no invalid_spec")
	change := []byte(`{"ver":6,"more":"changed"}`)
	c.Assert(reason("change", cluster.Submit{Operation: cluster.PatchConfig, Config: change, BaseVersion: version(4)}), qt.Equals, "yes ")
	c.Assert(f.leader().state().Document.ConfigVersion, qt.Equals, uint64(6))
	// The same operation is accepted again, even after a newer one; with another base version it is a different operation.
	f.acknowledge("three", 6, configOf(8, "c"), 2*kernel.Second, f.nodes[5])
	c.Assert(reason("change", cluster.Submit{Operation: cluster.PatchConfig, Config: change, BaseVersion: version(4)}), qt.Equals, "yes ")
	c.Assert(reason("change", cluster.Submit{Operation: cluster.PatchConfig, Config: change, BaseVersion: version(8)}), qt.Equals, "no id_reused")
}

func TestAnOperationSentAgainAtAnotherNodeIsAccepted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 8, firstHaveFolders(4))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		f.nodes[6].submit("two", 1, configOf(2, "b"))
		f.advance(kernel.Micros(f.random.Int64N(int64(60 * ms))))
		// The node that received the operation fails; with even seeds the leader fails too, with the operation in flight.
		f.nodes[6].kill()
		if seed%2 == 0 {
			f.leader().kill()
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[7], f.nodes[5])
		c.Assert(f.nodes[7].state().Document.ConfigVersion, qt.Equals, uint64(2))
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[5])
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[7])
		c.Assert(f.nodes[5].state().Document.ConfigVersion, qt.Equals, uint64(3))
	}
}

func TestAnOperationWithoutAnAcknowledgementIsUnknownAndNotAborted(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 4, 3, 6, firstHaveFolders(3))
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[3])
	f.nodes[1].freeze(3 * kernel.Second)
	f.nodes[2].freeze(3 * kernel.Second)
	f.nodes[3].submit("two", 1, configOf(2, "b"))
	took := f.await("an acknowledgement", kernel.Second, func() bool { _, isThere := f.replies["two"]; return isThere })
	c.Assert(f.replies["two"].Outcome, qt.Equals, cluster.Unknown)
	c.Assert(took < 950*ms, qt.IsTrue, qt.Commentf("%d us", took))
	f.advance(3 * kernel.Second)
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
}

func TestAReadIsNoOlderThanWhatWasAcknowledged(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 8, firstHaveFolders(4))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		old := f.leader()
		// The leader is cut off from the core and does not know it yet. Node 7 can communicate only with this leader.
		for _, n := range f.nodes {
			if n != old && n != f.nodes[7] {
				old.cut[n.identity.Address] = true
				f.nodes[7].cut[n.identity.Address] = true
			}
		}
		f.nodes[7].do(func() []commands.Command { return f.nodes[7].node.Read(f.now, 1) })
		f.advance(4 * kernel.Second)
		c.Assert(f.reads[1], qt.IsNil)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6], f.nodes[5])
		// Once the cuts are healed, the pending read returns the new version too, and so does a new read.
		old.cut, f.nodes[7].cut = map[string]bool{}, map[string]bool{}
		f.nodes[7].do(func() []commands.Command { return f.nodes[7].node.Read(f.now, 2) })
		f.await("both reads", 3*kernel.Second, func() bool { return f.reads[1] != nil && f.reads[2] != nil })
		c.Assert(f.reads[1].ConfigVersion, qt.Equals, uint64(2))
		c.Assert(f.reads[2].ConfigVersion, qt.Equals, uint64(2))
		c.Assert(string(f.reads[2].Config), qt.Equals, string(configOf(2, "b")))
	}
}
