package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Elections: terms, pre-votes, votes and leadership transfers.

// firstElectionDivisor shortens the first election time-out after a start; NewCore says why.
const firstElectionDivisor = 3

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

// leaderlessTimeout limits the use of short election time-outs to this time after the start of a process; see
// isLeaderless.
const leaderlessTimeout = 2 * kernel.Second

// isLeaderless reports whether this process has just started, and has neither heard a leader nor led itself. Most
// likely the whole fleet is starting and needs an election soon. If there is a leader after all, its voters reject the
// pre-vote, so an early pre-vote costs a few messages and deposes nobody. It is false for a core without a configured
// number of voters.
func (c *Core) isLeaderless() bool {
	return c.settings.Voters > 0 && c.lastHeartbeatAt == 0 && c.role != leader && c.leaderSince == 0 && c.now-c.startedAt < leaderlessTimeout
}

// leaderlessElectionTimeout returns the time until the next pre-vote while isLeaderless is true. It depends on the
// member's index among the voters, so that two voters seldom stand at the same time. A random part separates voters
// whose times would coincide because they started at different times.
func (c *Core) leaderlessElectionTimeout() kernel.Micros {
	low, index := c.settings.Timing.MinElectionTimeout/6, 0
	if c.doc != nil {
		index = max(slices.IndexFunc(c.doc.Voters, func(m cluster.Member) bool { return m.ID == c.settings.Self.ID }), 0)
	}
	return low + kernel.Micros(index)*low/3 + kernel.Micros(c.settings.Random.Int64N(int64(low/2)))
}

// electionTimeout returns a random time between MinElectionTimeout and MaxElectionTimeout.
func (c *Core) electionTimeout() kernel.Micros {
	t := c.settings.Timing
	return t.MinElectionTimeout + kernel.Micros(c.settings.Random.Int64N(int64(t.MaxElectionTimeout-t.MinElectionTimeout)))
}

// adoptTerm moves to a later term, without a vote in it. It does not persist the term: the caller saves it before
// it sends anything that depends on it.
func (c *Core) adoptTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.role != follower {
		c.stepDown(fmt.Sprintf("term %d was seen", term))
	}
	c.term, c.votedFor = term, ""
}

// stepDown makes this member a follower. A leader drops the requests that only a leader may answer. Submissions that
// wait for their acknowledgement or rejection get the outcome Unknown, because a later leader may still commit them.
// Queued submissions, reads and lease requests get no answer, and their senders retry.
func (c *Core) stepDown(reason string) {
	if c.role == leader {
		c.note(decision.Core, decision.StepDown, "term %d: %s", c.term, reason)
		// Only a leader can give a final answer.
		for _, pending := range c.pendingReplies {
			c.send(pending.from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: pending.id, Outcome: cluster.Unknown, Reason: cluster.ReasonLeaderChanged}})
		}
		for _, pending := range c.pendingRejections {
			c.send(pending.from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: pending.reply.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonLeaderChanged}})
		}
		c.pendingReplies, c.pendingBatches, c.queue, c.pendingReads, c.pendingRejections = nil, nil, nil, nil, nil
	}
	c.role = follower
	// This state about the other members is valid for one leadership only.
	c.peers, c.health = nil, nil
	c.electionTimer = c.now + c.electionTimeout()
}

// transferLeadership tells the healthy and reachable voter with the newest synced document to stand for election at
// once, and steps down. If there is no such voter, it only steps down.
func (c *Core) transferLeadership(reason string) {
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := c.doc.Voter(p.member.ID); !isIn || p.isDiskUnhealthy || p.isLeaving || c.now-p.lastContact > c.settings.Timing.MinElectionTimeout {
			continue
		}
		if best == nil || best.synced.Before(p.synced) {
			best = p
		}
	}
	if best != nil {
		c.note(decision.Core, decision.TransferLeadership, "%s, because %s", best.member.Address, reason)
		c.send(best.member.Address, wire.Message{TransferLeadership: &wire.TransferLeadership{Term: c.term, Target: best.member.ID}})
	}
	c.stepDown(reason)
	// This member stands again only after the successor has had time to be elected.
	c.electionTimer = c.now + 2*c.settings.Timing.MaxElectionTimeout
}

// onTransferLeadership starts an election at once, without a pre-vote, if the leader of the current term chose
// this member as its successor.
func (c *Core) onTransferLeadership(m *wire.TransferLeadership) {
	if m.Target == c.settings.Self.ID && m.Term == c.term && c.role == follower {
		c.note(decision.Core, decision.AcceptLeadership, "the leader chose this member as its successor")
		c.startElection(false, true)
	}
}

// startElection starts a pre-vote, which changes neither the term nor the vote, or an election in the next term. A
// member does not stand if its disk fails or its folder has lost a document that it acknowledged. The new term and
// the vote for itself are synced before any vote is requested.
func (c *Core) startElection(isPre, isTransfer bool) {
	if !c.isVoter() || c.DiskFault() != "" || c.synced.Before(c.acknowledged) {
		c.electionTimer = c.now + c.electionTimeout()
		return
	}
	c.electionTimer = c.now + c.electionTimeout()
	if isPre && c.isLeaderless() {
		// The other voters may not have started yet.
		c.electionTimer = c.now + c.leaderlessElectionTimeout()
	}
	c.votes, c.refusals = map[cluster.MemberID]bool{c.settings.Self.ID: true}, map[cluster.MemberID]bool{}
	requestVotes := func() {
		for _, member := range c.doc.Voters {
			if member.ID == c.settings.Self.ID {
				continue
			}
			term := c.term
			if isPre {
				term++
			}
			c.send(member.Address, wire.Message{VoteRequest: &wire.VoteRequest{
				Term: term, IsPreVote: isPre, IsTransfer: isTransfer, Candidate: c.settings.Self, Voter: member.ID, LastPosition: c.synced,
			}})
		}
		c.countVotes()
	}
	if isPre {
		c.role = preCandidate
		requestVotes()
		return
	}
	c.term++
	c.votedFor = c.settings.Self.ID
	c.role = candidate
	term := c.term
	c.note(decision.Core, decision.StartElection, "term %d, holding revision %d", term, c.doc.Revision)
	// This member's vote for itself is counted, and the other votes are requested, only once it is on disk.
	c.save(nil, func() {
		if c.role == candidate && c.term == term {
			requestVotes()
		}
	})
}

// onVoteRequest answers a vote request. A granted vote is synced before its response is sent, and a member votes for
// at most one candidate in a term. A pre-vote is no commitment, so it is not persisted.
func (c *Core) onVoteRequest(from string, m *wire.VoteRequest) {
	if m.Voter != c.settings.Self.ID || !c.settings.HasFolder {
		return
	}
	vote := wire.VoteResponse{Term: m.Term, IsPreVote: m.IsPreVote, Voter: c.settings.Self.ID}
	// A member that has heard a leader recently refuses its vote, so that a candidate that was merely cut off can't
	// depose a working leader. It does not refuse for this reason if the candidate is that leader, or if the leader
	// transfers its leadership.
	hasLeader := c.role == leader || c.now-c.lastHeartbeatAt < c.settings.Timing.MinElectionTimeout && c.leaderMember.ID != m.Candidate.ID
	if c.DiskFault() != "" || c.isCandidateBehind(m.LastPosition) || (hasLeader && !m.IsTransfer) {
		vote.KnownTerm = c.term
		c.send(from, wire.Message{VoteResponse: &vote})
		return
	}
	if m.IsPreVote {
		vote.IsGranted, vote.KnownTerm = m.Term > c.term, c.term
		c.send(from, wire.Message{VoteResponse: &vote})
		return
	}
	c.adoptTerm(m.Term)
	vote.KnownTerm = c.term
	if m.Term < c.term || (c.votedFor != "" && c.votedFor != m.Candidate.ID) || c.role != follower {
		c.send(from, wire.Message{VoteResponse: &vote})
		return
	}
	c.votedFor = m.Candidate.ID
	c.electionTimer = c.now + c.electionTimeout()
	vote.IsGranted = true
	c.save(nil, func() { c.send(from, wire.Message{VoteResponse: &vote}) })
}

// isCandidateBehind reports whether a candidate lacks a document that this member has acknowledged or is about to
// acknowledge. A document that is still being written counts, because its confirmation is sent to the leader once it is
// synced, no matter how this member votes meanwhile.
func (c *Core) isCandidateBehind(newest cluster.Position) bool {
	return newest.Before(c.doc.Position()) || newest.Before(c.acknowledged)
}

// onVoteResponse counts a vote in the current election or pre-vote. If the voter knows a later term, this member moves
// to that term and becomes a follower.
func (c *Core) onVoteResponse(m *wire.VoteResponse) {
	if m.KnownTerm > c.term {
		c.adoptTerm(m.KnownTerm)
		c.save(nil, nil)
		return
	}
	isCurrent := m.IsPreVote && c.role == preCandidate && m.Term == c.term+1 || !m.IsPreVote && c.role == candidate && m.Term == c.term
	if !isCurrent {
		return
	}
	if !m.IsGranted {
		c.refusals[m.Voter] = true
		c.retryLostElection()
		return
	}
	c.votes[m.Voter] = true
	c.countVotes()
}

// retryLostElection lets a candidate stand again soon once too many voters have refused for it to be elected, as after
// a split vote. While it may still be elected, it waits for late votes. This applies only while isLeaderless is true;
// later the usual election time-out applies.
func (c *Core) retryLostElection() {
	if c.role != candidate || !c.isLeaderless() {
		return
	}
	refused := 0
	for _, member := range c.doc.Voters {
		if c.refusals[member.ID] {
			refused++
		}
	}
	if len(c.doc.Voters)-refused <= len(c.doc.Voters)/2 {
		c.electionTimer = min(c.electionTimer, c.now+c.leaderlessElectionTimeout())
	}
}

// countVotes checks whether a majority of the voters of the newest accepted document has voted for this member. A
// successful pre-vote starts the election, and a successful election makes this member the leader.
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
		c.becomeLeader()
	}
}

// becomeLeader starts a leadership with empty leader state, and proposes the newest accepted document again under the
// new term. Until that is committed, no read, lease request or submission is answered.
func (c *Core) becomeLeader() {
	c.role, c.leaderSince, c.health = leader, c.now, nil
	c.peers, c.round, c.sentRounds, c.hasCommittedInTerm = map[cluster.MemberID]*peer{}, 0, nil, false
	c.nodeReports, c.coordinatorSeenAt = map[string]*nodeReport{}, map[string]kernel.Micros{}
	c.coordinatorSuccessors, c.drainingReports = map[string]string{}, nil
	c.committedAt, c.pushUntil, c.dissemination = map[uint64]kernel.Micros{}, 0, Dissemination{}
	for _, member := range c.doc.Voters {
		if member.ID != c.settings.Self.ID {
			lastContact := c.now
			if member.ID == c.leaderMember.ID {
				// The previous leader has been silent since its last heartbeat, so its time-out starts there.
				lastContact = c.lastHeartbeatAt
			}
			c.peers[member.ID] = &peer{member: member, lastContact: lastContact, confirmedAt: c.now, hasFolder: true}
		}
	}
	c.note(decision.Core, decision.BecomeLeader, "term %d, elected by a majority of %d voters", c.term, len(c.doc.Voters))
	// The document may or may not have been committed by an earlier leader. Proposing it again under this term
	// commits it before another document is built on it.
	again := *c.doc
	again.Term = c.term
	c.propose(&again)
}
