package control

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
)

// A member votes only for a candidate that is at least as up to date as the newest document that the member has ever
// acknowledged. The data folder may no longer hold that document, because a file was damaged or the folder was restored
// from an older copy. If the member compared the candidate only with what its folder still holds, its vote could elect
// a leader that lacks a committed document.

// FolderRolledBackError reports that a data folder holds an older document than its member has acknowledged.
// Acknowledged is the position that the leader knows, and Found is the newest position in the folder.
type FolderRolledBackError struct{ Acknowledged, Found cluster.Position }

func (e FolderRolledBackError) Error() string {
	return fmt.Sprintf("data folder was rolled back: this member has acknowledged revision %d of term %d, and the folder only holds revision %d of term %d",
		e.Acknowledged.Revision, e.Acknowledged.Term, e.Found.Revision, e.Found.Term)
}

// checkAcknowledgedPosition gets the newest position that this member has acknowledged, as the leader's heartbeat names
// it. If the data folder has lost that document, the position is kept. The member then votes for no candidate that
// lacks the document, and does not stand for election until it has synced the document again.
func (c *Core) checkAcknowledgedPosition(acknowledged cluster.Position) {
	if !c.acknowledged.Before(acknowledged) || !c.synced.Before(acknowledged) {
		return
	}
	c.acknowledged = acknowledged
	c.note(decision.Disk, decision.Fence, "%v", FolderRolledBackError{acknowledged, c.synced})
}
