package control

import (
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// rejection returns the reason why a message is not for this node; nil: it is.
func (n *Node) rejection(envelope wire.Envelope) error {
	switch own := n.clusterID(); {
	case envelope.Fleet != n.settings.Identity.Fleet:
		return wire.ForeignFleetError{Found: envelope.Fleet, Own: n.settings.Identity.Fleet}
	case own != "" && envelope.ClusterID != "" && own != envelope.ClusterID:
		return wire.ForeignClusterError{Found: envelope.ClusterID, Own: own}
	case envelope.To != n.self():
		return wire.MisdirectedError{To: envelope.To}
	}
	return nil
}

// noteRejection notes the rejection of a sender's messages, once per recentSpan.
func (n *Node) noteRejection(from string, err error) {
	if _, isNoted := n.rejected[from]; isNoted {
		return
	}
	n.rejected[from] = n.now
	n.note(decision.Node(from), decision.RejectMessage, err.Error())
}

// Unreadable handles a message that could not be decoded.
func (n *Node) Unreadable(now kernel.Micros, from string, err error) []commands.Command {
	n.now = now
	n.noteRejection(from, err)
	return n.finish()
}
