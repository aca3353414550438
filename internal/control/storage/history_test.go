package storage

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// documentAt returns a document with three voters and without a configuration.
func documentAt(term, revision uint64) *cluster.Document {
	voters := []cluster.Member{{ID: "a", Address: "10.0.0.1:1", Zone: "z1"}, {ID: "b", Address: "10.0.0.2:1", Zone: "z2"}, {ID: "c", Address: "10.0.0.3:1", Zone: "z3"}}
	return &cluster.Document{ClusterID: "f", Term: term, Revision: revision, Voters: voters,
		Coordinators: map[string]string{}, DrainedZones: map[string]uint64{}}
}

// chainOf returns a document whose chain has count configurations of the given size, and the earlier documents
// that have a configuration, oldest first.
func chainOf(count, size int) (newest *cluster.Document, older []*cluster.Document) {
	newest = documentAt(2, 1)
	for range count {
		older = append(older, newest)
		newest = newest.Next(2)
		newest.PutConfig([]byte(strings.Repeat("x", size-8)+fmt.Sprintf("%08d", newest.Revision)), nil)
	}
	return newest, older[1:]
}

// countingFolder counts the writes to a folder.
type countingFolder struct {
	kernel.Folder
	puts int
}

func (f *countingFolder) Put(name string, content []byte) error {
	f.puts++
	return f.Folder.Put(name, content)
}

// historyStore returns a store with only the newest document, and resets the count of writes.
func historyStore(c *qt.C, newest *cluster.Document) (*Store, memoryFolder, *countingFolder) {
	disk := memoryFolder{}
	folder := &countingFolder{Folder: disk}
	store, _, _, err := OpenStore(folder, "f", func() string { return "b" })
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(commands.Save{HardState: &cluster.HardState{Term: 2}, Document: newest}), qt.IsNil)
	folder.puts = 0
	return store, disk, folder
}

func TestHistoryIsSavedInOneWrite(t *testing.T) {
	c := qt.New(t)
	newest, older := chainOf(12, 100)
	store, disk, folder := historyStore(c, newest)
	slices.Reverse(older)
	result := store.SaveHistory(older)
	c.Assert(result.Err, qt.IsNil)
	c.Assert(result.Saved, qt.HasLen, len(older))
	c.Assert(folder.puts, qt.Equals, 1)
	// Saving the same documents again writes nothing, and they can be read after a restart.
	c.Assert(store.SaveHistory(older).Err, qt.IsNil)
	c.Assert(folder.puts, qt.Equals, 1)
	restarted, _, restored, err := OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Position(), qt.Equals, newest.Position())
	for _, ref := range newest.ConfigChain {
		found, err := restarted.ConfigAt(ref)
		c.Assert(err, qt.IsNil)
		c.Assert(cluster.ConfigRefOf(found), qt.Equals, ref)
	}
	c.Assert(restarted.ConfigRevisions(), qt.HasLen, len(newest.ConfigChain))
	c.Assert(restarted.Bytes() <= disk.bytes(), qt.IsTrue)
}

func TestDamagedHistoryFileIsQuarantinedAlone(t *testing.T) {
	c := qt.New(t)
	newest, older := chainOf(5, 100)
	store, disk, _ := historyStore(c, newest)
	c.Assert(store.SaveHistory(older).Err, qt.IsNil)
	name := historyFileName(older[len(older)-1].Position())
	disk[name][100] ^= 1
	restarted, hardState, restored, err := OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(restarted.Member(), qt.Equals, cluster.MemberID("b"))
	c.Assert(hardState.Term, qt.Equals, uint64(2))
	c.Assert(restored.Position(), qt.Equals, newest.Position())
	c.Assert(restarted.Acknowledged(), qt.Equals, newest.Position())
	c.Assert(restarted.Quarantined(), qt.DeepEquals, []string{name})
	_, err = restarted.ConfigAt(newest.ConfigChain[0])
	c.Assert(errors.As(err, new(MissingRevisionError)), qt.IsTrue)
	c.Assert(restarted.SaveHistory(older).Err, qt.IsNil)
}

func TestHistoryStaysWithinSizeLimit(t *testing.T) {
	c := qt.New(t)
	newest, older := chainOf(10, 100<<10)
	store, _, _ := historyStore(c, newest)
	store.SetBounds(StoreBounds{Revisions: 700 << 10})
	slices.Reverse(older)
	result := store.SaveHistory(older)
	c.Assert(errors.As(result.Err, new(commands.NoSpaceError)), qt.IsTrue)
	c.Assert(len(result.Saved) > 1, qt.IsTrue)
	// The newest documents that fit are saved, without a gap.
	for i, revision := range result.Saved {
		c.Assert(revision, qt.Equals, older[i].ConfigRevision)
	}
	c.Assert(result.Rejected, qt.Equals, older[len(result.Saved)].ConfigRevision)
	c.Assert(store.Bytes() <= 700<<10, qt.IsTrue)
	// Newer documents take precedence over the history file, which is removed as a whole.
	next := newest.Next(2)
	next.PutConfig(slices.Clone(newest.Config[1:]), nil)
	for range 3 {
		c.Assert(store.Save(commands.Save{Document: next}), qt.IsNil)
		next = next.Next(2)
	}
	c.Assert(store.prune(), qt.IsNil)
	c.Assert(store.Bytes() <= 700<<10, qt.IsTrue)
	_, err := store.ConfigAt(newest.ConfigChain[len(newest.ConfigChain)-1])
	c.Assert(err, qt.IsNil)
}
