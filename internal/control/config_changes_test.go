package control

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// newPatchFleet returns a stable fleet with a large configuration in force. Its patches replace the version and keep
// the rest of the configuration. The node at the address broken can't apply patches. full counts the configurations
// that nodes are sent in full after newPatchFleet has returned.
func newPatchFleet(c *qt.C, seed uint64, broken string) (f *fleet, full *int) {
	f = newFleet(c, seed, 3, 9, firstHaveFolders(4))
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.PatchConfig = func(current, change []byte) ([]byte, error) {
			if settings.Identity.Address == broken {
				return nil, configErrorf("this node can't apply patches")
			}
			return bytes.Replace(change, []byte("+"), current[bytes.IndexByte(current, ','):], 1), nil
		}
		settings.VersionOf = func(config []byte) (uint64, error) {
			version := uint64(0)
			_, err := fmt.Sscanf(string(config), `{"ver":%d,`, &version)
			return version, err
		}
	}
	full = new(int)
	f.executor = func(_ *fleetNode, command commands.Command) bool {
		if outgoing, isOutgoing := command.(Outgoing); isOutgoing {
			for _, document := range outgoing.Envelope.Message.Documents() {
				if document != nil && len(document.Config) > 0 {
					*full++
				}
			}
		}
		return false
	}
	f.bootAll(300 * ms)
	f.awaitStable(8 * kernel.Second)
	f.acknowledge("first", 0, fmt.Appendf(nil, `{"ver":1,%s}`, strings.Repeat("x", 60_000)), 4*kernel.Second, f.nodes[5])
	f.advance(3 * kernel.Second)
	*full = 0
	return f, full
}

// patchConfig submits a patch from configuration version to-1 to version to. It tries one node after another until the
// patch is accepted.
func (f *fleet) patchConfig(to uint64) {
	id, body := fmt.Sprint("change-", to), fmt.Appendf(nil, `{"ver":%d+`, to)
	for turn := 0; f.replies[id].Outcome != cluster.Accepted; turn++ {
		f.c.Assert(turn < 10, qt.IsTrue)
		n := f.nodes[(int(to)+turn)%len(f.nodes)]
		n.do(func() []commands.Command {
			return n.node.Submit(f.now, &cluster.Submit{ID: id, Operation: cluster.PatchConfig, Config: body, BaseVersion: version(to - 1)})
		})
		f.advance(700 * ms)
	}
}

func (f *fleet) allHaveVersion(version uint64) bool {
	for _, n := range f.nodes {
		if n.isUp && n.inForce().ConfigVersion != version {
			return false
		}
	}
	return true
}

// A small patch never makes the fleet send a large configuration in full again, not even to a node that was
// cut off and missed several patches.
func TestSmallConfigChangesAreSentAsPatches(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f, fullConfigs := newPatchFleet(c, 21, "")
	for to := uint64(2); to <= 10; to++ {
		if to == 4 {
			f.nodes[8].cutFrom(bothWays, f.nodes...)
		}
		if to == 7 {
			f.heal()
		}
		f.patchConfig(to)
	}
	f.await("all nodes apply version 10", 4*kernel.Second, func() bool { return f.allHaveVersion(10) })
	c.Check(*fullConfigs, qt.Equals, 0)
}

// A node that can't apply a patch is sent the full configuration.
func TestANodeThatCannotApplyChangesGetsTheFullConfig(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f, fullConfigs := newPatchFleet(c, 22, "10.0.0.09:1")
	f.patchConfig(2)
	f.await("all nodes apply version 2", 6*kernel.Second, func() bool { return f.allHaveVersion(2) })
	c.Check(*fullConfigs > 0, qt.IsTrue)
}
