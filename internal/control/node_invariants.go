package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/invariant"
)

// nodeInvariantState is the earlier state that a node's invariants compare its current state with.
type nodeInvariantState struct {
	applied      uint64 // applied revision
	config       uint64 // revision of the applied configuration
	acknowledged uint64 // newest revision at which a submission made here was acknowledged
}

// checkInvariants checks, after each event, that neither the applied revision nor the revision of the applied
// configuration has decreased.
func (n *Node) checkInvariants() {
	monitor, state := n.settings.Invariants, &n.invariantState
	applied, config := n.lease.Revision(), uint64(0)
	if n.lease.Applied() != nil {
		config = n.lease.Applied().ConfigRevision
	}
	monitor.Check(invariant.AppliedIsMonotonic, applied >= state.applied && config >= state.config,
		"revision %d with configuration %d was applied after revision %d with configuration %d", applied, config, state.applied, state.config)
	state.applied, state.config = applied, config
}

// readFloor returns the oldest revision that a read starting now may return.
func (n *Node) readFloor() uint64 { return max(n.lease.Revision(), n.invariantState.acknowledged) }

// checkRead checks that a read returns no revision older than its floor.
func (n *Node) checkRead(read *linearizableRead, document *cluster.Document) {
	n.settings.Invariants.Check(invariant.ReadIsNewest, document.Revision >= read.floor,
		"a read returned revision %d, but revision %d was known here before it started", document.Revision, read.floor)
}

// checkConfirmedEnds checks the records of engines whose drain or removal was confirmed here. An engine with a
// confirmed drain still has to be draining, and one with a confirmed removal still has to be draining and unlisted.
// Engines without a record pass.
func (n *Node) checkConfirmedEnds() {
	for key := range n.announcements.confirmedEnds {
		engine, isThere := n.directory.Engine(key.engine)
		n.settings.Invariants.Check(invariant.ConfirmedDrainIsPermanent, !isThere || engine.IsDraining && (engine.IsUnlisted || !key.isUnlisted),
			"the end of engine %s was confirmed, but its record has draining: %v, unlisted: %v", key.engine, engine.IsDraining, engine.IsUnlisted)
	}
}
