package server

import (
	"bytes"

	"dunlinloom/internal/control/cluster"
)

// openSubmission is a submission without a reply yet, with the callers that wait for it. It is kept until the reply
// arrives, even if no caller waits any more, since the control node still has the submission open under its ID.
type openSubmission struct {
	submit  *cluster.Submit
	waiters []chan cluster.SubmitResponse
}

// addWaiter registers a caller that waits for a submission's reply. isAdded is false if a different submission with the
// same ID is open here: the caller would then receive the reply to that one.
func (r *Runner) addWaiter(submit *cluster.Submit) (waiter chan cluster.SubmitResponse, isAdded bool) {
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

// canShareReply reports whether the reply to one submission also answers another with the same ID. It does if both
// request the same operation, or if one of them only queries the outcome.
func canShareReply(open, submit *cluster.Submit) bool {
	if open.Operation == cluster.AbortSubmission || submit.Operation == cluster.AbortSubmission {
		return true
	}
	return open.Operation == submit.Operation && bytes.Equal(open.Config, submit.Config) && open.Zone == submit.Zone &&
		open.Engine == submit.Engine && open.Start == submit.Start &&
		isSameNumber(open.Base, submit.Base) && isSameNumber(open.BaseVersion, submit.BaseVersion)
}

func isSameNumber(a, b *uint64) bool { return a == b || a != nil && b != nil && *a == *b }
