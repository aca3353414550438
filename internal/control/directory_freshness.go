package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// directoryFreshness follows how old a node's view of the engines may be. See
// docs/control-safety/drains.md.
type directoryFreshness struct {
	requests map[uint64]directoryRequest // without an answer so far, by number
	freshAt  kernel.Micros               // zero: no answer has come in this incarnation
	// leaderSeenAt is how new the word of a leader is that the newest handled answer brought, by when that was handled:
	// at a node that is late it goes on, at one that is cut off it does not.
	leaderSeenAt kernel.Micros
	// maxCoordinatorAge is for how long a coordinator that has heard of no leader is believed; zero: always.
	maxCoordinatorAge kernel.Micros

	// The coordinator of another zone, which is asked while the answers of the own one come too late.
	peer          string
	peerSeen      watermark // of its directory
	peerRequestAt kernel.Micros
	unanswered    int // requests to such peers since the last one that was answered
	nextIndex     int
}

// directoryRequest is a lease request, as far as its answer tells of the directory.
type directoryRequest struct {
	to     string // the coordinator that was asked; the own address: this node is the coordinator
	sentAt kernel.Micros
}

const (
	// directoryRequestLifetime is for how long an answer to a request is waited for.
	directoryRequestLifetime = 30 * kernel.Second
	// peerRequestInterval is the pause between two requests to another zone's coordinator that are answered;
	// peerAnswerTimeout, doubled with each one that is not, is how long an answer is waited for.
	peerRequestInterval = 250 * kernel.Millisecond
	peerAnswerTimeout   = kernel.Second
	maxPeerDoublings    = 4
)

// Parts of the drain time-out: for how long a view of the engines is used, the rest is for steady clocks that run at
// different rates; for how long the word of a leader binds, which has to end sooner at a node that is cut off; and after how
// long another zone's coordinator is asked.
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

// EnginesTrustedUntil is the moment up to which the view of the engines is new enough to send requests by; zero:
// it is not bounded, since no drain time-out is set, or none of the ends that the fleet confirms now binds a
// node that has heard of no leader lately.
func (n *Node) EnginesTrustedUntil() kernel.Micros {
	d := &n.directoryFreshness
	if n.settings.DrainTimeout == 0 || d.freshAt == 0 || n.now-d.leaderSeenAt >= n.settings.DrainTimeout*leaderContactNumerator/leaderContactDenominator {
		return 0
	}
	return d.freshAt + n.settings.DrainTimeout*engineTrustNumerator/engineTrustDenominator
}

// DirectoryFreshAt is the latest moment at which this node surely knew every end of an engine that
// was confirmed by then; zero: none is known.
func (n *Node) DirectoryFreshAt() kernel.Micros { return n.directoryFreshness.freshAt }

// request takes that a request is sent to a coordinator.
func (d *directoryFreshness) request(now kernel.Micros, seq uint64, to string) {
	for earlier, request := range d.requests {
		if now-request.sentAt > directoryRequestLifetime {
			delete(d.requests, earlier)
		}
	}
	if to != "" {
		d.requests[seq] = directoryRequest{to, now}
	}
}

// takeAnswer takes a coordinator's answer to a request, once its records are merged. The span is
// counted back from when the request was sent, so that no clock but the own one matters. A coordinator that has
// heard of no leader for as long as an engine may be used may itself have missed an end.
func (d *directoryFreshness) takeAnswer(now kernel.Micros, from string, grant *wire.LeaseGrant) {
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

// takeGrant takes the leader's answer to a request of this node as its zone's coordinator: what was
// pushed to it before the request was sent has been handled before the answer.
func (d *directoryFreshness) takeGrant(now kernel.Micros, self string, seq uint64, freshness wire.Freshness) {
	d.observeLeader(now, freshness)
	request, isMine := d.requests[seq]
	if !isMine || request.to != self {
		return
	}
	delete(d.requests, seq)
	d.freshAt = max(d.freshAt, request.sentAt)
}

// observeLeader takes how long before an answer its sender had word of a leader.
func (d *directoryFreshness) observeLeader(now kernel.Micros, freshness wire.Freshness) {
	if freshness.IsFresh {
		d.leaderSeenAt = max(d.leaderSeenAt, now-freshness.Age)
	}
}

// noteLateEnd records that an engine's end came to be known here, if that may have been later after its
// announcement than a request may reach the engine.
func (n *Node) noteLateEnd(engine string) {
	age := n.now - n.DirectoryFreshAt()
	if n.settings.DrainTimeout > 0 && n.DirectoryFreshAt() > 0 && age > n.settings.DrainTimeout {
		n.note(decision.Engine(engine), decision.LearnEndLate, fmt.Sprintf("the view of the engines here was %d us old", age))
	}
}

// tickDirectoryFreshness asks the coordinator of another zone for what is new of the engines where the answers
// of the own one come too late, as that may handle its messages late.
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
			// So that the nodes of a zone do not all turn to the same one.
			d.nextIndex = n.random.IntN(len(peers))
		}
		d.nextIndex++
		d.peer, d.peerSeen = peers[d.nextIndex%len(peers)], watermark{}
	}
	d.peerRequestAt = n.now + peerAnswerTimeout<<min(d.unanswered, maxPeerDoublings)
	d.unanswered++
	request := &wire.LeaseRequest{RouterLeaseRequest: n.newLeaseRequest(), SeenIncarnation: d.peerSeen.incarnation, SeenWatermark: d.peerSeen.revision}
	d.request(n.now, request.Seq, d.peer)
	n.send(d.peer, wire.Message{LeaseRequest: request})
}

// answerOtherZone answers a lease request of a node whose own coordinator is late: with the ends of engines that are new
// to it, and how new the document here is. All else comes from its own coordinator: many nodes may ask at once.
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
