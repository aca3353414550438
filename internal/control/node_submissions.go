package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Operators' submissions at the node that received them, until the leader's answer arrives.

type pendingSubmission struct {
	submit   *cluster.Submit
	deadline kernel.Micros // when the submission is aborted or, if it is itself an abort, given up
	sentAt   kernel.Micros
	resendAt kernel.Micros
	isAbort  bool // requests only the outcome of an earlier submission
	// For a large submission, which is retried by its ID:
	digest            string // computed at the first retry
	wholeSentTo       string // the last node to which it was sent whole; empty: none
	wholeSentAt       kernel.Micros
	isRetryUnanswered bool // the last retry by ID was not answered; its receiver may run a build without such retries
}

// assumedTransferRate is the lowest assumed rate, in bytes per second, at which a large submission is transferred.
// Until a transfer at this rate would have ended, the submission is not sent whole to the same node again.
const assumedTransferRate = 2 << 20

func (p *pendingSubmission) isLarge() bool {
	return len(p.submit.Config) > flowcontrol.SmallDocumentSize
}

// isInTransit reports whether a submission that was sent whole to a node may still be on its way there.
func (p *pendingSubmission) isInTransit(now kernel.Micros, to string) bool {
	transfer := kernel.Micros(len(p.submit.Config)) * kernel.Second / assumedTransferRate
	return p.wholeSentTo == to && now < p.wholeSentAt+transfer
}

// Submit handles an operator's submission made at this node. The command Reply answers it. If a submission with the
// same ID is pending, that one continues and the new one is ignored.
func (n *Node) Submit(now kernel.Micros, submit *cluster.Submit) []commands.Command {
	n.now = now
	if n.pendingSubmissions[submit.ID] == nil {
		n.pendingSubmissions[submit.ID] = &pendingSubmission{submit: submit, deadline: now + n.settings.SubmitTimeout, isAbort: submit.Operation == cluster.AbortSubmission}
	}
	n.tickPendingSubmissions()
	return n.finish()
}

func (n *Node) tickPendingSubmissions() {
	for _, id := range slices.Sorted(maps.Keys(n.pendingSubmissions)) {
		pending := n.pendingSubmissions[id]
		if n.now >= pending.deadline {
			if pending.submit.Operation == cluster.MarkDraining {
				// The mark has already been sent to the routers, so the outcome is unknown rather than rejected.
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNotPersisted,
					Detail: "the draining mark was sent to the routers, but the core did not persist it"})
				continue
			}
			if pending.submit.Operation == cluster.AbortSubmission {
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNoQuorum,
					Detail: "the outcome could not be determined; query it again by this ID"})
				continue
			}
			if n.settings.IsAbortDisabled {
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNoQuorum,
					Detail: "the outcome could not be determined; resubmit the same operation"})
				continue
			}
			// The time for retries is over. An abort either makes the rejection final or finds that the operation was
			// accepted.
			n.note(decision.Submission(id), decision.Abort, "no acknowledgement in time")
			pending.submit = &cluster.Submit{ID: id, Operation: cluster.AbortSubmission, Base: pending.submit.Base, BaseVersion: pending.submit.BaseVersion}
			pending.deadline, pending.resendAt = n.now+abortTimeout, n.now
		}
		if n.now >= pending.resendAt {
			n.sendSubmission(pending)
		}
	}
}

// sendSubmission sends a submission, or retries it. A large submission is retried by its ID, unless the last such
// retry was not answered.
func (n *Node) sendSubmission(pending *pendingSubmission) {
	pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
	target := n.leaderTarget()
	isRepeated := pending.isLarge() && pending.wholeSentTo != ""
	if isRepeated && (!pending.isRetryUnanswered || pending.isInTransit(n.now, target)) {
		pending.isRetryUnanswered = true
		if pending.digest == "" {
			pending.digest = pending.submit.Digest()
		}
		n.send(target, wire.Message{SubmitRetry: &wire.SubmitRetry{ID: pending.submit.ID, Operation: pending.submit.Operation, Digest: pending.digest}})
		return
	}
	n.sendWholeSubmission(pending, target)
}

func (n *Node) sendWholeSubmission(pending *pendingSubmission, target string) {
	pending.wholeSentTo, pending.wholeSentAt, pending.isRetryUnanswered = target, n.now, false
	n.send(target, wire.Message{Submit: pending.submit})
}

// onSubmitRetryResponse sends a submission whole to a leader that does not have it.
func (n *Node) onSubmitRetryResponse(from string, m *wire.SubmitRetryResponse) {
	pending := n.pendingSubmissions[m.ID]
	if pending == nil || !pending.isRetryUnanswered {
		return
	}
	pending.isRetryUnanswered = false
	if m.IsHeld || pending.isInTransit(n.now, from) {
		return
	}
	pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
	n.sendWholeSubmission(pending, from)
}

func (n *Node) onSubmitResponse(m *cluster.SubmitResponse) {
	pending := n.pendingSubmissions[m.ID]
	// An unknown outcome is not final, for example because the leader has stepped down, so the submission is sent again
	// soon. The exception is an expired submission: its entry is no longer in the document, so no other leader knows
	// the outcome either.
	if pending == nil || m.Outcome == cluster.Unknown && m.Reason != cluster.ReasonExpired {
		n.resendSoon()
		return
	}
	// An answer that the submission was aborted can arrive although only the operation itself was sent from here. The
	// abort was then requested in an earlier attempt with the same ID, and is final for this attempt too.
	n.finishSubmission(*m)
}

// resendSoon brings the next retries of submissions and reads forward, to 100 ms after their last attempts. It is
// called when another leader has become known or a submission's outcome is unknown.
func (n *Node) resendSoon() {
	for _, pending := range n.pendingSubmissions {
		pending.resendAt = min(pending.resendAt, max(n.now, pending.sentAt+100*kernel.Millisecond))
		// A node that redirects a retry has read it, so the retry counts as answered.
		pending.isRetryUnanswered = false
	}
	for _, read := range n.reads {
		read.resendAt = min(read.resendAt, max(n.now, read.sentAt+100*kernel.Millisecond))
	}
}

func (n *Node) finishSubmission(reply cluster.SubmitResponse) {
	if reply.Outcome == cluster.Accepted {
		n.invariantState.acknowledged = max(n.invariantState.acknowledged, reply.Revision)
	}
	delete(n.pendingSubmissions, reply.ID)
	n.note(decision.Submission(reply.ID), decision.Answer(string(reply.Outcome)), reply.Reason)
	n.out = append(n.out, Reply{reply})
}
