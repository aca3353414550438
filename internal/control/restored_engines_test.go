package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// isUsable reports whether a node's router may send requests to an engine.
func (n *fleetNode) isUsable(id string) bool {
	for _, engine := range n.state().Engines {
		if engine.ID == id {
			return engine.Address != "" && !engine.IsDraining && !engine.IsUnresponsive && !engine.IsUnlisted
		}
	}
	return false
}

// countUsable returns the number of running nodes whose routers may use an engine.
func (f *fleet) countUsable(id string) int {
	count := 0
	for _, n := range f.nodes {
		if n.isUp && n.isUsable(id) {
			count++
		}
	}
	return count
}

// contactSpan is the time after which restarted nodes count as in contact again.
const contactSpan = 3 * kernel.Second

// All processes are killed right after an engine's end was confirmed. The snapshots still list the engine as up, but once
// the nodes are in contact again, none of them may use it. With odd seeds no end is on any disk, as if an earlier build had
// confirmed it.
func TestAConfirmedEndOutlivesAStopOfTheEntireFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		f.operateEngine("2", "z2", f.now+60*kernel.Second)
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.advance(2 * kernel.Second)
		c.Assert(f.countUsable("e"), qt.Equals, len(f.nodes))
		ending := drainingEngine(2)
		if seed%4 >= 2 {
			ending = registry.EngineRecord{ID: "e", IsUnlisted: true, IsDraining: true}
		}
		f.register(f.nodes[int(seed)%len(f.nodes)], 2, ending)
		f.await("the reply to the registration", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil)
		for _, n := range f.nodes {
			n.kill()
			if seed%2 == 1 {
				n.ends = nil
			}
		}
		f.advance(kernel.Second)
		f.bootAll(100 * ms)
		f.advance(contactSpan)
		for range 60 {
			c.Assert(f.countUsable("e"), qt.Equals, 0, qt.Commentf("seed %d", seed))
			f.advance(100 * ms)
		}
		c.Assert(f.countUsable("2"), qt.Equals, len(f.nodes), qt.Commentf("seed %d", seed))
	}
}

// After a restart of the whole fleet, the engines on the disks are used at once, and those that send heartbeats stay
// usable.
func TestEnginesOnTheDisksServeAtOnceAfterACompleteStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 3)
	f.operateEngine("1", "z1", f.now+60*kernel.Second)
	f.operateEngine("2", "z2", f.now+60*kernel.Second)
	f.advance(3 * kernel.Second)
	for _, n := range f.nodes {
		n.kill()
	}
	f.advance(kernel.Second)
	for _, n := range f.nodes {
		n.boot()
	}
	for _, n := range f.nodes {
		if n.hasFolder {
			c.Check(n.isUsable("1") && n.isUsable("2"), qt.IsTrue)
		}
	}
	f.advance(1500 * ms)
	for range 80 {
		for _, id := range []string{"1", "2"} {
			c.Assert(f.countUsable(id), qt.Equals, len(f.nodes), qt.Commentf("engine %s", id))
		}
		f.advance(100 * ms)
	}
}

// The first announcement of an engine may arrive late, when another engine already has its address. That engine still
// sends heartbeats, and the late announcement must not end it because of its address.
func TestALateFirstAnnouncementDoesNotEndTheNextEngineAtItsAddress(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 4)
	f.operateEngine("1", "z1", f.now+60*kernel.Second)
	f.advance(2 * kernel.Second)
	c.Assert(f.countUsable("1"), qt.Equals, len(f.nodes))
	late := engineAt("earlier", "z1", 1)
	late.Address = f.nodes[0].engine("1").Address
	f.register(f.nodes[6], 900, late)
	f.advance(2 * kernel.Second)
	c.Assert(f.countUsable("1"), qt.Equals, len(f.nodes))
	// The earlier engine sends nothing more, and is found to be gone.
	f.advance(8 * kernel.Second)
	c.Assert(f.countUsable("earlier"), qt.Equals, 0)
	c.Assert(f.countUsable("1"), qt.Equals, len(f.nodes))
}
