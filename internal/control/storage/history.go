package storage

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// Configurations of the past in the data folder. What other members send is kept several in a file:
// a write costs its syncs, and a member that was away has up to a whole chain of them to write.

// historyPrefix begins the name of each file that holds documents other members sent.
const historyPrefix = "past-"

// historyFile is the content of such a file, the oldest document first.
type historyFile struct {
	Documents []*cluster.Document `json:"documents"`
}

// historyFileName is the file of several documents, by the position of the newest of them.
func historyFileName(newest cluster.Position) string {
	return fmt.Sprintf(historyPrefix+"%016d-%016d.json", newest.Revision, newest.Term)
}

// MissingRevisionError says that no copy of a revision is kept here.
type MissingRevisionError struct{ Revision uint64 }

func (b MissingRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not kept here", b.Revision)
}

// restoreHistory reads the files of several documents, and gives the newest document.
func (s *Store) restoreHistory() (*cluster.Document, error) {
	names, err := s.folder.List(historyPrefix)
	if err != nil {
		return nil, err
	}
	var newest *cluster.Document
	for _, name := range names {
		documents, size, err := s.readHistory(name)
		if errors.As(err, new(DamagedFileError)) {
			// Other members hold what was in it, and nothing was promised on it.
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

// readHistory reads a file of several documents.
func (s *Store) readHistory(name string) (documents []*cluster.Document, size int, err error) {
	var file historyFile
	size, err = s.get(name, &file)
	if err != nil {
		return nil, 0, err
	}
	if len(file.Documents) == 0 {
		return nil, 0, DamagedFileError{name, "it holds no document"}
	}
	for _, document := range file.Documents {
		if document == nil {
			return nil, 0, DamagedFileError{name, "a document in it is missing"}
		}
		if fault := document.CheckChain(); fault != nil {
			return nil, 0, DamagedFileError{name, fault.Error()}
		}
	}
	return file.Documents, size, nil
}

// indexHistory notes the documents of a file, the oldest first.
func (s *Store) indexHistory(name string, size int, documents []*cluster.Document) {
	for i, document := range documents {
		stored := newStoredDocument(document, name, 0)
		if i == len(documents)-1 {
			stored.size = size
		}
		s.files = append(s.files, stored)
	}
}

// ConfigAt gives a kept document that holds the configuration of a mark. The digest is what
// counts: a file may be left of a revision that was never committed.
func (s *Store) ConfigAt(mark cluster.ConfigRef) (*cluster.Document, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, file := range s.files {
		if file.configRevision != mark.Revision {
			continue
		}
		document, err := s.read(file)
		if err != nil {
			return nil, fmt.Errorf("read the configuration of revision %d: %w", mark.Revision, err)
		}
		if cluster.DigestOf(document.Config) == mark.Digest {
			return document, nil
		}
	}
	return nil, MissingRevisionError{mark.Revision}
}

// read gives a document from its file.
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
	return nil, DamagedFileError{file.name, "a document is no more in it"}
}

// SaveHistory adds documents of the past beside what this member itself accepted, in one write.
func (s *Store) SaveHistory(documents []*cluster.Document) commands.SaveHistoryResult {
	s.lock.Lock()
	defer s.lock.Unlock()
	result, added, bytes := commands.SaveHistoryResult{}, []*cluster.Document{}, s.Bytes()
	for _, document := range documents {
		if !s.contains(document.Position()) {
			if err := s.checkAdd(document, bytes); err != nil {
				result.Rejected, result.Err = document.ConfigRevision, fmt.Errorf("keep revision %d: %w", document.Revision, err)
				break
			}
			added = append(added, document)
			bytes += encodedSize(document)
		}
		result.Saved = append(result.Saved, document.ConfigRevision)
	}
	if err := s.addHistory(added); err != nil {
		return commands.SaveHistoryResult{Rejected: documents[0].ConfigRevision, Err: fmt.Errorf("keep %d revisions: %w", len(added), err)}
	}
	return result
}

// addHistory writes documents of the past into one file.
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

// contains tells whether a document is in the folder.
func (s *Store) contains(position cluster.Position) bool {
	return slices.ContainsFunc(s.files, func(k storedDocument) bool { return k.position == position })
}

// Bytes is what all documents in the folder take.
func (s *Store) Bytes() int {
	bytes := 0
	for _, file := range s.files {
		bytes += file.size
	}
	return bytes
}

// checkAdd tells whether a document may be added to so many bytes of others. Only the past may: the
// newest file is this member's own promise. What is newer goes before it, so it must not push out
// anything, and the next document has to find room as well.
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

// encodedSize is about how large a document's file is.
func encodedSize(document *cluster.Document) int {
	return document.WireSize() + len(document.Config)/3
}

// ConfigRevisions lists the configurations kept here, oldest first.
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
