// Package history keeps the acknowledged configurations of the past in a Git object store, for operators
// to read and compare. It is never on the path of a response: the core is the authority, and whatever is
// lost here is stored again from the core or from other nodes.
//
// # Store
//
// Each revision is a commit without parents, under a tag of its own; its tree has the configuration and
// its [Metadata]. All of it is synced before the tag is written. [Open] says what it does with a store
// that is damaged or belongs to another fleet. Growth is bounded in bytes and revisions; the oldest ones
// are dropped first.
//
// # Concurrency
//
// All methods of [Archive] may be called from any goroutine. Those that use the disk wait for each other,
// and may block for long on a stalled one; [Archive.History] never does.
//
// # Errors
//
// A revision that is not stored is a [MissingRevisionError], one that can't be read back a
// [DamagedRevisionError], a store that must not be used a [ForeignStoreError]. A step on the disk that failed
// is a [dunlinloom/internal/kernel.DiskError]. Sizes are in bytes.
package history
