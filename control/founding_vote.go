package control

import "cmp"

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
	Acceptor MemberID       `json:"acceptor"`
	Promised FoundingBallot `json:"promised"`
	Accepted FoundingBallot `json:"accepted"`
	Document *Document      `json:"document,omitempty"` // what was accepted
}

// FoundPrepare asks an acceptor to refuse all lower ballots.
type FoundPrepare struct {
	Ballot FoundingBallot `json:"ballot"`
	// Acceptor is the proposer's own id as an acceptor, if it is one.
	Acceptor MemberID `json:"acceptor,omitempty"`
}

// FoundPromise answers a FoundPrepare with what the acceptor has accepted so far.
type FoundPromise struct {
	Ballot    FoundingBallot `json:"ballot"`
	Acceptor  MemberID       `json:"acceptor"`
	IsRefused bool           `json:"refused,omitempty"`
	Promised  FoundingBallot `json:"promised"` // of a refusal: the higher ballot that stands in the way
	Accepted  FoundingBallot `json:"accepted"`
	Document  *Document      `json:"document,omitempty"`
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

// firstVote gives the vote with which a life begins. A process that was started anew and finds
// no vote in its folder can't know what it promised before, so it has none: it is nil.
func (s NodeSettings) firstVote(life MemberID) *FoundingVote {
	switch {
	case s.FoundingVote != nil:
		vote := *s.FoundingVote
		return &vote
	case !s.Bootstrap || s.Document != nil || s.Ballot.Term > 0:
		return nil
	case s.votesDurably():
		return &FoundingVote{Acceptor: s.Member}
	}
	return &FoundingVote{Acceptor: life}
}

// votesDurably tells of a member whose votes are on disk before they are told.
func (s NodeSettings) votesDurably() bool { return s.IsController && s.HasFolder }

// onPrepare promises a ballot, unless a higher one was promised.
func (n *Node) onPrepare(from string, m *FoundPrepare) {
	f := n.founder
	f.sawBallot(n.now, m.Ballot)
	if f.vote == nil || !f.isFirstLife(from, m.Acceptor) {
		return
	}
	promise := &FoundPromise{Ballot: m.Ballot, Acceptor: f.vote.Acceptor}
	if m.Ballot.before(f.vote.Promised) {
		promise.IsRefused, promise.Promised = true, f.vote.Promised
		n.send(from, Message{FoundPromise: promise})
		return
	}
	f.vote.Promised = m.Ballot
	promise.Accepted, promise.Document = f.vote.Accepted, f.vote.Document
	n.saveVote(func() { n.send(from, Message{FoundPromise: promise}) })
}

// onAccept accepts a first document, unless a higher ballot was promised.
func (n *Node) onAccept(from string, m *FoundAccept) {
	f := n.founder
	f.sawBallot(n.now, m.Ballot)
	if f.vote == nil || m.Document == nil || m.Acceptor != f.vote.Acceptor {
		return
	}
	accepted := &FoundAccepted{Ballot: m.Ballot, Acceptor: f.vote.Acceptor}
	if m.Ballot.before(f.vote.Promised) {
		accepted.IsRefused, accepted.Promised = true, f.vote.Promised
		n.send(from, Message{FoundAccepted: accepted})
		return
	}
	f.vote.Promised, f.vote.Accepted, f.vote.Document = m.Ballot, m.Ballot, m.Document
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
