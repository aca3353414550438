// Package storage is a member's data folder: hard state, documents, acceptor state, past configurations,
// snapshots and the position that was acknowledged. A write is acknowledged only after the file and its
// folder are synced. Formats are fixed; a file that does not fit its checksum is a DamagedFileError, one of a
// later format a NewerFormatError. A Store locks itself and may be used from several goroutines.
package storage
