package modelcheck

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// disk is the content of a data folder after its last sync, and the current faults of its disk.
type disk struct {
	member    cluster.MemberID
	hardState cluster.HardState
	document  *cluster.Document
	documents map[uint64]*cluster.Document // by the revision of their configuration
	// previous is the document before the newest one; it remains if the newest is damaged. It is kept only
	// if keepsPrevious is set, so that otherwise states which differ only in it count as one.
	previous      *cluster.Document
	keepsPrevious bool
	// previousHardState is the hard state before the newest document was written. It is kept only if canBeRolledBack is
	// set, that is, if the folder may be restored from an older copy.
	previousHardState cluster.HardState
	canBeRolledBack   bool
	// damaged is the position of the newest document lost to damage. It is known because the name of the
	// file remains.
	damaged cluster.Position
	// Writes stay outstanding until time step stalledUntil, and are refused until fullUntil.
	stalledUntil int
	fullUntil    int
	fullness     fullness
}

// fullness is what a full disk still accepts.
type fullness int

const (
	nothingFits   fullness = iota
	hardStateFits          // the hard state, which is small, but no document
)

// DiskFullError is the error of a write to a full disk.
type DiskFullError struct{}

func (DiskFullError) Error() string { return "write to the data folder: no space left on the disk" }

func (w *World) emptyDisk() disk {
	canBeRolledBack := w.settings.LiftedAssumptions.FolderIsNeverRolledBack
	return disk{
		member: w.newMemberID(), documents: map[uint64]*cluster.Document{},
		keepsPrevious: w.settings.FailingDisks || canBeRolledBack, canBeRolledBack: canBeRolledBack,
	}
}

// write applies a save in the order of the real store: the hard state first, then the document.
func (d *disk) write(save commands.Save) {
	earlier := d.hardState
	if save.HardState != nil {
		d.hardState = *save.HardState
	}
	if save.Document == nil {
		return
	}
	d.documents[save.Document.ConfigRevision] = save.Document
	if !d.document.Position().Before(save.Document.Position()) {
		return
	}
	if d.keepsPrevious {
		d.previous = d.document
	}
	if d.canBeRolledBack {
		d.previousHardState = earlier
	}
	d.document = save.Document
}

// writePartial applies the part of a save that a full disk accepts.
func (d *disk) writePartial(save commands.Save) {
	if d.fullness == hardStateFits {
		save.Document = nil
		d.write(save)
	}
}

func (d *disk) isStalled(step int) bool { return step < d.stalledUntil }

func (d *disk) isFull(step int) bool { return step < d.fullUntil }

// damageNewest drops the newest document but keeps its position, as Store.loseDocument does.
func (d *disk) damageNewest() {
	d.damaged = d.newestWritten()
	if revision := d.document.ConfigRevision; d.documents[revision] == d.document {
		delete(d.documents, revision)
	}
	d.document, d.previous = d.previous, nil
	if d.document != nil && d.documents[d.document.ConfigRevision] == nil {
		d.documents[d.document.ConfigRevision] = d.document
	}
}

// rollBack restores the folder from a copy made before its newest document was written. Nothing in it shows that there was
// a newer one.
func (d *disk) rollBack() {
	if revision := d.document.ConfigRevision; d.documents[revision] == d.document {
		delete(d.documents, revision)
	}
	d.document, d.hardState, d.previous = d.previous, d.previousHardState, nil
}

// newestWritten returns the position of the newest document that the folder is known to have held.
func (d *disk) newestWritten() cluster.Position {
	if d.damaged.Before(d.document.Position()) {
		return d.document.Position()
	}
	return d.damaged
}

func (d *disk) revisions() []uint64 {
	revisions := []uint64{}
	for _, revision := range sortedKeys(d.documents) {
		if revision > 0 {
			revisions = append(revisions, revision)
		}
	}
	return revisions
}

// isWriting reports whether a process has an outstanding write that its disk can complete now.
func (w *World) isWriting(p *process) bool {
	return p.pending != nil && !p.isFrozen && !p.disk.isStalled(w.timeStep)
}

// The durations of disk faults in time steps. A short stall ends before the core detects it.
const (
	shortStall    = 3
	longStall     = 8
	fullDiskSteps = 4
)

// stallSteps are the durations of the stalls that a choice can start.
var stallSteps = [...]int{shortStallIndex: shortStall, longStallIndex: longStall}

const (
	shortStallIndex = iota
	longStallIndex
)

// addDiskFaults adds the faults that can affect the disk of a process now.
func (w *World) addDiskFaults(p *process, add func(action Action, a, b int)) {
	if !p.disk.isStalled(w.timeStep) {
		for index := range stallSteps {
			add(StallDisk, p.index, index)
		}
	}
	if !p.disk.isFull(w.timeStep) {
		add(FillDisk, p.index, int(nothingFits))
		add(FillDisk, p.index, int(hardStateFits))
	}
	if p.disk.previous != nil {
		add(DamageDocument, p.index, 0)
	}
}

// addRollback adds the restoration of a process's folder from an older copy, if FolderIsNeverRolledBack is lifted.
func (w *World) addRollback(p *process, add func(action Action, a, b int)) {
	if w.settings.LiftedAssumptions.FolderIsNeverRolledBack && p.disk.previous != nil {
		add(RollBackFolder, p.index, 0)
	}
}

// failDisk starts a disk fault.
func (w *World) failDisk(p *process, choice Choice) {
	switch choice.Action {
	case StallDisk:
		p.disk.stalledUntil = w.timeStep + stallSteps[choice.B]
	case FillDisk:
		p.disk.fullUntil, p.disk.fullness = w.timeStep+fullDiskSteps, fullness(choice.B)
	case DamageDocument:
		p.stop()
		p.disk.damageNewest()
		w.start(p)
	}
}

// losePower restarts all running processes at once. part says what is kept of their outstanding writes.
func (w *World) losePower(part int) {
	for _, p := range w.processes {
		if p.isUp {
			w.restart(p, part)
		}
	}
}

// diskLoss is the loss of one or two disks at the moment at which all processes lose power.
type diskLoss struct {
	first, second int // indexes of the processes whose disks are lost; equal if there is only one
	part          int // what is kept of the outstanding writes of the others
}

// choice returns the choice that stands for the loss.
func (l diskLoss) choice() Choice {
	return Choice{LoseDisksAndPower, l.first, l.second*keepCount + l.part}
}

// diskLossOf returns the loss that a choice stands for.
func diskLossOf(choice Choice) diskLoss {
	return diskLoss{first: choice.A, second: choice.B / keepCount, part: choice.B % keepCount}
}

// addDiskLosses adds the losses of disks, together with all power, that the core has to survive.
func (w *World) addDiskLosses(add func(action Action, a, b int)) {
	for first, p := range w.processes {
		for second, q := range w.processes[first:] {
			if !p.isUp || !q.isUp || !w.canLoseDisks(p, q) {
				continue
			}
			for part := range keepCount {
				choice := diskLoss{first, first + second, part}.choice()
				add(choice.Action, choice.A, choice.B)
			}
		}
	}
}

// loseDisksAndPower restarts all running processes at once, those of the loss with empty disks.
func (w *World) loseDisksAndPower(loss diskLoss) {
	for _, p := range w.processes {
		isLost := p.index == loss.first || p.index == loss.second
		if !isLost {
			if p.isUp {
				w.restart(p, loss.part)
			}
			continue
		}
		p.stop()
		w.wipeDisk(p)
		w.start(p)
	}
}

// restart ends an incarnation, keeps a part of its outstanding write, and starts another.
func (w *World) restart(p *process, part int) {
	p.isDirty = true
	w.keepPart(p, part)
	p.stop()
	w.start(p)
}
