package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// In strict mode, a voter that stays silent is replaced after ReplaceTimeout (--replace-us) and not before. The core is
// complete within 1.5 s after that. A fleet that has to tolerate its next failure sooner needs a smaller setting.
func TestASilentVoterIsReplacedAfterTheTimeThatIsSet(t *testing.T) {
	t.Parallel()
	const (
		settle = 1500 * ms // the time to notice the loss, to add a learner and to drop the voter
		early  = 200 * ms  // the leader last heard the voter up to a heartbeat interval and a delay before it was killed
	)
	for _, timeout := range []kernel.Micros{3600 * ms, 5 * kernel.Second, cluster.DefaultTiming().ReplaceTimeout} {
		t.Run(fmt.Sprint(timeout/ms, " ms"), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				c := qt.New(t)
				f := newFleet(c, seed, 3, 7, firstHaveFolders(5))
				f.adapt = func(settings *NodeSettings) { settings.Timing.ReplaceTimeout = timeout }
				f.bootAll(500 * ms)
				f.awaitStable(8 * kernel.Second)
				lead := f.leader()
				lost := f.byAddress(lead.state().Document.VoterAddresses()[seed%3])
				if lost == lead {
					lost = f.byAddress(lead.state().Document.VoterAddresses()[(seed+1)%3])
				}
				lost.kill()
				isReplaced := func() bool {
					lead := f.leader()
					if lead == nil {
						return false
					}
					voters := lead.state().Document.VoterAddresses()
					return len(voters) == 3 && !slices.Contains(voters, lost.identity.Address)
				}
				took := f.await("a replacement", timeout+settle, isReplaced)
				c.Assert(took >= timeout-early, qt.IsTrue, qt.Commentf("seed %d: after %d ms", seed, took/ms))
			}
		})
	}
}
