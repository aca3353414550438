package control

import (
	"slices"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The leader lease is what Raft implementations call check-quorum. A leader acts only while a majority of the voters
// has confirmed one of its recent heartbeat rounds. The lease starts when that round was sent, on the leader's own
// monotonic clock. It limits how long a leader that was cut off or frozen goes on leading. No answer depends on it:
// reads, rejections and commits each need a confirmation by a majority of their own.

// leaseExpired is the reason that a leader without a lease gives in the journal when it steps down.
const leaseExpired = "no majority of voters confirmed a recent heartbeat round"

// sentRound is a heartbeat round and the time when it was sent.
type sentRound struct {
	round  uint64
	sentAt kernel.Micros
}

// recordRound records that the current round is sent now, and forgets rounds that are too old to extend the lease.
func (c *Core) recordRound() {
	lease := c.settings.Timing.LeaderLease()
	c.sentRounds = slices.DeleteFunc(c.sentRounds, func(sent sentRound) bool { return c.now-sent.sentAt >= lease })
	c.sentRounds = append(c.sentRounds, sentRound{c.round, c.now})
}

// recordConfirmation records that a voter or learner confirmed a round. The lease starts when the round was sent, not
// when its confirmation arrived.
func (c *Core) recordConfirmation(p *peer, round uint64) {
	if round <= p.round {
		return
	}
	p.round = round
	for _, sent := range c.sentRounds {
		if sent.round == round {
			p.confirmedAt = sent.sentAt
		}
	}
}

// isRoundConfirmed reports whether a majority of the voters has confirmed a round or a later one.
func (c *Core) isRoundConfirmed(round uint64) bool {
	return c.hasVoterMajority(true, func(p *peer) bool { return p.round >= round })
}

// hasLeaderLease reports whether a majority of the voters has confirmed rounds that were sent within the lease.
func (c *Core) hasLeaderLease() bool {
	lease := c.settings.Timing.LeaderLease()
	return c.hasVoterMajority(true, func(p *peer) bool { return c.now-p.confirmedAt < lease })
}

// newestProvenAt returns the latest time at which this leader certainly knew every committed document. That is the time
// at which it sent the newest round that a majority of the voters has confirmed. A later leader needs the vote of one
// of these voters, and gets it only after that voter's confirmation. isKnown is false if this member does not lead, has
// committed no document in its term, or lacks such a majority.
func (c *Core) newestProvenAt() (provenAt kernel.Micros, isKnown bool) {
	if c.role != leader || !c.hasCommittedInTerm {
		return 0, false
	}
	confirmations := []kernel.Micros{}
	for _, member := range c.doc.Voters {
		if member.ID == c.settings.Self.ID {
			confirmations = append(confirmations, c.now)
		} else if p := c.peers[member.ID]; p != nil && p.confirmedAt > 0 {
			confirmations = append(confirmations, p.confirmedAt)
		}
	}
	majority := len(c.doc.Voters)/2 + 1
	if len(confirmations) < majority {
		return 0, false
	}
	slices.Sort(confirmations)
	return confirmations[len(confirmations)-majority], true
}

// freshness returns how long ago the committed document was proven to be the newest, if it ever was in this term.
func (c *Core) freshness() wire.Freshness {
	provenAt, isKnown := c.newestProvenAt()
	if !isKnown {
		return wire.Freshness{}
	}
	return wire.Freshness{IsFresh: true, Age: max(c.now-provenAt, 0)}
}

// mayAllocate reports whether this member may allocate quotas. A majority must have confirmed a round that was sent
// within the allocation lease. This member must also have led for a tenth longer than that lease. The lease of the
// previous leader has then ended, so that no two members allocate at the same time. The tenth covers different clock
// rates.
func (c *Core) mayAllocate(now kernel.Micros) bool {
	c.now = now
	lease := c.settings.Timing.AllocationLease()
	provenAt, isKnown := c.newestProvenAt()
	return isKnown && now-provenAt < lease && now-c.leaderSince >= lease*11/10
}
