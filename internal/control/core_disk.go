package control

import "dunlinloom/internal/kernel"

// The core's writes: one after another, each with what may be said once it is synced.

type pendingSave struct {
	save    Save
	since   kernel.Micros
	retryAt kernel.Micros
	isLost  bool // the last try failed
	after   []func()
}

// save queues a write; after runs once it is synced. Writes stay in order, so
// whatever after promises is on disk by then.
func (c *Core) save(document *Document, after func()) {
	c.queueSave(Save{Ballot: &Ballot{c.term, c.votedFor}, Document: document}, after)
}

// saveFoundingVote queues the write of a vote on the founding, in the same order.
func (c *Core) saveFoundingVote(vote *FoundingVote, after func()) {
	c.queueSave(Save{FoundingVote: vote}, after)
}

// queueSave begins a write, or lets it take the place of one that has not begun.
func (c *Core) queueSave(save Save, after func()) {
	c.nextToken++
	save.Token = c.nextToken
	if len(c.saves) > 1 {
		c.saves[len(c.saves)-1].supersede(save, after)
		return
	}
	pending := &pendingSave{save: save, since: c.now}
	if after != nil {
		pending.after = append(pending.after, after)
	}
	c.saves = append(c.saves, pending)
	if len(c.saves) == 1 {
		c.out = append(c.out, save)
	}
}

// supersede puts a newer write in the place of one that has not begun. What the older one's words
// promise holds under the newer ballot, vote and document as well, as a member never goes back in
// any of them; and a slow disk has two writes to do at the most, however fast changes come. A
// configuration of the past that was passed over is recalled like any other that is missing.
func (p *pendingSave) supersede(newer Save, after func()) {
	p.save.Token = newer.Token
	if newer.Ballot != nil {
		p.save.Ballot = newer.Ballot
	}
	if newer.FoundingVote != nil {
		p.save.FoundingVote = newer.FoundingVote
	}
	if newer.Document != nil {
		p.save.Document = newer.Document
	}
	if after != nil {
		p.after = append(p.after, after)
	}
}

// Saved reports on the oldest write.
func (c *Core) Saved(now kernel.Micros, token uint64, err error) {
	c.now = now
	if len(c.saves) == 0 || c.saves[0].save.Token != token {
		return
	}
	head := c.saves[0]
	if err != nil {
		head.isLost, head.retryAt = true, now+c.settings.Timing.DiskRetry
		if c.diskWhy == "" {
			c.note("disk", "ail", "a write failed: %v", err)
		}
		c.diskWhy = err.Error()
		if c.role == leader {
			c.yieldLead("its disk fails: " + c.diskWhy)
		}
		return
	}
	if c.diskWhy != "" {
		c.note("disk", "mend", "a write went through again")
		c.diskWhy = ""
	}
	c.saves = c.saves[1:]
	if document := head.save.Document; document != nil && c.synced.before(document.stamp()) {
		c.synced = document.stamp()
		c.past.took(document.ConfigRevision)
	}
	if len(c.saves) > 0 {
		c.saves[0].since = now
		c.out = append(c.out, c.saves[0].save)
	}
	for _, run := range head.after {
		run()
	}
}

// Ailment says why this member's disk can't be trusted to keep anything now.
func (c *Core) Ailment() string {
	if c.diskWhy != "" {
		return c.diskWhy
	}
	if len(c.saves) > 0 && c.now-c.saves[0].since > c.settings.Timing.DiskStall {
		return "a write has stalled"
	}
	return ""
}

func (c *Core) tickDisk() {
	if len(c.saves) == 0 {
		return
	}
	head := c.saves[0]
	if head.isLost && c.now >= head.retryAt {
		head.isLost, head.since = false, c.now
		c.out = append(c.out, head.save)
	}
	if c.role == leader && c.Ailment() != "" {
		c.yieldLead("its disk: " + c.Ailment())
	}
}
