package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// endConfirmation is an engine's end, its drain or its removal, whose confirmation by the fleet is pending.
type endConfirmation struct {
	tokens    []uint64 // of the pending calls
	key       endKey
	records   []registry.EngineRecord
	zone      string
	zones     map[string]zoneConfirmation // answers by zone
	nodes     map[string]bool             // nodes other than this one that have answered for themselves or for a zone
	stored    map[string]bool             // nodes other than this one that have the end on disk
	startedAt kernel.Micros
	resendAt  kernel.Micros
}

// zoneConfirmation is a zone's answer, sent by its coordinator or a deputy; see askDeputies.
type zoneConfirmation struct {
	isComplete bool // every node of the zone that has to be waited for has confirmed; see isBound
	others     int  // number of nodes that have confirmed to the one that answered for the zone
}

// ConfirmationCounts counts the engines' ends that this node was asked to confirm, by outcome.
type ConfirmationCounts struct {
	Complete    uint64 // confirmed by every zone and node that was waited for
	Partial     uint64 // confirmed by a majority while some zones or nodes had not answered
	Unconfirmed uint64 // given up; the engine tries another node
}

// endKey identifies an engine's end: its drain or its removal.
type endKey struct {
	engine     string
	isUnlisted bool
}

// confirmEnd asks the other nodes of the fleet to confirm that they know of an engine's drain or removal. A Registered
// command answers the call with this token. It follows at once if the confirmation already exists or this node has not
// joined a fleet, and otherwise when enough nodes have confirmed or the attempt is given up.
func (n *Node) confirmEnd(token uint64, record registry.EngineRecord, zone string, records []registry.EngineRecord) {
	key := endKey{record.ID, record.IsUnlisted}
	if _, isConfirmed := n.announcements.confirmedEnds[key]; isConfirmed {
		n.out = append(n.out, Registered{Token: token, HeartbeatTo: n.heartbeatTarget(zone)})
		return
	}
	if n.lease.Applied() == nil {
		n.out = append(n.out, Registered{Token: token, Err: NotConfirmedError{record.ID, "this node has not joined a fleet yet"}})
		return
	}
	for _, confirmation := range n.announcements.confirmations {
		if confirmation.key == key {
			confirmation.tokens = append(confirmation.tokens, token)
			return
		}
	}
	n.announcements.nextToken++
	p := &endConfirmation{tokens: []uint64{token}, key: key, records: records, zone: zone, zones: map[string]zoneConfirmation{}, nodes: map[string]bool{}, stored: map[string]bool{}, startedAt: n.now}
	n.announcements.confirmations[n.announcements.nextToken] = p
	n.storeEnds()
	n.tickConfirmation(n.announcements.nextToken, p)
}

func (n *Node) tickConfirmation(token uint64, p *endConfirmation) {
	if n.now >= p.resendAt {
		p.resendAt = n.now + pushResendInterval
		push := wire.Message{Push: &wire.Push{Token: token, IsForwarded: true, Engines: p.records}}
		coordinators := n.lease.Applied().Coordinators
		for _, zone := range slices.Sorted(maps.Keys(coordinators)) {
			confirmation, hasConfirmed := p.zones[zone]
			if confirmation.isComplete {
				continue
			}
			n.send(coordinators[zone], push)
			if hasConfirmed || n.now-p.startedAt < pushDeputyTimeout {
				continue
			}
			n.askDeputies(zone, p, push)
		}
		n.notifyVoters(token, p)
	}
	n.evaluateConfirmation(token, p)
}

// askDeputies is called when the coordinator of a zone does not answer. The coordinator may be late, or may have failed
// a moment ago, so that no other node has noticed yet. Other nodes of the zone, its deputies, are then queried in its
// place: one at first, and a second one after secondDeputyTimeout, because the first may be late as well. If it is this
// node's own zone, this node also acts as a deputy.
func (n *Node) askDeputies(zone string, p *endConfirmation, push wire.Message) {
	if zone == n.settings.Identity.Zone {
		n.send(n.self(), push)
	}
	deputies := n.aliveNodes(zone)
	if len(deputies) == 0 {
		// Records from that zone may arrive late, so that none of its nodes counts as alive.
		deputies = n.boundNodes(zone)
	}
	coordinator := n.lease.Applied().Coordinators[zone]
	deputies = slices.DeleteFunc(deputies, func(node string) bool { return node == coordinator })
	count := 1
	if n.now-p.startedAt >= secondDeputyTimeout {
		count = 2
	}
	// All calls for the same engine choose the same deputies, because these remember which nodes have confirmed.
	first := xxhash.Sum64String(p.key.engine) % uint64(max(len(deputies), 1))
	for i := range min(count, len(deputies)) {
		n.send(deputies[(first+uint64(i))%uint64(len(deputies))], push)
	}
}

// notifyVoters sends an engine's drain or removal to the voters that have not stored it and to the leader unless it has
// confirmed it, except for the coordinators that are still queried for their zones. What a majority of the voters has
// stored survives a stop of the entire fleet, and is known on the majority side of a partition.
func (n *Node) notifyVoters(token uint64, p *endConfirmation) {
	asked := map[string]bool{n.self(): true}
	for zone, coordinator := range n.lease.Applied().Coordinators {
		asked[coordinator] = asked[coordinator] || !p.zones[zone].isComplete
	}
	targets := slices.DeleteFunc(n.lease.Applied().VoterAddresses(), func(voter string) bool { return p.stored[voter] })
	if leader := n.leaderTarget(); !p.nodes[leader] {
		targets = append(targets, leader)
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if !asked[target] {
			n.send(target, wire.Message{Push: &wire.Push{Token: token, Engines: p.records}})
		}
	}
}

// evaluateConfirmations evaluates all pending confirmations.
func (n *Node) evaluateConfirmations() {
	for _, token := range slices.Sorted(maps.Keys(n.announcements.confirmations)) {
		n.evaluateConfirmation(token, n.announcements.confirmations[token])
	}
}

// evaluateConfirmation answers the pending calls once the engine's drain or removal is confirmed. That needs a majority
// of the voters that has it on disk, a majority of the zones or else the leader, and at least one other node if there is one. It also needs
// all nodes that are waited for in every zone, until mayConfirmPartially is true. A drain or removal that is confirmed
// without them still survives the failure of this node and reaches every node in contact. After pushGiveUpTimeout the
// calls get a NotConfirmedError.
func (n *Node) evaluateConfirmation(token uint64, p *endConfirmation) {
	if n.announcements.confirmations[token] != p {
		return
	}
	coordinators := n.lease.Applied().Coordinators
	confirmedZones, isAll := 0, true
	for zone := range coordinators {
		confirmation, hasConfirmed := p.zones[zone]
		if hasConfirmed {
			confirmedZones++
		}
		isAll = isAll && (confirmation.isComplete || !hasConfirmed && n.isZoneEmpty(zone))
	}
	hasMostZones := confirmedZones*2 > len(coordinators) || p.nodes[n.leaderTarget()]
	// Without a majority of the voters this node may be on the minority side of a partition. What is on no disk is
	// forgotten when all processes stop.
	hasVoterMajority := cluster.Majority(n.lease.Applied().VoterAddresses(), func(voter string) bool { return n.hasStored(p, voter) })
	// A drain or removal that only this node knows is lost if the node fails.
	isShared := len(p.nodes) > 0 || p.confirmedOthers() > 0 || len(n.lease.Applied().Routers) < 2 && n.directory.NodeCount() < 2
	age := n.now - p.startedAt
	switch {
	case hasVoterMajority && hasMostZones && isShared && (isAll || n.mayConfirmPartially(p)):
		n.announcements.confirmedEnds[p.key] = n.now
		n.noteConfirmation(p, isAll)
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, HeartbeatTo: n.heartbeatTarget(p.zone)})
		}
	case age >= pushGiveUpTimeout:
		n.announcements.counts.Unconfirmed++
		n.note(decision.Engine(p.key.engine), decision.LeaveUnconfirmed, n.describeConfirmation(p))
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, Err: NotConfirmedError{p.records[0].ID, fmt.Sprintf("%d of %d zones answered, %s", confirmedZones, len(coordinators), n.describeStored(p))}})
		}
	default:
		return
	}
	delete(n.announcements.confirmations, token)
}

// hasStored reports whether a voter has the engine's drain or removal on its disk.
func (n *Node) hasStored(p *endConfirmation, voter string) bool {
	if voter == n.self() {
		return n.areEndsStored(p.records)
	}
	return p.stored[voter]
}

// describeStored returns a text with the number of voters that have the engine's drain or removal on their disks.
func (n *Node) describeStored(p *endConfirmation) string {
	voters := n.lease.Applied().VoterAddresses()
	total := len(voters)
	stored := slices.DeleteFunc(voters, func(voter string) bool { return !n.hasStored(p, voter) })
	return fmt.Sprintf("stored by %d of %d voters", len(stored), total)
}

// isZoneEmpty reports whether another zone has no node to wait for. It is always false if an EndConfirmationTimeout is
// set, because missing records then prove nothing: the zone's nodes may be alive while their records do not arrive, or
// this node may have just started.
func (n *Node) isZoneEmpty(zone string) bool {
	return n.settings.EndConfirmationTimeout == 0 && zone != n.settings.Identity.Zone && len(n.boundNodes(zone)) == 0
}

// confirmedOthers returns the number of nodes that have confirmed to the nodes that answered for their zones.
func (p *endConfirmation) confirmedOthers() int {
	count := 0
	for _, zone := range p.zones {
		count += zone.others
	}
	return count
}

// noteConfirmation counts a confirmed drain or removal and notes in the journal which zones confirmed it.
func (n *Node) noteConfirmation(p *endConfirmation, isAll bool) {
	outcome := decision.ConfirmEnd
	if isAll {
		n.announcements.counts.Complete++
	} else {
		n.announcements.counts.Partial++
		outcome = decision.ConfirmEndPartially
	}
	n.note(decision.Engine(p.key.engine), outcome, n.describeConfirmation(p))
}

// describeConfirmation returns a text with the number of confirmations so far, the zones without a complete answer, and
// the elapsed time.
func (n *Node) describeConfirmation(p *endConfirmation) string {
	coordinators := n.lease.Applied().Coordinators
	partial, silent := []string{}, []string{}
	nodes := 0
	for _, zone := range slices.Sorted(maps.Keys(coordinators)) {
		confirmation, hasConfirmed := p.zones[zone]
		if hasConfirmed {
			nodes += 1 + confirmation.others
		}
		switch {
		case !hasConfirmed:
			silent = append(silent, zone)
		case !confirmation.isComplete:
			partial = append(partial, zone)
		}
	}
	complete := len(coordinators) - len(partial) - len(silent)
	text := fmt.Sprintf("%d of %d zones complete, %d of their nodes confirmed, %s, after %d us", complete, len(coordinators), nodes, n.describeStored(p), n.now-p.startedAt)
	if len(partial) > 0 {
		text += "; partial: " + strings.Join(partial, ", ")
	}
	if len(silent) > 0 {
		text += "; silent: " + strings.Join(silent, ", ")
	}
	return text
}
