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
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		// The three seeds have no folder; four other nodes have one.
		f := newFleet(c, seed, 4, 12, func(i int) bool { return i >= 4 && i < 8 })
		f.bootAll(kernel.Second)
		took := f.awaitStable(6 * kernel.Second)
		c.Logf("seed %d: stable after %d ms", seed, took/ms)
		c.Assert(f.bootstrapped, qt.HasLen, 1)
		f.awaitVoters(3*kernel.Second, f.nodes[4:8]...)
		c.Assert(f.nodes[0].node.core, qt.IsNil)
	}
}

func TestASeedThatRestartsBootstrapsNoSecondFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		c := qt.New(t)
		f := newFleet(c, seed, 3, 9, func(i int) bool { return i >= 3 && i < 7 })
		f.bootAll(200 * ms)
		// At a random moment of the bootstrap, one seed restarts without its state and can't reach half of the members
		// for a while.
		f.advance(400*ms + kernel.Micros(f.random.Int64N(int64(800*ms))))
		f.nodes[0].kill()
		for _, n := range f.nodes[3:5] {
			f.nodes[0].cut[n.identity.Address] = true
		}
		f.advance(50 * ms)
		f.nodes[0].boot()
		f.advance(3 * kernel.Second)
		f.nodes[0].cut = map[string]bool{}
		f.advance(3 * kernel.Second)
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
	f.advance(10 * kernel.Second)
	c.Assert(f.bootstrapped, qt.HasLen, 0)
}

func TestAWipedVoterIsReplacedFast(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.awaitVoters(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
		for turn := range 4 {
			lost := f.nodes[turn]
			lost.wipe()
			f.advance(500 * ms)
			lost.boot()
			took := f.awaitVoters(3500*ms, f.nodes[:4]...)
			c.Logf("seed %d: replaced after %d ms", seed, took/ms)
			// One voter is wiped every four seconds, never two at the same time.
			f.advance(4*kernel.Second - took)
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6])
	}
}

func TestFourVotersTolerateOneWipedAndThenAnotherLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 8, firstHaveFolders(4))
		f.awaitVoters(3*kernel.Second, f.nodes[:4]...)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		f.nodes[1].wipe()
		f.advance(300 * ms)
		f.nodes[1].boot()
		f.advance(4 * kernel.Second)
		f.nodes[2].kill()
		f.advance(ms)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		// All remaining nodes lose power; the acknowledged configuration has to survive.
		f.advance(200 * ms)
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
		f.await("the acknowledged version at all nodes", 6*kernel.Second, func() bool {
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
	f.awaitStable(6 * kernel.Second)
	f.awaitVoters(3*kernel.Second, f.nodes[:3]...)
	f.nodes[0].kill()
	f.advance(kernel.Second)
	// An empty machine joins at a new address.
	fresh := f.nodes[8]
	fresh.kill()
	fresh.hasFolder, fresh.bootstrap = true, false
	fresh.boot()
	took := f.awaitVoters(4*kernel.Second, f.nodes[1], f.nodes[2], fresh)
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
	f.advance(3 * kernel.Second)
	for _, n := range f.nodes {
		c.Assert(n.state().ServingRouters, qt.Equals, 9)
	}
	f.nodes[7].kill()
	f.nodes[8].kill()
	f.advance(6 * kernel.Second)
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
	f.sentMessages = map[string]int{}
	f.advance(20 * kernel.Second)
	c.Assert(f.sentMessages["Attest"], qt.Equals, 0)
	for _, n := range f.nodes[3:] {
		c.Assert(n.state().LeaseExpiresAt, qt.Equals, cluster.ServeWithoutLimit)
		c.Assert(n.state().LapseReason, qt.Equals, "")
	}
}

func TestAFiniteServeExtensionReachesBeyondTheLease(t *testing.T) {
	c := qt.New(t)
	l := serving.NewLease(serving.LeaseSettings{Self: "r", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}, ServeExtension: 5 * kernel.Second})
	seq := l.NewRequest(kernel.Second)
	l.HandleGrant(kernel.Second+100, &wire.LeaseGrant{Seq: seq, Revision: 1, Document: document(1, 1)})
	c.Assert(l.ExpiresAt(), qt.Equals, 6*kernel.Second)
	c.Assert(l.Apply(document(2, 1)), qt.IsFalse)
}

// The nodes on the two sides of a long cut drop each other's records, and learn of each other again after the cut. The
// coordinators send each other only records that changed, and each of them assumes that the others still have all other
// records.
func TestNodesKnowEachOtherAgainAfterACutInWhichTheyWereDropped(t *testing.T) {
	t.Parallel()
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
		f.advance(2 * cluster.SparseTiming().NodeExpiryTimeout)
		c.Assert(areAllKnown(), qt.IsFalse)
		for _, n := range f.nodes {
			n.cut = map[string]bool{}
		}
		f.await("all nodes known again", 2*cluster.SparseTiming().NodeExpiryTimeout, areAllKnown)
	}
}
