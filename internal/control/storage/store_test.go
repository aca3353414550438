package storage

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// OpenStore rejects a folder of a newer build or of another fleet, and leaves its files as they are.
func TestForeignFoldersAreLeftAlone(t *testing.T) {
	for name, kept := range map[string]memberFile{
		"a newer format": {Member: "m", Fleet: "here", Format: folderFormat + 1},
		"another fleet":  {Member: "m", Fleet: "there", Format: folderFormat},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder, err := kernel.OpenFolder(t.TempDir())
			c.Assert(err, qt.IsNil)
			_, err = (&Store{folder: folder}).put("member.json", kept)
			c.Assert(err, qt.IsNil)
			before, err := folder.Get("member.json")
			c.Assert(err, qt.IsNil)
			_, _, _, err = OpenStore(folder, "here", func() string { return "fresh" })
			c.Assert(err, qt.IsNotNil)
			names, err := folder.List("")
			c.Assert(err, qt.IsNil)
			c.Assert(names, qt.DeepEquals, []string{"member.json"})
			after, err := folder.Get("member.json")
			c.Assert(err, qt.IsNil)
			c.Assert(string(after), qt.Equals, string(before))
		})
	}
}

func TestStartNumbersIncrease(t *testing.T) {
	c := qt.New(t)
	path := c.TempDir()
	store, _ := snapshotStore(c, path)
	last := uint64(0)
	for _, clock := range []uint64{500, 100, 101, 900, 2} {
		start, persist := reopened(c, path).NextStart(clock)
		c.Assert(start > last && start >= clock, qt.IsTrue)
		c.Assert(persist(), qt.IsNil)
		last = start
	}
	c.Assert(last, qt.Equals, uint64(901))
	// A damaged file of the start number must not prevent a node from starting.
	c.Assert(store.folder.Put(startName, []byte("half")), qt.IsNil)
	start, persist := reopened(c, path).NextStart(7)
	c.Assert(start, qt.Equals, uint64(7))
	c.Assert(persist(), qt.IsNil)
}
