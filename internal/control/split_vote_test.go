package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// hasPreVote reports whether the core requested pre-votes for a term.
func (b *coreHarness) hasPreVote(term uint64) bool {
	for _, send := range b.sent {
		if request := send.Message.VoteRequest; request != nil && request.IsPreVote && request.Term == term {
			return true
		}
	}
	return false
}

// Two members of a core that has just started stand for election at the same time and split the votes. Each of them
// stands again soon, without waiting for the full election timeout. While a candidate may still be elected, it waits
// for late votes.
func TestASplitVoteAtAStartIsRetriedSoon(t *testing.T) {
	for _, example := range []struct {
		name     string
		refusing []cluster.Member
		wait     kernel.Micros
		isAgain  bool
	}{
		{"both others refuse", []cluster.Member{memberA, memberC}, 250 * ms, true},
		{"the other voter has not answered yet", []cluster.Member{memberA}, 500 * ms, false},
		{"the same voter refuses twice", []cluster.Member{memberA, memberA}, 500 * ms, false},
	} {
		c := qt.New(t)
		b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
		b.core.settings.Voters = 3
		for !b.hasPreVote(5) {
			b.pass(20 * ms)
		}
		b.receive(memberC, wire.Message{VoteResponse: &wire.VoteResponse{Term: 5, IsPreVote: true, IsGranted: true, Voter: memberC.ID, KnownTerm: 4}})
		b.sync()
		c.Assert(b.core.role, qt.Equals, candidate)
		for _, voter := range example.refusing {
			b.receive(voter, wire.Message{VoteResponse: &wire.VoteResponse{Term: 5, Voter: voter.ID, KnownTerm: 5}})
		}
		b.pass(example.wait)
		c.Check(b.hasPreVote(6), qt.Equals, example.isAgain, qt.Commentf("%s", example.name))
	}
}
