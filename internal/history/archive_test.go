package history

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	billy "github.com/go-git/go-billy/v5"
	"github.com/go-git/go-billy/v5/osfs"
)

// testBound is a size bound in bytes that the tests do not reach.
const testBound = 64 << 20

// testMetadata returns metadata for a configuration.
func testMetadata(revision uint64, config string) Metadata {
	return Metadata{Revision: revision, Digest: Digest([]byte(config)), Submission: fmt.Sprint("s", revision), ClusterID: "f", StoredAt: "2031-05-06T07:08:09Z"}
}

// open opens the store of the fleet "here" and waits until its revisions are listed.
func open(c *qt.C, path string) *Archive {
	c.Helper()
	archive, err := Open(path, "here", testBound)
	c.Assert(err, qt.IsNil)
	archive.listing.Wait()
	return archive
}

// storeTest stores a configuration under a revision.
func (archive *Archive) storeTest(c *qt.C, revision uint64, config string) {
	c.Helper()
	c.Assert(archive.Store(testMetadata(revision, config), []byte(config)), qt.IsNil)
}

// revisions returns the listed revisions in ascending order.
func revisions(archive *Archive) []uint64 {
	found := []uint64{}
	for _, metadata := range archive.History() {
		found = append(found, metadata.Revision)
	}
	return found
}

func TestStoredRevisionsAreReadBackAfterReopening(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "specs.git")
	archive := open(c, path)
	// Revision 5 fills a gap, and revision 9 is stored twice with the same bytes.
	for _, revision := range []uint64{3, 9, 5, 9} {
		archive.storeTest(c, revision, fmt.Sprintf(`{"of":%d}`, revision%5))
	}
	again := open(c, path)
	c.Assert(revisions(again), qt.DeepEquals, []uint64{3, 5, 9})
	for _, revision := range []uint64{3, 5, 9} {
		config, metadata, err := again.Config(revision)
		c.Assert(err, qt.IsNil)
		c.Assert(string(config), qt.Equals, fmt.Sprintf(`{"of":%d}`, revision%5))
		c.Assert(metadata, qt.Equals, testMetadata(revision, string(config)))
	}
	newest, err := again.repo.Head()
	c.Assert(err, qt.IsNil)
	commit, err := again.repo.CommitObject(newest.Hash())
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasPrefix(commit.Message, "generation 9\n"), qt.IsTrue)
	_, _, err = again.Config(4)
	c.Assert(errors.As(err, new(MissingRevisionError)), qt.IsTrue)
	// A configuration with another digest is never stored.
	c.Assert(errors.As(again.Store(testMetadata(11, "one"), []byte("other")), new(DamagedRevisionError)), qt.IsTrue)
}

// damage applies an edit to every object file of a store.
func damage(c *qt.C, path string, edit func(name string) error) {
	c.Helper()
	names, err := filepath.Glob(filepath.Join(path, "objects", "??", "*"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(names) > 3, qt.IsTrue)
	for _, name := range names {
		c.Assert(os.Chmod(name, 0o644), qt.IsNil)
		c.Assert(edit(name), qt.IsNil)
	}
}

func TestDamageIsDetectedAndRepairedByStoringAgain(t *testing.T) {
	for name, edit := range map[string]func(string) error{
		"truncated":   func(name string) error { return os.Truncate(name, 9) },
		"emptied":     func(name string) error { return os.Truncate(name, 0) },
		"overwritten": func(name string) error { return os.WriteFile(name, []byte("overwritten"), 0o644) },
		"removed":     os.Remove,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(c.TempDir(), "specs.git")
			open(c, path).storeTest(c, 7, `{"a":1}`)
			damage(c, path, edit)
			again := open(c, path)
			_, _, err := again.Config(7)
			c.Assert(err, qt.IsNotNil)
			c.Assert(again.Contains(7, Digest([]byte(`{"a":1}`))), qt.IsFalse)
			again.storeTest(c, 7, `{"a":1}`)
			config, _, err := open(c, path).Config(7)
			c.Assert(err, qt.IsNil)
			c.Assert(string(config), qt.Equals, `{"a":1}`)
		})
	}
}

// The hashes of Git protect only the objects. The digest in the metadata ties a configuration to the one that the core
// has agreed on.
func TestConfigWithWrongDigestIsNeitherStoredNorRead(t *testing.T) {
	c := qt.New(t)
	archive := open(c, filepath.Join(c.TempDir(), "specs.git"))
	metadata := testMetadata(7, `{"a":1}`)
	c.Assert(errors.As(archive.Store(metadata, []byte(`{"a":2}`)), new(DamagedRevisionError)), qt.IsTrue)
	c.Assert(revisions(archive), qt.HasLen, 0)
	metadata.StoredAt = "2026-01-02T03:04:05Z"
	c.Assert(archive.commit(metadata, []byte(`{"a":2}`)), qt.IsNil)
	_, _, err := archive.Config(7)
	c.Assert(errors.As(err, new(DamagedRevisionError)), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(archive.Contains(7, metadata.Digest), qt.IsFalse)
}

// syncCheckingFiles is a file system that counts the written files, and those that are closed without being synced.
type syncCheckingFiles struct {
	billy.Filesystem
	written, unsynced *int
}

type watchedFile struct {
	billy.File
	watch    syncCheckingFiles
	isSynced bool
}

func (f *watchedFile) Sync() error {
	f.isSynced = true
	return nil
}

func (f *watchedFile) Close() error {
	*f.watch.written++
	if !f.isSynced {
		*f.watch.unsynced++
	}
	return f.File.Close()
}

func (s syncCheckingFiles) TempFile(dir, prefix string) (billy.File, error) {
	file, err := s.Filesystem.TempFile(dir, prefix)
	return &watchedFile{File: file, watch: s}, err
}

func (s syncCheckingFiles) OpenFile(name string, flag int, perm os.FileMode) (billy.File, error) {
	file, err := s.Filesystem.OpenFile(name, flag, perm)
	if err != nil || flag&(os.O_WRONLY|os.O_RDWR) == 0 {
		return file, err
	}
	return &watchedFile{File: file, watch: s}, nil
}

// Once a revision is stored, a power failure must not lose any part of it, so all of its files have to be synced.
func TestEachFileOfARevisionIsSynced(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "specs.git")
	var written, unsynced int
	archive := &Archive{path: path, fleet: "here", maxBytes: testBound}
	c.Assert(archive.open(syncCheckingFiles{osfs.New(path), &written, &unsynced}), qt.IsNil)
	archive.storeTest(c, 3, `{"first":true}`)
	// A revision has at least two blobs, a tree, a commit and two references.
	c.Assert(written >= 6, qt.IsTrue, qt.Commentf("%d", written))
	c.Assert(unsynced, qt.Equals, 0)
}

func TestOpenReplacesUnreadableStoreAndKeepsForeignStore(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "specs.git")
	open(c, path).storeTest(c, 7, `{"a":1}`)
	_, err := Open(path, "another", testBound)
	c.Assert(errors.As(err, new(ForeignStoreError)), qt.IsTrue)
	c.Assert(revisions(open(c, path)), qt.DeepEquals, []uint64{7})
	// A store with a newer format is left unchanged as well.
	newer := open(c, path)
	hash, err := newer.writeObject(1+2, []byte(`{"format":9,"fleet":"here"}`))
	c.Assert(err, qt.IsNil)
	ref, err := newer.files.Reference(fleetRef)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(path, string(fleetRef)), []byte(hash.String()+"\n"), 0o644), qt.IsNil)
	_, err = Open(path, "here", testBound)
	c.Assert(errors.As(err, new(ForeignStoreError)), qt.IsTrue)
	c.Assert(os.WriteFile(filepath.Join(path, string(fleetRef)), []byte(ref.Hash().String()+"\n"), 0o644), qt.IsNil)
	// A store that can't be read is renamed and replaced by an empty one.
	c.Assert(os.WriteFile(filepath.Join(path, "config"), []byte("[[[ no config"), 0o644), qt.IsNil)
	c.Assert(revisions(open(c, path)), qt.HasLen, 0)
	damagedPaths, err := filepath.Glob(path + damagedSuffix + "*")
	c.Assert(err, qt.IsNil)
	c.Assert(damagedPaths, qt.HasLen, 1)
}

// fullFiles is a file system that fails with ENOSPC after the remaining bytes were written.
type fullFiles struct {
	billy.Filesystem
	remaining *int
}

type fullFile struct {
	billy.File
	remaining *int
}

func (f fullFile) Write(chunk []byte) (int, error) {
	if *f.remaining -= len(chunk); *f.remaining < 0 {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(chunk)
}

func (f fullFiles) TempFile(dir, prefix string) (billy.File, error) {
	file, err := f.Filesystem.TempFile(dir, prefix)
	return fullFile{file, f.remaining}, err
}

func (f fullFiles) OpenFile(name string, flag int, perm os.FileMode) (billy.File, error) {
	file, err := f.Filesystem.OpenFile(name, flag, perm)
	return fullFile{file, f.remaining}, err
}

// If the disk becomes full at any point while a revision is stored, the earlier revisions stay readable, and more can
// be stored once the disk has space again.
func TestFullDiskKeepsStoredRevisions(t *testing.T) {
	c := qt.New(t)
	failed := 0
	for bytes := 0; bytes < 900; bytes += 60 {
		path := filepath.Join(c.TempDir(), fmt.Sprint("specs", bytes))
		remaining := 1 << 20
		archive := &Archive{path: path, fleet: "here", maxBytes: testBound}
		c.Assert(archive.open(fullFiles{osfs.New(path), &remaining}), qt.IsNil)
		archive.storeTest(c, 3, `{"first":true}`)
		remaining = bytes
		err := archive.Store(testMetadata(4, `{"second":true}`), []byte(`{"second":true}`))
		if err != nil {
			failed++
			c.Assert(errors.Is(err, syscall.ENOSPC), qt.IsTrue, qt.Commentf("%v", err))
			// The revision is missing or complete. It is complete if the disk became full after its tag was written.
			config, _, err := archive.Config(4)
			if err == nil {
				c.Assert(string(config), qt.Equals, `{"second":true}`)
			} else {
				c.Assert(errors.As(err, new(MissingRevisionError)), qt.IsTrue, qt.Commentf("%v", err))
			}
		}
		remaining = 1 << 20
		again := open(c, path)
		c.Assert(again.Contains(3, Digest([]byte(`{"first":true}`))), qt.IsTrue)
		again.storeTest(c, 4, `{"second":true}`)
		c.Assert(revisions(again), qt.DeepEquals, []uint64{3, 4})
	}
	c.Assert(failed > 5, qt.IsTrue)
}

func TestGrowthIsBounded(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "specs.git")
	archive, err := Open(path, "here", 60_000)
	c.Assert(err, qt.IsNil)
	for revision := range uint64(60) {
		// Digests hardly compress.
		config := strings.Builder{}
		for i := range 60 {
			config.WriteString(Digest([]byte(fmt.Sprint(revision, "-", i))))
		}
		archive.storeTest(c, revision+1, config.String())
		c.Assert(archive.bytes <= 60_000+8_000, qt.IsTrue, qt.Commentf("%d bytes at revision %d", archive.bytes, revision+1))
	}
	kept := revisions(open(c, path))
	c.Assert(kept[len(kept)-1], qt.Equals, uint64(60))
	c.Assert(len(kept) > 5 && len(kept) < 60, qt.IsTrue, qt.Commentf("%v", kept))
	for i := 1; i < len(kept); i++ {
		c.Assert(kept[i], qt.Equals, kept[i-1]+1, qt.Commentf("only the oldest revisions are dropped: %v", kept))
	}
}

// BenchmarkStore measures how much disk space a revision needs. The time depends mainly on the machine's disk.
func BenchmarkStore(b *testing.B) {
	for _, bindings := range []int{20, 20000} {
		b.Run(fmt.Sprint(bindings, " bindings"), func(b *testing.B) {
			archive, err := Open(filepath.Join(b.TempDir(), "specs.git"), "here", 1<<40)
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for revision := uint64(1); b.Loop(); revision++ {
				config := strings.Builder{}
				config.WriteString(`{"bindings":[`)
				for i := range bindings {
					fmt.Fprintf(&config, `{"name":"b%d","match":{"kind":"kind-%d"},"shares":[{"pool":"main","weight":%d}]},`, i, i, revision)
				}
				config.WriteString(`{"name":"rest","shares":[{"weight":1}]}]}`)
				size = config.Len()
				if err := archive.Store(testMetadata(revision, config.String()), []byte(config.String())); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "spec-bytes")
			b.ReportMetric(float64(archive.bytes)/float64(len(archive.entries)), "disk-bytes/generation")
		})
	}
}
