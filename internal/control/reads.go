package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
)

// Lease grants, reads and rejections wait until a majority has confirmed a heartbeat round, like Raft's read index.
// Otherwise they could rely on a document that a later leader has already replaced.

// roundWaiter is an answer that waits for the confirmation of a heartbeat round.
type roundWaiter interface{ awaitedRound() uint64 }

// pendingBatch is a batch of lease requests. It is answered once a majority has confirmed a round that was sent after
// the batch arrived.
type pendingBatch struct {
	from  string
	batch *wire.LeaseRequestBatch
	round uint64
}

func (w pendingBatch) awaitedRound() uint64 { return w.round }

// pendingRead is a linearizable read. It is answered once a majority has confirmed a round that was sent after the read
// arrived.
type pendingRead struct {
	from    string
	request *wire.ReadRequest
	round   uint64
}

func (w pendingRead) awaitedRound() uint64 { return w.round }

// confirmRounds answers the batches, reads and rejections whose round a majority has confirmed. The confirmation proves
// that no later leader had committed anything when the round was sent.
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

// grant answers a batch of lease requests with the newest committed revision. It adds the document, unless the sender
// is a single node that should get the document from its zone coordinator.
func (c *Core) grant(pending pendingBatch) {
	grant := &wire.LeaseGrantBatch{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Requests: pending.batch.Requests, Freshness: c.freshness()}
	if pending.batch.IsCoordinator || !c.isLeftToCoordinator(pending.batch.Revision) {
		grant.Document = c.pushTransfers.Offer(c.now, pending.from, c.committed, pending.batch.Revision, c.isMemberAt(pending.from))
	}
	c.send(pending.from, wire.Message{LeaseGrantBatch: grant})
}

// onReadRequest queues a linearizable read of the newest committed document. Another leader may already have committed
// and acknowledged a newer one, so the read is answered only after a majority has confirmed the next heartbeat round. A
// read beyond maxQueue is dropped, and its sender repeats it.
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

// onLeaseRequestBatch records what the nodes of a batch have applied, and answers the batch with a grant. Where routers
// need the grant to serve, the answer waits until a majority has confirmed the next heartbeat round.
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
		// Routers serve without a lease, so the grant permits nothing. It only carries the leader and the committed
		// document, and needs no confirmed round.
		c.grant(pendingBatch{from: from, batch: m})
	}
	c.sendDueReplies()
}
