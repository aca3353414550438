package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// A node that lags, because its processor, its link or those of its zone's coordinator are full, may not know of a
// configuration that was acknowledged long ago. Its fence keeps it from serving by a replaced one while it hears that a
// leader leads; see docs/control-safety/config-fence.md. Under strict leases there is none.

// Parts of the deployment's bound, from an acknowledgement to its effect on every node in touch.
const (
	// The rest of the bound is for steady clocks that run at different rates.
	fenceAgeNumerator, fenceAgeDenominator = 19, 20
	// An answer tells that a leader leads if that was proven so recently when it was given.
	freshAnswerNumerator, freshAnswerDenominator = 2, 5
	// Nothing is concluded from the answers before they have come for so long: a node that has just learned of a leader
	// has that time for a round trip.
	answerStreakDivisor = 2
	// Without an answer for so long a node takes itself for cut off.
	answerLapseDivisor = 2
	// A message that waited for longer than this part in the node's own queue shows that the node is late.
	lateMessageDivisor = 6
	// Time in which a node did not listen counts as silence of the leader only beyond so many bounds.
	maxSilenceFactor = 4
)

// minFenceRequests is how many intervals between lease requests the fence leaves the freshness to be renewed in.
const minFenceRequests = 4

// maxListenedTicks is how many ticks an event may be late by before the time counts as not listened.
const maxListenedTicks = 2

// configFence is what a node knows of the age of its configuration, and of whether a leader leads.
type configFence struct {
	bound        kernel.Micros // the deployment's; zero: there is no fence
	maxAge       kernel.Micros // of what a node in touch serves by
	tickInterval kernel.Micros

	eventAt  kernel.Micros // of the last event
	listened kernel.Micros // for how long the node has listened since its start
	isLate   bool          // the newest message waited in the node's own queue
	// The newest fresh answer: when it was handled, and what listened was then. answersSince is when the first of the
	// answers came that have followed one another without a lapse.
	answeredAt       kernel.Micros
	answeredListened kernel.Micros
	answersSince     kernel.Micros

	isClosed  bool          // the last tick found the configuration stale
	changedAt kernel.Micros // when that last changed
	isLasting bool

	voterIndex int // of the voter that is asked next while the fence is closed
}

// newConfigFence makes the fence of a node whose routers outlive the core, open.
func newConfigFence(settings NodeSettings, tickInterval, now kernel.Micros) configFence {
	if settings.ServeExtension < cluster.ServeWithoutLimit || settings.ApplyTimeout <= 0 {
		return configFence{}
	}
	return configFence{
		bound:        settings.ApplyTimeout,
		maxAge:       max(settings.ApplyTimeout*fenceAgeNumerator/fenceAgeDenominator, minFenceRequests*settings.Timing.LeaseRequestInterval),
		tickInterval: tickInterval, eventAt: now, changedAt: now,
	}
}

// advanceListened counts the time since the last event as listened, except for what the node was late by: what a leader said
// meanwhile may still wait here.
func (f *configFence) advanceListened(now kernel.Micros) {
	if !f.isLate {
		f.listened += min(now-f.eventAt, maxListenedTicks*f.tickInterval)
	}
	f.eventAt = now
}

// MessageWaited tells for how long the next message, or an empty queue's next one, has waited in this process.
func (n *Node) MessageWaited(span kernel.Micros) {
	n.fence.isLate = span > n.fence.bound/lateMessageDivisor
}

// hasLapsed tells whether no leader's word came for so long that the node may be cut off, or nobody leads.
func (f *configFence) hasLapsed(now kernel.Micros) bool {
	return f.answeredAt == 0 || f.listened-f.answeredListened > f.bound/answerLapseDivisor || now-f.answeredAt > maxSilenceFactor*f.bound
}

// takeAnswer takes what an answer to a lease request says of the leader. Its age at the time it was given counts, and
// not how long it took: late answers are what the fence is for.
func (f *configFence) takeAnswer(now kernel.Micros, freshness wire.Freshness) {
	if !freshness.IsFresh || freshness.Age > f.bound*freshAnswerNumerator/freshAnswerDenominator {
		return
	}
	if f.hasLapsed(now) {
		f.answersSince = now
	}
	f.answeredAt, f.answeredListened = now, f.listened
}

// hasLeader tells whether a leader leads, as far as this node hears, and has done so for long enough.
func (f *configFence) hasLeader(now kernel.Micros) bool {
	return f.bound > 0 && !f.hasLapsed(now) && f.answeredAt-f.answersSince >= f.bound/answerStreakDivisor
}

// isStale tells whether a configuration may have been replaced for longer than the bound, where freshAt is when it was
// surely the newest.
func (f *configFence) isStale(now, freshAt kernel.Micros) bool {
	return f.hasLeader(now) && now-freshAt >= f.maxAge
}

// ConfigMaxAge is for how long after FreshAt a node that is led may serve; zero: without limit.
func (n *Node) ConfigMaxAge() kernel.Micros { return n.fence.maxAge }

// HasLeader tells, as of the last event, whether this node hears that a leader leads, so that newer configurations may be
// acknowledged. It says nothing where the deployment bounds no spread of configurations.
func (n *Node) HasLeader() bool { return n.fence.hasLeader(n.now) }

// IsConfigLastinglyStale tells whether the fence has been closed for a while; it is that of the last tick, and stays for a
// while after the fence has opened, so that the node's readiness does not flap.
func (n *Node) IsConfigLastinglyStale() bool { return n.fence.isLasting }

// isConfigStale tells whether the fence is closed now.
func (n *Node) isConfigStale() bool { return n.fence.isStale(n.now, n.lease.FreshAt()) }

// tickFence notes that the fence was closed or opened.
func (n *Node) tickFence() {
	f := &n.fence
	if isClosed := n.isConfigStale(); isClosed != f.isClosed {
		f.isClosed, f.changedAt = isClosed, n.now
		if isClosed {
			n.note(decision.Configuration, decision.Stale, fmt.Sprintf(
				"revision %d was last known to be the newest %d ms ago, though a leader leads; callers get 503", n.lease.Revision(), (n.now-n.lease.FreshAt())/kernel.Millisecond))
			n.requests.timer = n.now
		} else {
			n.note(decision.Configuration, decision.Fresh, fmt.Sprintf("revision %d, or nobody leads this node; callers are served", n.lease.Revision()))
		}
	}
	if f.isClosed != f.isLasting && n.now-f.changedAt >= f.bound {
		f.isLasting = f.isClosed
	}
}

// staleRequestInterval is the pause between two lease requests of a node whose fence is closed.
const staleRequestInterval = 250 * kernel.Millisecond

// requestFreshness asks the leader and one voter after another while the fence is closed, and all voters where no leader is
// known: the last word on who leads may be late as well.
func (n *Node) requestFreshness(request wire.RouterLeaseRequest) {
	n.requests.timer = min(n.requests.timer, n.now+staleRequestInterval)
	targets := n.lease.Applied().VoterAddresses()
	if known := n.knownLeader(); known != "" && len(targets) > 0 {
		n.fence.voterIndex++
		targets = []string{known, targets[n.fence.voterIndex%len(targets)]}
	}
	for _, target := range slices.Compact(targets) {
		if target == n.self() && (n.core == nil || n.core.role != leader) {
			continue
		}
		n.send(target, wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{
			Zone: request.Zone, Revision: n.lease.BaseRevision(), Requests: []wire.RouterLeaseRequest{request},
		}})
	}
}
