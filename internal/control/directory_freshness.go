package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// directoryFreshness tracks how old a node's view of the engines may be. What counts is whether the node may have
// missed an engine's end, that is, the engine's drain or removal. See docs/control-safety/drains.md.
type directoryFreshness struct {
	requests map[uint64]directoryRequest // unanswered requests by sequence number
	freshAt  kernel.Micros               // see Node.DirectoryFreshAt; zero: no counted answer since the start
	// leaderSeenAt is the latest time at which an answer's sender was in contact with a leader. It keeps advancing on
	// a node that is late, and stops on one that is disconnected.
	leaderSeenAt kernel.Micros
	// maxCoordinatorAge is how long the answers of a coordinator without contact to a leader count; zero means
	// without a limit.
	maxCoordinatorAge kernel.Micros

	// The coordinator of another zone that is queried while the answers of this zone's coordinator arrive too late.
	peer          string
	peerSeen      watermark // the state of its directory that was received
	peerRequestAt kernel.Micros
	unanswered    int // requests to such coordinators since the last one that was answered
	nextIndex     int // of the coordinator that was chosen last; zero: none yet
}

// directoryRequest is a lease request whose answer will show how fresh the directory is.
type directoryRequest struct {
	to     string // the coordinator that was queried; this node's own address if it is the coordinator
	sentAt kernel.Micros
}

const (
	// directoryRequestLifetime is how long a request is kept. An answer that arrives later is not counted.
	directoryRequestLifetime = 30 * kernel.Second
	// peerRequestInterval is the pause between an answer of another zone's coordinator and the next request to it.
	// peerAnswerTimeout is how long to wait for an answer before the next coordinator is queried. It doubles with each
	// unanswered request, up to maxPeerDoublings times.
	peerRequestInterval = 250 * kernel.Millisecond
	peerAnswerTimeout   = kernel.Second
	maxPeerDoublings    = 4
)

// Fractions of the drain timeout. A view of the engines is used until its age is the fraction engineTrust; the
// remainder allows for clocks that run at different rates. A node counts as in contact with the leader for the fraction
// leaderContact. This one is smaller, so that on a disconnected node the contact ends before the trust in its view.
// Once the age of the view is the fraction aging, the node queries another zone's coordinator.
const (
	engineTrustNumerator     = 19
	engineTrustDenominator   = 20
	leaderContactNumerator   = 3
	leaderContactDenominator = 4
	agingNumerator           = 1
	agingDenominator         = 2
)

func newDirectoryFreshness(drainTimeout kernel.Micros) directoryFreshness {
	return directoryFreshness{requests: map[uint64]directoryRequest{}, maxCoordinatorAge: drainTimeout}
}

// EnginesTrustedUntil returns the time until which the view of the engines is fresh enough to route requests by. Zero
// means that there is no such bound: no drain timeout is set, no answer has arrived yet, or this node has lost contact
// with the leader. A node without contact is not expected to heed the drains and removals that the fleet confirms
// meanwhile.
func (n *Node) EnginesTrustedUntil() kernel.Micros {
	d := &n.directoryFreshness
	if n.settings.DrainTimeout == 0 || d.freshAt == 0 || n.now-d.leaderSeenAt >= n.settings.DrainTimeout*leaderContactNumerator/leaderContactDenominator {
		return 0
	}
	return d.freshAt + n.settings.DrainTimeout*engineTrustNumerator/engineTrustDenominator
}

// DirectoryFreshAt returns the freshness of this node's directory: the node knows all drains and removals of engines
// that were confirmed before this time. Zero means that the freshness is unknown.
func (n *Node) DirectoryFreshAt() kernel.Micros { return n.directoryFreshness.freshAt }

// recordRequest records that a lease request with the given number is sent to a coordinator, and forgets requests that
// are too old. Nothing is recorded if no coordinator is known.
func (d *directoryFreshness) recordRequest(now kernel.Micros, seq uint64, to string) {
	for earlier, request := range d.requests {
		if now-request.sentAt > directoryRequestLifetime {
			delete(d.requests, earlier)
		}
	}
	if to != "" {
		d.requests[seq] = directoryRequest{to, now}
	}
}

// recordAnswer records a coordinator's answer to a request. It is called after the records in the answer have been
// merged. The directory is as fresh as the time at which the request was sent, so that only this node's clock matters.
// A coordinator that has had no contact with a leader for the whole drain timeout may itself have missed an engine's
// drain or removal, so its answer does not advance the freshness.
func (d *directoryFreshness) recordAnswer(now kernel.Micros, from string, grant *wire.LeaseGrant) {
	d.observeLeader(now, grant.Freshness)
	request, isMine := d.requests[grant.RequestSeq]
	if !isMine || request.to != from {
		return
	}
	delete(d.requests, grant.RequestSeq)
	if from == d.peer {
		d.peerSeen = d.peerSeen.advance(grant.Update.Incarnation, grant.Update.Watermark)
		d.unanswered, d.peerRequestAt = 0, min(d.peerRequestAt, now+peerRequestInterval)
	}
	isBelieved := d.maxCoordinatorAge == 0 || grant.Age < d.maxCoordinatorAge
	if grant.IsFresh && isBelieved {
		d.freshAt = max(d.freshAt, request.sentAt)
	}
}

// recordGrant records the leader's answer to a request that this node sent as its zone's coordinator. Drains and
// removals are pushed to a coordinator, and this node has by now handled all that was pushed to it before it sent the
// request. So its directory is as fresh as the time of the request.
func (d *directoryFreshness) recordGrant(now kernel.Micros, self string, seq uint64, freshness wire.Freshness) {
	d.observeLeader(now, freshness)
	request, isMine := d.requests[seq]
	if !isMine || request.to != self {
		return
	}
	delete(d.requests, seq)
	d.freshAt = max(d.freshAt, request.sentAt)
}

// observeLeader records the last contact of an answer's sender with a leader.
func (d *directoryFreshness) observeLeader(now kernel.Micros, freshness wire.Freshness) {
	if freshness.IsFresh {
		d.leaderSeenAt = max(d.leaderSeenAt, now-freshness.Age)
	}
}

// noteLateEnd is called when this node learns of an engine's drain. It notes in the journal if the view of the engines
// was older than the drain timeout, because requests may then have reached the engine too late.
func (n *Node) noteLateEnd(engine string) {
	age := n.now - n.DirectoryFreshAt()
	if n.settings.DrainTimeout > 0 && n.DirectoryFreshAt() > 0 && age > n.settings.DrainTimeout {
		n.note(decision.Engine(engine), decision.LearnEndLate, fmt.Sprintf("this node's view of the engines was %d us old", age))
	}
}

// tickDirectoryFreshness queries another zone's coordinator when the answers of this zone's coordinator arrive too
// late. That coordinator may be slow to handle its messages.
func (n *Node) tickDirectoryFreshness() {
	d := &n.directoryFreshness
	limit := n.settings.DrainTimeout * agingNumerator / agingDenominator
	if limit == 0 || n.isCoordinator() || n.lease.Applied() == nil || n.now < d.peerRequestAt || n.now-max(d.freshAt, n.startedAt) < limit {
		return
	}
	coordinator := n.coordinator()
	peers := slices.DeleteFunc(n.otherCoordinators(), func(peer string) bool { return peer == coordinator })
	if len(peers) == 0 {
		return
	}
	if d.unanswered > 0 || !slices.Contains(peers, d.peer) {
		if d.nextIndex == 0 {
			// The search starts at a random index, so that the nodes of a zone do not all query the same coordinator.
			d.nextIndex = n.random.IntN(len(peers))
		}
		d.nextIndex++
		d.peer, d.peerSeen = peers[d.nextIndex%len(peers)], watermark{}
	}
	d.peerRequestAt = n.now + peerAnswerTimeout<<min(d.unanswered, maxPeerDoublings)
	d.unanswered++
	request := &wire.LeaseRequest{RouterLeaseRequest: n.newLeaseRequest(), SeenIncarnation: d.peerSeen.incarnation, SeenWatermark: d.peerSeen.revision}
	d.recordRequest(n.now, request.Seq, d.peer)
	n.send(d.peer, wire.Message{LeaseRequest: request})
}

// answerOtherZone answers a lease request from a node of another zone, whose coordinator is late. Many nodes may send
// such requests at once, so the answer has only the engines that drain or were removed and whose records are new to the
// requester, this node's revision and its freshness, and the leader. The requester's coordinator sends everything else.
func (n *Node) answerOtherZone(from string, m *wire.LeaseRequest) {
	update := n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, false)
	update.IsComplete, update.Nodes = false, nil
	update.Engines = slices.DeleteFunc(update.Engines, func(engine registry.EngineRecord) bool { return !engine.IsDraining && !engine.IsUnlisted })
	grant := &wire.LeaseGrant{Revision: n.lease.Revision(), RequestSeq: m.Seq, Freshness: n.lease.Freshness(n.now), Update: update}
	if n.now-n.hints.seenAt < kernel.Second {
		grant.Leader = n.hints.leader
	}
	n.send(from, wire.Message{LeaseGrant: grant})
}
