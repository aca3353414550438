package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
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
}

// Submit takes an operator's submission made at this node.
func (n *Node) Submit(now kernel.Micros, submit *cluster.Submit) []any {
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
			n.note("submission "+id, "fence", "no acknowledgement in time")
			pending.submit = &cluster.Submit{ID: id, Operation: cluster.AbortSubmission, Base: pending.submit.Base, BaseVersion: pending.submit.BaseVersion}
			pending.deadline, pending.resendAt = n.now+abortTimeout, n.now
		}
		if n.now >= pending.resendAt {
			pending.sentAt, pending.resendAt = n.now, n.now+submitResendInterval
			n.send(n.leaderTarget(), wire.Message{Submit: pending.submit})
		}
	}
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
	n.note("submission "+reply.ID, "acknowledgement "+string(reply.Outcome), reply.Reason)
	n.out = append(n.out, Reply{reply})
}
