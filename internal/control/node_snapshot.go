package control

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// SaveSnapshot asks the shell to write a snapshot beside the owners, and to bring a
// SnapshotSaved event back. Nothing waits for it.
type SaveSnapshot struct{ Snapshot *storage.Snapshot }

// IsCommand marks a command.
func (SaveSnapshot) IsCommand() {}

const (
	snapshotInterval = 500 * kernel.Millisecond
	// After a failure the disk is left alone for so long; one that is full needs its room
	// for what the core promises.
	snapshotRetryInterval = 5 * kernel.Second
	maxSnapshotNodes      = 64
)

// snapshots is a node's part in keeping its snapshot.
type snapshots struct {
	isOn      bool
	isLoaded  bool // this incarnation began with one
	isWriting bool
	nextAt    kernel.Micros
	written   snapshotVersion
	writing   snapshotVersion
	// restored is the document that came from the disk, until the fleet has shown another.
	restored *cluster.Document
	// isRestoredExpired: engines that are known from the disk alone are not used any more.
	isRestoredExpired bool
}

// snapshotVersion tells whether anything that a snapshot holds has changed.
type snapshotVersion struct {
	document  *cluster.Document
	engineRev uint64
	nodeCount int
}

func (n *Node) snapshotVersion() snapshotVersion {
	return snapshotVersion{n.lease.Applied(), n.directory.EngineRev(), min(n.directory.NodeCount(), maxSnapshotNodes)}
}

// restore begins with what the disk held. Only where a router may serve without the core's
// word: under leases alone it would be of no use, and every word on it would have to be
// weighed against the proof of a reply.
func (n *Node) restore(from *storage.Snapshot) {
	s := &n.snapshots
	s.isOn = n.settings.HasFolder && n.settings.ServeExtension >= cluster.ServeWithoutLimit
	if !s.isOn || from == nil || from.Document == nil {
		return
	}
	// A folder that was rebuilt belongs to another founding than its snapshot.
	if n.core != nil && n.core.doc != nil && n.core.doc.ClusterID != from.Document.ClusterID {
		n.note(decision.Snapshot, decision.Ignore, "it belongs to another founding of the fleet")
		return
	}
	s.restored, s.isLoaded = from.Document, true
	n.note(decision.Snapshot, decision.Load, fmt.Sprintf("revision %d, %d engines, %d nodes to ask", from.Document.Revision, len(from.Engines), len(from.Nodes)))
	for _, record := range from.Engines {
		// Nobody has heard them in this life: they count as long silent, so that their home
		// calls them gone unless they beat, and any real word on them is fresher. Not so
		// long, though, that the word of their end would be too old to be taken.
		record.Age, record.Idle, record.IsRestored = registry.EngineExpiry, registry.EngineExpiry/2, true
		n.directory.MergeRecord(n.now, record.WithTimes(n.now), false)
	}
	for _, address := range from.Nodes {
		if address != n.self() {
			n.hints.others = append(n.hints.others, address)
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
	return n.settings.Timing.EngineHeartbeatTimeout > 0 && n.now-n.startedAt >= n.restoredSpan()
}

// tickRestored has the data plane look again once engines that nobody has heard are left aside.
func (n *Node) tickRestored() {
	if n.snapshots.isRestoredExpired || !n.isRestoredSpanOver() {
		return
	}
	n.snapshots.isRestoredExpired = true
	n.directory.TouchEngines()
}

// usableEngines gives the engines as the data plane is to see them: those that are known from the disk alone,
// and were not heard in time, are not listed.
func (n *Node) usableEngines() []registry.EngineRecord {
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
	snapshot := &storage.Snapshot{Format: storage.SnapshotFormat, Fleet: n.settings.Identity.Fleet, Document: n.lease.Applied()}
	for engine := range n.directory.AllEngines() {
		snapshot.Engines = append(snapshot.Engines, engine.WithAges(n.now))
	}
	for node := range n.directory.AllNodes() {
		if node.Address != n.self() && len(snapshot.Nodes) < maxSnapshotNodes {
			snapshot.Nodes = append(snapshot.Nodes, node.Address)
		}
	}
	n.out = append(n.out, SaveSnapshot{snapshot})
}

// SnapshotSaved reports on the last snapshot.
func (n *Node) SnapshotSaved(now kernel.Micros, err error) []commands.Command {
	n.now = now
	s := &n.snapshots
	s.isWriting = false
	if err != nil {
		s.nextAt = now + snapshotRetryInterval
		n.note(decision.Snapshot, decision.Skip, err.Error())
		return n.finish()
	}
	s.written = s.writing
	return n.finish()
}
