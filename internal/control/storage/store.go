package storage

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// What a data folder keeps at most, so that a small disk does not fill by itself.
const (
	maxStoredRevisions = 32
	maxStoredBytes     = 96 << 20
)

// DamagedFileError says that a file does not hold what was written.
type DamagedFileError struct {
	Name   string
	Reason string
}

func (b DamagedFileError) Error() string {
	return fmt.Sprintf("file %s is damaged: %s", b.Name, b.Reason)
}

// storedDocument is a document in the folder.
type storedDocument struct {
	name           string // where it is; several of the past may share one
	size           int    // of the file; zero for all but the newest document in it
	position       cluster.Position
	configRevision uint64
	config         cluster.ConfigRef // as its chain names it
}

// Store keeps a member's ballot and documents in a data folder: one file a revision that it
// accepted, and files of several that other members sent.
type Store struct {
	lock        sync.Mutex
	folder      kernel.Folder
	member      cluster.MemberID
	files       []storedDocument // in order of positions
	quarantined []string
	// acknowledged is the newest document that the folder is known to have held.
	acknowledged cluster.Position
	bounds       StoreBounds
	// pins are the files that hold the configuration of the snapshot on disk, and of the one being
	// written; zero: none is needed.
	pins [2]cluster.Position
}

// StoreBounds are the bytes that a data folder may take; zero: the usual ones.
type StoreBounds struct{ Revisions, Snapshot int }

func (b StoreBounds) revisions() int {
	if b.Revisions > 0 {
		return min(b.Revisions, maxStoredBytes)
	}
	return maxStoredBytes
}

func (b StoreBounds) snapshot() int {
	if b.Snapshot > 0 {
		return min(b.Snapshot, maxSnapshotBytes)
	}
	return maxSnapshotBytes
}

// SetBounds sets what the folder may take from now on.
func (s *Store) SetBounds(bounds StoreBounds) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bounds = bounds
}

// memberFile is the content of member.json: whose folder it is, and in which format.
type memberFile struct {
	Member cluster.MemberID `json:"member"`
	Fleet  string           `json:"fleet"`
	Format int              `json:"format,omitempty"` // folders from before it was written count as 1
}

// folderFormat is the form of a data folder that this build writes, and the newest it reads.
const folderFormat = 1

// NewerFormatError says that a folder was written by a newer build; it is left as it is.
type NewerFormatError struct{ Found, Known int }

func (b NewerFormatError) Error() string {
	return fmt.Sprintf("the data folder is of format %d, this build knows up to %d", b.Found, b.Known)
}

func (m memberFile) check() error {
	if m.Format > folderFormat {
		return NewerFormatError{m.Format, folderFormat}
	}
	return nil
}

// AddChecksum gives the content of a file behind a line with its SHA-256 in hexadecimal. It is exported for a
// fuzz test that starts a node from a snapshot.
func AddChecksum(content []byte) []byte {
	sum := sha256.Sum256(content)
	return append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
}

// VerifyChecksum gives the content of a file whose checksum fits, and otherwise a DamagedFileError. It is
// exported for the golden test of folders, which shares its records with the golden test of messages.
func VerifyChecksum(name string, file []byte) ([]byte, error) {
	const head = 2*sha256.Size + 1
	if len(file) < head {
		return nil, DamagedFileError{name, "it is too short"}
	}
	sum := sha256.Sum256(file[head:])
	if string(file[:head-1]) != hex.EncodeToString(sum[:]) {
		return nil, DamagedFileError{name, "its checksum does not fit"}
	}
	return file[head:], nil
}

func (s *Store) get(name string, to any) (int, error) {
	file, err := s.folder.Get(name)
	if err != nil {
		return 0, err
	}
	content, err := VerifyChecksum(name, file)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(content, to); err != nil {
		return 0, DamagedFileError{name, err.Error()}
	}
	return len(file), nil
}

// put writes a value as JSON with its checksum, and gives the size of the file in bytes. The errors are those
// of the folder.
func (s *Store) put(name string, from any) (int, error) {
	content, err := json.Marshal(from)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", name, err)
	}
	file := AddChecksum(content)
	return len(file), s.folder.Put(name, file)
}

// documentPrefix begins the name of each file that holds one document.
const documentPrefix = "generation-"

// FileName is the file of one document, by its position. It is exported for tests that damage a document in
// the folder of a node that runs.
func FileName(s cluster.Position) string {
	return fmt.Sprintf(documentPrefix+"%016d-%016d.json", s.Revision, s.Term)
}

// OpenStore reads a data folder, or makes a new member with a fresh id in an
// empty one.
func OpenStore(folder kernel.Folder, fleet string, freshID func() string) (*Store, cluster.HardState, *cluster.Document, error) {
	s := &Store{folder: folder}
	var member memberFile
	var ballot cluster.HardState
	_, memberErr := s.get("member.json", &member)
	_, ballotErr := s.get("ballot.json", &ballot)
	if errors.As(memberErr, new(kernel.DiskError)) || errors.As(ballotErr, new(kernel.DiskError)) {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", errors.Join(memberErr, ballotErr))
	}
	if err := member.check(); err != nil {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", err)
	}
	if memberErr == nil && member.Fleet != fleet {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", DamagedFileError{"member.json", fmt.Sprintf("it belongs to fleet %q, not %q", member.Fleet, fleet)})
	}
	acknowledgedErr := s.readAcknowledged()
	if errors.As(acknowledgedErr, new(kernel.DiskError)) {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", acknowledgedErr)
	}
	if memberErr == nil && acknowledgedErr == nil && (ballotErr == nil || errors.As(ballotErr, new(kernel.MissingFileError))) {
		s.member = member.Member
		document, err := s.restore()
		return s, ballot, document, err
	}
	// Without a sound ballot this member could vote twice in a term, and without its promise for a
	// candidate that lacks what it has acknowledged. What the
	// folder holds is set aside and it goes on as a new member.
	if err := s.quarantineAll(); err != nil {
		return nil, cluster.HardState{}, nil, fmt.Errorf("open the store: %w", err)
	}
	s.member, s.acknowledged = cluster.MemberID(freshID()), cluster.Position{}
	if _, err := s.put("member.json", memberFile{s.member, fleet, folderFormat}); err != nil {
		return nil, cluster.HardState{}, nil, fmt.Errorf("open the store: %w", err)
	}
	return s, cluster.HardState{}, nil, nil
}

func (s *Store) quarantineAll() error {
	names, err := s.folder.List("")
	if err != nil {
		return err
	}
	for _, name := range names {
		// The folder holds more than the store's own: a lock, journals, an object store.
		if !isStoreFile(name) {
			continue
		}
		if err := s.quarantine(name); err != nil {
			return err
		}
	}
	return nil
}

// isStoreFile tells whether a file says who this member is or what it holds.
func isStoreFile(name string) bool {
	switch name {
	case "member.json", "ballot.json", acceptorStateName, AcknowledgedName:
		return true
	}
	return strings.HasPrefix(name, documentPrefix) || strings.HasPrefix(name, historyPrefix)
}

func (s *Store) quarantine(name string) error {
	s.quarantined = append(s.quarantined, name)
	return s.folder.Rename(name, "damaged-"+name)
}

// Quarantined names the files that were set aside when the store was opened.
func (s *Store) Quarantined() []string { return s.quarantined }

// startFile remembers the number of the newest start.
type startFile struct {
	Start uint64 `json:"start"`
}

// startName is the file of the number of the newest start.
const startName = "start.json"

// NextStart gives a number for this start that is larger than that of every start before
// it in this folder. Keep writes it down; without that the next one may not be larger.
func (s *Store) NextStart(proposed uint64) (start uint64, persist func() error) {
	var last startFile
	// A damaged or missing file says nothing, and the next write mends it.
	if _, err := s.get(startName, &last); err == nil {
		proposed = max(proposed, last.Start+1)
	}
	return proposed, func() error {
		_, err := s.put(startName, startFile{proposed})
		return err
	}
}

// Member is the id made with this folder.
func (s *Store) Member() cluster.MemberID { return s.member }

func (s *Store) restore() (*cluster.Document, error) {
	newest, err := s.restoreAccepted()
	if err != nil {
		return nil, fmt.Errorf("open the store: %w", err)
	}
	newestInHistory, err := s.restoreHistory()
	if err != nil {
		return nil, fmt.Errorf("open the store: %w", err)
	}
	if newest.Position().Before(newestInHistory.Position()) {
		newest = newestInHistory
	}
	s.sort()
	if s.acknowledged.Before(newest.Position()) {
		s.acknowledged = newest.Position()
	}
	return newest, nil
}

// restoreAccepted reads the documents that have a file each, and gives the newest.
func (s *Store) restoreAccepted() (*cluster.Document, error) {
	names, err := s.folder.List(documentPrefix)
	if err != nil {
		return nil, err
	}
	var newest *cluster.Document
	for _, name := range names {
		var document cluster.Document
		size, err := s.get(name, &document)
		if err == nil {
			if fault := document.CheckChain(); fault != nil {
				err = DamagedFileError{name, fault.Error()}
			}
		}
		if errors.As(err, new(DamagedFileError)) {
			if err := s.quarantineDocument(name); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.files = append(s.files, newStoredDocument(&document, name, size))
		if newest.Position().Before(document.Position()) {
			newest = &document
		}
	}
	return newest, nil
}

func newStoredDocument(document *cluster.Document, file string, size int) storedDocument {
	stored := storedDocument{name: file, size: size, position: document.Position(), configRevision: document.ConfigRevision}
	if last := len(document.ConfigChain) - 1; last >= 0 {
		stored.config = document.ConfigChain[last]
	}
	return stored
}

func (s *Store) sort() {
	slices.SortStableFunc(s.files, func(a, b storedDocument) int { return a.position.Compare(b.position) })
}

// Save does what the core asked for; when it returns nil all of it is synced.
func (s *Store) Save(save commands.Save) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	// The ballot first: a document of a term must never be on disk under an older ballot.
	if save.HardState != nil {
		if _, err := s.put("ballot.json", save.HardState); err != nil {
			return fmt.Errorf("save the ballot: %w", err)
		}
	}
	if save.AcceptorState != nil {
		if err := s.putAcceptorState(save.AcceptorState); err != nil {
			return fmt.Errorf("save the founding vote: %w", err)
		}
	}
	if save.Document == nil {
		return nil
	}
	// Room is made before the write, so that a full disk can recover by itself.
	if err := s.prune(); err != nil {
		return fmt.Errorf("save revision %d: %w", save.Document.Revision, err)
	}
	name := FileName(save.Document.Position())
	size, err := s.put(name, save.Document)
	if err != nil {
		return fmt.Errorf("save revision %d: %w", save.Document.Revision, err)
	}
	s.files = append(s.files, newStoredDocument(save.Document, name, size))
	return nil
}

// removeFile removes a file and what is in it.
func (s *Store) removeFile(name string) error {
	if err := s.folder.Remove(name); err != nil {
		return err
	}
	s.files = slices.DeleteFunc(s.files, func(k storedDocument) bool { return k.name == name })
	return nil
}

// prune keeps the newest revisions and one of each of the newest configurations.
func (s *Store) prune() error {
	for _, name := range s.removableFiles() {
		if err := s.removeFile(name); err != nil {
			return err
		}
	}
	return nil
}

// removableFiles names the files that may go. The newest document of a file decides for all of it.
func (s *Store) removableFiles() []string {
	configs, bytes, removable := map[uint64]bool{}, 0, []string{}
	isRetained := map[string]bool{}
	for i, file := range slices.Backward(s.files) {
		_, isDecided := isRetained[file.name]
		if !isDecided {
			isNewest := len(s.files)-1-i < maxStoredRevisions
			isNewConfig := !configs[file.configRevision] && len(configs) < cluster.MaxStoredConfigs
			// The newest two stay whatever their size: they are what this member has promised.
			// So does what the snapshot has its configuration from.
			isRequired := i >= len(s.files)-2 || s.isPinned(file.name)
			isRetained[file.name] = isRequired || (isNewest || isNewConfig) && bytes+file.size <= s.bounds.revisions()
		}
		if isRetained[file.name] {
			configs[file.configRevision] = true
			bytes += file.size
		} else if !isDecided {
			removable = append(removable, file.name)
		}
	}
	return removable
}

// isPinned tells whether a snapshot has its configuration from a file.
func (s *Store) isPinned(name string) bool {
	return slices.ContainsFunc(s.files, func(k storedDocument) bool { return k.name == name && slices.Contains(s.pins[:], k.position) })
}
