package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// What a node shows to the process around it.

// contactRequests is how many intervals between two lease requests may pass without an answer by the
// leader. Where a coordinator asks for its zone, every third or fourth request reaches the leader.
const contactRequests = 5

// ContactSpan is for how long a leader's answer shows that this node is in touch with it.
func (n *Node) ContactSpan() kernel.Micros {
	return contactRequests * n.settings.Timing.LeaseRequestInterval
}

// isIsolated tells that no leader has answered for as long as an engine may be silent, in this life
// or since its start: longer than a change of leader takes, so that this node is most likely cut off.
func (n *Node) isIsolated() bool {
	return n.now-max(n.lease.GrantedRequestAt(), n.bornAt) >= max(n.ContactSpan(), n.settings.Timing.EngineHeartbeatTimeout)
}

// GrantedAt is when the newest lease request of this incarnation was sent that a leader has answered;
// zero: none was.
func (n *Node) GrantedAt() kernel.Micros { return n.lease.GrantedRequestAt() }

// FreshAt is the latest moment at which the document in force here was surely the newest one; zero:
// none is known.
func (n *Node) FreshAt() kernel.Micros { return n.lease.FreshAt() }

// State is a view of a node at one moment; nothing in it is changed later.
type State struct {
	Document          *cluster.Document
	Until             kernel.Micros
	LapseReason       string
	Leader            string
	Coordinator       string
	IsCoordinator     bool
	IsCoordinatorLost bool
	IsLeader          bool
	Role              string
	Term              uint64
	DiskFault         string
	Health            *Health // of the core; nil unless this node leads it
	Engines           []registry.EngineRecord
	EngineRev         uint64
	Nodes             []registry.NodeRecord
	Neighbours        []string
	ClusterID         string
	ServingRouters    int // router nodes of those in Nodes that live, this one among them
	ToldRouters       int // routers of the fleet as the zone's coordinator counts them; zero: Nodes has them all
	Confirmations     ConfirmationCounts
	// Dissemination is that of the newest revision that this node acknowledged while it has led; zero: of none.
	Dissemination Dissemination

	directoryRev uint64
}

// KnownRouters counts the routers of the fleet as far as they are known here.
func (s *State) KnownRouters() int {
	count := 0
	for _, node := range s.Nodes {
		if node.IsRouter {
			count++
		}
	}
	return max(count, s.ToldRouters)
}

// HasAllNodes tells that Nodes has every node that the zone's coordinator knows, not only those of this zone
// and the representatives of others.
func (s *State) HasAllNodes() bool { return s.IsCoordinator || s.ToldRouters == 0 }

// State gives a view of the node; it gives the earlier view where nothing has changed, and
// keeps its parts that have not.
func (n *Node) State(earlier *State) *State {
	state := State{
		Document: n.lease.Applied(), Until: n.lease.ExpiresAt(), LapseReason: n.lease.LapseReason(n.now),
		Coordinator: n.coordinator(), IsCoordinator: n.isCoordinator(), IsCoordinatorLost: n.isCoordinatorLost(),
		EngineRev: n.directory.EngineRev(), ClusterID: n.clusterID(), Leader: n.hints.leader, directoryRev: n.directory.Rev(),
		Confirmations: n.announcements.counts,
	}
	if n.core != nil {
		state.Health = n.core.Health()
		state.IsLeader, state.Role, state.Term, state.DiskFault = n.core.role == leader, n.core.role.String(), n.core.term, n.core.DiskFault()
		state.Dissemination = n.core.Dissemination()
		if known := n.core.Leader(); known != "" {
			state.Leader = known
		}
	}
	if earlier != nil && earlier.EngineRev == state.EngineRev {
		state.Engines = earlier.Engines
	} else {
		state.Engines = n.usableEngines()
	}
	if earlier != nil && earlier.directoryRev == state.directoryRev {
		state.Nodes = earlier.Nodes
	} else {
		state.Nodes = n.directory.Nodes()
	}
	if earlier != nil && n.views.HasNeighbours(earlier.Neighbours) {
		state.Neighbours = earlier.Neighbours
	} else {
		state.Neighbours = n.views.Neighbours()
	}
	state.ServingRouters, state.ToldRouters = n.serving(state.Nodes), n.toldRouters()
	if earlier != nil && earlier.isLike(&state) {
		return earlier
	}
	return &state
}

// isLike tells whether two views are the same, where their parts are the same ones.
func (s *State) isLike(other *State) bool {
	return s.Document == other.Document && s.Until == other.Until && s.LapseReason == other.LapseReason && s.Leader == other.Leader &&
		s.Coordinator == other.Coordinator && s.IsCoordinator == other.IsCoordinator && s.IsCoordinatorLost == other.IsCoordinatorLost && s.IsLeader == other.IsLeader &&
		s.Role == other.Role && s.Term == other.Term && s.DiskFault == other.DiskFault && s.Health == other.Health && s.EngineRev == other.EngineRev &&
		s.directoryRev == other.directoryRev && s.ClusterID == other.ClusterID && s.ServingRouters == other.ServingRouters && s.ToldRouters == other.ToldRouters &&
		s.Confirmations == other.Confirmations && s.Dissemination.Revision == other.Dissemination.Revision && slices.Equal(s.Neighbours, other.Neighbours)
}
