package control

import (
	"testing"

	"dunlinloom/kernel"
	qt "github.com/frankban/quicktest"
)

func TestProbe(t *testing.T) {
	for _, lanes := range []bool{false, true} {
		for _, size := range []int{16 << 10, 256 << 10, 1 << 20} {
			c := qt.New(t)
			s := newStorm(c, 1, size, 100*ms, func(int) machine { return smallMachine() })
			s.hasLanes = lanes
			s.begin()
			begun := s.now
			s.change(100)
			for s.now-begun < 300*kernel.Second && !s.isOver {
				s.pass(100 * ms)
			}
			e := s.has[s.nodes[3]]
			t.Logf("lanes %v size %d: %d changes in %d ms, leaders %d, queue %d, lost %d, disk %d", lanes, size, s.changes, (s.now-begun)/ms, s.unseated, e.queued, e.lost, e.disk.peak)
			for _, n := range s.nodes {
				t.Logf("   %s queued %d lost %d received %d disk %d saves %v", n.identity.Address, s.has[n].queued, s.has[n].lost, s.has[n].received, s.has[n].disk.peak, n.hasFolder && n.node.core != nil && len(n.node.core.saves) > 3)
			}
		}
	}
}
