package control

import (
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// knownEnd is what a node remembers of an engine's end, its drain or its removal, while the fleet confirms it. The
// engine may repeat its call at another node. The nodes that answer for their zones then count the confirmations that
// they already have.
type knownEnd struct {
	firstSeenAt kernel.Micros // when this node first learned of it
	// confirmedBy has the nodes that confirmed the end to this node while it forwarded the end within its zone.
	confirmedBy map[endKey]confirmers
}

// recordEnds creates a knownEnd for each draining or removed engine among the records.
func (n *Node) recordEnds(records []registry.EngineRecord) {
	for _, record := range records {
		if record.IsDraining || record.IsUnlisted {
			n.knownEnd(record.ID)
		}
	}
}

// knownEnd returns the state of an engine's end, and creates it if the end was not known before.
func (n *Node) knownEnd(engine string) *knownEnd {
	end, isKnown := n.announcements.ends[engine]
	if !isKnown {
		end = &knownEnd{firstSeenAt: n.now, confirmedBy: map[endKey]confirmers{}}
		n.announcements.ends[engine] = end
	}
	return end
}

// confirmers are the nodes that have confirmed an end: addresses with start numbers. The start number matters because
// a process that started later has not confirmed the end.
type confirmers map[string]uint64

// add records that a node has confirmed.
func (c confirmers) add(node registry.NodeRecord) { c[node.Address] = node.Start }

// has reports whether the current process of a node has confirmed.
func (c confirmers) has(node registry.NodeRecord) bool {
	start, hasConfirmed := c[node.Address]
	return hasConfirmed && start == node.Start
}

// confirmers returns the nodes known to have confirmed the end that a push carries.
func (n *Node) confirmers(records []registry.EngineRecord) confirmers {
	if len(records) != 1 {
		return confirmers{}
	}
	end, key := n.knownEnd(records[0].ID), endKey{records[0].ID, records[0].IsUnlisted}
	if end.confirmedBy[key] == nil {
		end.confirmedBy[key] = confirmers{}
	}
	return end.confirmedBy[key]
}

// mayConfirmPartially reports whether confirmation by a majority of the zones is enough now. This node must have waited
// for the others for pushMajorityTimeout, since the engine cannot wait much longer, and must have known of the drain or
// removal for EndConfirmationTimeout.
func (n *Node) mayConfirmPartially(p *endConfirmation) bool {
	return n.now-p.startedAt >= pushMajorityTimeout && n.now-n.knownEnd(p.key.engine).firstSeenAt >= n.settings.EndConfirmationTimeout
}

// isBound reports whether a confirmation has to wait for a node, because the node may still route requests by what it
// knew before. A coordinator knows which nodes of its zone were in contact within ContactTimeout. Records of other
// zones may be as late as those zones' coordinators. An outdated record therefore does not show that a node is out of
// contact, and the confirmation still waits for the node. Without a ContactTimeout, and for a leaving node,
// isLikelyAlive decides.
func (n *Node) isBound(node registry.NodeRecord) bool {
	if n.settings.ContactTimeout == 0 || node.IsLeaving {
		return n.isLikelyAlive(node)
	}
	if inZone, isNear := n.zone.nodes[node.Address]; isNear && n.isCoordinator() {
		return n.now-inZone.seenAt < n.settings.ContactTimeout
	}
	return true
}

// boundNodes returns the other nodes of a zone that a confirmation waits for.
func (n *Node) boundNodes(zone string) []string {
	found := []string{}
	for _, node := range n.directory.Nodes() {
		if node.Zone == zone && node.Address != n.self() && n.isBound(node) {
			found = append(found, node.Address)
		}
	}
	return found
}
