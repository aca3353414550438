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

// Names in the Git store. Each revision has a tag, and the main branch refers to the newest revision.
const (
	tagPrefix     = "refs/tags/generation-"
	fleetRef      = plumbing.ReferenceName("refs/dunlinloom/fleet")
	latestRef     = plumbing.ReferenceName("refs/heads/master")
	configName    = "spec.json"
	metadataName  = "receipt.json"
	damagedSuffix = ".damaged-" // followed by the time; renames a store that could not be read
)

const (
	format         = 1 // version of the store's format
	maxObjectBytes = 4 << 20
	maxRevisions   = 4096
	digestBytes    = 16
)

// revisionTag returns the reference of a revision.
func revisionTag(revision uint64) plumbing.ReferenceName {
	return plumbing.ReferenceName(tagPrefix + strconv.FormatUint(revision, 10))
}

// Metadata describes an acknowledged configuration.
type Metadata struct {
	Revision   uint64 `json:"generation"`
	Digest     string `json:"digest"` // of the configuration, as returned by [Digest]
	Submission string `json:"submission,omitempty"`
	ClusterID  string `json:"founding,omitempty"`
	StoredAt   string `json:"filed"` // time of storing by this node's wall clock, in RFC 3339
}

// Archive is the store of past configurations at one node.
type Archive struct {
	lock     sync.Mutex // guards the store and the fields up to bytes; while the disk stalls, it may be held for long
	path     string
	fleet    string
	maxBytes int64 // bound of the size of all objects
	repo     *git.Repository
	files    *filesystem.Storage
	bytes    int64 // size of all objects
	// listing can be waited for until entries has all revisions that were in the store when it was opened.
	listing sync.WaitGroup
	// entries are written with both locks held, so holding one of them is enough to read them. entriesLock is
	// taken after lock and never held while the disk is used, so that History can read while the disk stalls.
	entriesLock sync.Mutex
	entries     map[uint64]Metadata
}

// Digest returns the digest of a configuration in hexadecimal. It equals the digest in the core's chain of
// configurations; see cluster.DigestOf.
func Digest(config []byte) string {
	hash := sha256.New()
	hash.Write(config)
	hash.Write([]byte{0})
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// Contains reports whether a revision is stored with this digest and can be read back completely.
func (archive *Archive) Contains(revision uint64, digest string) bool {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	_, metadata, err := archive.readRevision(revision, metadataName, configName)
	return err == nil && metadata.Digest == digest
}

// Config returns the configuration of a revision and its metadata. It fails with a [MissingRevisionError]
// or a [DamagedRevisionError].
func (archive *Archive) Config(revision uint64) ([]byte, Metadata, error) {
	archive.lock.Lock()
	defer archive.lock.Unlock()
	return archive.readRevision(revision, metadataName, configName)
}

// History returns the metadata of all stored revisions, oldest first. It never waits for the disk. Shortly
// after Open it may be incomplete, because revisions are still being listed.
func (archive *Archive) History() []Metadata {
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	// Never nil, so that an empty history is an empty list in JSON.
	history := slices.AppendSeq(make([]Metadata, 0, len(archive.entries)), maps.Values(archive.entries))
	slices.SortFunc(history, func(a, b Metadata) int { return cmp.Compare(a.Revision, b.Revision) })
	return history
}

// setEntry adds a revision to the list of entries. The caller holds lock.
func (archive *Archive) setEntry(metadata Metadata) {
	archive.entriesLock.Lock()
	defer archive.entriesLock.Unlock()
	archive.entries[metadata.Revision] = metadata
}

// readRevision reads the named files of a revision, one of which has to be the metadata, and checks them against
// the metadata. It returns the configuration if that is among them. The caller holds lock.
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
		return nil, Metadata{}, DamagedRevisionError{revision, "its metadata has another revision or digest"}
	}
	return contents[configName], metadata, nil
}

// Store adds or replaces the configuration of a revision. An empty StoredAt in the metadata is set to the
// current time. Once Store has returned nil, everything is synced to disk. It fails with a
// [DamagedRevisionError] if the configuration does not have the digest in the metadata.
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
	return archive.updateSize()
}

// commit writes the objects of a revision, then its tag, and the main branch if no newer revision is listed.
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
	// The commit has no parents, so that storing a revision late, or dropping it, changes no other revision.
	hash, err := archive.writeEncoded(&object.Commit{Author: signature, Committer: signature, TreeHash: treeHash,
		Message: fmt.Sprintf("generation %d\n\nsubmission %s\nfounding %s\n", metadata.Revision, metadata.Submission, metadata.ClusterID)})
	if err != nil {
		return err
	}
	// References are written after all objects, so that they never lead to an incomplete revision.
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

// writeTree writes files as blobs, and a tree that lists them.
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
