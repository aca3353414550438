// Package history keeps every acknowledged configuration of the past in a Git object store, for
// operators to read and compare. It is never on the path of a reply: the core stays
// the authority, and what is lost here is filed again from it or from other nodes.
package history

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	billy "github.com/go-git/go-billy/v5"
	"github.com/go-git/go-billy/v5/osfs"
	git "github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/cache"
	"github.com/go-git/go-git/v5/plumbing/filemode"
	"github.com/go-git/go-git/v5/plumbing/object"
	"github.com/go-git/go-git/v5/storage/filesystem"
)

// Names in the store: a tag for each revision, and the newest as the main branch.
const (
	tagPrefix      = "refs/tags/generation-"
	fleetRef       = plumbing.ReferenceName("refs/dunlinloom/fleet")
	latestRef      = plumbing.ReferenceName("refs/heads/master")
	configName     = "spec.json"
	metadataName   = "receipt.json"
	format         = 1
	maxObjectBytes = 4 << 20
	maxRevisions   = 4096 // revisions
	damagedSuffix  = ".damaged-"
)

// Metadata are what is known of an acknowledged configuration besides its bytes.
type Metadata struct {
	Revision   uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Submission string `json:"submission,omitempty"`
	ClusterID  string `json:"founding,omitempty"`
	StoredAt   string `json:"filed"` // when this node filed it, by its own clock
}

// Archive is one node's store.
type Archive struct {
	lock  sync.Mutex // guards the store and all below; a stalled disk may hold it for long
	path  string
	fleet string
	bound int64
	repo  *git.Repository
	files *filesystem.Storage
	bytes int64
	// listing is done once all that was there at the start is in held.
	listing sync.WaitGroup
	// Taken after the other, and never held over the disk: what is kept can be told
	// while the disk stalls.
	entriesLock sync.Mutex
	entries     map[uint64]Metadata
}

// ForeignStoreError says that a store belongs to another fleet or a newer format; it is left as it is.
type ForeignStoreError struct{ Path, Reason string }

func (err ForeignStoreError) Error() string {
	return fmt.Sprintf("object store %s: %s", err.Path, err.Reason)
}

// MissingRevisionError says that a revision is not kept here.
type MissingRevisionError struct{ Revision uint64 }

func (err MissingRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the object store", err.Revision)
}

// DamagedRevisionError says that what is kept of a revision is not what was filed.
type DamagedRevisionError struct {
	Revision uint64
	Reason   string
}

func (err DamagedRevisionError) Error() string {
	return fmt.Sprintf("revision %d in the object store is damaged: %s", err.Revision, err.Reason)
}

// Digest names a configuration's bytes as the core's chain does.
func Digest(config []byte) string {
	hash := sha256.New()
	hash.Write(config)
	hash.Write([]byte{0})
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

type storeHeader struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
}

// Open opens or makes the store of a fleet. One that is no store any more is set aside
// and begun anew, since all of it can be filed again.
func Open(path, fleet string, bound int64) (*Archive, error) {
	w := &Archive{path: path, fleet: fleet, bound: bound}
	err := w.open(osfs.New(path))
	if foreign := (ForeignStoreError{}); err == nil || errors.As(err, &foreign) {
		return w, err
	}
	damagedPath := path + damagedSuffix + strconv.FormatInt(time.Now().Unix(), 10)
	if renameErr := os.Rename(path, damagedPath); renameErr != nil && !errors.Is(renameErr, fs.ErrNotExist) {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, renameErr))
	}
	if reopenErr := w.open(osfs.New(path)); reopenErr != nil {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, reopenErr))
	}
	return w, nil
}

func (archive *Archive) open(disk billy.Filesystem) error {
	if err := os.MkdirAll(archive.path, 0o755); err != nil {
		return DiskError{"make", archive.path, err}
	}
	archive.files = filesystem.NewStorageWithOptions(syncedFiles{disk}, cache.NewObjectLRU(8*cache.MiByte), filesystem.Options{})
	repo, err := git.Open(archive.files, nil)
	if errors.Is(err, git.ErrRepositoryNotExists) {
		if repo, err = git.Init(archive.files, nil); err == nil {
			err = archive.writeHeader()
		}
	}
	if err != nil {
		return fmt.Errorf("open the object store: %w", err)
	}
	archive.repo = repo
	if err := archive.checkHeader(); err != nil {
		return err
	}
	archive.removeLeftovers()
	return archive.read()
}

// writeHeader writes down whose store this is.
func (archive *Archive) writeHeader() error {
	content, err := json.Marshal(storeHeader{format, archive.fleet})
	if err != nil {
		return fmt.Errorf("mark the object store: %w", err)
	}
	hash, err := archive.put(plumbing.BlobObject, content)
	if err != nil {
		return err
	}
	return archive.setReference(fleetRef, hash)
}

func (archive *Archive) checkHeader() error {
	ref, err := archive.files.Reference(fleetRef)
	if errors.Is(err, plumbing.ErrReferenceNotFound) {
		// Made and not yet marked when the power went: nothing is in it.
		return archive.writeHeader()
	}
	if err != nil {
		return fmt.Errorf("whose object store it is: %w", err)
	}
	content, err := archive.blob(ref.Hash())
	var header storeHeader
	if err == nil {
		err = json.Unmarshal(content, &header)
	}
	switch {
	case err != nil:
		return fmt.Errorf("whose object store it is: %w", err)
	case header.Format > format:
		return ForeignStoreError{archive.path, fmt.Sprintf("it is of format %d, this build knows up to %d", header.Format, format)}
	case header.Fleet != archive.fleet:
		return ForeignStoreError{archive.path, fmt.Sprintf("it belongs to fleet %q, not %q", header.Fleet, archive.fleet)}
	}
	return nil
}

// removeLeftovers takes away what a crash left half written; no name led to it yet.
func (archive *Archive) removeLeftovers() {
	leftovers, err := filepath.Glob(filepath.Join(archive.path, "objects", "pack", "tmp_*"))
	if err != nil {
		return
	}
	for _, name := range leftovers {
		os.Remove(name)
	}
}

// read lists what is held, beside whoever opened the store: thousands of revisions
// take a while, and nobody's start may wait for that. What can't be read is passed over.
func (archive *Archive) read() error {
	refs, err := archive.files.IterReferences()
	if err != nil {
		return fmt.Errorf("list the object store: %w", err)
	}
	revisions := []uint64{}
	if err := refs.ForEach(func(ref *plumbing.Reference) error {
		text, isTag := strings.CutPrefix(ref.Name().String(), tagPrefix)
		if revision, err := strconv.ParseUint(text, 10, 64); isTag && err == nil {
			revisions = append(revisions, revision)
		}
		return nil
	}); err != nil {
		return fmt.Errorf("list the object store: %w", err)
	}
	archive.entries = map[uint64]Metadata{}
	archive.listing.Go(func() {
		for _, revision := range revisions {
			archive.lock.Lock()
			_, metadata, err := archive.readRevision(revision, metadataName)
			archive.lock.Unlock()
			if err != nil {
				continue
			}
			archive.entriesLock.Lock()
			archive.entries[revision] = metadata
			archive.entriesLock.Unlock()
		}
	})
	return archive.measure()
}

func (archive *Archive) measure() error {
	archive.bytes = 0
	err := filepath.WalkDir(filepath.Join(archive.path, "objects"), func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			archive.bytes += info.Size()
		}
		return err
	})
	if err != nil {
		return DiskError{"measure", archive.path, err}
	}
	return nil
}

// put writes an object whole; a damaged one of the same name gives way.
func (archive *Archive) put(kind plumbing.ObjectType, content []byte) (plumbing.Hash, error) {
	fresh := &plumbing.MemoryObject{}
	fresh.SetType(kind)
	if _, err := fresh.Write(content); err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	hash := fresh.Hash()
	if old, err := archive.raw(hash); err == nil && string(old) == string(content) {
		return hash, nil
	}
	if err := archive.files.DeleteLooseObject(hash); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return hash, DiskError{"remove", hash.String(), err}
	}
	if _, err := archive.files.SetEncodedObject(fresh); err != nil {
		return hash, DiskError{"write", hash.String(), err}
	}
	return hash, nil
}

func (archive *Archive) raw(hash plumbing.Hash) ([]byte, error) {
	// Not from the library's cache: what counts is what the disk gives back.
	encoded, err := filesystem.NewStorageWithOptions(archive.files.Filesystem(), cache.NewObjectLRU(0), filesystem.Options{}).EncodedObject(plumbing.AnyObject, hash)
	if err != nil {
		return nil, err
	}
	reader, err := encoded.Reader()
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxObjectBytes+1))
}

func (archive *Archive) blob(hash plumbing.Hash) ([]byte, error) {
	content, err := archive.raw(hash)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", hash, err)
	}
	return content, nil
}

// readRevision reads the named files of a revision; its configuration it holds against its facts.
func (archive *Archive) readRevision(revision uint64, names ...string) ([]byte, Metadata, error) {
	ref, err := archive.files.Reference(plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10)))
	if err != nil {
		return nil, Metadata{}, MissingRevisionError{revision}
	}
	damaged := func(err error) ([]byte, Metadata, error) {
		return nil, Metadata{}, DamagedRevisionError{revision, err.Error()}
	}
	commit, err := archive.repo.CommitObject(ref.Hash())
	if err != nil {
		return damaged(err)
	}
	tree, err := commit.Tree()
	if err != nil {
		return damaged(err)
	}
	contents := map[string][]byte{}
	for _, entry := range tree.Entries {
		if !slices.Contains(names, entry.Name) {
			continue
		}
		if contents[entry.Name], err = archive.blob(entry.Hash); err != nil {
			return damaged(err)
		}
	}
	var metadata Metadata
	if err := json.Unmarshal(contents[metadataName], &metadata); err != nil {
		return damaged(err)
	}
	if metadata.Revision != revision || slices.Contains(names, configName) && Digest(contents[configName]) != metadata.Digest {
		return nil, Metadata{}, DamagedRevisionError{revision, "its digest does not fit"}
	}
	return contents[configName], metadata, nil
}

// Contains tells whether a revision is kept under a digest and can be read back whole.
func (archive *Archive) Contains(revision uint64, digest string) bool {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	_, metadata, err := archive.readRevision(revision, metadataName, configName)
	return err == nil && metadata.Digest == digest
}

// Config gives the configuration of a revision.
func (archive *Archive) Config(revision uint64) ([]byte, Metadata, error) {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.readRevision(revision, metadataName, configName)
}

// History tells what is kept, oldest first.
func (archive *Archive) History() []Metadata {
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	history := make([]Metadata, 0, len(archive.entries))
	for _, metadata := range archive.entries {
		history = append(history, metadata)
	}
	slices.SortFunc(history, func(a, b Metadata) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return history
}

// Store adds a configuration with its facts; when it returns nil all of it is synced.
func (archive *Archive) Store(metadata Metadata, config []byte) error {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	if Digest(config) != metadata.Digest {
		return DamagedRevisionError{metadata.Revision, "what was brought to be filed has another digest"}
	}
	if metadata.StoredAt == "" {
		metadata.StoredAt = time.Now().UTC().Format(time.RFC3339)
	}
	if err := archive.makeSpace(int64(len(config))); err != nil {
		return fmt.Errorf("file revision %d: %w", metadata.Revision, err)
	}
	if err := archive.commit(metadata, config); err != nil {
		return fmt.Errorf("file revision %d: %w", metadata.Revision, err)
	}
	archive.entriesLock.Lock()
	archive.entries[metadata.Revision] = metadata
	archive.entriesLock.Unlock()
	return archive.measure()
}

func (archive *Archive) commit(metadata Metadata, config []byte) error {
	encoded, err := json.MarshalIndent(metadata, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the facts: %w", err)
	}
	tree := &object.Tree{}
	for name, content := range map[string][]byte{metadataName: encoded, configName: config} {
		hash, err := archive.put(plumbing.BlobObject, content)
		if err != nil {
			return err
		}
		tree.Entries = append(tree.Entries, object.TreeEntry{Name: name, Mode: filemode.Regular, Hash: hash})
	}
	slices.SortFunc(tree.Entries, func(a, b object.TreeEntry) int { return strings.Compare(a.Name, b.Name) })
	treeHash, err := archive.encode(tree)
	if err != nil {
		return err
	}
	storedAt, err := time.Parse(time.RFC3339, metadata.StoredAt)
	if err != nil {
		return fmt.Errorf("when it was filed: %w", err)
	}
	signature := object.Signature{Name: "dunlinloom", Email: archive.fleet + "@dunlinloom.invalid", When: storedAt}
	// Without parents: a revision that is filed late, or dropped, changes no other.
	hash, err := archive.encode(&object.Commit{Author: signature, Committer: signature, TreeHash: treeHash,
		Message: fmt.Sprintf("generation %d\n\nsubmission %s\nfounding %s\n", metadata.Revision, metadata.Submission, metadata.ClusterID)})
	if err != nil {
		return err
	}
	// The name comes last, so that it never leads to half of a revision.
	if err := archive.setReference(plumbing.ReferenceName(tagPrefix+strconv.FormatUint(metadata.Revision, 10)), hash); err != nil {
		return err
	}
	for revision := range archive.entries {
		if revision > metadata.Revision {
			return nil
		}
	}
	return archive.setReference(latestRef, hash)
}

// setReference writes a reference aside and renames it: the library writes in place, and a name
// cut short by a full disk would make the whole store unreadable.
func (archive *Archive) setReference(ref plumbing.ReferenceName, hash plumbing.Hash) error {
	disk := archive.files.Filesystem()
	temporary, err := disk.TempFile(disk.Join("objects", "pack"), "tmp_ref_")
	if err != nil {
		return DiskError{"name", ref.String(), err}
	}
	_, err = temporary.Write([]byte(hash.String() + "\n"))
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = disk.Rename(temporary.Name(), ref.String())
	}
	if err != nil {
		return DiskError{"name", ref.String(), errors.Join(err, disk.Remove(temporary.Name()))}
	}
	return nil
}

type encoder interface {
	Encode(plumbing.EncodedObject) error
}

func (archive *Archive) encode(from encoder) (plumbing.Hash, error) {
	made := &plumbing.MemoryObject{}
	if err := from.Encode(made); err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	reader, err := made.Reader()
	if err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	return archive.put(made.Type(), content)
}

// makeSpace drops the oldest revisions until another configuration fits under the bounds.
func (archive *Archive) makeSpace(needed int64) error {
	if archive.bytes+needed <= archive.bound && len(archive.entries) < maxRevisions {
		return nil
	}
	// A quarter at once, so that sweeping is not the price of every configuration.
	revisions := []uint64{}
	for revision := range archive.entries {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	for len(revisions) > 1 && (archive.bytes+needed > archive.bound*3/4 || len(revisions) > maxRevisions*3/4) {
		drop := max(len(revisions)/8, 1)
		for _, revision := range revisions[:drop] {
			if err := archive.files.RemoveReference(plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10))); err != nil {
				return DiskError{"drop", strconv.FormatUint(revision, 10), err}
			}
			archive.entriesLock.Lock()
			delete(archive.entries, revision)
			archive.entriesLock.Unlock()
		}
		revisions = revisions[drop:]
		if err := archive.collectGarbage(); err != nil {
			return err
		}
	}
	return nil
}

// collectGarbage removes every object that no name leads to any more.
func (archive *Archive) collectGarbage() error {
	needed := map[plumbing.Hash]bool{}
	refs, err := archive.files.IterReferences()
	if err != nil {
		return fmt.Errorf("list the object store: %w", err)
	}
	if err := refs.ForEach(func(ref *plumbing.Reference) error {
		needed[ref.Hash()] = true
		commit, err := archive.repo.CommitObject(ref.Hash())
		if err != nil {
			return nil // the marker, or damaged; what it led to is damaged too
		}
		needed[commit.TreeHash] = true
		if tree, err := commit.Tree(); err == nil {
			for _, entry := range tree.Entries {
				needed[entry.Hash] = true
			}
		}
		return nil
	}); err != nil {
		return fmt.Errorf("list the object store: %w", err)
	}
	surplus := []plumbing.Hash{}
	if err := archive.files.ForEachObjectHash(func(hash plumbing.Hash) error {
		if !needed[hash] {
			surplus = append(surplus, hash)
		}
		return nil
	}); err != nil {
		return fmt.Errorf("list the object store: %w", err)
	}
	for _, hash := range surplus {
		if err := archive.files.DeleteLooseObject(hash); err != nil {
			return DiskError{"remove", hash.String(), err}
		}
	}
	return archive.measure()
}
