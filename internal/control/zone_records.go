package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Records of nodes stay in their zone where routers serve without limit and the fleet is large. The coordinators
// exchange the records of all nodes. To the nodes of its zone each of them passes on that zone's records, those of
// the representatives of other zones, and how many routers it knows in all.

// maxNodesKnownToAll is the size of a fleet, in nodes, up to which every node has the records of all.
const maxNodesKnownToAll = 48

// maxDeputies is how many nodes of a zone represent it beside its coordinator. One of them is turned to while
// the coordinator is silent, see tickConfirmation.
const maxDeputies = 3

// routerCount is the number of routers in the fleet, as other nodes say. It divides budgets of the whole fleet, so
// a larger number is kept for as long as the records of as many nodes would be.
type routerCount struct {
	largest   int
	largestAt kernel.Micros // when it was last told
	latest    int
	latestAt  kernel.Micros
}

// take takes a count that was told; zero is none.
func (r *routerCount) take(now kernel.Micros, count int, expiry kernel.Micros) {
	if count == 0 {
		return
	}
	if now-r.largestAt > expiry {
		r.largest, r.largestAt = r.latest, r.latestAt
	}
	r.latest, r.latestAt = count, now
	if count >= r.largest {
		r.largest, r.largestAt = count, now
	}
}

// current gives the count that holds now; zero: none was told lately.
func (r *routerCount) current(now, expiry kernel.Micros) int {
	switch {
	case now-r.latestAt > expiry:
		return 0
	case now-r.largestAt > expiry:
		return r.latest
	}
	return r.largest
}

// wantsZoneNodes tells that this node asks for no more than its zone's records. Under leases alone urgent records
// go to all nodes by their records, see disseminate.
func (n *Node) wantsZoneNodes() bool { return n.settings.ServeExtension >= cluster.ServeWithoutLimit }

// reportedRouters is how many routers the fleet has as this node was told; zero: it was not.
func (n *Node) reportedRouters() int {
	return n.zone.routers.current(n.now, n.settings.Timing.NodeExpiryTimeout)
}

// knownRouters counts the routers that are known here, those that were silent lately included: they
// may still spend what they hold.
func (n *Node) knownRouters() int {
	count := 0
	for node := range n.directory.AllNodes() {
		if node.IsRouter {
			count++
		}
	}
	return max(count, n.reportedRouters())
}

// routersToReport is the count of routers that goes with an update which may lack nodes of other zones; zero: it has
// all that are known to this node's zone.
func (n *Node) routersToReport() int {
	if n.omitsNodes() || n.reportedRouters() > 0 {
		return n.knownRouters()
	}
	return 0
}

// updateFor gives what changed since a lease request of this zone.
func (n *Node) updateFor(m *wire.LeaseRequest) *registry.DirectoryUpdate {
	if !m.WantsZoneNodes || m.Zone != n.settings.Identity.Zone || !n.omitsNodes() {
		return n.directory.UpdateSince(n.now, m.SeenIncarnation, m.SeenWatermark, false)
	}
	if n.zone.representatives == nil {
		n.chooseRepresentatives()
	}
	return n.directory.UpdateWithin(n.now, m.SeenIncarnation, m.SeenWatermark, func(node *registry.NodeRecord) bool {
		return node.Zone == m.Zone || n.zone.representatives[node.Address]
	})
}

// omitsNodes tells that this node is a coordinator whose zone's nodes need not have the records of all nodes.
func (n *Node) omitsNodes() bool {
	return n.isCoordinator() && n.wantsZoneNodes() && n.directory.NodeCount() > maxNodesKnownToAll
}

// chooseRepresentatives chooses whose records this zone's coordinator passes on from other zones: the
// coordinators, the voters and a few living nodes of each.
func (n *Node) chooseRepresentatives() {
	if !n.omitsNodes() {
		n.zone.representatives = nil
		return
	}
	chosen := map[string]bool{}
	for _, coordinator := range n.lease.Applied().Coordinators {
		chosen[coordinator] = true
	}
	for _, voter := range n.lease.Applied().VoterAddresses() {
		chosen[voter] = true
	}
	deputies := map[string]int{}
	for node := range n.directory.AllNodes() {
		if !chosen[node.Address] && !node.IsLeaving && deputies[node.Zone] < maxDeputies && n.isLikelyAlive(node) {
			chosen[node.Address] = true
			deputies[node.Zone]++
		}
	}
	for _, address := range slices.Sorted(maps.Keys(chosen)) {
		if !n.zone.representatives[address] {
			n.directory.TouchNode(address)
		}
	}
	n.zone.representatives = chosen
}

// noteDropped tells the journal of nodes that are not heard of any more. Of other zones' nodes that their
// coordinators tell: a node that follows its own zone alone drops records that are merely not passed on.
func (n *Node) noteDropped(dropped []registry.NodeRecord) {
	for _, node := range dropped {
		if node.Zone == n.settings.Identity.Zone || n.isCoordinator() || n.reportedRouters() == 0 {
			n.note(decision.Node(node.Address), decision.Dropped, "not heard of any more")
		}
	}
}
