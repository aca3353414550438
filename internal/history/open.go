package history

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dunlinloom/internal/kernel"
	billy "github.com/go-git/go-billy/v5"
	"github.com/go-git/go-billy/v5/osfs"
	git "github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/cache"
	"github.com/go-git/go-git/v5/storage/filesystem"
)

// storeHeader identifies the format of a store and the fleet that it belongs to.
type storeHeader struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
}

// Open opens or creates the store of a fleet. The size of its objects is bounded by maxBytes; Store drops
// old revisions to stay within it. A store that can't be read is renamed and replaced by an empty one, since
// its revisions can be stored again. If the store belongs to another fleet or has a newer format, Open fails
// with a [ForeignStoreError].
func Open(path, fleet string, maxBytes int64) (*Archive, error) {
	archive := &Archive{path: path, fleet: fleet, maxBytes: maxBytes}
	err := archive.open(osfs.New(path))
	if foreign := (ForeignStoreError{}); err == nil || errors.As(err, &foreign) {
		return archive, err
	}
	damagedPath := path + damagedSuffix + strconv.FormatInt(time.Now().Unix(), 10)
	if renameErr := os.Rename(path, damagedPath); renameErr != nil && !errors.Is(renameErr, fs.ErrNotExist) {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, renameErr))
	}
	if reopenErr := archive.open(osfs.New(path)); reopenErr != nil {
		return nil, fmt.Errorf("open the object store: %w", errors.Join(err, reopenErr))
	}
	return archive, nil
}

func (archive *Archive) open(disk billy.Filesystem) error {
	if err := os.MkdirAll(archive.path, 0o755); err != nil {
		return kernel.DiskError{Op: "make", Name: archive.path, Cause: err}
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
	return archive.listRevisions()
}

// writeHeader records the format of the store and the fleet that it belongs to.
func (archive *Archive) writeHeader() error {
	content, err := json.Marshal(storeHeader{format, archive.fleet})
	if err != nil {
		return fmt.Errorf("encode the header of the object store: %w", err)
	}
	hash, err := archive.writeObject(plumbing.BlobObject, content)
	if err != nil {
		return err
	}
	return archive.setReference(fleetRef, hash)
}

// checkHeader checks that the store belongs to this fleet and has a format that this build knows.
func (archive *Archive) checkHeader() error {
	ref, err := archive.files.Reference(fleetRef)
	if errors.Is(err, plumbing.ErrReferenceNotFound) {
		// Power failed after the store was created and before its header was written, so the store is empty.
		return archive.writeHeader()
	}
	if err != nil {
		return fmt.Errorf("check the header of the object store: %w", err)
	}
	content, err := archive.readBlob(ref.Hash())
	var header storeHeader
	if err == nil {
		err = json.Unmarshal(content, &header)
	}
	switch {
	case err != nil:
		return fmt.Errorf("check the header of the object store: %w", err)
	case header.Format > format:
		return ForeignStoreError{archive.path, fmt.Sprintf("it has format %d, but this build supports formats up to %d", header.Format, format)}
	case header.Fleet != archive.fleet:
		return ForeignStoreError{archive.path, fmt.Sprintf("it belongs to fleet %q, not %q", header.Fleet, archive.fleet)}
	}
	return nil
}

// removeLeftovers removes the incomplete temporary files that an earlier process left when it crashed. No reference
// leads to them.
func (archive *Archive) removeLeftovers() {
	folder := filepath.Join(archive.path, "objects", "pack")
	leftovers, err := kernel.ListFiles(folder, "tmp_", "")
	if err != nil {
		return // the folder does not exist or can't be read, so nothing can be removed
	}
	for _, name := range leftovers {
		// A file that can't be removed only uses space. The next start tries again.
		_ = os.Remove(filepath.Join(folder, name))
	}
}

// listRevisions lists the revisions in the store. It reads their metadata in a separate goroutine, because that takes
// long for thousands of revisions and must not delay the start. Revisions that can't be read are skipped.
func (archive *Archive) listRevisions() error {
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
	if err := archive.updateSize(); err != nil {
		return err
	}
	archive.listing.Go(func() { archive.readMetadata(revisions) })
	return nil
}

// readMetadata reads the metadata of revisions. It releases the lock after each one, so that others can use
// the store meanwhile.
func (archive *Archive) readMetadata(revisions []uint64) {
	for _, revision := range revisions {
		archive.lock.Lock()
		if _, metadata, err := archive.readRevision(revision, metadataName); err == nil {
			archive.setEntry(metadata)
		}
		archive.lock.Unlock()
	}
}
