package history

import (
	"fmt"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Revisions are stored while those of earlier processes are still being listed. With -race, this detects unguarded
// access to the entries.
func TestRevisionsAreStoredWhileTheStoreIsListed(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "specs.git")
	const stored = 60
	earlier := open(c, path)
	for revision := range uint64(stored) {
		earlier.storeTest(c, revision+1, fmt.Sprintf(`{"of":%d}`, revision))
	}
	archive, err := Open(path, "here", testBound)
	c.Assert(err, qt.IsNil)
	for revision := range uint64(10) {
		archive.storeTest(c, stored+revision+1, `{"new":true}`)
		archive.History()
	}
	archive.listing.Wait()
	c.Assert(revisions(archive), qt.HasLen, stored+10)
}
