package control

import (
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The parts of a Node whose fields change together. Like the node itself, they are used only by the goroutine that
// calls it.

// leaderHints is what a node knows of the leader from other nodes, apart from its own core.
type leaderHints struct {
	leader string        // address; empty: none is known
	seenAt kernel.Micros // when leader was last confirmed
	others []string      // nodes that may know who leads
	index  int           // selects the next candidate in leaderTarget; raised by each call without a known leader
}

// coordinatorContact is what a node has received from the coordinator of its zone.
type coordinatorContact struct {
	seenAt kernel.Micros // when its last grant or directory update arrived
	seen   watermark     // how much of its directory was received
}

// leaseRequests is the state of a node's own lease requests.
type leaseRequests struct {
	timer             kernel.Micros // when the next one is due
	count             int           // requests sent to coordinators so far
	recordCoordinator string        // the coordinator that was last sent this node's record
	recordSeq         uint64        // the sequence number of that record
	recordSends       int           // how often that record was sent to that coordinator
	// isCoordinatorSilent is the result of Node.isCoordinatorSilent at the last tick. When it becomes true, a lease
	// request is sent at once, to the leader as well.
	isCoordinatorSilent bool
}

// ownRecord numbers the records that a node publishes about itself.
type ownRecord struct {
	seq   uint64
	timer kernel.Micros // when the next number is due
}

// zoneState is what a coordinator keeps for the nodes of its zone.
type zoneState struct {
	batch         map[string]wire.RouterLeaseRequest // requests to be sent to the leader, by address
	batchTimer    kernel.Micros                      // when the batch is due
	isBatchUrgent bool                               // the batch is due at once
	nodes         map[string]zoneNode                // by address
	// representatives are the addresses of the nodes, of all zones, whose records are also sent to this zone's nodes.
	// It is nil unless this node is a coordinator that omits the records of other nodes; see omitsNodes.
	representatives map[string]bool
	// routers is the number of routers in the fleet as reported to this node.
	routers routerCount
}

// zoneNode is what a coordinator knows of a node of its zone from that node's lease requests.
type zoneNode struct {
	applied  uint64        // revision in force on the node
	received uint64        // revision that a delta sent to the node may be based on; zero: none
	seenAt   kernel.Micros // time of the last request
}

func newZoneState() zoneState {
	return zoneState{batch: map[string]wire.RouterLeaseRequest{}, nodes: map[string]zoneNode{}}
}

// addRequest adds a node's lease request to the next batch. The leader counts which nodes have applied a revision, so a
// request that reports a newer applied revision than before makes the batch urgent.
func (z *zoneState) addRequest(now kernel.Micros, m *wire.LeaseRequest) {
	if m.Applied > z.nodes[m.Address].applied {
		z.isBatchUrgent = true
	}
	z.nodes[m.Address] = zoneNode{applied: m.Applied, received: m.BaseRevision(), seenAt: now}
	z.batch[m.Address] = m.RouterLeaseRequest
}

// antiEntropy is the state of the exchanges that repair differences between directories.
type antiEntropy struct {
	timer      kernel.Micros // when the next round is due
	round      int
	watermarks map[string]watermark // of the other coordinators' directories, by address
}

// watermark is how much of another node's directory has been received.
type watermark struct {
	incarnation string // of the directory; revisions restart with each incarnation
	revision    uint64
}

// advance returns the watermark after an update up to a revision of an incarnation. The revision never falls, unless
// the incarnation is another one than before.
func (w watermark) advance(incarnation string, revision uint64) watermark {
	if w.incarnation != incarnation {
		return watermark{incarnation: incarnation, revision: revision}
	}
	w.revision = max(w.revision, revision)
	return w
}
