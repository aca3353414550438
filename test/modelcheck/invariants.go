package modelcheck

import (
	"fmt"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// Invariant is a property that holds in every state. Its text is printed with a violation.
type Invariant string

// The invariants.
const (
	OneDocumentPerRevision    Invariant = "at most one document is committed per revision"
	AcknowledgedIsDurable     Invariant = "nothing acknowledged is lost"
	MajorityHoldsCommitted    Invariant = "a majority of the voters' disks holds every committed document"
	OneConfirmedPerVersion    Invariant = "no two submissions are confirmed on one version"
	ReadsAreNewest            Invariant = "no read is older than an acknowledgement before it"
	MajoritiesIntersect       Invariant = "any two majorities that could elect a leader intersect"
	OneClusterID              Invariant = "one cluster id per fleet"
	OneLeaderPerTerm          Invariant = "at most one leader per term"
	LeaderHasContact          Invariant = "a leader without a majority steps down in time"
	LeaderHoldsCommitted      Invariant = "a leader holds every document committed in earlier terms"
	HistoryIsLinearizable     Invariant = "operators' histories are linearizable"
	RejectedTakesNoEffect     Invariant = "a rejected submission takes no effect"
	CountsCurrentIncarnations Invariant = "a leader counts only what the current incarnations of the voters have synced"
	LeaverIsReleased          Invariant = "a member that leaves is not needed for a majority to hold the committed document"
	LeaderDiskIsHealthy       Invariant = "a leader whose disk is stalled steps down in time"
	CoreDoesNotPanic          Invariant = "a core handles every event without a panic"
	RunsEnd                   Invariant = "messages do not cause further messages without end"
	LossIsSurvived            Invariant = "a tolerated loss of disks and of all power leaves a majority of the voters and what is committed"
)

// ofCore converts a violation that the core reports itself.
func ofCore(violation invariant.ViolationError) ViolationError {
	return ViolationError{Invariant("the core's own: " + string(violation.Invariant)), violation.Error()}
}

// ViolationError reports which invariant was violated, and how.
type ViolationError struct {
	Invariant Invariant
	Why       string
}

func (e ViolationError) Error() string { return fmt.Sprintf("%s: %s", e.Invariant, e.Why) }

func violated(invariant Invariant, form string, args ...any) error {
	return ViolationError{invariant, fmt.Sprintf(form, args...)}
}

// runEnds checks that a run reached its last time step within maxSteps.
func runEnds(w *World, maxTimeSteps int) error {
	if w.timeStep >= maxTimeSteps {
		return nil
	}
	return violated(RunsEnd, "after %d steps the run has reached only time step %d of %d", maxSteps, w.timeStep, maxTimeSteps)
}

// oneDocumentPerRevision checks that documents committed under the same revision differ at most in the term.
func oneDocumentPerRevision(known commit, document *cluster.Document, content uint64) error {
	if known.content == content {
		return nil
	}
	return violated(OneDocumentPerRevision, "revision %d is committed with different contents in terms %d and %d",
		document.Revision, known.document.Term, document.Term)
}

// majorityHoldsCommitted checks that when a document counts as committed, a quorum of its voters has it or a
// newer one on disk. A disk that has since been lost counts with its former content, since the assumption
// that at most a minority of disks is lost covers it.
func majorityHoldsCommitted(o *observer, document *cluster.Document) error {
	count := 0
	isOnQuorum := document.IsQuorum(func(id cluster.MemberID) bool {
		hasSynced := !o.newestSynced[id].Before(document.Position())
		if hasSynced {
			count++
		}
		return hasSynced
	})
	if isOnQuorum {
		return nil
	}
	return violated(MajorityHoldsCommitted, "revision %d of term %d is committed but is on the disks of only %d of %d voters",
		document.Revision, document.Term, count, len(document.Voters))
}

// countsCurrentIncarnations checks that when a leader commits a document of its term, a quorum of the voters
// has acknowledged it in the newest incarnation of each that the leader knows.
func countsCurrentIncarnations(p *process, state control.CoreState) error {
	committed := state.Committed.Position()
	if !state.IsLeader || committed.Term != state.Term || !p.countedUpTo.Before(committed) {
		return nil
	}
	p.countedUpTo = committed
	isCounted := state.Committed.IsQuorum(func(id cluster.MemberID) bool {
		if id == state.Member.ID {
			return !state.Synced.Before(committed)
		}
		report, isKnown := p.syncReports[id]
		return isKnown && !report.Synced.Before(committed)
	})
	if isCounted {
		return nil
	}
	return violated(CountsCurrentIncarnations, "%s commits %v, but too few voters have acknowledged it in their current incarnations",
		state.Member.ID, committed)
}

// leaverIsReleased checks that when a member has left, enough other voters have the newest committed document
// on disk: a majority of the voters, or all others if these are fewer.
func leaverIsReleased(o *observer, leaver *process) error {
	newest := o.newestCommit()
	if newest == nil {
		return nil
	}
	if _, isVoter := newest.Voter(leaver.disk.member); !isVoter {
		return nil
	}
	count, voters := 0, len(newest.Voters)
	for _, voter := range newest.Voters {
		if voter.ID != leaver.disk.member && !o.newestSynced[voter.ID].Before(newest.Position()) {
			count++
		}
	}
	if count >= min(voters/2+1, voters-1) {
		return nil
	}
	return violated(LeaverIsReleased, "%s has left, but %v is on the disks of only %d other voters of %d",
		leaver.disk.member, newest.Position(), count, voters)
}

// acknowledgedIsDurable checks that a document committed at or after an acknowledged revision
// contains the submission that was acknowledged.
func acknowledgedIsDurable(o *observer, document *cluster.Document) error {
	for _, id := range sortedKeys(o.confirmed) {
		reply := o.confirmed[id]
		if reply.Revision > document.Revision {
			continue
		}
		if known, isThere := document.Submission(id); !isThere || known.Revision != reply.Revision {
			return violated(AcknowledgedIsDurable, "%s was acknowledged at revision %d, but revision %d of term %d lacks it",
				id, reply.Revision, document.Revision, document.Term)
		}
	}
	return nil
}

// lossIsSurvived checks, after a tolerated loss of disks, that a majority of the voters of the newest committed document
// still has its disks, and that the document is on one of them.
func lossIsSurvived(w *World) error {
	newest := w.observer.newestCommit()
	if newest == nil {
		return nil
	}
	left, isHeld := 0, false
	isMajorityLeft := newest.IsQuorum(func(id cluster.MemberID) bool {
		index := slices.IndexFunc(w.processes, func(p *process) bool { return p.disk.member == id && !w.observer.lostMembers[id] })
		if index < 0 {
			return false
		}
		left++
		isHeld = isHeld || !w.processes[index].disk.newestWritten().Before(newest.Position())
		return true
	})
	switch {
	case !isMajorityLeft:
		return violated(LossIsSurvived, "%d of the %d voters of %v still have their disks", left, len(newest.Voters), newest.Position())
	case !isHeld:
		return violated(LossIsSurvived, "%v is committed and on no disk of its voters any more", newest.Position())
	}
	return nil
}

// rejectedTakesNoEffect checks that a rejected submission is in no committed document.
func rejectedTakesNoEffect(o *observer, document *cluster.Document) error {
	for _, id := range sortedKeys(o.rejected) {
		if known, isThere := document.Submission(id); isThere && !known.IsAborted {
			return violated(RejectedTakesNoEffect, "%s was rejected but is in revision %d", id, document.Revision)
		}
	}
	return nil
}

// oneLeaderPerTerm checks that no two members lead in one term.
func oneLeaderPerTerm(o *observer, state control.CoreState) error {
	known, isThere := o.leaderOf[state.Term]
	if isThere && known != state.Member.ID {
		return violated(OneLeaderPerTerm, "%s and %s both lead term %d", known, state.Member.ID, state.Term)
	}
	o.leaderOf[state.Term] = state.Member.ID
	return nil
}

// leaderHoldsCommitted checks that a new leader has on disk the newest document committed in earlier terms,
// or a newer one.
func leaderHoldsCommitted(o *observer, state control.CoreState) error {
	for _, position := range o.newest {
		if position.Term < state.Term && state.Synced.Before(position) {
			return violated(LeaderHoldsCommitted, "%s leads term %d with %v on disk, and %v was committed",
				state.Member.ID, state.Term, state.Synced, position)
		}
	}
	return nil
}

// oneClusterID checks that every document carries the cluster id of the fleet's bootstrap.
func oneClusterID(state control.CoreState) error {
	for _, document := range []*cluster.Document{state.Document, state.Committed} {
		if document != nil && document.ClusterID != clusterID {
			return violated(OneClusterID, "%s holds a document of cluster id %q", state.Member.ID, document.ClusterID)
		}
	}
	return nil
}

// leaseDuration returns the duration of the leader's lease (check-quorum). A leader stays leader only while a
// quorum has confirmed a round that was sent within this duration.
func leaseDuration(timing cluster.Timing) kernel.Micros { return 3 * timing.MinElectionTimeout / 2 }

// recordQuorum records, before the timers of a leader fire, whether a quorum of its voters has contacted it
// within the lease duration.
func (w *World) recordQuorum(p *process) {
	state := p.core.Inspect()
	if !state.IsLeader {
		return
	}
	hasQuorum := state.Document.IsQuorum(func(id cluster.MemberID) bool {
		// A voter that has not sent anything yet counts as heard when the member became leader.
		at := max(p.lastContact[id], p.ledSince)
		return id == state.Member.ID || p.clock-at < leaseDuration(w.settings.Timing)
	})
	if hasQuorum {
		p.quorumAt = p.clock
	}
}

// leaderKeepsContact checks that a member still leads after its timers fired only if a quorum of the voters
// of its newest document has contacted it within the lease duration.
func leaderKeepsContact(p *process) error {
	state := p.core.Inspect()
	if !state.IsLeader || p.quorumAt == p.clock {
		return nil
	}
	return violated(LeaderHasContact, "%s leads term %d, but its last contact with a quorum of %d voters was %d us ago",
		state.Member.ID, state.Term, len(state.Document.Voters), p.clock-p.quorumAt)
}

// leaderDiskIsHealthy checks that a member still leads after its timers fired only if no write has been
// outstanding for longer than the disk stall timeout.
func leaderDiskIsHealthy(timing cluster.Timing, p *process) error {
	state := p.core.Inspect()
	if !state.IsLeader || p.pending == nil || p.clock-p.pendingAt <= timing.DiskStallTimeout {
		return nil
	}
	return violated(LeaderDiskIsHealthy, "%s leads term %d, but a write has been outstanding for %d us",
		state.Member.ID, state.Term, p.clock-p.pendingAt)
}

// oneConfirmedPerVersion checks that at most one of the submissions that build on a version is confirmed.
func oneConfirmedPerVersion(o *observer, base uint64, id string) error {
	known, isThere := o.byBase[base]
	if isThere && known != id {
		return violated(OneConfirmedPerVersion, "%s and %s are both confirmed on version %d", known, id, base)
	}
	o.byBase[base] = id
	return nil
}

// confirmedIsCommitted checks that a confirmed submission is in a committed document under the revision that
// its response names. majorityHoldsCommitted checks that a majority of the voters' disks holds that document.
func confirmedIsCommitted(o *observer, reply *cluster.SubmitResponse) error {
	for _, revision := range sortedKeys(o.commits) {
		document := o.commits[revision].document
		if known, isThere := document.Submission(reply.ID); isThere && known.Revision == reply.Revision {
			return nil
		}
	}
	return violated(AcknowledgedIsDurable, "%s is confirmed at revision %d, but no committed document contains it", reply.ID, reply.Revision)
}

// readsAreNewest checks that a read or a lease grant returns a revision at least as new as every revision
// acknowledged before it began.
func readsAreNewest(floor, revision uint64, what string) error {
	if revision >= floor {
		return nil
	}
	return violated(ReadsAreNewest, "a %s returned revision %d, but %d was acknowledged before it began", what, revision, floor)
}
