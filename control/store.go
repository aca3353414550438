package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"dunlinloom/kernel"
)

// What a data folder keeps at most, so that a small disk does not fill by itself.
const (
	keptRevisions = 32
	keptConfigs   = 64
	keptBytes     = 96 << 20
)

// DamagedFile says that a file does not hold what was written.
type DamagedFile struct {
	Name string
	Why  string
}

func (b DamagedFile) Error() string { return fmt.Sprintf("file %s is damaged: %s", b.Name, b.Why) }

// MissingRevision says that no copy of a revision is kept here.
type MissingRevision struct{ Revision uint64 }

func (b MissingRevision) Error() string {
	return fmt.Sprintf("revision %d is not kept here", b.Revision)
}

type kept struct {
	stamp          Stamp
	configRevision uint64
	size           int
	config         ConfigMark // as its chain names it
}

// Store keeps a member's ballot and documents in a data folder, one file a revision.
type Store struct {
	lock   sync.Mutex
	folder kernel.Folder
	member MemberID
	files  []kept // in order of stamps
	aside  []string
	// promised is the newest document that the folder is known to have held.
	promised Stamp
	bounds   StoreBounds
	// pins are the files that hold the configuration of the snapshot on disk, and of the one being
	// written; zero: none is needed.
	pins [2]Stamp
}

// StoreBounds are the bytes that a data folder may take; zero: the usual ones.
type StoreBounds struct{ Revisions, Snapshot int }

func (b StoreBounds) revisions() int {
	if b.Revisions > 0 {
		return min(b.Revisions, keptBytes)
	}
	return keptBytes
}

func (b StoreBounds) snapshot() int {
	if b.Snapshot > 0 {
		return min(b.Snapshot, snapshotBytes)
	}
	return snapshotBytes
}

// Bound sets what the folder may take from now on.
func (s *Store) Bound(bounds StoreBounds) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.bounds = bounds
}

type memberFile struct {
	Member MemberID `json:"member"`
	Fleet  string   `json:"fleet"`
	Format int      `json:"format,omitempty"` // folders from before it was written count as 1
}

// folderFormat is the form of a data folder that this build writes, and the newest it reads.
const folderFormat = 1

// NewerFormat says that a folder was written by a newer build; it is left as it is.
type NewerFormat struct{ Found, Known int }

func (b NewerFormat) Error() string {
	return fmt.Sprintf("the data folder is of format %d, this build knows up to %d", b.Found, b.Known)
}

func (m memberFile) check() error {
	if m.Format > folderFormat {
		return NewerFormat{m.Format, folderFormat}
	}
	return nil
}

func seal(content []byte) []byte {
	sum := sha256.Sum256(content)
	return append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
}

func unseal(name string, file []byte) ([]byte, error) {
	const head = 2*sha256.Size + 1
	if len(file) < head {
		return nil, DamagedFile{name, "it is too short"}
	}
	sum := sha256.Sum256(file[head:])
	if string(file[:head-1]) != hex.EncodeToString(sum[:]) {
		return nil, DamagedFile{name, "its checksum does not fit"}
	}
	return file[head:], nil
}

func (s *Store) get(name string, to any) (int, error) {
	file, err := s.folder.Get(name)
	if err != nil {
		return 0, err
	}
	content, err := unseal(name, file)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(content, to); err != nil {
		return 0, DamagedFile{name, err.Error()}
	}
	return len(file), nil
}

func (s *Store) put(name string, from any) (int, error) {
	content, err := json.Marshal(from)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", name, err)
	}
	file := seal(content)
	return len(file), s.folder.Put(name, file)
}

func fileName(s Stamp) string {
	return fmt.Sprintf("generation-%016d-%016d.json", s.Revision, s.Term)
}

// OpenStore reads a data folder, or makes a new member with a fresh id in an
// empty one.
func OpenStore(folder kernel.Folder, fleet string, freshID func() string) (*Store, Ballot, *Document, error) {
	s := &Store{folder: folder}
	var member memberFile
	var ballot Ballot
	_, memberErr := s.get("member.json", &member)
	_, ballotErr := s.get("ballot.json", &ballot)
	if errors.As(memberErr, new(kernel.DiskError)) || errors.As(ballotErr, new(kernel.DiskError)) {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", errors.Join(memberErr, ballotErr))
	}
	if err := member.check(); err != nil {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", err)
	}
	if memberErr == nil && member.Fleet != fleet {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", DamagedFile{"member.json", fmt.Sprintf("it belongs to fleet %q, not %q", member.Fleet, fleet)})
	}
	promisedErr := s.readPromise()
	if errors.As(promisedErr, new(kernel.DiskError)) {
		return nil, ballot, nil, fmt.Errorf("open the store: %w", promisedErr)
	}
	if memberErr == nil && promisedErr == nil && (ballotErr == nil || errors.As(ballotErr, new(kernel.MissingFile))) {
		s.member = member.Member
		document, err := s.restore()
		return s, ballot, document, err
	}
	// Without a sound ballot this member could vote twice in a term, and without its promise for a
	// candidate that lacks what it has acknowledged. What the
	// folder holds is set aside and it goes on as a new member.
	if err := s.setAsideAll(); err != nil {
		return nil, Ballot{}, nil, fmt.Errorf("open the store: %w", err)
	}
	s.member, s.promised = MemberID(freshID()), Stamp{}
	if _, err := s.put("member.json", memberFile{s.member, fleet, folderFormat}); err != nil {
		return nil, Ballot{}, nil, fmt.Errorf("open the store: %w", err)
	}
	return s, Ballot{}, nil, nil
}

func (s *Store) setAsideAll() error {
	names, err := s.folder.List("")
	if err != nil {
		return err
	}
	for _, name := range names {
		// The folder holds more than the store's own: a lock, journals, an object store.
		if name != "member.json" && name != "ballot.json" && name != foundingVoteName && name != promisedName && !strings.HasPrefix(name, "generation-") {
			continue
		}
		if err := s.setAside(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) setAside(name string) error {
	s.aside = append(s.aside, name)
	return s.folder.Rename(name, "damaged-"+name)
}

// Aside names the files that were set aside when the store was opened.
func (s *Store) Aside() []string { return s.aside }

// startFile remembers the number of the newest start.
type startFile struct {
	Start uint64 `json:"start"`
}

const startName = "start.json"

// NextStart gives a number for this start that is larger than that of every start before
// it in this folder. Keep writes it down; without that the next one may not be larger.
func (s *Store) NextStart(proposed uint64) (start uint64, keep func() error) {
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
func (s *Store) Member() MemberID { return s.member }

func (s *Store) restore() (*Document, error) {
	names, err := s.folder.List("generation-")
	if err != nil {
		return nil, fmt.Errorf("open the store: %w", err)
	}
	var newest *Document
	for _, name := range names {
		var document Document
		size, err := s.get(name, &document)
		if err == nil {
			if fault := document.checkChain(); fault != nil {
				err = DamagedFile{name, fault.Error()}
			}
		}
		if errors.As(err, new(DamagedFile)) {
			if err := s.loseDocument(name); err != nil {
				return nil, fmt.Errorf("open the store: %w", err)
			}
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("open the store: %w", err)
		}
		s.files = append(s.files, keptOf(&document, size))
		if newest.stamp().before(document.stamp()) {
			newest = &document
		}
	}
	s.sort()
	if s.promised.before(newest.stamp()) {
		s.promised = newest.stamp()
	}
	return newest, nil
}

func keptOf(document *Document, size int) kept {
	file := kept{stamp: document.stamp(), configRevision: document.ConfigRevision, size: size}
	if last := len(document.Chain) - 1; last >= 0 {
		file.config = document.Chain[last]
	}
	return file
}

func (s *Store) sort() {
	slices.SortFunc(s.files, func(a, b kept) int {
		switch {
		case a.stamp.before(b.stamp):
			return -1
		case b.stamp.before(a.stamp):
			return 1
		}
		return 0
	})
}

// Save does what the core asked for; when it returns nil all of it is synced.
func (s *Store) Save(save Save) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	// The ballot first: a document of a term must never be on disk under an older ballot.
	if save.Ballot != nil {
		if _, err := s.put("ballot.json", save.Ballot); err != nil {
			return fmt.Errorf("save the ballot: %w", err)
		}
	}
	if save.FoundingVote != nil {
		if err := s.putFoundingVote(save.FoundingVote); err != nil {
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
	size, err := s.put(fileName(save.Document.stamp()), save.Document)
	if err != nil {
		return fmt.Errorf("save revision %d: %w", save.Document.Revision, err)
	}
	s.files = append(s.files, keptOf(save.Document, size))
	return nil
}

func (s *Store) drop(gone Stamp) error {
	if err := s.folder.Remove(fileName(gone)); err != nil {
		return err
	}
	s.files = slices.DeleteFunc(s.files, func(k kept) bool { return k.stamp == gone })
	return nil
}

// prune keeps the newest revisions and one of each of the newest configurations.
func (s *Store) prune() error {
	configs, bytes := map[uint64]bool{}, 0
	gone := []Stamp{}
	for i := len(s.files) - 1; i >= 0; i-- {
		file := s.files[i]
		isNewest := len(s.files)-1-i < keptRevisions
		isNewConfig := !configs[file.configRevision] && len(configs) < keptConfigs
		// The newest two stay whatever their size: they are what this member has promised.
		// So does what the snapshot has its configuration from.
		if i < len(s.files)-2 && !slices.Contains(s.pins[:], file.stamp) && (!isNewest && !isNewConfig || bytes+file.size > s.bounds.revisions()) {
			gone = append(gone, file.stamp)
			continue
		}
		configs[file.configRevision] = true
		bytes += file.size
	}
	for _, stamp := range gone {
		if err := s.drop(stamp); err != nil {
			return err
		}
	}
	return nil
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
		var document Document
		if _, err := s.get(fileName(file.stamp), &document); err != nil {
			return nil, fmt.Errorf("read the configuration of revision %d: %w", mark.Revision, err)
		}
		if digestOf(document.Config) == mark.Digest {
			return &document, nil
		}
	}
	return nil, MissingRevision{mark.Revision}
}

// Keep adds a document of the past beside what this member itself accepted.
func (s *Store) Keep(document *Document) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	this := document.stamp()
	for _, file := range s.files {
		if file.stamp == this {
			return nil
		}
	}
	// Only the past may be added: the newest file is this member's own promise.
	if len(s.files) == 0 || !this.before(s.files[len(s.files)-1].stamp) {
		return MissingRevision{document.Revision}
	}
	if err := s.roomFor(document); err != nil {
		return fmt.Errorf("keep revision %d: %w", document.Revision, err)
	}
	size, err := s.put(fileName(this), document)
	if err != nil {
		return fmt.Errorf("keep revision %d: %w", document.Revision, err)
	}
	s.files = append(s.files, keptOf(document, size))
	s.sort()
	return nil
}

// NoRoom says that the folder's bound leaves no room for a configuration of the past.
type NoRoom struct{ Bytes, Most int }

func (b NoRoom) Error() string {
	return fmt.Sprintf("with it the documents would take %d bytes, and %d are allowed", b.Bytes, b.Most)
}

// roomFor tells whether a document of the past fits. What is newer goes before it, so it must not
// push out anything, and the next document has to find room as well.
func (s *Store) roomFor(document *Document) error {
	size := encodedSize(document)
	bytes := size
	for _, file := range s.files {
		bytes += file.size
	}
	next := s.files[len(s.files)-1].size
	if most := s.bounds.revisions(); bytes+next > most {
		return NoRoom{bytes + next, most}
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
