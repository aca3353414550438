package control

import (
	"errors"
	"fmt"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
)

// Operations that operators submit are queued, applied one per document, and acknowledged or rejected.

// pendingReply is an unanswered submission whose entry is in the document. The answer waits until its revision is
// committed and, unless it was aborted, applied by the nodes as AckRule requires.
type pendingReply struct {
	from      string
	id        string
	revision  uint64
	isAbort   bool // the sender asked to abort the id
	isAborted bool // the id is aborted at that revision
}

// pendingRejection is a rejection that was decided but not yet sent. It waits for the confirmation of a round that is
// sent after the decision; see reject.
type pendingRejection struct {
	from  string
	reply cluster.SubmitResponse
	round uint64
}

func (w pendingRejection) awaitedRound() uint64 { return w.round }

// queuedSubmit is a submission that is not yet in a document, with the address to answer.
type queuedSubmit struct {
	from   string
	submit *cluster.Submit
}

// maxQueue bounds the operations that a leader queues, and also the reads. Further operations are answered as unknown,
// with ReasonBusy, and further reads are dropped.
const maxQueue = 1024

// onSubmit queues a submission, with at most one copy from each sender. The queue is lost when this member ceases to
// lead.
func (c *Core) onSubmit(from string, m *cluster.Submit) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	if len(c.queue) >= maxQueue {
		c.send(from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: m.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonBusy}})
		return
	}
	// The sender retries until it gets an answer, and one copy in the queue is enough.
	if c.isSubmissionPending(from, m.ID, m.Operation) {
		return
	}
	c.queue = append(c.queue, queuedSubmit{from, m})
	c.build()
}

// isSubmissionPending reports whether a submission from a sender is queued here or waits for its answer.
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

// onSubmitRetry answers a sender that repeats a large submission by its id alone. If the submission is neither pending
// here nor known to the document, the sender has to send it again in full.
func (c *Core) onSubmitRetry(from string, m *wire.SubmitRetry) {
	if c.role != leader {
		c.redirect(from)
		return
	}
	isPending := c.isSubmissionPending(from, m.ID, m.Operation)
	if entry, isKnown := c.doc.Submission(m.ID); isKnown && !isPending {
		isPending = true
		// As in build, an answer must not rely on a document that is not committed yet. Until it is, the sender goes on
		// retrying.
		if c.isReadyToBuild() {
			c.answerKnown(from, m, entry)
			c.sendDueReplies()
		}
	}
	c.send(from, wire.Message{SubmitRetryResponse: &wire.SubmitRetryResponse{ID: m.ID, IsHeld: isPending}})
}

// reject queues a final rejection. The decision is based on the document that this member knows as committed, but
// another member may already lead and have committed a newer one. So the rejection is sent only after a majority has
// confirmed the next heartbeat round; see confirmRounds. If this member steps down before that, it reports an unknown
// outcome instead.
func (c *Core) reject(to, id, reason, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	reply := cluster.SubmitResponse{ID: id, Outcome: cluster.Rejected, Reason: reason, Detail: detail}
	c.pendingRejections = append(c.pendingRejections, pendingRejection{to, reply, c.round + 1})
	c.isRoundWanted = true
}

// sendRejection sends a rejection whose round has been confirmed.
func (c *Core) sendRejection(rejection pendingRejection) {
	reply := rejection.reply
	c.note(decision.Submission(reply.ID), decision.Reject, "%s: %s", reply.Reason, reply.Detail)
	c.send(rejection.from, wire.Message{SubmitResponse: &reply})
}

// replyUnknown answers a submission that may have been pruned from the document. It may have been applied long ago, so
// it is neither acknowledged nor rejected.
func (c *Core) replyUnknown(to string, m *cluster.Submit) {
	c.note(decision.Submission(m.ID), decision.LeaveUnknown, "the submission builds on a configuration older than the oldest submission that the document remembers")
	c.send(to, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: m.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonExpired,
		Detail: "the submission builds on a configuration so old that the core can't tell any more whether the submission was applied"}})
}

// applyOperation applies one submission to the next document, and reports whether it changed the document.
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

// answerKnown answers a submission that the document remembers, whether it was sent in full or by its id alone.
func (c *Core) answerKnown(from string, m *wire.SubmitRetry, entry cluster.Submission) {
	switch {
	case entry.IsAborted:
		c.reject(from, m.ID, cluster.ReasonAborted, "this submission was aborted and will never take effect")
	case m.Operation != cluster.AbortSubmission && entry.Digest != m.Digest:
		c.reject(from, m.ID, cluster.ReasonIDReused, "another submission had this id at revision %d", entry.Revision)
	default:
		c.awaitReply(from, m.ID, m.Operation, entry.Revision, false)
	}
}

// awaitReply queues the answer to a submission until a revision is committed and applied.
func (c *Core) awaitReply(from, id string, operation cluster.Operation, revision uint64, isAborted bool) {
	c.pendingReplies = append(c.pendingReplies, pendingReply{from, id, revision, operation == cluster.AbortSubmission, isAborted})
}

// applyConfig puts the configuration that results from a submission into the next document. It returns false if the
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

// applyDeregisterRouter removes a router from the next document. A router that requests a lease later is registered
// again.
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

// isApplied reports whether a majority of the routers has applied a revision. While a change of the registry is in
// progress, a majority of the prior registry must have applied it too.
func (c *Core) isApplied(revision uint64) bool {
	return c.hasMajorityApplied(c.committed.Routers, revision) && (c.isRouterChangeApplied() || c.hasMajorityApplied(c.committed.PriorRouters, revision))
}

// isRouterChangeApplied reports whether majorities of the prior and of the current registry have applied the newest
// change of the registry. Until then, the prior registry counts as well.
func (c *Core) isRouterChangeApplied() bool {
	changedAt := c.committed.RoutersRevision
	return c.hasMajorityApplied(c.committed.PriorRouters, changedAt) && c.hasMajorityApplied(c.committed.Routers, changedAt)
}

// hasMajorityApplied reports whether a majority of a list of routers has applied a revision.
func (c *Core) hasMajorityApplied(routers []string, revision uint64) bool {
	return cluster.Majority(routers, func(address string) bool {
		report := c.nodeReports[address]
		return report != nil && report.applied >= revision
	})
}

// sendDueReplies answers the submissions whose revision is committed and, unless they were aborted, applied as AckRule
// requires.
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
				ID: pending.id, Outcome: cluster.Rejected, Reason: cluster.ReasonAborted, Detail: "the submission was aborted and will never take effect"}})
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

// acknowledge accepts a submission whose document is committed and applied as AckRule requires. An acknowledged
// operation is never lost.
func (c *Core) acknowledge(pending pendingReply, how string) {
	c.checkAcknowledged(pending.id, pending.revision)
	c.note(decision.Submission(pending.id), decision.Accept, "revision %d is committed and %s", pending.revision, how)
	c.send(pending.from, wire.Message{SubmitResponse: &cluster.SubmitResponse{ID: pending.id, Outcome: cluster.Accepted, Revision: pending.revision}})
}
