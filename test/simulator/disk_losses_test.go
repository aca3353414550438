package simulator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// Guards against losing an acknowledged configuration when the disks that hold it are lost while all other machines lose
// power, those without a disk too: three times in a row, each time right after an acknowledgement.
func TestDisksLostWithAllPowerLoseNothingAcknowledged(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"qurum", "cronometro", "two-losses"} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s %d", deployment, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				w := openWorld(c, deployment, 560+seed)
				for range 3 {
					w.await(c, "the core has to tolerate losses", 30*sec, w.mustTolerateLosses)
					struck := kernel.Micros(0)
					w.afterAccepted = func(*machine) {
						if w.loseDisksAndPower() {
							struck = w.now
							w.restartAll(200*ms, 2*sec)
						}
					}
					for turn := 0; struck == 0; turn++ {
						c.Assert(turn < 10, qt.IsTrue, qt.Commentf("no disk was lost"))
						w.operator.putConfig(nil)
						w.Run(2 * sec)
					}
				}
				w.Run(12 * sec)
				finish(c, w)
			})
		}
	}
}
