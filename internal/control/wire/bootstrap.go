package wire

import (
	"slices"

	"dunlinloom/internal/control/cluster"
)

// AnnounceStateLoss announces to the seeds a member with an empty folder that may have voted in an earlier process.
type AnnounceStateLoss struct {
	Member      cluster.Member        `json:"member"`
	Incarnation cluster.IncarnationID `json:"incarnation"`
	Seeds       []string              `json:"seeds"` // the seeds in the member's settings
}

// FirstSeeds tells a member that lost its state which seeds were configured at the first start of the fleet. The
// settings of the restarted member may name others.
type FirstSeeds struct {
	Seeds []string `json:"seeds"`
}

// WitnessRequest asks a node to be a witness, that is, to confirm that this is still the first start of the fleet with
// these seeds. Members that lost their state take part in a bootstrap only if a witness or the proposer itself
// confirms it.
type WitnessRequest struct {
	Number cluster.ProposalNumber `json:"ballot"`
	Seeds  []string               `json:"seeds"`
}

// WitnessResponse answers a WitnessRequest. It is sent only if one of its statements is true.
type WitnessResponse struct {
	Number cluster.ProposalNumber `json:"ballot"`
	// IsFirstStart: the sender is still in its first process, which is part of the first start with these
	// seeds, and it does not know of an existing cluster.
	IsFirstStart bool `json:"first_start,omitempty"`
	KnowsFleet   bool `json:"knows_fleet,omitempty"`
}

// BootstrapPrepare asks an acceptor to reject all proposals with lower numbers.
type BootstrapPrepare struct {
	Number cluster.ProposalNumber `json:"ballot"`
	// Acceptor and Incarnation identify the proposer as an acceptor, if it is one.
	Acceptor    cluster.MemberID      `json:"acceptor,omitempty"`
	Incarnation cluster.IncarnationID `json:"incarnation,omitempty"`
	Seeds       []string              `json:"seeds"`
	// Incarnations lists the acceptors with lost state that take part in the proposal.
	Incarnations []cluster.IncarnationID `json:"incarnations,omitempty"`
}

// IncludesAll reports whether the proposal names all of these incarnations.
func (m *BootstrapPrepare) IncludesAll(incarnations []cluster.IncarnationID) bool {
	isMissing := func(incarnation cluster.IncarnationID) bool { return !slices.Contains(m.Incarnations, incarnation) }
	return !slices.ContainsFunc(incarnations, isMissing)
}

// BootstrapPromise answers a BootstrapPrepare. It has the proposal that the acceptor has accepted so far, if any.
type BootstrapPromise struct {
	Number     cluster.ProposalNumber `json:"ballot"`
	Acceptor   cluster.MemberID       `json:"acceptor"`
	IsRejected bool                   `json:"refused,omitempty"`
	Promised   cluster.ProposalNumber `json:"promised"` // if rejected: the higher number that the acceptor has promised
	Accepted   cluster.ProposalNumber `json:"accepted"`
	Document   *cluster.Document      `json:"document,omitempty"`

	Incarnation  cluster.IncarnationID `json:"incarnation,omitempty"`
	HasLostState bool                  `json:"amnesiac,omitempty"`
	// Incarnations lists, in a rejection, the incarnations that a proposal to this acceptor has to name.
	Incarnations []cluster.IncarnationID `json:"incarnations,omitempty"`
	IsFirstStart bool                    `json:"first_start,omitempty"` // as in a WitnessResponse
}

// BootstrapAccept asks an acceptor to accept the first document.
type BootstrapAccept struct {
	Number   cluster.ProposalNumber `json:"ballot"`
	Acceptor cluster.MemberID       `json:"acceptor"`
	Document *cluster.Document      `json:"document"`
}

// BootstrapAccepted answers a BootstrapAccept.
type BootstrapAccepted struct {
	Number     cluster.ProposalNumber `json:"ballot"`
	Acceptor   cluster.MemberID       `json:"acceptor"`
	IsRejected bool                   `json:"refused,omitempty"`
	Promised   cluster.ProposalNumber `json:"promised"`
}

// BootstrapAnnounce announces to the seeds a member with an empty folder.
type BootstrapAnnounce struct {
	Member cluster.Member `json:"member"`
}

// BootstrapCommit carries the chosen first document to its members.
type BootstrapCommit struct {
	Document *cluster.Document `json:"document"`
}

// BootstrapProbe asks an initial member whether it has no document yet.
type BootstrapProbe struct{}

// BootstrapProbeResponse is an initial member's response to the member that bootstraps the cluster.
type BootstrapProbeResponse struct {
	Member    cluster.Member `json:"member"`
	IsEmpty   bool           `json:"empty"`
	HasFolder bool           `json:"folder"`
}
