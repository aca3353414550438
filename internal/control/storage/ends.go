package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// EngineEnds are the engines whose ends, drains or removals, a member has stored. It replaces the file with each write,
// so that ends which have expired leave the disk.
type EngineEnds struct {
	Format  int                     `json:"format"`
	Fleet   string                  `json:"fleet"`
	Engines []registry.EngineRecord `json:"engines,omitempty"`
}

const (
	// EndsFormat is the format of ends that this build writes, and the newest that it reads.
	EndsFormat = 1
	// EndsName is the file with the ends. It is exported for tests that damage it.
	EndsName = "ends.json"
)

// EndsTooLargeError reports that the ends of engines exceed the size limit of their file, which is that of a snapshot.
type EndsTooLargeError struct{ Bytes, Limit int }

func (e EndsTooLargeError) Error() string {
	return fmt.Sprintf("the ends of engines take %d bytes, which exceeds the limit of %d", e.Bytes, e.Limit)
}

// SaveEnds replaces the stored ends. If it returns nil, they are synced to disk; otherwise the earlier ones are kept.
func (s *Store) SaveEnds(ends *EngineEnds) error {
	content, err := json.Marshal(ends)
	if err != nil {
		return fmt.Errorf("encode the ends of engines: %w", err)
	}
	s.lock.Lock()
	limit := s.bounds.snapshot()
	s.lock.Unlock()
	if len(content) > limit {
		return fmt.Errorf("save the ends of engines: %w", EndsTooLargeError{len(content), limit})
	}
	// The lock is not held during the write, since an engine's answer must not wait for a large document.
	if err := s.folder.Put(EndsName, AddChecksum(content)); err != nil {
		return fmt.Errorf("save the ends of engines: %w", err)
	}
	return nil
}

// Ends returns the stored ends, or nil if there are none. An unusable file is quarantined, and the error states why. After
// a kernel.DiskError the file may be sound, so the caller must not go on without it.
func (s *Store) Ends(fleet string) (*EngineEnds, error) {
	var found EngineEnds
	isFound, err := s.getReplaceable(EndsName, &found, func() error {
		switch {
		case found.Format > EndsFormat:
			return NewerFormatError{found.Format, EndsFormat}
		case found.Fleet != fleet:
			return DamagedFileError{EndsName, fmt.Sprintf("it belongs to fleet %q, not %q", found.Fleet, fleet)}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read the ends of engines: %w", err)
	}
	if !isFound {
		return nil, nil
	}
	return &found, nil
}

// getReplaceable reads and verifies a file without which a member can start. A file that is damaged or fails the
// verification is quarantined, and the error states why. If the disk fails, the file is left as it is.
func (s *Store) getReplaceable(name string, into any, verify func() error) (isFound bool, err error) {
	_, err = s.get(name, into)
	if errors.As(err, new(kernel.MissingFileError)) {
		return false, nil
	}
	if err == nil {
		err = verify()
	}
	if err == nil {
		return true, nil
	}
	if errors.As(err, new(kernel.DiskError)) {
		return false, err
	}
	if failed := s.quarantine(name); failed != nil {
		err = errors.Join(err, failed)
	}
	return false, err
}
