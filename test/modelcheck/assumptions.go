package modelcheck

import (
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
)

// The assumptions that limit the explored faults.

// canBeWiped reports whether the loss of a process's disk stays within the assumption
// SeedsKeepTheirFolders.
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

// canShareAddress reports whether a second process may share an address. It may not where the core depends
// on the assumption OneAddressOneMachine: any member may become a voter, so then no address may be shared.
func (w *World) canShareAddress() bool {
	return w.settings.Voters == 0 || w.settings.LiftedAssumptions.OneAddressOneMachine
}

// canLoseDisk reports whether the loss of a disk stays within the assumption on lost disks: at most a
// minority of the voters of the newest committed document, and of any newer document on a disk, lose
// their disks.
func (w *World) canLoseDisk(p *process) bool {
	return !slices.ContainsFunc(w.survivingDocuments(), func(document *cluster.Document) bool {
		lost := 0
		for _, voter := range document.Voters {
			if w.observer.lostMembers[voter.ID] || voter.ID == p.disk.member {
				lost++
			}
		}
		return lost > (len(document.Voters)-1)/2
	})
}

// survivingDocuments returns the newest committed document and the documents on disks, or being written,
// that may replace it.
func (w *World) survivingDocuments() []*cluster.Document {
	newest := w.observer.newestPosition()
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
	return documents
}

// Assumptions selects assumptions of docs/control-safety.md that the explored faults need not keep to.
type Assumptions struct {
	// OneAddressOneMachine: no second process shares the address of a member. The core depends on this
	// only if the number of voters is a setting, because a voter whose data folder is lost is then
	// replaced in one step.
	OneAddressOneMachine bool
	// SeedsKeepTheirFolders: after a bootstrap from seeds, no majority of the seeds' addresses is ever
	// served from an empty data folder.
	SeedsKeepTheirFolders bool
	// FolderIsNeverRolledBack: no data folder is restored from an older copy.
	FolderIsNeverRolledBack bool
}
