package control

import (
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// A planned stop of a node: its duties are handed over to other nodes.

// handoverInterval is the pause between two nominations of a successor. The nomination is repeated because it may be
// lost: the leader that received the first one may have been the leaving node itself, or another node that has stopped
// since.
const handoverInterval = 200 * kernel.Millisecond

// Leave begins a planned stop. The process may end once HasDuties returns false.
func (n *Node) Leave(now kernel.Micros) []commands.Command {
	n.now, n.isLeaving = now, true
	if n.core != nil {
		n.core.Leave(now)
	}
	n.tickLeave()
	n.ownRecord.timer, n.requests.timer = now, now
	return n.finish()
}

// HasDuties reports whether a leaving node still has to run, because it is the leader, is the coordinator of a zone
// with other nodes, or may hold a document that too few other voters hold.
func (n *Node) HasDuties() bool {
	isLeading := n.core != nil && n.core.role == leader
	isNeeded := n.core != nil && n.core.isNeeded()
	return isLeading || isNeeded || n.isCoordinator() && len(n.zoneNodes()) > 0
}

// tickLeave nominates a successor of a leaving coordinator until another node is coordinator, so that the zone does
// not have to wait for a timeout.
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
