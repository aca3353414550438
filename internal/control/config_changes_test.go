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

// changeFleet is a settled fleet whose changes append, and which counts the whole configurations
// that are sent to nodes.
func changeFleet(c *qt.C, seed uint64, broken string) (f *fleet, whole *int) {
	f = newFleet(c, seed, 3, 9, firstHaveFolders(4))
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.PatchConfig = func(current, change []byte) ([]byte, error) {
			if settings.Identity.Address == broken {
				return nil, configErrorf("this node can't")
			}
			return bytes.Replace(change, []byte("+"), current[bytes.IndexByte(current, ','):], 1), nil
		}
		settings.VersionOf = func(config []byte) (uint64, error) {
			version := uint64(0)
			_, err := fmt.Sscanf(string(config), `{"ver":%d,`, &version)
			return version, err
		}
	}
	whole = new(int)
	f.executor = func(_ *fleetNode, command commands.Command) bool {
		if outgoing, isOutgoing := command.(Outgoing); isOutgoing {
			for _, document := range outgoing.Envelope.Message.Documents() {
				if document != nil && len(document.Config) > 0 {
					*whole++
				}
			}
		}
		return false
	}
	f.bootAll(300 * ms)
	f.awaitStable(8 * kernel.Second)
	f.acknowledge("first", 0, fmt.Appendf(nil, `{"ver":1,%s}`, strings.Repeat("x", 60_000)), 4*kernel.Second, f.nodes[5])
	f.advance(3 * kernel.Second)
	*whole = 0
	return f, whole
}

// change sends a change of the configuration until it is acknowledged.
func (f *fleet) change(to uint64) {
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

func (f *fleet) allAt(version uint64) bool {
	for _, n := range f.nodes {
		if n.isUp && n.inForce().ConfigVersion != version {
			return false
		}
	}
	return true
}

// A large configuration crosses no link again for a small change, also to a node that missed some.
func TestSmallChangesOfALargeConfigurationCrossAsChanges(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f, fullConfigs := changeFleet(c, 21, "")
	for to := uint64(2); to <= 10; to++ {
		if to == 4 {
			f.nodes[8].cutFrom(bothWays, f.nodes...)
		}
		if to == 7 {
			f.heal()
		}
		f.change(to)
	}
	f.await("all have the newest", 4*kernel.Second, func() bool { return f.allAt(10) })
	c.Check(*fullConfigs, qt.Equals, 0)
}

// A node that can't put a configuration together gets it whole in the end.
func TestANodeThatCannotApplyChangesGetsTheFullConfig(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f, fullConfigs := changeFleet(c, 22, "10.0.0.09:1")
	f.change(2)
	f.await("all have the newest", 6*kernel.Second, func() bool { return f.allAt(2) })
	c.Check(*fullConfigs > 0, qt.IsTrue)
}
