package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Lease requests between a node, the coordinator of its zone and the leader, and the directory updates in the
// answers.

func (n *Node) onLeaseRequest(from string, m *wire.LeaseRequest) {
	if m.Zone != n.settings.Identity.Zone && n.settings.ServeExtension >= cluster.ServeWithoutLimit {
		n.answerOtherZone(from, m)
		return
	}
	n.directory.MergeNode(n.now, m.Node.WithTimes(n.now), true)
	n.zone.addRequest(n.now, m)
	if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
		n.answerLeaseRequest(from, m)
		return
	}
	// The update is sent even if it is empty, because it shows the node that its coordinator is running.
	n.send(from, wire.Message{DirectoryUpdate: n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, false)})
	// Where the digests differ, each side gets the other's records. Otherwise a record that only one of them has,
	// such as a draining mark from before this node became coordinator, would not spread.
	if differing := n.directory.DifferingEngines(n.now, m.Digests); len(differing) > 0 {
		n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		n.send(from, wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
	}
	// A node that is behind gets the document at once instead of waiting for the leader's grant.
	if n.zone.nodes[m.Address].received < n.lease.Revision() {
		document := n.pushTransfers.Offer(n.now, from, n.lease.Applied(), n.zone.nodes[m.Address].received, n.isVoterAt(from))
		n.send(from, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: n.lease.Revision(), Document: document}})
	}
}

// answerLeaseRequest answers a lease request under ServeWithoutLimit. No router then depends on a grant of the leader,
// so the coordinator answers at once from its own state. One LeaseGrant carries the directory update, the document if
// the node lacks it, and the leader's address if that was confirmed in the last second. Further messages follow only if
// the digests differ.
func (n *Node) answerLeaseRequest(from string, m *wire.LeaseRequest) {
	grant := &wire.LeaseGrant{Revision: n.lease.Revision(), Update: n.updateFor(m), KnownRouters: n.routersToReport()}
	if n.now-n.hints.seenAt < kernel.Second {
		grant.Leader = n.hints.leader
	}
	grant.Document = n.pushTransfers.Offer(n.now, from, n.lease.Applied(), n.zone.nodes[m.Address].received, n.isVoterAt(from))
	grant.RequestSeq, grant.Freshness = m.Seq, n.lease.Freshness(n.now)
	n.send(from, wire.Message{LeaseGrant: grant})
	if differing := n.directory.DifferingEngines(n.now, m.Digests); len(differing) > 0 {
		n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		n.send(from, wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
	}
}

// onLeaseGrant handles a LeaseGrant: an answer to a lease request or to a startup query, or a document that the
// coordinator or the leader pushes.
func (n *Node) onLeaseGrant(from string, m *wire.LeaseGrant) {
	if from == n.coordinator() {
		n.contact.seenAt = n.now
	}
	if m.Leader != "" {
		n.hints.leader, n.hints.seenAt = m.Leader, n.now
	}
	grant := *m
	grant.Document = n.withConfig(grant.Document)
	n.applied(n.lease.HandleGrant(n.now, &grant))
	n.lease.HandleFreshness(grant.RequestSeq, grant.Revision, grant.Freshness)
	n.zone.routers.record(n.now, m.KnownRouters, n.settings.Timing.NodeExpiryTimeout)
	n.fence.recordAnswer(n.now, grant.Freshness)
	if m.Update != nil {
		n.onDirectoryUpdate(from, m.Update)
		n.directoryFreshness.recordAnswer(n.now, from, m)
	}
	n.onStartupAnswer(from, m)
}

// onRevisionNotice requests the document at once if the notice names a newer revision.
func (n *Node) onRevisionNotice(m *wire.RevisionNotice) {
	if m.Revision > n.lease.Revision() {
		n.requests.timer, n.zone.isBatchUrgent = n.now, true
		n.requestLease()
	}
}

func (n *Node) onAttestRequest(from string, m *wire.AttestRequest) {
	n.send(from, wire.Message{AttestResponse: n.lease.Attest(m)})
}

func (n *Node) onAttestResponse(from string, m *wire.AttestResponse) {
	n.applied(n.lease.HandleAttestResponse(n.now, from, m))
}

// tickAttest asks the registered routers which revision they have applied, while no lease is granted because the core
// has no quorum. It requests a newer document from only one of them.
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
	n.hints.leader, n.hints.seenAt = m.Leader, n.now
	n.applied(n.lease.Apply(n.withConfig(m.Document)))
	n.fence.recordAnswer(n.now, m.Freshness)
	for _, request := range m.Requests {
		grant := &wire.LeaseGrant{Seq: request.Seq, Revision: m.Revision, Leader: m.Leader}
		if request.Address == n.self() {
			n.lease.HandleFreshness(request.Seq, m.Revision, m.Freshness)
			n.directoryFreshness.recordGrant(n.now, n.self(), request.Seq, m.Freshness)
			n.applied(n.lease.HandleGrant(n.now, grant))
			continue
		}
		// Under ServeWithoutLimit these nodes have been answered already; see answerLeaseRequest. A newer document is
		// pushed to them when it is applied here.
		if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
			continue
		}
		if received := max(n.zone.nodes[request.Address].received, request.Applied); received < m.Revision && n.lease.Revision() >= m.Revision {
			grant.Document = n.pushTransfers.Offer(n.now, request.Address, n.lease.Applied(), received, n.isVoterAt(request.Address))
		}
		n.send(request.Address, wire.Message{LeaseGrant: grant})
	}
}

func (n *Node) onDirectoryUpdate(from string, m *registry.DirectoryUpdate) {
	if from == n.coordinator() {
		n.contact.seenAt = n.now
		if m.Watermark > 0 {
			n.contact.seen = n.contact.seen.advance(m.Incarnation, m.Watermark)
		}
	}
	if m.Watermark > 0 && n.isCoordinator() {
		n.antiEntropy.watermarks[from] = n.antiEntropy.watermarks[from].advance(m.Incarnation, m.Watermark)
	}
	n.recordEnds(m.Engines)
	n.supersedeEarlier(m.Nodes)
	isNewlyDraining, isIncomplete := n.directory.MergeUpdate(n.now, m, false)
	if isNewlyDraining && n.isCoordinator() {
		n.disseminate(m.Engines, false)
	}
	// The sender abbreviates a record that this node has received before. This node has dropped the record since, which
	// the sender cannot know, so all records are requested again.
	if isIncomplete {
		n.note(decision.AntiEntropy, decision.RequestAll, from+" sent an abbreviated record of a node that is unknown here")
		delete(n.antiEntropy.watermarks, from)
		if from == n.coordinator() {
			n.contact.seen = watermark{}
		}
	}
}

// supersedeEarlier raises this node's start number above that of an earlier incarnation if the fleet has a record of it
// that counts as newer than this node's own. That happens if the clock was set back between the two starts.
func (n *Node) supersedeEarlier(records []registry.NodeRecord) {
	for _, record := range records {
		isOther := record.Start > n.settings.Start || record.Start == n.settings.Start && record.Seq > n.ownRecord.seq
		if record.Address == n.self() && isOther {
			n.note(decision.Node(n.self()), decision.RaiseIncarnation, fmt.Sprintf("the fleet has a record with start number %d, this incarnation had %d", record.Start, n.settings.Start))
			n.settings.Start, n.ownRecord.timer, n.requests.timer = record.Start+1, n.now, n.now
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
		if differing := n.directory.DifferingEngines(n.now, m.Digests); len(differing) > 0 {
			n.note(decision.AntiEntropy, decision.Repair, fmt.Sprintf("sending %d records of differing ranges to %s", len(differing), from))
			n.send(from, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: differing}})
		}
	}
}

func (n *Node) record() registry.NodeRecord {
	if n.now >= n.ownRecord.timer {
		n.ownRecord.timer = n.now + n.nodeRefreshInterval()
		n.ownRecord.seq++
	}
	identity := n.settings.Identity
	return registry.NodeRecord{
		Address: identity.Address, PublicAddress: identity.Public, Zone: identity.Zone,
		IsRouter: n.settings.IsRouter, IsController: n.settings.IsController, IsLeaving: n.isLeaving,
		Start: n.settings.Start, Seq: n.ownRecord.seq, Applied: n.lease.Revision(), UpdatedAt: n.now,
	}
}

// nodeRefreshInterval returns the interval, in microseconds, at which a node publishes a new record of itself.
func (n *Node) nodeRefreshInterval() kernel.Micros { return n.settings.Timing.NodeExpiryTimeout / 5 }

func (n *Node) tickLeaseRequest() {
	isSilent := n.isCoordinatorSilent()
	if n.now >= n.requests.timer || isSilent && !n.requests.isCoordinatorSilent {
		n.requestLease()
	}
	n.requests.isCoordinatorSilent = isSilent
}

// newLeaseRequest returns a lease request with a new sequence number. The time of the request is recorded as now.
func (n *Node) newLeaseRequest() wire.RouterLeaseRequest {
	request := wire.RouterLeaseRequest{
		Address: n.self(), Zone: n.settings.Identity.Zone, Seq: n.lease.NewRequest(n.now),
		Applied: n.lease.Revision(), IsRouter: n.settings.IsRouter && !n.isLeaving, LacksConfig: n.lease.LacksConfig(),
	}
	if received := n.lease.Received(); received > request.Applied {
		request.Received = received
	}
	return request
}

func (n *Node) requestLease() {
	n.requests.timer = n.now + n.settings.Timing.LeaseRequestInterval
	if n.lease.Applied() == nil {
		// Without a document the node knows no coordinator. It sends requests more often, which adds no load to the
		// coordinator.
		n.requests.timer = n.now + min(n.settings.Timing.LeaseRequestInterval, 250*kernel.Millisecond)
	}
	record := n.record()
	n.directory.MergeNode(n.now, record, true)
	ownRequest := n.newLeaseRequest()
	n.directoryFreshness.recordRequest(n.now, ownRequest.Seq, n.coordinator())
	if n.isConfigStale() {
		n.requestFreshness(ownRequest)
	}
	if n.isCoordinator() {
		n.zone.batch[n.self()] = ownRequest
		return
	}
	if coordinator := n.coordinator(); coordinator != "" {
		request := &wire.LeaseRequest{RouterLeaseRequest: ownRequest, SeenIncarnation: n.contact.seen.incarnation, SeenWatermark: n.contact.seen.revision, WantsZoneNodes: n.wantsZoneNodes()}
		// A new record is sent with two requests, since one message may be lost. To a new coordinator it is sent at
		// once.
		if n.requests.recordCoordinator != coordinator || n.requests.recordSeq != record.Seq {
			n.requests.recordCoordinator, n.requests.recordSeq, n.requests.recordSends = coordinator, record.Seq, 0
		}
		if n.requests.recordSends < 2 {
			n.requests.recordSends++
			request.Node = record.WithAges(n.now)
		}
		if n.requests.count++; n.requests.count%4 == 0 {
			request.Digests = n.directory.Digests()
		}
		n.send(coordinator, wire.Message{LeaseRequest: request})
	}
	// The leader is queried directly as well, so that the lease does not expire because the coordinator has failed.
	if n.isCoordinatorLost() && !n.isConfigStale() {
		n.send(n.leaderTarget(), wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: ownRequest.Zone, Revision: n.lease.BaseRevision(), Requests: []wire.RouterLeaseRequest{ownRequest}}})
	}
}

func (n *Node) sendBatch() {
	if len(n.zone.batch) == 0 || n.now < n.zone.batchTimer && !n.zone.isBatchUrgent {
		return
	}
	// The delay lets one message between zones carry the requests of the whole zone.
	n.zone.batchTimer, n.zone.isBatchUrgent = n.now+100*kernel.Millisecond, false
	if n.settings.ServeExtension >= cluster.ServeWithoutLimit {
		// No lease depends on the batch, so it can wait longer.
		n.zone.batchTimer = n.now + max(100*kernel.Millisecond, n.settings.Timing.LeaseRequestInterval/2)
	}
	batch := &wire.LeaseRequestBatch{Zone: n.settings.Identity.Zone, IsCoordinator: n.isCoordinator(), Revision: n.lease.BaseRevision()}
	for _, address := range slices.Sorted(maps.Keys(n.zone.batch)) {
		batch.Requests = append(batch.Requests, n.zone.batch[address])
	}
	n.zone.batch = map[string]wire.RouterLeaseRequest{}
	n.send(n.leaderTarget(), wire.Message{LeaseRequestBatch: batch})
}

func (n *Node) tickAntiEntropy() {
	if n.now < n.antiEntropy.timer {
		return
	}
	n.antiEntropy.timer = n.now + n.settings.Timing.AntiEntropyInterval/4
	n.antiEntropy.round++
	if n.isCoordinator() {
		for _, coordinator := range n.otherCoordinators() {
			seen := n.antiEntropy.watermarks[coordinator]
			message := &wire.AntiEntropy{IsCoordinator: true, SeenIncarnation: seen.incarnation, SeenWatermark: seen.revision}
			// Digests are sent only in every fourth round: updates carry the changes, and digests repair losses.
			if n.antiEntropy.round%4 == 0 {
				message.Digests = n.directory.Digests()
			}
			n.send(coordinator, wire.Message{AntiEntropy: message})
		}
		return
	}
	if n.isCoordinatorLost() && n.antiEntropy.round%2 == 0 {
		if neighbours := n.partialView.Neighbours(); len(neighbours) > 0 {
			n.send(neighbours[n.random.IntN(len(neighbours))], wire.Message{AntiEntropy: &wire.AntiEntropy{Digests: n.directory.Digests()}})
		}
	}
}
