package control

import "dunlinloom/kernel"

// Configurations of the past that a member's folder lacks.

// recallAgain is the pause after a member that does not hold what was asked for.
const recallAgain = 20 * kernel.Millisecond

// recall mends the own history: a member that was empty a while ago holds only
// what came since, and the others may be the next to lose their disks.
func (c *Core) recall() {
	if c.now < c.recallTimer || !c.settings.HasFolder || c.committed == nil || c.Ailment() != "" {
		return
	}
	c.recallTimer = c.now + 3*c.settings.Timing.Heartbeat
	for _, mark := range c.committed.Chain {
		if c.kept[mark.Revision] {
			continue
		}
		others := []string{}
		for _, member := range c.committed.Voters {
			if member.ID != c.settings.Self.ID {
				others = append(others, member.Address)
			}
		}
		for _, id := range c.peerIDs() {
			others = append(others, c.peers[id].member.Address)
		}
		if len(others) > 0 {
			c.send(others[c.settings.Random.IntN(len(others))], Message{Recall: &Recall{mark}})
		}
		return
	}
}

// isPartial tells that configurations of the chain are missing in the own folder.
func (c *Core) isPartial() bool {
	if c.committed == nil {
		return true
	}
	for _, mark := range c.committed.Chain {
		if !c.kept[mark.Revision] {
			return true
		}
	}
	return false
}

func (c *Core) onRecalled(document *Document) {
	if document == nil {
		// It is not there; another member may hold it.
		c.recallTimer = min(c.recallTimer, c.now+recallAgain)
		return
	}
	if c.committed == nil || c.kept[document.ConfigRevision] {
		return
	}
	mark, isThere := c.committed.ConfigAt(document.ConfigRevision)
	if isThere && mark.Revision == document.ConfigRevision && mark.Digest == digestOf(document.Config) {
		c.out = append(c.out, Keep{document})
	}
}

// Kept tells that a configuration of the past is in the folder now.
func (c *Core) Kept(revision uint64) {
	c.kept[revision] = true
	c.recallTimer = 0
	c.recall()
}
