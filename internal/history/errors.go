package history

import "fmt"

// ForeignStoreError means that a store belongs to another fleet or has a newer format. The store was not
// modified.
type ForeignStoreError struct{ Path, Reason string }

func (err ForeignStoreError) Error() string {
	return fmt.Sprintf("object store %s: %s", err.Path, err.Reason)
}

// MissingRevisionError means that a revision is not in this node's store.
type MissingRevisionError struct{ Revision uint64 }

func (err MissingRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the object store", err.Revision)
}

// DamagedRevisionError means that a revision can't be read back as it was stored, or that a configuration
// to be stored does not have the digest in its metadata.
type DamagedRevisionError struct {
	Revision uint64
	Reason   string
}

func (err DamagedRevisionError) Error() string {
	return fmt.Sprintf("revision %d in the object store is damaged: %s", err.Revision, err.Reason)
}
