package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// Under a constant load of operations, each document follows the previous one at once, and a learner that should
// become a voter may never be seen with the newest committed document. In that case operations wait for the learner,
// for a bounded time.

const (
	// maxOperationDelay is how long operations wait for a learner. It is short enough that such an operation is still
	// answered within the second that an operator waits.
	maxOperationDelay = 400 * kernel.Millisecond
	// operationDelayCooldown is how long operations are applied without delay before they may wait again.
	operationDelayCooldown = kernel.Second
)

// delaysOperations reports whether operations now wait until a learner has caught up. It also starts the wait if one is
// due.
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

// isLearnerCatchingUp reports whether there is a learner that should become a voter and lacks only the last few
// documents, that is, it has synced an older document of this term.
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

// hasVacancyFor reports whether a learner would become a voter if it were caught up.
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
