package control

import (
	"errors"
	"fmt"
	"slices"
)

// Operators' orders: taken, applied one a document, acknowledged or rejected.

type waitingSubmit struct {
	from     string
	id       string
	revision uint64
	isFence  bool // the asker wants the id fenced
	isFenced bool // the id is fenced at that revision
}

// waitingRefusal is a refusal that waits for a round that was sent after it was judged.
type waitingRefusal struct {
	from  string
	reply SubmitReply
	round uint64
}

func (w waitingRefusal) awaitedRound() uint64 { return w.round }

type heldSubmit struct {
	from   string
	submit *Submit
}

// maxQueue bounds the orders a leader holds; more are told to come back.
const maxQueue = 1024

func (c *Core) onSubmit(from string, m *Submit) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	if len(c.queue) >= maxQueue {
		c.send(from, Message{SubmitReply: &SubmitReply{ID: m.ID, Outcome: Unproved, Reason: ReasonBusy}})
		return
	}
	// The sender repeats itself until it hears; one copy in the queue is enough.
	for _, held := range c.queue {
		if held.submit.ID == m.ID && held.submit.Order == m.Order && held.from == from {
			return
		}
	}
	for _, waiting := range c.replies {
		if waiting.id == m.ID && waiting.from == from && waiting.isFence == (m.Order == Fence) {
			return
		}
	}
	for _, waiting := range c.refusals {
		if waiting.reply.ID == m.ID && waiting.from == from {
			return
		}
	}
	c.queue = append(c.queue, heldSubmit{from, m})
	c.build()
}

// refuse prepares a final no. It was judged on the document committed here, and another member may
// lead and have committed a newer one, so it goes out only once a majority has confirmed a
// heartbeat round that is sent later; see confirmRounds.
func (c *Core) refuse(to string, m *Submit, reason, why string, args ...any) {
	detail := fmt.Sprintf(why, args...)
	reply := SubmitReply{ID: m.ID, Outcome: No, Reason: reason, Detail: detail}
	c.refusals = append(c.refusals, waitingRefusal{to, reply, c.round + 1})
	c.isRoundWanted = true
}

func (c *Core) sendRefusal(refusal waitingRefusal) {
	reply := refusal.reply
	c.note("submission "+reply.ID, "decline", "%s: %s", reply.Reason, reply.Detail)
	c.send(refusal.from, Message{SubmitReply: &reply})
}

// leaveUnclear answers an order that may be one of those that the document has forgotten: it may
// have been taken long ago, so it is neither acknowledged nor refused.
func (c *Core) leaveUnclear(to string, m *Submit) {
	c.note("submission "+m.ID, "leave unclear", "it builds on a state older than the oldest submission remembered")
	c.send(to, Message{SubmitReply: &SubmitReply{ID: m.ID, Outcome: Unproved, Reason: ReasonForgotten,
		Detail: "it builds on a state so old that the core can't tell any more whether it was taken"}})
}

// order applies one submission to the next document; false when nothing has to change.
func (c *Core) order(next *Document, held heldSubmit) bool {
	m := held.submit
	wait := func(revision uint64, isFenced bool) {
		c.replies = append(c.replies, waitingSubmit{held.from, m.ID, revision, m.Order == Fence, isFenced})
	}
	if entry, isThere := c.doc.submission(m.ID); isThere {
		switch {
		case entry.IsFenced:
			c.refuse(held.from, m, ReasonFenced, "this submission was given up on and will never take effect")
		case m.Order != Fence && entry.Digest != m.digest():
			c.refuse(held.from, m, ReasonIDReused, "another submission had this id at revision %d", entry.Revision)
		default:
			wait(entry.Revision, false)
		}
		c.settleReplies()
		return false
	}
	if next.mayHaveForgotten(m) {
		c.leaveUnclear(held.from, m)
		return false
	}
	switch m.Order {
	case Fence:
		next.remember(Submission{ID: m.ID, Revision: next.Revision, IsFenced: true})
		wait(next.Revision, true)
		return true
	case PutConfig, ChangeConfig:
		config, version, err := c.settings.judgeConfig(m, next)
		var refused ConfigRefused
		if errors.As(err, &refused) {
			c.refuse(held.from, m, refused.Reason, "%v", refused.Cause)
			return false
		}
		var change []byte
		if m.Order == ChangeConfig {
			change = m.Config
		}
		next.putConfig(config, change)
		next.ConfigVersion = version
	case EmptyZone:
		next.Drained[m.Zone] = next.Revision
	case RefillZone:
		delete(next.Drained, m.Zone)
	case Forget:
		// Should it ask again after all, it is registered anew like any other.
		delete(c.seen, m.Zone)
		if index := slices.Index(next.Register, m.Zone); index >= 0 {
			next.Register = slices.Delete(next.Register, index, index+1)
		}
		// The operator vouches that the router is dead, so it needs no counting in the old register either.
		if index := slices.Index(next.PriorRegister, m.Zone); index >= 0 {
			next.PriorRegister = slices.Delete(next.PriorRegister, index, index+1)
		}
	case MarkEngine:
		next.markLeaving(m.Engine, m.Start)
	default:
		c.refuse(held.from, m, ReasonUnknownOrder, "%q", m.Order)
		return false
	}
	next.remember(Submission{ID: m.ID, Digest: m.digest(), Revision: next.Revision})
	wait(next.Revision, false)
	return true
}

// isApplied tells whether a majority of every register that counts has applied a revision.
func (c *Core) isApplied(revision uint64) bool {
	return c.hasMajority(c.committed.Register, revision) && (c.isSettled() || c.hasMajority(c.committed.PriorRegister, revision))
}

// isSettled tells whether the newest change of the register has been applied by a
// majority of the one before and of its own; until then that one counts as well.
func (c *Core) isSettled() bool {
	since := c.committed.RegisterSince
	return c.hasMajority(c.committed.PriorRegister, since) && c.hasMajority(c.committed.Register, since)
}

// hasMajority tells whether a majority of a register has applied a revision.
func (c *Core) hasMajority(register []string, revision uint64) bool {
	return majority(register, func(address string) bool {
		seen := c.seen[address]
		return seen != nil && seen.applied >= revision
	})
}

func (c *Core) settleReplies() {
	if c.role != leader || !c.isOwnTerm {
		return
	}
	kept := c.replies[:0]
	for _, waiting := range c.replies {
		isDone := waiting.revision <= c.committed.Revision
		switch {
		case isDone && waiting.isFenced:
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{
				ID: waiting.id, Outcome: No, Reason: ReasonFenced, Detail: "given up on; it will never take effect"}})
		case isDone && c.settings.AckRule == Spread && c.isSpread(waiting.revision):
			c.acknowledge(waiting, "has gone round")
		case isDone && c.settings.AckRule != Spread && c.isApplied(waiting.revision):
			c.acknowledge(waiting, "applied by a majority of routers")
		default:
			kept = append(kept, waiting)
		}
	}
	c.replies = kept
}

// acknowledge says yes to an order whose document is committed and known as its rule asks for.
func (c *Core) acknowledge(waiting waitingSubmit, how string) {
	c.checkAcknowledged(waiting.id, waiting.revision)
	c.note("submission "+waiting.id, "yes", "revision %d is kept by the voters and %s", waiting.revision, how)
	c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.id, Outcome: Yes, Revision: waiting.revision}})
}
