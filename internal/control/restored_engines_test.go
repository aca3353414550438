package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// isUsable tells whether a node would have its router send requests to an engine.
func (n *fleetNode) isUsable(id string) bool {
	for _, engine := range n.state().Engines {
		if engine.ID == id {
			return engine.Address != "" && !engine.IsDraining && !engine.IsUnresponsive && !engine.IsUnlisted
		}
	}
	return false
}

// countUsable counts the running nodes that would use an engine.
func (f *fleet) countUsable(id string) int {
	count := 0
	for _, n := range f.nodes {
		if n.isUp && n.isUsable(id) {
			count++
		}
	}
	return count
}

// contactSpan is the time after which nodes count as in touch again.
const contactSpan = 3 * kernel.Second

// Every process ends right after an engine's end was confirmed, before any disk has heard of it. What the
// disks hold shows the engine as up, and by the time at which the nodes are in touch again none may use it.
func TestAConfirmedEndOutlivesAStopOfTheEntireFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		f.operateEngine("2", "z2", f.now+60*kernel.Second)
		f.register(f.nodes[4], 1, engineAt("e", "z1", 1))
		f.advance(2 * kernel.Second)
		c.Assert(f.countUsable("e"), qt.Equals, len(f.nodes))
		ending := drainingEngine(2)
		if seed%2 == 1 {
			ending = registry.EngineRecord{ID: "e", IsUnlisted: true, IsDraining: true}
		}
		f.register(f.nodes[int(seed)%len(f.nodes)], 2, ending)
		f.await("the answer", 900*ms, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.IsNil)
		for _, n := range f.nodes {
			n.kill()
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

// After a whole stop the engines that the disks name are used at once, and those that go on beating stay.
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

// An engine's first word may come late, when its address is another engine's already. That other one
// beats on, and a guess by its address must not end it.
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
	// The earlier one says nothing more, and is found gone.
	f.advance(8 * kernel.Second)
	c.Assert(f.countUsable("earlier"), qt.Equals, 0)
	c.Assert(f.countUsable("1"), qt.Equals, len(f.nodes))
}
