package control

import (
	"fmt"

	"dunlinloom/internal/kernel"
)

// The next document, made out of what is due while none is in flight.

const buildEvery = 100 * kernel.Millisecond

// build makes the next document out of what is due, if none is in flight.
func (c *Core) build() {
	if c.role != leader || !c.isOwnTerm || c.committed.stamp() != c.doc.stamp() {
		return
	}
	next := c.doc.next(c.term)
	reasons := []string{}
	c.tendVoters(next, &reasons)
	c.tendRegister(next, &reasons)
	c.tendHomes(next, &reasons)
	c.tendMarks(next, &reasons)
	for len(c.queue) > 0 && !c.holdsOrders() {
		held := c.queue[0]
		c.queue = c.queue[1:]
		// One order a document: each yes stays readable under its own revision.
		if c.order(next, held) {
			reasons = append(reasons, "submission "+held.submit.ID)
			break
		}
	}
	if len(reasons) == 0 {
		return
	}
	c.note("core", proposes, proposeForm+"%v", next.Revision, reasons)
	c.propose(next)
}

// How a proposal stands in the journal, to be written and read by the same form.
const (
	proposes    = "propose"
	proposeForm = "revision %d: "
	// formerProposeForm is what journals on disk from before the rename hold.
	formerProposeForm = "generation %d: "
)

// Proposes tells which revision an entry of a journal proposes; zero for none.
func Proposes(entry kernel.Entry) (revision uint64) {
	if entry.Subject != "core" || entry.Decision != proposes {
		return 0
	}
	for _, form := range []string{proposeForm, formerProposeForm} {
		if _, err := fmt.Sscanf(entry.Why, form, &revision); err == nil {
			return revision
		}
	}
	return 0
}
