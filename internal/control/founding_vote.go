package control

import (
	"cmp"
	"slices"
)

// The acceptor's half of the founding: single-decree Paxos on a fleet's first document.

// ProposalNumber numbers one attempt to found a fleet. No two proposers, and no two lives of
// one, share a ballot.
type ProposalNumber struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"proposer"`
}

func (b ProposalNumber) before(other ProposalNumber) bool {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer)) < 0
}

// AcceptorState is what an acceptor of the founding must not forget. A member keeps it in its
// folder; a seed without a folder has it in memory, for its first life alone.
type AcceptorState struct {
	// Acceptor is the member's id, or one made for a single life.
	Acceptor MemberID `json:"acceptor"`
	// Seeds are those that the first start was told of. Ballots of others are not for this acceptor.
	Seeds    []string       `json:"seeds,omitempty"`
	Promised ProposalNumber `json:"promised"`
	Accepted ProposalNumber `json:"accepted"`
	Document *Document      `json:"document,omitempty"` // what was accepted
	// Incarnation names an acceptor that began in a restart, on a folder without a vote. HasLostState: it
	// has not been recovered yet.
	Incarnation  IncarnationID `json:"incarnation,omitempty"`
	HasLostState bool          `json:"amnesiac,omitempty"`
	// Incarnations are those that the promised ballots named. A ballot that lacks one may rest on
	// a promise that was lost, and is refused.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
}

// BootstrapPrepare asks an acceptor to refuse all lower ballots.
type BootstrapPrepare struct {
	Number ProposalNumber `json:"ballot"`
	// Acceptor is the proposer's own id as an acceptor, if it is one, and Incarnation goes with it.
	Acceptor    MemberID      `json:"acceptor,omitempty"`
	Incarnation IncarnationID `json:"incarnation,omitempty"`
	Seeds       []string      `json:"seeds"`
	// Incarnations names the amnesiac acceptors that the ballot is for as well.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
}

// includesAll tells whether the ballot names all of these incarnations.
func (m *BootstrapPrepare) includesAll(incarnations []IncarnationID) bool {
	isMissing := func(incarnation IncarnationID) bool { return !slices.Contains(m.Incarnations, incarnation) }
	return !slices.ContainsFunc(incarnations, isMissing)
}

// BootstrapPromise answers a BootstrapPrepare with what the acceptor has accepted so far.
type BootstrapPromise struct {
	Number     ProposalNumber `json:"ballot"`
	Acceptor   MemberID       `json:"acceptor"`
	IsRejected bool           `json:"refused,omitempty"`
	Promised   ProposalNumber `json:"promised"` // of a refusal: the higher ballot that stands in the way
	Accepted   ProposalNumber `json:"accepted"`
	Document   *Document      `json:"document,omitempty"`

	Incarnation  IncarnationID `json:"incarnation,omitempty"`
	HasLostState bool          `json:"amnesiac,omitempty"`
	// Incarnations are, in a refusal, those that a ballot has to name here.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
	IsFirstStart bool            `json:"first_start,omitempty"` // as in a WitnessResponse
}

// BootstrapAccept asks one acceptor to accept a first document.
type BootstrapAccept struct {
	Number   ProposalNumber `json:"ballot"`
	Acceptor MemberID       `json:"acceptor"`
	Document *Document      `json:"document"`
}

// BootstrapAccepted answers a BootstrapAccept.
type BootstrapAccepted struct {
	Number     ProposalNumber `json:"ballot"`
	Acceptor   MemberID       `json:"acceptor"`
	IsRejected bool           `json:"refused,omitempty"`
	Promised   ProposalNumber `json:"promised"`
}

// initialAcceptorState gives the vote with which a life begins; nil: it has none. A member that was
// started anew and finds no vote in its folder can't know what it promised before, so it is amnesiac.
func (s NodeSettings) initialAcceptorState(incarnation string) *AcceptorState {
	switch {
	case s.AcceptorState != nil:
		acceptor := *s.AcceptorState
		return &acceptor
	case s.Document != nil || s.HardState.Term > 0:
		return nil
	case s.IsBootstrap && s.hasDurableVotes():
		return &AcceptorState{Acceptor: s.Member}
	case s.IsBootstrap:
		return &AcceptorState{Acceptor: MemberID(incarnation)}
	case s.hasDurableVotes():
		return &AcceptorState{Acceptor: s.Member, Incarnation: IncarnationID(incarnation), HasLostState: true}
	}
	return nil
}

// hasDurableVotes tells of a member whose votes are on disk before they are told.
func (s NodeSettings) hasDurableVotes() bool { return s.IsController && s.HasFolder }

// onPrepare promises a ballot, unless a higher one was promised.
func (n *Node) onPrepare(from string, m *BootstrapPrepare) {
	f := n.bootstrapper
	if !slices.Equal(m.Seeds, f.seeds) {
		return
	}
	f.observeNumber(n.now, m.Number)
	f.learnIncarnations(m.Incarnations)
	acceptor := f.acceptor
	if acceptor == nil || !f.isSameAcceptor(from, m.Acceptor, m.Incarnation) || !n.canPromise(m) {
		return
	}
	promise := &BootstrapPromise{Number: m.Number, Acceptor: acceptor.Acceptor, Incarnation: acceptor.Incarnation, HasLostState: acceptor.HasLostState}
	if m.Number.before(acceptor.Promised) || !m.includesAll(acceptor.Incarnations) {
		promise.IsRejected, promise.Promised, promise.Incarnations = true, acceptor.Promised, acceptor.Incarnations
		n.send(from, Message{BootstrapPromise: promise})
		return
	}
	acceptor.Promised, acceptor.Incarnations = m.Number, m.Incarnations
	promise.Accepted, promise.Document = acceptor.Accepted, acceptor.Document
	promise.IsFirstStart = n.isFirstStart()
	n.saveAcceptorState(func() { n.send(from, Message{BootstrapPromise: promise}) })
}

// canPromise tells whether a ballot is one that this acceptor may promise. To an amnesiac one that
// is a ballot which names it, so that all of its promises were given after it had forgotten its own.
func (n *Node) canPromise(m *BootstrapPrepare) bool {
	acceptor := n.bootstrapper.acceptor
	return !acceptor.HasLostState || slices.Contains(m.Incarnations, acceptor.Incarnation) && !n.knowsFleet()
}

// onAccept accepts a first document, unless a higher ballot was promised.
func (n *Node) onAccept(from string, m *BootstrapAccept) {
	f := n.bootstrapper
	f.observeNumber(n.now, m.Number)
	if f.acceptor == nil || m.Document == nil || m.Acceptor != f.acceptor.Acceptor {
		return
	}
	accepted := &BootstrapAccepted{Number: m.Number, Acceptor: f.acceptor.Acceptor}
	if m.Number != f.acceptor.Promised {
		accepted.IsRejected, accepted.Promised = true, f.acceptor.Promised
		n.send(from, Message{BootstrapAccepted: accepted})
		return
	}
	f.acceptor.Accepted, f.acceptor.Document = m.Number, m.Document
	// Amnesiac acceptors are asked only under a ballot that recovers them.
	f.acceptor.HasLostState = false
	n.saveAcceptorState(func() { n.send(from, Message{BootstrapAccepted: accepted}) })
}

// saveAcceptorState runs after once the vote is as safe as this acceptor can make it.
func (n *Node) saveAcceptorState(after func()) {
	if !n.settings.hasDurableVotes() {
		after()
		return
	}
	acceptor := *n.bootstrapper.acceptor
	n.core.saveAcceptorState(&acceptor, after)
}
