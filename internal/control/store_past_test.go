package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// chainOf gives a document with so many configurations of a size, and the ones before it, oldest first.
func chainOf(count, size int) (newest *Document, past []*Document) {
	newest = document(2, 1)
	for range count {
		past = append(past, newest)
		newest = newest.next(2)
		newest.putConfig([]byte(strings.Repeat("x", size-8)+fmt.Sprintf("%08d", newest.Revision)), nil)
	}
	return newest, past[1:]
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

// pastStore is a store that holds just the newest document.
func pastStore(c *qt.C, newest *Document) (*Store, *memoryDisk, *countingFolder) {
	disk := &memoryDisk{files: map[string][]byte{}, most: 64 << 20}
	folder := &countingFolder{Folder: disk}
	store, _, _, err := OpenStore(folder, "f", func() string { return "b" })
	c.Assert(err, qt.IsNil)
	c.Assert(store.Save(Save{Ballot: &Ballot{Term: 2}, Document: newest}), qt.IsNil)
	folder.puts = 0
	return store, disk, folder
}

func TestPastConfigurationsAreKeptInOneWrite(t *testing.T) {
	c := qt.New(t)
	newest, past := chainOf(12, 100)
	store, disk, folder := pastStore(c, newest)
	slices.Reverse(past)
	outcome := store.Keep(past)
	c.Assert(outcome.Err, qt.IsNil)
	c.Assert(outcome.Kept, qt.HasLen, len(past))
	c.Assert(folder.puts, qt.Equals, 1)
	// Kept once more, and after a restart, they are the same.
	c.Assert(store.Keep(past).Err, qt.IsNil)
	c.Assert(folder.puts, qt.Equals, 1)
	again, _, restored, err := OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(restored.stamp(), qt.Equals, newest.stamp())
	for _, mark := range newest.Chain {
		found, err := again.ConfigAt(mark)
		c.Assert(err, qt.IsNil)
		c.Assert(MarkOf(found), qt.Equals, mark)
	}
	c.Assert(again.ConfigRevisions(), qt.HasLen, len(newest.Chain))
	c.Assert(again.bytes() <= disk.used, qt.IsTrue)
}

func TestADamagedFileOfThePastCostsNothingElse(t *testing.T) {
	c := qt.New(t)
	newest, past := chainOf(5, 100)
	store, disk, _ := pastStore(c, newest)
	c.Assert(store.Keep(past).Err, qt.IsNil)
	name := pastName(past[len(past)-1].stamp())
	disk.files[name][100] ^= 1
	again, ballot, restored, err := OpenStore(disk, "f", func() string { return "c" })
	c.Assert(err, qt.IsNil)
	c.Assert(again.Member(), qt.Equals, MemberID("b"))
	c.Assert(ballot.Term, qt.Equals, uint64(2))
	c.Assert(restored.stamp(), qt.Equals, newest.stamp())
	c.Assert(again.Promised(), qt.Equals, newest.stamp())
	c.Assert(again.Aside(), qt.DeepEquals, []string{name})
	_, err = again.ConfigAt(newest.Chain[0])
	c.Assert(errors.As(err, new(MissingRevision)), qt.IsTrue)
	c.Assert(again.Keep(past).Err, qt.IsNil)
}

func TestAFolderKeepsThePastAsFarAsThereIsRoom(t *testing.T) {
	c := qt.New(t)
	newest, past := chainOf(10, 100<<10)
	store, _, _ := pastStore(c, newest)
	store.Bound(StoreBounds{Revisions: 700 << 10})
	slices.Reverse(past)
	outcome := store.Keep(past)
	c.Assert(errors.As(outcome.Err, new(NoRoom)), qt.IsTrue)
	c.Assert(len(outcome.Kept) > 1, qt.IsTrue)
	// The newest of them, without a gap.
	for i, revision := range outcome.Kept {
		c.Assert(revision, qt.Equals, past[i].ConfigRevision)
	}
	c.Assert(outcome.Refused, qt.Equals, past[len(outcome.Kept)].ConfigRevision)
	c.Assert(store.bytes() <= 700<<10, qt.IsTrue)
	// A newer document goes before the past, which goes as a whole file.
	next := newest.next(2)
	next.putConfig(slices.Clone(newest.Config[1:]), nil)
	for range 3 {
		c.Assert(store.Save(Save{Document: next}), qt.IsNil)
		next = next.next(2)
	}
	c.Assert(store.prune(), qt.IsNil)
	c.Assert(store.bytes() <= 700<<10, qt.IsTrue)
	_, err := store.ConfigAt(newest.Chain[len(newest.Chain)-1])
	c.Assert(err, qt.IsNil)
}

// The core's own writes wait behind a write of the past, so that is bounded.
func TestAWriteOfThePastIsBounded(t *testing.T) {
	for _, example := range []struct{ size, most int }{
		{100, keepsAtOnce}, {40 << 10, 6}, {1 << 20, 1},
	} {
		c := qt.New(t)
		newest, past := chainOf(40, example.size)
		b := newBench(c, Ballot{Term: 2}, newest)
		b.core.committed = newest
		writes := []Keep{}
		collect := func() {
			for _, command := range b.core.take() {
				if keep, isKeep := command.(Keep); isKeep {
					writes = append(writes, keep)
				}
			}
		}
		for _, document := range past {
			b.core.onRecalled(memberA.Address, &Recalled{Mark: MarkOf(document), Document: document})
			collect()
		}
		kept := 0
		for i := 0; i < len(writes); i++ {
			c.Assert(len(writes[i].Documents) <= example.most, qt.IsTrue, qt.Commentf("%d documents of %d bytes", len(writes[i].Documents), example.size))
			outcome := KeepOutcome{}
			for _, document := range writes[i].Documents {
				outcome.Kept = append(outcome.Kept, document.ConfigRevision)
			}
			kept += len(outcome.Kept)
			b.core.Kept(b.now, outcome)
			collect()
		}
		c.Assert(kept, qt.Equals, len(past))
		// The first comes alone; the others are as few writes as the bounds allow.
		c.Assert(len(writes) <= 1+(len(past)-1+example.most-1)/example.most, qt.IsTrue, qt.Commentf("%d writes", len(writes)))
	}
}

// On a disk 30 times as slow a member that was away for 100 changes is whole soon after its link
// could have brought what it lacks.
func TestAMemberOnASlowDiskIsWholeSoon(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	example := catchUpCase{size: 16 << 10, every: kernel.Second, before: 30, away: []int{64}, disk: slowDisk}
	for _, result := range example.run(c, 1) {
		beyond := result.whole - result.link()
		c.Logf("whole %d ms beyond the link's own time", beyond/ms)
		c.Assert(beyond < 2*kernel.Second, qt.IsTrue)
	}
}
