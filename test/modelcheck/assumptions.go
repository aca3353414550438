package modelcheck

import (
	"dunlinloom/internal/control"
)

// The assumptions that bound the explored faults.

// mayBeEmptied holds to the assumption SeedsKeepTheirFolders.
func (w *World) mayBeEmptied(p *process) bool {
	if w.settings.foundingRule() != control.FoundersAreSeeds || w.settings.Lifted.SeedsKeepTheirFolders {
		return true
	}
	emptied := 0
	for _, address := range w.founders {
		if w.emptied[address] || address == p.address {
			emptied++
		}
	}
	return emptied <= (len(w.founders)-1)/2
}

// mayShare holds to the assumption OneAddressOneMachine where the core leans on it. Any member
// may come to vote, so no address is shared then.
func (w *World) mayShare() bool {
	return w.settings.Voters == 0 || w.settings.Lifted.OneAddressOneMachine
}

// mayLose tells whether the loss of a disk stays within the assumption that the fleet makes:
// of the voters of the newest committed document, and of any newer one on a disk, a minority.
func (w *World) mayLose(p *process) bool {
	newest := control.Stamp{}
	for _, stamp := range w.observer.newest {
		if newest.Before(stamp) {
			newest = stamp
		}
	}
	documents := []*control.Document{}
	for _, revision := range sortedKeys(w.observer.commits) {
		if document := w.observer.commits[revision].document; document.Stamp() == newest {
			documents = append(documents, document)
		}
	}
	for _, other := range w.processes {
		if document := other.disk.document; document != nil && !document.Stamp().Before(newest) {
			documents = append(documents, document)
		}
		if other.pending != nil && other.pending.Document != nil {
			documents = append(documents, other.pending.Document)
		}
	}
	for _, document := range documents {
		lost := 0
		for _, voter := range document.Voters {
			if w.observer.gone[voter.ID] || voter.ID == p.disk.member {
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
