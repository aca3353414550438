package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// snapshotStore returns a store with two revisions that have the same configuration, and the newer document.
func snapshotStore(c *qt.C, path string) (*Store, *cluster.Document) {
	folder, err := kernel.OpenFolder(path)
	c.Assert(err, qt.IsNil)
	store, _, _, err := OpenStore(folder, "f", func() string { return "m" })
	c.Assert(err, qt.IsNil)
	first := &cluster.Document{ClusterID: "x", Revision: 1, Term: 1}
	first.PutConfig([]byte("spec"), nil)
	second := first.Next(1)
	for _, document := range []*cluster.Document{first, second} {
		c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 1}, Document: document}), qt.IsNil)
	}
	return store, second
}

func reopened(c *qt.C, path string) *Store {
	folder, err := kernel.OpenFolder(path)
	c.Assert(err, qt.IsNil)
	store, _, _, err := OpenStore(folder, "f", func() string { return "m2" })
	c.Assert(err, qt.IsNil)
	return store
}

func TestSnapshotSurvivesRestart(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	store, document := snapshotStore(c, path)
	found, err := store.Snapshot("f")
	c.Assert(found, qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Assert(store.SaveSnapshot(&Snapshot{Format: SnapshotFormat, Fleet: "f", Document: document, Nodes: []string{"n"}}), qt.IsNil)
	file, err := store.folder.Get(SnapshotName)
	c.Assert(err, qt.IsNil)
	// The folder has the configuration only once.
	var raw Snapshot
	content, err := VerifyChecksum(SnapshotName, file)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(content, &raw), qt.IsNil)
	c.Assert(raw.Document.Config, qt.HasLen, 0)
	c.Assert(document.Config, qt.Not(qt.HasLen), 0)
	found, err = reopened(c, path).Snapshot("f")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Document.Config), qt.Equals, "spec")
	c.Assert(found.Document.Position(), qt.Equals, document.Position())
	// A snapshot includes the configuration if no document file has it.
	other := document.Next(1)
	other.PutConfig([]byte("other"), nil)
	c.Assert(store.SaveSnapshot(&Snapshot{Format: SnapshotFormat, Fleet: "f", Document: other}), qt.IsNil)
	found, err = reopened(c, path).Snapshot("f")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Document.Config), qt.Equals, "other")
	// A snapshot that exceeds the limit does not replace the stored one.
	store.SetBounds(StoreBounds{Snapshot: 64})
	err = store.SaveSnapshot(&Snapshot{Format: SnapshotFormat, Fleet: "f", Document: document})
	c.Assert(errors.As(err, new(SnapshotTooLargeError)), qt.IsTrue)
	found, err = reopened(c, path).Snapshot("f")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Document.Config), qt.Equals, "other")
}

func TestPruningKeepsSnapshotConfig(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	store, document := snapshotStore(c, path)
	c.Assert(store.SaveSnapshot(&Snapshot{Format: SnapshotFormat, Fleet: "f", Document: document}), qt.IsNil)
	store.SetBounds(StoreBounds{Revisions: 1})
	last := document
	for i := range 6 {
		last = last.Next(1)
		last.PutConfig(fmt.Append(nil, "proposed ", i), nil)
		c.Assert(store.Save(commands.Save{Document: last}), qt.IsNil)
	}
	found, err := reopened(c, path).Snapshot("f")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Document.Config), qt.Equals, "spec")
}

func TestUnusableSnapshotIsQuarantined(t *testing.T) {
	c := qt.New(t)
	for name, damage := range map[string]func(store *Store, snapshot *Snapshot) error{
		"damaged": func(store *Store, snapshot *Snapshot) error {
			if err := store.SaveSnapshot(snapshot); err != nil {
				return err
			}
			file, err := store.folder.Get(SnapshotName)
			if err != nil {
				return err
			}
			file[len(file)/2] ^= 4
			return store.folder.Put(SnapshotName, file)
		},
		"of a newer build": func(store *Store, snapshot *Snapshot) error {
			snapshot.Format++
			return store.SaveSnapshot(snapshot)
		},
		"of another fleet": func(store *Store, snapshot *Snapshot) error {
			snapshot.Fleet = "g"
			return store.SaveSnapshot(snapshot)
		},
		"without its configuration": func(store *Store, snapshot *Snapshot) error {
			if err := store.SaveSnapshot(snapshot); err != nil {
				return err
			}
			for _, file := range slices.Clone(store.files) {
				if err := store.removeFile(file.name); err != nil {
					return err
				}
			}
			return nil
		},
		"of another configuration": func(store *Store, snapshot *Snapshot) error {
			changed := *snapshot.Document
			changed.Config = []byte("changed")
			changed.ConfigChain = []cluster.ConfigRef{{Revision: changed.ConfigRevision, Digest: "of none"}}
			snapshot.Document = &changed
			return store.SaveSnapshot(snapshot)
		},
	} {
		c.Run(name, func(c *qt.C) {
			path := c.TempDir()
			store, document := snapshotStore(c, path)
			c.Assert(damage(store, &Snapshot{Format: SnapshotFormat, Fleet: "f", Document: document}), qt.IsNil)
			restarted := reopened(c, path)
			found, err := restarted.Snapshot("f")
			c.Assert(found, qt.IsNil)
			c.Assert(err, qt.IsNotNil)
			c.Assert(restarted.Quarantined(), qt.DeepEquals, []string{SnapshotName})
			found, err = restarted.Snapshot("f")
			c.Assert(found, qt.IsNil)
			c.Assert(err, qt.IsNil)
		})
	}
}
