package wire

import (
	"slices"

	"dunlinloom/internal/control/cluster"
)

// AnnounceStateLoss announces a member whose data folder has no acceptor state. The member may have voted in an earlier
// process and lost that vote. It sends the message to the seeds and to other nodes that it knows.
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
	// KnowsFleet: the sender has heard of a cluster that was bootstrapped already. The receiver then recovers no member
	// that lost its state.
	KnowsFleet bool `json:"knows_fleet,omitempty"`
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
	HasLostState bool                  `json:"amnesiac,omitempty"` // see AcceptorState.HasLostState
	// Incarnations is set only in a rejection. A proposal has to name all of these incarnations to be promised.
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
	Promised   cluster.ProposalNumber `json:"promised"` // if rejected: the higher number that the acceptor has promised
}

// BootstrapAnnounce is sent to the seeds by a member that has a data folder without a document. It makes the member a
// candidate for the voters of the first document.
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
	IsEmpty   bool           `json:"empty"`  // the sender has no document
	HasFolder bool           `json:"folder"` // the sender has a data folder, so it can vote
}
