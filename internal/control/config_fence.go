package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// A node that lags behind, because its CPU, its network link, or those of its zone's coordinator are saturated, may
// not know of a configuration that was acknowledged long ago. While the node has evidence of an active leader, its
// fence keeps it from serving a configuration that may have been replaced; see docs/control-safety/config-fence.md.
// There is no fence under strict leases.

// Fractions of the deployment's bound on the time from an acknowledgement to its effect on every node in contact.
const (
	// The remainder of the bound allows for clocks that run at different rates.
	fenceAgeNumerator, fenceAgeDenominator = 19, 20
	// An answer is evidence of an active leader if its freshness was at most this fraction of the bound when it was
	// sent.
	freshAnswerNumerator, freshAnswerDenominator = 2, 5
	// No conclusion is drawn from answers before they have arrived for this long without a lapse. A node that has
	// just learned of a leader thus has time for one round trip.
	answerStreakDivisor = 2
	// A node that has received no answer for this long regards itself as disconnected.
	answerLapseDivisor = 2
	// A message that waited longer than this fraction in the node's own queue shows that the node is late.
	lateMessageDivisor = 6
	// Time during which the node did not process messages counts as leader silence only beyond this many bounds.
	maxSilenceFactor = 4
)

// minFenceRequests is the least number of lease request intervals that the fence leaves for renewing the freshness.
const minFenceRequests = 4

// maxListenedTicks limits the time credited between two events. A longer gap means that the node was not processing
// messages during the rest of it.
const maxListenedTicks = 2

// configFence tracks how old a node's configuration may be, and whether a leader is active.
type configFence struct {
	bound        kernel.Micros // the deployment's bound; zero: there is no fence
	maxAge       kernel.Micros // of the configuration that a node in contact serves
	tickInterval kernel.Micros

	eventAt  kernel.Micros // time of the last event
	listened kernel.Micros // how long the node has processed messages since its start
	isLate   bool          // the newest message waited in the node's own queue
	// The newest fresh answer: the time at which it was handled, and the value of listened at that time. answersSince
	// is the time of the first answer in the current run of answers without a lapse.
	answeredAt       kernel.Micros
	answeredListened kernel.Micros
	answersSince     kernel.Micros

	isClosed  bool          // the last tick found the configuration stale
	changedAt kernel.Micros // when isClosed last changed
	isLasting bool          // the last value that isClosed kept for at least bound; see IsConfigLastinglyStale

	voterIndex int // of the voter to query next while the fence is closed
}

// newConfigFence returns an open fence. It has no effect unless routers may serve without a limit while the core is
// unavailable, and the deployment sets a bound.
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

// advanceListened adds the time since the last event to the listened time. It skips the time by which the node was
// late, since messages from a leader may still be waiting in its queue.
func (f *configFence) advanceListened(now kernel.Micros) {
	if !f.isLate {
		f.listened += min(now-f.eventAt, maxListenedTicks*f.tickInterval)
	}
	f.eventAt = now
}

// MessageWaited records how long the next message has waited in this process. An empty queue is reported as zero.
func (n *Node) MessageWaited(span kernel.Micros) {
	n.fence.isLate = span > n.fence.bound/lateMessageDivisor
}

// hasLapsed reports whether no fresh answer has arrived for so long that the node may be disconnected or that there
// may be no leader.
func (f *configFence) hasLapsed(now kernel.Micros) bool {
	return f.answeredAt == 0 || f.listened-f.answeredListened > f.bound/answerLapseDivisor || now-f.answeredAt > maxSilenceFactor*f.bound
}

// recordAnswer records an answer to a lease request if its leader freshness is evidence of an active leader. Only the
// age at the time of sending counts, not the transit time: late answers are the very condition that the fence handles.
func (f *configFence) recordAnswer(now kernel.Micros, freshness wire.Freshness) {
	if !freshness.IsFresh || freshness.Age > f.bound*freshAnswerNumerator/freshAnswerDenominator {
		return
	}
	if f.hasLapsed(now) {
		f.answersSince = now
	}
	f.answeredAt, f.answeredListened = now, f.listened
}

// hasLeader reports whether, as far as this node knows, a leader is active and has been for long enough.
func (f *configFence) hasLeader(now kernel.Micros) bool {
	return f.bound > 0 && !f.hasLapsed(now) && f.answeredAt-f.answersSince >= f.bound/answerStreakDivisor
}

// isStale reports whether the configuration may have been replaced for longer than the bound. freshAt is the last
// time at which it was known to be the newest.
func (f *configFence) isStale(now, freshAt kernel.Micros) bool {
	return f.hasLeader(now) && now-freshAt >= f.maxAge
}

// ConfigMaxAge returns how long after FreshAt a node may serve while a leader is active; zero means without a limit.
func (n *Node) ConfigMaxAge() kernel.Micros { return n.fence.maxAge }

// HasLeader reports whether, as of the last event, this node has evidence of an active leader, so that newer
// configurations may be acknowledged. It is always false where the deployment sets no bound on the propagation of
// configurations.
func (n *Node) HasLeader() bool { return n.fence.hasLeader(n.now) }

// IsConfigLastinglyStale reports whether the fence has been closed for at least the bound. It is updated by each
// tick, and stays true for one bound after the fence has opened, so that the node's readiness does not flap.
func (n *Node) IsConfigLastinglyStale() bool { return n.fence.isLasting }

// isConfigStale reports whether the fence is closed now.
func (n *Node) isConfigStale() bool { return n.fence.isStale(n.now, n.lease.FreshAt()) }

// tickFence records in the journal that the fence was closed or opened.
func (n *Node) tickFence() {
	f := &n.fence
	if isClosed := n.isConfigStale(); isClosed != f.isClosed {
		f.isClosed, f.changedAt = isClosed, n.now
		if isClosed {
			n.note(decision.Configuration, decision.Stale, fmt.Sprintf(
				"revision %d was last known to be the newest %d ms ago while a leader is active; requests are rejected with 503", n.lease.Revision(), (n.now-n.lease.FreshAt())/kernel.Millisecond))
			n.requests.timer = n.now
		} else {
			n.note(decision.Configuration, decision.Fresh, fmt.Sprintf("revision %d is fresh, or no leader is known to be active; requests are served", n.lease.Revision()))
		}
	}
	if f.isClosed != f.isLasting && n.now-f.changedAt >= f.bound {
		f.isLasting = f.isClosed
	}
}

// staleRequestInterval is the pause between two lease requests while the fence is closed.
const staleRequestInterval = 250 * kernel.Millisecond

// requestFreshness queries the leader and one voter, a different one each time, while the fence is closed. It queries
// all voters if no leader is known. The voters are included because the node's information on the leader may be
// outdated as well.
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
