package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// An operator waits one second for an answer. A change is acknowledged in that time even if some routers are frozen,
// have failed, or receive nothing while their own messages arrive. The same holds if a voter is frozen or has a slow
// disk.
func TestSlowNodesDelayNoAcknowledgement(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet, routers []*fleetNode, follower *fleetNode){
		"routers are frozen": func(_ *fleet, routers []*fleetNode, _ *fleetNode) {
			for _, n := range routers {
				n.freeze(20 * kernel.Second)
			}
		},
		"routers hear nothing": func(f *fleet, routers []*fleetNode, _ *fleetNode) {
			for _, n := range routers {
				n.cutFrom(inward, f.nodes...)
			}
		},
		"routers are gone": func(_ *fleet, routers []*fleetNode, _ *fleetNode) {
			for _, n := range routers {
				n.kill()
			}
		},
		"a voter has a slow disk": func(_ *fleet, _ []*fleetNode, follower *fleetNode) { follower.diskSlowdown = 100 },
		"a voter is frozen":       func(_ *fleet, _ []*fleetNode, follower *fleetNode) { follower.freeze(20 * kernel.Second) },
	}
	for name, fault := range faults {
		c := qt.New(t)
		f := steadyCore(c, 2)
		lead, follower := f.leader(), f.nodes[0]
		if follower == lead {
			follower = f.nodes[1]
		}
		fault(f, f.nodes[5:8], follower)
		longest := kernel.Micros(0)
		for base := uint64(1); base < 8; base++ {
			id := fmt.Sprint("order ", base)
			submittedAt := f.now
			f.nodes[4].submit(id, base, configOf(base+1, id))
			f.await("an answer", kernel.Second, func() bool { _, isThere := f.replies[id]; return isThere })
			c.Check(f.replies[id].Outcome, qt.Equals, cluster.Accepted, qt.Commentf("%s: %+v", name, f.replies[id]))
			longest = max(longest, f.repliedAt[id]-submittedAt)
		}
		c.Check(longest < 900*ms, qt.IsTrue, qt.Commentf("%s: %d ms", name, longest/ms))
		t.Logf("%s: at most %d ms", name, longest/ms)
	}
}
