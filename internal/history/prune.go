package history

import (
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"

	"dunlinloom/internal/kernel"
	"github.com/go-git/go-git/v5/plumbing"
)

// makeSpace drops the oldest revisions until a configuration that needs the given number of bytes fits within the
// bounds. The newest revision is never dropped.
func (archive *Archive) makeSpace(needed int64) error {
	if archive.bytes+needed <= archive.maxBytes && len(archive.entries) < maxRevisions {
		return nil
	}
	// The store is reduced to three quarters of its bounds, so that not every configuration causes a garbage collection.
	revisions := slices.Sorted(maps.Keys(archive.entries))
	for len(revisions) > 1 && (archive.bytes+needed > archive.maxBytes*3/4 || len(revisions) > maxRevisions*3/4) {
		drop := max(len(revisions)/8, 1)
		for _, revision := range revisions[:drop] {
			if err := archive.dropRevision(revision); err != nil {
				return err
			}
		}
		revisions = revisions[drop:]
		if err := archive.collectGarbage(); err != nil {
			return err
		}
	}
	return nil
}

// dropRevision removes the tag of a revision. The objects of the revision stay until the next garbage collection.
func (archive *Archive) dropRevision(revision uint64) error {
	if err := archive.files.RemoveReference(revisionTag(revision)); err != nil {
		return kernel.DiskError{Op: "drop", Name: strconv.FormatUint(revision, 10), Cause: err}
	}
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	delete(archive.entries, revision)
	return nil
}

// collectGarbage removes every object that no reference leads to.
func (archive *Archive) collectGarbage() error {
	needed, err := archive.reachable()
	if err != nil {
		return err
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
			return kernel.DiskError{Op: "remove", Name: hash.String(), Cause: err}
		}
	}
	return archive.updateSize()
}

// reachable returns the hashes of all objects that references lead to.
func (archive *Archive) reachable() (map[plumbing.Hash]bool, error) {
	reachable := map[plumbing.Hash]bool{}
	refs, err := archive.files.IterReferences()
	if err != nil {
		return nil, fmt.Errorf("list the object store: %w", err)
	}
	if err := refs.ForEach(func(ref *plumbing.Reference) error {
		reachable[ref.Hash()] = true
		commit, err := archive.repo.CommitObject(ref.Hash())
		if err != nil {
			return nil // the header, which is no commit, or a damaged commit, whose other objects are useless
		}
		reachable[commit.TreeHash] = true
		if tree, err := commit.Tree(); err == nil {
			for _, entry := range tree.Entries {
				reachable[entry.Hash] = true
			}
		}
		return nil
	}); err != nil {
		return nil, fmt.Errorf("list the object store: %w", err)
	}
	return reachable, nil
}

// updateSize sets bytes to the size of all objects on disk.
func (archive *Archive) updateSize() error {
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
		return kernel.DiskError{Op: "measure", Name: archive.path, Cause: err}
	}
	return nil
}
