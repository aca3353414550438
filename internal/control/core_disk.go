package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
)

// The core writes one Save at a time, in order. Messages that depend on a write are sent once it is synced.

// pendingSave is a queued write. The first of the queue is in progress, and the others wait.
type pendingSave struct {
	save      commands.Save
	startedAt kernel.Micros
	retryAt   kernel.Micros
	hasFailed bool     // the last attempt failed
	after     []func() // callbacks, run in order once the write is synced
}

// save queues a write of the current term and vote, and of the document unless it is nil. onSynced, which may be nil,
// runs once the write is synced. Writes are executed in order, so all earlier state is on disk by then as well.
func (c *Core) save(document *cluster.Document, onSynced func()) {
	c.queueSave(commands.Save{HardState: &cluster.HardState{Term: c.term, VotedFor: c.votedFor}, Document: document}, onSynced)
}

// saveAcceptorState queues a write of the bootstrap acceptor's state in the same queue as the writes of save.
func (c *Core) saveAcceptorState(state *cluster.AcceptorState, onSynced func()) {
	c.queueSave(commands.Save{AcceptorState: state}, onSynced)
}

// queueSave starts a write if none is in progress. Otherwise the write waits. If another one waits already, both are
// merged; see supersede.
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

// supersede merges a newer write into one that has not started. The callbacks of the older write stay valid,
// because the term, the vote and the document of a member never go back. So at most two writes are queued for a slow
// disk, however fast changes arrive. A configuration that is superseded before it was written is later fetched from
// another member, like any other that is missing from the history.
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

// Saved handles the result of the write with the given token. If err is nil, the write is synced, and its callbacks
// run. Otherwise the write is retried after DiskRetryInterval, and a leader transfers its leadership. The result of any
// write other than the one in progress is ignored.
func (c *Core) Saved(now kernel.Micros, token uint64, err error) {
	c.now = now
	if len(c.saves) == 0 || c.saves[0].save.Token != token {
		return
	}
	head := c.saves[0]
	if err != nil {
		head.hasFailed, head.retryAt = true, now+c.settings.Timing.DiskRetryInterval
		if c.saveError == "" {
			c.note(decision.Disk, decision.Unhealthy, "write to the data folder failed: %v", err)
		}
		c.saveError = err.Error()
		if c.role == leader {
			c.transferLeadership("a write to this member's disk failed: " + c.saveError)
		}
		return
	}
	if c.saveError != "" {
		c.note(decision.Disk, decision.Healthy, "writes to the data folder succeed again")
		c.saveError = ""
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

// DiskFault returns why this member's disk fails or stalls, or an empty string if it works. While there is a fault,
// the member neither votes nor stands for election.
func (c *Core) DiskFault() string {
	if c.saveError != "" {
		return c.saveError
	}
	if len(c.saves) > 0 && c.now-c.saves[0].startedAt > c.settings.Timing.DiskStallTimeout {
		return "a write to the data folder has stalled"
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
		c.transferLeadership("this member's disk is unhealthy: " + c.DiskFault())
	}
}
