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

// Under ServeWithoutLimit, routers keep serving without a lease. In a large fleet with this setting, most node records
// stay in their zone. The coordinators exchange the records of all nodes. To the nodes of its own zone, a coordinator
// forwards only the records of that zone, the records of the representatives of other zones, and the number of routers
// in the whole fleet, as far as it knows it.

// maxNodesKnownToAll is the largest number of nodes in a fleet up to which every node is sent the records of all nodes.
const maxNodesKnownToAll = 48

// maxDeputies is how many nodes represent a zone besides its coordinator and the voters. While the coordinator is
// silent, one of the zone's nodes is queried in its place, and later a second one; see askDeputies.
const maxDeputies = 3

// routerCount is the number of routers in the fleet as reported by other nodes. Budgets of the whole fleet are divided
// by it. When the reported number falls, the larger one remains valid for as long as the records of the missing routers
// would be kept, because those routers may still spend their shares.
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

// wantsZoneNodes reports whether this node requests only its zone's records. Without ServeWithoutLimit it needs all
// records, because urgent records are sent directly to all known nodes; see disseminate.
func (n *Node) wantsZoneNodes() bool { return n.settings.ServeExtension >= cluster.ServeWithoutLimit }

// reportedRouters returns the number of routers in the fleet as reported to this node; zero: none was reported.
func (n *Node) reportedRouters() int {
	return n.zone.routers.current(n.now, n.settings.Timing.NodeExpiryTimeout)
}

// knownRouters returns the number of routers known here. It includes routers that have fallen silent but whose records
// have not expired, because they may still spend what was allocated to them.
func (n *Node) knownRouters() int {
	count := 0
	for node := range n.directory.AllNodes() {
		if node.IsRouter {
			count++
		}
	}
	return max(count, n.reportedRouters())
}

// routersToReport returns the number of routers to state in an answer whose directory update may leave out nodes of
// other zones. Zero means that the update has all nodes known in this zone.
func (n *Node) routersToReport() int {
	if n.omitsNodes() || n.reportedRouters() > 0 {
		return n.knownRouters()
	}
	return 0
}

// updateFor returns the directory's changes since the state that a lease request names. It leaves out the nodes of
// other zones, except for the representatives, if omitsNodes holds and the sender is a node of this zone that wants
// only its zone's nodes.
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

// chooseRepresentatives chooses the nodes whose records this coordinator forwards to its zone although they may belong
// to other zones: all coordinators and voters, and up to maxDeputies further live nodes of each zone.
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

// noteDropped notes in the journal which nodes were removed because their records had expired. Nodes of other zones are
// noted only if this node is sent all records. Otherwise their records may have expired merely because they are no
// longer forwarded to this node.
func (n *Node) noteDropped(dropped []registry.NodeRecord) {
	for _, node := range dropped {
		if node.Zone == n.settings.Identity.Zone || n.isCoordinator() || n.reportedRouters() == 0 {
			n.note(decision.Node(node.Address), decision.Dropped, "no record of the node arrived for too long")
		}
	}
}
