package control

import (
	"slices"

	"dunlinloom/kernel"
)

// Configurations of the past that a member's folder lacks, and how it fetches them.

const (
	// recallWindow is how many bytes of past configurations may be asked for at once, and
	// recallsAtOnce how many of them; two at the least, so that the link does not rest while the
	// disk writes.
	recallWindow  = 256 << 10
	recallsAtOnce = 16
	recallsLeast  = 2
	// recallPauseTop bounds the pause before one that nobody has sent is asked for again.
	recallPauseTop = 30 * kernel.Second
	// keepPause is how long the folder is left alone after it failed to keep one.
	keepPause = 5 * kernel.Second
)

// recalled is a configuration that was asked for and has not come.
type recalled struct {
	until kernel.Micros
	tries int
}

// past is a member's part in keeping the configurations of the chain.
type past struct {
	kept     map[uint64]bool      // in the own folder
	noRoom   map[uint64]bool      // there is no room for it in the folder
	asked    map[uint64]*recalled // under way
	timer    kernel.Micros
	turn     int
	sweptFor uint64 // the document that the records were last swept for
}

func newPast(kept []uint64) past {
	p := past{kept: map[uint64]bool{}, noRoom: map[uint64]bool{}, asked: map[uint64]*recalled{}}
	for _, revision := range kept {
		p.kept[revision] = true
	}
	return p
}

// took notes that a configuration is in the folder.
func (p *past) took(revision uint64) {
	p.kept[revision] = true
	delete(p.asked, revision)
}

// isLacking tells of a configuration that the folder has room for and does not hold.
func (p *past) isLacking(revision uint64) bool { return !p.kept[revision] && !p.noRoom[revision] }

// sweep forgets what the chain no longer names.
func (p *past) sweep(document *Document) {
	if len(document.Chain) == 0 || p.sweptFor == document.Revision {
		return
	}
	p.sweptFor = document.Revision
	first := document.Chain[0].Revision
	for _, noted := range []map[uint64]bool{p.kept, p.noRoom} {
		for revision := range noted {
			if revision < first {
				delete(noted, revision)
			}
		}
	}
	for revision := range p.asked {
		if revision < first {
			delete(p.asked, revision)
		}
	}
}

// recall mends the own history: a member that was empty a while ago holds only
// what came since, and the others may be the next to lose their disks.
func (c *Core) recall() {
	if c.now < c.past.timer || !c.settings.HasFolder || c.committed == nil || c.Ailment() != "" {
		return
	}
	c.past.timer = c.now + c.settings.Timing.Heartbeat
	c.past.sweep(c.committed)
	others := c.recallFrom()
	if len(others) == 0 {
		return
	}
	size := max(len(c.committed.Config), 1)
	most := min(max(recallWindow/size, recallsLeast), recallsAtOnce)
	under := 0
	for _, asked := range c.past.asked {
		if c.now < asked.until {
			under++
		}
	}
	// The newest first: the oldest leave the chain soonest.
	for _, mark := range slices.Backward(c.committed.Chain) {
		if under >= most {
			return
		}
		asked := c.past.asked[mark.Revision]
		if !c.past.isLacking(mark.Revision) || asked != nil && c.now < asked.until {
			continue
		}
		if asked == nil {
			asked = &recalled{}
			c.past.asked[mark.Revision] = asked
		}
		pause := 3*c.settings.Timing.Heartbeat + kernel.Micros(most)*kernel.Micros(size)*kernel.Second/transferFloor
		asked.until = c.now + min(pause<<min(asked.tries, 6), recallPauseTop)
		asked.tries++
		under++
		c.past.turn++
		c.send(others[c.past.turn%len(others)], Message{Recall: &Recall{mark}})
	}
}

// recallFrom lists the members that may hold the past.
func (c *Core) recallFrom() []string {
	others := []string{}
	for _, member := range c.committed.Voters {
		if member.ID != c.settings.Self.ID {
			others = append(others, member.Address)
		}
	}
	for _, id := range c.peerIDs() {
		others = append(others, c.peers[id].member.Address)
	}
	return slices.Compact(sorted(others))
}

// isPartial tells that configurations of the chain are missing in the own folder, though it has
// room for them.
func (c *Core) isPartial() bool {
	if c.committed == nil {
		return true
	}
	for _, mark := range c.committed.Chain {
		if c.past.isLacking(mark.Revision) {
			return true
		}
	}
	return false
}

func (c *Core) onRecalled(document *Document) {
	if document == nil || c.committed == nil || !c.past.isLacking(document.ConfigRevision) {
		return
	}
	mark, isThere := c.committed.ConfigAt(document.ConfigRevision)
	if isThere && mark.Revision == document.ConfigRevision && mark.Digest == digestOf(document.Config) {
		c.out = append(c.out, Keep{document})
	}
}

// Kept tells that a configuration of the past is in the folder now.
func (c *Core) Kept(now kernel.Micros, revision uint64) {
	c.now = now
	c.past.took(revision)
	c.past.timer = 0
	c.recall()
}

// NotKept tells that the folder could not keep a configuration of the past. One that it has no
// room for is not asked for again; otherwise the disk is left alone for a while.
func (c *Core) NotKept(now kernel.Micros, revision uint64, hasNoRoom bool) {
	c.now = now
	if hasNoRoom {
		c.past.noRoom[revision] = true
		delete(c.past.asked, revision)
		return
	}
	c.past.timer = now + keepPause
}
