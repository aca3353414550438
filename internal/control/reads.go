package control

// Grants and reads, answered after a heartbeat round that a majority confirmed.

// roundWaiter is what waits for the confirmation of a heartbeat round.
type roundWaiter interface{ awaitedRound() uint64 }

type waitingBatch struct {
	from  string
	batch *AskBatch
	round uint64
}

func (w waitingBatch) awaitedRound() uint64 { return w.round }

// waitingRead is a newest read that waits for a round that was sent after it came.
type waitingRead struct {
	from  string
	ask   *ReadAsk
	round uint64
}

func (w waitingRead) awaitedRound() uint64 { return w.round }

// confirmRounds answers the batches, reads and refusals whose round a majority has confirmed: when
// that round was sent, no later leader could have committed anything newer.
func (c *Core) confirmRounds() {
	if c.role != leader || !c.isOwnTerm {
		return
	}
	c.batches = answerConfirmed(c, c.batches, c.grant)
	c.reads = answerConfirmed(c, c.reads, c.answerRead)
	c.refusals = answerConfirmed(c, c.refusals, c.sendRefusal)
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

func (c *Core) answerRead(waiting waitingRead) {
	c.send(waiting.from, Message{ReadReply: &ReadReply{waiting.ask.Token, c.committed.lightFor(waiting.ask.Held)}})
}

func (c *Core) grant(waiting waitingBatch) {
	grant := &GrantBatch{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Asks: waiting.batch.Asks, Freshness: c.freshness()}
	if waiting.batch.IsHome || !c.isLeftToHome(waiting.batch.Revision) {
		grant.Document = c.pushed.offer(c.now, waiting.from, c.committed, waiting.batch.Revision, c.isMemberAt(waiting.from))
	}
	c.send(waiting.from, Message{GrantBatch: grant})
}

// onReadAsk takes an ask for the newest committed document. Like a grant it is answered
// after a round that was sent later: until then another may have led and acknowledged more.
func (c *Core) onReadAsk(from string, m *ReadAsk) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	for _, waiting := range c.reads {
		if waiting.from == from && waiting.ask.Token == m.Token {
			return
		}
	}
	if len(c.reads) < maxQueue {
		c.reads = append(c.reads, waitingRead{from, m, c.round + 1})
		c.isRoundWanted = true
	}
}

func (c *Core) onAskBatch(from string, m *AskBatch) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	for _, ask := range m.Asks {
		old := c.seen[ask.Address]
		if old == nil || ask.Applied >= old.applied || ask.Applied == 0 {
			c.seen[ask.Address] = &sighting{c.now, ask.Applied, ask.holds(), ask.Zone, ask.IsRouter}
		} else {
			old.at = c.now
		}
	}
	if m.IsHome {
		c.homeSeen[m.Zone] = c.now
	}
	switch {
	case c.settings.ServeOn < ServeOnAlways:
		c.batches = append(c.batches, waitingBatch{from, m, c.round + 1})
		c.isRoundWanted = true
	case c.isOwnTerm:
		// Nobody serves by this grant: it says who leads and what is committed, and that
		// needs no round of its own.
		c.grant(waitingBatch{from: from, batch: m})
	}
	c.settleReplies()
}
