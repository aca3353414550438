package simulator

// Selection of the machines and engines that a fault is applied to.

import (
	"cmp"
	"slices"

	"dunlinloom/internal/control/cluster"
)

func (w *World) anyMachine() *machine { return w.machines[w.random.IntN(len(w.machines))] }

func (w *World) core() []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		if m.isCore && !m.isRemoved {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) anyCore() *machine {
	core := w.core()
	return core[w.random.IntN(len(core))]
}

func (w *World) leader() *machine {
	for _, m := range w.core() {
		if m.isUp && m.node.State(nil).IsLeader {
			return m
		}
	}
	return w.anyCore()
}

func (w *World) anyEngine() *engine { return w.engines[w.random.IntN(len(w.engines))] }

func (w *World) others(than []*machine) []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		isIn := false
		for _, one := range than {
			isIn = isIn || one == m
		}
		if !isIn {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) inZone(zone string) []*machine {
	found := []*machine{}
	for _, m := range w.machines {
		if m.identity.Zone == zone {
			found = append(found, m)
		}
	}
	return found
}

func (w *World) anyZone() string { return w.zones[w.random.IntN(len(w.zones))] }

// newestDocument returns the newest document that any running node has applied.
func (w *World) newestDocument() *cluster.Document {
	var newest *cluster.Document
	for _, m := range w.machines {
		if !m.isUp || m.isFrozen {
			continue
		}
		if document := m.node.State(nil).Document; document != nil && (newest == nil || newest.Revision < document.Revision) {
			newest = document
		}
	}
	return newest
}

// toleratedLosses is how many machines of the core may be lost at once.
func (w *World) toleratedLosses() int { return (max(w.options.Voters, voterCountWanted) - 1) / 2 }

// canLoseDisk reports whether the core tolerates the loss of one more disk: it has no loss to repair, and a majority of
// the voters is left. During a membership change there may be more voters than usual.
func (w *World) canLoseDisk() bool {
	running, all := w.voters()
	return running >= voterCountWanted && running-1 > all/2
}

// repairTimeout is how long after a lost disk the core has to tolerate the next losses.
const repairTimeout = 12 * sec

// mustTolerateLosses reports whether the core has to tolerate as many losses as the fleet is set up for: all voters run
// with their disks, and the last loss is long ago. How many voters there are does not matter; the core has to see to that.
func (w *World) mustTolerateLosses() bool {
	running, all := w.voters()
	return running > 0 && running == all && w.now-w.lastDiskLossAt >= repairTimeout
}

// holders returns that many voters, those first that have the newest document on their disks.
func (w *World) holders(count int) []*machine {
	newest := w.newestDocument()
	if newest == nil {
		return nil
	}
	found := []*machine{}
	for _, voter := range newest.Voters {
		if m := w.byAddress[voter.Address]; m != nil && m.isUp && m.store != nil && m.store.Member() == voter.ID {
			found = append(found, m)
		}
	}
	w.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *machine) int { return cmp.Compare(b.storedRevision, a.storedRevision) })
	return found[:min(count, len(found))]
}

// voters counts the voters in the newest document, and those of them that are running with
// their own disk contents.
func (w *World) voters() (running, all int) {
	var newest *cluster.Document
	for _, m := range w.machines {
		if m.isUp && m.node != nil {
			if document := m.node.State(nil).Document; document != nil && (newest == nil || document.Revision > newest.Revision) {
				newest = document
			}
		}
	}
	if newest != nil {
		all = len(newest.Voters)
		for _, voter := range newest.Voters {
			if m := w.byAddress[voter.Address]; m != nil && m.isUp && m.store != nil && m.store.Member() == voter.ID {
				running++
			}
		}
	}
	return running, all
}

func (w *World) isCutOff(m *machine) bool {
	for link, count := range w.blocked {
		if count > 0 && link[0] == m.identity.Address {
			return true
		}
	}
	return w.lossShare > 0
}
