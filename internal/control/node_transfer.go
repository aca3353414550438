package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
)

// isVoterAt reports whether the document in force has a voter with this address.
func (n *Node) isVoterAt(address string) bool {
	return slices.Contains(n.lease.Applied().VoterAddresses(), address)
}

// withConfig restores the configuration that a sender left out of a document, if the core has it. Otherwise it returns
// the document as it is.
func (n *Node) withConfig(document *cluster.Document) *cluster.Document {
	if n.core == nil {
		return document
	}
	if complete := document.WithConfig(n.settings.PatchConfig, n.core.doc, n.core.committed); complete != nil {
		return complete
	}
	return document
}
