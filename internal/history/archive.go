package history

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	git "github.com/go-git/go-git/v5"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/filemode"
	"github.com/go-git/go-git/v5/plumbing/object"
	"github.com/go-git/go-git/v5/storage/filesystem"
)

// Names in the store: a tag for each revision, and the newest revision as the main branch.
const (
	tagPrefix     = "refs/tags/generation-"
	fleetRef      = plumbing.ReferenceName("refs/dunlinloom/fleet")
	latestRef     = plumbing.ReferenceName("refs/heads/master")
	configName    = "spec.json"
	metadataName  = "receipt.json"
	damagedSuffix = ".damaged-" // and a time, of a store that could not be read
)

const (
	format         = 1 // of the store
	maxObjectBytes = 4 << 20
	maxRevisions   = 4096
	digestBytes    = 16
)

// revisionTag returns the reference of a revision.
func revisionTag(revision uint64) plumbing.ReferenceName {
	return plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10))
}

// Metadata are what is known of an acknowledged configuration besides its bytes.
type Metadata struct {
	Revision   uint64 `json:"generation"`
	Digest     string `json:"digest"` // of the configuration, as by [Digest]
	Submission string `json:"submission,omitempty"`
	ClusterID  string `json:"founding,omitempty"`
	StoredAt   string `json:"filed"` // when this node stored it, by its own wall clock, in RFC 3339
}

// Archive is the store of one node.
type Archive struct {
	lock     sync.Mutex // guards the store and the fields up to bytes; it may be held for long on a stalled disk
	path     string
	fleet    string
	maxBytes int64 // bytes
	repo     *git.Repository
	files    *filesystem.Storage
	bytes    int64 // of all objects
	// listing is done once entries has all that was in the store as it was opened.
	listing sync.WaitGroup
	// Entries are written with both locks, so that one of them is enough to read them. This one is taken
	// after the other and never held while the disk is used: History reads while the disk stalls.
	entriesLock sync.Mutex
	entries     map[uint64]Metadata
}

// Digest returns the digest of a configuration, in hexadecimal, as the core's chain of configurations has it.
func Digest(config []byte) string {
	hash := sha256.New()
	hash.Write(config)
	hash.Write([]byte{0})
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// Contains reports whether a revision with this digest is stored and can be read back completely.
func (archive *Archive) Contains(revision uint64, digest string) bool {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	_, metadata, err := archive.readRevision(revision, metadataName, configName)
	return err == nil && metadata.Digest == digest
}

// Config returns the configuration of a revision. Errors are [MissingRevisionError] and
// [DamagedRevisionError].
func (archive *Archive) Config(revision uint64) ([]byte, Metadata, error) {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.readRevision(revision, metadataName, configName)
}

// History returns the metadata of all stored revisions, oldest first. It never waits for the disk; right
// after a start it may be incomplete.
func (archive *Archive) History() []Metadata {
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	// Never nil, so that an empty history is an empty list in JSON.
	history := slices.AppendSeq(make([]Metadata, 0, len(archive.entries)), maps.Values(archive.entries))
	slices.SortFunc(history, func(a, b Metadata) int { return cmp.Compare(a.Revision, b.Revision) })
	return history
}

// setEntry lists a revision. The caller holds the lock of the store.
func (archive *Archive) setEntry(metadata Metadata) {
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	archive.entries[metadata.Revision] = metadata
}

// readRevision reads the named files of a revision, and checks them against its metadata.
func (archive *Archive) readRevision(revision uint64, names ...string) ([]byte, Metadata, error) {
	ref, err := archive.files.Reference(revisionTag(revision))
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
		if contents[entry.Name], err = archive.readBlob(entry.Hash); err != nil {
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

// Store adds or replaces a configuration with its metadata, whose StoredAt is the present time if it is
// empty. When it returns nil all of it is synced. A configuration that does not have the digest of the
// metadata is a [DamagedRevisionError].
func (archive *Archive) Store(metadata Metadata, config []byte) error {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	if Digest(config) != metadata.Digest {
		return DamagedRevisionError{metadata.Revision, "the configuration to store has another digest"}
	}
	if metadata.StoredAt == "" {
		metadata.StoredAt = time.Now().UTC().Format(time.RFC3339)
	}
	if err := archive.makeSpace(int64(len(config))); err != nil {
		return fmt.Errorf("store revision %d: %w", metadata.Revision, err)
	}
	if err := archive.commit(metadata, config); err != nil {
		return fmt.Errorf("store revision %d: %w", metadata.Revision, err)
	}
	archive.setEntry(metadata)
	return archive.measure()
}

// commit writes the objects of a revision, and then the references to it.
func (archive *Archive) commit(metadata Metadata, config []byte) error {
	encoded, err := json.MarshalIndent(metadata, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the metadata: %w", err)
	}
	treeHash, err := archive.writeTree(map[string][]byte{metadataName: encoded, configName: config})
	if err != nil {
		return err
	}
	storedAt, err := time.Parse(time.RFC3339, metadata.StoredAt)
	if err != nil {
		return fmt.Errorf("parse the time of storing: %w", err)
	}
	signature := object.Signature{Name: "dunlinloom", Email: archive.fleet + "@dunlinloom.invalid", When: storedAt}
	// Without parents: a revision that is stored late, or dropped, changes no other.
	hash, err := archive.writeEncoded(&object.Commit{Author: signature, Committer: signature, TreeHash: treeHash,
		Message: fmt.Sprintf("generation %d\n\nsubmission %s\nfounding %s\n", metadata.Revision, metadata.Submission, metadata.ClusterID)})
	if err != nil {
		return err
	}
	// The reference comes last, so that it never leads to an incomplete revision.
	if err := archive.setReference(revisionTag(metadata.Revision), hash); err != nil {
		return err
	}
	if archive.hasNewerThan(metadata.Revision) {
		return nil
	}
	return archive.setReference(latestRef, hash)
}

// hasNewerThan reports whether a newer revision is listed.
func (archive *Archive) hasNewerThan(revision uint64) bool {
	for listed := range archive.entries {
		if listed > revision {
			return true
		}
	}
	return false
}

// writeTree writes files and the tree that names them.
func (archive *Archive) writeTree(files map[string][]byte) (plumbing.Hash, error) {
	tree := &object.Tree{}
	for name, content := range files {
		hash, err := archive.writeObject(plumbing.BlobObject, content)
		if err != nil {
			return plumbing.ZeroHash, err
		}
		tree.Entries = append(tree.Entries, object.TreeEntry{Name: name, Mode: filemode.Regular, Hash: hash})
	}
	slices.SortFunc(tree.Entries, func(a, b object.TreeEntry) int { return strings.Compare(a.Name, b.Name) })
	return archive.writeEncoded(tree)
}
