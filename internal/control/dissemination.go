package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/kernel"
)

// How a committed document reaches the nodes, and when it has gone round.

// keptCommits bounds the revisions whose moment of commit is remembered.
const keptCommits = 64

// noteCommit remembers when a revision was committed under this lead and has it pushed.
func (c *Core) noteCommit() {
	revision := c.committed.Revision
	if _, isThere := c.committedAt[revision]; !isThere {
		c.committedAt[revision] = c.now
	}
	if revision > keptCommits {
		delete(c.committedAt, revision-keptCommits)
	}
	if c.settings.AckRule != Spread {
		return
	}
	// A yes follows soon, and all in touch have to know by then: the document goes out
	// without being asked for, to the homes first, which carry it into their zones.
	for _, address := range c.homes() {
		c.pushTo(address)
	}
	c.pushTimer, c.pushUntil = c.now+pushAgain, c.now+pushSpan
}

// homes lists the homes of the committed document, in a fixed order.
func (c *Core) homes() []string {
	return slices.Compact(slices.Sorted(maps.Values(c.committed.Homes)))
}

const (
	pushAgain = 300 * kernel.Millisecond
	pushSpan  = 2 * kernel.Second
)

func (c *Core) pushTo(address string) {
	var document *Document
	if seen := c.seen[address]; seen != nil {
		document = c.pushed.offer(c.now, address, c.committed, seen.held, c.isMemberAt(address))
	} else if c.committed.ConfigRevision < c.committed.Revision {
		// Unheard under this lead: most likely it holds the configuration, and asks if it has it not.
		document = c.committed.light()
	} else {
		document = c.pushed.offer(c.now, address, c.committed, 0, c.isMemberAt(address))
	}
	c.send(address, Message{Grant: &Grant{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Document: document}})
}

// pushAgainToSilent sends the newest document to everyone who has not confirmed it. Homes
// may be gone or cut, so this goes to the nodes themselves. A large one that a home has under way
// to its zone would only be delayed by a second copy: such a node asks by itself if its home is silent.
func (c *Core) pushAgainToSilent() {
	if c.committed == nil || c.now < c.pushTimer || c.now > c.pushUntil {
		return
	}
	c.pushTimer = c.now + pushAgain
	targets := map[string]bool{}
	for address, seen := range c.seen {
		if c.now-seen.at < c.settings.Timing.NodeGone {
			targets[address] = seen.applied < c.committed.Revision
		}
	}
	for _, address := range c.committed.Register {
		if c.seen[address] == nil {
			targets[address] = true
		}
	}
	homes := c.homes()
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		isLarge := c.committed.wireSize() > smallDocument && (c.seen[address] == nil || c.seen[address].held < c.committed.ConfigRevision)
		if targets[address] && (!isLarge || slices.Contains(homes, address)) {
			c.pushTo(address)
		}
	}
}

// isLeftToHome tells whether a node that holds a revision is to get the newest document from its
// home: a large one that was committed just now is most likely on its way from there.
func (c *Core) isLeftToHome(held uint64) bool {
	bytes := c.committed.lightFor(held).wireSize()
	if bytes <= smallDocument || len(c.committed.Homes) == 0 {
		return false
	}
	at, isThere := c.committedAt[c.committed.Revision]
	return isThere && c.now-at < new(transfer).patience(bytes, transferWait)
}

// isSpread tells whether a committed revision has gone round as far as a yes waits for:
// all who were heard just now have applied it, or they had their time. Whoever can't be
// reached is not waited for; he is not bound by the yes, and gets the document when he is back.
func (c *Core) isSpread(revision uint64) bool {
	at, isThere := c.committedAt[revision]
	if !isThere || c.now-at >= c.settings.SpreadWait {
		return true
	}
	// A fresh leader has not heard all yet.
	if c.now-c.leadSince < kernel.Second {
		return false
	}
	for _, seen := range c.seen {
		if c.now-seen.at < kernel.Second && seen.applied < revision {
			return false
		}
	}
	return true
}

// nudgeSilent writes to registered routers that are not heard of. One that was
// restarted and whose seeds are all gone by now learns in this way who is there.
func (c *Core) nudgeSilent() {
	if c.now < c.nudgeTimer || !c.isOwnTerm {
		return
	}
	c.nudgeTimer = c.now + 2*kernel.Second
	for _, address := range c.committed.Register {
		if seen := c.seen[address]; seen == nil || c.now-seen.at > kernel.Second {
			c.send(address, Message{Nudge: &Nudge{c.committed.Revision}})
		}
	}
}
