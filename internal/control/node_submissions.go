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

// Operators' submissions at the node that took them, until the leader's answer.

type pendingSubmission struct {
	submit   *cluster.Submit
	deadline kernel.Micros
	sentAt   kernel.Micros
	resendAt kernel.Micros
	isAbort  bool // it only asks for the outcome of an earlier submission
	// Of a large submission, which is repeated by its id:
	digest        string // computed with the first retry
	wholeSentTo   string // whom it was sent whole last; empty: nobody yet
	wholeSentAt   kernel.Micros
	isRetryUnread bool // the last retry by id was not answered: its receiver may be of a build without such retries
}

// assumedTransferRate is how many bytes a second a large submission is assumed to travel at least: for so long it is not
// sent to the same node again.
const assumedTransferRate = 2 << 20

func (p *pendingSubmission) isLarge() bool {
	return len(p.submit.Config) > flowcontrol.SmallDocumentSize
}

// isInTransit tells whether a submission that was sent whole to a node may still be on its way there.
func (p *pendingSubmission) isInTransit(now kernel.Micros, to string) bool {
	transfer := kernel.Micros(len(p.submit.Config)) * kernel.Second / assumedTransferRate
	return p.wholeSentTo == to && now < p.wholeSentAt+transfer
}

// Submit takes an operator's submission made at this node.
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
				// The mark has been disseminated already, so it was not rejected.
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNotPersisted,
					Detail: "the routers were told, but the core could not keep the mark"})
				continue
			}
			if pending.submit.Operation == cluster.AbortSubmission {
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNoQuorum,
					Detail: "neither a yes nor a final no could be shown; ask again by this id"})
				continue
			}
			if n.settings.IsAbortDisabled {
				n.finishSubmission(cluster.SubmitResponse{ID: id, Outcome: cluster.Unknown, Reason: cluster.ReasonNoQuorum,
					Detail: "neither a yes nor a final no could be shown; send it again as it was"})
				continue
			}
			// The time for tries is over. An abort makes a rejection final, or finds that it was accepted.
			n.note(decision.Submission(id), decision.Abort, "no acknowledgement in time")
			pending.submit = &cluster.Submit{ID: id, Operation: cluster.AbortSubmission, Base: pending.submit.Base, BaseVersion: pending.submit.BaseVersion}
			pending.deadline, pending.resendAt = n.now+abortTimeout, n.now
		}
		if n.now >= pending.resendAt {
			n.sendSubmission(pending)
		}
	}
}

// sendSubmission sends a submission for the first time, or once more: a large one by its id, unless the last such retry
// was not answered.
func (n *Node) sendSubmission(pending *pendingSubmission) {
	pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
	target := n.leaderTarget()
	isRepeated := pending.isLarge() && pending.wholeSentTo != ""
	if isRepeated && (!pending.isRetryUnread || pending.isInTransit(n.now, target)) {
		pending.isRetryUnread = true
		if pending.digest == "" {
			pending.digest = pending.submit.Digest()
		}
		n.send(target, wire.Message{SubmitRetry: &wire.SubmitRetry{ID: pending.submit.ID, Operation: pending.submit.Operation, Digest: pending.digest}})
		return
	}
	n.sendWholeSubmission(pending, target)
}

func (n *Node) sendWholeSubmission(pending *pendingSubmission, target string) {
	pending.wholeSentTo, pending.wholeSentAt, pending.isRetryUnread = target, n.now, false
	n.send(target, wire.Message{Submit: pending.submit})
}

// onSubmitRetryResponse sends a submission whole to a leader that does not hold it.
func (n *Node) onSubmitRetryResponse(from string, m *wire.SubmitRetryResponse) {
	pending := n.pendingSubmissions[m.ID]
	if pending == nil || !pending.isRetryUnread {
		return
	}
	pending.isRetryUnread = false
	if m.IsHeld || pending.isInTransit(n.now, from) {
		return
	}
	pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
	n.sendWholeSubmission(pending, from)
}

func (n *Node) onSubmitResponse(m *cluster.SubmitResponse) {
	pending := n.pendingSubmissions[m.ID]
	// An unknown outcome from a leader that stepped down is not final: the next one is asked. What
	// the document no longer lists no other leader knows either.
	if pending == nil || m.Outcome == cluster.Unknown && m.Reason != cluster.ReasonExpired {
		n.resendSoon()
		return
	}
	// While the operation itself is still being tried, the rejection of an abort belongs to an older try.
	n.finishSubmission(*m)
}

// resendSoon sends what waits for a leader again soon: another one is known to lead.
func (n *Node) resendSoon() {
	for _, pending := range n.pendingSubmissions {
		pending.resendAt = min(pending.resendAt, max(n.now, pending.sentAt+100*kernel.Millisecond))
		// Whoever redirects has read the retry.
		pending.isRetryUnread = false
	}
	for _, read := range n.reads {
		read.resendAt = min(read.resendAt, max(n.now, read.sentAt+100*kernel.Millisecond))
	}
}

func (n *Node) finishSubmission(reply cluster.SubmitResponse) {
	if reply.Outcome == cluster.Accepted {
		n.watch.acknowledged = max(n.watch.acknowledged, reply.Revision)
	}
	delete(n.pendingSubmissions, reply.ID)
	n.note(decision.Submission(reply.ID), decision.Answer(string(reply.Outcome)), reply.Reason)
	n.out = append(n.out, Reply{reply})
}
