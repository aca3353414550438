package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// chainOf gives a document with so many configurations of a size, and the ones before it, oldest first.
func chainOf(count, size int) (newest *cluster.Document, older []*cluster.Document) {
	newest = document(2, 1)
	for range count {
		older = append(older, newest)
		newest = newest.Next(2)
		newest.PutConfig([]byte(strings.Repeat("x", size-8)+fmt.Sprintf("%08d", newest.Revision)), nil)
	}
	return newest, older[1:]
}

// countingFolder counts the writes.
type countingFolder struct {
	kernel.Folder
	puts int
}

func (f *countingFolder) Put(name string, content []byte) error {
	f.puts++
	return f.Folder.Put(name, content)
}

// historyStore is a store that holds just the newest document.
func historyStore(c *qt.C, newest *cluster.Document) (*storage.Store, *memoryDisk, *countingFolder) {
	disk := &memoryDisk{files: map[string][]byte{}, most: 64 << 20}
	folder := &countingFolder{Folder: disk}
	store, _, _, err := storage.OpenStore(folder, "f", func() string { return "b" })
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
	// Kept once more, and after a restart, they are the same.
	c.Assert(store.SaveHistory(older).Err, qt.IsNil)
	c.Assert(folder.puts, qt.Equals, 1)
	again, _, restored, err := storage.OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Position(), qt.Equals, newest.Position())
	for _, mark := range newest.ConfigChain {
		found, err := again.ConfigAt(mark)
		c.Assert(err, qt.IsNil)
		c.Assert(cluster.ConfigRefOf(found), qt.Equals, mark)
	}
	c.Assert(again.ConfigRevisions(), qt.HasLen, len(newest.ConfigChain))
	c.Assert(again.Bytes() <= disk.used, qt.IsTrue)
}

func TestADamagedHistoryFileCostsNothingElse(t *testing.T) {
	c := qt.New(t)
	newest, older := chainOf(5, 100)
	store, disk, _ := historyStore(c, newest)
	c.Assert(store.SaveHistory(older).Err, qt.IsNil)
	name := storage.HistoryFileName(older[len(older)-1].Position())
	disk.files[name][100] ^= 1
	again, ballot, restored, err := storage.OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(again.Member(), qt.Equals, cluster.MemberID("b"))
	c.Assert(ballot.Term, qt.Equals, uint64(2))
	c.Assert(restored.Position(), qt.Equals, newest.Position())
	c.Assert(again.Acknowledged(), qt.Equals, newest.Position())
	c.Assert(again.Quarantined(), qt.DeepEquals, []string{name})
	_, err = again.ConfigAt(newest.ConfigChain[0])
	c.Assert(errors.As(err, new(storage.MissingRevisionError)), qt.IsTrue)
	c.Assert(again.SaveHistory(older).Err, qt.IsNil)
}

func TestAFolderKeepsHistoryWithinItsBound(t *testing.T) {
	c := qt.New(t)
	newest, older := chainOf(10, 100<<10)
	store, _, _ := historyStore(c, newest)
	store.SetBounds(storage.StoreBounds{Revisions: 700 << 10})
	slices.Reverse(older)
	result := store.SaveHistory(older)
	c.Assert(errors.As(result.Err, new(commands.NoSpaceError)), qt.IsTrue)
	c.Assert(len(result.Saved) > 1, qt.IsTrue)
	// The newest of them, without a gap.
	for i, revision := range result.Saved {
		c.Assert(revision, qt.Equals, older[i].ConfigRevision)
	}
	c.Assert(result.Rejected, qt.Equals, older[len(result.Saved)].ConfigRevision)
	c.Assert(store.Bytes() <= 700<<10, qt.IsTrue)
	// A newer document goes before the past, which goes as a whole file.
	next := newest.Next(2)
	next.PutConfig(slices.Clone(newest.Config[1:]), nil)
	for range 3 {
		c.Assert(store.Save(commands.Save{Document: next}), qt.IsNil)
		next = next.Next(2)
	}
	c.Assert(store.Prune(), qt.IsNil)
	c.Assert(store.Bytes() <= 700<<10, qt.IsTrue)
	_, err := store.ConfigAt(newest.ConfigChain[len(newest.ConfigChain)-1])
	c.Assert(err, qt.IsNil)
}

// The core's own writes wait behind a write of the past, so that is bounded.
func TestAHistoryWriteIsBounded(t *testing.T) {
	for _, example := range []struct{ size, most int }{
		{100, maxStoreConfigs}, {40 << 10, 6}, {1 << 20, 1},
	} {
		c := qt.New(t)
		newest, older := chainOf(40, example.size)
		b := newBench(c, cluster.HardState{Term: 2}, newest)
		b.core.committed = newest
		writes := []commands.SaveHistory{}
		collect := func() {
			for _, command := range b.core.takeCommands() {
				if saveHistory, isSaveHistory := command.(commands.SaveHistory); isSaveHistory {
					writes = append(writes, saveHistory)
				}
			}
		}
		for _, document := range older {
			b.core.onFetchConfigResponse(memberA.Address, &wire.FetchConfigResponse{Config: cluster.ConfigRefOf(document), Document: document})
			collect()
		}
		kept := 0
		for i := 0; i < len(writes); i++ {
			c.Assert(len(writes[i].Documents) <= example.most, qt.IsTrue, qt.Commentf("%d documents of %d bytes", len(writes[i].Documents), example.size))
			result := commands.SaveHistoryResult{}
			for _, document := range writes[i].Documents {
				result.Saved = append(result.Saved, document.ConfigRevision)
			}
			kept += len(result.Saved)
			b.core.HistoryStored(b.now, result)
			collect()
		}
		c.Assert(kept, qt.Equals, len(older))
		// The first comes alone; the others are as few writes as the bounds allow.
		c.Assert(len(writes) <= 1+(len(older)-1+example.most-1)/example.most, qt.IsTrue, qt.Commentf("%d writes", len(writes)))
	}
}

// On a disk 30 times as slow a member that was away for 100 changes is whole soon after its link
// could have brought what it lacks.
func TestAMemberOnASlowDiskIsCompleteSoon(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	example := catchUpCase{size: 16 << 10, every: kernel.Second, before: 30, downSpan: []int{64}, disk: slowDisk}
	for _, result := range example.run(c, 1) {
		beyond := result.complete - result.link()
		c.Logf("whole %d ms beyond the link's own time", beyond/ms)
		c.Assert(beyond < 2*kernel.Second, qt.IsTrue)
	}
}
