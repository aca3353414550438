package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Heartbeats, and the commit of a document by a majority of its own voters.

// peer is what a leader knows of another member in the present term.
type peer struct {
	member      cluster.Member
	lastContact kernel.Micros
	round       uint64 // the newest round that it has confirmed
	// confirmedAt is when that round was sent; see hasLeaderLease.
	confirmedAt         kernel.Micros
	synced              cluster.Position // what it has synced, as its present incarnation reported
	acknowledged        cluster.Position // the newest that any of its incarnations reported
	transfer            flowcontrol.Transfer
	incarnation         uint64 // the start identity of its process, as it last said
	isLeaving           bool
	isDiskUnhealthy     bool
	isHistoryIncomplete bool
	lacksConfig         bool // it does not hold the configuration in force
	hasFolder           bool
	joinedAt            kernel.Micros // when it was first heard in this term
	// caughtUpAt is when it last held all that was committed; zero: never in this term.
	caughtUpAt kernel.Micros
}

// updateIncarnation takes the start identity that a member reports. One that was restarted, or silent for longer
// than timeout, has lost what was under way to it; and only a new incarnation may hold less than the last.
func (p *peer) updateIncarnation(now kernel.Micros, incarnation uint64, synced cluster.Position, timeout kernel.Micros) {
	isRestarted := p.incarnation != incarnation
	if isRestarted || now-p.lastContact > timeout {
		p.transfer.Cancel()
	}
	if isRestarted {
		p.incarnation = incarnation
		p.advanceSynced(synced)
	}
}

// isOfEarlierIncarnation tells whether a member sent a late message before its last restart: what it reported
// may be lost since. Start numbers rise with each start unless the clock was set back and the folder could not
// keep the last number; so a smaller one is accepted after the larger was silent for ReplaceTimeout.
func (c *Core) isOfEarlierIncarnation(p *peer, incarnation uint64) bool {
	return incarnation < p.incarnation && c.now-p.lastContact <= c.settings.Timing.ReplaceTimeout
}

// advanceSynced takes what the member reports as synced; acknowledged never falls.
func (p *peer) advanceSynced(synced cluster.Position) {
	p.synced = synced
	if p.acknowledged.Before(synced) {
		p.acknowledged = synced
	}
}

// propose queues the write of a document and replicates it at once, before the own sync. It counts the own copy
// towards the majority only once that is synced; see advanceCommit.
func (c *Core) propose(document *cluster.Document) {
	c.save(document, func() { c.advanceCommit() })
	c.doc = document
	for _, member := range document.Voters {
		if c.peers[member.ID] == nil && member.ID != c.settings.Self.ID {
			c.peers[member.ID] = &peer{member: member, lastContact: c.now, hasFolder: true}
		}
	}
	c.heartbeat()
}

// peerIDs lists the peers in a fixed order: ranging over a map would make runs differ under one seed.
func (c *Core) peerIDs() []cluster.MemberID {
	ids := make([]cluster.MemberID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// heartbeat sends the next round to every peer, with the document where it is due.
func (c *Core) heartbeat() {
	c.round++
	c.recordRound()
	c.isRoundWanted = false
	c.roundTimer = c.now + c.settings.Timing.HeartbeatInterval
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		message := wire.Heartbeat{Term: c.term, Leader: c.settings.Self, Target: id, Round: c.round, Committed: c.committedPosition(), Acknowledged: p.acknowledged, IsReleased: p.isLeaving && c.isSafeToRemove(id)}
		if document := c.documentFor(p); document != nil {
			withDocument := message
			withDocument.Document = document
			c.send(p.member.Address, wire.Message{Heartbeat: &withDocument})
			if document.WireSize() <= flowcontrol.SmallDocumentSize {
				continue
			}
			// The large message may take long, and must not be the only one that shows that this leader is alive.
		}
		c.send(p.member.Address, wire.Message{Heartbeat: &message})
	}
	c.confirmRounds()
}

// committedPosition is what followers may take as committed: only documents of the
// present term count, as storing one of an older term at a majority does not commit it.
func (c *Core) committedPosition() cluster.Position {
	if !c.hasCommittedInTerm {
		return cluster.Position{}
	}
	return c.committed.Position()
}

// onHeartbeat follows the leader of a term that is not behind. A newer term and a newer document are synced
// before the response leaves that confirms them; what is committed comes from the leader alone.
func (c *Core) onHeartbeat(from string, m *wire.Heartbeat) {
	if m.Target != c.settings.Self.ID {
		c.joinAsReplacement(m.Leader.Address)
		return
	}
	reply := &wire.HeartbeatResponse{
		Term: c.term, Round: m.Round, Member: c.settings.Self, Incarnation: c.settings.Incarnation,
		IsLeaving: c.isLeaving, IsDiskUnhealthy: c.DiskFault() != "", IsHistoryIncomplete: c.isHistoryIncomplete(),
	}
	if m.Term < c.term {
		reply.Round, reply.Synced = 0, c.synced
		c.send(from, wire.Message{HeartbeatResponse: reply})
		return
	}
	isNewTerm := m.Term > c.term
	c.adoptTerm(m.Term)
	if c.role != follower {
		c.stepDown("another leads this term")
	}
	c.checkLeader(m.Term, m.Leader.ID)
	if c.leaderMember.ID != m.Leader.ID || isNewTerm {
		c.note(decision.Core, decision.Follow, "%s leads term %d", m.Leader.Address, m.Term)
	}
	c.leaderMember, c.lastHeartbeatAt, c.releasedPosition = m.Leader, c.now, cluster.Position{}
	if m.IsReleased {
		c.releasedPosition = m.Committed
	}
	c.electionTimer = c.now + c.electionTimeout()
	reply.Term = c.term
	c.checkAcknowledgedPosition(m.Acknowledged)
	respond := func() {
		reply.Synced = c.synced
		c.send(from, wire.Message{HeartbeatResponse: reply})
	}
	document := m.Document.WithConfig(c.settings.PatchConfig, c.doc, c.committed)
	reply.LacksConfig = document == nil && m.Document != nil
	isNewer := document != nil && document.Term == m.Term && c.doc.Position().Before(document.Position())
	switch {
	case isNewer:
		c.save(document, respond)
		c.doc = document
		if c.isVoter() {
			c.voterPosition = document.Position()
		}
	case isNewTerm:
		c.save(nil, respond)
	default:
		respond()
	}
	if c.doc != nil && m.Committed.Term == c.term && c.doc.Position() == m.Committed {
		c.commit(c.doc)
	}
}

// onHeartbeatResponse takes a member's confirmation of a round and of what it has synced. A later term ends the
// leadership.
func (c *Core) onHeartbeatResponse(m *wire.HeartbeatResponse) {
	if m.Term > c.term {
		c.adoptTerm(m.Term)
		c.save(nil, nil)
		return
	}
	if c.role != leader || m.Term != c.term {
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil || c.isOfEarlierIncarnation(p, m.Incarnation) {
		return
	}
	p.updateIncarnation(c.now, m.Incarnation, m.Synced, c.settings.Timing.MinElectionTimeout)
	p.lastContact, p.isLeaving, p.isDiskUnhealthy, p.isHistoryIncomplete = c.now, m.IsLeaving, m.IsDiskUnhealthy, m.IsHistoryIncomplete
	p.member.Address = m.Member.Address
	if m.LacksConfig && !p.lacksConfig {
		p.transfer.Cancel()
		p.lacksConfig, c.isRoundWanted = true, true
	}
	c.recordConfirmation(p, m.Round)
	if p.synced.Before(m.Synced) {
		p.advanceSynced(m.Synced)
		p.lacksConfig = p.lacksConfig && p.synced != c.doc.Position()
		if !p.synced.Before(p.transfer.Position) {
			p.transfer.Arrived(c.now)
			// A newer document may have waited for the end of this transfer.
			c.isRoundWanted = c.isRoundWanted || p.synced != c.doc.Position()
		}
	}
	c.advanceCommit()
	c.confirmRounds()
}

// hasVoters tells whether a majority of the voters of the newest accepted document meet a test; this member counts
// if isSelf says so.
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

// advanceCommit commits the newest document once a majority of its own voters has synced it, and then begins the
// next. Only documents of the present term are committed by counting.
func (c *Core) advanceCommit() {
	if c.role != leader {
		return
	}
	newest := c.doc.Position()
	if c.committed.Position() == newest && c.hasCommittedInTerm {
		return
	}
	if !c.hasVoters(c.synced == newest, func(p *peer) bool { return p.synced == newest }) {
		return
	}
	c.hasCommittedInTerm = true
	c.commit(c.doc)
	c.recordCommit()
	c.build()
	if c.settings.AckRule == Disseminated {
		c.isRoundWanted = true
		c.sendDueReplies()
		return
	}
	// Coordinators ask again at once, so that a new revision need not wait for their next request.
	for _, address := range c.coordinators() {
		c.send(address, wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: c.committed.Revision}})
	}
	c.isRoundWanted = true
	c.sendDueReplies()
}

// commit takes a document as committed unless a newer one already is.
func (c *Core) commit(document *cluster.Document) {
	if c.committed != nil && !c.committed.Position().Before(document.Position()) {
		return
	}
	c.committed = document
}
