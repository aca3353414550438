package control

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
)

// A member must not vote as if it held less than it has acknowledged: a candidate that lacks a
// committed document could then win by its vote. Votes are therefore weighed against the newest
// document that this member is known to have acknowledged, even where its folder no longer holds
// it, because the file is damaged or the folder was put back from an older copy.

// FolderRolledBackError says that a folder holds less than its member has acknowledged: Acknowledged is what
// the leader knows of, Found what the folder holds.
type FolderRolledBackError struct{ Acknowledged, Found cluster.Position }

func (b FolderRolledBackError) Error() string {
	return fmt.Sprintf("this member has acknowledged revision %d of term %d, and its folder only holds revision %d of term %d",
		b.Acknowledged.Revision, b.Acknowledged.Term, b.Found.Revision, b.Found.Term)
}

// checkAcknowledgedPosition learns from the leader what this member has acknowledged. If its folder has lost
// that document, the member neither stands for election nor votes for a candidate that lacks it.
func (c *Core) checkAcknowledgedPosition(acknowledged cluster.Position) {
	if !c.acknowledged.Before(acknowledged) || !c.synced.Before(acknowledged) {
		return
	}
	c.acknowledged = acknowledged
	c.note(decision.Disk, decision.Fence, "%v", FolderRolledBackError{acknowledged, c.synced})
}
