package control

import (
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// A home that is cut off from the core, together with another node that knows as little, does not
// judge the engines of its zone by their silence: they beat at the other side of the cut.
func TestAnIsolatedHomeCallsNoEngineDark(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		c := qt.New(t)
		f := newFleet(c, seed, 5, 9, firstHaveFolders(4))
		f.bootAll(300 * ms)
		f.settled(8 * kernel.Second)
		f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[5])
		home, other := f.nodes[4], f.nodes[5]
		c.Assert(home.node.isHome(), qt.IsTrue)
		f.register(f.nodes[1], 1, engineAt("e", home.identity.Zone, 1))
		f.pass(2 * kernel.Second)
		far := []*fleetNode{}
		for _, n := range f.nodes {
			if n != home && n != other {
				far = append(far, n)
			}
		}
		home.cutFrom(bothWays, far...)
		other.cutFrom(bothWays, far...)
		for beat := range uint64(10) {
			f.register(f.nodes[1], 2+beat, engineAt("e", home.identity.Zone, 2+beat))
			f.pass(kernel.Second)
			for _, n := range f.nodes {
				engine, isThere := n.node.directory.engines.Get("e")
				c.Assert(isThere, qt.IsTrue)
				c.Assert(engine.IsDark, qt.IsFalse, qt.Commentf("seed %d, at %s after %d s", seed, n.identity.Address, beat+1))
			}
		}
	}
}

// beatingEngine beats where the answer to its last beat named a node.
type beatingEngine struct {
	*fleet
	zone  string
	at    *fleetNode
	beats uint64
}

func (e *beatingEngine) beat() {
	e.beats++
	e.register(e.at, e.beats, engineAt("e", e.zone, e.beats))
	for _, n := range e.nodes {
		if n.identity.Public == e.answers[e.beats].BeatTo {
			e.at = n
		}
	}
}

// The same holds for a home that is cut off from the core alone: nodes that it still reaches tell
// it who leads, which is no word of the leader.
func TestAHomeCutOffFromTheCoreCallsNoEngineDark(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		c := qt.New(t)
		f := newFleet(c, 1, 5, 10, firstHaveFolders(4))
		f.bootAll(300 * ms)
		f.settled(8 * kernel.Second)
		f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[5])
		home := f.nodes[4]
		if !home.node.isHome() {
			home = f.byAddress(home.node.home())
		}
		zone := home.identity.Zone
		engine := &beatingEngine{fleet: f, zone: zone, at: f.nodes[1]}
		engine.beat()
		f.pass(2 * kernel.Second)
		engine.beat()
		home.cutFrom(way, f.nodes[:4]...)
		dark := 0
		for range 10 {
			engine.beat()
			f.pass(kernel.Second)
			for _, n := range f.nodes {
				if n.engine("e").IsDark {
					dark++
				}
			}
		}
		c.Check(dark, qt.Equals, 0, qt.Commentf("%v: %d looks of %d", way, dark, 10*len(f.nodes)))
	}
}
