package control

import (
	"math/rand/v2"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// coreHarness runs one core, member B, without a process around it. The test delivers messages, advances the
// clock and completes writes itself.
type coreHarness struct {
	c     *qt.C
	core  *Core
	now   kernel.Micros
	saves []commands.Save // not synced yet
	sent  []commands.Send
}

func document(term, revision uint64) *cluster.Document {
	return &cluster.Document{ClusterID: "f", Term: term, Revision: revision, Voters: []cluster.Member{memberA, memberB, memberC},
		Coordinators: map[string]string{}, DrainedZones: map[string]uint64{}}
}

func newCoreHarness(c *qt.C, hardState cluster.HardState, newest *cluster.Document) *coreHarness {
	b := &coreHarness{c: c, now: 100 * kernel.Second}
	b.core = NewCore(CoreSettings{
		Self: memberB, HasFolder: true, Timing: cluster.DefaultTiming(), Random: rand.New(rand.NewPCG(1, 1)), HardState: hardState, Document: newest,
		Invariants: invariant.NewMonitor(func(violation invariant.ViolationError) { c.Error(violation) }),
		Seeds:      []string{memberA.Address, memberB.Address, memberC.Address},
	}, b.now)
	return b
}

func (b *coreHarness) drain() {
	for _, command := range b.core.takeCommands() {
		switch command := command.(type) {
		case commands.Send:
			b.sent = append(b.sent, command)
		case commands.Save:
			b.saves = append(b.saves, command)
		}
	}
}

func (b *coreHarness) receive(from cluster.Member, message wire.Message) {
	b.core.Receive(b.now, from.Address, message)
	b.drain()
}

// sync completes all pending writes successfully.
func (b *coreHarness) sync() {
	for len(b.saves) > 0 {
		save := b.saves[0]
		b.saves = b.saves[1:]
		b.core.Saved(b.now, save.Token, nil)
		b.drain()
	}
}

func (b *coreHarness) pass(span kernel.Micros) {
	for end := b.now + span; b.now < end; {
		b.now += 20 * kernel.Millisecond
		b.core.Tick(b.now)
		b.drain()
		b.sync()
	}
}

func (b *coreHarness) votes() []wire.VoteResponse {
	found := []wire.VoteResponse{}
	for _, send := range b.sent {
		if send.Message.VoteResponse != nil {
			found = append(found, *send.Message.VoteResponse)
		}
	}
	return found
}

func voteRequest(candidate cluster.Member, term uint64, newest cluster.Position) wire.Message {
	return wire.Message{VoteRequest: &wire.VoteRequest{Term: term, Candidate: candidate, Voter: memberB.ID, LastPosition: newest}}
}

// elect makes the core the leader of a new term, with the vote of member A.
func (b *coreHarness) elect() {
	for range 200 {
		b.pass(20 * kernel.Millisecond)
		for _, send := range b.sent {
			if request := send.Message.VoteRequest; request != nil && request.Voter == memberA.ID {
				b.core.Receive(b.now, memberA.Address, wire.Message{VoteResponse: &wire.VoteResponse{Term: request.Term, IsPreVote: request.IsPreVote, IsGranted: true, Voter: memberA.ID}})
				b.drain()
				b.sync()
			}
		}
		if b.core.role == leader {
			b.sent = nil
			return
		}
	}
	b.c.Fatal("the core was not elected")
}

// confirm delivers a member's response to the newest heartbeat round.
func (b *coreHarness) confirm(from cluster.Member, synced cluster.Position) {
	b.receive(from, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: b.core.term, Round: b.core.round, Member: from, Synced: synced}})
}
