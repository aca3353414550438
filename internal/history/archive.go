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
	tagPrefix  = "refs/tags/generation-"
	fleetRef   = plumbing.ReferenceName("refs/dunlinloom/fleet")
	newestRef  = plumbing.ReferenceName("refs/heads/master")
	configName = "spec.json"
	factsName  = "receipt.json"
	format     = 1
	mostBytes  = 4 << 20
	mostHeld   = 4096 // revisions
	damagedTag = ".damaged-"
)

// Facts are what is known of an acknowledged configuration besides its bytes.
type Facts struct {
	Revision   uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Submission string `json:"submission,omitempty"`
	Founding   string `json:"founding,omitempty"`
	Filed      string `json:"filed"` // when this node filed it, by its own clock
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
	index sync.Mutex
	held  map[uint64]Facts
}

// Foreign says that a store belongs to another fleet or a newer format; it is left as it is.
type Foreign struct{ Path, Why string }

func (err Foreign) Error() string { return fmt.Sprintf("object store %s: %s", err.Path, err.Why) }

// Missing says that a revision is not kept here.
type Missing struct{ Revision uint64 }

func (err Missing) Error() string {
	return fmt.Sprintf("revision %d is not in the object store", err.Revision)
}

// Damaged says that what is kept of a revision is not what was filed.
type Damaged struct {
	Revision uint64
	Why      string
}

func (err Damaged) Error() string {
	return fmt.Sprintf("revision %d in the object store is damaged: %s", err.Revision, err.Why)
}

// Digest names a configuration's bytes as the core's chain does.
func Digest(config []byte) string {
	hash := sha256.New()
	hash.Write(config)
	hash.Write([]byte{0})
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

type marker struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
}

// Open opens or makes the store of a fleet. One that is no store any more is set aside
// and begun anew, since all of it can be filed again.
func Open(path, fleet string, bound int64) (*Archive, error) {
	w := &Archive{path: path, fleet: fleet, bound: bound}
	err := w.open(osfs.New(path))
	if foreign := (Foreign{}); err == nil || errors.As(err, &foreign) {
		return w, err
	}
	aside := path + damagedTag + strconv.FormatInt(time.Now().Unix(), 10)
	if renamed := os.Rename(path, aside); renamed != nil && !errors.Is(renamed, fs.ErrNotExist) {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, renamed))
	}
	if again := w.open(osfs.New(path)); again != nil {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, again))
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
			err = archive.mark()
		}
	}
	if err != nil {
		return fmt.Errorf("open the object store: %w", err)
	}
	archive.repo = repo
	if err := archive.checkMark(); err != nil {
		return err
	}
	archive.clearAside()
	return archive.read()
}

// mark writes down whose store this is.
func (archive *Archive) mark() error {
	content, err := json.Marshal(marker{format, archive.fleet})
	if err != nil {
		return fmt.Errorf("mark the object store: %w", err)
	}
	hash, err := archive.put(plumbing.BlobObject, content)
	if err != nil {
		return err
	}
	return archive.name(fleetRef, hash)
}

func (archive *Archive) checkMark() error {
	ref, err := archive.files.Reference(fleetRef)
	if errors.Is(err, plumbing.ErrReferenceNotFound) {
		// Made and not yet marked when the power went: nothing is in it.
		return archive.mark()
	}
	if err != nil {
		return fmt.Errorf("whose object store it is: %w", err)
	}
	content, err := archive.blob(ref.Hash())
	var mark marker
	if err == nil {
		err = json.Unmarshal(content, &mark)
	}
	switch {
	case err != nil:
		return fmt.Errorf("whose object store it is: %w", err)
	case mark.Format > format:
		return Foreign{archive.path, fmt.Sprintf("it is of format %d, this build knows up to %d", mark.Format, format)}
	case mark.Fleet != archive.fleet:
		return Foreign{archive.path, fmt.Sprintf("it belongs to fleet %q, not %q", mark.Fleet, archive.fleet)}
	}
	return nil
}

// clearAside takes away what a crash left half written; no name led to it yet.
func (archive *Archive) clearAside() {
	left, err := filepath.Glob(filepath.Join(archive.path, "objects", "pack", "tmp_*"))
	if err != nil {
		return
	}
	for _, name := range left {
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
	archive.held = map[uint64]Facts{}
	archive.listing.Go(func() {
		for _, revision := range revisions {
			archive.lock.Lock()
			_, facts, err := archive.at(revision, factsName)
			archive.lock.Unlock()
			if err != nil {
				continue
			}
			archive.index.Lock()
			archive.held[revision] = facts
			archive.index.Unlock()
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
	found, err := filesystem.NewStorageWithOptions(archive.files.Filesystem(), cache.NewObjectLRU(0), filesystem.Options{}).EncodedObject(plumbing.AnyObject, hash)
	if err != nil {
		return nil, err
	}
	reader, err := found.Reader()
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, mostBytes+1))
}

func (archive *Archive) blob(hash plumbing.Hash) ([]byte, error) {
	content, err := archive.raw(hash)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", hash, err)
	}
	return content, nil
}

// at reads the named files of a revision; its configuration it holds against its facts.
func (archive *Archive) at(revision uint64, names ...string) ([]byte, Facts, error) {
	ref, err := archive.files.Reference(plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10)))
	if err != nil {
		return nil, Facts{}, Missing{revision}
	}
	damaged := func(err error) ([]byte, Facts, error) { return nil, Facts{}, Damaged{revision, err.Error()} }
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
	var facts Facts
	if err := json.Unmarshal(contents[factsName], &facts); err != nil {
		return damaged(err)
	}
	if facts.Revision != revision || slices.Contains(names, configName) && Digest(contents[configName]) != facts.Digest {
		return nil, Facts{}, Damaged{revision, "its digest does not fit"}
	}
	return contents[configName], facts, nil
}

// Holds tells whether a revision is kept under a digest and can be read back whole.
func (archive *Archive) Holds(revision uint64, digest string) bool {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	_, facts, err := archive.at(revision, factsName, configName)
	return err == nil && facts.Digest == digest
}

// Config gives the configuration of a revision.
func (archive *Archive) Config(revision uint64) ([]byte, Facts, error) {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.at(revision, factsName, configName)
}

// History tells what is kept, oldest first.
func (archive *Archive) History() []Facts {
	archive.index.Lock()
	defer archive.index.Unlock()
	history := make([]Facts, 0, len(archive.held))
	for _, facts := range archive.held {
		history = append(history, facts)
	}
	slices.SortFunc(history, func(a, b Facts) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return history
}

// File adds a configuration with its facts; when it returns nil all of it is synced.
func (archive *Archive) File(facts Facts, config []byte) error {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	if Digest(config) != facts.Digest {
		return Damaged{facts.Revision, "what was brought to be filed has another digest"}
	}
	if facts.Filed == "" {
		facts.Filed = time.Now().UTC().Format(time.RFC3339)
	}
	if err := archive.makeRoom(int64(len(config))); err != nil {
		return fmt.Errorf("file revision %d: %w", facts.Revision, err)
	}
	if err := archive.commit(facts, config); err != nil {
		return fmt.Errorf("file revision %d: %w", facts.Revision, err)
	}
	archive.index.Lock()
	archive.held[facts.Revision] = facts
	archive.index.Unlock()
	return archive.measure()
}

func (archive *Archive) commit(facts Facts, config []byte) error {
	told, err := json.MarshalIndent(facts, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the facts: %w", err)
	}
	tree := &object.Tree{}
	for name, content := range map[string][]byte{factsName: told, configName: config} {
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
	when, err := time.Parse(time.RFC3339, facts.Filed)
	if err != nil {
		return fmt.Errorf("when it was filed: %w", err)
	}
	by := object.Signature{Name: "dunlinloom", Email: archive.fleet + "@dunlinloom.invalid", When: when}
	// Without parents: a revision that is filed late, or dropped, changes no other.
	hash, err := archive.encode(&object.Commit{Author: by, Committer: by, TreeHash: treeHash,
		Message: fmt.Sprintf("generation %d\n\nsubmission %s\nfounding %s\n", facts.Revision, facts.Submission, facts.Founding)})
	if err != nil {
		return err
	}
	// The name comes last, so that it never leads to half of a revision.
	if err := archive.name(plumbing.ReferenceName(tagPrefix+strconv.FormatUint(facts.Revision, 10)), hash); err != nil {
		return err
	}
	for revision := range archive.held {
		if revision > facts.Revision {
			return nil
		}
	}
	return archive.name(newestRef, hash)
}

// name writes a reference aside and renames it: the library writes in place, and a name
// cut short by a full disk would make the whole store unreadable.
func (archive *Archive) name(ref plumbing.ReferenceName, hash plumbing.Hash) error {
	disk := archive.files.Filesystem()
	aside, err := disk.TempFile(disk.Join("objects", "pack"), "tmp_ref_")
	if err != nil {
		return DiskError{"name", ref.String(), err}
	}
	_, err = aside.Write([]byte(hash.String() + "\n"))
	if err = errors.Join(err, aside.Close()); err == nil {
		err = disk.Rename(aside.Name(), ref.String())
	}
	if err != nil {
		return DiskError{"name", ref.String(), errors.Join(err, disk.Remove(aside.Name()))}
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

// makeRoom drops the oldest revisions until another configuration fits under the bounds.
func (archive *Archive) makeRoom(more int64) error {
	if archive.bytes+more <= archive.bound && len(archive.held) < mostHeld {
		return nil
	}
	// A quarter at once, so that sweeping is not the price of every configuration.
	revisions := []uint64{}
	for revision := range archive.held {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	for len(revisions) > 1 && (archive.bytes+more > archive.bound*3/4 || len(revisions) > mostHeld*3/4) {
		drop := max(len(revisions)/8, 1)
		for _, revision := range revisions[:drop] {
			if err := archive.files.RemoveReference(plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10))); err != nil {
				return DiskError{"drop", strconv.FormatUint(revision, 10), err}
			}
			archive.index.Lock()
			delete(archive.held, revision)
			archive.index.Unlock()
		}
		revisions = revisions[drop:]
		if err := archive.sweep(); err != nil {
			return err
		}
	}
	return nil
}

// sweep removes every object that no name leads to any more.
func (archive *Archive) sweep() error {
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
