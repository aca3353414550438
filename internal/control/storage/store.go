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

// Limits of the documents in a data folder, so that they can't fill a small disk.
const (
	maxStoredRevisions = 32
	maxStoredBytes     = 96 << 20
)

// DamagedFileError reports that the content of a file is not what was written or is not valid.
type DamagedFileError struct {
	Name   string
	Reason string
}

func (e DamagedFileError) Error() string {
	return fmt.Sprintf("file %s is damaged: %s", e.Name, e.Reason)
}

// storedDocument is the index entry of a stored document.
type storedDocument struct {
	name           string // file name; all documents of a history file have the same one
	size           int    // bytes of the file; a history file is counted with its newest document, the others have zero
	position       cluster.Position
	configRevision uint64
	config         cluster.ConfigRef // last entry of the document's chain
}

// Store manages a member's hard state and documents in a data folder. Each revision that the member accepted has
// a file of its own. Documents received from other members are stored several to a file.
type Store struct {
	lock        sync.Mutex
	folder      kernel.Folder
	member      cluster.MemberID
	files       []storedDocument // in order of positions
	quarantined []string
	// acknowledged is the position of the newest document that the folder has, or is known to have had.
	acknowledged cluster.Position
	bounds       StoreBounds
	// pins[0] is the position of the document whose file has the configuration of the last snapshot that this process
	// wrote, and pins[1] is the same for a snapshot that is being written. Zero: there is no such snapshot, or it
	// includes its configuration.
	pins [2]cluster.Position
}

// StoreBounds limits the bytes that documents and the snapshot may take in a data folder. Zero selects the
// default, which a bound can only lower.
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

// SetBounds sets the size limits for later writes.
func (s *Store) SetBounds(bounds StoreBounds) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bounds = bounds
}

// memberFile is the content of member.json: the member and fleet to which the folder belongs, and its format.
type memberFile struct {
	Member cluster.MemberID `json:"member"`
	Fleet  string           `json:"fleet"`
	Format int              `json:"format,omitempty"` // missing in folders of early builds, which have format 1
}

// folderFormat is the format of data folders that this build writes, and the newest that it reads.
const folderFormat = 1

// NewerFormatError reports that a folder or snapshot was written by a newer build. Such a folder is not changed.
type NewerFormatError struct{ Found, Known int }

func (e NewerFormatError) Error() string {
	return fmt.Sprintf("the data folder has format %d, but this build supports formats up to %d", e.Found, e.Known)
}

func (m memberFile) check() error {
	if m.Format > folderFormat {
		return NewerFormatError{m.Format, folderFormat}
	}
	return nil
}

// AddChecksum returns the content preceded by a line with its SHA-256 in hexadecimal. It is exported for a fuzz
// test that starts a node from a snapshot.
func AddChecksum(content []byte) []byte {
	sum := sha256.Sum256(content)
	return append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
}

// VerifyChecksum returns the content of a file, or a DamagedFileError if the checksum does not match. It is
// exported for the golden test of folders, which shares its records with the golden test of messages.
func VerifyChecksum(name string, file []byte) ([]byte, error) {
	const head = 2*sha256.Size + 1
	if len(file) < head {
		return nil, DamagedFileError{name, "it is too short for a checksum"}
	}
	sum := sha256.Sum256(file[head:])
	if string(file[:head-1]) != hex.EncodeToString(sum[:]) {
		return nil, DamagedFileError{name, "its checksum does not match"}
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

// put writes a value as JSON with a checksum, and returns the size of the file in bytes.
func (s *Store) put(name string, from any) (int, error) {
	content, err := json.Marshal(from)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", name, err)
	}
	file := AddChecksum(content)
	return len(file), s.folder.Put(name, file)
}

// documentPrefix is the prefix of the names of files with a single document.
const documentPrefix = "generation-"

// FileName returns the name of the file with the document at a position. It is exported for tests that damage a
// document in the folder of a running node.
func FileName(position cluster.Position) string {
	return fmt.Sprintf(documentPrefix+"%016d-%016d.json", position.Revision, position.Term)
}

// OpenStore opens a data folder and returns the hard state and the newest document. In an empty folder, or one
// whose member id, hard state or acknowledged position is damaged, it creates a new member with an id from
// freshID. A folder of another fleet or of a newer build is an error.
func OpenStore(folder kernel.Folder, fleet string, freshID func() string) (*Store, cluster.HardState, *cluster.Document, error) {
	s := &Store{folder: folder}
	var member memberFile
	var hardState cluster.HardState
	_, memberErr := s.get("member.json", &member)
	_, hardStateErr := s.get("ballot.json", &hardState)
	if errors.As(memberErr, new(kernel.DiskError)) || errors.As(hardStateErr, new(kernel.DiskError)) {
		return nil, hardState, nil, fmt.Errorf("open the store: %w", errors.Join(memberErr, hardStateErr))
	}
	if err := member.check(); err != nil {
		return nil, hardState, nil, fmt.Errorf("open the store: %w", err)
	}
	if memberErr == nil && member.Fleet != fleet {
		return nil, hardState, nil, fmt.Errorf("open the store: %w", DamagedFileError{"member.json", fmt.Sprintf("it belongs to fleet %q, not %q", member.Fleet, fleet)})
	}
	acknowledgedErr := s.readAcknowledged()
	if errors.As(acknowledgedErr, new(kernel.DiskError)) {
		return nil, hardState, nil, fmt.Errorf("open the store: %w", acknowledgedErr)
	}
	if memberErr == nil && acknowledgedErr == nil && (hardStateErr == nil || errors.As(hardStateErr, new(kernel.MissingFileError))) {
		s.member = member.Member
		document, err := s.restore()
		return s, hardState, document, err
	}
	// Without valid hard state, the member could vote twice in a term. Without its acknowledged position, it
	// could vote for a candidate that lacks an acknowledged document. The files of the folder are therefore
	// quarantined, and a new member is created.
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
		// The folder also contains files of others: a lock, journals, an object store.
		if !isStoreFile(name) {
			continue
		}
		if err := s.quarantine(name); err != nil {
			return err
		}
	}
	return nil
}

// isStoreFile reports whether a file has the identity, the votes or the documents of the member.
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

// Quarantined returns the names of the files that were quarantined since the store was opened. A quarantined file
// is renamed, unless that failed.
func (s *Store) Quarantined() []string { return s.quarantined }

// startFile is the content of the file named startName.
type startFile struct {
	Start uint64 `json:"start"`
}

// startName is the file with the number of the last start.
const startName = "start.json"

// NextStart returns a start number that is larger than that of every earlier start in this folder, and at least
// the proposed one. The caller has to call persist, or the next start number may not be larger.
func (s *Store) NextStart(proposed uint64) (start uint64, persist func() error) {
	var last startFile
	// A damaged or missing file is ignored and replaced by the next write.
	if _, err := s.get(startName, &last); err == nil {
		proposed = max(proposed, last.Start+1)
	}
	return proposed, func() error {
		_, err := s.put(startName, startFile{proposed})
		return err
	}
}

// Member returns the id that was generated when this folder was created.
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

// restoreAccepted reads and indexes the documents that have a file of their own, and returns the newest. Damaged
// files are quarantined.
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

// Save executes a Save command. If it returns nil, everything is synced to disk.
func (s *Store) Save(save commands.Save) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	// Hard state is written first: a document must never be on disk with hard state of an earlier term.
	if save.HardState != nil {
		if _, err := s.put("ballot.json", save.HardState); err != nil {
			return fmt.Errorf("save the hard state: %w", err)
		}
	}
	if save.AcceptorState != nil {
		if err := s.putAcceptorState(save.AcceptorState); err != nil {
			return fmt.Errorf("save the acceptor state: %w", err)
		}
	}
	if save.Document == nil {
		return nil
	}
	// Pruning comes before the write, so that a full disk gets free space again.
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

// removeFile removes a file and the index entries of its documents.
func (s *Store) removeFile(name string) error {
	if err := s.folder.Remove(name); err != nil {
		return err
	}
	s.files = slices.DeleteFunc(s.files, func(k storedDocument) bool { return k.name == name })
	return nil
}

// prune removes all documents but the newest revisions and one revision of each of the newest configurations. It
// removes more of the oldest ones if these exceed the size limit.
func (s *Store) prune() error {
	for _, name := range s.removableFiles() {
		if err := s.removeFile(name); err != nil {
			return err
		}
	}
	return nil
}

// removableFiles returns the names of the files to prune. A history file is kept or removed as a whole, depending on
// its newest document.
func (s *Store) removableFiles() []string {
	configs, bytes, removable := map[uint64]bool{}, 0, []string{}
	isRetained := map[string]bool{}
	for i, file := range slices.Backward(s.files) {
		_, isDecided := isRetained[file.name]
		if !isDecided {
			isNewest := len(s.files)-1-i < maxStoredRevisions
			isNewConfig := !configs[file.configRevision] && len(configs) < cluster.MaxStoredConfigs
			// The newest two documents are kept whatever their size, because they state what this member
			// has acknowledged. The files from which the snapshot takes its configuration are kept too.
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

// isPinned reports whether a file has a configuration that a snapshot refers to.
func (s *Store) isPinned(name string) bool {
	return slices.ContainsFunc(s.files, func(k storedDocument) bool { return k.name == name && slices.Contains(s.pins[:], k.position) })
}
