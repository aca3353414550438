package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// coordinatorBytes returns how many bytes the coordinators have sent so far, and the number of coordinators.
func (f *largeFleet) coordinatorBytes() (bytes, coordinators int) {
	for _, n := range f.nodes {
		if !n.isUp || !n.node.isCoordinator() {
			continue
		}
		coordinators++
		for _, sent := range f.loads[n].sentBytes {
			bytes += sent
		}
	}
	return bytes, coordinators
}

// After a restart, all nodes of a large fleet have old views of the engines at once, and ask the coordinators of other
// zones for updates. The coordinators once answered each request with the whole directory, which kept their links full.
// A third of each coordinator's link has to stay free for urgent messages.
func TestOldViewsOfTheEnginesFillNoLinks(t *testing.T) {
	t.Parallel()
	const settled, span = 6 * kernel.Second, 3 * kernel.Second
	c := qt.New(t)
	f := newLargeFleet(c, 1, 300, 204)
	adapt := f.adapt
	f.adapt = func(settings *NodeSettings) {
		adapt(settings)
		deploymentSettings(settings)
		settings.EndConfirmationTimeout = deployedAckTimeout / 2
	}
	f.restart(300 * ms)
	f.advance(settled)
	before, _ := f.coordinatorBytes()
	f.advance(span)
	after, coordinators := f.coordinatorBytes()
	c.Assert(coordinators, qt.Equals, largeFleetZones)
	rate := float64(after-before) / float64(coordinators) / float64(span/kernel.Second)
	link := f.loads[f.nodes[len(f.nodes)-1]].bytesPerSecond
	c.Logf("%.0f KB/s leave a coordinator", rate/1024)
	c.Assert(rate < link*2/3, qt.IsTrue, qt.Commentf("%.0f of %.0f bytes a second", rate, link))
}
