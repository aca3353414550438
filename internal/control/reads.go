package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// Grants and reads, answered after a heartbeat round that a majority confirmed.

// roundWaiter is what waits for the confirmation of a heartbeat round.
type roundWaiter interface{ awaitedRound() uint64 }

// pendingBatch is a batch of lease requests that waits for a round that was sent after it came.
type pendingBatch struct {
	from  string
	batch *wire.LeaseRequestBatch
	round uint64
}

func (w pendingBatch) awaitedRound() uint64 { return w.round }

// pendingRead is a linearizable read that waits for a round that was sent after it came.
type pendingRead struct {
	from    string
	request *wire.ReadRequest
	round   uint64
}

func (w pendingRead) awaitedRound() uint64 { return w.round }

// confirmRounds answers the batches, reads and rejections whose round a majority has confirmed: when
// that round was sent, no later leader could have committed anything newer.
func (c *Core) confirmRounds() {
	if c.role != leader || !c.hasCommittedInTerm {
		return
	}
	c.pendingBatches = answerConfirmed(c, c.pendingBatches, c.grant)
	c.pendingReads = answerConfirmed(c, c.pendingReads, c.answerRead)
	c.pendingRejections = answerConfirmed(c, c.pendingRejections, c.sendRejection)
}

// answerConfirmed answers those whose round a majority has confirmed and gives the others.
func answerConfirmed[W roundWaiter](c *Core, waiters []W, answer func(W)) []W {
	waiting := waiters[:0]
	for _, waiter := range waiters {
		if c.isRoundConfirmed(waiter.awaitedRound()) {
			answer(waiter)
		} else {
			waiting = append(waiting, waiter)
		}
	}
	return waiting
}

// answerRead sends the newest committed document to a reader.
func (c *Core) answerRead(pending pendingRead) {
	c.send(pending.from, wire.Message{ReadResponse: &wire.ReadResponse{Token: pending.request.Token, Document: c.committed.DeltaFor(pending.request.Received)}})
}

// grant answers a batch of lease requests with the newest committed revision and, where it is due, its document.
func (c *Core) grant(pending pendingBatch) {
	grant := &wire.LeaseGrantBatch{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Requests: pending.batch.Requests, Freshness: c.freshness()}
	if pending.batch.IsCoordinator || !c.isLeftToCoordinator(pending.batch.Revision) {
		grant.Document = c.pushTransfers.Offer(c.now, pending.from, c.committed, pending.batch.Revision, c.isMemberAt(pending.from))
	}
	c.send(pending.from, wire.Message{LeaseGrantBatch: grant})
}

// onReadRequest takes a request for the newest committed document. Like a grant it is answered
// after a round that was sent later: until then another may have led and acknowledged more.
func (c *Core) onReadRequest(from string, m *wire.ReadRequest) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	for _, pending := range c.pendingReads {
		if pending.from == from && pending.request.Token == m.Token {
			return
		}
	}
	if len(c.pendingReads) < maxQueue {
		c.pendingReads = append(c.pendingReads, pendingRead{from, m, c.round + 1})
		c.isRoundWanted = true
	}
}

// onLeaseRequestBatch records what the nodes of a batch have applied, and grants after a confirmed round.
func (c *Core) onLeaseRequestBatch(from string, m *wire.LeaseRequestBatch) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	for _, request := range m.Requests {
		old := c.nodeReports[request.Address]
		if old == nil || request.Applied >= old.applied || request.Applied == 0 {
			c.nodeReports[request.Address] = &nodeReport{c.now, request.Applied, request.BaseRevision(), request.Zone, request.IsRouter}
		} else {
			old.reportedAt = c.now
		}
	}
	if m.IsCoordinator {
		c.coordinatorSeenAt[m.Zone] = c.now
	}
	switch {
	case c.settings.ServeExtension < cluster.ServeWithoutLimit:
		c.pendingBatches = append(c.pendingBatches, pendingBatch{from, m, c.round + 1})
		c.isRoundWanted = true
	case c.hasCommittedInTerm:
		// No router depends on this grant to serve: it only names the leader and the committed revision,
		// which needs no round of its own.
		c.grant(pendingBatch{from: from, batch: m})
	}
	c.sendDueReplies()
}
