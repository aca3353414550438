package control

import "dunlinloom/internal/kernel"

// Timing holds every span of the control plane.
type Timing struct {
	Heartbeat    kernel.Micros // between a leader's heartbeats
	ElectionLow  kernel.Micros // an election starts this long after the last heartbeat,
	ElectionHigh kernel.Micros // at the latest
	DiskStall    kernel.Micros // a write that takes longer is a stalled disk
	DiskRetry    kernel.Micros
	Replace      kernel.Micros // silence after which a voter counts as lost
	Ask          kernel.Micros // between a node's asks
	Lease        kernel.Micros // from sending the ask
	HomeSilent   kernel.Micros // after which a zone gets another home
	Strike       kernel.Micros // silence after which a router leaves the register
	NodeGone     kernel.Micros // silence after which a node leaves the directory
	Shuffle      kernel.Micros
	Mend         kernel.Micros
	Tick         kernel.Micros // the grain of all timers; zero: 20 ms
	BeatGone     kernel.Micros // silence after which an engine that registers itself is dark; zero: never
}

// leaderLease is how long a confirmed heartbeat round lets a leader act, counted from its sending.
func (t Timing) leaderLease() kernel.Micros { return 3 * t.ElectionLow / 2 }

// nodeSilent is how long a node that lives never says nothing, with a margin of one word.
func (t Timing) nodeSilent() kernel.Micros { return 2 * t.NodeGone / 5 }

// DefaultTiming keeps inside the rules' bounds with margin.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 100 * kernel.Millisecond, ElectionLow: 600 * kernel.Millisecond, ElectionHigh: 1200 * kernel.Millisecond,
		DiskStall: kernel.Second, DiskRetry: 500 * kernel.Millisecond, Replace: 8 * kernel.Second,
		Ask: 250 * kernel.Millisecond, Lease: 1700 * kernel.Millisecond, HomeSilent: 1500 * kernel.Millisecond,
		Strike: 30 * kernel.Second, NodeGone: 5 * kernel.Second,
		Shuffle: kernel.Second, Mend: kernel.Second,
	}
}

// SparseTiming is for fleets whose routers outlive the core: nobody stops serving for want
// of a word, so fewer of them will do. Elections and homes take the spans they always take.
func SparseTiming() Timing {
	timing := DefaultTiming()
	timing.Heartbeat, timing.Ask, timing.Replace = 150*kernel.Millisecond, 500*kernel.Millisecond, 2500*kernel.Millisecond
	timing.Shuffle, timing.Mend, timing.NodeGone = 5*kernel.Second, 2*kernel.Second, 10*kernel.Second
	timing.Tick = 50 * kernel.Millisecond
	return timing
}
