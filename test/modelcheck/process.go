package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"runtime/debug"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// sourceOf returns the random source of a member. The values of the members are spread out, and none is at a
// bound, where rejection sampling from a constant source would never end.
func sourceOf(index int) constantSource {
	return constantSource(uint64(index%4)<<62 + 0x0123456789abcdef)
}

// constantSource is a random source without state. Every draw returns the same value, so that the future of a
// core depends only on what the fingerprint covers. Other timer orders are explored through choices.
type constantSource uint64

func (s constantSource) Uint64() uint64 { return uint64(s) }

// partitionMode is the direction in which a process is partitioned from all others.
type partitionMode int

const (
	notPartitioned partitionMode = iota
	partitionBoth
	partitionIncoming
	partitionOutgoing
)

// syncReport is the position that one incarnation of a member has acknowledged.
type syncReport struct {
	Incarnation uint64
	Synced      cluster.Position
}

// process is a member with a disk, at an address that may also belong to another process.
type process struct {
	index        int
	address      string
	zone         string
	core         *control.Core
	disk         disk
	clock        kernel.Micros
	pending      *commands.Save
	pendingAt    kernel.Micros     // when the outstanding write began
	causes       map[uint64]uint64 // by token of a save that is not yet synced: the digest of the event that caused it
	lastToken    uint64
	isUp         bool
	isFrozen     bool
	hasLeft      bool // left as planned and does not start again
	partition    partitionMode
	incarnations uint64
	startedAt    int // sequence number of the start: the newest process at an address gets its messages
	// lastContact holds, while the process leads, when each member last contacted it.
	lastContact map[cluster.MemberID]kernel.Micros
	contactTerm uint64 // the term of lastContact
	// syncReports holds, while the process leads, what the newest incarnation of each member has acknowledged.
	syncReports map[cluster.MemberID]syncReport
	countedUpTo cluster.Position // the newest document that it committed as leader
	ledSince    kernel.Micros    // when it became the leader
	quorumAt    kernel.Micros    // when its timers last fired while a quorum had contacted it
	// digest is the cached hash of this process; it is out of date if isDirty is set.
	digest  uint64
	isDirty bool
}

func (w *World) memberOf(p *process) cluster.Member {
	return cluster.Member{ID: p.disk.member, Address: p.address, Zone: p.zone}
}

// start starts an incarnation from the content of the disk.
func (w *World) start(p *process) {
	w.starts++
	p.isDirty = true
	p.incarnations++
	p.startedAt, p.isUp, p.isFrozen = w.starts, true, false
	p.pending, p.causes, p.lastToken, p.lastContact, p.contactTerm, p.syncReports = nil, map[uint64]uint64{}, 0, nil, 0, nil
	p.countedUpTo = cluster.Position{}
	p.core = control.NewCore(control.CoreSettings{
		Self: w.memberOf(p), HasFolder: true, Seeds: w.bootstrapMembers, Timing: w.settings.Timing,
		Random: rand.New(sourceOf(p.index)),
		Voters: w.settings.Voters, AckRule: control.Strict, BootstrapRule: w.settings.bootstrapRule(),
		HardState: p.disk.hardState, Document: p.disk.document, StoredConfigs: p.disk.revisions(),
		Acknowledged: p.disk.newestWritten(), Incarnation: p.incarnations,
		Invariants: invariant.NewMonitor(w.takeCoreViolation),
	}, p.clock)
}

// takeCoreViolation records the first violation that a core reports.
func (w *World) takeCoreViolation(violation invariant.ViolationError) {
	if w.coreViolation == nil {
		w.coreViolation = ofCore(violation)
	}
}

// stop ends an incarnation. Writes that were not synced are lost.
func (p *process) stop() {
	p.isDirty = true
	p.isUp, p.isFrozen, p.core, p.pending, p.causes = false, false, nil, nil, nil
}

// wipeDisk replaces the disk of a process by an empty one with a new member id.
func (w *World) wipeDisk(p *process) {
	w.lostDisks++
	w.wiped[p.address] = true
	w.observer.lostMembers[p.disk.member] = true
	p.disk = w.emptyDisk()
}

func (w *World) newMemberID() cluster.MemberID {
	w.memberIDCount++
	return cluster.MemberID(fmt.Sprintf("n%02d", w.memberIDCount))
}

// handle passes an event to a core, checks the invariants, and executes the core's commands. Its
// errors are those of StepDefault.
func (w *World) handle(p *process, cause uint64, event func(core *control.Core)) error {
	p.isDirty = true
	if err := passEvent(p.core, event); err != nil {
		return err
	}
	commands := p.core.TakeCommands()
	w.recordSaves(p, cause)
	if err := w.observer.observe(w, p); err != nil {
		return err
	}
	for _, command := range commands {
		if err := w.execute(p, command); err != nil {
			return err
		}
	}
	return nil
}

// passEvent passes an event to a core and returns a panic as a violation.
func passEvent(core *control.Core, event func(core *control.Core)) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = violated(CoreDoesNotPanic, "%v\n%s", cause, debug.Stack())
		}
	}()
	event(core)
	return nil
}

// recordSaves records the cause of the saves that an event queued. The continuation of a save is a closure,
// which cannot be hashed, but it is determined by the event that queued the save.
func (w *World) recordSaves(p *process, cause uint64) {
	newest := newestToken(p.core)
	for token := p.lastToken + 1; token <= newest; token++ {
		p.causes[token] = cause
	}
	p.lastToken = newest
}

// execute performs one command of a core. A message to an operator is checked at once.
func (w *World) execute(p *process, command commands.Command) error {
	switch command := command.(type) {
	case commands.Send:
		if command.To == operatorAddress {
			return w.observer.observeResponse(w, command.Message)
		}
		w.send(p, command)
	case commands.Save:
		p.pending, p.pendingAt = &command, p.clock
	case commands.LoadConfig:
		if document := p.disk.documents[command.Config.Revision]; document != nil {
			w.send(p, commands.Send{To: command.To, Message: wire.Message{FetchConfigResponse: &wire.FetchConfigResponse{Document: document}}})
		}
	case commands.SaveHistory:
		if p.disk.isFull(w.timeStep) {
			return w.historyStored(p, commands.SaveHistoryResult{Rejected: command.Documents[0].ConfigRevision, Err: DiskFullError{}})
		}
		outcome := commands.SaveHistoryResult{}
		for _, document := range command.Documents {
			p.disk.documents[document.ConfigRevision] = document
			outcome.Saved = append(outcome.Saved, document.ConfigRevision)
		}
		return w.historyStored(p, outcome)
	}
	return nil
}

// historyStored reports to a core which past configurations were stored. The commands that this causes are
// executed with its next event.
func (w *World) historyStored(p *process, outcome commands.SaveHistoryResult) error {
	return passEvent(p.core, func(core *control.Core) { core.HistoryStored(p.clock, outcome) })
}

// sync completes the outstanding write of a process, or fails it if the disk is full, and reports the result
// to the core.
func (w *World) sync(p *process) error {
	save := *p.pending
	p.pending = nil
	cause := p.causes[save.Token]
	if p.disk.isFull(w.timeStep) {
		p.disk.writePartial(save)
		w.trace("m%d: a write failed, disk full", p.index+1)
		return w.handle(p, cause, func(core *control.Core) { core.Saved(p.clock, save.Token, DiskFullError{}) })
	}
	p.disk.write(save)
	w.observer.synced(p)
	delete(p.causes, save.Token)
	return w.handle(p, cause, func(core *control.Core) { core.Saved(p.clock, save.Token, nil) })
}

// tick fires the due timers of a process and checks the invariants on leaders that depend on time.
func (w *World) tick(p *process) error {
	w.recordQuorum(p)
	if err := w.handle(p, causeTick, func(core *control.Core) { core.Tick(p.clock) }); err != nil {
		return err
	}
	if err := leaderDiskIsHealthy(w.settings.Timing, p); err != nil {
		return err
	}
	return leaderKeepsContact(p)
}
