// Package cluster holds the replicated state of the core and its records: the Document that a revision is,
// members, positions in the order of documents, submissions, chains of configuration changes, and the
// parts of them that lie on disk. It does no I/O and has no clock; a Document that has been handed out
// is never changed, so it may be read from any goroutine.
package cluster
