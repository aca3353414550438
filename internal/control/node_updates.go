package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Asks between a node, its home and the leader, and the news that come back.

type watermark struct {
	incarnation string
	revision    uint64
}

func (n *Node) onLeaseRequest(from string, m *wire.LeaseRequest) {
	n.directory.TakeNode(n.now, m.Node.WithTimes(n.now), true)
	n.zoneSeenAt[m.Address] = n.now
	if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
		n.answerLeaseRequest(from, m)
		return
	}
	// Sent even when empty: the node hears by it that its home is there.
	n.send(from, wire.Message{DirectoryUpdate: n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, false)})
	// Where the two differ, each gets what the other has: what only this node
	// knows, say a mark from before this home was one, would else stay with it.
	if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		n.send(from, wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
	}
	// A node that is behind need not wait for the leader's word to get the document.
	n.zoneReceived[m.Address] = m.BaseRevision()
	if n.zoneReceived[m.Address] < n.lease.Revision() {
		document := n.pushTransfers.Offer(n.now, from, n.lease.Applied(), n.zoneReceived[m.Address], n.isVoterAt(from))
		n.send(from, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: n.lease.Revision(), Document: document}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchUrgent = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterLeaseRequest
}

// answerLeaseRequest answers in one message. Nobody serves by the leader's word here, so the home
// need not wait for it: it tells what it holds itself, and who leads if it knows.
func (n *Node) answerLeaseRequest(from string, m *wire.LeaseRequest) {
	n.zoneReceived[m.Address] = m.BaseRevision()
	grant := &wire.LeaseGrant{Revision: n.lease.Revision(), Update: n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, false)}
	if n.now-n.leaderSeenAt < kernel.Second {
		grant.Leader = n.leaderHint
	}
	grant.Document = n.pushTransfers.Offer(n.now, from, n.lease.Applied(), n.zoneReceived[m.Address], n.isVoterAt(from))
	grant.RequestSeq, grant.Freshness = m.Seq, n.lease.Freshness(n.now)
	n.send(from, wire.Message{LeaseGrant: grant})
	if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		n.send(from, wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchUrgent = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterLeaseRequest
}

// onLeaseGrant takes the answer of the coordinator, or of the leader itself, to a lease request.
func (n *Node) onLeaseGrant(from string, m *wire.LeaseGrant) {
	if from == n.coordinator() {
		n.coordinatorSeenAt = n.now
	}
	if m.Leader != "" {
		n.leaderHint, n.leaderSeenAt = m.Leader, n.now
	}
	grant := *m
	grant.Document = n.withConfig(grant.Document)
	n.applied(n.lease.TakeGrant(n.now, &grant))
	n.lease.TakeFreshness(grant.RequestSeq, grant.Revision, grant.Freshness)
	if m.Update != nil {
		n.onDirectoryUpdate(from, m.Update)
	}
	n.onStartupAnswer(from, m)
}

// onRevisionNotice asks at once for a revision that is newer than the one in force here.
func (n *Node) onRevisionNotice(m *wire.RevisionNotice) {
	if m.Revision > n.lease.Revision() {
		n.requestTimer, n.isBatchUrgent = n.now, true
		n.requestLease()
	}
}

func (n *Node) onAttestRequest(from string, m *wire.AttestRequest) {
	n.send(from, wire.Message{AttestResponse: n.lease.Attest(m)})
}

func (n *Node) onAttestResponse(from string, m *wire.AttestResponse) {
	n.applied(n.lease.TakeAttestResponse(n.now, from, m))
}

// tickAttest asks the registered routers while the core has no quorum, and one of them also for its
// newer document.
func (n *Node) tickAttest() {
	to, request, documentPeer := n.lease.TickNoQuorum(n.now)
	if request == nil {
		return
	}
	for _, address := range to {
		each := *request
		each.WantsDocument = address == documentPeer
		n.send(address, wire.Message{AttestRequest: &each})
	}
}

func (n *Node) onLeaseGrantBatch(m *wire.LeaseGrantBatch) {
	n.leaderHint, n.leaderSeenAt = m.Leader, n.now
	n.applied(n.lease.Apply(n.withConfig(m.Document)))
	for _, request := range m.Requests {
		grant := &wire.LeaseGrant{Seq: request.Seq, Revision: m.Revision, Leader: m.Leader}
		if request.Address == n.self() {
			n.lease.TakeFreshness(request.Seq, m.Revision, m.Freshness)
			n.applied(n.lease.TakeGrant(n.now, grant))
			continue
		}
		// They have had their answer; a newer document goes to them as it is applied here.
		if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
			continue
		}
		if received := max(n.zoneReceived[request.Address], request.Applied); received < m.Revision && n.lease.Revision() >= m.Revision {
			grant.Document = n.pushTransfers.Offer(n.now, request.Address, n.lease.Applied(), received, n.isVoterAt(request.Address))
		}
		n.send(request.Address, wire.Message{LeaseGrant: grant})
	}
}

func (n *Node) onDirectoryUpdate(from string, m *registry.DirectoryUpdate) {
	if from == n.coordinator() {
		n.coordinatorSeenAt = n.now
		if m.Watermark > 0 {
			if n.seenIncarnation != m.Incarnation {
				n.seenIncarnation, n.seenWatermark = m.Incarnation, 0
			}
			n.seenWatermark = max(n.seenWatermark, m.Watermark)
		}
	}
	if m.Watermark > 0 && n.isCoordinator() {
		seen := n.peerWatermarks[from]
		if seen.incarnation != m.Incarnation {
			seen = watermark{incarnation: m.Incarnation}
		}
		seen.revision = max(seen.revision, m.Watermark)
		n.peerWatermarks[from] = seen
	}
	n.supersedeEarlier(m.Nodes)
	isNewlyDraining, isIncomplete := n.directory.TakeUpdate(n.now, m, false)
	if isNewlyDraining && n.isCoordinator() {
		n.disseminate(m.Engines, false)
	}
	// The sender goes by what was taken once, and can't know what was dropped here since:
	// it is asked for all again.
	if isIncomplete {
		n.note("cell", "ask for all", from+" was brief on a node that is not known here")
		delete(n.peerWatermarks, from)
		if from == n.coordinator() {
			n.seenIncarnation, n.seenWatermark = "", 0
		}
	}
}

// supersedeEarlier sees to it that this life counts as the later one where the fleet remembers
// another: the time of day may have jumped back between the two.
func (n *Node) supersedeEarlier(records []registry.NodeRecord) {
	for _, record := range records {
		isOther := record.Start > n.settings.Start || record.Start == n.settings.Start && record.Seq > n.nodeSeq
		if record.Address == n.self() && isOther {
			n.note("node "+n.self(), "count as later", fmt.Sprintf("the fleet remembers start %d, this one began as %d", record.Start, n.settings.Start))
			n.settings.Start, n.nodeSeqTimer, n.requestTimer = record.Start+1, n.now, n.now
		}
	}
}

func (n *Node) onAntiEntropy(from string, m *wire.AntiEntropy) {
	if m.IsCoordinator {
		if update := n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, true); len(update.Engines)+len(update.Nodes) > 0 || update.IsComplete {
			n.send(from, wire.Message{DirectoryUpdate: update})
		}
	}
	if m.Digests != nil {
		if differing := n.directory.Differing(n.now, m.Digests); len(differing) > 0 {
			n.note("cell", "mend", fmt.Sprintf("%d records of differing ranges go to %s", len(differing), from))
			n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		}
	}
}

func (n *Node) record() registry.NodeRecord {
	if n.now >= n.nodeSeqTimer {
		n.nodeSeqTimer = n.now + n.nodeRefreshInterval()
		n.nodeSeq++
	}
	identity := n.settings.Identity
	return registry.NodeRecord{
		Address: identity.Address, Public: identity.Public, Zone: identity.Zone,
		IsRouter: n.settings.IsRouter, IsController: n.settings.IsController, IsLeaving: n.isLeaving,
		Start: n.settings.Start, Seq: n.nodeSeq, Applied: n.lease.Revision(), UpdatedAt: n.now,
	}
}

// nodeRefreshInterval is how often a node says anew that it lives.
func (n *Node) nodeRefreshInterval() kernel.Micros { return n.settings.Timing.NodeExpiryTimeout / 5 }

func (n *Node) tickLeaseRequest() {
	if n.now >= n.requestTimer {
		n.requestLease()
	}
}

func (n *Node) requestLease() {
	n.requestTimer = n.now + n.settings.Timing.LeaseRequestInterval
	if n.lease.Applied() == nil {
		// Until it serves at all it asks round more often; the home is not loaded by that.
		n.requestTimer = n.now + min(n.settings.Timing.LeaseRequestInterval, 250*kernel.Millisecond)
	}
	record := n.record()
	n.directory.TakeNode(n.now, record, true)
	ownRequest := wire.RouterLeaseRequest{
		Address: n.self(), Zone: n.settings.Identity.Zone, Seq: n.lease.NewRequest(n.now),
		Applied: n.lease.Revision(), IsRouter: n.settings.IsRouter && !n.isLeaving, LacksConfig: n.lease.LacksConfig(),
	}
	if received := n.lease.Received(); received > ownRequest.Applied {
		ownRequest.Received = received
	}
	if n.isCoordinator() {
		n.batch[n.self()] = ownRequest
		return
	}
	if coordinator := n.coordinator(); coordinator != "" {
		request := &wire.LeaseRequest{RouterLeaseRequest: ownRequest, SeenIncarnation: n.seenIncarnation, SeenWatermark: n.seenWatermark}
		// Told twice, since one may be lost, and at once to a new home.
		if n.recordCoordinator != coordinator || n.recordSeq != record.Seq {
			n.recordCoordinator, n.recordSeq, n.recordSends = coordinator, record.Seq, 0
		}
		if n.recordSends < 2 {
			n.recordSends++
			request.Node = record.WithAges(n.now)
		}
		if n.requestCount++; n.requestCount%4 == 0 {
			request.Digests = n.directory.Digests()
		}
		n.send(coordinator, wire.Message{LeaseRequest: request})
	}
	// A silent home must not cost the lease: the leader is asked directly as well.
	if n.isCoordinatorLost() {
		n.send(n.leaderTarget(), wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: ownRequest.Zone, Revision: n.lease.BaseRevision(), Requests: []wire.RouterLeaseRequest{ownRequest}}})
	}
}

func (n *Node) sendBatch() {
	if len(n.batch) == 0 || n.now < n.batchTimer && !n.isBatchUrgent {
		return
	}
	// Waiting a little lets one crossing between zones carry the whole zone's asks.
	n.batchTimer, n.isBatchUrgent = n.now+100*kernel.Millisecond, false
	if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
		// No lease hangs on it.
		n.batchTimer = n.now + max(100*kernel.Millisecond, n.settings.Timing.LeaseRequestInterval/2)
	}
	batch := &wire.LeaseRequestBatch{Zone: n.settings.Identity.Zone, IsCoordinator: n.isCoordinator(), Revision: n.lease.BaseRevision()}
	for _, address := range slices.Sorted(maps.Keys(n.batch)) {
		batch.Requests = append(batch.Requests, n.batch[address])
	}
	n.batch = map[string]wire.RouterLeaseRequest{}
	n.send(n.leaderTarget(), wire.Message{LeaseRequestBatch: batch})
}

func (n *Node) tickAntiEntropy() {
	if n.now < n.antiEntropyTimer {
		return
	}
	n.antiEntropyTimer = n.now + n.settings.Timing.AntiEntropyInterval/4
	n.antiEntropyRound++
	if n.isCoordinator() {
		for _, coordinator := range n.otherCoordinators() {
			seen := n.peerWatermarks[coordinator]
			message := &wire.AntiEntropy{IsCoordinator: true, SeenIncarnation: seen.incarnation, SeenWatermark: seen.revision}
			// Digests only now and then: they mend what was lost, news does the rest.
			if n.antiEntropyRound%4 == 0 {
				message.Digests = n.directory.Digests()
			}
			n.send(coordinator, wire.Message{AntiEntropy: message})
		}
		return
	}
	if n.isCoordinatorLost() && n.antiEntropyRound%2 == 0 {
		if neighbours := n.views.Neighbours(); len(neighbours) > 0 {
			n.send(neighbours[n.random.IntN(len(neighbours))], wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
		}
	}
}
