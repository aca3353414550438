package modelcheck

import (
	"slices"

	"dunlinloom/internal/control"
)

// Action is what a choice does.
type Action int

// The kinds of choices.
const (
	// Default is the step without faults: the first outstanding write is synced; if there is none, the
	// oldest message is delivered; if there is none either, time passes.
	Default        Action = iota
	Deliver               // the message at index A is delivered before all other messages and outstanding writes
	DeliverOld            // the oldest message is delivered to the older of two processes at its address
	Delay                 // the oldest message is delayed; it is lost if it is never released
	Duplicate             // the oldest message is delivered, and a copy of it is delayed
	Release               // the delayed message at index A is delivered
	Sync                  // the outstanding write of process A is synced
	PassTime              // time passes although messages or writes are outstanding
	SkewClock             // time passes for process A only, as if everything else were slow
	Crash                 // process A crashes and restarts; B says which part of its outstanding write is kept
	Kill                  // process A crashes and stays down
	Start                 // process A starts again
	Freeze                // process A neither receives messages nor ticks
	Resume                // process A continues; B is timersFirst or a value of readsFirst
	Partition             // process A is partitioned from all others in mode B
	Heal                  // the partition of process A ends
	WipeDisk              // process A crashes and restarts with an empty disk
	StartTwin             // a second process with an empty disk starts at the address of process A
	Leave                 // process A is requested to leave
	StallDisk             // writes of process A stay outstanding; B is an index into stallSteps
	FillDisk              // the disk of process A is full for fullDiskSteps; B is its fullness
	DamageDocument        // process A crashes and restarts with the newest document on its disk damaged
	RollBackFolder        // process A crashes and restarts with its folder restored from a copy without the newest document
	PowerLoss             // all processes crash and restart; B says which part of their outstanding writes is kept
	// LoseDisksAndPower is PowerLoss, and process A, or two processes, restart with empty disks; see diskLoss.
	LoseDisksAndPower
	actionCount
)

var actionNames = [actionCount]string{"default", "deliver", "deliver-old", "hold", "double", "release", "sync", "pass-time", "jump",
	"crash", "kill", "start", "freeze", "wake", "cut", "heal", "lose-disk", "twin", "leave",
	"stall-disk", "fill-disk", "damage-document", "put-back-folder", "power-loss", "lose-disks-and-power"}

func (a Action) String() string { return actionNames[a] }

// The parts of an outstanding write that a crash may keep.
const (
	keepNothing = iota
	keepHardState
	keepAll
	keepCount
)

// timersFirst is the order in which a resumed process fires its timers before it reads any message. The
// other orders are those of readsFirst.
const timersFirst = 0

// readsFirst returns the order in which a resumed process reads the messages of one sender before all
// others, and before its timers fire.
func readsFirst(sender *process) int { return sender.index + 1 }

// Choice is one step that is not the default one.
type Choice struct {
	Action Action
	A, B   int
}

// maxOvertaking is how many of the oldest messages in flight may overtake all others.
const maxOvertaking = 6

// maxProcesses limits the processes of a world, including those that StartTwin adds.
const maxProcesses = 6

// Choices returns all steps that a world can take now, except the default one.
func (w *World) Choices() []Choice {
	choices := []Choice{}
	add := func(action Action, a, b int) { choices = append(choices, Choice{action, a, b}) }
	isWriting := slices.ContainsFunc(w.processes, w.isWriting)
	for index := range min(len(w.inFlight), maxOvertaking) {
		if (index > 0 || isWriting) && w.receiverOf(w.inFlight[index]) != nil {
			add(Deliver, index, 0)
		}
	}
	if len(w.inFlight) > 0 {
		add(Delay, 0, 0)
		add(Duplicate, 0, 0)
		if len(w.receivers(w.inFlight[0].to)) > 1 {
			add(DeliverOld, 0, 0)
		}
	}
	for index := range w.delayed {
		add(Release, index, 0)
	}
	if isWriting || len(w.inFlight) > 0 {
		add(PassTime, 0, 0)
	}
	isFirst := true
	for _, p := range w.processes {
		if w.isWriting(p) {
			if !isFirst {
				add(Sync, p.index, 0)
			}
			isFirst = false
		}
		w.addFaults(p, add)
	}
	if w.settings.FailingDisks {
		for part := range keepCount {
			add(PowerLoss, 0, part)
		}
		w.addDiskLosses(add)
	}
	return choices
}

func (w *World) addFaults(p *process, add func(action Action, a, b int)) {
	if p.hasLeft {
		return
	}
	if !p.isUp {
		add(Start, p.index, 0)
		return
	}
	if p.isFrozen {
		add(Resume, p.index, timersFirst)
		for _, sender := range w.processes {
			if slices.ContainsFunc(w.inFlight, isBetween(sender, p)) {
				add(Resume, p.index, readsFirst(sender))
			}
		}
		return
	}
	add(SkewClock, p.index, 0)
	add(Crash, p.index, keepNothing)
	if p.pending != nil {
		add(Crash, p.index, keepAll)
		if p.pending.Document != nil {
			add(Crash, p.index, keepHardState)
		}
	}
	add(Kill, p.index, 0)
	add(Freeze, p.index, 0)
	if p.partition == notPartitioned {
		add(Partition, p.index, int(partitionBoth))
		add(Partition, p.index, int(partitionIncoming))
		add(Partition, p.index, int(partitionOutgoing))
	} else {
		add(Heal, p.index, 0)
	}
	if w.canLoseDisks(p) {
		add(WipeDisk, p.index, 0)
	}
	if len(w.processes) < maxProcesses && len(w.receivers(p.address)) == 1 && w.canBeWiped(p) && w.canShareAddress() {
		add(StartTwin, p.index, 0)
	}
	add(Leave, p.index, 0)
	if w.settings.FailingDisks {
		w.addDiskFaults(p, add)
	}
	w.addRollback(p, add)
}

// receiverOf returns the process that receives a message by default, or nil if none can receive it now.
func (w *World) receiverOf(e *envelope) *process {
	receivers := w.receivers(e.to)
	if len(receivers) == 0 || receivers[0].isFrozen {
		return nil
	}
	return receivers[0]
}

// StepDefault takes the default step. Its error is a ViolationError.
func (w *World) StepDefault() error {
	for _, p := range w.processes {
		if w.isWriting(p) {
			return w.sync(p)
		}
	}
	for index, e := range w.inFlight {
		if receivers := w.receivers(e.to); len(receivers) > 0 && receivers[0].isFrozen {
			continue
		}
		return w.deliverAt(index)
	}
	return w.advanceTime()
}

// deliverAt delivers the message in flight at an index, or drops it if no process can receive it.
func (w *World) deliverAt(index int) error {
	e := w.inFlight[index]
	w.inFlight = slices.Delete(w.inFlight, index, index+1)
	if to := w.receiverOf(e); to != nil {
		return w.deliver(e, to)
	}
	return nil
}

// Step takes a choice. A choice that is not possible in this state does nothing, so that a trace can be
// replayed with some deviations left out. Its errors are those of StepDefault.
func (w *World) Step(choice Choice) error {
	if w.settings.plant != nil {
		w.settings.plant(w)
	}
	if err := w.takeStep(choice); err != nil {
		return err
	}
	return w.coreViolation
}

func (w *World) takeStep(choice Choice) error {
	if choice.Action == Default {
		return w.StepDefault()
	}
	if !slices.Contains(w.Choices(), choice) {
		return nil
	}
	w.trace("! %s %d %d", choice.Action, choice.A+1, choice.B)
	if err := w.apply(choice); err != nil {
		return err
	}
	return majoritiesIntersect(w)
}

func (w *World) apply(choice Choice) error {
	switch choice.Action {
	case Deliver:
		return w.deliverAt(choice.A)
	case DeliverOld:
		e := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		if old := w.receivers(e.to)[1]; !old.isFrozen {
			return w.deliver(e, old)
		}
	case Delay:
		w.delayed = append(w.delayed, w.inFlight[0])
		w.inFlight = w.inFlight[1:]
	case Duplicate:
		w.delayed = append(w.delayed, w.inFlight[0])
		return w.deliverAt(0)
	case Release:
		e := w.delayed[choice.A]
		w.delayed = slices.Delete(w.delayed, choice.A, choice.A+1)
		if to := w.receiverOf(e); to != nil {
			return w.deliver(e, to)
		}
	case PassTime:
		return w.advanceTime()
	case PowerLoss:
		w.losePower(choice.B)
	case LoseDisksAndPower:
		w.loseDisksAndPower(diskLossOf(choice))
		return lossIsSurvived(w)
	default:
		return w.applyTo(w.processes[choice.A], choice)
	}
	return nil
}

func (w *World) applyTo(p *process, choice Choice) error {
	p.isDirty = true
	switch choice.Action {
	case Sync:
		return w.sync(p)
	case SkewClock:
		p.clock += w.settings.Timing.MaxElectionTimeout
		return w.tick(p)
	case Crash:
		w.restart(p, choice.B)
	case Kill:
		p.stop()
	case Start:
		w.start(p)
	case Freeze:
		p.isFrozen = true
	case Resume:
		return w.resume(p, choice.B)
	case Partition:
		p.partition = partitionMode(choice.B)
	case Heal:
		p.partition = notPartitioned
	case WipeDisk:
		p.stop()
		w.wipeDisk(p)
		w.start(p)
	case StartTwin:
		w.startTwin(p)
	case StallDisk, FillDisk, DamageDocument:
		w.failDisk(p, choice)
	case RollBackFolder:
		p.stop()
		p.disk.rollBack()
		w.start(p)
	case Leave:
		return w.handle(p, causeTick, func(core *control.Core) { core.Leave(p.clock) })
	}
	return nil
}

// keepPart writes the part of the outstanding write that a crash keeps. The core is not told that it was
// written.
func (w *World) keepPart(p *process, part int) {
	if p.pending == nil || part == keepNothing {
		return
	}
	save := *p.pending
	if part == keepHardState {
		save.Document = nil
	}
	p.disk.write(save)
	w.observer.synced(p)
}

// resume lets a frozen process continue in the order timersFirst or one of readsFirst.
func (w *World) resume(p *process, order int) error {
	p.isFrozen = false
	if order == timersFirst {
		return w.tick(p)
	}
	for _, sender := range w.processes {
		if order == readsFirst(sender) {
			w.moveToFront(isBetween(sender, p))
		}
	}
	return nil
}

// isBetween returns a predicate for the messages from one process to the address of another.
func isBetween(sender, receiver *process) func(*envelope) bool {
	return func(e *envelope) bool { return e.from == sender.index && e.to == receiver.address }
}

// moveToFront moves the chosen messages in flight before all others and keeps the order among them.
func (w *World) moveToFront(isChosen func(*envelope) bool) {
	slices.SortStableFunc(w.inFlight, func(a, b *envelope) int {
		switch {
		case isChosen(a) == isChosen(b):
			return 0
		case isChosen(a):
			return -1
		}
		return 1
	})
}

// startTwin starts a second process with an empty disk at the address of p.
func (w *World) startTwin(p *process) {
	twin := &process{index: len(w.processes), address: p.address, zone: p.zone, clock: w.now}
	w.wiped[p.address] = true
	twin.disk = w.emptyDisk()
	w.processes = append(w.processes, twin)
	w.start(twin)
}

// Run plays a trace for maxTimeSteps time steps. It ends early at the first violation, or when afterStep,
// which may be nil, returns false. It returns the number of steps taken.
func (w *World) Run(trace Trace, maxTimeSteps int, afterStep func(step int) bool) (steps int, err error) {
	next := 0
	for ; w.timeStep < maxTimeSteps && steps < maxSteps; steps++ {
		choice := Choice{}
		if next < len(trace) && trace[next].Step == steps {
			choice = trace[next].Choice
			next++
		}
		if err := w.Step(choice); err != nil {
			return steps + 1, err
		}
		if afterStep != nil && !afterStep(steps) {
			return steps + 1, nil
		}
	}
	return steps, runEnds(w, maxTimeSteps)
}

// maxSteps ends a run in which messages keep causing further messages.
const maxSteps = 5000
