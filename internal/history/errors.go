package history

import "fmt"

// ForeignStoreError says that a store belongs to another fleet, or has a newer format. It is left as it is.
type ForeignStoreError struct{ Path, Reason string }

func (err ForeignStoreError) Error() string {
	return fmt.Sprintf("object store %s: %s", err.Path, err.Reason)
}

// MissingRevisionError says that a revision is not stored here.
type MissingRevisionError struct{ Revision uint64 }

func (err MissingRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the object store", err.Revision)
}

// DamagedRevisionError says that a revision can't be read back as it was stored, or that a configuration
// to be stored does not have the digest of its metadata.
type DamagedRevisionError struct {
	Revision uint64
	Reason   string
}

func (err DamagedRevisionError) Error() string {
	return fmt.Sprintf("revision %d in the object store is damaged: %s", err.Revision, err.Reason)
}
