package control

import (
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The parts of a Node whose fields change together. Like the node, they belong to the goroutine
// that calls it.

// leaderHints is what a node knows of the leader apart from a core of its own.
type leaderHints struct {
	leader string        // empty: none is known
	seenAt kernel.Micros // when leader was last confirmed
	others []string      // nodes that may know who leads
	index  int           // of the node to ask next
}

// coordinatorContact is what a node has received from the coordinator of its zone.
type coordinatorContact struct {
	seenAt kernel.Micros // its last message
	seen   watermark     // the newest state of its directory that was received
}

// leaseRequests is the state of a node's own lease requests.
type leaseRequests struct {
	timer             kernel.Micros // when the next one is due
	count             int           // so far, to a coordinator
	recordCoordinator string        // the coordinator that was last sent this node's record
	recordSeq         uint64        // the sequence number of that record
	recordSends       int           // how often it was sent
	// isCoordinatorSilent: the coordinator was silent at the last tick. When it falls silent the leader is asked at once.
	isCoordinatorSilent bool
}

// ownRecord numbers the records that a node gives of itself.
type ownRecord struct {
	seq   uint64
	timer kernel.Micros // when the next number is due
}

// zoneState is what the coordinator keeps for the nodes of its zone.
type zoneState struct {
	batch         map[string]wire.RouterLeaseRequest // by address, to be sent to the leader
	batchTimer    kernel.Micros                      // when the batch is due
	isBatchUrgent bool                               // it is due at once
	nodes         map[string]zoneNode                // by address
	// representatives are the nodes of all zones whose records go to this zone's nodes too; set at its coordinator.
	representatives map[string]bool
	// routers is the number of routers in the fleet that this node was told.
	routers routerCount
}

// zoneNode is what the coordinator knows of one node of its zone by that node's lease requests.
type zoneNode struct {
	applied  uint64        // revision in force there
	received uint64        // revision that a document sent there may build on; zero: none
	seenAt   kernel.Micros // the last request
}

func newZoneState() zoneState {
	return zoneState{batch: map[string]wire.RouterLeaseRequest{}, nodes: map[string]zoneNode{}}
}

// takeRequest keeps a node's lease request for the next batch. The leader counts who has applied
// what, so the batch is urgent when a newer revision is in force there.
func (z *zoneState) takeRequest(now kernel.Micros, m *wire.LeaseRequest) {
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
	watermarks map[string]watermark // of other coordinators' directories, by address
}

// watermark is how much of another node's directory was received.
type watermark struct {
	incarnation string // of the directory; its revisions begin anew with each
	revision    uint64
}

// advance gives the watermark after an update up to a revision of an incarnation.
func (w watermark) advance(incarnation string, revision uint64) watermark {
	if w.incarnation != incarnation {
		return watermark{incarnation: incarnation, revision: revision}
	}
	w.revision = max(w.revision, revision)
	return w
}
