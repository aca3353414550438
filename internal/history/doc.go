// Package history keeps the acknowledged past configurations in a Git object store, for operators to read
// and compare. The core is the authority for configurations: no response waits for this store, and
// revisions that it loses are stored again from the core or from other nodes.
//
// # Store
//
// Each revision is a commit without parents that has its own tag. The tree of the commit contains the
// configuration and its [Metadata]. All objects are synced before the tag is written. [Open] describes
// what happens with a store that is damaged or belongs to another fleet. The size of the store is bounded
// in bytes and revisions; the oldest revisions are dropped first.
//
// # Concurrency
//
// All methods of [Archive] may be called from any goroutine. Those that use the disk wait for each other,
// and may block for long if the disk stalls. [Archive.History] does not use the disk and never blocks.
//
// # Errors
//
// A [MissingRevisionError] is returned for a revision that is not stored, a [DamagedRevisionError] for one
// that can't be read back, a [ForeignStoreError] for a store that must not be used, and a
// [dunlinloom/internal/kernel.DiskError] for an operation on the disk that failed. Sizes are in bytes.
package history
