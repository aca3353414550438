package wire

import (
	"slices"

	"dunlinloom/internal/control/cluster"
)

// AnnounceStateLoss tells the seeds of an empty member whose earlier lives may have voted.
type AnnounceStateLoss struct {
	Member      cluster.Member        `json:"member"`
	Incarnation cluster.IncarnationID `json:"incarnation"`
	Seeds       []string              `json:"seeds"` // those that it goes by
}

// FirstSeeds tells an amnesiac member which seeds the first start has: the settings of a restart may
// name others.
type FirstSeeds struct {
	Seeds []string `json:"seeds"`
}

// WitnessRequest asks any node whether this still is the first start of the fleet with these seeds.
type WitnessRequest struct {
	Number cluster.ProposalNumber `json:"ballot"`
	Seeds  []string               `json:"seeds"`
}

// WitnessResponse answers a WitnessRequest.
type WitnessResponse struct {
	Number cluster.ProposalNumber `json:"ballot"`
	// IsFirstStart: the sender is in its first life, of the first start with those seeds, and has heard
	// of no fleet.
	IsFirstStart bool `json:"first_start,omitempty"`
	KnowsFleet   bool `json:"knows_fleet,omitempty"`
}

// BootstrapPrepare asks an acceptor to refuse all lower ballots.
type BootstrapPrepare struct {
	Number cluster.ProposalNumber `json:"ballot"`
	// Acceptor is the proposer's own id as an acceptor, if it is one, and Incarnation goes with it.
	Acceptor    cluster.MemberID      `json:"acceptor,omitempty"`
	Incarnation cluster.IncarnationID `json:"incarnation,omitempty"`
	Seeds       []string              `json:"seeds"`
	// Incarnations names the amnesiac acceptors that the ballot is for as well.
	Incarnations []cluster.IncarnationID `json:"incarnations,omitempty"`
}

// IncludesAll tells whether the ballot names all of these incarnations.
func (m *BootstrapPrepare) IncludesAll(incarnations []cluster.IncarnationID) bool {
	isMissing := func(incarnation cluster.IncarnationID) bool { return !slices.Contains(m.Incarnations, incarnation) }
	return !slices.ContainsFunc(incarnations, isMissing)
}

// BootstrapPromise answers a BootstrapPrepare with what the acceptor has accepted so far.
type BootstrapPromise struct {
	Number     cluster.ProposalNumber `json:"ballot"`
	Acceptor   cluster.MemberID       `json:"acceptor"`
	IsRejected bool                   `json:"refused,omitempty"`
	Promised   cluster.ProposalNumber `json:"promised"` // of a refusal: the higher ballot that stands in the way
	Accepted   cluster.ProposalNumber `json:"accepted"`
	Document   *cluster.Document      `json:"document,omitempty"`

	Incarnation  cluster.IncarnationID `json:"incarnation,omitempty"`
	HasLostState bool                  `json:"amnesiac,omitempty"`
	// Incarnations are, in a refusal, those that a ballot has to name here.
	Incarnations []cluster.IncarnationID `json:"incarnations,omitempty"`
	IsFirstStart bool                    `json:"first_start,omitempty"` // as in a WitnessResponse
}

// BootstrapAccept asks one acceptor to accept a first document.
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

// BootstrapAnnounce tells the seeds of an empty member with a folder.
type BootstrapAnnounce struct {
	Member cluster.Member `json:"member"`
}

// BootstrapCommit brings the first document to the members that it names.
type BootstrapCommit struct {
	Document *cluster.Document `json:"document"`
}

// BootstrapProbe asks a founder whether it is empty.
type BootstrapProbe struct{}

// BootstrapProbeResponse is a founder's word to the one that would found the fleet.
type BootstrapProbeResponse struct {
	Member    cluster.Member `json:"member"`
	IsEmpty   bool           `json:"empty"`
	HasFolder bool           `json:"folder"`
}
