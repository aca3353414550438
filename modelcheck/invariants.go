package modelcheck

import (
	"fmt"
	"strconv"

	"dunlinloom/control"
	"dunlinloom/kernel"
)

// Invariant names what must hold in every state.
type Invariant string

// The invariants.
const (
	OneDocumentARevision   Invariant = "one document a revision"
	AcknowledgedIsKept     Invariant = "nothing acknowledged is lost"
	MajorityHoldsCommitted Invariant = "a majority of the voters' disks holds what is committed"
	OneConfirmedAVersion   Invariant = "no two submissions are confirmed on one version"
	ReadsAreNewest         Invariant = "no read is older than an acknowledgement before it"
	MajoritiesIntersect    Invariant = "majorities that can be in force at once intersect"
	OneFounding            Invariant = "one founding a fleet"
	OneLeaderATerm         Invariant = "at most one leader a term"
	LeaderHasContact       Invariant = "a leader without a majority steps down in time"
	LeaderHoldsCommitted   Invariant = "only who holds what is committed leads"
	HistoryIsLinearizable  Invariant = "operators' histories are linearizable"
	RejectedTakesNoEffect  Invariant = "what was rejected takes no effect"
	CountsPresentLives     Invariant = "a leader counts what the present lives of the voters have synced"
	LeaverHoldsNothing     Invariant = "a member that leaves holds nothing that too few others hold"
	LeaderWrites           Invariant = "a leader whose disk takes no writes steps down in time"
)

// Violation is an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	Why       string
}

func (v Violation) Error() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Why) }

func violated(invariant Invariant, form string, args ...any) error {
	return Violation{invariant, fmt.Sprintf(form, args...)}
}

// commit is a document that some leader has committed.
type commit struct {
	document *control.Document
	content  uint64 // of all but the term, under which a later leader may propose it again
}

// observer remembers of the past what the invariants speak of.
type observer struct {
	commits       map[uint64]commit // by revision
	newest        []control.Stamp   // of all commits
	newestVersion uint64
	leaderOf      map[uint64]control.MemberID
	held          map[control.MemberID]control.Stamp // the newest ever on a member's disk
	gone          map[control.MemberID]bool          // members whose disk was lost
	acknowledged  uint64                             // the newest revision that an operator was told
	confirmed     map[string]control.SubmitReply
	rejected      map[string]bool
	byBase        map[uint64]string
	clock         int // numbers the calls and returns of operations
	history       []operation
}

func newObserver() *observer {
	return &observer{
		commits: map[uint64]commit{}, leaderOf: map[uint64]control.MemberID{},
		held: map[control.MemberID]control.Stamp{}, gone: map[control.MemberID]bool{},
		confirmed: map[string]control.SubmitReply{}, rejected: map[string]bool{}, byBase: map[uint64]string{},
	}
}

// tick numbers a call or a return.
func (o *observer) tick() int {
	o.clock++
	return o.clock
}

// digest adds what the invariants remember to a fingerprint.
func (o *observer) digest(d *digester) {
	for _, revision := range sortedKeys(o.commits) {
		d.number(revision)
		d.number(o.commits[revision].content)
	}
	newest := control.Stamp{}
	for _, stamp := range o.newest {
		if newest.Before(stamp) {
			newest = stamp
		}
	}
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
	for _, id := range sortedKeys(o.held) {
		d.text(string(id))
		d.number(o.held[id].Term)
		d.number(o.held[id].Revision)
	}
}

// synced remembers what a disk holds.
func (o *observer) synced(p *process) {
	if stamp := p.disk.document.Stamp(); o.held[p.disk.member].Before(stamp) {
		o.held[p.disk.member] = stamp
	}
}

// observe holds a process against the invariants after it took an event.
func (o *observer) observe(w *World, p *process) error {
	state := p.core.Inspect()
	if !state.IsLeader {
		p.heard, p.heardFor, p.told = nil, 0, nil
	} else if p.heard == nil || p.heardFor != state.Term {
		p.heard, p.heardFor, p.ledSince, p.quorumAt = map[control.MemberID]kernel.Micros{}, state.Term, p.clock, p.clock
		p.told = map[control.MemberID]syncedWord{}
		w.trace("m%d leads term %d", p.index+1, state.Term)
		if err := oneLeaderATerm(o, state); err != nil {
			return err
		}
		if err := leaderHoldsCommitted(o, state); err != nil {
			return err
		}
	}
	if err := oneFounding(state); err != nil {
		return err
	}
	if state.Committed == nil {
		return nil
	}
	if err := countsPresentLives(p, state); err != nil {
		return err
	}
	return o.observeCommitted(w, state)
}

func (o *observer) observeCommitted(w *World, state control.CoreState) error {
	document := state.Committed
	content := contentOf(w, document)
	if known, isThere := o.commits[document.Revision]; isThere {
		if err := oneDocumentARevision(known, document, content); err != nil {
			return err
		}
		if !known.document.Stamp().Before(document.Stamp()) {
			return nil
		}
	}
	w.trace("committed: revision %d of term %d, version %d, %d voters", document.Revision, document.Term, document.ConfigVersion, len(document.Voters))
	o.commits[document.Revision] = commit{document, content}
	o.newest = append(o.newest, document.Stamp())
	o.newestVersion = max(o.newestVersion, document.ConfigVersion)
	if err := majorityHoldsCommitted(o, document); err != nil {
		return err
	}
	if err := acknowledgedIsKept(o, document); err != nil {
		return err
	}
	return rejectedTakesNoEffect(o, document)
}

// contentOf hashes a document without its term.
func contentOf(w *World, document *control.Document) uint64 {
	if known, isThere := w.contents[document]; isThere {
		return known
	}
	copied := *document
	copied.Term = 0
	d := &digester{documents: map[*control.Document]uint64{}}
	w.contents[document] = d.document(&copied)
	return w.contents[document]
}

// oneDocumentARevision: two documents committed under one revision differ at most in the term.
func oneDocumentARevision(known commit, document *control.Document, content uint64) error {
	if known.content == content {
		return nil
	}
	return violated(OneDocumentARevision, "revision %d is committed with two contents, in terms %d and %d",
		document.Revision, known.document.Term, document.Term)
}

// majorityHoldsCommitted: when a document counts as committed, a quorum of its voters has it,
// or a newer one, on disk; a disk lost since counts with what it held, as the assumption of
// at most a minority of lost disks covers it.
func majorityHoldsCommitted(o *observer, document *control.Document) error {
	count := 0
	isHeld := document.IsQuorum(func(id control.MemberID) bool {
		isHolder := !o.held[id].Before(document.Stamp())
		if isHolder {
			count++
		}
		return isHolder
	})
	if isHeld {
		return nil
	}
	return violated(MajorityHoldsCommitted, "revision %d of term %d is committed and on the disks of %d of %d voters",
		document.Revision, document.Term, count, len(document.Voters))
}

// countsPresentLives: when a leader commits a document of its term, a quorum of the voters has said to
// have synced it in the newest life that the leader has heard of.
func countsPresentLives(p *process, state control.CoreState) error {
	committed := state.Committed.Stamp()
	if !state.IsLeader || committed.Term != state.Term || !p.countedUpTo.Before(committed) {
		return nil
	}
	p.countedUpTo = committed
	isCounted := state.Committed.IsQuorum(func(id control.MemberID) bool {
		if id == state.Member.ID {
			return !state.Synced.Before(committed)
		}
		word, isKnown := p.told[id]
		return isKnown && !word.Synced.Before(committed)
	})
	if isCounted {
		return nil
	}
	return violated(CountsPresentLives, "%s commits %v, and of its voters too few have said in their present lives to hold it",
		state.Member.ID, committed)
}

// leaverHoldsNothingAlone: when a member ends as planned, a majority of the voters, or all others where
// these are fewer, has the newest committed document on disk without counting it.
func leaverHoldsNothingAlone(o *observer, leaver *process) error {
	newest := o.newestCommit()
	if newest == nil {
		return nil
	}
	if _, isVoter := newest.Voter(leaver.disk.member); !isVoter {
		return nil
	}
	count, voters := 0, len(newest.Voters)
	for _, voter := range newest.Voters {
		if voter.ID != leaver.disk.member && !o.held[voter.ID].Before(newest.Stamp()) {
			count++
		}
	}
	if count >= min(voters/2+1, voters-1) {
		return nil
	}
	return violated(LeaverHoldsNothing, "%s ends, and %v is on the disks of %d other voters of %d",
		leaver.disk.member, newest.Stamp(), count, voters)
}

// newestCommit is the newest document that was committed; nil: none was.
func (o *observer) newestCommit() *control.Document {
	var newest *control.Document
	for _, commit := range o.commits {
		if newest.Stamp().Before(commit.document.Stamp()) {
			newest = commit.document
		}
	}
	return newest
}

// acknowledgedIsKept: a document committed at or after an acknowledged revision remembers the
// submission that was acknowledged.
func acknowledgedIsKept(o *observer, document *control.Document) error {
	for _, id := range sortedKeys(o.confirmed) {
		reply := o.confirmed[id]
		if reply.Revision > document.Revision {
			continue
		}
		if known, isThere := document.Submission(id); !isThere || known.Revision != reply.Revision {
			return violated(AcknowledgedIsKept, "%s was acknowledged at revision %d, and revision %d of term %d lacks it",
				id, reply.Revision, document.Revision, document.Term)
		}
	}
	return nil
}

// rejectedTakesNoEffect: an order that was answered by a final no is in no committed document.
func rejectedTakesNoEffect(o *observer, document *control.Document) error {
	for _, id := range sortedKeys(o.rejected) {
		if known, isThere := document.Submission(id); isThere && !known.IsFenced {
			return violated(RejectedTakesNoEffect, "%s was rejected and stands in revision %d", id, document.Revision)
		}
	}
	return nil
}

// oneLeaderATerm: no two members lead in one term.
func oneLeaderATerm(o *observer, state control.CoreState) error {
	known, isThere := o.leaderOf[state.Term]
	if isThere && known != state.Member.ID {
		return violated(OneLeaderATerm, "%s and %s lead term %d", known, state.Member.ID, state.Term)
	}
	o.leaderOf[state.Term] = state.Member.ID
	return nil
}

// leaderHoldsCommitted: who begins to lead holds on disk every document that was committed in
// an earlier term, or a newer one.
func leaderHoldsCommitted(o *observer, state control.CoreState) error {
	for _, stamp := range o.newest {
		if stamp.Term < state.Term && state.Synced.Before(stamp) {
			return violated(LeaderHoldsCommitted, "%s leads term %d with %v on disk, and %v was committed",
				state.Member.ID, state.Term, state.Synced, stamp)
		}
	}
	return nil
}

// oneFounding: every document belongs to the founding that the fleet began with.
func oneFounding(state control.CoreState) error {
	for _, document := range []*control.Document{state.Document, state.Committed} {
		if document != nil && document.Founding != founding {
			return violated(OneFounding, "%s holds a document of founding %q", state.Member.ID, document.Founding)
		}
	}
	return nil
}

// contactSpan is the span of the leader's lease (check-quorum): it leads only while a quorum has
// confirmed a round that was sent within it.
func contactSpan(timing control.Timing) kernel.Micros { return 3 * timing.ElectionLow / 2 }

// noteQuorum remembers, before the timers of a leader go off, whether it heard a quorum of its
// voters recently.
func (w *World) noteQuorum(p *process) {
	state := p.core.Inspect()
	if !state.IsLeader {
		return
	}
	isHeard := state.Document.IsQuorum(func(id control.MemberID) bool {
		// A voter that has said nothing yet counts as heard when the lead began.
		at := max(p.heard[id], p.ledSince)
		return id == state.Member.ID || p.clock-at < contactSpan(w.settings.Timing)
	})
	if isHeard {
		p.quorumAt = p.clock
	}
}

// leaderKeepsContact: after its timers went off, a member leads only if it had heard a quorum of the
// voters of its newest document within the span of its lease.
func leaderKeepsContact(p *process) error {
	state := p.core.Inspect()
	if !state.IsLeader || p.quorumAt == p.clock {
		return nil
	}
	return violated(LeaderHasContact, "%s leads term %d and last had a quorum of %d voters %d us ago",
		state.Member.ID, state.Term, len(state.Document.Voters), p.clock-p.quorumAt)
}

// leaderWrites: after its timers went off, a member leads only while no write has been outstanding for
// longer than the span after which a disk counts as stalled.
func leaderWrites(timing control.Timing, p *process) error {
	state := p.core.Inspect()
	if !state.IsLeader || p.pending == nil || p.clock-p.pendingAt <= timing.DiskStall {
		return nil
	}
	return violated(LeaderWrites, "%s leads term %d, and a write has been outstanding for %d us",
		state.Member.ID, state.Term, p.clock-p.pendingAt)
}

// majoritiesIntersect: of the documents on the disks, any two under which a member could still
// win an election have no two disjoint majorities that could elect.
func majoritiesIntersect(w *World) error {
	electable := []electorate{}
	for _, p := range w.processes {
		if found, isElectable := w.electorateOf(p); isElectable {
			electable = append(electable, found)
		}
	}
	for i, one := range electable {
		for _, other := range electable[i+1:] {
			if one.isDisjointFrom(other) {
				return violated(MajoritiesIntersect, "disjoint majorities could elect m%d under %v with %d voters and m%d under %v with %d voters",
					one.candidate+1, one.stamp, one.size, other.candidate+1, other.stamp, other.size)
			}
		}
	}
	return nil
}

// electorate is who could vote for one member under the document on its disk.
type electorate struct {
	candidate int
	stamp     control.Stamp
	size      int
	quorums   []uint // each with one bit a process, the candidate among them
}

// electorateOf collects the quorums of a member's document among those that are not ahead of it.
func (w *World) electorateOf(p *process) (electorate, bool) {
	document := p.disk.document
	found := electorate{candidate: p.index, stamp: document.Stamp()}
	if _, isVoter := document.Voter(p.disk.member); !isVoter {
		return found, false
	}
	if found.stamp.Before(p.disk.promise()) {
		return found, false
	}
	found.size = len(document.Voters)
	willing := uint(0)
	places := map[control.MemberID]uint{}
	for _, other := range w.processes {
		places[other.disk.member] = 1 << other.index
		if !found.stamp.Before(other.disk.promise()) {
			willing |= 1 << other.index
		}
	}
	for quorum := range uint(1) << len(w.processes) {
		isAble := quorum&^willing == 0 && quorum&(1<<p.index) != 0
		if isAble && document.IsQuorum(func(id control.MemberID) bool { return quorum&places[id] != 0 }) {
			found.quorums = append(found.quorums, quorum)
		}
	}
	return found, len(found.quorums) > 0
}

// isDisjointFrom tells whether some quorum of each shares no voter with the other's.
func (e electorate) isDisjointFrom(other electorate) bool {
	for _, one := range e.quorums {
		for _, two := range other.quorums {
			if one&two == 0 {
				return true
			}
		}
	}
	return false
}

// reply takes an answer to an operator and holds it against the invariants.
func (o *observer) reply(w *World, p *process, m control.Message) error {
	switch {
	case m.SubmitReply != nil:
		return o.submitReply(w, m.SubmitReply)
	case m.ReadReply != nil:
		return o.readReply(w, m.ReadReply.Token, m.ReadReply.Document.Revision, m.ReadReply.Document, "read")
	case m.GrantBatch != nil:
		ask := w.operators.Reads[m.GrantBatch.Asks[0].Seq-1]
		return readsAreNewest(ask.Floor, m.GrantBatch.Revision, "grant")
	}
	return nil
}

func (o *observer) submitReply(w *World, reply *control.SubmitReply) error {
	w.trace("operators are told: %s %s at revision %d %s", reply.ID, reply.Outcome, reply.Revision, reply.Reason)
	index, err := strconv.Atoi(reply.ID[len("put-"):])
	if err != nil {
		panic(fmt.Sprintf("modelcheck: a reply to no put: %v", err))
	}
	order := &w.operators.Puts[index]
	switch reply.Outcome {
	case control.Yes:
		o.confirmed[reply.ID] = *reply
		o.acknowledged = max(o.acknowledged, reply.Revision)
		if err := oneConfirmedAVersion(o, order.Base, reply.ID); err != nil {
			return err
		}
		if err := confirmedIsCommitted(o, reply); err != nil {
			return err
		}
	case control.No:
		o.rejected[reply.ID] = true
		for _, revision := range sortedKeys(o.commits) {
			if err := rejectedTakesNoEffect(o, o.commits[revision].document); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	if !order.Ended {
		order.Ended, order.Outcome = true, reply.Outcome
		o.history = append(o.history, operation{Index: index, Call: order.Began, Return: o.tick()})
	}
	return nil
}

// oneConfirmedAVersion: of all orders that build on one version at most one is confirmed.
func oneConfirmedAVersion(o *observer, base uint64, id string) error {
	known, isThere := o.byBase[base]
	if isThere && known != id {
		return violated(OneConfirmedAVersion, "%s and %s are both confirmed on version %d", known, id, base)
	}
	o.byBase[base] = id
	return nil
}

// confirmedIsCommitted: a confirmed order stands in a committed document, under the revision
// that was told, and a majority of the voters' disks holds that document.
func confirmedIsCommitted(o *observer, reply *control.SubmitReply) error {
	for _, revision := range sortedKeys(o.commits) {
		document := o.commits[revision].document
		if known, isThere := document.Submission(reply.ID); isThere && known.Revision == reply.Revision {
			return nil
		}
	}
	return violated(AcknowledgedIsKept, "%s is confirmed at revision %d, and no committed document has it", reply.ID, reply.Revision)
}

func (o *observer) readReply(w *World, token, revision uint64, document *control.Document, what string) error {
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

// readsAreNewest: a read, or a grant, shows a revision at least as new as every one that was
// acknowledged before it began.
func readsAreNewest(floor, revision uint64, what string) error {
	if revision >= floor {
		return nil
	}
	return violated(ReadsAreNewest, "a %s shows revision %d, and %d was acknowledged before it began", what, revision, floor)
}
