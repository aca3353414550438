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

// Where routers serve without a limit and the fleet is large, most node records stay in their zone. Coordinators
// exchange the records of all nodes. To the nodes of its zone a coordinator forwards that zone's records, those of
// the representatives of other zones, and the number of all routers that it knows.

// maxNodesKnownToAll is the largest number of nodes in a fleet in which every node has all records.
const maxNodesKnownToAll = 48

// maxDeputies is how many nodes represent a zone besides its coordinator. One of them is queried while the
// coordinator is silent; see tickConfirmation.
const maxDeputies = 3

// routerCount is the number of routers in the fleet as reported by other nodes. Budgets of the whole fleet are
// divided by it, so a larger number is kept for as long as the records of that many nodes would be.
type routerCount struct {
	largest   int
	largestAt kernel.Micros // when it was last reported
	latest    int
	latestAt  kernel.Micros
}

// record adds a reported number; zero means that none was reported.
func (r *routerCount) record(now kernel.Micros, count int, expiry kernel.Micros) {
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

// current returns the number that is valid now; zero: none was reported recently.
func (r *routerCount) current(now, expiry kernel.Micros) int {
	switch {
	case now-r.latestAt > expiry:
		return 0
	case now-r.largestAt > expiry:
		return r.latest
	}
	return r.largest
}

// wantsZoneNodes reports whether this node requests only its zone's records. Under strict leases alone it needs all
// records, because urgent records are sent directly to all known nodes; see disseminate.
func (n *Node) wantsZoneNodes() bool { return n.settings.ServeExtension >= cluster.ServeWithoutLimit }

// reportedRouters returns the number of routers in the fleet as reported to this node; zero: none was reported.
func (n *Node) reportedRouters() int {
	return n.zone.routers.current(n.now, n.settings.Timing.NodeExpiryTimeout)
}

// knownRouters returns the number of routers known here, including those that were silent recently: they may still
// spend what was allocated to them.
func (n *Node) knownRouters() int {
	count := 0
	for node := range n.directory.AllNodes() {
		if node.IsRouter {
			count++
		}
	}
	return max(count, n.reportedRouters())
}

// routersToReport returns the number of routers to send with an update that may lack nodes of other zones; zero: the
// update has all nodes known in this zone.
func (n *Node) routersToReport() int {
	if n.omitsNodes() || n.reportedRouters() > 0 {
		return n.knownRouters()
	}
	return 0
}

// updateFor returns the changes since the state named in a lease request of this zone.
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

// omitsNodes reports whether this node is a coordinator that sends only some of the node records to its zone.
func (n *Node) omitsNodes() bool {
	return n.isCoordinator() && n.wantsZoneNodes() && n.directory.NodeCount() > maxNodesKnownToAll
}

// chooseRepresentatives chooses the nodes of other zones whose records this coordinator forwards: the coordinators,
// the voters and a few live nodes of each zone.
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

// noteDropped notes in the journal the nodes that were removed because their records expired. Nodes of other zones
// are noted only where all records arrive: a node that gets only some of them also drops records that are merely no
// longer forwarded to it.
func (n *Node) noteDropped(dropped []registry.NodeRecord) {
	for _, node := range dropped {
		if node.Zone == n.settings.Identity.Zone || n.isCoordinator() || n.reportedRouters() == 0 {
			n.note(decision.Node(node.Address), decision.Dropped, "no record of the node arrived for too long")
		}
	}
}
