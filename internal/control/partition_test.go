package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// direction says which messages a partition drops.
type direction int

const (
	bothWays direction = iota
	outward            // messages from the node are dropped
	inward             // messages to the node are dropped
)

func (d direction) String() string { return [...]string{"both ways", "outward", "inward"}[d] }

// cutFrom partitions a node from others; heal ends the partition.
func (n *fleetNode) cutFrom(way direction, others ...*fleetNode) {
	n.cutOut = map[string]bool{}
	for _, other := range others {
		if other == n {
			continue
		}
		if way != inward {
			n.cutOut[other.identity.Address] = true
		}
		if way != outward {
			if other.cutOut == nil {
				other.cutOut = map[string]bool{}
			}
			other.cutOut[n.identity.Address] = true
		}
	}
}

func (f *fleet) heal() {
	for _, n := range f.nodes {
		n.cut, n.cutOut = map[string]bool{}, nil
	}
}

// steadyCore returns a stable fleet of four members and five routers that has accepted a configuration.
func steadyCore(c *qt.C, seed uint64) *fleet {
	f := newFleet(c, seed, 3, 9, firstHaveFolders(4))
	f.bootAll(300 * ms)
	f.awaitStable(8 * kernel.Second)
	f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, f.nodes[5])
	f.advance(kernel.Second)
	return f
}

// A leader that has lost contact with the majority steps down within one second, in whichever direction messages are
// lost. Meanwhile members that no longer receive its messages send it join requests, which must not count as
// confirmations.
func TestALeaderWithoutAMajorityStopsWithinASecond(t *testing.T) {
	t.Parallel()
	for _, way := range []direction{bothWays, outward, inward} {
		longest := kernel.Micros(0)
		for seed := range uint64(12) {
			c := qt.New(t)
			f := steadyCore(c, seed)
			old := f.leader()
			f.advance(kernel.Micros(f.random.Int64N(int64(300 * ms))))
			old.cutFrom(way, f.nodes[:4]...)
			took := f.await("the old leader steps down", 20*kernel.Second, func() bool { return old.node.core.role != leader })
			longest = max(longest, took)
			c.Check(took <= kernel.Second, qt.IsTrue, qt.Commentf("%v, seed %d: %d ms", way, seed, took/ms))
			f.await("another leads", 4*kernel.Second, func() bool { leaderNode := f.leader(); return leaderNode != nil && leaderNode != old })
		}
		t.Logf("%v: at most %d ms", way, longest/ms)
	}
}

// The same holds for a leader whose majority was frozen or killed instead of partitioned.
func TestALeaderWhoseMajorityIsGoneStopsWithinASecond(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		old := f.leader()
		for _, n := range f.nodes[:4] {
			switch {
			case n == old:
			case seed%2 == 0:
				n.freeze(20 * kernel.Second)
			default:
				n.kill()
			}
		}
		took := f.await("the leader steps down", 20*kernel.Second, func() bool { return old.node.core.role != leader })
		c.Check(took <= kernel.Second, qt.IsTrue, qt.Commentf("seed %d: %d ms", seed, took/ms))
	}
}

// A leader keeps its lease while one other member of the core never answers and the rest do.
func TestALeaderKeepsItsLeaseBesideASilentVoter(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 3)
	old := f.leader()
	term := old.node.core.term
	for _, n := range f.nodes[:4] {
		if n != old {
			n.freeze(60 * kernel.Second)
			break
		}
	}
	f.advance(30 * kernel.Second)
	c.Assert(old.node.core.role, qt.Equals, leader)
	c.Assert(old.node.core.term, qt.Equals, term)
}

// A leader that resumes after a freeze handles no message as a leader, even though the waiting messages are delivered
// before its first tick.
func TestALeaderThatWakesHandlesNothingAsALeader(t *testing.T) {
	c := qt.New(t)
	messages := map[string]wire.Message{
		"a read":       {ReadRequest: &wire.ReadRequest{Token: 9}},
		"a submission": {Submit: &cluster.Submit{ID: "late", Operation: cluster.PutConfig, Config: []byte("{}"), BaseVersion: version(7)}},
		"a batch":      {LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: "z3", Requests: []wire.RouterLeaseRequest{{Address: memberC.Address, Zone: "z3", Seq: 1, Applied: 9}}}},
		"a standby":    {Join: &wire.Join{Member: cluster.Member{ID: "d", Address: "10.0.0.4:1", Zone: "z1"}, HasFolder: true}},
	}
	for name, message := range messages {
		b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
		b.core.settings.ServeExtension = cluster.ServeWithoutLimit
		b.elect()
		b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
		b.pass(100 * ms)
		b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
		b.sent = nil
		b.now += 3 * kernel.Second
		b.receive(memberC, message)
		c.Check(b.core.role, qt.Equals, follower, qt.Commentf(name))
		for _, send := range b.sent {
			c.Check(send.Message.Redirect, qt.IsNotNil, qt.Commentf("%s was answered by %s", name, send.Message.Kind()))
		}
	}
}

// A confirmed round extends the lease from the time at which the round was sent, however late the confirmation
// arrives.
func TestALateConfirmationDoesNotExtendTheLease(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
	b.pass(200 * ms)
	round, sentAt := b.core.round, b.core.sentRounds[len(b.core.sentRounds)-1].sentAt
	for b.core.role == leader {
		c.Assert(b.now-sentAt <= kernel.Second, qt.IsTrue)
		b.now += 20 * ms
		if b.now-sentAt > 600*ms {
			b.receive(memberA, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: b.core.term, Round: round, Member: memberA, Synced: cluster.Position{Term: b.core.term, Revision: 9}}})
		}
		b.core.Tick(b.now)
		b.drain()
	}
	c.Assert(b.now-sentAt >= b.core.settings.Timing.LeaderLease(), qt.IsTrue)
}

// A leader decides a rejection on its committed document, which may be outdated. It therefore sends the rejection only
// after a heartbeat round that it started after the decision has been confirmed. If it steps down before that, it
// reports an unknown outcome instead.
func TestARejectionWaitsForAConfirmedRound(t *testing.T) {
	c := qt.New(t)
	submissions := map[string]cluster.Submit{
		cluster.ReasonConflict:         {Operation: cluster.PutConfig, Config: []byte(`{"ver":9}`), BaseVersion: version(8)},
		cluster.ReasonInvalid:          {Operation: cluster.PutConfig, Config: []byte(`bad`), BaseVersion: version(0)},
		cluster.ReasonUnknownOperation: {Operation: "paint"},
	}
	for reason, submission := range submissions {
		submission.ID = reason
		b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
		b.core.settings.CheckConfig = func(config []byte) error {
			if string(config) == "bad" {
				return configErrorf("it is bad")
			}
			return nil
		}
		replies := func() []cluster.SubmitResponse {
			found := []cluster.SubmitResponse{}
			for _, send := range b.sent {
				if send.Message.SubmitResponse != nil {
					found = append(found, *send.Message.SubmitResponse)
				}
			}
			return found
		}
		b.elect()
		b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
		b.pass(100 * ms)
		b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
		earlier := b.core.round
		b.receive(memberC, wire.Message{Submit: &submission})
		b.receive(memberC, wire.Message{Submit: &submission})
		b.receive(memberA, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: b.core.term, Round: earlier, Member: memberA, Synced: cluster.Position{Term: b.core.term, Revision: 9}}})
		c.Assert(replies(), qt.HasLen, 0)
		b.pass(40 * ms)
		c.Assert(replies(), qt.HasLen, 0)
		b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
		c.Assert(replies(), qt.HasLen, 1)
		c.Assert(replies()[0].Outcome, qt.Equals, cluster.Rejected)
		c.Assert(replies()[0].Reason, qt.Equals, reason)
		// The same submission is made again. This time no round is confirmed, so the leader steps down.
		b.sent = nil
		b.receive(memberC, wire.Message{Submit: &submission})
		b.pass(2 * kernel.Second)
		c.Assert(b.core.role, qt.Not(qt.Equals), leader)
		c.Assert(replies(), qt.HasLen, 1)
		c.Assert(replies()[0].Outcome, qt.Equals, cluster.Unknown)
	}
}

// minority simulates an operator and an engine on the side of a partition without a majority. It checks that no final
// answer and no read result is returned there.
type minority struct {
	*fleet
	at          []*fleetNode
	submittedAt map[string]kernel.Micros
	tokens      map[uint64]bool // tokens of reads
	drains      map[uint64]bool // tokens of drain announcements
	count       int
}

func (m *minority) submitRequests(deadline kernel.Micros) {
	for _, n := range m.at {
		m.count++
		// The operation that could be accepted comes last, so that the others do not wait behind it.
		for _, base := range []uint64{0, 2, 3, 1} {
			id := fmt.Sprintf("minority-%d-%d", m.count, base)
			m.submittedAt[id] = m.now
			n.submit(id, base, configOf(base+1, id))
		}
		token := uint64(1_000_000 + m.count)
		m.tokens[token] = true
		n.do(func() []commands.Command { return n.node.Read(m.now, token) })
		drain := token + 1_000_000
		m.drains[drain] = true
		leaving := drainingEngine(uint64(1 + m.count))
		m.register(n, drain, leaving)
	}
	if m.now < deadline {
		m.schedule(70*ms, func() { m.submitRequests(deadline) })
	}
}

// checkNoDefiniteAnswer checks that no submission, drain or read of the minority got a definite answer, and that
// every submission was answered within one second.
func (m *minority) checkNoDefiniteAnswer(c *qt.C, seed uint64) {
	c.Helper()
	f := m.fleet
	for id, submittedAt := range m.submittedAt {
		reply, isThere := f.replies[id]
		if !isThere {
			c.Check(f.now-submittedAt < kernel.Second, qt.IsTrue, qt.Commentf("seed %d: %s got no answer", seed, id))
			continue
		}
		c.Check(reply.Outcome, qt.Equals, cluster.Unknown, qt.Commentf("seed %d: %s got %+v", seed, id, reply))
		c.Check(f.repliedAt[id]-submittedAt < kernel.Second, qt.IsTrue, qt.Commentf("seed %d: %s after %d ms", seed, id, (f.repliedAt[id]-submittedAt)/ms))
	}
	for token := range m.drains {
		if answer, isThere := f.registerReplies[token]; isThere {
			c.Check(answer.Err, qt.ErrorAs, new(NotConfirmedError), qt.Commentf("seed %d: a drain was confirmed", seed))
		}
	}
	for token := range m.tokens {
		c.Check(f.reads[token], qt.IsNil, qt.Commentf("seed %d: a read was answered", seed))
	}
}

// The old leader and two routers are on the minority side of a partition while the others continue. No read,
// acceptance, rejection or confirmed drain is returned there, every submission there ends with an unknown outcome
// within one second, and all nodes have the newest configuration soon after the partition heals.
func TestMinorityGivesNoDefiniteAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		f.register(f.nodes[6], 1, engineAt("e", "z1", 1))
		f.advance(kernel.Second)
		old := f.leader()
		var others []*fleetNode
		m := &minority{fleet: f, at: []*fleetNode{old, f.nodes[4], f.nodes[5]}, submittedAt: map[string]kernel.Micros{}, tokens: map[uint64]bool{}, drains: map[uint64]bool{}}
		for _, n := range f.nodes {
			if n != old && n != f.nodes[4] && n != f.nodes[5] {
				others = append(others, n)
			}
		}
		for _, n := range m.at {
			n.cutFrom(bothWays, others...)
		}
		m.submitRequests(f.now + 5*kernel.Second)
		f.acknowledge("second", 1, configOf(2, "second"), 4*kernel.Second, others...)
		f.acknowledge("third", 2, configOf(3, "third"), 4*kernel.Second, others...)
		f.advance(3 * kernel.Second)
		m.checkNoDefiniteAnswer(c, seed)
		f.advance(kernel.Second)
		f.heal()
		took := f.await("all nodes have the newest configuration", 2*kernel.Second, func() bool {
			for _, n := range m.at {
				if n.node.lease.Applied().ConfigVersion < 3 {
					return false
				}
			}
			return true
		})
		c.Logf("seed %d: current %d ms after the partition healed", seed, took/ms)
	}
}

// A leader whose disk rejects writes hands over its leadership. The next submission is acknowledged soon, and the old
// leader never rejects one that it had accepted.
func TestALeaderWithAFullDiskHandsOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		old := f.leader()
		old.isFull = true
		took := f.acknowledge("second", 1, configOf(2, "second"), 4*kernel.Second, old, f.nodes[6])
		c.Check(took <= 2*kernel.Second, qt.IsTrue, qt.Commentf("seed %d: after %d ms", seed, took/ms))
		f.await("another leads", 2*kernel.Second, func() bool { lead := f.leader(); return lead != nil && lead != old })
		old.isFull = false
		f.advance(kernel.Second)
		f.acknowledge("third", 2, configOf(3, "third"), 4*kernel.Second, old)
	}
}
