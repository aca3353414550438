package cluster

import (
	"dunlinloom/internal/kernel"
)

// AllocationLease is how long a confirmed round lets a leader deal quotas out, counted from its sending. It
// is shorter than the leader's lease, since a new leader has to wait for as long.
func (t Timing) AllocationLease() kernel.Micros { return 5 * t.HeartbeatInterval / 2 }

// ServeWithoutLimit lets a router serve for as long as it has an applied document.
const ServeWithoutLimit = kernel.Micros(1 << 62)

// Timing holds every span of the control plane.
type Timing struct {
	HeartbeatInterval      kernel.Micros // between a leader's heartbeats
	MinElectionTimeout     kernel.Micros // an election starts this long after the last heartbeat,
	MaxElectionTimeout     kernel.Micros // at the latest
	DiskStallTimeout       kernel.Micros // a write that takes longer is a stalled disk
	DiskRetryInterval      kernel.Micros
	ReplaceTimeout         kernel.Micros // silence after which a voter counts as lost
	LeaseRequestInterval   kernel.Micros // between a node's asks
	LeaseSpan              kernel.Micros // from sending the ask
	CoordinatorTimeout     kernel.Micros // after which a zone gets another home
	DeregisterTimeout      kernel.Micros // silence after which a router leaves the register
	NodeExpiryTimeout      kernel.Micros // silence after which a node leaves the directory
	ShuffleInterval        kernel.Micros
	AntiEntropyInterval    kernel.Micros
	TickInterval           kernel.Micros // the grain of all timers; zero: 20 ms
	EngineHeartbeatTimeout kernel.Micros // silence after which an engine that registers itself is dark; zero: never
}

// LeaderLease is how long a confirmed heartbeat round lets a leader act, counted from its sending.
func (t Timing) LeaderLease() kernel.Micros { return 3 * t.MinElectionTimeout / 2 }

// NodeTimeout is how long a node that lives never says nothing, with a margin of one word.
func (t Timing) NodeTimeout() kernel.Micros { return 2 * t.NodeExpiryTimeout / 5 }

// DefaultTiming keeps inside the rules' bounds with margin.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 100 * kernel.Millisecond, MinElectionTimeout: 600 * kernel.Millisecond, MaxElectionTimeout: 1200 * kernel.Millisecond,
		DiskStallTimeout: kernel.Second, DiskRetryInterval: 500 * kernel.Millisecond, ReplaceTimeout: 8 * kernel.Second,
		LeaseRequestInterval: 250 * kernel.Millisecond, LeaseSpan: 1700 * kernel.Millisecond, CoordinatorTimeout: 1500 * kernel.Millisecond,
		DeregisterTimeout: 30 * kernel.Second, NodeExpiryTimeout: 5 * kernel.Second,
		ShuffleInterval: kernel.Second, AntiEntropyInterval: kernel.Second,
	}
}

// SparseTiming is for fleets whose routers outlive the core: nobody stops serving for want
// of a word, so fewer of them will do. Elections and homes take the spans they always take.
func SparseTiming() Timing {
	timing := DefaultTiming()
	timing.HeartbeatInterval, timing.LeaseRequestInterval, timing.ReplaceTimeout = 150*kernel.Millisecond, 500*kernel.Millisecond, 2500*kernel.Millisecond
	timing.ShuffleInterval, timing.AntiEntropyInterval, timing.NodeExpiryTimeout = 5*kernel.Second, 2*kernel.Second, 10*kernel.Second
	timing.TickInterval = 50 * kernel.Millisecond
	return timing
}
