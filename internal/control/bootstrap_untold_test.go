package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// untoldSpan is several times what any first start takes.
const untoldSpan = 12 * kernel.Second

// untoldStart starts three seeds and two routers, all empty, none of which is told of a first start: their settings were
// written anew before any of them had read them.
func untoldStart(c *qt.C, seed uint64) *fleet {
	f := newFleet(c, seed, 3, 5, firstHaveFolders(3))
	for _, n := range f.nodes {
		n.bootstrap = false
	}
	f.bootAll(300 * ms)
	f.pass(untoldSpan)
	return f
}

// Nobody bootstraps a fleet of whose first start no process is told. See the next test for why no rule can.
func TestAFirstStartOfWhichNobodyIsToldBootstrapsNothing(t *testing.T) {
	for seed := range uint64(4) {
		f := untoldStart(qt.New(t), seed)
		f.c.Assert(f.bootstrapped, qt.HasLen, 0)
	}
}

// The counterpart of untoldStart: a fleet whose core moved away from the seeds, one tolerated loss after the other, each
// repaired before the next. Then the three seeds and two routers, all empty and restarted, are cut off from the rest. What
// these five know, and what they can hear, is what the five of untoldStart know and hear; a bootstrap here is a second fleet.
func TestFiveEmptyProcessesMayBeThoseOfARunningFleet(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 9, firstHaveFolders(6))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		for _, n := range f.nodes[:3] {
			n.kill()
			f.pass(4 * kernel.Second) // silent for 2.5 s, and replaced
		}
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[6])
		restarted := append(append([]*fleetNode{}, f.nodes[:3]...), f.nodes[7:]...)
		for _, n := range restarted {
			n.wipe()
			for _, other := range f.nodes[3:7] {
				n.cut[other.identity.Address], other.cut[n.identity.Address] = true, true
			}
			n.restart()
		}
		f.pass(untoldSpan)
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
		// Healed, they are members of the fleet that there is, and nothing is forgotten.
		for _, n := range f.nodes {
			n.cut = map[string]bool{}
		}
		f.pass(4 * kernel.Second)
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[8])
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

// What would have to be told, and to whom: to one process, with or without a folder, that this is the first start.
func TestOneProcessThatIsToldOfTheFirstStartIsEnough(t *testing.T) {
	for _, told := range []struct {
		name string
		node int
	}{{"a router", 4}, {"a seed", 1}} {
		t.Run(told.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := untoldStart(qt.New(t), seed)
				node := f.nodes[told.node]
				node.kill()
				node.bootstrap = true
				node.boot()
				f.await("a bootstrap", recoveryTimeout, f.isServing)
				f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[3])
				f.c.Assert(f.bootstrapped, qt.HasLen, 1)
			}
		})
	}
}
