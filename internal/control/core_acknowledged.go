package control

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
)

// A member votes only for a candidate that is at least as up to date as the newest document that the member
// has ever acknowledged. The data folder may no longer hold that document, because a file was damaged
// or the folder was restored from an older copy. If the member compared the candidate with its folder then, its vote
// could elect a leader that lacks a committed document.

// FolderRolledBackError reports that a data folder holds an older document than its member has acknowledged.
// Acknowledged is the position that the leader knows, and Found is the newest position in the folder.
type FolderRolledBackError struct{ Acknowledged, Found cluster.Position }

func (e FolderRolledBackError) Error() string {
	return fmt.Sprintf("data folder was rolled back: this member has acknowledged revision %d of term %d, and the folder only holds revision %d of term %d",
		e.Acknowledged.Revision, e.Acknowledged.Term, e.Found.Revision, e.Found.Term)
}

// checkAcknowledgedPosition takes from a heartbeat the newest position that this member has acknowledged. If the
// data folder has lost that document, the member neither stands for election nor votes for a candidate
// that lacks it.
func (c *Core) checkAcknowledgedPosition(acknowledged cluster.Position) {
	if !c.acknowledged.Before(acknowledged) || !c.synced.Before(acknowledged) {
		return
	}
	c.acknowledged = acknowledged
	c.note(decision.Disk, decision.Fence, "%v", FolderRolledBackError{acknowledged, c.synced})
}
