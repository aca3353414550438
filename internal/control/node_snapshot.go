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

// SaveSnapshot makes the runner write a snapshot concurrently with the event loop, and then report the result by a call
// of SnapshotSaved. No answer waits for the write.
type SaveSnapshot struct{ Snapshot *storage.Snapshot }

// IsCommand marks a command.
func (SaveSnapshot) IsCommand() {}

const (
	snapshotInterval = 500 * kernel.Millisecond
	// snapshotRetryInterval is the pause after a failed write. It is longer because the disk may be full, and its space
	// is needed for what the core has to persist.
	snapshotRetryInterval = 5 * kernel.Second
	maxSnapshotNodes      = 64 // addresses of nodes to query after a restart
)

// snapshots is the state of saving and restoring snapshots.
type snapshots struct {
	isOn      bool // snapshots are written and loaded; see restore
	isLoaded  bool // this incarnation started from a snapshot
	isWriting bool
	nextAt    kernel.Micros   // earliest time of the next write
	written   snapshotVersion // contents of the last successful write
	writing   snapshotVersion // contents of the write in progress
	// restored is the document loaded from the disk. It becomes nil when a message confirms its cluster ID.
	restored *cluster.Document
	// isRestoredExpired: engines known only from the disk are no longer used.
	isRestoredExpired bool
}

// snapshotVersion identifies the contents of a snapshot, to detect changes.
type snapshotVersion struct {
	document  *cluster.Document
	engineRev uint64
	nodeCount int
}

func (n *Node) snapshotVersion() snapshotVersion {
	return snapshotVersion{n.lease.Applied(), n.directory.EngineRev(), min(n.directory.NodeCount(), maxSnapshotNodes)}
}

// restore loads a snapshot, but only under ServeWithoutLimit, where a router may serve without answers from the core.
// Under leases alone a snapshot would be useless, because the router has to wait for the leader anyway. Each record of
// the snapshot would also have to be weighed against answers that are proven to be current.
func (n *Node) restore(from *storage.Snapshot) {
	s := &n.snapshots
	s.isOn = n.settings.HasFolder && n.settings.ServeExtension >= cluster.ServeWithoutLimit
	if !s.isOn || from == nil || from.Document == nil {
		return
	}
	// If the core was rebuilt since the snapshot was stored, the data folder has another cluster ID than the snapshot.
	if n.core != nil && n.core.doc != nil && n.core.doc.ClusterID != from.Document.ClusterID {
		n.note(decision.Snapshot, decision.Ignore, "the snapshot has another cluster ID than the data folder")
		return
	}
	s.restored, s.isLoaded = from.Document, true
	n.note(decision.Snapshot, decision.Load, fmt.Sprintf("revision %d, %d engines, %d nodes to query", from.Document.Revision, len(from.Engines), len(from.Nodes)))
	for _, record := range from.Engines {
		// No announcement of these engines has arrived in this incarnation. They count as silent for a long time: their
		// coordinator marks them unresponsive unless they send heartbeats, and any record that arrives is fresher. The
		// silence is only half of EngineExpiry, however, so that a record of their drain or removal is still accepted.
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

// Spans in half heartbeat intervals. An engine known only from the disk is used for two intervals unless a record of it
// arrives. A silent engine otherwise counts as unresponsive only after three and a half. The shorter span is needed
// because the drain or removal of the engine may have been confirmed just before this node stopped, without reaching
// any disk.
const (
	restoredHalfHeartbeats = 4
	lostHalfHeartbeats     = 7
)

// restoredSpan returns how long after the start engines known only from the disk are used: for two heartbeat intervals,
// within which their first heartbeats should arrive, or for settings.RestoredSpan if that is shorter. The span is
// shorter than the time after which this node counts as in contact with the fleet.
func (n *Node) restoredSpan() kernel.Micros {
	span := n.settings.Timing.EngineHeartbeatTimeout * restoredHalfHeartbeats / lostHalfHeartbeats
	if n.settings.RestoredSpan > 0 {
		span = min(span, n.settings.RestoredSpan)
	}
	return span
}

// isRestoredSpanOver reports whether restoredSpan has passed since the start. It never does without an
// EngineHeartbeatTimeout.
func (n *Node) isRestoredSpanOver() bool {
	return n.settings.Timing.EngineHeartbeatTimeout > 0 && n.now-n.startedAt >= n.restoredSpan()
}

// tickRestored makes the data plane reload the engines when those known only from the disk expire.
func (n *Node) tickRestored() {
	if n.snapshots.isRestoredExpired || !n.isRestoredSpanOver() {
		return
	}
	n.snapshots.isRestoredExpired = true
	n.directory.TouchEngines()
}

// usableEngines returns the engines as the data plane sees them. After the expiry, engines known only from the disk
// are marked as unlisted.
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

// isRestored reports whether the document in force is still the one loaded from the disk.
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
	// Writes of the core have priority on the disk, since a voter's promises depend on them.
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

// SnapshotSaved handles the outcome of the last SaveSnapshot. After an error the next write waits for
// snapshotRetryInterval.
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
