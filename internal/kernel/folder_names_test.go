package kernel

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Paths and prefixes are taken literally. With filepath.Glob, a folder whose name has pattern characters
// would look empty.
func TestFoldersOfAnyNameAreListed(t *testing.T) {
	for _, name := range []string{"plain", "data[1]", "data[", "a*b", "what?", `back\slash`, "[a-z]{1,2}"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), name)
			folder, err := OpenFolder(path)
			c.Assert(err, qt.IsNil)
			c.Assert(folder.Put("part-[1].json", []byte("1")), qt.IsNil)
			c.Assert(folder.Put("part-2.json", []byte("2")), qt.IsNil)
			c.Assert(folder.Put("other.json", []byte("3")), qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(path, "part-3.json"+temporarySuffix), nil, fileMode), qt.IsNil)
			names, err := folder.List("part-")
			c.Assert(err, qt.IsNil)
			c.Assert(names, qt.DeepEquals, []string{"part-2.json", "part-[1].json"})
			names, err = folder.List("part-[1")
			c.Assert(err, qt.IsNil)
			c.Assert(names, qt.DeepEquals, []string{"part-[1].json"})

			_, err = OpenFolder(path)
			c.Assert(err, qt.IsNil)
			_, err = os.Stat(filepath.Join(path, "part-3.json"+temporarySuffix))
			c.Assert(err, qt.ErrorIs, os.ErrNotExist)
		})
	}
}

// A folder that can't be read is an error and not an empty list.
func TestAFolderThatCannotBeReadIsAnError(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "data")
	folder, err := OpenFolder(path)
	c.Assert(err, qt.IsNil)
	c.Assert(os.RemoveAll(path), qt.IsNil)
	_, err = folder.List("")
	c.Assert(err, qt.ErrorAs, new(DiskError))
}
