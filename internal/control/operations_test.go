package control

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// operationHarness runs a leader whose documents are confirmed by one follower, member A.
type operationHarness struct {
	*coreHarness
	count int
}

func newOperationHarness(c *qt.C) *operationHarness {
	b := &operationHarness{coreHarness: newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))}
	settings := NodeSettings{}
	platformSettings(&settings)
	b.core.settings.VersionOf, b.core.settings.PatchConfig, b.core.settings.CheckConfig = settings.VersionOf, settings.PatchConfig, settings.CheckConfig
	b.core.settings.AckRule = Disseminated
	b.elect()
	b.confirm(memberA, b.core.doc.Position())
	return b
}

// restart restarts all members at once, from the committed document.
func (b *operationHarness) restart() *operationHarness {
	content, err := json.Marshal(b.core.committed)
	b.c.Assert(err, qt.IsNil)
	document := &cluster.Document{}
	b.c.Assert(json.Unmarshal(content, document), qt.IsNil)
	next := &operationHarness{coreHarness: newCoreHarness(b.c, cluster.HardState{Term: b.core.term}, document), count: b.count}
	next.now = b.now
	next.core.settings = b.core.settings
	next.elect()
	next.confirm(memberA, next.core.doc.Position())
	return next
}

// submit submits an operation and runs heartbeat rounds until it is answered.
func (b *operationHarness) submit(request cluster.Submit) cluster.SubmitResponse {
	b.sent = nil
	b.receive(memberC, wire.Message{Submit: &request})
	for range 100 {
		for _, send := range b.sent {
			if reply := send.Message.SubmitResponse; reply != nil && reply.ID == request.ID {
				return *reply
			}
		}
		b.sync()
		b.confirm(memberA, b.core.doc.Position())
		b.pass(20 * ms)
	}
	b.c.Fatalf("%s: no answer", request.ID)
	return cluster.SubmitResponse{}
}

// putConfigs puts count further configurations.
func (b *operationHarness) putConfigs(count int) {
	for range count {
		b.count++
		current := b.core.committed.ConfigVersion
		reply := b.submit(cluster.Submit{ID: fmt.Sprint("advance-", b.count), Operation: cluster.PutConfig, Config: configOf(current+1, "more"), BaseVersion: version(current)})
		b.c.Assert(reply.Outcome, qt.Equals, cluster.Accepted)
	}
}

// An operation that took effect and is submitted again is acknowledged again or answered as unknown. It is never
// rejected, however many changes were made since, and even after a restart of all members.
func TestAnOperationSentAgainIsNeverRejected(t *testing.T) {
	t.Parallel()
	operations := map[cluster.Operation][]byte{cluster.PutConfig: configOf(5, "the operation"), cluster.PatchConfig: []byte(`{"ver":5}`)}
	for operation, config := range operations {
		for _, further := range []int{0, 1, cluster.MaxSubmissions - 1, cluster.MaxSubmissions, 600, 2000} {
			c := qt.New(t)
			b := newOperationHarness(c)
			b.putConfigs(1)
			request := cluster.Submit{ID: "the operation", Operation: operation, Config: config, BaseVersion: version(1)}
			c.Assert(b.submit(request).Outcome, qt.Equals, cluster.Accepted)
			b.putConfigs(further)
			before := b.core.committed.ConfigVersion
			for _, incarnation := range []string{"before the restart", "after the restart"} {
				reply := b.submit(request)
				wanted := cluster.SubmitResponse{ID: request.ID, Outcome: cluster.Accepted, Revision: reply.Revision}
				if further >= cluster.MaxSubmissions {
					wanted = cluster.SubmitResponse{ID: request.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonExpired, Detail: reply.Detail}
				}
				c.Check(reply, qt.Equals, wanted, qt.Commentf("%s, %d further changes, %s", operation, further, incarnation))
				b = b.restart()
			}
			c.Assert(b.core.committed.ConfigVersion, qt.Equals, before)
			c.Assert(len(b.core.committed.Submissions) <= cluster.MaxSubmissions, qt.IsTrue)
		}
	}
}

// After submissions were pruned, an operation is still rejected if it certainly never took effect.
func TestAnOperationThatWasNeverAppliedIsRejected(t *testing.T) {
	c := qt.New(t)
	b := newOperationHarness(c)
	b.putConfigs(cluster.MaxSubmissions + 100)
	document := b.core.committed
	c.Assert(document.PrunedVersion, qt.Equals, uint64(100))
	never := func(base uint64) cluster.SubmitResponse {
		id := fmt.Sprint("never on ", base)
		return b.submit(cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: configOf(9000, id), BaseVersion: version(base)})
	}
	c.Assert(never(99).Outcome, qt.Equals, cluster.Unknown)
	for _, base := range []uint64{100, 101, document.ConfigVersion - 1, document.ConfigVersion + 1} {
		reply := never(base)
		c.Check(reply.Outcome, qt.Equals, cluster.Rejected, qt.Commentf("base %d", base))
		c.Check(reply.Reason, qt.Equals, cluster.ReasonConflict, qt.Commentf("base %d", base))
	}
	// A document of an earlier build holds no versions of its submissions. Then an operation that may have taken effect is
	// answered as unknown.
	for i := range document.Submissions {
		document.Submissions[i].Version = 0
	}
	b.putConfigs(1)
	c.Assert(never(document.ConfigVersion-3).Outcome, qt.Equals, cluster.Unknown)
	c.Assert(never(b.core.committed.ConfigVersion).Outcome, qt.Equals, cluster.Accepted)
}

// An operation that builds on the revision in force is accepted or rejected, however many other submissions were
// made since that revision.
func TestManyOtherSubmissionsBlockNoOperationOnARevision(t *testing.T) {
	c := qt.New(t)
	b := newOperationHarness(c)
	b.core.settings.VersionOf = nil
	put := func(id string, base uint64) cluster.SubmitResponse {
		return b.submit(cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: []byte(id), Base: &base})
	}
	first := put("first", 0)
	c.Assert(first.Outcome, qt.Equals, cluster.Accepted)
	for i := range cluster.MaxSubmissions + 10 {
		b.submit(cluster.Submit{ID: fmt.Sprint("drain-", i), Operation: cluster.DrainZone, Zone: "z1"})
	}
	c.Assert(b.core.committed.PrunedRevision >= first.Revision, qt.IsTrue)
	second := put("second", first.Revision)
	c.Assert(second.Outcome, qt.Equals, cluster.Accepted)
	c.Assert(put("first", 0).Outcome, qt.Equals, cluster.Unknown)
	// The submission is pruned, so aborting it must not claim that it never took effect.
	base := uint64(0)
	c.Assert(b.submit(cluster.Submit{ID: "first", Operation: cluster.AbortSubmission, Base: &base}).Outcome, qt.Equals, cluster.Unknown)
}

// retriedOperation is one operation of an operator, sent to one node after another until its answer is final.
type retriedOperation struct {
	id            string
	operation     cluster.Operation
	base          uint64
	configVersion uint64 // the version of its configuration
	config        []byte
	targets       []*fleetNode
	sendCount     int
	replyLossRate float64 // the share of final answers that are lost, for the first lossyAttempts attempts
	accepted      int     // the number of accepting answers, including lost ones
	rejected      int
	isDone        bool
}

// lossyAttempts is the number of attempts whose answers may be lost.
const lossyAttempts = 6

// run sends the operation until a final answer arrives. It then sends it again, until repeats further answers have
// arrived, like an operator whom the answer did not reach.
func (a *retriedOperation) run(f *fleet, repeats int) {
	n := a.targets[a.sendCount%len(a.targets)]
	a.sendCount++
	delete(f.replies, a.id)
	if n.isUp {
		n.do(func() []commands.Command {
			return n.node.Submit(f.now, &cluster.Submit{ID: a.id, Operation: a.operation, Config: a.config, BaseVersion: version(a.base)})
		})
	}
	f.schedule(950*ms, func() {
		switch f.replies[a.id].Outcome {
		case cluster.Accepted:
			a.accepted++
		case cluster.Rejected:
			a.rejected++
		}
		isClear := a.accepted+a.rejected > 0 && (a.sendCount > lossyAttempts || f.random.Float64() >= a.replyLossRate)
		if isClear {
			a.isDone = true
			repeats--
		}
		if repeats >= 0 || !a.isDone {
			a.run(f, repeats)
		}
	})
}

// failFor kills (fault 0), freezes (1), cuts off (2) or wipes (3) a node for a span.
func (f *fleet) failFor(span kernel.Micros, n *fleetNode, fault uint64) {
	switch fault {
	case 0:
		n.kill()
		f.schedule(span, n.boot)
	case 1:
		n.freeze(span)
	case 2:
		n.cutFrom(direction(f.random.IntN(3)), f.nodes...)
		f.schedule(span, f.heal)
	case 3:
		n.wipe()
		f.schedule(span, n.boot)
	}
}

// Two operations with the same version and base are submitted at two nodes while the leader is killed, frozen, cut off
// or wiped. Answers are lost, and both operations are repeated. At most one may be accepted, no operation may be both
// accepted and rejected, and the accepted configuration must be read back.
func TestOneNumberIsConfirmedOnceOverAChangeOfLeader(t *testing.T) {
	t.Parallel()
	confirmed := 0
	for seed := range uint64(40) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		oldLeader := f.leader()
		everyone := f.nodes
		operations := [2]cluster.Operation{cluster.PutConfig, cluster.PutConfig}
		if seed%2 == 1 {
			operations[1] = cluster.PatchConfig
		}
		attempts := []*retriedOperation{}
		for i, operation := range operations {
			first := f.random.IntN(len(everyone))
			attempts = append(attempts, &retriedOperation{
				id: fmt.Sprint("racer ", i), operation: operation, base: 1, config: configOf(2, fmt.Sprint("racer ", i)),
				targets: append(append([]*fleetNode{}, everyone[first:]...), everyone[:first]...), replyLossRate: 0.7,
			})
			f.schedule(kernel.Micros(f.random.Int64N(int64(60*ms))), func() { attempts[i].run(f, 3) })
		}
		span := 300*ms + kernel.Micros(f.random.Int64N(int64(2500*ms)))
		f.schedule(kernel.Micros(f.random.Int64N(int64(80*ms))), func() { f.failFor(span, oldLeader, seed%4) })
		f.advance(12 * kernel.Second)
		for _, a := range attempts {
			c.Check(a.accepted == 0 || a.rejected == 0, qt.IsTrue, qt.Commentf("seed %d: %s was accepted %d times and rejected %d times", seed, a.id, a.accepted, a.rejected))
			c.Check(a.isDone, qt.IsTrue, qt.Commentf("seed %d: %s got no final answer", seed, a.id))
		}
		c.Check(attempts[0].accepted == 0 || attempts[1].accepted == 0, qt.IsTrue, qt.Commentf("seed %d: both were accepted", seed))
		// All nodes lose power and start again, one of them with an empty disk.
		for _, n := range f.nodes {
			n.kill()
		}
		f.nodes[seed%4].wipe()
		for _, n := range f.nodes {
			n.bootstrap = false
			n.boot()
		}
		f.advance(5 * kernel.Second)
		reader := f.nodes[5]
		reader.do(func() []commands.Command { return reader.node.Read(f.now, 5) })
		f.await("the newest configuration is read", 3*kernel.Second, func() bool { return f.reads[5] != nil })
		for _, a := range attempts {
			if a.accepted == 0 {
				continue
			}
			confirmed++
			c.Check(f.reads[5].ConfigVersion, qt.Equals, uint64(2))
			c.Check(string(f.reads[5].Config), qt.Equals, string(a.config), qt.Commentf("seed %d", seed))
			// The accepted operation is repeated after the restart of all nodes.
			a.accepted, a.isDone, a.replyLossRate = 0, false, 0
			a.run(f, 0)
			f.await("the repeat gets a final answer", 4*kernel.Second, func() bool { return a.isDone })
			c.Check(a.accepted, qt.Equals, 1, qt.Commentf("seed %d: the repeat", seed))
		}
	}
	t.Logf("an operation was accepted in %d of 40 races", confirmed)
}

// Eight operators submit one operation each at the same time, with two different versions. Each wave builds on the
// configuration that the previous one made. Exactly one operation per base is accepted. It is accepted again if it is
// repeated, for as long as the document remembers it.
func TestEightConcurrentOperationsHaveOneWinnerEach(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 5)
	base := uint64(1)
	winners := []*retriedOperation{}
	for wave := range 40 {
		attempts := []*retriedOperation{}
		for i := range 8 {
			id := fmt.Sprintf("wave %d, operation %d", wave, i)
			configVersion := base + 1 + uint64(i%2)
			a := &retriedOperation{id: id, operation: cluster.PutConfig, base: base, configVersion: configVersion, config: configOf(configVersion, id), targets: f.nodes, sendCount: i}
			attempts = append(attempts, a)
			f.schedule(kernel.Micros(f.random.Int64N(int64(30*ms))), func() { a.run(f, 0) })
		}
		f.advance(1100 * ms)
		won, next := 0, base
		for _, a := range attempts {
			c.Check(a.accepted+a.rejected, qt.Equals, 1, qt.Commentf(a.id))
			if a.accepted > 0 {
				won++
				next = a.configVersion
				winners = append(winners, a)
			}
		}
		c.Assert(won, qt.Equals, 1, qt.Commentf("wave %d", wave))
		base = next
		again := winners[f.random.IntN(len(winners))]
		f.acknowledge(again.id, again.base, again.config, 2*kernel.Second, f.nodes[wave%9])
	}
}

// The repeat of an operation that was pruned from the document is answered as unknown at once, at any node. That holds
// after a restart of all nodes in which the leader that accepted it lost its disk. The newest 512 are still known.
func TestAPrunedOperationIsAnsweredUnknownAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 1, 3, 3, firstHaveFolders(3))
	f.bootAll(200 * ms)
	f.awaitStable(8 * kernel.Second)
	f.awaitVoters(3*kernel.Second, f.nodes...)
	const changes = cluster.MaxSubmissions + 90
	acceptingLeader := f.leader()
	for base := range uint64(changes) {
		f.acknowledge(fmt.Sprint("operation ", base), base, configOf(base+1, "x"), 4*kernel.Second, acceptingLeader)
	}
	for _, n := range f.nodes {
		n.kill()
		n.bootstrap = false
	}
	acceptingLeader.wipe()
	for _, n := range f.nodes {
		n.boot()
	}
	f.advance(6 * kernel.Second)
	for _, n := range f.nodes {
		for _, base := range []uint64{0, 50, 88, changes - cluster.MaxSubmissions, changes - 1} {
			id, begun := fmt.Sprint("operation ", base), f.now
			n.submit(id, base, configOf(base+1, "x"))
			f.await("an answer", kernel.Second, func() bool { _, isThere := f.replies[id]; return isThere })
			wanted := cluster.Accepted
			if base < changes-cluster.MaxSubmissions {
				wanted = cluster.Unknown
				c.Check(f.repliedAt[id]-begun < 200*ms, qt.IsTrue, qt.Commentf("%s at %s", id, n.identity.Address))
			}
			c.Check(f.replies[id].Outcome, qt.Equals, wanted, qt.Commentf("%s at %s: %+v", id, n.identity.Address, f.replies[id]))
		}
	}
}
