package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// Lease grants, reads and rejections wait for a heartbeat round that a majority confirms, like Raft's read index.

// roundWaiter is an answer that waits for the confirmation of a heartbeat round.
type roundWaiter interface{ awaitedRound() uint64 }

// pendingBatch is a batch of lease requests that waits for a round that is sent after its arrival.
type pendingBatch struct {
	from  string
	batch *wire.LeaseRequestBatch
	round uint64
}

func (w pendingBatch) awaitedRound() uint64 { return w.round }

// pendingRead is a linearizable read that waits for a round that is sent after its arrival.
type pendingRead struct {
	from    string
	request *wire.ReadRequest
	round   uint64
}

func (w pendingRead) awaitedRound() uint64 { return w.round }

// confirmRounds answers the batches, reads and rejections whose round a majority has confirmed. When that round was
// sent, no later leader could have committed anything newer.
func (c *Core) confirmRounds() {
	if c.role != leader || !c.hasCommittedInTerm {
		return
	}
	c.pendingBatches = answerConfirmed(c, c.pendingBatches, c.grant)
	c.pendingReads = answerConfirmed(c, c.pendingReads, c.answerRead)
	c.pendingRejections = answerConfirmed(c, c.pendingRejections, c.sendRejection)
}

// answerConfirmed answers the waiters whose round a majority has confirmed, and returns the others.
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

// grant answers a batch of lease requests with the newest committed revision and, unless the node should get it from its
// zone coordinator, with the document.
func (c *Core) grant(pending pendingBatch) {
	grant := &wire.LeaseGrantBatch{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Requests: pending.batch.Requests, Freshness: c.freshness()}
	if pending.batch.IsCoordinator || !c.isLeftToCoordinator(pending.batch.Revision) {
		grant.Document = c.pushTransfers.Offer(c.now, pending.from, c.committed, pending.batch.Revision, c.isMemberAt(pending.from))
	}
	c.send(pending.from, wire.Message{LeaseGrantBatch: grant})
}

// onReadRequest queues a linearizable read of the newest committed document. It is answered after the confirmation of a
// round that is sent later, because another leader may already have committed and acknowledged more.
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

// onLeaseRequestBatch records what the nodes of a batch have applied, and answers it with a grant. If routers need the
// grant to serve, it waits for a confirmed round.
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
		// Routers serve without a lease, so this grant only names the leader and the committed revision. That needs no
		// confirmed round.
		c.grant(pendingBatch{from: from, batch: m})
	}
	c.sendDueReplies()
}
