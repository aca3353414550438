package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// A planned stop: what a member transfers to others before its process ends.

// Leave begins a planned stop: this member transfers its leadership, stands for no election, and is replaced as
// a voter where another member can take its place. isNeeded tells when the process may end.
func (c *Core) Leave(now kernel.Micros) {
	c.now, c.isLeaving, c.releasedPosition = now, true, cluster.Position{}
	c.note(decision.Core, decision.Leave, "a planned stop was asked for")
}

// isNeeded tells whether this member may still hold what too few others hold. Only the leader
// knows what the others have synced, so it is the leader that releases a leaving member.
func (c *Core) isNeeded() bool {
	_, votes := c.committed.Voter(c.settings.Self.ID)
	// A document that makes it a voter may be committed without its knowing, and one that drops it not yet.
	mayVote := c.committed.Position().Before(c.voterPosition)
	return (votes || mayVote || c.isVoter()) && !c.isReleased()
}

// isReleased tells whether the leader's release covers all that this member has accepted. A newer
// document may be committed by this member's word on it, and then too few others may hold that one.
func (c *Core) isReleased() bool {
	return c.releasedPosition != cluster.Position{} && !c.releasedPosition.Before(c.doc.Position())
}

// isSafeToRemove tells whether a leaving member may end: it votes no more, or it will go on voting for
// want of another member and enough of the others hold what is committed.
func (c *Core) isSafeToRemove(id cluster.MemberID) bool {
	if !c.hasCommittedInTerm {
		return false
	}
	_, votes := c.committed.Voter(id)
	_, willVote := c.doc.Voter(id)
	if !votes && !willVote {
		return true
	}
	return c.knowsLearners() && !c.isReplaceable() && c.isCommittedWithout(id)
}

// knowsLearners tells whether this leader has led for long enough to know the learners: they
// join once they miss the heartbeats of the last leader.
func (c *Core) knowsLearners() bool {
	t := c.settings.Timing
	return c.now-c.leaderSince > 2*t.MinElectionTimeout+6*t.HeartbeatInterval
}

// isReplaceable tells whether a voter that leaves will be dropped: there are more than are
// asked for, or a learner may take its place.
func (c *Core) isReplaceable() bool {
	least := voterCount
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

// isCommittedWithout tells whether a majority of the voters, or all others where these are fewer,
// has synced the committed document without counting one of them.
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

// removeExpiredPeers forgets members that neither vote nor were heard for long: a folder that is
// gone is sent no more documents. One that comes back joins anew.
func (c *Core) removeExpiredPeers() {
	for _, id := range c.peerIDs() {
		_, votes := c.committed.Voter(id)
		_, willVote := c.doc.Voter(id)
		if !votes && !willVote && c.now-c.peers[id].lastContact > c.settings.Timing.NodeExpiryTimeout {
			delete(c.peers, id)
		}
	}
}
