package control

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
)

// Operators' operations: queued, applied one a document, acknowledged or rejected.

// pendingReply is an applied submission that waits until its revision is committed and applied.
type pendingReply struct {
	from      string
	id        string
	revision  uint64
	isAbort   bool // the sender asked to abort the id
	isAborted bool // the id is aborted at that revision
}

// pendingRejection is a rejection that waits for a round that was sent after it was decided.
type pendingRejection struct {
	from  string
	reply cluster.SubmitResponse
	round uint64
}

func (w pendingRejection) awaitedRound() uint64 { return w.round }

// queuedSubmit is a submission that waits for the next document.
type queuedSubmit struct {
	from   string
	submit *cluster.Submit
}

// maxQueue bounds the operations that a leader queues; further ones are answered as unknown, with ReasonBusy.
const maxQueue = 1024

// onSubmit queues a submission, at most one copy of each sender. A queued one is lost with the leadership.
func (c *Core) onSubmit(from string, m *cluster.Submit) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	if len(c.queue) >= maxQueue {
		c.send(from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: m.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonBusy}})
		return
	}
	// The sender repeats itself until it hears; one copy in the queue is enough.
	if c.isSubmissionPending(from, m.ID, m.Operation) {
		return
	}
	c.queue = append(c.queue, queuedSubmit{from, m})
	c.build()
}

// isSubmissionPending tells whether a submission of a sender is queued here or waits for its answer.
func (c *Core) isSubmissionPending(from, id string, operation cluster.Operation) bool {
	for _, queued := range c.queue {
		if queued.submit.ID == id && queued.submit.Operation == operation && queued.from == from {
			return true
		}
	}
	for _, pending := range c.pendingReplies {
		if pending.id == id && pending.from == from && pending.isAbort == (operation == cluster.AbortSubmission) {
			return true
		}
	}
	for _, pending := range c.pendingRejections {
		if pending.reply.ID == id && pending.from == from {
			return true
		}
	}
	return false
}

// onSubmitRetry answers a sender that repeats a large submission by its id: it is held here, or the document knows it,
// or the sender is to send it whole.
func (c *Core) onSubmitRetry(from string, m *wire.SubmitRetry) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	isHeld := c.isSubmissionPending(from, m.ID, m.Operation)
	if entry, isKnown := c.doc.Submission(m.ID); isKnown && !isHeld {
		isHeld = true
		// As in build, nothing is answered out of a document that is not committed; the sender asks again.
		if c.isReadyToBuild() {
			c.answerKnown(from, m, entry)
			c.sendDueReplies()
		}
	}
	c.send(from, wire.Message{SubmitRetryResponse: &wire.SubmitRetryResponse{ID: m.ID, IsHeld: isHeld}})
}

// reject prepares a final rejection. It was decided on the document committed here, and another member may
// be the leader and have committed a newer one, so it goes out only once a majority has confirmed a
// heartbeat round that is sent later; see confirmRounds.
func (c *Core) reject(to, id, reason, why string, args ...any) {
	detail := fmt.Sprintf(why, args...)
	reply := cluster.SubmitResponse{ID: id, Outcome: cluster.Rejected, Reason: reason, Detail: detail}
	c.pendingRejections = append(c.pendingRejections, pendingRejection{to, reply, c.round + 1})
	c.isRoundWanted = true
}

// sendRejection sends a rejection whose round is confirmed.
func (c *Core) sendRejection(rejection pendingRejection) {
	reply := rejection.reply
	c.note(decision.Submission(reply.ID), decision.Reject, "%s: %s", reply.Reason, reply.Detail)
	c.send(rejection.from, wire.Message{SubmitResponse: &reply})
}

// replyUnknown answers a submission that may be one of those pruned from the document: it may have been
// applied long ago, so it is neither acknowledged nor rejected.
func (c *Core) replyUnknown(to string, m *cluster.Submit) {
	c.note(decision.Submission(m.ID), decision.LeaveUnknown, "it builds on a state older than the oldest submission remembered")
	c.send(to, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: m.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonExpired,
		Detail: "it builds on a state so old that the core can't tell any more whether it was taken"}})
}

// applyOperation applies one submission to the next document; false when nothing has to change.
func (c *Core) applyOperation(next *cluster.Document, queued queuedSubmit) bool {
	m := queued.submit
	wait := func(revision uint64, isAborted bool) {
		c.awaitReply(queued.from, m.ID, m.Operation, revision, isAborted)
	}
	if entry, isKnown := c.doc.Submission(m.ID); isKnown {
		c.answerKnown(queued.from, &wire.SubmitRetry{ID: m.ID, Operation: m.Operation, Digest: m.Digest()}, entry)
		c.sendDueReplies()
		return false
	}
	if next.MayHavePruned(m) {
		c.replyUnknown(queued.from, m)
		return false
	}
	switch m.Operation {
	case cluster.AbortSubmission:
		next.AddSubmission(cluster.Submission{ID: m.ID, Revision: next.Revision, IsAborted: true})
		wait(next.Revision, true)
		return true
	case cluster.PutConfig, cluster.PatchConfig:
		if !c.applyConfig(next, queued) {
			return false
		}
	case cluster.DrainZone:
		next.DrainedZones[m.Zone] = next.Revision
	case cluster.UndrainZone:
		delete(next.DrainedZones, m.Zone)
	case cluster.DeregisterRouter:
		c.applyDeregisterRouter(next, m.Zone)
	case cluster.MarkDraining:
		next.MarkDraining(m.Engine, m.Start)
	default:
		c.reject(queued.from, m.ID, cluster.ReasonUnknownOperation, "%q", m.Operation)
		return false
	}
	next.AddSubmission(cluster.Submission{ID: m.ID, Digest: m.Digest(), Revision: next.Revision})
	wait(next.Revision, false)
	return true
}

// answerKnown answers a submission, whole or by its id alone, that the document remembers.
func (c *Core) answerKnown(from string, m *wire.SubmitRetry, entry cluster.Submission) {
	switch {
	case entry.IsAborted:
		c.reject(from, m.ID, cluster.ReasonAborted, "this submission was given up on and will never take effect")
	case m.Operation != cluster.AbortSubmission && entry.Digest != m.Digest:
		c.reject(from, m.ID, cluster.ReasonIDReused, "another submission had this id at revision %d", entry.Revision)
	default:
		c.awaitReply(from, m.ID, m.Operation, entry.Revision, false)
	}
}

// awaitReply has a submission answered once a revision is committed and applied.
func (c *Core) awaitReply(from, id string, operation cluster.Operation, revision uint64, isAborted bool) {
	c.pendingReplies = append(c.pendingReplies, pendingReply{from, id, revision, operation == cluster.AbortSubmission, isAborted})
}

// applyConfig puts the configuration that a submission leads to into the next document; false when the
// submission was rejected and the document is unchanged.
func (c *Core) applyConfig(next *cluster.Document, queued queuedSubmit) bool {
	m := queued.submit
	config, version, err := c.settings.evaluateConfig(m, next)
	var rejected ConfigRejectedError
	if errors.As(err, &rejected) {
		c.reject(queued.from, m.ID, rejected.Reason, "%v", rejected.Cause)
		return false
	}
	var change []byte
	if m.Operation == cluster.PatchConfig {
		change = m.Config
	}
	next.PutConfig(config, change)
	next.ConfigVersion = version
	return true
}

// applyDeregisterRouter removes a router from the next document. If it asks for a lease again later, it
// is registered again like any other.
func (c *Core) applyDeregisterRouter(next *cluster.Document, address string) {
	delete(c.nodeReports, address)
	if index := slices.Index(next.Routers, address); index >= 0 {
		next.Routers = slices.Delete(next.Routers, index, index+1)
	}
	// The operator asserts that the router has ended, so it does not count in the prior registry either.
	if index := slices.Index(next.PriorRouters, address); index >= 0 {
		next.PriorRouters = slices.Delete(next.PriorRouters, index, index+1)
	}
}

// isApplied tells whether a majority of every registry that counts has applied a revision.
func (c *Core) isApplied(revision uint64) bool {
	return c.hasMajorityApplied(c.committed.Routers, revision) && (c.isRouterChangeApplied() || c.hasMajorityApplied(c.committed.PriorRouters, revision))
}

// isRouterChangeApplied tells whether the newest change of the registry has been applied by a
// majority of the one before and of its own; until then that one counts as well.
func (c *Core) isRouterChangeApplied() bool {
	changedAt := c.committed.RoutersRevision
	return c.hasMajorityApplied(c.committed.PriorRouters, changedAt) && c.hasMajorityApplied(c.committed.Routers, changedAt)
}

// hasMajorityApplied tells whether a majority of a list of routers has applied a revision.
func (c *Core) hasMajorityApplied(routers []string, revision uint64) bool {
	return cluster.Majority(routers, func(address string) bool {
		report := c.nodeReports[address]
		return report != nil && report.applied >= revision
	})
}

// sendDueReplies answers the submissions whose revision is committed and, unless they were aborted, applied as the
// rule of acknowledgements asks for.
func (c *Core) sendDueReplies() {
	if c.role != leader || !c.hasCommittedInTerm {
		return
	}
	remaining := c.pendingReplies[:0]
	for _, pending := range c.pendingReplies {
		isDone := pending.revision <= c.committed.Revision
		switch {
		case isDone && pending.isAborted:
			c.send(pending.from, wire.Message{SubmitResponse: &cluster.SubmitResponse{
				ID: pending.id, Outcome: cluster.Rejected, Reason: cluster.ReasonAborted, Detail: "given up on; it will never take effect"}})
		case isDone && c.settings.AckRule == Disseminated && c.isDisseminated(pending.revision):
			c.recordDissemination(pending.revision)
			c.acknowledge(pending, c.dissemination.String())
		case isDone && c.settings.AckRule != Disseminated && c.isApplied(pending.revision):
			c.acknowledge(pending, "applied by a majority of routers")
		default:
			remaining = append(remaining, pending)
		}
	}
	c.pendingReplies = remaining
}

// acknowledge accepts a submission whose document is committed and applied as the rule asks for. An acknowledged
// operation is never lost.
func (c *Core) acknowledge(pending pendingReply, how string) {
	c.checkAcknowledged(pending.id, pending.revision)
	c.note(decision.Submission(pending.id), decision.Accept, "revision %d is kept by the voters and %s", pending.revision, how)
	c.send(pending.from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: pending.id, Outcome: cluster.Accepted, Revision: pending.revision}})
}
