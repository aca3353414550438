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

// operationBench is a leading core of which one follower confirms all that is sent.
type operationBench struct {
	*bench
	count int
}

func newOperationBench(c *qt.C) *operationBench {
	b := &operationBench{bench: newBench(c, cluster.HardState{Term: 4}, document(4, 9))}
	settings := NodeSettings{}
	platformSettings(&settings)
	b.core.settings.VersionOf, b.core.settings.PatchConfig, b.core.settings.CheckConfig = settings.VersionOf, settings.PatchConfig, settings.CheckConfig
	b.core.settings.AckRule = Disseminated
	b.elect()
	b.confirm(memberA, b.core.doc.Position())
	return b
}

// restart gives a new life to all members at once, of the document that they had synced.
func (b *operationBench) restart() *operationBench {
	content, err := json.Marshal(b.core.committed)
	b.c.Assert(err, qt.IsNil)
	document := &cluster.Document{}
	b.c.Assert(json.Unmarshal(content, document), qt.IsNil)
	next := &operationBench{bench: newBench(b.c, cluster.HardState{Term: b.core.term}, document), count: b.count}
	next.now = b.now
	next.core.settings = b.core.settings
	next.elect()
	next.confirm(memberA, next.core.doc.Position())
	return next
}

// give hands in an order and plays rounds until its answer.
func (b *operationBench) give(order cluster.Submit) cluster.SubmitResponse {
	b.sent = nil
	b.receive(memberC, wire.Message{Submit: &order})
	for range 100 {
		for _, send := range b.sent {
			if reply := send.Message.SubmitResponse; reply != nil && reply.ID == order.ID {
				return *reply
			}
		}
		b.sync()
		b.confirm(memberA, b.core.doc.Position())
		b.pass(20 * ms)
	}
	b.c.Fatalf("%s: no answer", order.ID)
	return cluster.SubmitResponse{}
}

// advance takes a number of further configurations.
func (b *operationBench) advance(count int) {
	for range count {
		b.count++
		current := b.core.committed.ConfigVersion
		reply := b.give(cluster.Submit{ID: fmt.Sprint("advance-", b.count), Operation: cluster.PutConfig, Config: configOf(current+1, "more"), BaseVersion: version(current)})
		b.c.Assert(reply.Outcome, qt.Equals, cluster.Accepted)
	}
}

// An order that was taken is acknowledged again, or left unclear, and never refused, however many
// changes were made since and though everything was restarted.
func TestAnOperationSentAgainIsNeverRejected(t *testing.T) {
	t.Parallel()
	orders := map[cluster.Operation][]byte{cluster.PutConfig: configOf(5, "the order"), cluster.PatchConfig: []byte(`{"ver":5}`)}
	for order, config := range orders {
		for _, further := range []int{0, 1, cluster.MaxSubmissions - 1, cluster.MaxSubmissions, 600, 2000} {
			c := qt.New(t)
			b := newOperationBench(c)
			b.advance(1)
			submit := cluster.Submit{ID: "the order", Operation: order, Config: config, BaseVersion: version(1)}
			c.Assert(b.give(submit).Outcome, qt.Equals, cluster.Accepted)
			b.advance(further)
			before := b.core.committed.ConfigVersion
			for _, life := range []string{"the same life", "a new life"} {
				reply := b.give(submit)
				wanted := cluster.SubmitResponse{ID: submit.ID, Outcome: cluster.Accepted, Revision: reply.Revision}
				if further >= cluster.MaxSubmissions {
					wanted = cluster.SubmitResponse{ID: submit.ID, Outcome: cluster.Unknown, Reason: cluster.ReasonExpired, Detail: reply.Detail}
				}
				c.Check(reply, qt.Equals, wanted, qt.Commentf("%s, %d further changes, %s", order, further, life))
				b = b.restart()
			}
			c.Assert(b.core.committed.ConfigVersion, qt.Equals, before)
			c.Assert(len(b.core.committed.Submissions) <= cluster.MaxSubmissions, qt.IsTrue)
		}
	}
}

// An order that surely was never taken is refused as ever, also beside forgotten submissions.
func TestAnOperationThatWasNeverAppliedIsRejected(t *testing.T) {
	c := qt.New(t)
	b := newOperationBench(c)
	b.advance(cluster.MaxSubmissions + 100)
	document := b.core.committed
	c.Assert(document.PrunedVersion, qt.Equals, uint64(100))
	never := func(base uint64) cluster.SubmitResponse {
		id := fmt.Sprint("never on ", base)
		return b.give(cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: configOf(9000, id), BaseVersion: version(base)})
	}
	c.Assert(never(99).Outcome, qt.Equals, cluster.Unknown)
	for _, base := range []uint64{100, 101, document.ConfigVersion - 1, document.ConfigVersion + 1} {
		reply := never(base)
		c.Check(reply.Outcome, qt.Equals, cluster.Rejected, qt.Commentf("base %d", base))
		c.Check(reply.Reason, qt.Equals, cluster.ReasonConflict, qt.Commentf("base %d", base))
	}
	// A document of a build that kept no versions tells less, and refuses nothing that it may have taken.
	for i := range document.Submissions {
		document.Submissions[i].Version = 0
	}
	b.advance(1)
	c.Assert(never(document.ConfigVersion-3).Outcome, qt.Equals, cluster.Unknown)
	c.Assert(never(b.core.committed.ConfigVersion).Outcome, qt.Equals, cluster.Accepted)
}

// An order on a revision that is in force is judged, however many other submissions came since
// that revision.
func TestManyOtherSubmissionsBlockNoOperationOnARevision(t *testing.T) {
	c := qt.New(t)
	b := newOperationBench(c)
	b.core.settings.VersionOf = nil
	put := func(id string, base uint64) cluster.SubmitResponse {
		return b.give(cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: []byte(id), Base: &base})
	}
	first := put("first", 0)
	c.Assert(first.Outcome, qt.Equals, cluster.Accepted)
	for i := range cluster.MaxSubmissions + 10 {
		b.give(cluster.Submit{ID: fmt.Sprint("drain-", i), Operation: cluster.DrainZone, Zone: "z1"})
	}
	c.Assert(b.core.committed.PrunedRevision >= first.Revision, qt.IsTrue)
	second := put("second", first.Revision)
	c.Assert(second.Outcome, qt.Equals, cluster.Accepted)
	c.Assert(put("first", 0).Outcome, qt.Equals, cluster.Unknown)
	// A fence would call that final.
	base := uint64(0)
	c.Assert(b.give(cluster.Submit{ID: "first", Operation: cluster.AbortSubmission, Base: &base}).Outcome, qt.Equals, cluster.Unknown)
}

// attempt is one operator's order, sent to one node after another until its answer is clear.
type attempt struct {
	id     string
	order  cluster.Operation
	base   uint64
	number uint64 // the version that it brings
	config []byte
	at     []*fleetNode
	turn   int
	lost   float64 // the share of answers to the first tries that are lost on their way
	yes    int     // answers that arrived or were lost
	no     int
	isDone bool
}

// lossyAttempts is how many tries may lose their answers.
const lossyAttempts = 6

// run sends the order until an answer arrives; repeats goes on after that, as one whose answers
// are lost does.
func (a *attempt) run(f *fleet, repeats int) {
	n := a.at[a.turn%len(a.at)]
	a.turn++
	delete(f.replies, a.id)
	if n.isUp {
		n.do(func() []commands.Command {
			return n.node.Submit(f.now, &cluster.Submit{ID: a.id, Operation: a.order, Config: a.config, BaseVersion: version(a.base)})
		})
	}
	f.schedule(950*ms, func() {
		switch f.replies[a.id].Outcome {
		case cluster.Accepted:
			a.yes++
		case cluster.Rejected:
			a.no++
		}
		isClear := a.yes+a.no > 0 && (a.turn > lossyAttempts || f.random.Float64() >= a.lost)
		if isClear {
			a.isDone = true
			repeats--
		}
		if repeats >= 0 || !a.isDone {
			a.run(f, repeats)
		}
	})
}

// failFor kills, freezes, cuts off or wipes a node, by the number of the fault, for a span.
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

// Two orders of one number and one base go to two nodes, and with them the leader is killed, cut
// off or frozen; answers are lost and both are sent again and again. At most one is confirmed,
// nobody hears both a yes and a no, and what is read back is the one that was confirmed.
func TestOneNumberIsConfirmedOnceOverAChangeOfLeader(t *testing.T) {
	t.Parallel()
	confirmed := 0
	for seed := range uint64(40) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		old := f.leader()
		everyone := f.nodes
		orders := [2]cluster.Operation{cluster.PutConfig, cluster.PutConfig}
		if seed%2 == 1 {
			orders[1] = cluster.PatchConfig
		}
		attempts := []*attempt{}
		for i, order := range orders {
			first := f.random.IntN(len(everyone))
			attempts = append(attempts, &attempt{
				id: fmt.Sprint("racer ", i), order: order, base: 1, config: configOf(2, fmt.Sprint("racer ", i)),
				at: append(append([]*fleetNode{}, everyone[first:]...), everyone[:first]...), lost: 0.7,
			})
			f.schedule(kernel.Micros(f.random.Int64N(int64(60*ms))), func() { attempts[i].run(f, 3) })
		}
		span := 300*ms + kernel.Micros(f.random.Int64N(int64(2500*ms)))
		f.schedule(kernel.Micros(f.random.Int64N(int64(80*ms))), func() { f.failFor(span, old, seed%4) })
		f.advance(12 * kernel.Second)
		for _, a := range attempts {
			c.Check(a.yes == 0 || a.no == 0, qt.IsTrue, qt.Commentf("seed %d: %s heard %d yes and %d no", seed, a.id, a.yes, a.no))
			c.Check(a.isDone, qt.IsTrue, qt.Commentf("seed %d: %s is not clear", seed, a.id))
		}
		c.Check(attempts[0].yes == 0 || attempts[1].yes == 0, qt.IsTrue, qt.Commentf("seed %d: both were confirmed", seed))
		// Everything loses power, and is back without one disk.
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
		f.await("the newest", 3*kernel.Second, func() bool { return f.reads[5] != nil })
		for _, a := range attempts {
			if a.yes == 0 {
				continue
			}
			confirmed++
			c.Check(f.reads[5].ConfigVersion, qt.Equals, uint64(2))
			c.Check(string(f.reads[5].Config), qt.Equals, string(a.config), qt.Commentf("seed %d", seed))
			// And once more, where all who took it have begun a new life.
			a.yes, a.isDone, a.lost = 0, false, 0
			a.run(f, 0)
			f.await("its repeat is confirmed", 4*kernel.Second, func() bool { return a.isDone })
			c.Check(a.yes, qt.Equals, 1, qt.Commentf("seed %d: the repeat", seed))
		}
	}
	t.Logf("%d of 40 races had a confirmed one", confirmed)
}

// Eight operators have one order each under way, under two numbers; each wave builds on what the
// last one made. Every base has one winner, also of different numbers, and its repeat is a yes for as long as it is remembered.
func TestEightConcurrentOperationsHaveOneWinnerEach(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 5)
	base := uint64(1)
	winners := []*attempt{}
	for wave := range 40 {
		attempts := []*attempt{}
		for i := range 8 {
			id := fmt.Sprintf("wave %d, order %d", wave, i)
			number := base + 1 + uint64(i%2)
			a := &attempt{id: id, order: cluster.PutConfig, base: base, number: number, config: configOf(number, id), at: f.nodes, turn: i}
			attempts = append(attempts, a)
			f.schedule(kernel.Micros(f.random.Int64N(int64(30*ms))), func() { a.run(f, 0) })
		}
		f.advance(1100 * ms)
		won, next := 0, base
		for _, a := range attempts {
			c.Check(a.yes+a.no, qt.Equals, 1, qt.Commentf(a.id))
			if a.yes > 0 {
				won++
				next = a.number
				winners = append(winners, a)
			}
		}
		c.Assert(won, qt.Equals, 1, qt.Commentf("wave %d", wave))
		base = next
		again := winners[f.random.IntN(len(winners))]
		f.acknowledge(again.id, again.base, again.config, 2*kernel.Second, f.nodes[wave%9])
	}
}

// A forgotten order's repeat ends at once, with no clear answer, at any node, after the disk that
// took it is lost and everything was restarted; the newest 512 are still known then.
func TestAPrunedOperationIsAnsweredUnknownAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(c, 1, 3, 3, firstHaveFolders(3))
	f.bootAll(200 * ms)
	f.awaitStable(8 * kernel.Second)
	f.awaitVoters(3*kernel.Second, f.nodes...)
	const changes = cluster.MaxSubmissions + 90
	taker := f.leader()
	for base := range uint64(changes) {
		f.acknowledge(fmt.Sprint("order ", base), base, configOf(base+1, "x"), 4*kernel.Second, taker)
	}
	for _, n := range f.nodes {
		n.kill()
		n.bootstrap = false
	}
	taker.wipe()
	for _, n := range f.nodes {
		n.boot()
	}
	f.advance(6 * kernel.Second)
	for _, n := range f.nodes {
		for _, base := range []uint64{0, 50, 88, changes - cluster.MaxSubmissions, changes - 1} {
			id, begun := fmt.Sprint("order ", base), f.now
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
