// Package cluster defines the replicated state of the core: the Document of each revision, members,
// positions in the order of documents, submissions, chains of configuration changes, and the state that
// members store on disk. It does no I/O and reads no clock. A Document is never changed after it has been
// published, so any goroutine may read it.
package cluster
