package control

import (
	"bytes"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/invariant"
)

// coreInvariantState is what a core's invariants compare its present state with.
type coreInvariantState struct {
	term      uint64
	committed *cluster.Document
	// leaders names who led the newest term in which this member heard a leader.
	leaderTerm uint64
	leader     cluster.MemberID
}

// checkInvariants compares the state of the core after an event with the one before: neither the term nor the
// committed revision falls, and nothing is on disk that was not accepted.
func (c *Core) checkInvariants() {
	monitor, state := c.settings.Invariants, &c.invariantState
	monitor.Check(invariant.TermIsMonotonic, c.term >= state.term, "term %d follows %d", c.term, state.term)
	monitor.Check(invariant.CommittedIsMonotonic, isCommitSuccessor(state.committed, c.committed), "%v follows %v as committed",
		c.committed.Position(), state.committed.Position())
	monitor.Check(invariant.SyncedIsAccepted, !c.doc.Position().Before(c.synced), "%v is on the disk, and %v is the newest that was accepted",
		c.synced, c.doc.Position())
	state.term, state.committed = c.term, c.committed
	if c.role == leader {
		c.checkLeader(c.term, c.settings.Self.ID)
	}
}

// checkLeader records that a member leads a term, and checks that no other led it.
func (c *Core) checkLeader(term uint64, member cluster.MemberID) {
	state := &c.invariantState
	if term > state.leaderTerm {
		state.leaderTerm, state.leader = term, member
		return
	}
	isSame := term < state.leaderTerm || member == state.leader
	c.settings.Invariants.Check(invariant.OneLeaderPerTerm, isSame, "%s and %s lead term %d", state.leader, member, term)
}

// isCommitSuccessor tells whether a committed document may follow another: one of the same revision
// has the same configuration, and no revision is taken back.
func isCommitSuccessor(before, after *cluster.Document) bool {
	if before == nil || before == after {
		return true
	}
	if after == nil || after.Revision < before.Revision {
		return false
	}
	return after.Revision > before.Revision ||
		after.ConfigRevision == before.ConfigRevision && bytes.Equal(after.Config, before.Config)
}

// checkAcknowledged checks that a submission about to be acknowledged is committed at its revision.
func (c *Core) checkAcknowledged(id string, revision uint64) {
	known, isKnown := c.committed.Submission(id)
	isPruned := !isKnown && c.committed.Revision > revision
	c.settings.Invariants.Check(invariant.AckIsCommitted, isPruned || isKnown && known.Revision == revision && !known.IsAborted,
		"submission %s is acknowledged at revision %d, and the committed revision %d does not have it", id, revision, c.committed.Revision)
}
