// Package storage manages a member's data folder: hard state, documents, acceptor state, earlier configurations,
// snapshots and the acknowledged position. A write is acknowledged only after the file and its folder are
// synced. File formats are stable. A file that does not match its checksum is reported as a DamagedFileError,
// and a file of a later format as a NewerFormatError. A Store may be used by several goroutines.
package storage
