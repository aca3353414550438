package control

import (
	"maps"
	"slices"

	"dunlinloom/kernel"
)

// Heartbeats, and the commit of a document by a majority of its own voters.

type peer struct {
	member    Member
	lastHeard kernel.Micros
	lastSent  kernel.Micros // when a document last went to it
	sentDoc   Stamp
	round     uint64 // the newest round that it has confirmed
	// confirmedAt is when that round was sent; see hasLeaderLease.
	confirmedAt kernel.Micros
	synced      Stamp
	isLeaving   bool
	isAiling    bool
	isPartial   bool
	isBare      bool // it does not hold the configuration in force
	hasFolder   bool
	since       kernel.Micros // when it was first heard in this term
	// caughtUpAt is when it last held all that was committed; zero: never in this term.
	caughtUpAt kernel.Micros
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
	newest := c.doc.stamp()
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		message := &Heartbeat{Term: c.term, Leader: c.settings.Self, Target: id, Round: c.round, Committed: c.committedStamp(), IsReleased: p.isLeaving && c.mayEnd(id)}
		// A document is large: it goes again only after a pause without a word of it.
		if p.synced != newest && (p.sentDoc != newest || c.now-p.lastSent > 5*c.settings.Timing.Heartbeat) {
			message.Document, p.sentDoc, p.lastSent = c.doc, newest, c.now
			// Nearly every document keeps the configuration of the one before. A member that has
			// it not says so, and is sent the whole.
			if c.doc.ConfigRevision < c.doc.Revision && !p.isBare {
				message.Document = c.doc.light()
			}
		}
		c.send(p.member.Address, Message{Heartbeat: message})
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
		return
	}
	reply := &HeartbeatReply{Term: c.term, Round: m.Round, Member: c.settings.Self, IsLeaving: c.isLeaving, IsAiling: c.Ailment() != "", IsPartial: c.isPartial()}
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
	if c.leaderMember.ID != m.Leader.ID || isNewTerm {
		c.note("core", "follow", "%s leads term %d", m.Leader.Address, m.Term)
	}
	c.leaderMember, c.lastHeartbeat, c.isReleased = m.Leader, c.now, m.IsReleased
	c.timer = c.now + c.electionSpan()
	reply.Term = c.term
	respond := func() {
		reply.Synced = c.synced
		c.send(from, Message{HeartbeatReply: reply})
	}
	document := m.Document.whole(c.doc, c.committed)
	reply.IsBare = document == nil && m.Document != nil
	isNews := document != nil && document.Term == m.Term && c.doc.stamp().before(document.stamp())
	switch {
	case isNews:
		c.save(document, respond)
		c.doc = document
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
	if p == nil {
		return
	}
	p.lastHeard, p.isLeaving, p.isAiling, p.isPartial = c.now, m.IsLeaving, m.IsAiling, m.IsPartial
	p.member.Address = m.Member.Address
	if m.IsBare && !p.isBare {
		p.isBare, p.sentDoc, c.isRoundWanted = true, Stamp{}, true
	}
	c.takeConfirmation(p, m.Round)
	if p.synced.before(m.Synced) {
		p.synced = m.Synced
		p.isBare = p.isBare && p.synced != c.doc.stamp()
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
	homes := map[string]bool{}
	for _, address := range c.committed.Homes {
		homes[address] = true
	}
	for _, address := range slices.Sorted(maps.Keys(homes)) {
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
