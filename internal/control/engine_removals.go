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

// endConfirmation is an engine's word of its end that waits for the fleet to know it.
type endConfirmation struct {
	tokens    []uint64 // of the calls that wait for it
	key       endKey
	records   []registry.EngineRecord
	zone      string
	zones     map[string]bool // that have spoken; true: wholly
	nodes     map[string]bool // other than this one that have spoken for themselves or a zone
	others    int             // nodes that have confirmed within the zones
	startedAt kernel.Micros
	resendAt  kernel.Micros
}

// endKey names an engine and which of its ends: that it leaves, or that it is gone.
type endKey struct {
	engine     string
	isUnlisted bool
}

// confirmEnd has an engine's end go round, and answers once it did.
func (n *Node) confirmEnd(token uint64, record registry.EngineRecord, zone string, records []registry.EngineRecord) {
	key := endKey{record.ID, record.IsUnlisted}
	if _, isConfirmed := n.announcements.confirmedEnds[key]; isConfirmed {
		n.out = append(n.out, Registered{Token: token, HeartbeatTo: n.heartbeatTarget(zone)})
		return
	}
	if n.lease.Applied() == nil {
		n.out = append(n.out, Registered{Token: token, Err: NotConfirmedError{record.ID, "this node knows no fleet yet"}})
		return
	}
	for _, confirmation := range n.announcements.confirmations {
		if confirmation.key == key {
			confirmation.tokens = append(confirmation.tokens, token)
			return
		}
	}
	n.announcements.nextToken++
	p := &endConfirmation{tokens: []uint64{token}, key: key, records: records, zone: zone, zones: map[string]bool{}, nodes: map[string]bool{}, startedAt: n.now}
	n.announcements.confirmations[n.announcements.nextToken] = p
	n.tickConfirmation(n.announcements.nextToken, p)
}

func (n *Node) tickConfirmation(token uint64, p *endConfirmation) {
	if n.now >= p.resendAt {
		p.resendAt = n.now + pushResendInterval
		push := wire.Message{Push: &wire.Push{Token: token, IsForwarded: true, Engines: p.records}}
		coordinators := n.lease.Applied().Coordinators
		for _, zone := range slices.Sorted(maps.Keys(coordinators)) {
			isComplete, hasConfirmed := p.zones[zone]
			if isComplete {
				continue
			}
			n.send(coordinators[zone], push)
			if hasConfirmed || n.now-p.startedAt < pushDeputyTimeout {
				continue
			}
			// The home may have died a moment ago and nobody know it yet.
			if zone == n.settings.Identity.Zone {
				n.send(n.self(), push)
			}
			for _, node := range n.aliveNodes(zone) {
				if node != coordinators[zone] {
					n.send(node, push)
					break
				}
			}
		}
		n.notifyVoters(token, p)
	}
	n.evaluateConfirmation(token, p)
}

// notifyVoters sends a promise to the voters and the leader that have not confirmed it, except for
// homes that are asked for their zones. What a majority of the voters knows outlives this node,
// and is known on the side of a cut that goes on.
func (n *Node) notifyVoters(token uint64, p *endConfirmation) {
	asked := map[string]bool{n.self(): true}
	for zone, coordinator := range n.lease.Applied().Coordinators {
		asked[coordinator] = asked[coordinator] || !p.zones[zone]
	}
	targets := append(n.lease.Applied().VoterAddresses(), n.leaderTarget())
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if !asked[target] && !p.nodes[target] {
			n.send(target, wire.Message{Push: &wire.Push{Token: token, Engines: p.records}})
		}
	}
}

// evaluateConfirmation answers once every living node has confirmed, or after a while once so
// many have that the mark outlives this node and whoever is in touch hears of it.
func (n *Node) evaluateConfirmation(token uint64, p *endConfirmation) {
	if n.announcements.confirmations[token] != p {
		return
	}
	coordinators := n.lease.Applied().Coordinators
	confirmedZones, isAll := 0, true
	for zone := range coordinators {
		isComplete, hasConfirmed := p.zones[zone]
		if hasConfirmed {
			confirmedZones++
		}
		// A zone without a living node has nobody to wait for.
		isAll = isAll && (isComplete || !hasConfirmed && zone != n.settings.Identity.Zone && len(n.aliveNodes(zone)) == 0)
	}
	hasMostZones := confirmedZones*2 > len(coordinators) || p.nodes[n.leaderTarget()]
	// Without a majority of the voters this may be a minority's side of a cut.
	hasVoterMajority := cluster.Majority(n.lease.Applied().VoterAddresses(), func(voter string) bool { return voter == n.self() || p.nodes[voter] })
	// A mark that only this node holds dies with it.
	isShared := len(p.nodes) > 0 || p.others > 0 || len(n.lease.Applied().Routers) < 2 && n.directory.NodeCount() < 2
	age := n.now - p.startedAt
	switch {
	case hasVoterMajority && hasMostZones && isShared && (isAll || age >= pushMajorityTimeout):
		n.announcements.confirmedEnds[p.key] = n.now
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, HeartbeatTo: n.heartbeatTarget(p.zone)})
		}
	case age >= pushGiveUpTimeout:
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, Err: NotConfirmedError{p.records[0].ID, fmt.Sprintf("%d of %d zones answered", confirmedZones, len(coordinators))}})
		}
	default:
		return
	}
	delete(n.announcements.confirmations, token)
}
