package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// unconfiguredSpan is several times as long as any first start takes.
const unconfiguredSpan = 12 * kernel.Second

// unconfiguredStart starts three seeds and two routers with empty disks, none of which has the bootstrap setting. That
// happens if a deployment removes the setting before any process has read it.
func unconfiguredStart(c *qt.C, seed uint64) *fleet {
	f := newFleet(c, seed, 3, 5, firstHaveFolders(3))
	for _, n := range f.nodes {
		n.bootstrap = false
	}
	f.bootAll(300 * ms)
	f.advance(unconfiguredSpan)
	return f
}

// No process has the bootstrap setting, so no cluster is bootstrapped. The next test shows why no other rule is safe.
func TestNodesWithoutTheBootstrapSettingBootstrapNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		f := unconfiguredStart(qt.New(t), seed)
		f.c.Assert(f.bootstrapped, qt.HasLen, 0)
	}
}

// The core of a running fleet has moved away from the seeds: they failed one after another, and each was replaced
// before the next one failed. Then the three seeds and two routers restart with empty disks, cut off from the rest.
// These five nodes know and receive the same as the five of unconfiguredStart, so a bootstrap among them would create a
// second cluster.
func TestFiveEmptyProcessesMayBeThoseOfARunningFleet(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 9, firstHaveFolders(6))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		for _, n := range f.nodes[:3] {
			n.kill()
			f.advance(4 * kernel.Second) // it is replaced after 2.5 s without contact
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
		f.advance(unconfiguredSpan)
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
		// Once the cuts are healed, they join the existing cluster, and no acknowledged configuration is lost.
		for _, n := range f.nodes {
			n.cut = map[string]bool{}
		}
		f.advance(4 * kernel.Second)
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[8])
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

// It is enough that one process, with or without a folder, has the bootstrap setting.
func TestOneProcessWithTheBootstrapSettingIsEnough(t *testing.T) {
	t.Parallel()
	for _, configured := range []struct {
		name string
		node int
	}{{"a router", 4}, {"a seed", 1}} {
		t.Run(configured.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				f := unconfiguredStart(qt.New(t), seed)
				node := f.nodes[configured.node]
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
