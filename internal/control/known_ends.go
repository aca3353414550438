package control

import (
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

// knownEnd is what a node remembers of an engine's end while that is being confirmed, so that a call at
// another node goes on from there.
type knownEnd struct {
	firstSeenAt kernel.Micros // when it was first heard here
	// confirmedBy is who has confirmed it to this node as the one that carries it into its zone.
	confirmedBy map[endKey]confirmers
}

// recordEnds remembers when the ends among some records were first heard.
func (n *Node) recordEnds(records []registry.EngineRecord) {
	for _, record := range records {
		if record.IsDraining || record.IsUnlisted {
			n.knownEnd(record.ID)
		}
	}
}

// knownEnd is the end of an engine, which is heard now if it was not before.
func (n *Node) knownEnd(engine string) *knownEnd {
	end, isKnown := n.announcements.ends[engine]
	if !isKnown {
		end = &knownEnd{firstSeenAt: n.now, confirmedBy: map[endKey]confirmers{}}
		n.announcements.ends[engine] = end
	}
	return end
}

// confirmers are nodes that have confirmed an end, by address, with their start numbers: a process that
// began later has not confirmed it.
type confirmers map[string]uint64

// add takes that a node has confirmed.
func (c confirmers) add(node registry.NodeRecord) { c[node.Address] = node.Start }

// has tells whether the present process of a node has confirmed.
func (c confirmers) has(node registry.NodeRecord) bool {
	start, hasConfirmed := c[node.Address]
	return hasConfirmed && start == node.Start
}

// confirmers is who is known to have confirmed the ends that a push carries.
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

// mayConfirmPartially tells whether the confirmation of most zones is enough: it was waited for the rest
// for as long as the engine can wait.
func (n *Node) mayConfirmPartially(p *endConfirmation) bool {
	return n.now-p.startedAt >= pushMajorityTimeout && n.now-n.knownEnd(p.key.engine).firstSeenAt >= n.settings.EndConfirmationTimeout
}

// isBound tells whether a node may be bound by what is confirmed: it was heard within the contact span, as far
// as can be known here. What is known of a node beyond the zone is as late as the coordinator there.
func (n *Node) isBound(node registry.NodeRecord) bool {
	if n.settings.ContactTimeout == 0 || node.IsLeaving {
		return n.isLikelyAlive(node)
	}
	if inZone, isNear := n.zone.nodes[node.Address]; isNear && n.isCoordinator() {
		return n.now-inZone.seenAt < n.settings.ContactTimeout
	}
	return true
}

// boundNodes gives the other nodes of a zone that a confirmation waits for.
func (n *Node) boundNodes(zone string) []string {
	found := []string{}
	for _, node := range n.directory.Nodes() {
		if node.Zone == zone && node.Address != n.self() && n.isBound(node) {
			found = append(found, node.Address)
		}
	}
	return found
}
