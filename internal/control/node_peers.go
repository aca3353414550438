package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Whom a node turns to: its zone's home, the other homes, the leader.

// home is the home of this node's zone; empty: none is known.
func (n *Node) home() string {
	if n.lease.applied == nil {
		return ""
	}
	return n.lease.applied.Homes[n.settings.Identity.Zone]
}

func (n *Node) isHome() bool { return n.home() == n.self() }

// isHomeless tells that the zone's home has been silent, so that other ways are taken.
func (n *Node) isHomeless() bool {
	most := max(600*kernel.Millisecond, n.settings.Timing.Ask*12/5)
	if n.isHome() {
		return false
	}
	// A home that is cut off from the core speaks to its zone as ever. Where leases bound
	// that, they lapse; without them a node has to see by itself that no word of the leader
	// comes through, or its whole zone stays behind.
	isMute := n.settings.ServeOn >= ServeOnAlways && n.now-n.lease.grantedAsk > most
	return isMute || n.now-n.homeWord > most
}

func (n *Node) zoneNodes() []string {
	found := []string{}
	for _, node := range n.directory.Nodes() {
		if node.Zone == n.settings.Identity.Zone && node.Address != n.self() {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) otherHomes() []string {
	found := []string{}
	if n.lease.applied != nil {
		for _, zone := range slices.Sorted(maps.Keys(n.lease.applied.Homes)) {
			if home := n.lease.applied.Homes[zone]; home != n.self() && !slices.Contains(found, home) {
				found = append(found, home)
			}
		}
	}
	return found
}

// knownLeader is who leads as far as is known here; empty: nobody is known to.
func (n *Node) knownLeader() string {
	if n.core != nil && n.core.Leader() != "" {
		return n.core.Leader()
	}
	if n.leaderHint != "" && n.now-n.leaderWord < max(700*kernel.Millisecond, 2*n.settings.Timing.Ask) {
		return n.leaderHint
	}
	return ""
}

// leaderTarget is whom to take for the leader now.
func (n *Node) leaderTarget() string {
	if known := n.knownLeader(); known != "" {
		return known
	}
	// Whoever may know, one after another: voters first, then seeds and neighbours.
	candidates := append(n.lease.applied.voterAddresses(), n.otherHints...)
	candidates = append(candidates, n.settings.Seeds...)
	candidates = append(candidates, n.views.Neighbours()...)
	if len(candidates) == 0 {
		return ""
	}
	n.hintTurn++
	return candidates[n.hintTurn%len(candidates)]
}
