package modelcheck

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
)

// disk is the content of a data folder after its last sync, and how it fails now.
type disk struct {
	member    cluster.MemberID
	hardState cluster.HardState
	document  *cluster.Document
	documents map[uint64]*cluster.Document // by the revision of their configuration
	// previous is the document before the newest, which is left if that is damaged. It is kept only
	// where disks fail, so that elsewhere states that differ in it alone are one.
	previous      *cluster.Document
	keepsPrevious bool
	// previousHardState is the hard state from before the newest document. It is kept only where folders are put back.
	previousHardState cluster.HardState
	isPutBack         bool
	// damaged is the newest document that was lost to damage: the name of its file is left.
	damaged cluster.Position
	// Until these time steps writes stay outstanding, or are refused.
	stalledUntil int
	fullUntil    int
	fullness     fullness
}

// fullness says what a full disk still accepts.
type fullness int

const (
	nothingFits   fullness = iota
	hardStateFits          // the hard state, which is small, and no document
)

// DiskFullError refuses a write.
type DiskFullError struct{}

func (DiskFullError) Error() string { return "no space is left on the disk" }

func (w *World) emptyDisk() disk {
	isPutBack := w.settings.LiftedAssumptions.FolderIsNeverRolledBack
	return disk{
		member: w.newMemberID(), documents: map[uint64]*cluster.Document{},
		keepsPrevious: w.settings.FailingDisks || isPutBack, isPutBack: isPutBack,
	}
}

// write applies a save, as a store does: the hard state first, then the document.
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
	if d.isPutBack {
		d.previousHardState = earlier
	}
	d.document = save.Document
}

// writePartial applies what a full disk accepts of a save.
func (d *disk) writePartial(save commands.Save) {
	if d.fullness == hardStateFits {
		save.Document = nil
		d.write(save)
	}
}

func (d *disk) isStalled(step int) bool { return step < d.stalledUntil }

func (d *disk) isFull(step int) bool { return step < d.fullUntil }

// damageNewest loses the newest document and keeps its name, as Store.loseDocument does.
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

// putBack makes the folder the copy from before its newest document: nothing in it tells that there was a newer one.
func (d *disk) putBack() {
	if revision := d.document.ConfigRevision; d.documents[revision] == d.document {
		delete(d.documents, revision)
	}
	d.document, d.hardState, d.previous = d.previous, d.previousHardState, nil
}

// newestWritten returns the position of the newest document that the folder is known to have had.
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

// isWriting tells whether a process has a write that its disk can do now.
func (w *World) isWriting(p *process) bool {
	return p.pending != nil && !p.isFrozen && !p.disk.isStalled(w.timeStep)
}

// How long, in time steps, a disk fails. A short stall ends before the core detects it.
const (
	shortStall    = 3
	longStall     = 8
	fullDiskSteps = 4
)

// stallSteps are the durations of the stalls that a choice can begin.
var stallSteps = [...]int{shortStallIndex: shortStall, longStallIndex: longStall}

const (
	shortStallIndex = iota
	longStallIndex
)

// addDiskFaults lists the ways in which the disk of a process can fail now.
func (w *World) addDiskFaults(p *process, add func(kind Action, a, b int)) {
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

// addRollback lists that the folder of a process is put back from an older copy, outside FolderIsNeverRolledBack.
func (w *World) addRollback(p *process, add func(kind Action, a, b int)) {
	if w.settings.LiftedAssumptions.FolderIsNeverRolledBack && p.disk.previous != nil {
		add(PutBackFolder, p.index, 0)
	}
}

// failDisk begins one of the faults of a disk.
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

// losePower restarts all processes at once; part says what is kept of the outstanding writes.
func (w *World) losePower(part int) {
	for _, p := range w.processes {
		if p.isUp {
			w.restart(p, part)
		}
	}
}

// restart ends an incarnation, with a part of its outstanding write kept, and begins another.
func (w *World) restart(p *process, part int) {
	p.isDirty = true
	w.keepPart(p, part)
	p.stop()
	w.start(p)
}
