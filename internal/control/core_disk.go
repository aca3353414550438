package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// The core's writes: one after another, each with the messages that may leave once it is synced.

// pendingSave is a write that is under way, if it is the first of the queue, or waits.
type pendingSave struct {
	save      commands.Save
	startedAt kernel.Micros
	retryAt   kernel.Micros
	hasFailed bool     // the last attempt failed
	after     []func() // run in order once the write is synced
}

// save queues the write of the present term and vote, and of a document unless it is nil; onSynced runs once it
// is synced. Writes stay in order, so whatever onSynced confirms is on disk by then.
func (c *Core) save(document *cluster.Document, onSynced func()) {
	c.queueSave(commands.Save{HardState: &cluster.HardState{Term: c.term, VotedFor: c.votedFor}, Document: document}, onSynced)
}

// saveAcceptorState queues the write of an acceptor's state of the bootstrap, in the same order.
func (c *Core) saveAcceptorState(state *cluster.AcceptorState, onSynced func()) {
	c.queueSave(commands.Save{AcceptorState: state}, onSynced)
}

// queueSave begins a write, or lets it take the place of one that has not begun.
func (c *Core) queueSave(save commands.Save, onSynced func()) {
	c.nextToken++
	save.Token = c.nextToken
	if len(c.saves) > 1 {
		c.saves[len(c.saves)-1].supersede(save, onSynced)
		return
	}
	pending := &pendingSave{save: save, startedAt: c.now}
	if onSynced != nil {
		pending.after = append(pending.after, onSynced)
	}
	c.saves = append(c.saves, pending)
	if len(c.saves) == 1 {
		c.out = append(c.out, save)
	}
}

// supersede puts a newer write in the place of one that has not begun. What the functions of
// the older one confirm holds under the newer term, vote and document as well, as a member never goes back in
// any of them; and a slow disk has two writes to do at the most, however fast changes come. A
// past configuration that was skipped in this way is fetched like any other that is missing.
func (p *pendingSave) supersede(newer commands.Save, onSynced func()) {
	p.save.Token = newer.Token
	if newer.HardState != nil {
		p.save.HardState = newer.HardState
	}
	if newer.AcceptorState != nil {
		p.save.AcceptorState = newer.AcceptorState
	}
	if newer.Document != nil {
		p.save.Document = newer.Document
	}
	if onSynced != nil {
		p.after = append(p.after, onSynced)
	}
}

// Saved takes the outcome of the write with a token: an error, or that it is synced. Only then the functions
// run that wait for it. A failed write is retried, and a leader whose write failed transfers its leadership.
// The outcome of any other write than the one under way is ignored.
func (c *Core) Saved(now kernel.Micros, token uint64, err error) {
	c.now = now
	if len(c.saves) == 0 || c.saves[0].save.Token != token {
		return
	}
	head := c.saves[0]
	if err != nil {
		head.hasFailed, head.retryAt = true, now+c.settings.Timing.DiskRetryInterval
		if c.diskWhy == "" {
			c.note(decision.Disk, decision.Unhealthy, "a write failed: %v", err)
		}
		c.diskWhy = err.Error()
		if c.role == leader {
			c.transferLeadership("its disk fails: " + c.diskWhy)
		}
		return
	}
	if c.diskWhy != "" {
		c.note(decision.Disk, decision.Healthy, "a write went through again")
		c.diskWhy = ""
	}
	c.saves = c.saves[1:]
	if document := head.save.Document; document != nil && c.synced.Before(document.Position()) {
		c.synced = document.Position()
		c.history.recordStored(document.ConfigRevision)
	}
	if len(c.saves) > 0 {
		c.saves[0].startedAt = now
		c.out = append(c.out, c.saves[0].save)
	}
	for _, run := range head.after {
		run()
	}
}

// DiskFault says why this member's disk fails or stalls now; empty: it does not. Meanwhile the member neither
// votes nor stands for election.
func (c *Core) DiskFault() string {
	if c.diskWhy != "" {
		return c.diskWhy
	}
	if len(c.saves) > 0 && c.now-c.saves[0].startedAt > c.settings.Timing.DiskStallTimeout {
		return "a write has stalled"
	}
	return ""
}

func (c *Core) tickDisk() {
	if len(c.saves) == 0 {
		return
	}
	head := c.saves[0]
	if head.hasFailed && c.now >= head.retryAt {
		head.hasFailed, head.startedAt = false, c.now
		c.out = append(c.out, head.save)
	}
	if c.role == leader && c.DiskFault() != "" {
		c.transferLeadership("its disk: " + c.DiskFault())
	}
}
