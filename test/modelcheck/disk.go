package modelcheck

import (
	"dunlinloom/internal/control"
)

// disk is what a data folder holds after its last sync, and how it fails now.
type disk struct {
	member    control.MemberID
	ballot    control.Ballot
	document  *control.Document
	documents map[uint64]*control.Document // by the revision of their configuration
	// previous is the document before the newest, which is left if that is damaged. It is kept only
	// where disks fail, so that elsewhere states that differ in it alone are one.
	previous      *control.Document
	keepsPrevious bool
	// promised is the newest document that was lost to damage: the name of its file is left.
	promised control.Stamp
	// Until these turns writes stay outstanding, or are refused.
	stalledUntil int
	fullUntil    int
	fullness     fullness
}

// fullness says what a full disk still takes.
type fullness int

const (
	nothingFits fullness = iota
	ballotFits           // the ballot, which is small, and no document
)

// DiskFull refuses a write.
type DiskFull struct{}

func (DiskFull) Error() string { return "no space is left on the disk" }

func (w *World) emptyDisk() disk {
	return disk{member: w.freshID(), documents: map[uint64]*control.Document{}, keepsPrevious: w.settings.FailingDisks}
}

// write applies a save, as a store does: the ballot first, then the document.
func (d *disk) write(save control.Save) {
	if save.Ballot != nil {
		d.ballot = *save.Ballot
	}
	if save.Document == nil {
		return
	}
	d.documents[save.Document.ConfigRevision] = save.Document
	if !d.document.Stamp().Before(save.Document.Stamp()) {
		return
	}
	if d.keepsPrevious {
		d.previous = d.document
	}
	d.document = save.Document
}

// writeWhatFits applies what a full disk takes of a save.
func (d *disk) writeWhatFits(save control.Save) {
	if d.fullness == ballotFits {
		save.Document = nil
		d.write(save)
	}
}

func (d *disk) isStalled(turn int) bool { return turn < d.stalledUntil }

func (d *disk) isFull(turn int) bool { return turn < d.fullUntil }

// damageNewest loses the newest document and keeps its name, as Store.loseDocument does.
func (d *disk) damageNewest() {
	d.promised = d.promise()
	if revision := d.document.ConfigRevision; d.documents[revision] == d.document {
		delete(d.documents, revision)
	}
	d.document, d.previous = d.previous, nil
	if d.document != nil && d.documents[d.document.ConfigRevision] == nil {
		d.documents[d.document.ConfigRevision] = d.document
	}
}

// promise is the newest document that the folder is known to have held.
func (d *disk) promise() control.Stamp {
	if d.promised.Before(d.document.Stamp()) {
		return d.document.Stamp()
	}
	return d.promised
}

func (d *disk) keptRevisions() []uint64 {
	kept := []uint64{}
	for _, revision := range sortedKeys(d.documents) {
		if revision > 0 {
			kept = append(kept, revision)
		}
	}
	return kept
}

// isWriting tells whether a process has a write that its disk can do now.
func (w *World) isWriting(p *process) bool {
	return p.pending != nil && !p.isFrozen && !p.disk.isStalled(w.turn)
}

// How long, in turns, a disk fails. A short stall is over before the core takes it for one.
const (
	shortStall = 3
	longStall  = 8
	fullTurns  = 4
)

// stallSpans are the stalls that a choice can begin, by their place.
var stallSpans = [...]int{shortStallPlace: shortStall, longStallPlace: longStall}

const (
	shortStallPlace = iota
	longStallPlace
)

// addDiskFaults lists the ways in which the disk of a process can fail now.
func (w *World) addDiskFaults(p *process, add func(kind Kind, a, b int)) {
	if !p.disk.isStalled(w.turn) {
		for place := range stallSpans {
			add(StallDisk, p.index, place)
		}
	}
	if !p.disk.isFull(w.turn) {
		add(FillDisk, p.index, int(nothingFits))
		add(FillDisk, p.index, int(ballotFits))
	}
	if p.disk.previous != nil {
		add(DamageDocument, p.index, 0)
	}
}

// failDisk begins one of the faults of a disk.
func (w *World) failDisk(p *process, choice Choice) {
	switch choice.Kind {
	case StallDisk:
		p.disk.stalledUntil = w.turn + stallSpans[choice.B]
	case FillDisk:
		p.disk.fullUntil, p.disk.fullness = w.turn+fullTurns, fullness(choice.B)
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

// restart ends a life, with a part of its outstanding write kept, and begins another.
func (w *World) restart(p *process, part int) {
	p.isDirty = true
	w.keepPart(p, part)
	p.stop()
	w.start(p)
}
