package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// A machine comes back with an empty disk and seeds of which none is left. The core knows its
// address, and that is enough: as a voter that others still speak to, and after it was dropped, as
// a registered router.
func TestAnEmptyMemberJoinsThoughNoSeedIsLeft(t *testing.T) {
	t.Parallel()
	for _, away := range []kernel.Micros{500 * ms, 4 * kernel.Second, 14 * kernel.Second} {
		for seed := range *lossSeeds {
			c := qt.New(t)
			d := newCoreRun(c, seed, shapeOfFour)
			d.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, d.nodes[shapeOfFour.folders])
			lost := d.voting(seed%2 == 0)
			lost.wipe()
			d.advance(away)
			d.seedsOverride = func() []string { return []string{"10.9.9.1:1", "10.9.9.2:1", "10.9.9.3:1"} }
			lost.boot()
			took := d.awaitHealthy(d.shape.sync)
			c.Logf("away for %d ms: whole after %d ms", away/ms, took/ms)
		}
	}
}
