package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// A machine comes back with an empty disk, and none of its seeds exists any more. It joins all the same, because the
// core knows its address. At first that is the address of a voter, which still gets heartbeats, and later that of a
// registered router.
func TestAnEmptyMemberJoinsThoughNoSeedIsLeft(t *testing.T) {
	t.Parallel()
	for _, away := range []kernel.Micros{500 * ms, 4 * kernel.Second, 14 * kernel.Second} {
		for seed := range *lossSeeds {
			c := qt.New(t)
			d := newCoreRun(c, seed, topologyOfFour)
			d.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, d.nodes[topologyOfFour.folders])
			lost := d.pickVoter(seed%2 == 0)
			lost.wipe()
			d.advance(away)
			d.seedsOverride = func() []string { return []string{"10.9.9.1:1", "10.9.9.2:1", "10.9.9.3:1"} }
			lost.boot()
			took := d.awaitHealthy(d.topology.recoveryLimit)
			c.Logf("away for %d ms: healthy after %d ms", away/ms, took/ms)
		}
	}
}
