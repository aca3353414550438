package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// A learner becomes a voter only while it holds the newest committed document. Under a constant load of operations,
// each document follows the previous one at once, and the leader may never see the learner in that state. In that case
// operations wait for the learner, for a bounded time.

const (
	// maxOperationDelay is how long operations wait for a learner. An operator waits a second for the answer, and a
	// delayed operation should still be answered within that time.
	maxOperationDelay = 400 * kernel.Millisecond
	// operationDelayCooldown is how long operations are applied without delay before they may wait again.
	operationDelayCooldown = kernel.Second
)

// delaysOperations reports whether operations now wait until a learner has caught up. It also starts a new wait if a
// learner is catching up and the cooldown after the last wait is over.
func (c *Core) delaysOperations() bool {
	if !c.isLearnerCatchingUp() {
		return false
	}
	if c.now-c.delayStartedAt > maxOperationDelay+operationDelayCooldown {
		c.delayStartedAt = c.now
		c.note(decision.Core, decision.DelayOperations, "operations wait for a learner that should become a voter to catch up")
	}
	return c.now-c.delayStartedAt < maxOperationDelay
}

// isLearnerCatchingUp reports whether a learner that should become a voter lacks only the last few documents. That is
// assumed if it has synced an older document of this term.
func (c *Core) isLearnerCatchingUp() bool {
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isCommittedVoter := c.committed.Voter(id); isCommittedVoter {
			continue
		}
		isUsable := p.hasFolder && !p.isLeaving && !p.isDiskUnhealthy && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		if isUsable && p.synced.Term == c.term && p.synced.Before(c.committed.Position()) && c.hasVacancyFor(p) {
			return true
		}
	}
	return false
}

// hasVacancyFor reports whether a learner, once caught up, would become a voter: there are fewer voters than wanted, or
// a voter is lost, leaving, or replaced by this learner at its address.
func (c *Core) hasVacancyFor(p *peer) bool {
	members := []cluster.Member{p.member}
	for _, voter := range c.committed.Voters {
		if voter.Address == p.member.Address || c.isLost(voter) || c.isMemberLeaving(voter) {
			return true
		}
		members = append(members, voter)
	}
	wanted := defaultVoterCount
	if c.settings.Voters > 0 {
		wanted = wantedVoters(c.settings.Voters, members)
	}
	return len(c.committed.Voters) < wanted
}
