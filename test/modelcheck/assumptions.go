package modelcheck

import (
	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
)

// The assumptions that bound the explored faults.

// canBeWiped holds to the assumption SeedsKeepTheirFolders.
func (w *World) canBeWiped(p *process) bool {
	if w.settings.bootstrapRule() != control.BootstrapFromSeeds || w.settings.LiftedAssumptions.SeedsKeepTheirFolders {
		return true
	}
	emptied := 0
	for _, address := range w.bootstrapMembers {
		if w.wiped[address] || address == p.address {
			emptied++
		}
	}
	return emptied <= (len(w.bootstrapMembers)-1)/2
}

// canShareAddress holds to the assumption OneAddressOneMachine where the core leans on it. Any member
// may come to vote, so no address is shared then.
func (w *World) canShareAddress() bool {
	return w.settings.Voters == 0 || w.settings.LiftedAssumptions.OneAddressOneMachine
}

// canLoseDisk tells whether the loss of a disk stays within the assumption that the fleet makes:
// of the voters of the newest committed document, and of any newer one on a disk, a minority.
func (w *World) canLoseDisk(p *process) bool {
	newest := cluster.Position{}
	for _, position := range w.observer.newest {
		if newest.Before(position) {
			newest = position
		}
	}
	documents := []*cluster.Document{}
	for _, revision := range sortedKeys(w.observer.commits) {
		if document := w.observer.commits[revision].document; document.Position() == newest {
			documents = append(documents, document)
		}
	}
	for _, other := range w.processes {
		if document := other.disk.document; document != nil && !document.Position().Before(newest) {
			documents = append(documents, document)
		}
		if other.pending != nil && other.pending.Document != nil {
			documents = append(documents, other.pending.Document)
		}
	}
	for _, document := range documents {
		lost := 0
		for _, voter := range document.Voters {
			if w.observer.lostMembers[voter.ID] || voter.ID == p.disk.member {
				lost++
			}
		}
		if lost > (len(document.Voters)-1)/2 {
			return false
		}
	}
	return true
}

// Assumptions are those of docs/control-safety.md that bound the explored faults.
type Assumptions struct {
	// OneAddressOneMachine: no second process shares the address of a member. The core leans on it
	// only where the number of voters is a setting, as there a voter whose folder is gone is
	// replaced in one step.
	OneAddressOneMachine bool
	// SeedsKeepTheirFolders: under the strict founding no majority of the seeds' addresses is
	// ever answered from an empty folder after the founding.
	SeedsKeepTheirFolders bool
}
