package cluster

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var errBrokenChange = errors.New("the change is broken")

// appendChange is a ConfigPatcher that appends the change to the configuration. It fails if the change
// contains "broken".
func appendChange(current, change []byte) ([]byte, error) {
	if bytes.Contains(change, []byte("broken")) {
		return nil, errBrokenChange
	}
	return append(bytes.Clone(current), change...), nil
}

// changedDocument returns the first document, followed by the document after each change.
func changedDocument(first []byte, changes ...string) []*Document {
	document := &Document{ClusterID: "f", Revision: 1, Term: 1}
	document.PutConfig(first, nil)
	all := []*Document{document}
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

// A receiver that has any earlier configuration is sent the changes since then and rebuilds the newest
// configuration from them.
func TestConfigurationIsRebuiltFromChanges(t *testing.T) {
	c := qt.New(t)
	all := changedDocument([]byte("first"), " one", " two", " three", " four")
	newest := all[len(all)-1]
	for i, base := range all {
		sent := newest.DeltaFor(base.Revision)
		c.Check(sent.Config, qt.HasLen, 0)
		c.Check(sent.Changes, qt.HasLen, len(all)-1-i)
		rebuilt := sent.WithConfig(appendChange, base)
		c.Assert(rebuilt, qt.IsNotNil)
		c.Check(string(rebuilt.Config), qt.Equals, string(newest.Config))
		// The rebuilt document has both the received changes and the earlier ones.
		c.Check(rebuilt.Changes, qt.HasLen, len(newest.Changes))
		// Rebuilding fails without the earlier configuration or without a patcher.
		c.Check(sent.WithConfig(nil, base) != nil, qt.Equals, i == len(all)-1)
		c.Check(sent.WithConfig(appendChange), qt.IsNil)
	}
	// A configuration that was submitted in full is sent in full.
	next := newest.Next(1)
	next.PutConfig([]byte("other"), nil)
	c.Check(string(next.DeltaFor(newest.Revision).Config), qt.Equals, "other")
}

// The receiver checks the result of the changes against the digest in the chain and rejects any other result.
func TestChangesWithAnotherResultAreRejected(t *testing.T) {
	c := qt.New(t)
	all := changedDocument([]byte("first"), " one", " two")
	base, newest := all[0], all[2]
	for _, changes := range [][]ConfigChange{
		{{Revision: 2, Change: []byte(" one")}, {Revision: 3, Change: []byte(" twice")}},
		{{Revision: 2, Change: []byte(" one")}, {Revision: 3, Change: []byte("broken")}},
		{{Revision: 3, Change: []byte(" two")}},
		{{Revision: 3, Change: []byte(" two")}, {Revision: 2, Change: []byte(" one")}},
		nil,
	} {
		c.Check(newest.withChanges(changes).WithConfig(appendChange, base), qt.IsNil, qt.Commentf("%v", changes))
	}
	unrelated := &Document{ClusterID: "f", Revision: 1, Term: 1}
	unrelated.PutConfig([]byte("another first"), nil)
	c.Check(newest.DeltaFor(1).WithConfig(appendChange, unrelated), qt.IsNil)
}

// The changes in a document are limited in size. A receiver that is further behind is sent the whole
// configuration.
func TestTheChangesOfADocumentAreBounded(t *testing.T) {
	c := qt.New(t)
	changes := []string{}
	for i := range 100 {
		changes = append(changes, strings.Repeat(strconv.Itoa(i%10), 1000))
	}
	all := changedDocument([]byte("first"), changes...)
	newest := all[len(all)-1]
	c.Check(changeBytes(newest.Changes) <= maxChangeBytes, qt.IsTrue)
	c.Check(len(newest.Changes) > 20, qt.IsTrue)
	c.Check(len(newest.DeltaFor(newest.Revision-20).Config), qt.Equals, 0)
	c.Check(len(newest.DeltaFor(newest.Revision-40).Config), qt.Equals, len(newest.Config))
	large := newest.Next(1)
	large.PutConfig(append(bytes.Clone(newest.Config), make([]byte, maxChangeBytes+1)...), make([]byte, maxChangeBytes+1))
	c.Check(large.Changes, qt.HasLen, 0)
}
