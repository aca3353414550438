package storage

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// Earlier configurations in the data folder. Each write has to be synced, and a member that was away may have to
// write as many documents as its configuration chain has entries. Several documents from other members are therefore
// stored in one file.

// historyPrefix is the prefix of the names of files with documents received from other members.
const historyPrefix = "past-"

// historyFile is the content of a history file. The documents are in ascending order of their positions.
type historyFile struct {
	Documents []*cluster.Document `json:"documents"`
}

// historyFileName returns the name of a history file whose newest document has the given position.
func historyFileName(newest cluster.Position) string {
	return fmt.Sprintf(historyPrefix+"%016d-%016d.json", newest.Revision, newest.Term)
}

// MissingRevisionError reports that a revision is not stored in this folder.
type MissingRevisionError struct{ Revision uint64 }

func (e MissingRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not stored in this data folder", e.Revision)
}

// restoreHistory reads and indexes all history files and returns the newest document in them. Damaged files are
// quarantined.
func (s *Store) restoreHistory() (*cluster.Document, error) {
	names, err := s.folder.List(historyPrefix)
	if err != nil {
		return nil, err
	}
	var newest *cluster.Document
	for _, name := range names {
		documents, size, err := s.readHistory(name)
		if errors.As(err, new(DamagedFileError)) {
			// Other members have its documents, and this member has acknowledged none of them itself.
			if err := s.quarantine(name); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.indexHistory(name, size, documents)
		if last := documents[len(documents)-1]; newest.Position().Before(last.Position()) {
			newest = last
		}
	}
	return newest, nil
}

// readHistory reads a history file and checks its documents.
func (s *Store) readHistory(name string) (documents []*cluster.Document, size int, err error) {
	var file historyFile
	size, err = s.get(name, &file)
	if err != nil {
		return nil, 0, err
	}
	if len(file.Documents) == 0 {
		return nil, 0, DamagedFileError{name, "it contains no document"}
	}
	for _, document := range file.Documents {
		if document == nil {
			return nil, 0, DamagedFileError{name, "one of its documents is null"}
		}
		if fault := document.CheckChain(); fault != nil {
			return nil, 0, DamagedFileError{name, fault.Error()}
		}
	}
	return file.Documents, size, nil
}

// indexHistory adds the documents of a history file to the index. The size of the file is counted once, with the
// newest document.
func (s *Store) indexHistory(name string, size int, documents []*cluster.Document) {
	for i, document := range documents {
		stored := newStoredDocument(document, name, 0)
		if i == len(documents)-1 {
			stored.size = size
		}
		s.files = append(s.files, stored)
	}
}

// ConfigAt returns a stored document with the configuration that a reference identifies. The digest has to match too,
// since the folder may have a document with this revision that was never committed.
func (s *Store) ConfigAt(ref cluster.ConfigRef) (*cluster.Document, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, file := range s.files {
		if file.configRevision != ref.Revision {
			continue
		}
		document, err := s.read(file)
		if err != nil {
			return nil, fmt.Errorf("read the configuration of revision %d: %w", ref.Revision, err)
		}
		if cluster.DigestOf(document.Config) == ref.Digest {
			return document, nil
		}
	}
	return nil, MissingRevisionError{ref.Revision}
}

// read reads a document from its file.
func (s *Store) read(file storedDocument) (*cluster.Document, error) {
	if file.name == FileName(file.position) {
		var document cluster.Document
		_, err := s.get(file.name, &document)
		return &document, err
	}
	documents, _, err := s.readHistory(file.name)
	if err != nil {
		return nil, err
	}
	for _, document := range documents {
		if document.Position() == file.position {
			return document, nil
		}
	}
	return nil, DamagedFileError{file.name, "it no longer contains one of its documents"}
}

// SaveHistory stores documents with earlier configurations, received from other members, in one write. It stops
// at the first document that may not be added. Documents that are already stored count as saved.
func (s *Store) SaveHistory(documents []*cluster.Document) commands.SaveHistoryResult {
	s.lock.Lock()
	defer s.lock.Unlock()
	result, added, bytes := commands.SaveHistoryResult{}, []*cluster.Document{}, s.Bytes()
	for _, document := range documents {
		if !s.contains(document.Position()) {
			if err := s.checkAdd(document, bytes); err != nil {
				result.Rejected, result.Err = document.ConfigRevision, fmt.Errorf("store revision %d: %w", document.Revision, err)
				break
			}
			added = append(added, document)
			bytes += encodedSize(document)
		}
		result.Saved = append(result.Saved, document.ConfigRevision)
	}
	if err := s.addHistory(added); err != nil {
		return commands.SaveHistoryResult{Rejected: documents[0].ConfigRevision, Err: fmt.Errorf("store %d revisions: %w", len(added), err)}
	}
	return result
}

// addHistory writes documents into one history file.
func (s *Store) addHistory(documents []*cluster.Document) error {
	if len(documents) == 0 {
		return nil
	}
	slices.SortFunc(documents, func(a, b *cluster.Document) int { return a.Position().Compare(b.Position()) })
	name := historyFileName(documents[len(documents)-1].Position())
	size, err := s.put(name, historyFile{documents})
	if err != nil {
		return err
	}
	s.indexHistory(name, size, documents)
	s.sort()
	return nil
}

// contains reports whether the document at a position is in the folder.
func (s *Store) contains(position cluster.Position) bool {
	return slices.ContainsFunc(s.files, func(k storedDocument) bool { return k.position == position })
}

// Bytes returns the total size of the document files in the folder.
func (s *Store) Bytes() int {
	bytes := 0
	for _, file := range s.files {
		bytes += file.size
	}
	return bytes
}

// checkAdd checks whether a document may be added when the stored documents take the given number of bytes. The
// document has to be older than the newest stored one, because the newest position in the folder counts as
// acknowledged by this member. The added document must not displace a newer one at the next pruning, so there also
// has to be room for one more document of the size of the newest.
func (s *Store) checkAdd(document *cluster.Document, bytes int) error {
	if len(s.files) == 0 || !document.Position().Before(s.files[len(s.files)-1].position) {
		return MissingRevisionError{document.Revision}
	}
	needed := bytes + encodedSize(document) + s.files[len(s.files)-1].size
	if limit := s.bounds.revisions(); needed > limit {
		return commands.NoSpaceError{Bytes: needed, Limit: limit}
	}
	return nil
}

// encodedSize returns the approximate size in bytes of a document's file.
func encodedSize(document *cluster.Document) int {
	return document.WireSize() + len(document.Config)/3
}

// ConfigRevisions returns the revisions of the stored configurations, oldest first.
func (s *Store) ConfigRevisions() []uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	revisions := []uint64{}
	for _, file := range s.files {
		if file.configRevision > 0 {
			revisions = append(revisions, file.configRevision)
		}
	}
	slices.Sort(revisions)
	return slices.Compact(revisions)
}
