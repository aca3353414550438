package storage

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

func newEnds(fleet string, engines ...string) *EngineEnds {
	ends := &EngineEnds{Format: EndsFormat, Fleet: fleet}
	for _, id := range engines {
		ends.Engines = append(ends.Engines, registry.EngineRecord{ID: id, Start: 1, AnnouncementSeq: 4, IsDraining: true})
	}
	return ends
}

func openEmpty(c *qt.C) (*Store, *kernel.DiskFolder) {
	folder, err := kernel.OpenFolder(c.TempDir())
	c.Assert(err, qt.IsNil)
	store, _, _, err := OpenStore(folder, "f", func() string { return "m" })
	c.Assert(err, qt.IsNil)
	return store, folder
}

func TestStoredEndsAreReadAgain(t *testing.T) {
	c := qt.New(t)
	store, folder := openEmpty(c)
	found, err := store.Ends("f")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.IsNil)
	c.Assert(store.SaveEnds(newEnds("f", "a", "b")), qt.IsNil)
	c.Assert(store.SaveEnds(newEnds("f", "b", "c")), qt.IsNil)
	reopened, _, _, err := OpenStore(folder, "f", func() string { return "other" })
	c.Assert(err, qt.IsNil)
	found, err = reopened.Ends("f")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.DeepEquals, newEnds("f", "b", "c"))
}

func TestUnusableEndsAreQuarantined(t *testing.T) {
	newer := newEnds("f", "a")
	newer.Format = EndsFormat + 1
	for _, each := range []struct {
		name   string
		write  func(*qt.C, *Store, *kernel.DiskFolder)
		wanted any
	}{
		{"damaged", func(c *qt.C, _ *Store, folder *kernel.DiskFolder) {
			c.Assert(folder.Put(EndsName, []byte("half a file")), qt.IsNil)
		}, new(DamagedFileError)},
		{"another fleet", func(c *qt.C, store *Store, _ *kernel.DiskFolder) {
			c.Assert(store.SaveEnds(newEnds("g", "a")), qt.IsNil)
		}, new(DamagedFileError)},
		{"newer build", func(c *qt.C, store *Store, _ *kernel.DiskFolder) { c.Assert(store.SaveEnds(newer), qt.IsNil) }, new(NewerFormatError)},
	} {
		t.Run(each.name, func(t *testing.T) {
			c := qt.New(t)
			store, folder := openEmpty(c)
			each.write(c, store, folder)
			found, err := store.Ends("f")
			c.Assert(err, qt.ErrorAs, each.wanted)
			c.Assert(found, qt.IsNil)
			c.Assert(store.Quarantined(), qt.DeepEquals, []string{EndsName})
			found, err = store.Ends("f")
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.IsNil)
		})
	}
}

// Guards against a disk that fails for a moment and costs a member the ends that it has stored.
func TestEndsThatTheDiskRefusesToReadStayInPlace(t *testing.T) {
	c := qt.New(t)
	store, folder := openEmpty(c)
	c.Assert(store.SaveEnds(newEnds("f", "a")), qt.IsNil)
	broken := &Store{folder: unreadableFolder{folder}}
	_, err := broken.Ends("f")
	c.Assert(err, qt.ErrorAs, new(kernel.DiskError))
	c.Assert(broken.Quarantined(), qt.HasLen, 0)
	found, err := store.Ends("f")
	c.Assert(err, qt.IsNil)
	c.Assert(found.Engines, qt.HasLen, 1)
}

type refusedError struct{}

func (refusedError) Error() string { return "refused" }

// unreadableFolder is a folder whose disk refuses to read.
type unreadableFolder struct{ kernel.Folder }

func (unreadableFolder) Get(name string) ([]byte, error) {
	return nil, kernel.DiskError{Op: "read", Name: name, Cause: refusedError{}}
}

func TestEndsAboveTheLimitAreRefusedAndTheEarlierOnesKept(t *testing.T) {
	c := qt.New(t)
	store, _ := openEmpty(c)
	c.Assert(store.SaveEnds(newEnds("f", "a")), qt.IsNil)
	store.SetBounds(StoreBounds{Snapshot: 64})
	c.Assert(store.SaveEnds(newEnds("f", "b", "c")), qt.ErrorAs, new(EndsTooLargeError))
	found, err := store.Ends("f")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.DeepEquals, newEnds("f", "a"))
}
