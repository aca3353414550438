package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
)

// isVoterAt tells whether a voter of the document in force is at an address.
func (n *Node) isVoterAt(address string) bool {
	return slices.Contains(n.lease.Applied().VoterAddresses(), address)
}

// withConfig puts back the configuration that a sender left out, if the core holds it.
func (n *Node) withConfig(document *cluster.Document) *cluster.Document {
	if n.core == nil {
		return document
	}
	if complete := document.WithConfig(n.settings.PatchConfig, n.core.doc, n.core.committed); complete != nil {
		return complete
	}
	return document
}
