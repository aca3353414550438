package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

func TestSeedsWithoutADiskBootstrapOnce(t *testing.T) {
	for seed := range uint64(8) {
		c := qt.New(t)
		// The three seeds have no folder; four others have.
		f := newFleet(c, seed, 4, 12, func(i int) bool { return i >= 4 && i < 8 })
		f.bootAll(kernel.Second)
		took := f.stabilized(6 * kernel.Second)
		c.Logf("seed %d: settled after %d ms", seed, took/ms)
		c.Assert(f.bootstrapped, qt.HasLen, 1)
		f.votersAre(3*kernel.Second, f.nodes[4:8]...)
		c.Assert(f.nodes[0].node.core, qt.IsNil)
	}
}

func TestADeciderThatRestartsBootstrapsNoSecondFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 9, func(i int) bool { return i >= 3 && i < 7 })
		f.bootAll(200 * ms)
		// At any moment of the founding, the decider forgets, and half of the founders can't be reached for a while.
		f.pass(400*ms + kernel.Micros(f.random.Int64N(int64(800*ms))))
		f.nodes[0].kill()
		for _, n := range f.nodes[3:5] {
			f.nodes[0].cut[n.identity.Address] = true
		}
		f.pass(50 * ms)
		f.nodes[0].boot()
		f.pass(3 * kernel.Second)
		f.nodes[0].cut = map[string]bool{}
		f.pass(3 * kernel.Second)
		c.Assert(len(f.bootstrapped) <= 1, qt.IsTrue, qt.Commentf("seed %d: %v", seed, f.bootstrapped))
	}
}

func TestAnEmptiedFleetThatIsNoFirstStartBootstrapsNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 3, 6, firstHaveFolders(4))
	for _, n := range f.nodes {
		n.bootstrap = false
	}
	f.bootAll(kernel.Second)
	f.pass(10 * kernel.Second)
	c.Assert(f.bootstrapped, qt.HasLen, 0)
}

func TestAWipedVoterIsSwappedFast(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.votersAre(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
		for turn := range 4 {
			lost := f.nodes[turn]
			lost.wipe()
			f.pass(500 * ms)
			lost.boot()
			took := f.votersAre(3500*ms, f.nodes[:4]...)
			c.Logf("seed %d: swapped after %d ms", seed, took/ms)
			// No two at once, but one every four seconds.
			f.pass(4*kernel.Second - took)
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6])
	}
}

func TestFourVotersBearOneWipedAndThenAnotherLost(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.votersAre(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		f.nodes[1].wipe()
		f.pass(300 * ms)
		f.nodes[1].boot()
		f.pass(4 * kernel.Second)
		f.nodes[2].kill()
		f.pass(ms)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		// All that is left loses power; what was acknowledged is still there.
		f.pass(200 * ms)
		for _, n := range f.nodes {
			if n.isUp {
				n.kill()
			}
		}
		f.nodes[2].wipe()
		for _, n := range f.nodes {
			n.bootstrap = false
		}
		f.bootAll(500 * ms)
		f.await("the acknowledged version at all", 6*kernel.Second, func() bool {
			for _, n := range f.nodes {
				if document := n.inForce(); document == nil || document.ConfigVersion != 2 {
					return false
				}
			}
			return true
		})
	}
}

func TestALostVoterIsReplacedByALearnerInAnotherZone(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 3, 9, func(i int) bool { return i < 3 || i == 8 })
	f.nodes[8].identity.Zone = "z1"
	f.nodes[8].hasFolder = false
	f.bootAll(500 * ms)
	f.stabilized(6 * kernel.Second)
	f.votersAre(3*kernel.Second, f.nodes[:3]...)
	f.nodes[0].kill()
	f.pass(kernel.Second)
	// An empty machine at a new address.
	fresh := f.nodes[8]
	fresh.kill()
	fresh.hasFolder, fresh.bootstrap = true, false
	fresh.boot()
	took := f.votersAre(4*kernel.Second, f.nodes[1], f.nodes[2], fresh)
	c.Logf("replaced %d ms after its start", took/ms)
}

func TestWantedVoters(t *testing.T) {
	c := qt.New(t)
	members := func(zones ...int) []cluster.Member {
		found := []cluster.Member{}
		for zone, count := range zones {
			for i := range count {
				found = append(found, cluster.Member{ID: cluster.MemberID(fmt.Sprint(zone, i)), Address: fmt.Sprint(zone, i), Zone: fmt.Sprint("z", zone)})
			}
		}
		return found
	}
	for _, example := range []struct {
		least  int
		zones  []int
		wanted int
	}{
		{3, []int{1, 1, 1}, 3}, {3, []int{1, 1, 1, 1}, 4}, {3, []int{2, 1, 1}, 3}, {3, []int{2, 2, 1}, 5}, {3, []int{2, 2, 2}, 5},
		{5, []int{1, 1, 1}, 5}, {3, []int{3, 3}, 5}, {3, []int{4}, 4}, {3, []int{1}, 3}, {3, nil, 3}, {7, []int{3, 3, 3}, 7},
	} {
		c.Check(wantedVoters(example.least, members(example.zones...)), qt.Equals, example.wanted, qt.Commentf("%+v", example))
	}
	chosen := chooseVoters(members(3, 1, 1), 3)
	c.Assert([]string{chosen[0].Zone, chosen[1].Zone, chosen[2].Zone}, qt.DeepEquals, []string{"z0", "z1", "z2"})
}

func TestServingCountsLivingRouters(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 12, 3, 9, firstHaveFolders(3))
	f.pass(3 * kernel.Second)
	for _, n := range f.nodes {
		c.Assert(n.state().ServingRouters, qt.Equals, 9)
	}
	f.nodes[7].kill()
	f.nodes[8].kill()
	f.pass(6 * kernel.Second)
	for _, n := range f.nodes[:7] {
		c.Assert(n.state().ServingRouters, qt.Equals, 7)
	}
}

func TestNothingIsAttestedWhereRoutersServeWithoutTheCore(t *testing.T) {
	c := qt.New(t)
	f := newStableFleet(c, 13, 3, 9, firstHaveFolders(3))
	for _, n := range f.nodes[:3] {
		n.kill()
	}
	f.crossed = map[string]int{}
	f.pass(20 * kernel.Second)
	c.Assert(f.crossed["Attest"], qt.Equals, 0)
	for _, n := range f.nodes[3:] {
		c.Assert(n.state().Until, qt.Equals, cluster.ServeWithoutLimit)
		c.Assert(n.state().LapseReason, qt.Equals, "")
	}
}

func TestAFiniteServeOnReachesBeyondTheLease(t *testing.T) {
	c := qt.New(t)
	l := serving.NewLease(serving.LeaseSettings{Self: "r", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}, ServeExtension: 5 * kernel.Second})
	seq := l.NewRequest(kernel.Second)
	l.HandleGrant(kernel.Second+100, &wire.LeaseGrant{Seq: seq, Revision: 1, Document: document(1, 1)})
	c.Assert(l.ExpiresAt(), qt.Equals, 6*kernel.Second)
	c.Assert(l.Apply(document(2, 1)), qt.IsFalse)
}

// Nodes that forgot each other in a cut know each other again after it, though each home
// believes that the others still have the rest of what it tells briefly.
func TestNodesKnowEachOtherAgainAfterACutInWhichTheyWereDropped(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 9, firstHaveFolders(3))
		areAllKnown := func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return len(n.node.State(nil).Nodes) < len(f.nodes) })
		}
		f.await("all nodes known", 20*kernel.Second, areAllKnown)
		for _, inside := range f.nodes {
			for _, outside := range f.nodes {
				if inside.identity.Zone == "z3" && outside.identity.Zone != "z3" {
					inside.cut[outside.identity.Address] = true
				}
			}
		}
		f.pass(2 * cluster.SparseTiming().NodeExpiryTimeout)
		c.Assert(areAllKnown(), qt.IsFalse)
		for _, n := range f.nodes {
			n.cut = map[string]bool{}
		}
		f.await("all nodes known again", 2*cluster.SparseTiming().NodeExpiryTimeout, areAllKnown)
	}
}
