package server

import (
	"bytes"

	"dunlinloom/internal/control/cluster"
)

// openSubmission is a submission whose reply is still due, with all that wait for it. It stays
// until the reply is there, also when nobody waits any more: the owners know it by its id.
type openSubmission struct {
	submit  *cluster.Submit
	waiters []chan cluster.SubmitResponse
}

// await enters one more that waits for a submission's reply. False: another submission with the
// same id is open here, whose reply would be taken for that of this one.
func (r *Runner) await(submit *cluster.Submit) (waiter chan cluster.SubmitResponse, isTaken bool) {
	waiter = make(chan cluster.SubmitResponse, 1)
	r.lock.Lock()
	defer r.lock.Unlock()
	open := r.openSubmissions[submit.ID]
	if open == nil {
		open = &openSubmission{submit: submit}
		r.openSubmissions[submit.ID] = open
	}
	if !canShareReply(open.submit, submit) {
		return nil, false
	}
	if open.submit.Operation == cluster.AbortSubmission {
		open.submit = submit
	}
	open.waiters = append(open.waiters, waiter)
	return waiter, true
}

// canShareReply tells whether the reply to one submission answers another of the same id: they
// order the same, or one of them only asks how the id ended.
func canShareReply(open, asked *cluster.Submit) bool {
	if open.Operation == cluster.AbortSubmission || asked.Operation == cluster.AbortSubmission {
		return true
	}
	return open.Operation == asked.Operation && bytes.Equal(open.Config, asked.Config) && open.Zone == asked.Zone &&
		open.Engine == asked.Engine && open.Start == asked.Start &&
		isSameNumber(open.Base, asked.Base) && isSameNumber(open.BaseVersion, asked.BaseVersion)
}

func isSameNumber(a, b *uint64) bool { return a == b || a != nil && b != nil && *a == *b }
