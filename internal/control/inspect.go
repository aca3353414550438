package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// What a host of a core other than a Node, such as the model checker, needs to see.

// CoreState is a core's state as far as its invariants speak of it.
type CoreState struct {
	Member    cluster.Member
	Role      string
	IsLeader  bool
	Term      uint64
	Document  *cluster.Document // the newest accepted
	Synced    cluster.Position  // the newest on disk
	Committed *cluster.Document
	// IsLeaving: a planned stop was asked for. IsNeeded: it must not end yet.
	IsLeaving, IsNeeded bool
}

// Inspect returns a core's present state.
func (c *Core) Inspect() CoreState {
	return CoreState{
		Member: c.settings.Self, Role: c.role.String(), IsLeader: c.role == leader, Term: c.term,
		Document: c.doc, Synced: c.synced, Committed: c.committed,
		IsLeaving: c.isLeaving, IsNeeded: c.isNeeded(),
	}
}

// TakeCommands returns the commands that have gathered since the last call, to be carried out in their order.
func (c *Core) TakeCommands() []commands.Command { return c.takeCommands() }
