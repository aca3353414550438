package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// A node's state as seen by the rest of its process.

// contactRequests is how many lease request intervals a node counts as in contact after a leader's answer. It is larger
// than one because a coordinator that sends the requests of its zone passes on only every third or fourth request of a
// node.
const contactRequests = 5

// ContactSpan returns how long this node counts as in contact with the leader after a leader's answer.
func (n *Node) ContactSpan() kernel.Micros {
	return contactRequests * n.settings.Timing.LeaseRequestInterval
}

// isIsolated reports whether no leader has answered for as long as ContactSpan or the engines' heartbeat timeout,
// whichever is longer. The time counts from the sending of the newest request that was granted, or from this node's
// start. A change of leader takes less time, so this node is most likely partitioned.
func (n *Node) isIsolated() bool {
	return n.now-max(n.lease.GrantedRequestAt(), n.startedAt) >= max(n.ContactSpan(), n.settings.Timing.EngineHeartbeatTimeout)
}

// GrantedAt returns when this process sent the newest of the lease requests that a leader has answered; zero: none was
// answered.
func (n *Node) GrantedAt() kernel.Micros { return n.lease.GrantedRequestAt() }

// FreshAt returns the latest time at which the document that is now applied here was known to be the newest; zero:
// unknown.
func (n *Node) FreshAt() kernel.Micros { return n.lease.FreshAt() }

// State is an immutable snapshot of a node's state.
type State struct {
	Document          *cluster.Document
	LeaseExpiresAt    kernel.Micros // time until which this node's router may serve
	LapseReason       string        // why the lease has lapsed; empty: it has not
	Leader            string
	Coordinator       string
	IsCoordinator     bool
	IsCoordinatorLost bool
	IsLeader          bool
	Role              string
	Term              uint64
	Member            cluster.MemberID
	IsFolderPending   bool    // the data folder could not be opened yet, so this node can't vote
	DiskFault         string  // why the disk or the pending data folder fails; empty: it does not
	Health            *Health // health of the core; nil unless this node is the leader
	Engines           []registry.EngineRecord
	EngineRev         uint64
	Nodes             []registry.NodeRecord
	Neighbours        []string
	ClusterID         string
	ServingRouters    int // number of live routers in Nodes, including this node
	ReportedRouters   int // routers of the fleet as counted by the zone's coordinator; zero: Nodes has all of them
	Confirmations     ConfirmationCounts
	// Dissemination is the progress of the newest revision that this node has acknowledged as the leader; zero: none.
	Dissemination Dissemination

	directoryRev uint64
}

// KnownRouters returns the number of routers in the fleet that this node knows of: those in Nodes, or the number that
// the zone's coordinator reported if that is larger.
func (s *State) KnownRouters() int {
	count := 0
	for _, node := range s.Nodes {
		if node.IsRouter {
			count++
		}
	}
	return max(count, s.ReportedRouters)
}

// HasAllNodes reports whether Nodes has every node that the zone's coordinator knows, rather than only this zone's
// nodes and the representatives of other zones.
func (s *State) HasAllNodes() bool { return s.IsCoordinator || s.ReportedRouters == 0 }

// State returns the node's current state. The argument is the result of an earlier call, or nil. It is itself returned
// if nothing has changed since. Otherwise the new state shares the unchanged parts with it.
func (n *Node) State(earlier *State) *State {
	state := State{
		Document: n.lease.Applied(), LeaseExpiresAt: n.lease.ExpiresAt(), LapseReason: n.lease.LapseReason(n.now),
		Coordinator: n.coordinator(), IsCoordinator: n.isCoordinator(), IsCoordinatorLost: n.isCoordinatorLost(),
		EngineRev: n.directory.EngineRev(), ClusterID: n.clusterID(), Leader: n.hints.leader, directoryRev: n.directory.Rev(),
		Confirmations: n.announcements.counts, Member: n.settings.Member, IsFolderPending: n.settings.IsFolderPending, DiskFault: n.folderFault,
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
	if earlier != nil && n.partialView.HasNeighbours(earlier.Neighbours) {
		state.Neighbours = earlier.Neighbours
	} else {
		state.Neighbours = n.partialView.Neighbours()
	}
	state.ServingRouters, state.ReportedRouters = n.countServingRouters(state.Nodes), n.reportedRouters()
	if earlier != nil && earlier.equals(&state) {
		return earlier
	}
	return &state
}

// equals reports whether two states are the same. Large parts are compared by reference or revision, not by content.
func (s *State) equals(other *State) bool {
	return s.Document == other.Document && s.LeaseExpiresAt == other.LeaseExpiresAt && s.LapseReason == other.LapseReason && s.Leader == other.Leader &&
		s.Coordinator == other.Coordinator && s.IsCoordinator == other.IsCoordinator && s.IsCoordinatorLost == other.IsCoordinatorLost && s.IsLeader == other.IsLeader &&
		s.Role == other.Role && s.Term == other.Term && s.Member == other.Member && s.IsFolderPending == other.IsFolderPending && s.DiskFault == other.DiskFault && s.Health == other.Health && s.EngineRev == other.EngineRev &&
		s.directoryRev == other.directoryRev && s.ClusterID == other.ClusterID && s.ServingRouters == other.ServingRouters && s.ReportedRouters == other.ReportedRouters &&
		s.Confirmations == other.Confirmations && s.Dissemination.Revision == other.Dissemination.Revision && slices.Equal(s.Neighbours, other.Neighbours)
}
