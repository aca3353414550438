package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// Access to a Core for hosts other than a Node, such as the model checker.

// CoreState is the part of a core's state that its invariants are about.
type CoreState struct {
	Member    cluster.Member
	Role      string
	IsLeader  bool
	Term      uint64
	Document  *cluster.Document // the newest accepted document
	Synced    cluster.Position  // the newest document on disk
	Committed *cluster.Document
	// IsLeaving reports whether a planned stop was requested, and IsNeeded whether the process must not end yet because
	// of a document that too few other members may hold.
	IsLeaving, IsNeeded bool
}

// Inspect returns the core's current state.
func (c *Core) Inspect() CoreState {
	return CoreState{
		Member: c.settings.Self, Role: c.role.String(), IsLeader: c.role == leader, Term: c.term,
		Document: c.doc, Synced: c.synced, Committed: c.committed,
		IsLeaving: c.isLeaving, IsNeeded: c.isNeeded(),
	}
}

// TakeCommands checks the invariants and returns the commands since the last call. The caller executes them in order.
func (c *Core) TakeCommands() []commands.Command { return c.takeCommands() }
