package cluster

import (
	"cmp"
)

// IncarnationID names an acceptor that began in a restart, on a folder without a vote.
type IncarnationID string

// The acceptor's half of the founding: single-decree Paxos on a fleet's first document.

// ProposalNumber numbers one attempt to found a fleet. No two proposers, and no two lives of
// one, share a ballot.
type ProposalNumber struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"proposer"`
}

// Before orders proposal numbers: by round, and within a round by proposer.
func (b ProposalNumber) Before(other ProposalNumber) bool {
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

// HardState is what a voter must not forget.
type HardState struct {
	Term     uint64   `json:"term"`
	VotedFor MemberID `json:"voted_for,omitempty"`
}
