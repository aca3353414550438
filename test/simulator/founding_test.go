package simulator

import (
	"fmt"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

func announcedWorld(seed uint64, disks int) *World {
	options := defaultOptions()
	options.Kinds, options.Pools, options.AnnouncedFounders = runCallKinds, 6, true
	return newWorld(seed, 4, 8, disks, 6, options)
}

// loseDiskAtStart takes a machine's power at a moment of the first start, with or without its
// disk, and brings it back only when all others serve.
func loseDiskAtStart(c *qt.C, w *World, lost *machine, at kernel.Micros, isWiped bool) {
	w.Run(at)
	lost.halt()
	if isWiped {
		lost.disk.files = map[string][]byte{}
	}
	w.await(c, "a founding without the lost one", 4*sec, func() bool { return w.newest() != nil })
	w.operator.putConfig(nil)
	w.await(c, "all others serve", 6*sec, func() bool { return w.ready() == len(w.machines)-1 })
	founding := w.newest().ClusterID
	lost.boot()
	w.await(c, "every router serves", 6*sec, func() bool { return w.ready() == len(w.machines) })
	for _, m := range w.machines {
		c.Assert(m.node.State(nil).ClusterID, qt.Equals, founding)
	}
}

// Under the strict rules too, but with founders that announce themselves, one seed is never
// missed. What is on a disk when the power goes is cut at any step of a write.
func TestAnAnnouncedFirstStartBearsTheLossOfASeed(t *testing.T) {
	t.Parallel()
	for lost := range 3 {
		for step := range 12 {
			c := qt.New(t)
			w := announcedWorld(uint64(100*lost+step), 3+step%2)
			isWiped := step/2%2 == 1
			loseDiskAtStart(c, w, w.machines[lost], kernel.Micros(step)*75*ms, isWiped)
			finish(c, w)
		}
	}
}

// Three seeds that are told nothing of a first start need each other once, but none of them at
// any one moment: whichever is lost while they found, they go on when it is back.
func TestSeedsBootstrapWhenTheLostOneIsBack(t *testing.T) {
	t.Parallel()
	for lost := range 3 {
		for step := range 16 {
			t.Run(fmt.Sprintf("%d at %d ms", lost, step*25), func(t *testing.T) {
				c := qt.New(t)
				w := WorldOf(uint64(100*lost+step), "qurum")
				w.Run(kernel.Micros(step) * 25 * ms)
				w.machines[lost].halt()
				if step%2 == 1 {
					w.machines[lost].disk.files = map[string][]byte{}
				}
				w.Run(700 * ms)
				w.machines[lost].boot()
				w.await(c, "the founding", 6*sec, func() bool { return w.newest() != nil })
				clusterID := w.newest().ClusterID
				w.operator.putConfig(nil)
				w.await(c, "every router serves", 12*sec, func() bool { return w.ready() == len(w.machines) })
				for _, m := range w.machines {
					c.Assert(m.node.State(nil).ClusterID, qt.Equals, clusterID)
				}
			})
		}
	}
}

// diskTrigger is how far the first writes of a member had come when its power was lost.
type diskTrigger int

const (
	nothingWritten diskTrigger = iota
	memberWritten
	hardStateWritten
	diskTriggers
)

// cutFirstWrites takes a machine's power in its first moments.
func (m *machine) cutFirstWrites(at diskTrigger) {
	m.halt()
	if at < hardStateWritten {
		delete(m.disk.files, "founding.json")
	}
	if at < memberWritten {
		m.disk.files = map[string][]byte{}
	}
}

// The whole core loses its power at the instant of the first start, each machine between two
// other writes, and comes back with the settings of a restart.
func TestAnAnnouncedFirstStartBearsTheLossOfItsWholeCoreAtTheInstantOfTheStart(t *testing.T) {
	t.Parallel()
	// Every eighth mix of the moments of three machines: the others take long under the race detector.
	const members, mixes = 3, diskTriggers * diskTriggers * diskTriggers
	for mix := diskTrigger(0); mix < mixes; mix += 8 {
		c := qt.New(t)
		w := announcedWorld(uint64(mix), members)
		for i, moments := 0, mix; i < members; i, moments = i+1, moments/diskTriggers {
			w.machines[i].cutFirstWrites(moments % diskTriggers)
			w.machines[i].restart(500 * ms)
		}
		w.await(c, "a founding", 5*sec, func() bool { return w.newest() != nil })
		w.operator.putConfig(nil)
		w.await(c, "every router serves", 6*sec, func() bool { return w.ready() == len(w.machines) })
		for _, m := range w.machines {
			c.Assert(m.node.State(nil).ClusterID, qt.Equals, w.newest().ClusterID)
		}
		finish(c, w)
	}
}
