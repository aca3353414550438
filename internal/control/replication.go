package control

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// Heartbeats, and the commit of a document by a majority of its own voters.

type peer struct {
	member    Member
	lastHeard kernel.Micros
	round     uint64 // the newest round that it has confirmed
	// confirmedAt is when that round was sent; see hasLeaderLease.
	confirmedAt kernel.Micros
	synced      Stamp // what it holds, by its own word in this life
	promised    Stamp // the newest that it ever said to hold
	transfer    transfer
	life        uint64 // the start identity of its process, as it last said
	isLeaving   bool
	isAiling    bool
	isPartial   bool
	isBare      bool // it does not hold the configuration in force
	hasFolder   bool
	since       kernel.Micros // when it was first heard in this term
	// caughtUpAt is when it last held all that was committed; zero: never in this term.
	caughtUpAt kernel.Micros
}

// hear takes a member's word on its life. One that was restarted, or silent for long, has lost what
// was under way to it; and only a new life may hold less than the one before.
func (p *peer) hear(now kernel.Micros, life uint64, synced Stamp, silent kernel.Micros) {
	isRestarted := p.life != life
	if isRestarted || now-p.lastHeard > silent {
		p.transfer.cancel()
	}
	if isRestarted {
		p.life = life
		p.took(synced)
	}
}

// isOfEarlierLife tells of a message that a member sent before its last restart and that comes late: what
// it says to hold may be lost since. Start numbers rise with each start unless the clock was put back and
// the folder could not keep the last number; so a smaller one is believed once the larger is long silent.
func (c *Core) isOfEarlierLife(p *peer, life uint64) bool {
	return life < p.life && c.now-p.lastHeard <= c.settings.Timing.Replace
}

func (p *peer) took(synced Stamp) {
	p.synced = synced
	if p.promised.before(synced) {
		p.promised = synced
	}
}

func (c *Core) propose(document *Document) {
	c.save(document, func() { c.countCommit() })
	c.doc = document
	for _, member := range document.Voters {
		if c.peers[member.ID] == nil && member.ID != c.settings.Self.ID {
			c.peers[member.ID] = &peer{member: member, lastHeard: c.now, hasFolder: true}
		}
	}
	c.heartbeat()
}

// peerIDs in a fixed order: ranging over a map would make runs differ under one seed.
func (c *Core) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) heartbeat() {
	c.round++
	c.noteRound()
	c.isRoundWanted = false
	c.roundTimer = c.now + c.settings.Timing.Heartbeat
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		message := Heartbeat{Term: c.term, Leader: c.settings.Self, Target: id, Round: c.round, Committed: c.committedStamp(), Promised: p.promised, IsReleased: p.isLeaving && c.mayEnd(id)}
		if document := c.documentFor(p); document != nil {
			withDocument := message
			withDocument.Document = document
			c.send(p.member.Address, Message{Heartbeat: &withDocument})
			if document.wireSize() <= smallDocument {
				continue
			}
			// The large message may take long, and must not be the only word of this leader.
		}
		c.send(p.member.Address, Message{Heartbeat: &message})
	}
	c.confirmRounds()
}

// committedStamp is what followers may take as committed: only documents of the
// present term count, as those of older terms are not settled by being stored.
func (c *Core) committedStamp() Stamp {
	if !c.isOwnTerm {
		return Stamp{}
	}
	return c.committed.stamp()
}

func (c *Core) onHeartbeat(from string, m *Heartbeat) {
	if m.Target != c.settings.Self.ID {
		c.succeedAt(m.Leader.Address)
		return
	}
	reply := &HeartbeatReply{
		Term: c.term, Round: m.Round, Member: c.settings.Self, Life: c.settings.Life,
		IsLeaving: c.isLeaving, IsAiling: c.Ailment() != "", IsPartial: c.isPartial(),
	}
	if m.Term < c.term {
		reply.Round, reply.Synced = 0, c.synced
		c.send(from, Message{HeartbeatReply: reply})
		return
	}
	isNewTerm := m.Term > c.term
	c.adoptTerm(m.Term)
	if c.role != follower {
		c.stepDown("another leads this term")
	}
	c.checkLeader(m.Term, m.Leader.ID)
	if c.leaderMember.ID != m.Leader.ID || isNewTerm {
		c.note("core", "follow", "%s leads term %d", m.Leader.Address, m.Term)
	}
	c.leaderMember, c.lastHeartbeat, c.releasedAt = m.Leader, c.now, Stamp{}
	if m.IsReleased {
		c.releasedAt = m.Committed
	}
	c.timer = c.now + c.electionSpan()
	reply.Term = c.term
	c.checkPromise(m.Promised)
	respond := func() {
		reply.Synced = c.synced
		c.send(from, Message{HeartbeatReply: reply})
	}
	document := m.Document.whole(c.settings.ChangeConfig, c.doc, c.committed)
	reply.IsBare = document == nil && m.Document != nil
	isNews := document != nil && document.Term == m.Term && c.doc.stamp().before(document.stamp())
	switch {
	case isNews:
		c.save(document, respond)
		c.doc = document
		if c.isVoter() {
			c.voterAt = document.stamp()
		}
	case isNewTerm:
		c.save(nil, respond)
	default:
		respond()
	}
	if c.doc != nil && m.Committed.Term == c.term && c.doc.stamp() == m.Committed {
		c.commit(c.doc)
	}
}

func (c *Core) onHeartbeatReply(m *HeartbeatReply) {
	if m.Term > c.term {
		c.adoptTerm(m.Term)
		c.save(nil, nil)
		return
	}
	if c.role != leader || m.Term != c.term {
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil || c.isOfEarlierLife(p, m.Life) {
		return
	}
	p.hear(c.now, m.Life, m.Synced, c.settings.Timing.ElectionLow)
	p.lastHeard, p.isLeaving, p.isAiling, p.isPartial = c.now, m.IsLeaving, m.IsAiling, m.IsPartial
	p.member.Address = m.Member.Address
	if m.IsBare && !p.isBare {
		p.transfer.cancel()
		p.isBare, c.isRoundWanted = true, true
	}
	c.takeConfirmation(p, m.Round)
	if p.synced.before(m.Synced) {
		p.took(m.Synced)
		p.isBare = p.isBare && p.synced != c.doc.stamp()
		if !p.synced.before(p.transfer.stamp) {
			p.transfer.arrived(c.now)
			// A newer one may have waited for that.
			c.isRoundWanted = c.isRoundWanted || p.synced != c.doc.stamp()
		}
	}
	c.countCommit()
	c.confirmRounds()
}

// countVoters counts the voters of the newest document that meet a test, this one by isSelf.
func (c *Core) hasVoters(isSelf bool, isMet func(*peer) bool) bool {
	count := 0
	for _, member := range c.doc.Voters {
		if member.ID == c.settings.Self.ID {
			if isSelf {
				count++
			}
		} else if p := c.peers[member.ID]; p != nil && isMet(p) {
			count++
		}
	}
	return count > len(c.doc.Voters)/2
}

func (c *Core) countCommit() {
	if c.role != leader {
		return
	}
	newest := c.doc.stamp()
	if c.committed.stamp() == newest && c.isOwnTerm {
		return
	}
	if !c.hasVoters(c.synced == newest, func(p *peer) bool { return p.synced == newest }) {
		return
	}
	c.isOwnTerm = true
	c.commit(c.doc)
	c.noteCommit()
	c.build()
	if c.settings.AckRule == Spread {
		c.isRoundWanted = true
		c.settleReplies()
		return
	}
	// Homes ask again at once, so that a new revision need not wait for their next turn.
	for _, address := range c.homes() {
		c.send(address, Message{Nudge: &Nudge{c.committed.Revision}})
	}
	c.isRoundWanted = true
	c.settleReplies()
}

func (c *Core) commit(document *Document) {
	if c.committed != nil && !c.committed.stamp().before(document.stamp()) {
		return
	}
	c.committed = document
}
