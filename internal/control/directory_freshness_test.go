package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The view of the engines is as old as the request whose answer brought it, and as what the coordinator
// says of itself; an answer of another node, or to no request of this node, shows nothing.
func TestTheViewOfTheEnginesCountsFromTheRequest(t *testing.T) {
	c := qt.New(t)
	d := newDirectoryFreshness()
	d.request(10*kernel.Second, 1, "coordinator")
	d.takeAnswer("another", 1, wire.Freshness{IsFresh: true})
	d.takeAnswer("coordinator", 2, wire.Freshness{IsFresh: true})
	d.takeAnswer("coordinator", 1, wire.Freshness{})
	d.takeGrant("self", 1)
	c.Assert(d.freshAt, qt.Equals, kernel.Micros(0))
	d.takeAnswer("coordinator", 1, wire.Freshness{IsFresh: true, Age: 300 * ms})
	c.Assert(d.freshAt, qt.Equals, 9700*ms)
	// An earlier one that comes later changes nothing.
	d.request(9*kernel.Second, 3, "coordinator")
	d.takeAnswer("coordinator", 3, wire.Freshness{IsFresh: true})
	c.Assert(d.freshAt, qt.Equals, 9700*ms)
	// The coordinator itself goes by the leader's answer.
	d.request(20*kernel.Second, 4, "self")
	d.takeGrant("self", 4)
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
	f.pass(3 * kernel.Second)
	oldest := func(among func(*fleetNode) bool) kernel.Micros {
		age := kernel.Micros(0)
		for range 200 {
			f.pass(20 * ms)
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
	f.pass(5 * kernel.Second)
	c.Assert(f.now-late.node.DirectoryFreshAt() >= 4*kernel.Second, qt.IsTrue)
	others := oldest(func(n *fleetNode) bool { return n != late && n.identity.Zone != late.identity.Zone })
	c.Assert(others < 1500*ms, qt.IsTrue, qt.Commentf("%d ms", others/ms))
	t.Logf("at most %d ms without a fault, %d ms beside a late node", all/ms, others/ms)
}
