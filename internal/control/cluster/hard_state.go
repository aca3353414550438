package cluster

import (
	"cmp"
)

// IncarnationID identifies an acceptor that was created during a restart, on a data folder without acceptor
// state.
type IncarnationID string

// Acceptor state of the bootstrap, which runs single-decree Paxos to choose the first document of a cluster.

// ProposalNumber identifies one attempt to bootstrap a cluster. No two proposers use the same number, nor do
// two processes of the same proposer.
type ProposalNumber struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"proposer"`
}

// Before orders proposal numbers: by round, and within a round by proposer.
func (p ProposalNumber) Before(other ProposalNumber) bool {
	return cmp.Or(cmp.Compare(p.Round, other.Round), cmp.Compare(p.Proposer, other.Proposer)) < 0
}

// AcceptorState is the state that an acceptor of the bootstrap has to persist. A member stores it in its data
// folder. A seed without a folder has it in memory, and only until its first process ends.
type AcceptorState struct {
	// Acceptor is the member's id, or for a seed without a folder an id generated for this process.
	Acceptor MemberID `json:"acceptor"`
	// Seeds are the seeds configured at the first start. The acceptor ignores proposals with other seeds.
	Seeds    []string       `json:"seeds,omitempty"`
	Promised ProposalNumber `json:"promised"`
	Accepted ProposalNumber `json:"accepted"`
	Document *Document      `json:"document,omitempty"` // the accepted value
	// Incarnation is set for an acceptor that was created during a restart, on a folder without acceptor
	// state. HasLostState is set until such an acceptor has been recovered.
	Incarnation  IncarnationID `json:"incarnation,omitempty"`
	HasLostState bool          `json:"amnesiac,omitempty"`
	// Incarnations are all incarnations named by the proposals that were promised. A proposal that does not
	// name all of them may depend on a lost promise and is rejected.
	Incarnations []IncarnationID `json:"incarnations,omitempty"`
}

// HardState is the state that a voter has to persist before it answers: its term and its vote.
type HardState struct {
	Term     uint64   `json:"term"`
	VotedFor MemberID `json:"voted_for,omitempty"`
}
