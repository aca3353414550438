package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Operators' orders at the node that took them, until the leader's word.

type pendingSubmission struct {
	submit   *Submit
	deadline kernel.Micros
	sentAt   kernel.Micros
	resendAt kernel.Micros
	isAbort  bool // this errand only asks how the id ended
}

// Submit takes an operator's order made at this node.
func (n *Node) Submit(now kernel.Micros, submit *Submit) []any {
	n.now = now
	if n.pendingSubmissions[submit.ID] == nil {
		n.pendingSubmissions[submit.ID] = &pendingSubmission{submit: submit, deadline: now + n.settings.SubmitTimeout, isAbort: submit.Operation == AbortSubmission}
	}
	n.tickPendingSubmissions()
	return n.finish()
}

func (n *Node) tickPendingSubmissions() {
	for _, id := range slices.Sorted(maps.Keys(n.pendingSubmissions)) {
		pending := n.pendingSubmissions[id]
		if n.now >= pending.deadline {
			if pending.submit.Operation == MarkDraining {
				// The mark has gone round already, so a no would not be true.
				n.finishSubmission(SubmitResponse{ID: id, Outcome: Unknown, Reason: ReasonNotPersisted,
					Detail: "the routers were told, but the core could not keep the mark"})
				continue
			}
			if pending.submit.Operation == AbortSubmission {
				n.finishSubmission(SubmitResponse{ID: id, Outcome: Unknown, Reason: ReasonNoQuorum,
					Detail: "neither a yes nor a final no could be shown; ask again by this id"})
				continue
			}
			if n.settings.IsAbortDisabled {
				n.finishSubmission(SubmitResponse{ID: id, Outcome: Unknown, Reason: ReasonNoQuorum,
					Detail: "neither a yes nor a final no could be shown; send it again as it was"})
				continue
			}
			// Trying is over. A fence makes a no final, or finds that it was a yes after all.
			n.note("submission "+id, "fence", "no acknowledgement in time")
			pending.submit = &Submit{ID: id, Operation: AbortSubmission, Base: pending.submit.Base, BaseVersion: pending.submit.BaseVersion}
			pending.deadline, pending.resendAt = n.now+abortTimeout, n.now
		}
		if n.now >= pending.resendAt {
			pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
			n.send(n.leaderTarget(), Message{Submit: pending.submit})
		}
	}
}

func (n *Node) onSubmitResponse(m *SubmitResponse) {
	pending := n.pendingSubmissions[m.ID]
	// An unproved word from a leader that stepped down is no end: the next one is asked. What the
	// document has forgotten no other leader knows.
	if pending == nil || m.Outcome == Unknown && m.Reason != ReasonExpired {
		n.resendSoon()
		return
	}
	// While the order itself is still being tried, a fence's no belongs to an older try.
	n.finishSubmission(*m)
}

// resendSoon sends what waits for a leader again soon: another one is known to lead.
func (n *Node) resendSoon() {
	for _, pending := range n.pendingSubmissions {
		pending.resendAt = min(pending.resendAt, max(n.now, pending.sentAt+100*kernel.Millisecond))
	}
	for _, read := range n.reads {
		read.resendAt = min(read.resendAt, max(n.now, read.sentAt+100*kernel.Millisecond))
	}
}

func (n *Node) finishSubmission(reply SubmitResponse) {
	if reply.Outcome == Accepted {
		n.watch.acknowledged = max(n.watch.acknowledged, reply.Revision)
	}
	delete(n.pendingSubmissions, reply.ID)
	n.note("submission "+reply.ID, "acknowledgement "+string(reply.Outcome), reply.Reason)
	n.out = append(n.out, Reply{reply})
}
