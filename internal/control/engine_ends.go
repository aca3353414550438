package control

// Ends of engines: each is confirmed once the routers of the fleet know of it.

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// endConfirmation is an engine's word of its end that waits for the fleet to know it.
type endConfirmation struct {
	tokens  []uint64 // of the calls that wait for it
	key     endKey
	records []EngineRecord
	zone    string
	zones   map[string]bool // that have spoken; true: wholly
	nodes   map[string]bool // other than this one that have spoken for themselves or a zone
	others  int             // nodes that have confirmed within the zones
	since   kernel.Micros
	resend  kernel.Micros
}

// endKey names an engine and which of its ends: that it leaves, or that it is gone.
type endKey struct {
	engine     string
	isUnlisted bool
}

// confirmEnd has an engine's end go round, and answers once it did.
func (n *Node) confirmEnd(token uint64, record EngineRecord, zone string, records []EngineRecord) {
	key := endKey{record.ID, record.IsUnlisted}
	if _, isKept := n.announcements.kept[key]; isKept {
		n.out = append(n.out, Registered{Token: token, BeatTo: n.beatTo(zone)})
		return
	}
	if n.lease.applied == nil {
		n.out = append(n.out, Registered{Token: token, Err: NotConfirmed{record.ID, "this node knows no fleet yet"}})
		return
	}
	for _, confirmation := range n.announcements.confirmations {
		if confirmation.key == key {
			confirmation.tokens = append(confirmation.tokens, token)
			return
		}
	}
	n.announcements.nextToken++
	p := &endConfirmation{tokens: []uint64{token}, key: key, records: records, zone: zone, zones: map[string]bool{}, nodes: map[string]bool{}, since: n.now}
	n.announcements.confirmations[n.announcements.nextToken] = p
	n.tickConfirmation(n.announcements.nextToken, p)
}

func (n *Node) tickConfirmation(token uint64, p *endConfirmation) {
	if n.now >= p.resend {
		p.resend = n.now + pushResend
		push := Message{Push: &Push{Token: token, IsOnward: true, Engines: p.records}}
		homes := n.lease.applied.Homes
		for _, zone := range slices.Sorted(maps.Keys(homes)) {
			isWhole, hasSpoken := p.zones[zone]
			if isWhole {
				continue
			}
			n.send(homes[zone], push)
			if hasSpoken || n.now-p.since < pushDeputy {
				continue
			}
			// The home may have died a moment ago and nobody know it yet.
			if zone == n.settings.Identity.Zone {
				n.send(n.self(), push)
			}
			for _, node := range n.living(zone) {
				if node != homes[zone] {
					n.send(node, push)
					break
				}
			}
		}
		n.tellVoters(token, p)
	}
	n.judgeConfirmation(token, p)
}

// tellVoters sends a promise to the voters and the leader that have not confirmed it, except for
// homes that are asked for their zones. What a majority of the voters knows outlives this node,
// and is known on the side of a cut that goes on.
func (n *Node) tellVoters(token uint64, p *endConfirmation) {
	asked := map[string]bool{n.self(): true}
	for zone, home := range n.lease.applied.Homes {
		asked[home] = asked[home] || !p.zones[zone]
	}
	targets := append(n.lease.applied.voterAddresses(), n.leaderTarget())
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if !asked[target] && !p.nodes[target] {
			n.send(target, Message{Push: &Push{Token: token, Engines: p.records}})
		}
	}
}

// judgeConfirmation answers once every living node has confirmed, or after a while once so
// many have that the mark outlives this node and whoever is in touch hears of it.
func (n *Node) judgeConfirmation(token uint64, p *endConfirmation) {
	if n.announcements.confirmations[token] != p {
		return
	}
	homes := n.lease.applied.Homes
	spoken, isAll := 0, true
	for zone := range homes {
		isWhole, hasSpoken := p.zones[zone]
		if hasSpoken {
			spoken++
		}
		// A zone without a living node has nobody to wait for.
		isAll = isAll && (isWhole || !hasSpoken && zone != n.settings.Identity.Zone && len(n.living(zone)) == 0)
	}
	isMost := spoken*2 > len(homes) || p.nodes[n.leaderTarget()]
	// Without a majority of the voters this may be a minority's side of a cut.
	isHeld := majority(n.lease.applied.voterAddresses(), func(voter string) bool { return voter == n.self() || p.nodes[voter] })
	// A mark that only this node holds dies with it.
	isShared := len(p.nodes) > 0 || p.others > 0 || len(n.lease.applied.Register) < 2 && len(n.directory.Nodes()) < 2
	age := n.now - p.since
	switch {
	case isHeld && isMost && isShared && (isAll || age >= pushEnough):
		n.announcements.kept[p.key] = n.now
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, BeatTo: n.beatTo(p.zone)})
		}
	case age >= pushGiveUp:
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, Err: NotConfirmed{p.records[0].ID, fmt.Sprintf("%d of %d zones answered", spoken, len(homes))}})
		}
	default:
		return
	}
	delete(n.announcements.confirmations, token)
}
