package control

import (
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/wire"
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// The peers that a node sends to: the coordinator of its zone, the other coordinators, and the leader.

// coordinator returns the address of the coordinator of this node's zone; empty: unknown.
func (n *Node) coordinator() string {
	if n.lease.Applied() == nil {
		return ""
	}
	return n.lease.Applied().Coordinators[n.settings.Identity.Zone]
}

func (n *Node) isCoordinator() bool { return n.coordinator() == n.self() }

// isCoordinatorLost reports whether the zone's coordinator is silent or partitioned from the core, so that the leader
// and the neighbours have to be queried instead.
func (n *Node) isCoordinatorLost() bool {
	if n.isCoordinator() {
		return false
	}
	// A coordinator that is partitioned from the core still answers its zone. Under leases the nodes notice that when
	// their leases expire. Without leases a node has to notice by itself that no answer of the leader arrives;
	// otherwise its entire zone would keep an old revision.
	isCutOff := n.settings.ServeExtension >= cluster.ServeWithoutLimit && n.now-n.lease.GrantedRequestAt() > n.coordinatorSilence()
	return isCutOff || n.isCoordinatorSilent()
}

// coordinatorSilence is the longest silence to expect of a working coordinator.
func (n *Node) coordinatorSilence() kernel.Micros {
	return max(600*kernel.Millisecond, n.settings.Timing.LeaseRequestInterval*12/5)
}

// isCoordinatorSilent reports whether the zone's coordinator is another node that has sent nothing for too long.
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

// knownLeader returns the address of the leader that this node's core follows, or else of the leader that other nodes
// named recently; empty: unknown.
func (n *Node) knownLeader() string {
	if n.core != nil && n.core.Leader() != "" {
		return n.core.Leader()
	}
	if n.hints.leader != "" && n.now-n.hints.seenAt < max(700*kernel.Millisecond, 2*n.settings.Timing.LeaseRequestInterval) {
		return n.hints.leader
	}
	return ""
}

// leaderTarget returns the address to send a message for the leader to: the known leader, or else the next node that
// may know the leader; empty: there is no such node.
func (n *Node) leaderTarget() string {
	if known := n.knownLeader(); known != "" {
		return known
	}
	// Each call tries the next candidate: the voters, then nodes that were named or have sent messages, the seeds and
	// the neighbours.
	candidates := append(n.lease.Applied().VoterAddresses(), n.hints.others...)
	candidates = append(candidates, n.settings.Seeds...)
	candidates = append(candidates, n.partialView.Neighbours()...)
	if len(candidates) == 0 {
		return ""
	}
	n.hints.index++
	return candidates[n.hints.index%len(candidates)]
}

// learnSender learns from the envelope of a message that a cluster exists and, before the first document, the address
// of the sender.
func (n *Node) learnSender(envelope wire.Envelope) {
	if n.bootstrapper != nil && envelope.ClusterID != "" {
		n.bootstrapper.hasSeenFleet = true
	}
	// Until this node has a document, it may query any node for the leader, so every sender is of use.
	if n.lease.Applied() == nil && envelope.From != n.self() && !slices.Contains(n.hints.others, envelope.From) {
		n.hints.others = append(n.hints.others, envelope.From)
	}
}

// onRedirect handles another node's statement of who leads and who votes.
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

// redirectedRequestPause is the longest time between a redirect to another leader and the next lease request of a node
// whose coordinator is silent or cut off.
const redirectedRequestPause = 100 * kernel.Millisecond

// followRedirect records the leader that a redirect named, and resends soon what waits for an answer of the leader:
// submissions, reads, quota requests and, where the coordinator cannot help, lease requests.
func (n *Node) followRedirect(leader string) {
	if leader != n.hints.leader {
		n.resendSoon()
	}
	isChanged := n.knownLeader() != leader
	switch {
	case n.lease.Applied() == nil:
		n.requests.timer = min(n.requests.timer, n.now+50*kernel.Millisecond)
	case isChanged && n.isCoordinatorLost():
		// The zone's coordinator is silent or cut off, so this node's document and directory may be outdated. It
		// queries the new leader soon instead of waiting for the next regular request.
		n.requests.timer = min(n.requests.timer, n.now+redirectedRequestPause)
	}
	n.hints.leader, n.hints.seenAt = leader, n.now
	n.redirectQuota()
}

// redirectToLeader answers a message that only a controller can handle. This node is not a controller, but it may know
// the leader and the voters.
func (n *Node) redirectToLeader(to string) {
	n.send(to, wire.Message{Redirect: &wire.Redirect{Leader: n.hints.leader, Voters: n.lease.Applied().VoterAddresses()}})
}

// onShuffle exchanges neighbours with another node.
func (n *Node) onShuffle(from string, m *gossip.Shuffle) {
	if reply := n.partialView.HandleShuffle(from, m); reply != nil {
		n.send(from, wire.Message{Shuffle: reply})
	}
}

// tickShuffle starts an exchange of neighbours when one is due.
func (n *Node) tickShuffle() {
	if to, shuffle := n.partialView.Tick(n.now); shuffle != nil {
		n.send(to, wire.Message{Shuffle: shuffle})
	}
}
