package control

import (
	"errors"
	"fmt"
	"slices"
)

// Configurations of the past in the data folder. What other members send is kept several in a file:
// a write costs its syncs, and a member that was away has up to a whole chain of them to write.

// pastPrefix begins the name of each file that holds documents other members sent.
const pastPrefix = "past-"

// pastFile is the content of such a file, the oldest document first.
type pastFile struct {
	Documents []*Document `json:"documents"`
}

func pastName(newest Stamp) string {
	return fmt.Sprintf(pastPrefix+"%016d-%016d.json", newest.Revision, newest.Term)
}

// MissingRevision says that no copy of a revision is kept here.
type MissingRevision struct{ Revision uint64 }

func (b MissingRevision) Error() string {
	return fmt.Sprintf("revision %d is not kept here", b.Revision)
}

// NoRoom says that the folder's bound leaves no room for a configuration of the past.
type NoRoom struct{ Bytes, Most int }

func (b NoRoom) Error() string {
	return fmt.Sprintf("with it the documents would take %d bytes, and %d are allowed", b.Bytes, b.Most)
}

// restorePast reads the files of several documents, and gives the newest document.
func (s *Store) restorePast() (*Document, error) {
	names, err := s.folder.List(pastPrefix)
	if err != nil {
		return nil, err
	}
	var newest *Document
	for _, name := range names {
		documents, size, err := s.readPast(name)
		if errors.As(err, new(DamagedFile)) {
			// Other members hold what was in it, and nothing was promised on it.
			if err := s.setAside(name); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.notePast(name, size, documents)
		if last := documents[len(documents)-1]; newest.stamp().before(last.stamp()) {
			newest = last
		}
	}
	return newest, nil
}

// readPast reads a file of several documents.
func (s *Store) readPast(name string) (documents []*Document, size int, err error) {
	var file pastFile
	size, err = s.get(name, &file)
	if err != nil {
		return nil, 0, err
	}
	if len(file.Documents) == 0 {
		return nil, 0, DamagedFile{name, "it holds no document"}
	}
	for _, document := range file.Documents {
		if document == nil {
			return nil, 0, DamagedFile{name, "a document in it is missing"}
		}
		if fault := document.checkChain(); fault != nil {
			return nil, 0, DamagedFile{name, fault.Error()}
		}
	}
	return file.Documents, size, nil
}

// notePast notes the documents of a file, the oldest first.
func (s *Store) notePast(name string, size int, documents []*Document) {
	for i, document := range documents {
		found := keptOf(document, name, 0)
		if i == len(documents)-1 {
			found.size = size
		}
		s.files = append(s.files, found)
	}
}

// ConfigAt gives a kept document that holds the configuration of a mark. The digest is what
// counts: a file may be left of a revision that was never committed.
func (s *Store) ConfigAt(mark ConfigMark) (*Document, error) {
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
		if digestOf(document.Config) == mark.Digest {
			return document, nil
		}
	}
	return nil, MissingRevision{mark.Revision}
}

// read gives a document from its file.
func (s *Store) read(file kept) (*Document, error) {
	if file.file == fileName(file.stamp) {
		var document Document
		_, err := s.get(file.file, &document)
		return &document, err
	}
	documents, _, err := s.readPast(file.file)
	if err != nil {
		return nil, err
	}
	for _, document := range documents {
		if document.stamp() == file.stamp {
			return document, nil
		}
	}
	return nil, DamagedFile{file.file, "a document is no more in it"}
}

// KeepOutcome says what became of documents of the past that a folder was to keep.
type KeepOutcome struct {
	Kept []uint64 // the revisions of the configurations that are in the folder now
	// Refused is the first revision that is not, and Err why; no later one was tried. Nil: all are kept.
	Refused uint64
	Err     error
}

// Keep adds documents of the past beside what this member itself accepted, in one write.
func (s *Store) Keep(documents []*Document) KeepOutcome {
	s.lock.Lock()
	defer s.lock.Unlock()
	outcome, added, bytes := KeepOutcome{}, []*Document{}, s.bytes()
	for _, document := range documents {
		if !s.holds(document.stamp()) {
			if err := s.mayAdd(document, bytes); err != nil {
				outcome.Refused, outcome.Err = document.ConfigRevision, fmt.Errorf("keep revision %d: %w", document.Revision, err)
				break
			}
			added = append(added, document)
			bytes += encodedSize(document)
		}
		outcome.Kept = append(outcome.Kept, document.ConfigRevision)
	}
	if err := s.addPast(added); err != nil {
		return KeepOutcome{Refused: documents[0].ConfigRevision, Err: fmt.Errorf("keep %d revisions: %w", len(added), err)}
	}
	return outcome
}

// addPast writes documents of the past into one file.
func (s *Store) addPast(documents []*Document) error {
	if len(documents) == 0 {
		return nil
	}
	slices.SortFunc(documents, func(a, b *Document) int { return a.stamp().compare(b.stamp()) })
	name := pastName(documents[len(documents)-1].stamp())
	size, err := s.put(name, pastFile{documents})
	if err != nil {
		return err
	}
	s.notePast(name, size, documents)
	s.sort()
	return nil
}

// holds tells whether a document is in the folder.
func (s *Store) holds(stamp Stamp) bool {
	return slices.ContainsFunc(s.files, func(k kept) bool { return k.stamp == stamp })
}

// bytes is what all documents in the folder take.
func (s *Store) bytes() int {
	bytes := 0
	for _, file := range s.files {
		bytes += file.size
	}
	return bytes
}

// mayAdd tells whether a document may be added to so many bytes of others. Only the past may: the
// newest file is this member's own promise. What is newer goes before it, so it must not push out
// anything, and the next document has to find room as well.
func (s *Store) mayAdd(document *Document, bytes int) error {
	if len(s.files) == 0 || !document.stamp().before(s.files[len(s.files)-1].stamp) {
		return MissingRevision{document.Revision}
	}
	wanted := bytes + encodedSize(document) + s.files[len(s.files)-1].size
	if most := s.bounds.revisions(); wanted > most {
		return NoRoom{wanted, most}
	}
	return nil
}

// encodedSize is about how large a document's file is.
func encodedSize(document *Document) int {
	return document.wireSize() + len(document.Config)/3
}

// ConfigRevisions lists the configurations kept here, oldest first.
func (s *Store) ConfigRevisions() []uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	found := []uint64{}
	for _, file := range s.files {
		if file.configRevision > 0 {
			found = append(found, file.configRevision)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}
