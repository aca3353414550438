package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The directory is as fresh as the time at which the answered request was sent. Some answers do not advance this time:
// those from a node other than the one that was queried, those to an unknown request, and those from a coordinator that
// has been out of contact with the leader for too long.
func TestDirectoryFreshnessCountsFromTheRequest(t *testing.T) {
	c := qt.New(t)
	d := newDirectoryFreshness(2 * kernel.Second)
	answer := func(from string, seq uint64, freshness wire.Freshness) {
		d.recordAnswer(0, from, &wire.LeaseGrant{RequestSeq: seq, Freshness: freshness, Update: &registry.DirectoryUpdate{}})
	}
	inContact, outOfContact := wire.Freshness{IsFresh: true, Age: 300 * ms}, wire.Freshness{IsFresh: true, Age: 2 * kernel.Second}
	d.recordRequest(10*kernel.Second, 1, "coordinator")
	answer("another", 1, inContact)
	answer("coordinator", 2, inContact)
	d.recordGrant(0, "self", 1, inContact)
	c.Assert(d.freshAt, qt.Equals, kernel.Micros(0))
	answer("coordinator", 1, inContact)
	c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	// An answer that arrives later but belongs to an earlier request changes nothing.
	d.recordRequest(9*kernel.Second, 3, "coordinator")
	answer("coordinator", 3, inContact)
	c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	for seq, freshness := range []wire.Freshness{outOfContact, {}} {
		d.recordRequest(15*kernel.Second, uint64(20+seq), "coordinator")
		answer("coordinator", uint64(20+seq), freshness)
		c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	}
	// The node is now the coordinator itself, so the leader's grant counts as the answer.
	d.recordRequest(20*kernel.Second, 4, "self")
	d.recordGrant(0, "self", 4, inContact)
	c.Assert(d.freshAt, qt.Equals, 20*kernel.Second)
	// Requests that are never answered are dropped after their lifetime.
	d.recordRequest(60*kernel.Second, 5, "coordinator")
	c.Assert(d.requests, qt.HasLen, 1)
}

// Without a fault every node's view is at most about one second old. Behind a late coordinator, or on a late node, it
// is older by that lag.
func TestDirectoryAgeShowsLateNodes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newStableFleet(c, 5, 3, 12, firstHaveFolders(3))
	f.advance(3 * kernel.Second)
	oldest := func(among func(*fleetNode) bool) kernel.Micros {
		age := kernel.Micros(0)
		for range 200 {
			f.advance(20 * ms)
			for _, n := range f.nodes {
				if among(n) {
					age = max(age, f.now-n.node.DirectoryFreshAt())
				}
			}
		}
		return age
	}
	all := oldest(func(*fleetNode) bool { return true })
	c.Assert(all < 1500*ms, qt.IsTrue, qt.Commentf("%d ms", all/ms))
	late := f.nodes[11]
	late.lag = 4 * kernel.Second
	f.advance(5 * kernel.Second)
	c.Assert(f.now-late.node.DirectoryFreshAt() >= 4*kernel.Second, qt.IsTrue)
	others := oldest(func(n *fleetNode) bool { return n != late && n.identity.Zone != late.identity.Zone })
	c.Assert(others < 1500*ms, qt.IsTrue, qt.Commentf("%d ms", others/ms))
	t.Logf("maximum age %d ms without a fault, %d ms with a late node in another zone", all/ms, others/ms)
}

// countStaleViews counts, over all samples within a duration, the nodes whose view of the engines was too old to
// route requests by.
func (f *fleet) countStaleViews(span kernel.Micros, among func(*fleetNode) bool) (count int) {
	for end := f.now + span; f.now < end; {
		f.advance(20 * ms)
		for _, n := range f.nodes {
			if n.isUp && !n.isFrozen && among(n) && !n.trustsEngines() {
				count++
			}
		}
	}
	return count
}

// Routers keep using their view of the engines without a fault, during a change of leader, without a leader, and on a
// node that is disconnected.
func TestOnlyALateViewOfTheEnginesIsNotTrusted(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(f *fleet){
		"no fault":          func(*fleet) {},
		"the leader killed": func(f *fleet) { f.leader().kill() },
		"the leader frozen": func(f *fleet) { f.leader().freeze(4 * kernel.Second) },
		"no core": func(f *fleet) {
			for _, n := range f.nodes[:3] {
				n.kill()
			}
		},
		"a router partitioned":      func(f *fleet) { f.nodes[10].cutFrom(bothWays, f.nodes...) },
		"a router receives nothing": func(f *fleet) { f.nodes[10].cutFrom(inward, f.nodes...) },
		"a coordinator killed": func(f *fleet) {
			coordinator, _ := f.lateNodes("z2")
			coordinator.kill()
		},
		"a coordinator partitioned": func(f *fleet) {
			coordinator, _ := f.lateNodes("z2")
			coordinator.cutFrom(bothWays, f.nodes...)
		},
	} {
		count := 0
		for seed := range uint64(8) {
			c := qt.New(t)
			f := newFleet(c, seed, 3, 12, firstHaveFolders(3))
			f.adapt = func(settings *NodeSettings) {
				deploymentSettings(settings)
				settings.DrainTimeout = 2 * kernel.Second
			}
			f.bootAll(500 * ms)
			f.awaitStable(6 * kernel.Second)
			f.advance(3 * kernel.Second)
			fault(f)
			count += f.countStaleViews(10*kernel.Second, func(*fleetNode) bool { return true })
		}
		qt.Check(t, count, qt.Equals, 0, qt.Commentf("%s: %d samples", name, count))
		t.Logf("%s: %d of %d samples", name, count, 8*500*12)
	}
}

// The nodes of a zone with a late coordinator query another zone's coordinator and keep using their view.
func TestNodesBehindALateCoordinatorAskAnother(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newDeployedFleet(c, seed)
		coordinator, _ := f.lateNodes("z3")
		coordinator.lag = 8 * kernel.Second
		isBehind := func(n *fleetNode) bool { return n != coordinator }
		count := f.countStaleViews(20*kernel.Second, isBehind)
		c.Check(count, qt.Equals, 0, qt.Commentf("seed %d: %d samples", seed, count))
		// Each of the zone's three other nodes pauses for at least 250 ms between two requests to other coordinators.
		before := f.sentMessages["Ask"]
		f.advance(4 * kernel.Second)
		t.Logf("seed %d: %d samples, %d lease requests in 4 s", seed, count, f.sentMessages["Ask"]-before)
	}
}
