package modelcheck

import (
	"fmt"
	"strconv"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The part of a run's past that the invariants refer to, and the points at which they are checked.

// commit is a document that a leader has committed.
type commit struct {
	document *cluster.Document
	content  uint64 // hash without the term, since a later leader may propose the document again in its own term
}

// observer records the part of a run's past that the invariants refer to.
type observer struct {
	commits       map[uint64]commit  // by revision
	newest        []cluster.Position // the positions of all commits
	newestVersion uint64
	leaderOf      map[uint64]cluster.MemberID
	newestSynced  map[cluster.MemberID]cluster.Position // the newest document that was ever on a member's disk
	lostMembers   map[cluster.MemberID]bool             // members whose disk was lost
	acknowledged  uint64                                // the newest revision that was acknowledged to an operator
	confirmed     map[string]cluster.SubmitResponse
	rejected      map[string]bool
	byBase        map[uint64]string
	clock         int // numbers the calls and returns of operations
	history       []operation
}

func newObserver() *observer {
	return &observer{
		commits: map[uint64]commit{}, leaderOf: map[uint64]cluster.MemberID{},
		newestSynced: map[cluster.MemberID]cluster.Position{}, lostMembers: map[cluster.MemberID]bool{},
		confirmed: map[string]cluster.SubmitResponse{}, rejected: map[string]bool{}, byBase: map[uint64]string{},
	}
}

// tick numbers a call or a return.
func (o *observer) tick() int {
	o.clock++
	return o.clock
}

// digest adds the state on which the invariants depend to a fingerprint.
func (o *observer) digest(d *digester) {
	for _, revision := range sortedKeys(o.commits) {
		d.number(revision)
		d.number(o.commits[revision].content)
	}
	newest := o.newestPosition()
	d.number(newest.Term)
	d.number(newest.Revision)
	d.number(o.acknowledged)
	for _, id := range sortedKeys(o.confirmed) {
		d.text(id)
	}
	for _, id := range sortedKeys(o.rejected) {
		d.text(id)
	}
	for _, term := range sortedKeys(o.leaderOf) {
		d.number(term)
		d.text(string(o.leaderOf[term]))
	}
	for _, id := range sortedKeys(o.newestSynced) {
		d.text(string(id))
		d.number(o.newestSynced[id].Term)
		d.number(o.newestSynced[id].Revision)
	}
}

// newestPosition returns the newest committed position, or zero if nothing was committed.
func (o *observer) newestPosition() cluster.Position {
	newest := cluster.Position{}
	for _, position := range o.newest {
		if newest.Before(position) {
			newest = position
		}
	}
	return newest
}

// synced records the newest document on a disk.
func (o *observer) synced(p *process) {
	if position := p.disk.document.Position(); o.newestSynced[p.disk.member].Before(position) {
		o.newestSynced[p.disk.member] = position
	}
}

// observe checks a process against the invariants after it handled an event.
func (o *observer) observe(w *World, p *process) error {
	if w.coreViolation != nil {
		return w.coreViolation
	}
	state := p.core.Inspect()
	if !state.IsLeader {
		p.lastContact, p.contactTerm, p.syncReports = nil, 0, nil
	} else if p.lastContact == nil || p.contactTerm != state.Term {
		p.lastContact, p.contactTerm, p.ledSince, p.quorumAt = map[cluster.MemberID]kernel.Micros{}, state.Term, p.clock, p.clock
		p.syncReports = map[cluster.MemberID]syncReport{}
		w.trace("m%d leads term %d", p.index+1, state.Term)
		if err := oneLeaderPerTerm(o, state); err != nil {
			return err
		}
		if err := leaderHoldsCommitted(o, state); err != nil {
			return err
		}
	}
	if err := oneClusterID(state); err != nil {
		return err
	}
	if state.Committed == nil {
		return nil
	}
	if err := countsCurrentIncarnations(p, state); err != nil {
		return err
	}
	return o.observeCommitted(w, state)
}

func (o *observer) observeCommitted(w *World, state control.CoreState) error {
	document := state.Committed
	content := contentOf(w, document)
	if known, isThere := o.commits[document.Revision]; isThere {
		if err := oneDocumentPerRevision(known, document, content); err != nil {
			return err
		}
		if !known.document.Position().Before(document.Position()) {
			return nil
		}
	}
	w.trace("committed: revision %d of term %d, version %d, %d voters", document.Revision, document.Term, document.ConfigVersion, len(document.Voters))
	o.commits[document.Revision] = commit{document, content}
	o.newest = append(o.newest, document.Position())
	o.newestVersion = max(o.newestVersion, document.ConfigVersion)
	if err := majorityHoldsCommitted(o, document); err != nil {
		return err
	}
	if err := acknowledgedIsDurable(o, document); err != nil {
		return err
	}
	return rejectedTakesNoEffect(o, document)
}

// contentOf returns the hash of a document without its term.
func contentOf(w *World, document *cluster.Document) uint64 {
	if known, isThere := w.contents[document]; isThere {
		return known
	}
	copied := *document
	copied.Term = 0
	d := &digester{documents: map[*cluster.Document]uint64{}}
	w.contents[document] = d.document(&copied)
	return w.contents[document]
}

// newestCommit returns the newest committed document, or nil if nothing was committed.
func (o *observer) newestCommit() *cluster.Document {
	var newest *cluster.Document
	for _, commit := range o.commits {
		if newest.Position().Before(commit.document.Position()) {
			newest = commit.document
		}
	}
	return newest
}

// observeResponse records a response to an operator and checks it against the invariants. The error is a
// ViolationError.
func (o *observer) observeResponse(w *World, m wire.Message) error {
	switch {
	case m.SubmitResponse != nil:
		return o.observeSubmitResponse(w, m.SubmitResponse)
	case m.ReadResponse != nil:
		return o.observeReadResponse(w, m.ReadResponse.Token, m.ReadResponse.Document.Revision, m.ReadResponse.Document, "read")
	case m.LeaseGrantBatch != nil:
		read := w.operators.Reads[m.LeaseGrantBatch.Requests[0].Seq-1]
		return readsAreNewest(read.Floor, m.LeaseGrantBatch.Revision, "grant")
	}
	return nil
}

func (o *observer) observeSubmitResponse(w *World, reply *cluster.SubmitResponse) error {
	w.trace("response to operator: %s %s at revision %d %s", reply.ID, reply.Outcome, reply.Revision, reply.Reason)
	index, err := strconv.Atoi(reply.ID[len("put-"):])
	if err != nil {
		panic(fmt.Sprintf("modelcheck: parse the submission id of a response: %v", err))
	}
	submission := &w.operators.Puts[index]
	switch reply.Outcome {
	case cluster.Accepted:
		o.confirmed[reply.ID] = *reply
		o.acknowledged = max(o.acknowledged, reply.Revision)
		if err := oneConfirmedPerVersion(o, submission.Base, reply.ID); err != nil {
			return err
		}
		if err := confirmedIsCommitted(o, reply); err != nil {
			return err
		}
	case cluster.Rejected:
		o.rejected[reply.ID] = true
		for _, revision := range sortedKeys(o.commits) {
			if err := rejectedTakesNoEffect(o, o.commits[revision].document); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	if !submission.Ended {
		submission.Ended, submission.Outcome = true, reply.Outcome
		o.history = append(o.history, operation{Index: index, Call: submission.Began, Return: o.tick()})
	}
	return nil
}

func (o *observer) observeReadResponse(w *World, token, revision uint64, document *cluster.Document, what string) error {
	read := &w.operators.Reads[token-1]
	if err := readsAreNewest(read.Floor, revision, what); err != nil {
		return err
	}
	if !read.Ended {
		read.Ended, read.Version = true, document.ConfigVersion
		o.history = append(o.history, operation{Index: -1, Call: read.Began, Return: o.tick(), Config: string(document.Config), Version: document.ConfigVersion})
	}
	return nil
}
