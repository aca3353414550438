package cluster

import (
	"dunlinloom/internal/kernel"
)

// AllocationLease returns how long a leader may allocate quotas without another confirmed heartbeat round. It is
// counted from when the last confirmed round was sent. It is shorter than the leader lease, since a new leader
// has to wait for this long before it allocates quotas itself.
func (t Timing) AllocationLease() kernel.Micros { return 5 * t.HeartbeatInterval / 2 }

// ServeWithoutLimit is the value of the setting ServeExtension with which a router serves as long as it has an
// applied document. It needs no lease for that, and does not stop serving when the core has no quorum.
const ServeWithoutLimit = kernel.Micros(1 << 62)

// Timing has all intervals and timeouts of the control plane.
type Timing struct {
	HeartbeatInterval      kernel.Micros // between two heartbeats of a leader
	MinElectionTimeout     kernel.Micros // an election starts at least this long after the last heartbeat
	MaxElectionTimeout     kernel.Micros // and at most this long after it
	DiskStallTimeout       kernel.Micros // a disk counts as stalled if a write takes longer
	DiskRetryInterval      kernel.Micros // between two attempts of a write that failed
	ReplaceTimeout         kernel.Micros // a voter that has not been heard from for this long counts as lost
	LeaseRequestInterval   kernel.Micros // between two lease requests of a node
	LeaseSpan              kernel.Micros // how long a lease lasts, counted from when the request was sent
	CoordinatorTimeout     kernel.Micros // a zone whose coordinator has been silent for this long gets another one
	DeregisterTimeout      kernel.Micros // a router that has been silent for this long is removed from the register
	NodeExpiryTimeout      kernel.Micros // a node that has been silent for this long is removed from the directory
	ShuffleInterval        kernel.Micros // between two shuffles that a node starts; see package gossip
	AntiEntropyInterval    kernel.Micros // between two comparisons of digests by a coordinator
	TickInterval           kernel.Micros // resolution of all timers; zero: 20 ms
	EngineHeartbeatTimeout kernel.Micros // a self-registering engine silent for this long is unresponsive; zero: never
}

// LeaderLease returns how long a leader may act as the leader without another confirmed heartbeat round. It is
// counted from when the last confirmed round was sent.
func (t Timing) LeaderLease() kernel.Micros { return 3 * t.MinElectionTimeout / 2 }

// NodeTimeout returns the time within which at least one record of every live node arrives, even if one of its
// messages is lost.
func (t Timing) NodeTimeout() kernel.Micros { return 2 * t.NodeExpiryTimeout / 5 }

// DefaultTiming returns the timing that applies unless the settings say otherwise. It keeps a margin to the time
// limits that the control plane is required to meet.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 100 * kernel.Millisecond, MinElectionTimeout: 600 * kernel.Millisecond, MaxElectionTimeout: 1200 * kernel.Millisecond,
		DiskStallTimeout: kernel.Second, DiskRetryInterval: 500 * kernel.Millisecond, ReplaceTimeout: 8 * kernel.Second,
		LeaseRequestInterval: 250 * kernel.Millisecond, LeaseSpan: 1700 * kernel.Millisecond, CoordinatorTimeout: 1500 * kernel.Millisecond,
		DeregisterTimeout: 30 * kernel.Second, NodeExpiryTimeout: 5 * kernel.Second,
		ShuffleInterval: kernel.Second, AntiEntropyInterval: kernel.Second,
	}
}

// SparseTiming returns the timing for fleets whose routers serve without a lease; see ServeWithoutLimit. No
// router of such a fleet stops serving because a message is late, so messages are sent less often. Election
// timeouts and the coordinator timeout are the default ones.
func SparseTiming() Timing {
	timing := DefaultTiming()
	timing.HeartbeatInterval, timing.LeaseRequestInterval, timing.ReplaceTimeout = 150*kernel.Millisecond, 500*kernel.Millisecond, 2500*kernel.Millisecond
	timing.ShuffleInterval, timing.AntiEntropyInterval, timing.NodeExpiryTimeout = 5*kernel.Second, 2*kernel.Second, 10*kernel.Second
	timing.TickInterval = 50 * kernel.Millisecond
	return timing
}
