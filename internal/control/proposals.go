package control

import (
	"fmt"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// The leader builds and proposes one document at a time.

// buildInterval is how often a leader looks for changes to reconcile if no operations are queued.
const buildInterval = 100 * kernel.Millisecond

// isReadyToBuild reports whether this member leads, has committed a document in its term, and has no newer document
// that is not committed yet.
func (c *Core) isReadyToBuild() bool {
	return c.role == leader && c.hasCommittedInTerm && c.committed.Position() == c.doc.Position()
}

// build proposes the next document if something has to change and no proposal is in flight.
func (c *Core) build() {
	if !c.isReadyToBuild() {
		return
	}
	next := c.doc.Next(c.term)
	reasons := []string{}
	c.reconcileVoters(next, &reasons)
	c.reconcileRouters(next, &reasons)
	c.reconcileCoordinators(next, &reasons)
	c.reconcileDrainingMarks(next, &reasons)
	for len(c.queue) > 0 && !c.delaysOperations() {
		queued := c.queue[0]
		c.queue = c.queue[1:]
		// A document contains at most one operation, so that each acknowledged one can be read back at its own
		// revision.
		if c.applyOperation(next, queued) {
			reasons = append(reasons, "submission "+queued.submit.ID)
			break
		}
	}
	if len(reasons) == 0 {
		return
	}
	c.note(decision.Core, decision.Propose, proposeFormat+"%v", next.Revision, reasons)
	c.propose(next)
}

// The formats of a proposal's journal entry, which ProposedRevision parses.
const (
	proposeFormat = "revision %d: "
	// formerProposeFormat was used by earlier builds, whose journals may still be on disk.
	formerProposeFormat = "generation %d: "
)

// ProposedRevision returns the revision that a journal entry proposes, or zero if it is no proposal.
func ProposedRevision(entry kernel.Entry) (revision uint64) {
	if entry.Subject != string(decision.Core) || entry.Decision != string(decision.Propose) {
		return 0
	}
	for _, format := range []string{proposeFormat, formerProposeFormat} {
		if _, err := fmt.Sscanf(entry.Reason, format, &revision); err == nil {
			return revision
		}
	}
	return 0
}
