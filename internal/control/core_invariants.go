package control

import (
	"bytes"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/invariant"
)

// coreInvariantState is the earlier state that a core's invariants compare its current state with.
type coreInvariantState struct {
	term      uint64
	committed *cluster.Document
	// leader is the leader of leaderTerm, the newest term in which this member heard of one.
	leaderTerm uint64
	leader     cluster.MemberID
}

// checkInvariants compares the state of the core after an event with the one before it: the term and the
// committed revision never decrease, and the newest synced document is never newer than the newest accepted one.
func (c *Core) checkInvariants() {
	monitor, state := c.settings.Invariants, &c.invariantState
	monitor.Check(invariant.TermIsMonotonic, c.term >= state.term, "term %d follows %d", c.term, state.term)
	monitor.Check(invariant.CommittedIsMonotonic, isCommitSuccessor(state.committed, c.committed), "%v follows %v as committed",
		c.committed.Position(), state.committed.Position())
	monitor.Check(invariant.SyncedIsAccepted, !c.doc.Position().Before(c.synced), "document %v is synced to disk, but the newest accepted one is %v",
		c.synced, c.doc.Position())
	state.term, state.committed = c.term, c.committed
	if c.role == leader {
		c.checkLeader(c.term, c.settings.Self.ID)
	}
}

// checkLeader records the leader of a term, and checks that no other member led it.
func (c *Core) checkLeader(term uint64, member cluster.MemberID) {
	state := &c.invariantState
	if term > state.leaderTerm {
		state.leaderTerm, state.leader = term, member
		return
	}
	isSame := term < state.leaderTerm || member == state.leader
	c.settings.Invariants.Check(invariant.OneLeaderPerTerm, isSame, "%s and %s lead term %d", state.leader, member, term)
}

// isCommitSuccessor reports whether one committed document may follow another: the revision never decreases, and
// two documents of one revision have the same configuration.
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

// checkAcknowledged checks that a submission that is about to be acknowledged is committed at its revision.
func (c *Core) checkAcknowledged(id string, revision uint64) {
	known, isKnown := c.committed.Submission(id)
	isPruned := !isKnown && c.committed.Revision > revision
	c.settings.Invariants.Check(invariant.AckIsCommitted, isPruned || isKnown && known.Revision == revision && !known.IsAborted,
		"submission %s is acknowledged at revision %d, but committed revision %d does not contain it", id, revision, c.committed.Revision)
}
