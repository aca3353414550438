package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// Operators' orders at the node that took them, until the leader's word.

type errand struct {
	submit   *Submit
	deadline kernel.Micros
	sentAt   kernel.Micros
	resendAt kernel.Micros
	isFence  bool // this errand only asks how the id ended
}

// Submit takes an operator's order made at this node.
func (n *Node) Submit(now kernel.Micros, submit *Submit) []any {
	n.now = now
	if n.errands[submit.ID] == nil {
		n.errands[submit.ID] = &errand{submit: submit, deadline: now + n.settings.SubmitTry, isFence: submit.Order == Fence}
	}
	n.tickErrands()
	return n.finish()
}

func (n *Node) tickErrands() {
	for _, id := range slices.Sorted(maps.Keys(n.errands)) {
		errand := n.errands[id]
		if n.now >= errand.deadline {
			if errand.submit.Order == MarkEngine {
				// The mark has gone round already, so a no would not be true.
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: ReasonNotKept,
					Detail: "the routers were told, but the core could not keep the mark"})
				continue
			}
			if errand.submit.Order == Fence {
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: ReasonNoMajority,
					Detail: "neither a yes nor a final no could be shown; ask again by this id"})
				continue
			}
			if n.settings.NoFence {
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: ReasonNoMajority,
					Detail: "neither a yes nor a final no could be shown; send it again as it was"})
				continue
			}
			// Trying is over. A fence makes a no final, or finds that it was a yes after all.
			n.note("submission "+id, "fence", "no acknowledgement in time")
			errand.submit = &Submit{ID: id, Order: Fence, Base: errand.submit.Base, BaseVersion: errand.submit.BaseVersion}
			errand.deadline, errand.resendAt = n.now+submitFence, n.now
		}
		if n.now >= errand.resendAt {
			errand.sentAt, errand.resendAt = n.now, n.now+submitResend
			n.send(n.leaderTarget(), Message{Submit: errand.submit})
		}
	}
}

func (n *Node) onSubmitReply(m *SubmitReply) {
	errand := n.errands[m.ID]
	// An unproved word from a leader that stepped down is no end: the next one is asked. What the
	// document has forgotten no other leader knows.
	if errand == nil || m.Outcome == Unproved && m.Reason != ReasonForgotten {
		n.hurry()
		return
	}
	// While the order itself is still being tried, a fence's no belongs to an older try.
	n.finishErrand(*m)
}

// hurry sends what waits for a leader again soon: another one is known to lead.
func (n *Node) hurry() {
	for _, errand := range n.errands {
		errand.resendAt = min(errand.resendAt, max(n.now, errand.sentAt+100*kernel.Millisecond))
	}
	for _, read := range n.reads {
		read.resendAt = min(read.resendAt, max(n.now, read.sentAt+100*kernel.Millisecond))
	}
}

func (n *Node) finishErrand(reply SubmitReply) {
	if reply.Outcome == Yes {
		n.watch.acknowledged = max(n.watch.acknowledged, reply.Revision)
	}
	delete(n.errands, reply.ID)
	n.note("submission "+reply.ID, "acknowledgement "+string(reply.Outcome), reply.Reason)
	n.out = append(n.out, Reply{reply})
}
