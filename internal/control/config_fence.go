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

// Fractions and multiples of the deployment's bound; see NodeSettings.ApplyTimeout.
const (
	// A configuration is served for up to this fraction of the bound after it was last known to be the newest. The
	// remainder allows for clocks that run at different rates.
	fenceAgeNumerator, fenceAgeDenominator = 19, 20
	// An answer is evidence of an active leader if the document was proven to be the newest at most this fraction of
	// the bound before the answer was sent.
	freshAnswerNumerator, freshAnswerDenominator = 2, 5
	// Answers show that a leader is active once they have arrived for bound/answerStreakDivisor without a lapse. A
	// node that has just learned of a leader thus has time for one round trip.
	answerStreakDivisor = 2
	// A node that has processed messages for bound/answerLapseDivisor without an answer regards itself as disconnected.
	answerLapseDivisor = 2
	// A node is late if a message has waited in its own queue for longer than bound/lateMessageDivisor.
	lateMessageDivisor = 6
	// A node that processes no messages does not count the time towards a lapse. After maxSilenceFactor bounds without
	// an answer it regards itself as disconnected nevertheless.
	maxSilenceFactor = 4
)

// minFenceRequests is the least age, in lease request intervals, at which a configuration counts as stale. Within this
// time a node can renew the freshness of its configuration.
const minFenceRequests = 4

// maxListenedTicks limits the time credited between two events. A longer gap means that the node was not processing
// messages during the rest of it.
const maxListenedTicks = 2

// configFence tracks how old a node's configuration may be, and whether a leader is active.
type configFence struct {
	bound        kernel.Micros // the deployment's bound; zero: there is no fence
	maxAge       kernel.Micros // the age from which a configuration counts as stale while a leader is active
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

// newConfigFence returns an open fence. The fence never closes if routers need leases, that is, unless ServeExtension
// is ServeWithoutLimit. It never closes either if the deployment sets no ApplyTimeout.
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

// advanceListened adds the time since the last event to the listened time. It adds nothing while the node is late,
// since messages from a leader may still be waiting in its queue.
func (f *configFence) advanceListened(now kernel.Micros) {
	if !f.isLate {
		f.listened += min(now-f.eventAt, maxListenedTicks*f.tickInterval)
	}
	f.eventAt = now
}

// MessageWaited records how long the next message has waited in the queue of this process. The caller reports an empty
// queue as zero.
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

// isStale reports whether a leader is active and the configuration was last known to be the newest at least maxAge ago,
// at freshAt. A newer one may then have been acknowledged for nearly the bound.
func (f *configFence) isStale(now, freshAt kernel.Micros) bool {
	return f.hasLeader(now) && now-freshAt >= f.maxAge
}

// ConfigMaxAge returns how long a node may serve a configuration after the last time at which it was known to be the
// newest, while a leader is active. Zero means that there is no fence.
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

// tickFence closes or opens the fence and records that in the journal. When the fence closes, a lease request is due at
// once.
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
