package control

import (
	"encoding/json"
	"errors"
	"fmt"

	"dunlinloom/internal/kernel"
)

// Snapshot is what a node keeps on its disk for a quick start: the newest document that
// it knew to be committed, the engines, and the nodes to ask. It proves nothing: it may
// lack what was acknowledged last, and its engines may be gone.
type Snapshot struct {
	Format   int            `json:"format"`
	Fleet    string         `json:"fleet"`
	Document *Document      `json:"document"` // without its configuration where the folder holds that
	Engines  []EngineRecord `json:"engines,omitempty"`
	Nodes    []string       `json:"nodes,omitempty"`
}

// SaveSnapshot asks the shell to write a snapshot beside the owners, and to bring a
// SnapshotSaved event back. Nothing waits for it.
type SaveSnapshot struct{ Snapshot *Snapshot }

const (
	snapshotFormat = 1
	snapshotName   = "snapshot.json"
	// maxSnapshotBytes bounds the file where the store's bounds say nothing.
	maxSnapshotBytes = 8 << 20
)

const (
	snapshotInterval = 500 * kernel.Millisecond
	// After a failure the disk is left alone for so long; one that is full needs its room
	// for what the core promises.
	snapshotRetryInterval = 5 * kernel.Second
	maxSnapshotNodes      = 64
)

// SnapshotTooLargeError says that a snapshot would not fit its bound.
type SnapshotTooLargeError struct{ Bytes, Limit int }

func (b SnapshotTooLargeError) Error() string {
	return fmt.Sprintf("a snapshot of %d bytes is larger than %d", b.Bytes, b.Limit)
}

// snapshots is a node's part in keeping its snapshot.
type snapshots struct {
	isOn      bool
	isWriting bool
	nextAt    kernel.Micros
	written   snapshotVersion
	writing   snapshotVersion
	// restored is the document that came from the disk, until the fleet has shown another.
	restored *Document
	// isRestoredExpired: engines that are known from the disk alone are not used any more.
	isRestoredExpired bool
}

// snapshotVersion tells whether anything that a snapshot holds has changed.
type snapshotVersion struct {
	document  *Document
	engineRev uint64
	nodeCount int
}

func (n *Node) snapshotVersion() snapshotVersion {
	return snapshotVersion{n.lease.Applied(), n.directory.EngineRev(), min(n.directory.NodeCount(), maxSnapshotNodes)}
}

// restore begins with what the disk held. Only where a router may serve without the core's
// word: under leases alone it would be of no use, and every word on it would have to be
// weighed against the proof of a reply.
func (n *Node) restore(from *Snapshot) {
	s := &n.snapshots
	s.isOn = n.settings.HasFolder && n.settings.ServeExtension >= ServeWithoutLimit
	if !s.isOn || from == nil || from.Document == nil {
		return
	}
	// A folder that was rebuilt belongs to another founding than its snapshot.
	if n.core != nil && n.core.doc != nil && n.core.doc.ClusterID != from.Document.ClusterID {
		n.note("snapshot", "pass over", "it belongs to another founding of the fleet")
		return
	}
	s.restored = from.Document
	n.note("snapshot", "begin with", fmt.Sprintf("revision %d, %d engines, %d nodes to ask", from.Document.Revision, len(from.Engines), len(from.Nodes)))
	for _, record := range from.Engines {
		// Nobody has heard them in this life: they count as long silent, so that their home
		// calls them gone unless they beat, and any real word on them is fresher. Not so
		// long, though, that the word of their end would be too old to be taken.
		record.Age, record.Idle, record.IsRestored = engineExpiry, engineExpiry/2, true
		n.directory.mergeRecord(n.now, record.withTimes(n.now), false)
	}
	for _, address := range from.Nodes {
		if address != n.self() {
			n.otherHints = append(n.otherHints, address)
		}
	}
	n.applied(n.lease.Apply(from.Document))
}

// An engine that is known from the disk alone is used for two beats' time without a word of it, of the three
// and a half whose silence ends an engine. Its end may have been confirmed just before this node stopped,
// and no disk have heard of it.
const (
	restoredHalfHeartbeats = 4
	lostHalfHeartbeats     = 7
)

// restoredSpan is for how long after the start engines are used that are known from the disk alone: as long
// as they may need to be heard, and less than after which this node counts as in touch with the fleet.
func (n *Node) restoredSpan() kernel.Micros {
	span := n.settings.Timing.EngineHeartbeatTimeout * restoredHalfHeartbeats / lostHalfHeartbeats
	if n.settings.RestoredSpan > 0 {
		span = min(span, n.settings.RestoredSpan)
	}
	return span
}

// isRestoredSpanOver tells that engines which are known from the disk alone are not used any more.
func (n *Node) isRestoredSpanOver() bool {
	return n.settings.Timing.EngineHeartbeatTimeout > 0 && n.now-n.bornAt >= n.restoredSpan()
}

// tickRestored has the data plane look again once engines that nobody has heard are left aside.
func (n *Node) tickRestored() {
	if n.snapshots.isRestoredExpired || !n.isRestoredSpanOver() {
		return
	}
	n.snapshots.isRestoredExpired = true
	n.directory.touchEngines()
}

// usableEngines gives the engines as the data plane is to see them: those that are known from the disk alone,
// and were not heard in time, are not listed.
func (n *Node) usableEngines() []EngineRecord {
	engines := n.directory.Engines()
	if !n.snapshots.isRestoredExpired {
		return engines
	}
	for i := range engines {
		engines[i].IsUnlisted = engines[i].IsUnlisted || engines[i].IsRestored
	}
	return engines
}

// isRestored tells that the document in force is still the one of the disk.
func (n *Node) isRestored() bool {
	return n.snapshots.restored != nil && n.lease.Applied() == n.snapshots.restored
}

func (n *Node) tickSnapshot() {
	s := &n.snapshots
	if !s.isOn || s.isWriting || n.now < s.nextAt || n.lease.Applied() == nil {
		return
	}
	current := n.snapshotVersion()
	if current == s.written {
		return
	}
	// The disk is the core's first: what a voter has promised goes before.
	if n.core != nil && (len(n.core.saves) > 0 || n.core.DiskFault() != "") {
		return
	}
	s.isWriting, s.writing, s.nextAt = true, current, n.now+snapshotInterval
	snapshot := &Snapshot{Format: snapshotFormat, Fleet: n.settings.Identity.Fleet, Document: n.lease.Applied()}
	for _, engine := range n.directory.Engines() {
		snapshot.Engines = append(snapshot.Engines, engine.withAges(n.now))
	}
	for _, node := range n.directory.Nodes() {
		if node.Address != n.self() && len(snapshot.Nodes) < maxSnapshotNodes {
			snapshot.Nodes = append(snapshot.Nodes, node.Address)
		}
	}
	n.out = append(n.out, SaveSnapshot{snapshot})
}

// SnapshotSaved reports on the last snapshot.
func (n *Node) SnapshotSaved(now kernel.Micros, err error) []any {
	n.now = now
	s := &n.snapshots
	s.isWriting = false
	if err != nil {
		s.nextAt = now + snapshotRetryInterval
		n.note("snapshot", "leave out", err.Error())
		return n.finish()
	}
	s.written = s.writing
	return n.finish()
}

// SaveSnapshot writes a snapshot in place of the last one.
func (s *Store) SaveSnapshot(snapshot *Snapshot) error {
	withoutConfig := *snapshot
	// Most often the folder holds the configuration already, and a second copy would double what
	// a change costs the disk.
	s.lock.Lock()
	pinned := s.holder(snapshot.Document)
	s.pins[1] = pinned
	limit := s.bounds.snapshot()
	s.lock.Unlock()
	if pinned != (Position{}) {
		withoutConfig.Document = snapshot.Document.withoutConfig()
	}
	content, err := json.Marshal(&withoutConfig)
	if err != nil {
		return fmt.Errorf("encode the snapshot: %w", err)
	}
	if len(content) > limit {
		return fmt.Errorf("save the snapshot: %w", SnapshotTooLargeError{len(content), limit})
	}
	if err := s.folder.Put(snapshotName, addChecksum(content)); err != nil {
		return fmt.Errorf("save the snapshot: %w", err)
	}
	s.lock.Lock()
	s.pins[0], s.pins[1] = pinned, Position{}
	s.lock.Unlock()
	return nil
}

// holder is the newest file that holds a document's configuration, if any.
func (s *Store) holder(document *Document) Position {
	if len(document.ConfigChain) == 0 {
		return Position{}
	}
	for i := len(s.files) - 1; i >= 0; i-- {
		if s.files[i].config == document.ConfigChain[len(document.ConfigChain)-1] {
			return s.files[i].position
		}
	}
	return Position{}
}

// Snapshot gives what SaveSnapshot wrote last; nil: there is none of use. One that is
// damaged, or of a newer build, is set aside.
func (s *Store) Snapshot(fleet string) (*Snapshot, error) {
	var found Snapshot
	_, err := s.get(snapshotName, &found)
	if errors.As(err, new(kernel.MissingFileError)) {
		return nil, nil
	}
	if err == nil {
		err = s.complete(&found, fleet)
	}
	if err == nil {
		return &found, nil
	}
	if errors.As(err, new(kernel.DiskError)) {
		return nil, fmt.Errorf("read the snapshot: %w", err)
	}
	if failed := s.quarantine(snapshotName); failed != nil {
		err = errors.Join(err, failed)
	}
	return nil, fmt.Errorf("read the snapshot: %w", err)
}

// complete checks a snapshot and puts its document's configuration back.
func (s *Store) complete(found *Snapshot, fleet string) error {
	switch {
	case found.Format > snapshotFormat:
		return NewerFormatError{found.Format, snapshotFormat}
	case found.Fleet != fleet:
		return DamagedFileError{snapshotName, fmt.Sprintf("it belongs to fleet %q, not %q", found.Fleet, fleet)}
	case found.Document == nil:
		return DamagedFileError{snapshotName, "it holds no document"}
	}
	if err := found.Document.checkChain(); err != nil {
		return DamagedFileError{snapshotName, err.Error()}
	}
	chain := found.Document.ConfigChain
	if len(found.Document.Config) == 0 && len(chain) > 0 {
		stored, err := s.ConfigAt(chain[len(chain)-1])
		if err != nil {
			return err
		}
		found.Document.Config = stored.Config
	}
	// What its revision is said to hold is what everyone else will show under it.
	if len(chain) > 0 && ConfigRefOf(found.Document) != chain[len(chain)-1] {
		return DamagedFileError{snapshotName, "its configuration is not the one that its document names"}
	}
	return nil
}
