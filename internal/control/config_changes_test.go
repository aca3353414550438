package control

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// appendChange is a change that adds to the end of a configuration.
func appendChange(current, change []byte) ([]byte, error) {
	if bytes.Contains(change, []byte("broken")) {
		return nil, configErrorf("it is broken")
	}
	return append(bytes.Clone(current), change...), nil
}

// changedDocument gives the document after a number of changes, and all before it.
func changedDocument(first []byte, changes ...string) []*cluster.Document {
	document := &cluster.Document{ClusterID: "f", Revision: 1, Term: 1}
	document.PutConfig(first, nil)
	all := []*cluster.Document{document}
	for _, change := range changes {
		next := document.Next(1)
		config, err := appendChange(document.Config, []byte(change))
		if err != nil {
			panic(err)
		}
		next.PutConfig(config, []byte(change))
		document = next
		all = append(all, document)
	}
	return all
}

// A receiver that holds any earlier configuration gets the changes since then, and puts the newest together.
func TestAConfigurationIsPutTogetherFromItsChanges(t *testing.T) {
	c := qt.New(t)
	all := changedDocument([]byte("first"), " one", " two", " three", " four")
	newest := all[len(all)-1]
	for i, base := range all {
		sent := newest.DeltaFor(base.Revision)
		c.Check(sent.Config, qt.HasLen, 0)
		c.Check(sent.Changes, qt.HasLen, len(all)-1-i)
		made := sent.WithConfig(appendChange, base)
		c.Assert(made, qt.IsNotNil)
		c.Check(string(made.Config), qt.Equals, string(newest.Config))
		// It can hand on what it was given, and what it had.
		c.Check(made.Changes, qt.HasLen, len(newest.Changes))
		// Without the earlier configuration, or one who can change it, there is none.
		c.Check(sent.WithConfig(nil, base) != nil, qt.Equals, i == len(all)-1)
		c.Check(sent.WithConfig(appendChange), qt.IsNil)
	}
	// One that was put whole can't be come by through changes.
	next := newest.Next(1)
	next.PutConfig([]byte("other"), nil)
	c.Check(string(next.DeltaFor(newest.Revision).Config), qt.Equals, "other")
}

// What changes lead to is held against the digest in the chain, whatever a sender says.
func TestChangesWithAnotherResultAreRejected(t *testing.T) {
	c := qt.New(t)
	all := changedDocument([]byte("first"), " one", " two")
	base, newest := all[0], all[2]
	for _, changes := range [][]cluster.ConfigChange{
		{{Revision: 2, Change: []byte(" one")}, {Revision: 3, Change: []byte(" twice")}},
		{{Revision: 2, Change: []byte(" one")}, {Revision: 3, Change: []byte("broken")}},
		{{Revision: 3, Change: []byte(" two")}},
		{{Revision: 3, Change: []byte(" two")}, {Revision: 2, Change: []byte(" one")}},
		nil,
	} {
		c.Check(newest.WithChanges(changes).WithConfig(appendChange, base), qt.IsNil, qt.Commentf("%v", changes))
	}
	stranger := &cluster.Document{ClusterID: "f", Revision: 1, Term: 1}
	stranger.PutConfig([]byte("another first"), nil)
	c.Check(newest.DeltaFor(1).WithConfig(appendChange, stranger), qt.IsNil)
}

// The changes that a document carries are bounded; beyond that the configuration goes whole.
func TestTheChangesOfADocumentAreBounded(t *testing.T) {
	c := qt.New(t)
	changes := []string{}
	for i := range 100 {
		changes = append(changes, strings.Repeat(strconv.Itoa(i%10), 1000))
	}
	all := changedDocument([]byte("first"), changes...)
	newest := all[len(all)-1]
	c.Check(cluster.ChangeBytes(newest.Changes) <= cluster.MaxChangeBytes, qt.IsTrue)
	c.Check(len(newest.Changes) > 20, qt.IsTrue)
	c.Check(len(newest.DeltaFor(newest.Revision-20).Config), qt.Equals, 0)
	c.Check(len(newest.DeltaFor(newest.Revision-40).Config), qt.Equals, len(newest.Config))
	large := newest.Next(1)
	large.PutConfig(append(bytes.Clone(newest.Config), make([]byte, cluster.MaxChangeBytes+1)...), make([]byte, cluster.MaxChangeBytes+1))
	c.Check(large.Changes, qt.HasLen, 0)
}

// changeFleet is a settled fleet whose changes append, and which counts the whole configurations
// that are sent to nodes.
func changeFleet(c *qt.C, seed uint64, broken string) (f *fleet, whole *int) {
	f = newFleet(c, seed, 3, 9, firstHaveFolders(4))
	f.adapt = func(settings *NodeSettings) {
		platformLike(settings)
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
	f.carrier = func(_ *fleetNode, command any) bool {
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
	f.stabilized(8 * kernel.Second)
	f.acknowledge("first", 0, fmt.Appendf(nil, `{"ver":1,%s}`, strings.Repeat("x", 60_000)), 4*kernel.Second, f.nodes[5])
	f.pass(3 * kernel.Second)
	*whole = 0
	return f, whole
}

// change sends a change of the configuration until it is acknowledged.
func (f *fleet) change(to uint64) {
	id, body := fmt.Sprint("change-", to), fmt.Appendf(nil, `{"ver":%d+`, to)
	for turn := 0; f.reply[id].Outcome != cluster.Accepted; turn++ {
		f.c.Assert(turn < 10, qt.IsTrue)
		n := f.nodes[(int(to)+turn)%len(f.nodes)]
		n.do(func() []any {
			return n.node.Submit(f.now, &cluster.Submit{ID: id, Operation: cluster.PatchConfig, Config: body, BaseVersion: version(to - 1)})
		})
		f.pass(700 * ms)
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
