package control

import (
	"fmt"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// The next document, made out of what is due while none is in flight.

// buildInterval is how often a leader without operations looks for something to reconcile.
const buildInterval = 100 * kernel.Millisecond

// isReadyToBuild tells whether this member leads and its newest document is committed, in its own term.
func (c *Core) isReadyToBuild() bool {
	return c.role == leader && c.hasCommittedInTerm && c.committed.Position() == c.doc.Position()
}

// build makes the next document out of what is due, if none is in flight.
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
		// One operation a document, so that each acknowledged one can be read back at its own revision.
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

// How a proposal stands in the journal, to be written and read by the same form.
const (
	proposeFormat = "revision %d: "
	// formerProposeFormat is what journals on disk from before the rename hold.
	formerProposeFormat = "generation %d: "
)

// ProposedRevision tells which revision an entry of a journal proposes; zero for none.
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
