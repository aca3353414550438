package modelcheck

import (
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
)

// The assumptions that limit the explored faults.

// canBeWiped reports whether the loss of the disks of these processes stays within the assumption
// SeedsKeepTheirFolders.
func (w *World) canBeWiped(processes ...*process) bool {
	if w.settings.bootstrapRule() != control.BootstrapFromSeeds || w.settings.LiftedAssumptions.SeedsKeepTheirFolders {
		return true
	}
	emptied := 0
	for _, address := range w.bootstrapMembers {
		isLost := slices.ContainsFunc(processes, func(p *process) bool { return p.address == address })
		if isLost || w.wiped[address] {
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

// canLoseDisks reports whether these processes may lose their disks at once: the loss stays within
// SeedsKeepTheirFolders, and within what the core tolerates of the voters of the newest committed document and of any
// newer document on a disk.
func (w *World) canLoseDisks(processes ...*process) bool {
	return w.canBeWiped(processes...) && !slices.ContainsFunc(w.survivingDocuments(), func(document *cluster.Document) bool {
		lost := 0
		for _, voter := range document.Voters {
			isLost := slices.ContainsFunc(processes, func(p *process) bool { return p.disk.member == voter.ID })
			if isLost || w.observer.lostMembers[voter.ID] {
				lost++
			}
		}
		return lost > w.toleratedLosses(document)
	})
}

// toleratedLosses is how many disks of a document's voters may be lost. If the number of voters is a setting, it follows
// from that alone: members that are merely down must not reduce it.
func (w *World) toleratedLosses(document *cluster.Document) int {
	if w.settings.Voters > 0 {
		return (w.settings.Voters - 1) / 2
	}
	return (len(document.Voters) - 1) / 2
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
