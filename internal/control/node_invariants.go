package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/invariant"
)

// nodeInvariantState is what a node's invariants compare its present state with.
type nodeInvariantState struct {
	applied      uint64
	config       uint64
	acknowledged uint64 // the newest revision that an order made here was acknowledged with
}

// checkInvariants holds the state of the node after an event against the one before.
func (n *Node) checkInvariants() {
	monitor, watch := n.settings.Invariants, &n.invariantState
	applied, config := n.lease.Revision(), uint64(0)
	if n.lease.Applied() != nil {
		config = n.lease.Applied().ConfigRevision
	}
	monitor.Check(invariant.AppliedIsMonotonic, applied >= watch.applied && config >= watch.config,
		"revision %d with configuration %d is applied after %d with %d", applied, config, watch.applied, watch.config)
	watch.applied, watch.config = applied, config
}

// readFloor is the oldest revision that a read may show which begins now.
func (n *Node) readFloor() uint64 { return max(n.lease.Revision(), n.invariantState.acknowledged) }

// checkRead takes that a read is answered.
func (n *Node) checkRead(read *linearizableRead, document *cluster.Document) {
	n.settings.Invariants.Check(invariant.ReadIsNewest, document.Revision >= read.floor,
		"a read shows revision %d, and %d was known here before it began", document.Revision, read.floor)
}

// checkConfirmedEnds looks whether the engines whose end was confirmed here are still leaving.
func (n *Node) checkConfirmedEnds() {
	for key := range n.announcements.confirmedEnds {
		engine, isThere := n.directory.Engine(key.engine)
		n.settings.Invariants.Check(invariant.ConfirmedDrainIsPermanent, !isThere || engine.IsDraining && (engine.IsUnlisted || !key.isUnlisted),
			"the end of engine %s was confirmed, and it counts as leaving: %v, gone: %v", key.engine, engine.IsDraining, engine.IsUnlisted)
	}
}
