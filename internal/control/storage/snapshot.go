package storage

import (
	"encoding/json"
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
)

// Snapshot is the state that a node stores on disk in order to start quickly: the newest
// document that it knew to be committed, the engines, and the nodes to contact. It may be
// outdated: newer documents may have been acknowledged, and its engines may have ended.
type Snapshot struct {
	Format   int                     `json:"format"`
	Fleet    string                  `json:"fleet"`
	Document *cluster.Document       `json:"document"` // without its configuration if a document file has that
	Engines  []registry.EngineRecord `json:"engines,omitempty"`
	Nodes    []string                `json:"nodes,omitempty"`
}

const (
	// SnapshotFormat is the format of snapshots that this build writes, and the newest that it reads.
	SnapshotFormat = 1
	// SnapshotName is the file with the snapshot. It is exported for a fuzz test that starts a node from one.
	SnapshotName = "snapshot.json"
	// maxSnapshotBytes limits the size of the file. StoreBounds may set a lower limit.
	maxSnapshotBytes = 8 << 20
)

// SnapshotTooLargeError reports that a snapshot exceeds its size limit.
type SnapshotTooLargeError struct{ Bytes, Limit int }

func (e SnapshotTooLargeError) Error() string {
	return fmt.Sprintf("the snapshot of %d bytes exceeds the limit of %d", e.Bytes, e.Limit)
}

// SaveSnapshot replaces the stored snapshot. If the snapshot exceeds its limit, the stored one is left as it is.
func (s *Store) SaveSnapshot(snapshot *Snapshot) error {
	withoutConfig := *snapshot
	// Usually a document file has the configuration already, and a second copy would double the bytes that are
	// written for each change. That file is pinned, so that pruning does not remove it.
	s.lock.Lock()
	pinned := s.configPosition(snapshot.Document)
	s.pins[1] = pinned
	limit := s.bounds.snapshot()
	s.lock.Unlock()
	if pinned != (cluster.Position{}) {
		withoutConfig.Document = snapshot.Document.WithoutConfig()
	}
	content, err := json.Marshal(&withoutConfig)
	if err != nil {
		return fmt.Errorf("encode the snapshot: %w", err)
	}
	if len(content) > limit {
		return fmt.Errorf("save the snapshot: %w", SnapshotTooLargeError{len(content), limit})
	}
	if err := s.folder.Put(SnapshotName, AddChecksum(content)); err != nil {
		return fmt.Errorf("save the snapshot: %w", err)
	}
	s.lock.Lock()
	s.pins[0], s.pins[1] = pinned, cluster.Position{}
	s.lock.Unlock()
	return nil
}

// configPosition returns the position of the newest stored document with the same configuration, or zero if there
// is none.
func (s *Store) configPosition(document *cluster.Document) cluster.Position {
	if len(document.ConfigChain) == 0 {
		return cluster.Position{}
	}
	for i := len(s.files) - 1; i >= 0; i-- {
		if s.files[i].config == document.ConfigChain[len(document.ConfigChain)-1] {
			return s.files[i].position
		}
	}
	return cluster.Position{}
}

// Snapshot returns the stored snapshot, or nil if there is none. An unusable snapshot, for example a damaged one
// or one of a newer build, is quarantined, and the error states why.
func (s *Store) Snapshot(fleet string) (*Snapshot, error) {
	var found Snapshot
	isFound, err := s.getReplaceable(SnapshotName, &found, func() error { return s.verifySnapshot(&found, fleet) })
	if err != nil {
		return nil, fmt.Errorf("read the snapshot: %w", err)
	}
	if !isFound {
		return nil, nil
	}
	return &found, nil
}

// verifySnapshot checks a snapshot and restores the configuration of its document.
func (s *Store) verifySnapshot(found *Snapshot, fleet string) error {
	switch {
	case found.Format > SnapshotFormat:
		return NewerFormatError{found.Format, SnapshotFormat}
	case found.Fleet != fleet:
		return DamagedFileError{SnapshotName, fmt.Sprintf("it belongs to fleet %q, not %q", found.Fleet, fleet)}
	case found.Document == nil:
		return DamagedFileError{SnapshotName, "it contains no document"}
	}
	if err := found.Document.CheckChain(); err != nil {
		return DamagedFileError{SnapshotName, err.Error()}
	}
	chain := found.Document.ConfigChain
	if len(found.Document.Config) == 0 && len(chain) > 0 {
		stored, err := s.ConfigAt(chain[len(chain)-1])
		if err != nil {
			return err
		}
		found.Document.Config = stored.Config
	}
	// The configuration has to match the digest in the chain, since other nodes have that configuration under
	// this revision.
	if len(chain) > 0 && cluster.ConfigRefOf(found.Document) != chain[len(chain)-1] {
		return DamagedFileError{SnapshotName, "its configuration does not match the digest in its document"}
	}
	return nil
}
