package control

import (
	"slices"

	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Check-quorum: a leader acts only while a majority of voters has confirmed one of its recent
// heartbeat rounds. The lease counts from the sending of that round, on the leader's own steady
// clock. No answer depends on it: reads, rejections and commits each need a majority of their own. It
// bounds for how long a leader that was cut off or frozen goes on leading.

// leaseExpired is why a leader without a lease steps down.
const leaseExpired = "no majority of voters confirmed a recent heartbeat round"

// sentRound is a heartbeat round and when it was sent.
type sentRound struct {
	round  uint64
	sentAt kernel.Micros
}

// recordRound remembers when the present round is sent, and forgets those that are too old for
// their confirmation to extend the lease.
func (c *Core) recordRound() {
	lease := c.settings.Timing.LeaderLease()
	c.sentRounds = slices.DeleteFunc(c.sentRounds, func(sent sentRound) bool { return c.now-sent.sentAt >= lease })
	c.sentRounds = append(c.sentRounds, sentRound{c.round, c.now})
}

// recordConfirmation takes a voter's or learner's confirmation of a round. The lease counts from the sending of
// the round and not from the arrival of its confirmation.
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

// isRoundConfirmed tells whether a majority of voters has confirmed a round, or a later one.
func (c *Core) isRoundConfirmed(round uint64) bool {
	return c.hasVoterMajority(true, func(p *peer) bool { return p.round >= round })
}

// hasLeaderLease tells whether a majority of voters has confirmed a round that was sent recently.
func (c *Core) hasLeaderLease() bool {
	lease := c.settings.Timing.LeaderLease()
	return c.hasVoterMajority(true, func(p *peer) bool { return c.now-p.confirmedAt < lease })
}

// newestProvenAt is the latest moment at which surely no document was committed that this leader does
// not know: when a round was sent that a majority of the voters has confirmed. A later leader needs
// the vote of one of them, after its confirmation.
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

// freshness is how long ago the committed document was proven to be the newest.
func (c *Core) freshness() wire.Freshness {
	provenAt, isKnown := c.newestProvenAt()
	if !isKnown {
		return wire.Freshness{}
	}
	return wire.Freshness{IsFresh: true, Age: max(c.now-provenAt, 0)}
}

// mayAllocate tells whether this member may allocate quotas: a majority has confirmed a round within the
// allocation lease, and this member has led for longer than that lease, so that the one of the leader before has
// ended and no two allocate at the same time. The margin of a tenth is for clocks of different rates.
func (c *Core) mayAllocate(now kernel.Micros) bool {
	c.now = now
	lease := c.settings.Timing.AllocationLease()
	provenAt, isKnown := c.newestProvenAt()
	return isKnown && now-provenAt < lease && now-c.leaderSince >= lease*11/10
}
