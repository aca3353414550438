package kernel

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestIncompleteFilesAreRemovedOnOpen(t *testing.T) {
	c := qt.New(t)
	path := t.TempDir()
	folder, err := OpenFolder(path)
	c.Assert(err, qt.IsNil)
	c.Assert(folder.Put("complete", []byte("kept")), qt.IsNil)
	// A crash between creating the temporary file and the rename leaves this file.
	c.Assert(os.WriteFile(filepath.Join(path, "half.aside"), []byte("ha"), 0o600), qt.IsNil)
	names, err := folder.List("")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"complete"})
	_, err = OpenFolder(path)
	c.Assert(err, qt.IsNil)
	_, err = os.Stat(filepath.Join(path, "half.aside"))
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	// If the rename fails, the error names the operation, and the temporary file is removed.
	c.Assert(os.Mkdir(filepath.Join(path, "taken"), 0o755), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(path, "taken", "x"), nil, 0o600), qt.IsNil)
	err = folder.Put("taken", []byte("y"))
	var diskErr DiskError
	c.Assert(errors.As(err, &diskErr), qt.IsTrue)
	c.Assert(diskErr.Op, qt.Equals, "rename")
	_, err = os.Stat(filepath.Join(path, "taken.aside"))
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
}
