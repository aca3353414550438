package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The view of the engines is as old as the request whose answer brought it; an answer of another node, to no request
// of this node, or of a coordinator that has heard of no leader for too long, shows nothing.
func TestTheViewOfTheEnginesCountsFromTheRequest(t *testing.T) {
	c := qt.New(t)
	d := newDirectoryFreshness(2 * kernel.Second)
	answer := func(from string, seq uint64, freshness wire.Freshness) {
		d.takeAnswer(0, from, &wire.LeaseGrant{RequestSeq: seq, Freshness: freshness, Update: &registry.DirectoryUpdate{}})
	}
	heard, unheard := wire.Freshness{IsFresh: true, Age: 300 * ms}, wire.Freshness{IsFresh: true, Age: 2 * kernel.Second}
	d.request(10*kernel.Second, 1, "coordinator")
	answer("another", 1, heard)
	answer("coordinator", 2, heard)
	d.takeGrant(0, "self", 1, heard)
	c.Assert(d.freshAt, qt.Equals, kernel.Micros(0))
	answer("coordinator", 1, heard)
	c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	// An earlier one that comes later changes nothing.
	d.request(9*kernel.Second, 3, "coordinator")
	answer("coordinator", 3, heard)
	c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	for seq, freshness := range []wire.Freshness{unheard, {}} {
		d.request(15*kernel.Second, uint64(20+seq), "coordinator")
		answer("coordinator", uint64(20+seq), freshness)
		c.Assert(d.freshAt, qt.Equals, 10*kernel.Second)
	}
	// The coordinator itself goes by the leader's answer.
	d.request(20*kernel.Second, 4, "self")
	d.takeGrant(0, "self", 4, heard)
	c.Assert(d.freshAt, qt.Equals, 20*kernel.Second)
	// What is never answered is forgotten.
	d.request(60*kernel.Second, 5, "coordinator")
	c.Assert(d.requests, qt.HasLen, 1)
}

// Without a fault the view is at most about a second old at every node; behind a coordinator that is late, or
// at a node that is late itself, it is older by that.
func TestTheAgeOfTheViewShowsWhoIsLate(t *testing.T) {
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
	t.Logf("at most %d ms without a fault, %d ms beside a late node", all/ms, others/ms)
}

// mistrust gives at how many looks of a span a node's view of the engines was too old to send requests by.
func (f *fleet) mistrust(span kernel.Micros, among func(*fleetNode) bool) (count int) {
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

// Routers go on where they always did: without a fault, through a change of leader, in a fleet without a leader, and
// at a node that is cut off.
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
		"a router cut off":    func(f *fleet) { f.nodes[10].cutFrom(bothWays, f.nodes...) },
		"a router hears none": func(f *fleet) { f.nodes[10].cutFrom(inward, f.nodes...) },
		"a coordinator killed": func(f *fleet) {
			coordinator, _ := f.lateNodes("z2")
			coordinator.kill()
		},
		"a coordinator cut off": func(f *fleet) {
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
			count += f.mistrust(10*kernel.Second, func(*fleetNode) bool { return true })
		}
		qt.Check(t, count, qt.Equals, 0, qt.Commentf("%s: %d looks", name, count))
		t.Logf("%s: %d looks of %d", name, count, 8*500*12)
	}
}

// Behind a coordinator that is late the nodes of its zone ask another one, and go on.
func TestNodesBehindALateCoordinatorAskAnother(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newDeployedFleet(c, seed)
		coordinator, _ := f.lateNodes("z3")
		coordinator.lag = 8 * kernel.Second
		isBehind := func(n *fleetNode) bool { return n != coordinator }
		count := f.mistrust(20*kernel.Second, isBehind)
		c.Check(count, qt.Equals, 0, qt.Commentf("seed %d: %d looks", seed, count))
		// The pause between two of the requests is at least 250 ms, of each of three nodes.
		before := f.sentMessages["Ask"]
		f.advance(4 * kernel.Second)
		t.Logf("seed %d: %d looks, %d lease requests in 4 s", seed, count, f.sentMessages["Ask"]-before)
	}
}
