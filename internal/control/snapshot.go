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
	snapshotEvery  = 500 * kernel.Millisecond
	// After a failure the disk is left alone for so long; one that is full needs its room
	// for what the core promises.
	snapshotPause = 5 * kernel.Second
	snapshotNodes = 64
	// snapshotBytes bounds the file where the store's bounds say nothing.
	snapshotBytes = 8 << 20
)

// SnapshotTooLarge says that a snapshot would not fit its bound.
type SnapshotTooLarge struct{ Bytes, Most int }

func (b SnapshotTooLarge) Error() string {
	return fmt.Sprintf("a snapshot of %d bytes is larger than %d", b.Bytes, b.Most)
}

// snapshots is a node's part in keeping its snapshot.
type snapshots struct {
	isOn      bool
	isWriting bool
	nextAt    kernel.Micros
	written   snapshotMark
	writing   snapshotMark
	// restored is the document that came from the disk, until the fleet has shown another.
	restored *Document
	// isLeftAside: engines that are known from the disk alone are not used any more.
	isLeftAside bool
}

// snapshotMark tells whether anything that a snapshot holds has changed.
type snapshotMark struct {
	document  *Document
	engineRev uint64
	nodeCount int
}

func (n *Node) snapshotMark() snapshotMark {
	return snapshotMark{n.lease.applied, n.directory.engineRev, min(n.directory.nodes.Len(), snapshotNodes)}
}

// restore begins with what the disk held. Only where a router may serve without the core's
// word: under leases alone it would be of no use, and every word on it would have to be
// weighed against the proof of a reply.
func (n *Node) restore(from *Snapshot) {
	s := &n.snapshots
	s.isOn = n.settings.HasFolder && n.settings.ServeOn >= ServeOnAlways
	if !s.isOn || from == nil || from.Document == nil {
		return
	}
	// A folder that was rebuilt belongs to another founding than its snapshot.
	if n.core != nil && n.core.doc != nil && n.core.doc.Founding != from.Document.Founding {
		n.note("snapshot", "pass over", "it belongs to another founding of the fleet")
		return
	}
	s.restored = from.Document
	n.note("snapshot", "begin with", fmt.Sprintf("revision %d, %d engines, %d nodes to ask", from.Document.Revision, len(from.Engines), len(from.Nodes)))
	for _, record := range from.Engines {
		// Nobody has heard them in this life: they count as long silent, so that their home
		// calls them gone unless they beat, and any real word on them is fresher. Not so
		// long, though, that the word of their end would be too old to be taken.
		record.Age, record.Idle, record.IsRestored = engineGone, engineGone/2, true
		n.directory.takeEngine(n.now, record.placed(n.now), false)
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
	restoredHalfBeats = 4
	goneHalfBeats     = 7
)

// restoredSpan is for how long after the start engines are used that are known from the disk alone: as long
// as they may need to be heard, and less than after which this node counts as in touch with the fleet.
func (n *Node) restoredSpan() kernel.Micros {
	span := n.settings.Timing.BeatGone * restoredHalfBeats / goneHalfBeats
	if n.settings.RestoredSpan > 0 {
		span = min(span, n.settings.RestoredSpan)
	}
	return span
}

// isRestoredOver tells that engines which are known from the disk alone are not used any more.
func (n *Node) isRestoredOver() bool {
	return n.settings.Timing.BeatGone > 0 && n.now-n.bornAt >= n.restoredSpan()
}

// tickRestored has the data plane look again once engines that nobody has heard are left aside.
func (n *Node) tickRestored() {
	if n.snapshots.isLeftAside || !n.isRestoredOver() {
		return
	}
	n.snapshots.isLeftAside = true
	n.directory.touchEngines()
}

// usableEngines gives the engines as the data plane is to see them: those that are known from the disk alone,
// and were not heard in time, are not listed.
func (n *Node) usableEngines() []EngineRecord {
	engines := n.directory.Engines()
	if !n.snapshots.isLeftAside {
		return engines
	}
	for i := range engines {
		engines[i].IsUnlisted = engines[i].IsUnlisted || engines[i].IsRestored
	}
	return engines
}

// isRestored tells that the document in force is still the one of the disk.
func (n *Node) isRestored() bool {
	return n.snapshots.restored != nil && n.lease.applied == n.snapshots.restored
}

func (n *Node) tickSnapshot() {
	s := &n.snapshots
	if !s.isOn || s.isWriting || n.now < s.nextAt || n.lease.applied == nil {
		return
	}
	mark := n.snapshotMark()
	if mark == s.written {
		return
	}
	// The disk is the core's first: what a voter has promised goes before.
	if n.core != nil && (len(n.core.saves) > 0 || n.core.Ailment() != "") {
		return
	}
	s.isWriting, s.writing, s.nextAt = true, mark, n.now+snapshotEvery
	snapshot := &Snapshot{Format: snapshotFormat, Fleet: n.settings.Identity.Fleet, Document: n.lease.applied}
	for _, engine := range n.directory.Engines() {
		snapshot.Engines = append(snapshot.Engines, engine.aged(n.now))
	}
	for _, node := range n.directory.Nodes() {
		if node.Address != n.self() && len(snapshot.Nodes) < snapshotNodes {
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
		s.nextAt = now + snapshotPause
		n.note("snapshot", "leave out", err.Error())
		return n.finish()
	}
	s.written = s.writing
	return n.finish()
}

// SaveSnapshot writes a snapshot in place of the last one.
func (s *Store) SaveSnapshot(snapshot *Snapshot) error {
	light := *snapshot
	// Most often the folder holds the configuration already, and a second copy would double what
	// a change costs the disk.
	s.lock.Lock()
	pinned := s.holder(snapshot.Document)
	s.pins[1] = pinned
	most := s.bounds.snapshot()
	s.lock.Unlock()
	if pinned != (Stamp{}) {
		light.Document = snapshot.Document.light()
	}
	content, err := json.Marshal(&light)
	if err != nil {
		return fmt.Errorf("encode the snapshot: %w", err)
	}
	if len(content) > most {
		return fmt.Errorf("save the snapshot: %w", SnapshotTooLarge{len(content), most})
	}
	if err := s.folder.Put(snapshotName, seal(content)); err != nil {
		return fmt.Errorf("save the snapshot: %w", err)
	}
	s.lock.Lock()
	s.pins[0], s.pins[1] = pinned, Stamp{}
	s.lock.Unlock()
	return nil
}

// holder is the newest file that holds a document's configuration, if any.
func (s *Store) holder(document *Document) Stamp {
	if len(document.Chain) == 0 {
		return Stamp{}
	}
	for i := len(s.files) - 1; i >= 0; i-- {
		if s.files[i].config == document.Chain[len(document.Chain)-1] {
			return s.files[i].stamp
		}
	}
	return Stamp{}
}

// Snapshot gives what SaveSnapshot wrote last; nil: there is none of use. One that is
// damaged, or of a newer build, is set aside.
func (s *Store) Snapshot(fleet string) (*Snapshot, error) {
	var found Snapshot
	_, err := s.get(snapshotName, &found)
	if errors.As(err, new(kernel.MissingFile)) {
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
	if failed := s.setAside(snapshotName); failed != nil {
		err = errors.Join(err, failed)
	}
	return nil, fmt.Errorf("read the snapshot: %w", err)
}

// complete checks a snapshot and puts its document's configuration back.
func (s *Store) complete(found *Snapshot, fleet string) error {
	switch {
	case found.Format > snapshotFormat:
		return NewerFormat{found.Format, snapshotFormat}
	case found.Fleet != fleet:
		return DamagedFile{snapshotName, fmt.Sprintf("it belongs to fleet %q, not %q", found.Fleet, fleet)}
	case found.Document == nil:
		return DamagedFile{snapshotName, "it holds no document"}
	}
	if err := found.Document.checkChain(); err != nil {
		return DamagedFile{snapshotName, err.Error()}
	}
	chain := found.Document.Chain
	if len(found.Document.Config) == 0 && len(chain) > 0 {
		kept, err := s.ConfigAt(chain[len(chain)-1])
		if err != nil {
			return err
		}
		found.Document.Config = kept.Config
	}
	// What its revision is said to hold is what everyone else will show under it.
	if len(chain) > 0 && MarkOf(found.Document) != chain[len(chain)-1] {
		return DamagedFile{snapshotName, "its configuration is not the one that its document names"}
	}
	return nil
}
