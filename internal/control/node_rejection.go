package control

import (
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// rejection returns why a message must not be handled here: it is from another fleet or cluster, or is addressed to
// another node. Nil means that it may be handled.
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

// noteRejection notes in the journal why a sender's message was rejected, at most once per sender in recentSpan.
func (n *Node) noteRejection(from string, err error) {
	if _, isNoted := n.rejected[from]; isNoted {
		return
	}
	n.rejected[from] = n.now
	n.note(decision.Node(from), decision.RejectMessage, err.Error())
}

// Unreadable handles a message that could not be decoded: it is dropped, and noted like a rejection.
func (n *Node) Unreadable(now kernel.Micros, from string, err error) []commands.Command {
	n.now = now
	n.noteRejection(from, err)
	return n.finish()
}
