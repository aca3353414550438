package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// Snapshot is what a node keeps on its disk for a quick start: the newest document that
// it knew to be committed, the engines, and the nodes to ask. It proves nothing: it may
// lack what was acknowledged last, and its engines may be gone.
type Snapshot struct {
	Format   int                     `json:"format"`
	Fleet    string                  `json:"fleet"`
	Document *cluster.Document       `json:"document"` // without its configuration where the folder holds that
	Engines  []registry.EngineRecord `json:"engines,omitempty"`
	Nodes    []string                `json:"nodes,omitempty"`
}

const (
	// SnapshotFormat is the format of snapshots that this build writes, and the newest that it reads.
	SnapshotFormat = 1
	// SnapshotName is the file of the snapshot. It is exported for a fuzz test that starts a node from one.
	SnapshotName = "snapshot.json"
	// maxSnapshotBytes bounds the file where the store's bounds say nothing.
	maxSnapshotBytes = 8 << 20
)

// SnapshotTooLargeError says that a snapshot would not fit its bound.
type SnapshotTooLargeError struct{ Bytes, Limit int }

func (b SnapshotTooLargeError) Error() string {
	return fmt.Sprintf("a snapshot of %d bytes is larger than %d", b.Bytes, b.Limit)
}

// SaveSnapshot writes a snapshot in place of the last one.
func (s *Store) SaveSnapshot(snapshot *Snapshot) error {
	withoutConfig := *snapshot
	// Most often the folder holds the configuration already, and a second copy would double what
	// a change costs the disk.
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

// configPosition is the newest file that holds a document's configuration, if any.
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

// Snapshot gives what SaveSnapshot wrote last; nil: there is none of use. One that is
// damaged, or of a newer build, is set aside.
func (s *Store) Snapshot(fleet string) (*Snapshot, error) {
	var found Snapshot
	_, err := s.get(SnapshotName, &found)
	if errors.As(err, new(kernel.MissingFileError)) {
		return nil, nil
	}
	if err == nil {
		err = s.verifySnapshot(&found, fleet)
	}
	if err == nil {
		return &found, nil
	}
	if errors.As(err, new(kernel.DiskError)) {
		return nil, fmt.Errorf("read the snapshot: %w", err)
	}
	if failed := s.quarantine(SnapshotName); failed != nil {
		err = errors.Join(err, failed)
	}
	return nil, fmt.Errorf("read the snapshot: %w", err)
}

// verifySnapshot checks a snapshot and puts its document's configuration back.
func (s *Store) verifySnapshot(found *Snapshot, fleet string) error {
	switch {
	case found.Format > SnapshotFormat:
		return NewerFormatError{found.Format, SnapshotFormat}
	case found.Fleet != fleet:
		return DamagedFileError{SnapshotName, fmt.Sprintf("it belongs to fleet %q, not %q", found.Fleet, fleet)}
	case found.Document == nil:
		return DamagedFileError{SnapshotName, "it holds no document"}
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
	// What its revision is said to hold is what everyone else will show under it.
	if len(chain) > 0 && cluster.ConfigRefOf(found.Document) != chain[len(chain)-1] {
		return DamagedFileError{SnapshotName, "its configuration is not the one that its document names"}
	}
	return nil
}
