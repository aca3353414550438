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

// isNeeded reports whether this member's process must not end yet, because it may hold a committed document that too
// few other members hold. Only the leader knows what the others have synced. So a voter is needed until the leader
// allows it to end; see isReleased.
func (c *Core) isNeeded() bool {
	_, isCommittedVoter := c.committed.Voter(c.settings.Self.ID)
	// This member may have accepted a document that makes it a voter and then one that drops it. It may not know yet
	// that the first one is committed, and the second one may not be committed.
	mayBeVoter := c.committed.Position().Before(c.voterPosition)
	return (isCommittedVoter || mayBeVoter || c.isVoter()) && !c.isReleased()
}

// isReleased reports whether the leader's last heartbeat allowed this leaving member to end, and this member has
// accepted no document newer than the committed one that the heartbeat named. The acknowledgement of a newer document
// may be needed for the majority that commits it. If the member ended then, too few others might hold that document.
func (c *Core) isReleased() bool {
	return c.releasedPosition != cluster.Position{} && !c.releasedPosition.Before(c.doc.Position())
}

// isSafeToRemove reports whether the leader may allow a leaving member to end. It may if the member is no longer a
// voter. It also may if no other member can replace it as a voter and enough other voters hold the committed document.
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

// knowsLearners reports whether this leader has led for long enough to know the learners. A new leader knows none; they
// join again once they miss the heartbeats of the previous leader.
func (c *Core) knowsLearners() bool {
	t := c.settings.Timing
	return c.now-c.leaderSince > 2*t.MinElectionTimeout+6*t.HeartbeatInterval
}

// isReplaceable reports whether a leaving voter will be dropped from the voters. That is so if there are more voters
// than the least number, or if a live member that is no voter may take its place.
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

// isCommittedWithout reports whether enough voters other than the one with this id have synced the committed document.
// Enough are a majority of all voters, or all other voters if these are fewer.
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
