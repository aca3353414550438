package control

import "dunlinloom/kernel"

// Check-quorum: a leader acts only while a majority of voters has confirmed one of its recent
// heartbeat rounds. The lease counts from the sending of that round, on the leader's own steady
// clock. No answer rests on it: reads, refusals and commits each need a majority of their own. It
// bounds for how long a leader that was cut off or frozen goes on leading.

// leaseLapsed is why a leader without a lease steps down.
const leaseLapsed = "no majority of voters confirmed a recent heartbeat round"

// sentRound is a heartbeat round and when it was sent.
type sentRound struct {
	round uint64
	at    kernel.Micros
}

// noteRound remembers when the present round is sent, and forgets those that are too old for
// their confirmation to extend the lease.
func (c *Core) noteRound() {
	recent := c.sentRounds[:0]
	for _, sent := range c.sentRounds {
		if c.now-sent.at < c.settings.Timing.leaderLease() {
			recent = append(recent, sent)
		}
	}
	c.sentRounds = append(recent, sentRound{c.round, c.now})
}

// takeConfirmation takes a voter's or standby's confirmation of a round.
func (c *Core) takeConfirmation(p *peer, round uint64) {
	if round <= p.round {
		return
	}
	p.round = round
	for _, sent := range c.sentRounds {
		if sent.round == round {
			p.confirmedAt = sent.at
		}
	}
}

// isRoundConfirmed tells whether a majority of voters has confirmed a round, or a later one.
func (c *Core) isRoundConfirmed(round uint64) bool {
	return c.hasVoters(true, func(p *peer) bool { return p.round >= round })
}

// hasLeaderLease tells whether a majority of voters has confirmed a round that was sent recently.
func (c *Core) hasLeaderLease() bool {
	lease := c.settings.Timing.leaderLease()
	return c.hasVoters(true, func(p *peer) bool { return c.now-p.confirmedAt < lease })
}
