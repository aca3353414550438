package control

import (
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// A planned stop of a node: its duties go to others.

// handoverInterval is the pause between two namings of a successor: the leader that heard the
// first may have been the leaving node itself, or another that is gone by now.
const handoverInterval = 200 * kernel.Millisecond

// Leave begins a planned stop.
func (n *Node) Leave(now kernel.Micros) []commands.Command {
	n.now, n.isLeaving = now, true
	if n.core != nil {
		n.core.Leave(now)
	}
	n.tickLeave()
	n.ownRecord.timer, n.requests.timer = now, now
	return n.finish()
}

// HasDuties tells whether a leaving node still leads, keeps its zone's home, or may hold a
// document that too few other voters hold.
func (n *Node) HasDuties() bool {
	isLeading := n.core != nil && n.core.role == leader
	isNeeded := n.core != nil && n.core.isNeeded()
	return isLeading || isNeeded || n.isCoordinator() && len(n.zoneNodes()) > 0
}

// tickLeave has a leaving home name its successor until another is home: the zone should not
// wait out a silence.
func (n *Node) tickLeave() {
	if !n.isLeaving || !n.isCoordinator() || n.now < n.handoverTimer {
		return
	}
	n.handoverTimer = n.now + handoverInterval
	for node := range n.directory.AllNodes() {
		if node.Zone == n.settings.Identity.Zone && node.Address != n.self() && !node.IsLeaving {
			n.note(decision.Coordinator, decision.HandOver, node.Address)
			n.send(n.leaderTarget(), wire.Message{CoordinatorHandover: &wire.CoordinatorHandover{Zone: n.settings.Identity.Zone, To: node.Address}})
			return
		}
	}
}
