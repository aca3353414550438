package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/kernel"
)

// Terms, pre-votes, votes and the hand-over of the lead.

// firstElection is by how much the first span after a start is shorter than the others.
const firstElection = 3

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// leaderlessTime is how long a life without any word of a leader makes haste.
const leaderlessTime = 2 * kernel.Second

// isLeaderless tells of a life that has just begun and seen no leader: most likely the
// whole fleet starts, and everyone waits for an election. Where a leader lives its voters
// refuse a pre-vote, so haste costs a few messages and unseats nobody.
func (c *Core) isLeaderless() bool {
	return c.settings.Voters > 0 && c.lastHeartbeat == 0 && c.role != leader && c.leadSince == 0 && c.now-c.bornAt < leaderlessTime
}

// leaderlessSpan is the span to the next pre-vote of such a life: by the member's place,
// so that two seldom stand at once, and a random part for those that started apart.
func (c *Core) leaderlessSpan() kernel.Micros {
	low, place := c.settings.Timing.ElectionLow/6, 0
	if c.doc != nil {
		place = max(slices.IndexFunc(c.doc.Voters, func(m Member) bool { return m.ID == c.settings.Self.ID }), 0)
	}
	return low + kernel.Micros(place)*low/3 + kernel.Micros(c.settings.Random.Int64N(int64(low/2)))
}

func (c *Core) electionSpan() kernel.Micros {
	t := c.settings.Timing
	return t.ElectionLow + kernel.Micros(c.settings.Random.Int64N(int64(t.ElectionHigh-t.ElectionLow)))
}

func (c *Core) adoptTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.role != follower {
		c.stepDown(fmt.Sprintf("term %d was seen", term))
	}
	c.term, c.votedFor = term, ""
}

func (c *Core) stepDown(why string) {
	if c.role == leader {
		c.note("core", "step down", "term %d: %s", c.term, why)
		// Whoever waits here can be told nothing final by a leader that is none.
		for _, waiting := range c.replies {
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.id, Outcome: Unproved, Reason: ReasonLeaderChanged}})
		}
		for _, waiting := range c.refusals {
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.reply.ID, Outcome: Unproved, Reason: ReasonLeaderChanged}})
		}
		c.replies, c.batches, c.queue, c.reads, c.refusals = nil, nil, nil, nil, nil
	}
	c.role = follower
	// What this member knew of the others ages from now on.
	c.peers, c.health = nil, nil
	c.timer = c.now + c.electionSpan()
}

// yieldLead names the best successor and steps down.
func (c *Core) yieldLead(why string) {
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := c.doc.voter(p.member.ID); !isIn || p.isAiling || p.isLeaving || c.now-p.lastHeard > c.settings.Timing.ElectionLow {
			continue
		}
		if best == nil || best.synced.before(p.synced) {
			best = p
		}
	}
	if best != nil {
		c.note("core", "name successor", "%s, because %s", best.member.Address, why)
		c.send(best.member.Address, Message{Inherit: &Inherit{c.term, best.member.ID}})
	}
	c.stepDown(why)
	// The successor needs time to be elected before this member stands again.
	c.timer = c.now + 2*c.settings.Timing.ElectionHigh
}

func (c *Core) startElection(isPre, isNamed bool) {
	if !c.isVoter() || c.Ailment() != "" || c.synced.before(c.promised) {
		c.timer = c.now + c.electionSpan()
		return
	}
	c.timer = c.now + c.electionSpan()
	if isPre && c.isLeaderless() {
		// Those that it asks may not have started yet.
		c.timer = c.now + c.leaderlessSpan()
	}
	c.votes = map[MemberID]bool{c.settings.Self.ID: true}
	ask := func() {
		for _, member := range c.doc.Voters {
			if member.ID == c.settings.Self.ID {
				continue
			}
			term := c.term
			if isPre {
				term++
			}
			c.send(member.Address, Message{VoteAsk: &VoteAsk{
				Term: term, IsPre: isPre, IsNamed: isNamed, Candidate: c.settings.Self, Voter: member.ID, Newest: c.synced,
			}})
		}
		c.countVotes()
	}
	if isPre {
		c.role = preCandidate
		ask()
		return
	}
	c.term++
	c.votedFor = c.settings.Self.ID
	c.role = candidate
	term := c.term
	c.note("core", "stand", "term %d, holding revision %d", term, c.doc.Revision)
	// The own vote counts only once it is on disk.
	c.save(nil, func() {
		if c.role == candidate && c.term == term {
			ask()
		}
	})
}

func (c *Core) onVoteAsk(from string, m *VoteAsk) {
	if m.Voter != c.settings.Self.ID || !c.settings.HasFolder {
		return
	}
	vote := Vote{Term: m.Term, IsPre: m.IsPre, Voter: c.settings.Self.ID}
	// A member that heard a leader just now keeps to it, so that one that merely
	// lost touch can't unseat a working leader.
	isLed := c.role == leader || c.now-c.lastHeartbeat < c.settings.Timing.ElectionLow && c.leaderMember.ID != m.Candidate.ID
	if c.Ailment() != "" || c.isBehindThis(m.Newest) || (isLed && !m.IsNamed) {
		vote.Known = c.term
		c.send(from, Message{Vote: &vote})
		return
	}
	if m.IsPre {
		vote.IsGranted, vote.Known = m.Term > c.term, c.term
		c.send(from, Message{Vote: &vote})
		return
	}
	c.adoptTerm(m.Term)
	vote.Known = c.term
	if m.Term < c.term || (c.votedFor != "" && c.votedFor != m.Candidate.ID) || c.role != follower {
		c.send(from, Message{Vote: &vote})
		return
	}
	c.votedFor = m.Candidate.ID
	c.timer = c.now + c.electionSpan()
	vote.IsGranted = true
	c.save(nil, func() { c.send(from, Message{Vote: &vote}) })
}

// isBehindThis tells whether a candidate lacks something that this member has acknowledged or will
// acknowledge: a document that is being written is confirmed to its leader once it is synced,
// whatever this member votes meanwhile.
func (c *Core) isBehindThis(newest Stamp) bool {
	return newest.before(c.doc.stamp()) || newest.before(c.promised)
}

func (c *Core) onVote(m *Vote) {
	if m.Known > c.term {
		c.adoptTerm(m.Known)
		c.save(nil, nil)
		return
	}
	isCurrent := m.IsPre && c.role == preCandidate && m.Term == c.term+1 || !m.IsPre && c.role == candidate && m.Term == c.term
	if !isCurrent || !m.IsGranted {
		return
	}
	c.votes[m.Voter] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	count := 0
	for _, member := range c.doc.Voters {
		if c.votes[member.ID] {
			count++
		}
	}
	if count <= len(c.doc.Voters)/2 {
		return
	}
	switch c.role {
	case preCandidate:
		c.startElection(false, false)
	case candidate:
		c.lead()
	}
}

func (c *Core) lead() {
	c.role, c.leadSince, c.health = leader, c.now, nil
	c.peers, c.round, c.sentRounds, c.isOwnTerm = map[MemberID]*peer{}, 0, nil, false
	c.seen, c.homeSeen = map[string]*sighting{}, map[string]kernel.Micros{}
	c.successors, c.marks = map[string]string{}, nil
	c.committedAt, c.pushUntil = map[uint64]kernel.Micros{}, 0
	for _, member := range c.doc.Voters {
		if member.ID != c.settings.Self.ID {
			heard := c.now
			if member.ID == c.leaderMember.ID {
				// Its silence began before it lost the lead, and need not be waited out from now on.
				heard = c.lastHeartbeat
			}
			c.peers[member.ID] = &peer{member: member, lastHeard: heard, confirmedAt: c.now, hasFolder: true}
		}
	}
	c.note("core", "lead", "term %d, elected by a majority of %d voters", c.term, len(c.doc.Voters))
	// What an earlier leader left may or may not be committed. Proposing it again
	// under this term settles that before anything new is built on it.
	again := *c.doc
	again.Term = c.term
	c.propose(&again)
}
