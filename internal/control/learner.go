package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// Under a constant load of operations each document follows the last at once, and a learner that should become
// a voter is never seen with the newest committed one. Then operations wait for it, for a bounded time.

const (
	// operationDelaySpan is how long operations wait for a learner. One that waits so long is still
	// answered within the second that an operator waits.
	operationDelaySpan = 400 * kernel.Millisecond
	// operationDelayPause is how long operations are applied before they wait again.
	operationDelayPause = kernel.Second
)

// delaysOperations tells whether operations wait until a learner has caught up.
func (c *Core) delaysOperations() bool {
	if !c.isLearnerCatchingUp() {
		return false
	}
	if c.now-c.delayStartedAt > operationDelaySpan+operationDelayPause {
		c.delayStartedAt = c.now
		c.note(decision.Core, decision.DelayOperations, "a member that should vote is catching up")
	}
	return c.now-c.delayStartedAt < operationDelaySpan
}

// isLearnerCatchingUp tells whether a member should become a voter and lacks nothing but the last few
// documents: it has synced one of this term.
func (c *Core) isLearnerCatchingUp() bool {
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, votes := c.committed.Voter(id); votes {
			continue
		}
		isUsable := p.hasFolder && !p.isLeaving && !p.isDiskUnhealthy && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		if isUsable && p.synced.Term == c.term && p.synced.Before(c.committed.Position()) && c.hasVacancyFor(p) {
			return true
		}
	}
	return false
}

// hasVacancyFor tells whether a member would become a voter if it were caught up.
func (c *Core) hasVacancyFor(p *peer) bool {
	members := []cluster.Member{p.member}
	for _, voter := range c.committed.Voters {
		if voter.Address == p.member.Address || c.isLost(voter) || c.isMemberLeaving(voter) {
			return true
		}
		members = append(members, voter)
	}
	wanted := voterCount
	if c.settings.Voters > 0 {
		wanted = wantedVoters(c.settings.Voters, members)
	}
	return len(c.committed.Voters) < wanted
}
