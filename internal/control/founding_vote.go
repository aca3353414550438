package control

import (
	"cmp"
	"slices"
)

// The acceptor's half of the founding: single-decree Paxos on a fleet's first document.

// FoundingBallot numbers one attempt to found a fleet. No two proposers, and no two lives of
// one, share a ballot.
type FoundingBallot struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"proposer"`
}

func (b FoundingBallot) before(other FoundingBallot) bool {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer)) < 0
}

// FoundingVote is what an acceptor of the founding must not forget. A member keeps it in its
// folder; a seed without a folder has it in memory, for its first life alone.
type FoundingVote struct {
	// Acceptor is the member's id, or one made for a single life.
	Acceptor MemberID `json:"acceptor"`
	// Seeds are those that the first start was told of. Ballots of others are not for this acceptor.
	Seeds    []string       `json:"seeds,omitempty"`
	Promised FoundingBallot `json:"promised"`
	Accepted FoundingBallot `json:"accepted"`
	Document *Document      `json:"document,omitempty"` // what was accepted
	// Incarnation names an acceptor that began in a restart, on a folder without a vote. IsAmnesiac: it
	// has not been recovered yet.
	Incarnation IncarnationID `json:"incarnation,omitempty"`
	IsAmnesiac  bool          `json:"amnesiac,omitempty"`
	// Incarnations are those that the promised ballots named. A ballot that lacks one may rest on
	// a promise that was lost, and is refused.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
}

// FoundPrepare asks an acceptor to refuse all lower ballots.
type FoundPrepare struct {
	Ballot FoundingBallot `json:"ballot"`
	// Acceptor is the proposer's own id as an acceptor, if it is one, and Incarnation goes with it.
	Acceptor    MemberID      `json:"acceptor,omitempty"`
	Incarnation IncarnationID `json:"incarnation,omitempty"`
	Seeds       []string      `json:"seeds"`
	// Incarnations names the amnesiac acceptors that the ballot is for as well.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
}

// names tells whether the ballot names all of these incarnations.
func (m *FoundPrepare) names(incarnations []IncarnationID) bool {
	isMissing := func(incarnation IncarnationID) bool { return !slices.Contains(m.Incarnations, incarnation) }
	return !slices.ContainsFunc(incarnations, isMissing)
}

// FoundPromise answers a FoundPrepare with what the acceptor has accepted so far.
type FoundPromise struct {
	Ballot    FoundingBallot `json:"ballot"`
	Acceptor  MemberID       `json:"acceptor"`
	IsRefused bool           `json:"refused,omitempty"`
	Promised  FoundingBallot `json:"promised"` // of a refusal: the higher ballot that stands in the way
	Accepted  FoundingBallot `json:"accepted"`
	Document  *Document      `json:"document,omitempty"`

	Incarnation IncarnationID `json:"incarnation,omitempty"`
	IsAmnesiac  bool          `json:"amnesiac,omitempty"`
	// Incarnations are, in a refusal, those that a ballot has to name here.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
	IsFirstStart bool            `json:"first_start,omitempty"` // as in a FoundWitness
}

// FoundAccept asks one acceptor to accept a first document.
type FoundAccept struct {
	Ballot   FoundingBallot `json:"ballot"`
	Acceptor MemberID       `json:"acceptor"`
	Document *Document      `json:"document"`
}

// FoundAccepted answers a FoundAccept.
type FoundAccepted struct {
	Ballot    FoundingBallot `json:"ballot"`
	Acceptor  MemberID       `json:"acceptor"`
	IsRefused bool           `json:"refused,omitempty"`
	Promised  FoundingBallot `json:"promised"`
}

// firstVote gives the vote with which a life begins; nil: it has none. A member that was
// started anew and finds no vote in its folder can't know what it promised before, so it is amnesiac.
func (s NodeSettings) firstVote(life string) *FoundingVote {
	switch {
	case s.FoundingVote != nil:
		vote := *s.FoundingVote
		return &vote
	case s.Document != nil || s.Ballot.Term > 0:
		return nil
	case s.Bootstrap && s.votesDurably():
		return &FoundingVote{Acceptor: s.Member}
	case s.Bootstrap:
		return &FoundingVote{Acceptor: MemberID(life)}
	case s.votesDurably():
		return &FoundingVote{Acceptor: s.Member, Incarnation: IncarnationID(life), IsAmnesiac: true}
	}
	return nil
}

// votesDurably tells of a member whose votes are on disk before they are told.
func (s NodeSettings) votesDurably() bool { return s.IsController && s.HasFolder }

// onPrepare promises a ballot, unless a higher one was promised.
func (n *Node) onPrepare(from string, m *FoundPrepare) {
	f := n.founder
	if !slices.Equal(m.Seeds, f.seeds) {
		return
	}
	f.sawBallot(n.now, m.Ballot)
	f.learnIncarnations(m.Incarnations)
	vote := f.vote
	if vote == nil || !f.isSameAcceptor(from, m.Acceptor, m.Incarnation) || !n.isAskedFor(m) {
		return
	}
	promise := &FoundPromise{Ballot: m.Ballot, Acceptor: vote.Acceptor, Incarnation: vote.Incarnation, IsAmnesiac: vote.IsAmnesiac}
	if m.Ballot.before(vote.Promised) || !m.names(vote.Incarnations) {
		promise.IsRefused, promise.Promised, promise.Incarnations = true, vote.Promised, vote.Incarnations
		n.send(from, Message{FoundPromise: promise})
		return
	}
	vote.Promised, vote.Incarnations = m.Ballot, m.Incarnations
	promise.Accepted, promise.Document = vote.Accepted, vote.Document
	promise.IsFirstStart = n.isFirstStart()
	n.saveVote(func() { n.send(from, Message{FoundPromise: promise}) })
}

// isAskedFor tells whether a ballot is one that this acceptor may promise. To an amnesiac one that
// is a ballot which names it, so that all of its promises were given after it had forgotten its own.
func (n *Node) isAskedFor(m *FoundPrepare) bool {
	vote := n.founder.vote
	return !vote.IsAmnesiac || slices.Contains(m.Incarnations, vote.Incarnation) && !n.knowsFleet()
}

// onAccept accepts a first document, unless a higher ballot was promised.
func (n *Node) onAccept(from string, m *FoundAccept) {
	f := n.founder
	f.sawBallot(n.now, m.Ballot)
	if f.vote == nil || m.Document == nil || m.Acceptor != f.vote.Acceptor {
		return
	}
	accepted := &FoundAccepted{Ballot: m.Ballot, Acceptor: f.vote.Acceptor}
	if m.Ballot != f.vote.Promised {
		accepted.IsRefused, accepted.Promised = true, f.vote.Promised
		n.send(from, Message{FoundAccepted: accepted})
		return
	}
	f.vote.Accepted, f.vote.Document = m.Ballot, m.Document
	// Amnesiac acceptors are asked only under a ballot that recovers them.
	f.vote.IsAmnesiac = false
	n.saveVote(func() { n.send(from, Message{FoundAccepted: accepted}) })
}

// saveVote runs after once the vote is as safe as this acceptor can make it.
func (n *Node) saveVote(after func()) {
	if !n.settings.votesDurably() {
		after()
		return
	}
	vote := *n.founder.vote
	n.core.saveFoundingVote(&vote, after)
}
