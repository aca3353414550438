package control

import "fmt"

// A member must not vote as if it held less than it has acknowledged: a candidate that lacks a
// committed document could then win by its vote. Votes are therefore weighed against the newest
// document that this member is known to have acknowledged, even where its folder no longer holds
// it, because the file is damaged or the folder was put back from an older copy.

// FolderRolledBack says that a folder holds less than its member has acknowledged.
type FolderRolledBack struct{ Promised, Found Stamp }

func (b FolderRolledBack) Error() string {
	return fmt.Sprintf("this member has acknowledged generation %d of term %d, and its folder only holds generation %d of term %d",
		b.Promised.Revision, b.Promised.Term, b.Found.Revision, b.Found.Term)
}

// checkPromise takes the leader's word on what this member has acknowledged.
func (c *Core) checkPromise(promised Stamp) {
	if !c.promised.before(promised) || !c.synced.before(promised) {
		return
	}
	c.promised = promised
	c.note("disk", "fence", "%v", FolderRolledBack{promised, c.synced})
}
