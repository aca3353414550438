package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// In a planned stop a member hands its duties to other members before its process ends.

// Leave starts a planned stop. This member transfers its leadership, no longer stands for election, and is replaced as
// a voter if another member can take its place. The process may end once isNeeded is false.
func (c *Core) Leave(now kernel.Micros) {
	c.now, c.isLeaving, c.releasedPosition = now, true, cluster.Position{}
	c.note(decision.Core, decision.Leave, "a planned stop was requested")
}

// isNeeded reports whether this member may still hold a committed document that too few others hold. Only the leader
// knows what the others have synced, so the leader releases a leaving member.
func (c *Core) isNeeded() bool {
	_, isCommittedVoter := c.committed.Voter(c.settings.Self.ID)
	// A document that makes this member a voter may be committed without its knowledge, while a later one that drops
	// it is not committed yet.
	mayBeVoter := c.committed.Position().Before(c.voterPosition)
	return (isCommittedVoter || mayBeVoter || c.isVoter()) && !c.isReleased()
}

// isReleased reports whether the leader's release covers every document that this member has accepted. A newer
// document may be committed by this member's acknowledgement, and then too few others may hold it.
func (c *Core) isReleased() bool {
	return c.releasedPosition != cluster.Position{} && !c.releasedPosition.Before(c.doc.Position())
}

// isSafeToRemove reports whether a leaving member may end. It may if it is no longer a voter. It also may if no other
// member can replace it as a voter and enough other voters hold the committed document.
func (c *Core) isSafeToRemove(id cluster.MemberID) bool {
	if !c.hasCommittedInTerm {
		return false
	}
	_, isCommittedVoter := c.committed.Voter(id)
	_, isProposedVoter := c.doc.Voter(id)
	if !isCommittedVoter && !isProposedVoter {
		return true
	}
	return c.knowsLearners() && !c.isReplaceable() && c.isCommittedWithout(id)
}

// knowsLearners reports whether this leader has led for long enough to know the learners. They join again once they miss
// the heartbeats of the previous leader.
func (c *Core) knowsLearners() bool {
	t := c.settings.Timing
	return c.now-c.leaderSince > 2*t.MinElectionTimeout+6*t.HeartbeatInterval
}

// isReplaceable reports whether a leaving voter will be dropped, because there are more voters than configured or a
// learner may take its place.
func (c *Core) isReplaceable() bool {
	least := defaultVoterCount
	if c.settings.Voters > 0 {
		least = c.settings.Voters
	}
	if len(c.committed.Voters) > least {
		return true
	}
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		isUsable := p.hasFolder && !p.isLeaving && !p.isDiskUnhealthy && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout
		if isUsable && !c.committed.HasVoterAt(id, p.member.Address) {
			return true
		}
	}
	return false
}

// isCommittedWithout reports whether enough voters other than id have synced the committed document. Enough is a
// majority of all voters, or all others if they are fewer.
func (c *Core) isCommittedWithout(id cluster.MemberID) bool {
	committed, synced := c.committed.Position(), 0
	for _, member := range c.committed.Voters {
		isSelf := member.ID == c.settings.Self.ID
		switch p := c.peers[member.ID]; {
		case member.ID == id:
		case isSelf && !c.synced.Before(committed), !isSelf && p != nil && !p.synced.Before(committed):
			synced++
		}
	}
	voters := len(c.committed.Voters)
	return synced >= min(voters/2+1, voters-1)
}

// removeExpiredPeers forgets members that are no voters and have been silent for NodeExpiryTimeout, so that no more
// documents are sent to them. A member that comes back joins again.
func (c *Core) removeExpiredPeers() {
	for _, id := range c.peerIDs() {
		_, isCommittedVoter := c.committed.Voter(id)
		_, isProposedVoter := c.doc.Voter(id)
		if !isCommittedVoter && !isProposedVoter && c.now-c.peers[id].lastContact > c.settings.Timing.NodeExpiryTimeout {
			delete(c.peers, id)
		}
	}
}
