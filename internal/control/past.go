package control

import (
	"errors"
	"slices"

	"dunlinloom/internal/kernel"
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
	keepPause = kernel.Second
	// keepBytes and keepsAtOnce bound what the folder is given in one write. A write costs its
	// syncs, so on a slow disk few large ones are done sooner than many small ones; and the core's
	// own writes wait behind it.
	keepBytes   = 256 << 10
	keepsAtOnce = 16
)

// recalled is a configuration that was asked for and is not in the folder yet.
type recalled struct {
	until  kernel.Micros // afterwards it is asked for again
	tries  int
	denied map[string]bool // members that do not hold it
}

// past is a member's part in keeping the configurations of the chain.
type past struct {
	kept     map[uint64]bool      // in the own folder
	noRoom   map[uint64]bool      // there is no room for it in the folder
	gone     map[uint64]bool      // no member that could be asked holds it
	asked    map[uint64]*recalled // under way
	timer    kernel.Micros
	turn     int
	sweptFor uint64 // the document that the records were last swept for
	// The folder has one write of them at a time, since the core's own writes wait behind it.
	waiting []*Document
	keeping []*Document // those that are being written
}

func newPast(kept []uint64) past {
	p := past{kept: map[uint64]bool{}, noRoom: map[uint64]bool{}, gone: map[uint64]bool{}, asked: map[uint64]*recalled{}}
	for _, revision := range kept {
		p.kept[revision] = true
	}
	return p
}

// took notes that a configuration is in the folder.
func (p *past) took(revision uint64) {
	p.kept[revision] = true
	delete(p.gone, revision)
	delete(p.asked, revision)
}

// isWanted tells of a configuration that the folder has room for and does not hold.
func (p *past) isWanted(revision uint64) bool { return !p.kept[revision] && !p.noRoom[revision] }

// isLacking tells of one that another member most likely holds as well.
func (p *past) isLacking(revision uint64) bool { return p.isWanted(revision) && !p.gone[revision] }

// sweep forgets what the chain no longer names.
func (p *past) sweep(document *Document) {
	if len(document.Chain) == 0 || p.sweptFor == document.Revision {
		return
	}
	p.sweptFor = document.Revision
	first := document.Chain[0].Revision
	for _, noted := range []map[uint64]bool{p.kept, p.noRoom, p.gone} {
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
		if !c.past.isWanted(mark.Revision) || asked != nil && c.now < asked.until {
			continue
		}
		if asked == nil {
			asked = &recalled{denied: map[string]bool{}}
			c.past.asked[mark.Revision] = asked
		}
		pause := 3*c.settings.Timing.Heartbeat + kernel.Micros(most)*kernel.Micros(size)*kernel.Second/transferFloor
		asked.until = c.now + min(pause<<min(asked.tries, 6), recallPauseTop)
		if c.past.gone[mark.Revision] {
			asked.until = c.now + recallPauseTop
		}
		asked.tries++
		under++
		c.past.turn++
		// One that has not said that it lacks it, where there is one.
		for range others {
			if !asked.denied[others[c.past.turn%len(others)]] {
				break
			}
			c.past.turn++
		}
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

// onRecall answers a member that asks for the past.
func (c *Core) onRecall(from string, m *Recall) {
	if !c.past.kept[m.Mark.Revision] {
		c.send(from, Message{Recalled: &Recalled{Mark: m.Mark}})
		return
	}
	c.out = append(c.out, Fetch{from, m.Mark})
}

func (c *Core) onRecalled(from string, m *Recalled) {
	document := m.Document
	if document == nil {
		c.onDenied(from, m.Mark.Revision)
		return
	}
	if c.committed == nil || !c.past.isWanted(document.ConfigRevision) {
		return
	}
	mark, isThere := c.committed.ConfigAt(document.ConfigRevision)
	if !isThere || mark.Revision != document.ConfigRevision || mark.Digest != digestOf(document.Config) {
		return
	}
	isSame := func(other *Document) bool { return other.ConfigRevision == document.ConfigRevision }
	if slices.ContainsFunc(c.past.keeping, isSame) || slices.ContainsFunc(c.past.waiting, isSame) {
		return
	}
	if asked := c.past.asked[document.ConfigRevision]; asked != nil {
		asked.until = c.now + recallPauseTop
	}
	c.past.waiting = append(c.past.waiting, document)
	c.keepNext()
}

// onDenied notes that a member does not hold a configuration.
func (c *Core) onDenied(from string, revision uint64) {
	asked := c.past.asked[revision]
	if asked == nil {
		return
	}
	asked.denied[from] = true
	for _, other := range c.recallFrom() {
		if !asked.denied[other] && other != c.settings.Self.Address {
			asked.until = c.now
			c.past.timer = 0
			return
		}
	}
	// Should a member that is away come back with it, a later ask finds it.
	c.past.gone[revision] = true
	asked.until = c.now + recallPauseTop
	clear(asked.denied)
	c.past.timer = 0
}

// keepNext has the folder keep the next of those that came, as many as one write takes.
func (c *Core) keepNext() {
	if len(c.past.keeping) > 0 || len(c.past.waiting) == 0 {
		return
	}
	count := c.past.nextWrite()
	c.past.keeping = slices.Clone(c.past.waiting[:count])
	c.past.waiting = c.past.waiting[count:]
	c.out = append(c.out, Keep{c.past.keeping})
}

// nextWrite is how many of those that wait go into the next write; one at the least.
func (p *past) nextWrite() int {
	count, bytes := 1, p.waiting[0].wireSize()
	for _, document := range p.waiting[1:] {
		bytes += document.wireSize()
		if bytes > keepBytes || count == keepsAtOnce {
			break
		}
		count++
	}
	return count
}

// Kept tells what became of the configurations of the past that the folder was to keep. One that
// it has no room for is not asked for again; after another failure the disk is left alone for a while.
func (c *Core) Kept(now kernel.Micros, outcome KeepOutcome) {
	c.now = now
	c.past.keeping = nil
	for _, revision := range outcome.Kept {
		c.past.took(revision)
	}
	switch {
	case outcome.Err == nil:
		c.past.timer = 0
	case errors.As(outcome.Err, new(NoRoom)):
		c.leaveOut(outcome.Refused)
	default:
		c.past.waiting, c.past.timer = nil, now+keepPause
		clear(c.past.asked)
		return
	}
	c.keepNext()
	c.recall()
}

// leaveOut gives up a configuration that the folder has no room for. What is older would have no
// room either, and is not even asked for.
func (c *Core) leaveOut(revision uint64) {
	for _, mark := range c.committed.Chain {
		if mark.Revision <= revision && !c.past.kept[mark.Revision] {
			c.past.noRoom[mark.Revision] = true
			delete(c.past.asked, mark.Revision)
		}
	}
	c.past.waiting = slices.DeleteFunc(c.past.waiting, func(waiting *Document) bool { return c.past.noRoom[waiting.ConfigRevision] })
}
