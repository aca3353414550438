package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Replication: heartbeats carry the document, and a majority of the document's own voters commits it.

// peer is what a leader knows of another member in the current term.
type peer struct {
	member      cluster.Member
	lastContact kernel.Micros
	round       uint64 // newest heartbeat round that it has confirmed
	// confirmedAt is when that round was sent; see hasLeaderLease.
	confirmedAt         kernel.Micros
	synced              cluster.Position // the newest document that its current incarnation reported as synced
	acknowledged        cluster.Position // the newest document that any of its incarnations reported as synced
	transfer            flowcontrol.Transfer
	incarnation         uint64 // the start identity of its process, as last reported
	isLeaving           bool
	isDiskUnhealthy     bool
	isHistoryIncomplete bool
	lacksConfig         bool // it does not hold the configuration in force
	hasFolder           bool
	joinedAt            kernel.Micros // when it joined as a learner in this term
	// caughtUpAt is when it was last known to hold the newest committed document; zero: never in this term.
	caughtUpAt kernel.Micros
}

// updateIncarnation records the start identity that a member reports. If the member was restarted, or was silent for
// longer than timeout, the transfer to it counts as lost. Only a new incarnation may have synced less than the previous
// one.
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

// isOfEarlierIncarnation reports whether a message with this start number was sent before the member's last restart.
// The documents that such a message reports as synced may have been lost since. Start numbers rise with each start,
// unless the clock was set back and the folder could not keep the last number. So a smaller number is accepted once the
// member with the larger one has been silent for longer than ReplaceTimeout.
func (c *Core) isOfEarlierIncarnation(p *peer, incarnation uint64) bool {
	return incarnation < p.incarnation && c.now-p.lastContact <= c.settings.Timing.ReplaceTimeout
}

// advanceSynced records what the member reports as synced. Unlike synced, acknowledged never decreases.
func (p *peer) advanceSynced(synced cluster.Position) {
	p.synced = synced
	if p.acknowledged.Before(synced) {
		p.acknowledged = synced
	}
}

// propose queues the write of a document to this member's disk and replicates the document at once, without waiting for
// the write. This member's copy counts towards the majority only once it is synced; see advanceCommit.
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

// peerIDs returns the sorted ids of the peers. Ranging over the map instead would make simulations of one seed differ.
func (c *Core) peerIDs() []cluster.MemberID {
	ids := make([]cluster.MemberID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// heartbeat sends the next round to every peer, with the document to each peer that needs it.
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
			// A large message may take long, so a heartbeat without the document follows to show that this leader is
			// alive.
		}
		c.send(p.member.Address, wire.Message{Heartbeat: &message})
	}
	c.confirmRounds()
}

// committedPosition returns the position that followers may take as committed. It is zero until a document of the
// current term is committed: as in Raft, a document of an older term is not committed by being stored on a majority.
func (c *Core) committedPosition() cluster.Position {
	if !c.hasCommittedInTerm {
		return cluster.Position{}
	}
	return c.committed.Position()
}

// onHeartbeat follows the leader of the current or a newer term. It syncs a new term or document to disk before it
// sends the response that confirms it. A document counts as committed only if the leader says so.
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
		c.stepDown("another member leads this term")
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

// onHeartbeatResponse records which round a member has confirmed and which document it has synced. A response with a
// later term ends the leadership.
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
			// A newer document may have had to wait until this transfer was complete.
			c.isRoundWanted = c.isRoundWanted || p.synced != c.doc.Position()
		}
	}
	c.advanceCommit()
	c.confirmRounds()
}

// hasVoterMajority reports whether isMet holds for a majority of the voters of the newest accepted document. If this
// member is a voter, it counts exactly if countsSelf is set.
func (c *Core) hasVoterMajority(countsSelf bool, isMet func(*peer) bool) bool {
	count := 0
	for _, member := range c.doc.Voters {
		if member.ID == c.settings.Self.ID {
			if countsSelf {
				count++
			}
		} else if p := c.peers[member.ID]; p != nil && isMet(p) {
			count++
		}
	}
	return count > len(c.doc.Voters)/2
}

// advanceCommit commits the newest document once a majority of that document's voters has synced it, and then builds
// the next one. Only a document of the current term is committed in this way.
func (c *Core) advanceCommit() {
	if c.role != leader {
		return
	}
	newest := c.doc.Position()
	if c.committed.Position() == newest && c.hasCommittedInTerm {
		return
	}
	if !c.hasVoterMajority(c.synced == newest, func(p *peer) bool { return p.synced == newest }) {
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
	// The notice lets the coordinators request a grant at once. Otherwise the new revision would reach them only with
	// their next regular request.
	for _, address := range c.coordinators() {
		c.send(address, wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: c.committed.Revision}})
	}
	c.isRoundWanted = true
	c.sendDueReplies()
}

// commit marks a document as committed, unless the same or a newer one already is.
func (c *Core) commit(document *cluster.Document) {
	if c.committed != nil && !c.committed.Position().Before(document.Position()) {
		return
	}
	c.committed = document
}
