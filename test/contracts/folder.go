package contracts

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// Folder checks the contract of a data folder. Get returns a copy of a file, List returns names in
// sorted order, and Remove succeeds for a file that does not exist.
func Folder(t *testing.T, open func(t *testing.T) kernel.Folder) {
	t.Helper()
	c := qt.New(t)
	folder := open(t)
	_, err := folder.Get("none")
	var missing kernel.MissingFileError
	c.Assert(errors.As(err, &missing), qt.IsTrue)
	c.Assert(missing.Name, qt.Equals, "none")
	for i, content := range []string{"", "one", "two\x00\n"} {
		c.Assert(folder.Put(fmt.Sprintf("file-%d", i), []byte(content)), qt.IsNil)
		got, err := folder.Get(fmt.Sprintf("file-%d", i))
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, content)
	}
	c.Assert(folder.Put("file-1", []byte("again")), qt.IsNil)
	got, err := folder.Get("file-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "again")
	// Get returns a copy, so changing it does not change the file.
	got[0] = 'X'
	got, err = folder.Get("file-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "again")
	c.Assert(folder.Put("other", []byte("x")), qt.IsNil)
	names, err := folder.List("file-")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"file-0", "file-1", "file-2"})
	c.Assert(folder.Rename("file-2", "moved"), qt.IsNil)
	c.Assert(folder.Remove("file-0"), qt.IsNil)
	c.Assert(folder.Remove("file-0"), qt.IsNil)
	names, err = folder.List("")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"file-1", "moved", "other"})
}
