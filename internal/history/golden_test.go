package history

import (
	"compress/zlib"
	"flag"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// updateGolden rewrites the golden files. They match what running nodes have on disk, so a difference is a
// change of the format, which rewriting the files alone would only hide.
var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const (
	goldenArchive = "testdata/golden/archive"
	goldenFleet   = "fleet-a"
)

// goldenConfigs returns the configurations of the golden archive with their metadata. The first one has all
// fields set, and is stored first although it is newer; the second has only the required fields.
func goldenConfigs() (metadata []Metadata, configs []string) {
	configs = []string{`{"ver":9,"text":"<&>"}`, `{"ver":4}`}
	return []Metadata{
		{Revision: 9, Digest: Digest([]byte(configs[0])), Submission: "submission <b>", ClusterID: "founding <c>", StoredAt: "2031-05-06T07:08:09Z"},
		{Revision: 4, Digest: Digest([]byte(configs[1])), StoredAt: "2032-05-06T07:08:09Z"},
	}, configs
}

func writtenArchive(c *qt.C) string {
	c.Helper()
	path := filepath.Join(c.TempDir(), "archive")
	archive, err := Open(path, goldenFleet, testBound)
	c.Assert(err, qt.IsNil)
	archive.listing.Wait()
	metadata, configs := goldenConfigs()
	for i, config := range configs {
		c.Assert(archive.Store(metadata[i], []byte(config)), qt.IsNil)
	}
	return path
}

// archiveFiles returns the files of an archive by name, with objects decompressed, because another release of
// the compressor may encode the same object differently. The names of objects are hashes of their content.
func archiveFiles(c *qt.C, path string) map[string]string {
	c.Helper()
	files := map[string]string{}
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		file, err := os.Open(name)
		c.Assert(err, qt.IsNil)
		defer func() { c.Check(file.Close(), qt.IsNil) }()
		relative, err := filepath.Rel(path, name)
		c.Assert(err, qt.IsNil)
		content := io.Reader(file)
		if strings.HasPrefix(filepath.ToSlash(relative), "objects/") {
			content, err = zlib.NewReader(file)
			c.Assert(err, qt.IsNil)
		}
		text, err := io.ReadAll(content)
		c.Assert(err, qt.IsNil)
		files[filepath.ToSlash(relative)] = string(text)
		return nil
	})
	c.Assert(err, qt.IsNil)
	return files
}

func TestArchiveFormatIsUnchanged(t *testing.T) {
	c := qt.New(t)
	fresh := writtenArchive(c)
	if *updateGolden {
		c.Assert(os.RemoveAll(goldenArchive), qt.IsNil)
		c.Assert(os.CopyFS(goldenArchive, os.DirFS(fresh)), qt.IsNil)
	}
	c.Assert(archiveFiles(c, fresh), qt.DeepEquals, archiveFiles(c, goldenArchive))
	path := filepath.Join(c.TempDir(), "archive")
	c.Assert(os.CopyFS(path, os.DirFS(goldenArchive)), qt.IsNil)
	archive, err := Open(path, goldenFleet, testBound)
	c.Assert(err, qt.IsNil)
	archive.listing.Wait()
	metadata, configs := goldenConfigs()
	c.Assert(archive.History(), qt.DeepEquals, []Metadata{metadata[1], metadata[0]})
	for i, config := range configs {
		found, stored, err := archive.Config(metadata[i].Revision)
		c.Assert(err, qt.IsNil)
		c.Assert(string(found), qt.Equals, config)
		c.Assert(stored, qt.Equals, metadata[i])
		c.Assert(archive.Contains(metadata[i].Revision, metadata[i].Digest), qt.IsTrue)
	}
	// The golden archive was opened as it is, and not replaced by an empty one.
	damagedPaths, err := filepath.Glob(path + damagedSuffix + "*")
	c.Assert(err, qt.IsNil)
	c.Assert(damagedPaths, qt.HasLen, 0)
}
