package control

import (
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/wire"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// Whom a node turns to: the coordinator of its zone, the other coordinators, the leader.

// coordinator is the address of the coordinator of this node's zone; empty: none is known.
func (n *Node) coordinator() string {
	if n.lease.Applied() == nil {
		return ""
	}
	return n.lease.Applied().Coordinators[n.settings.Identity.Zone]
}

func (n *Node) isCoordinator() bool { return n.coordinator() == n.self() }

// isCoordinatorLost tells that the zone's coordinator has been silent, so that the leader and the
// neighbours are asked instead.
func (n *Node) isCoordinatorLost() bool {
	if n.isCoordinator() {
		return false
	}
	// A coordinator that is cut off from the core still answers its zone. Where leases bound that,
	// they lapse; without them a node has to notice by itself that no answer of the leader comes
	// through, or its entire zone stays at an old revision.
	isCutOff := n.settings.ServeExtension >= cluster.ServeWithoutLimit && n.now-n.lease.GrantedRequestAt() > n.coordinatorSilence()
	return isCutOff || n.isCoordinatorSilent()
}

// coordinatorSilence is how long a coordinator that is well never says nothing.
func (n *Node) coordinatorSilence() kernel.Micros {
	return max(600*kernel.Millisecond, n.settings.Timing.LeaseRequestInterval*12/5)
}

// isCoordinatorSilent tells that the coordinator of this node's zone, another one, has said nothing for too long.
func (n *Node) isCoordinatorSilent() bool {
	return !n.isCoordinator() && n.now-n.contact.seenAt > n.coordinatorSilence()
}

func (n *Node) zoneNodes() []string {
	found := []string{}
	for node := range n.directory.AllNodes() {
		if node.Zone == n.settings.Identity.Zone && node.Address != n.self() {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) otherCoordinators() []string {
	found := []string{}
	if n.lease.Applied() != nil {
		for _, zone := range slices.Sorted(maps.Keys(n.lease.Applied().Coordinators)) {
			if coordinator := n.lease.Applied().Coordinators[zone]; coordinator != n.self() && !slices.Contains(found, coordinator) {
				found = append(found, coordinator)
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
	if n.hints.leader != "" && n.now-n.hints.seenAt < max(700*kernel.Millisecond, 2*n.settings.Timing.LeaseRequestInterval) {
		return n.hints.leader
	}
	return ""
}

// leaderTarget is whom to take for the leader now.
func (n *Node) leaderTarget() string {
	if known := n.knownLeader(); known != "" {
		return known
	}
	// Whoever may know, one after another: voters first, then seeds and neighbours.
	candidates := append(n.lease.Applied().VoterAddresses(), n.hints.others...)
	candidates = append(candidates, n.settings.Seeds...)
	candidates = append(candidates, n.views.Neighbours()...)
	if len(candidates) == 0 {
		return ""
	}
	n.hints.index++
	return candidates[n.hints.index%len(candidates)]
}

// learnSender remembers what every message tells of its sender.
func (n *Node) learnSender(envelope wire.Envelope) {
	if n.bootstrapper != nil && envelope.ClusterID != "" {
		n.bootstrapper.hasSeenFleet = true
	}
	// Before anything else is known, whoever writes is somebody to ask.
	if n.lease.Applied() == nil && envelope.From != n.self() && !slices.Contains(n.hints.others, envelope.From) {
		n.hints.others = append(n.hints.others, envelope.From)
	}
}

// onRedirect takes from another node who leads and who votes.
func (n *Node) onRedirect(from string, m wire.Message) {
	if leader := m.Redirect.Leader; leader != "" && leader != n.self() {
		n.followRedirect(leader)
	}
	if len(m.Redirect.Voters) > 0 {
		n.hints.others = append([]string{from}, m.Redirect.Voters...)
	}
	if n.core != nil {
		n.core.Receive(n.now, from, m)
	}
}

// redirectedRequestPause is how soon a node that lacks an answer asks a leader that it was redirected to.
const redirectedRequestPause = 100 * kernel.Millisecond

// followRedirect turns to another leader with what waits for one.
func (n *Node) followRedirect(leader string) {
	if leader != n.hints.leader {
		n.resendSoon()
	}
	isNews := n.knownLeader() != leader
	switch {
	case n.lease.Applied() == nil:
		n.requests.timer = min(n.requests.timer, n.now+50*kernel.Millisecond)
	case isNews && n.isCoordinatorLost():
		// What is known here is as old as the last answer; the next one is not to take another interval.
		n.requests.timer = min(n.requests.timer, n.now+redirectedRequestPause)
	}
	n.hints.leader, n.hints.seenAt = leader, n.now
	n.redirectQuota()
}

// redirectToLeader answers what only a controller can handle: there is none here, but this node
// may know who leads.
func (n *Node) redirectToLeader(to string) {
	n.send(to, wire.Message{Redirect: &wire.Redirect{Leader: n.hints.leader, Voters: n.lease.Applied().VoterAddresses()}})
}

// onShuffle exchanges neighbours with another node.
func (n *Node) onShuffle(from string, m *gossip.Shuffle) {
	if reply := n.views.HandleShuffle(from, m); reply != nil {
		n.send(from, wire.Message{Shuffle: reply})
	}
}

// tickViews begins an exchange of neighbours when one is due.
func (n *Node) tickViews() {
	if to, shuffle := n.views.Tick(n.now); shuffle != nil {
		n.send(to, wire.Message{Shuffle: shuffle})
	}
}
