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

// loseDiskAtStart powers a machine off at the given time after the first start, optionally wiping
// its disk, and restarts it only when all others serve.
func loseDiskAtStart(c *qt.C, w *World, lost *machine, at kernel.Micros, isWiped bool) {
	w.Run(at)
	lost.halt()
	if isWiped {
		lost.disk.files = map[string][]byte{}
	}
	w.await(c, "the cluster bootstrapped without the lost machine", 4*sec, func() bool { return w.newestDocument() != nil })
	w.operator.putConfig(nil)
	w.await(c, "all others serve", 6*sec, func() bool { return w.ready() == len(w.machines)-1 })
	clusterID := w.newestDocument().ClusterID
	lost.boot()
	w.await(c, "every router serves", 6*sec, func() bool { return w.ready() == len(w.machines) })
	for _, m := range w.machines {
		c.Assert(m.node.State(nil).ClusterID, qt.Equals, clusterID)
	}
}

// A fleet whose founders announce themselves has to bootstrap without any one of its seeds, also
// under the strict rules. The seed is lost at one of twelve times, 75 ms apart, with or without its
// disk.
func TestAnAnnouncedBootstrapToleratesTheLossOfASeed(t *testing.T) {
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

// Without announcements all three seeds are needed to bootstrap, but not all at the same time:
// whichever is lost during the bootstrap, the others continue once it is back.
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
				w.await(c, "the cluster bootstrapped", 6*sec, func() bool { return w.newestDocument() != nil })
				clusterID := w.newestDocument().ClusterID
				w.operator.putConfig(nil)
				w.await(c, "every router serves", 12*sec, func() bool { return w.ready() == len(w.machines) })
				for _, m := range w.machines {
					c.Assert(m.node.State(nil).ClusterID, qt.Equals, clusterID)
				}
			})
		}
	}
}

// writeProgress is how many of a member's first writes were on its disk when it lost its power.
type writeProgress int

const (
	nothingWritten writeProgress = iota
	memberWritten
	hardStateWritten
	writeProgressCount
)

// cutFirstWrites powers a machine off and leaves only the given part of its first writes on its
// disk.
func (m *machine) cutFirstWrites(at writeProgress) {
	m.halt()
	if at < hardStateWritten {
		delete(m.disk.files, "founding.json")
	}
	if at < memberWritten {
		m.disk.files = map[string][]byte{}
	}
}

// The whole core loses its power during the bootstrap, each machine between two of its first
// writes. The machines start again with the settings of a restart, not of a bootstrap.
func TestAnAnnouncedBootstrapToleratesAPowerLossOfTheWholeCore(t *testing.T) {
	t.Parallel()
	// Only every eighth combination of the three machines' progress: all of them take too long
	// under the race detector.
	const members, combinations = 3, writeProgressCount * writeProgressCount * writeProgressCount
	for combination := writeProgress(0); combination < combinations; combination += 8 {
		c := qt.New(t)
		w := announcedWorld(uint64(combination), members)
		for i, remaining := 0, combination; i < members; i, remaining = i+1, remaining/writeProgressCount {
			w.machines[i].cutFirstWrites(remaining % writeProgressCount)
			w.machines[i].restart(500 * ms)
		}
		w.await(c, "the cluster bootstrapped", 5*sec, func() bool { return w.newestDocument() != nil })
		w.operator.putConfig(nil)
		w.await(c, "every router serves", 6*sec, func() bool { return w.ready() == len(w.machines) })
		for _, m := range w.machines {
			c.Assert(m.node.State(nil).ClusterID, qt.Equals, w.newestDocument().ClusterID)
		}
		finish(c, w)
	}
}
