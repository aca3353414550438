package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

var (
	shapeOfThree = coreShape{"three", 3, 3, 3, 3, 1, 4 * kernel.Second}
	shapeOfFour  = coreShape{"four", 4, 4, 3, 4, 1, 4 * kernel.Second}
	shapeOfFive  = coreShape{"five of eight", 4, 8, 5, 5, 2, 6 * kernel.Second}
	coreShapes   = []coreShape{shapeOfThree, shapeOfFour, shapeOfFive}
)

var (
	powerLoss = faultKind{"power", func(d *coreRun, n *fleetNode, back func()) {
		n.kill()
		d.schedule(downSpan, func() { n.bootstrap = false; n.boot(); back() })
	}}
	diskLoss = faultKind{"disk", func(d *coreRun, n *fleetNode, back func()) {
		n.wipe()
		d.schedule(downSpan, func() { n.boot(); back() })
	}}
	replacement = faultKind{"replaced elsewhere", func(d *coreRun, n *fleetNode, back func()) {
		n.kill()
		next := d.spare()
		next.identity.Zone = n.identity.Zone
		d.schedule(downSpan, func() { next.boot(); back() })
	}}
	plannedReplacement = faultKind{"replaced elsewhere, planned", func(d *coreRun, n *fleetNode, back func()) {
		next := d.spare()
		next.identity.Zone = n.identity.Zone
		next.boot()
		d.schedule(downSpan, func() { d.stop(n, func() {}); back() })
	}}
	restart = faultKind{"restarted, planned", func(d *coreRun, n *fleetNode, back func()) {
		d.stop(n, func() {
			d.schedule(300*ms, func() { n.bootstrap = false; n.boot(); back() })
		})
	}}
	faultKinds = []faultKind{powerLoss, diskLoss, replacement, plannedReplacement, restart}
)

// The next loss comes exactly sync after the last member, or its successor, came back: until
// then the core has to be whole again, whatever was lost and how.
func TestTheCoreIsHealthyBeforeTheNextFault(t *testing.T) {
	t.Parallel()
	for _, shape := range coreShapes {
		for _, kind := range faultKinds {
			for _, isLeader := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/leader %v", shape.name, kind.name, isLeader)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					c, took := qt.New(t), spans{}
					for seed := range uint64(2) {
						d := newCoreRun(c, seed, shape)
						d.submitOperations(0)
						begun := d.injectFault(kind, 1+int(seed)%shape.faults, isLeader)
						d.awaitHealthy(shape.sync)
						took.take(d.now - begun)
						d.advance(shape.sync - (d.now - begun))
						d.readBack()
					}
					c.Logf("%s: whole again: %v", t.Name(), &took)
				})
			}
		}
	}
}

func TestTenConsecutiveFaults(t *testing.T) {
	t.Parallel()
	for _, shape := range coreShapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			c, took := qt.New(t), spans{}
			for seed := range uint64(3) {
				d := newCoreRun(c, seed+100, shape)
				d.submitOperations(0)
				d.injectConsecutiveFaults(10, seed, &took)
				d.readBack()
				d.loseDisksAndPower()
				d.advance(shape.sync)
				d.readBack()
				c.Assert(d.bootstrapped, qt.HasLen, 1)
				c.Assert(d.accepted >= 10, qt.IsTrue, qt.Commentf("%d orders of %d", d.accepted, d.submissions))
			}
			c.Logf("%s: whole again: %v", t.Name(), &took)
		})
	}
}

// injectConsecutiveFaults injects faults one after the other and checks that the core is healthy
// before each next one.
func (d *coreRun) injectConsecutiveFaults(faults int, seed uint64, took *spans) {
	d.c.Helper()
	injected := []string{}
	for turn := range faults {
		kind := faultKinds[d.randomSource.IntN(len(faultKinds))]
		isLeader, count := d.randomSource.IntN(2) == 0, 1+d.randomSource.IntN(d.shape.faults)
		injected = append(injected, fmt.Sprintf("%s x%d leader %v", kind.name, count, isLeader))
		begun := d.injectFault(kind, count, isLeader)
		for d.now-begun < d.shape.sync && !d.isHealthy() {
			d.advance(10 * ms)
		}
		d.c.Assert(d.isHealthy(), qt.IsTrue, qt.Commentf("seed %d, turn %d: %v; %v", seed, turn, d.health(), injected))
		took.take(d.now - begun)
		d.advance(d.shape.sync - (d.now - begun))
	}
}

// loseDisksAndPower wipes as many voters as may fail, and all processes lose power and start again.
func (d *coreRun) loseDisksAndPower() {
	d.c.Helper()
	d.isChecked = false
	d.advance(20 * ms)
	lost := []*fleetNode{}
	for range d.shape.faults {
		lost = append(lost, d.voting(false, lost...))
	}
	for _, n := range lost {
		n.wipe()
	}
	for _, n := range d.nodes {
		if n.isUp || slices.Contains(lost, n) {
			n.kill()
			n.bootstrap = false
			d.schedule(200*ms+kernel.Micros(d.randomSource.Int64N(int64(500*ms))), n.boot)
		}
	}
}

// Large configurations on links of 100 Mbit/s, a slow disk at another voter, and a lead that
// changes while the newcomer catches up.
func TestTheCoreIsHealthyInTimeWithLargeConfigs(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16 << 10, 256 << 10, 1 << 20} {
		for _, shape := range []coreShape{shapeOfFour, shapeOfFive} {
			t.Run(fmt.Sprintf("%s/%d KB", shape.name, size>>10), func(t *testing.T) {
				t.Parallel()
				c, took := qt.New(t), spans{}
				for seed := range uint64(2) {
					d := newCoreRun(c, seed+200, shape)
					d.linkRate = 100_000_000 / 8
					filler := strings.Repeat("x", size)
					d.acknowledge("large 1", 0, configOf(1, filler), 8*kernel.Second, d.nodes[shape.folders])
					d.acknowledge("large 2", 1, configOf(2, filler+"y"), 8*kernel.Second, d.nodes[shape.folders])
					d.awaitHealthy(10 * kernel.Second)
					d.voting(false).diskSlowdown = 25
					begun := d.injectFault(diskLoss, 1, false)
					d.advance(50 * ms)
					if lead := d.leader(); lead != nil && seed%2 == 1 {
						// Named away, not lost: only one loss is tolerated at a time.
						lead.node.core.transferLeadership("the test wants it")
						lead.execute(lead.node.finish())
					}
					d.awaitHealthy(shape.sync)
					took.take(d.now - begun)
				}
				c.Logf("%s: whole again: %v", t.Name(), &took)
			})
		}
	}
}

// wantedBench is a core that leads three voters, of which the number is a setting.
func wantedBench(c *qt.C) *bench {
	b := newBench(c, cluster.HardState{Term: 4}, document(4, 9))
	b.core.settings.Voters = 3
	b.elect()
	b.confirm(memberA, b.core.doc.Position())
	b.confirm(memberC, b.core.doc.Position())
	b.pass(100 * kernel.Millisecond)
	return b
}

// catchUp has members answer for what the leader holds, for a while.
func (b *bench) catchUp(span kernel.Micros, answering ...cluster.Member) {
	for end := b.now + span; b.now < end; {
		b.pass(20 * kernel.Millisecond)
		for _, member := range answering {
			b.confirm(member, b.core.doc.Position())
		}
	}
}

func (b *bench) isIn(member cluster.Member) bool {
	_, isThere := b.core.doc.Voter(member.ID)
	return isThere
}

// A voter whose folder is gone is swapped for the member at its address in one step, but only
// once that one has synced the committed document: until then it would be a voter that holds nothing.
func TestASuccessorVotesOnlyOnceItHoldsWhatIsCommitted(t *testing.T) {
	c := qt.New(t)
	b := wantedBench(c)
	successor := cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(successor, wire.Message{Join: &wire.Join{Member: successor, HasFolder: true}})
	for range 20 {
		b.catchUp(20*kernel.Millisecond, memberA)
		b.confirm(successor, cluster.Position{})
		c.Assert(b.isIn(successor), qt.IsFalse)
	}
	b.catchUp(300*kernel.Millisecond, memberA, successor)
	c.Assert(b.isIn(successor), qt.IsTrue)
	c.Assert(b.isIn(memberC), qt.IsFalse)
	c.Assert(b.core.doc.Voters, qt.HasLen, 3)
}

// Voters do not change again before the last change is committed, swaps no more than others.
func TestASwapWaitsForTheChangeBeforeIt(t *testing.T) {
	c := qt.New(t)
	b := wantedBench(c)
	successorOfA, successorOfC := cluster.Member{ID: "a2", Address: memberA.Address, Zone: memberA.Zone}, cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(successorOfC, wire.Message{Join: &wire.Join{Member: successorOfC, HasFolder: true}})
	b.confirm(successorOfC, b.core.doc.Position())
	b.pass(100 * kernel.Millisecond)
	c.Assert(b.isIn(successorOfC), qt.IsTrue)
	c.Assert(b.core.committed.Position() == b.core.doc.Position(), qt.IsFalse)
	// A's folder goes as well. Its successor claims to hold the newest document; nobody else does.
	b.receive(successorOfA, wire.Message{Join: &wire.Join{Member: successorOfA, HasFolder: true}})
	for range 10 {
		b.confirm(successorOfA, b.core.doc.Position())
		b.pass(20 * kernel.Millisecond)
		c.Assert(b.isIn(successorOfA), qt.IsFalse)
	}
	b.catchUp(200*kernel.Millisecond, successorOfC, successorOfA)
	c.Assert(b.isIn(successorOfA), qt.IsTrue)
	c.Assert(b.isIn(successorOfC), qt.IsTrue)
}

// A voter that is heard keeps its place, whoever else shows up at its address.
func TestALiveVoterIsNotReplaced(t *testing.T) {
	c := qt.New(t)
	b := wantedBench(c)
	other := cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(other, wire.Message{Join: &wire.Join{Member: other, HasFolder: true}})
	b.confirm(memberC, b.core.doc.Position())
	b.catchUp(2*kernel.Second, memberA, memberC, other)
	c.Assert(b.isIn(memberC), qt.IsTrue)
	c.Assert(b.isIn(other), qt.IsFalse)
}

// An old process that still runs somewhere, with its address taken over, can send and hears
// nothing: as long as the address is the other's, it gains no vote and gives none.
func TestAnOldProcessWhoseAddressWasTakenOverDecidesNothing(t *testing.T) {
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 6, firstHaveFolders(3))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		old := f.nodes[seed%3]
		// The frozen machine keeps its folder; another takes over the address with an empty one.
		ghost := *old
		ghost.cut, ghost.history = map[string]bool{}, nil
		ghost.isFrozen, ghost.pausedEvents = true, nil
		old.wipe()
		f.advance(kernel.Second)
		old.boot()
		f.awaitVoters(4*kernel.Second, f.nodes[:3]...)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		// It wakes: what it sends comes from the address; what is sent there reaches the other.
		ghost.isFrozen = false
		for range 200 {
			ghost.execute(ghost.node.Tick(f.now))
			f.advance(50 * ms)
			c.Assert(ghost.node.core.role == leader, qt.IsFalse)
		}
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		for _, n := range f.nodes {
			c.Assert(n.inForce().ConfigVersion, qt.Equals, uint64(3), qt.Commentf("seed %d, %s", seed, n.identity.Address))
		}
		c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

// A document that was committed by its leader and a voter that now leaves is held by the leader
// alone among those that stay. The leaver ends only after another holds it, and the leader's
// folder may be lost right after.
func TestALeaverHandsOnWhatItAloneHolds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		d := newCoreRun(c, seed, shapeOfThree)
		lead := d.leader()
		leaver := d.voting(false)
		slow := d.voting(false, leaver)
		slow.diskSlowdown = 150 // some 600 ms a write, below a stall
		d.sent[1] = string(configOf(1, "a"))
		d.nodes[4].submit("one", 0, []byte(d.sent[1]))
		d.await("the commit", kernel.Second, func() bool { return lead.node.core.committed.ConfigVersion == 1 })
		c.Assert(slow.document.ConfigVersion, qt.Equals, uint64(0))
		hasEnded := false
		d.stop(leaver, func() { hasEnded = true })
		d.await("the leaver to end", 7*kernel.Second, func() bool { return hasEnded })
		c.Assert(slow.document.ConfigVersion, qt.Equals, uint64(1), qt.Commentf("seed %d: the leaver went first", seed))
		d.await("the yes", 2*kernel.Second, func() bool { return d.replies["one"].Outcome == cluster.Accepted })
		d.acked = 1
		d.isChecked = false
		slow.diskSlowdown = 0
		lead.wipe()
		leaver.bootstrap = false
		d.advance(100 * ms)
		lead.boot()
		leaver.boot()
		d.advance(4 * kernel.Second)
		d.readBack()
	}
}

// A voter that leaves for good with its successor there ends only once it votes no more: a
// loss right after its end finds a majority.
func TestALeaverEndsOnlyOnceItIsReplaced(t *testing.T) {
	t.Parallel()
	for _, shape := range coreShapes {
		for seed := range uint64(4) {
			c := qt.New(t)
			d := newCoreRun(c, seed, shape)
			leaver, next := d.voting(seed%2 == 0), d.spare()
			next.identity.Zone = leaver.identity.Zone
			next.boot()
			d.advance(kernel.Second)
			hasEnded := false
			begun := d.now
			d.stop(leaver, func() { hasEnded = true })
			d.await("the leaver to end", 4*kernel.Second, func() bool { return hasEnded })
			c.Logf("%s: the leaver ended after %d ms", shape.name, (d.now-begun)/ms)
			newest := d.leader().node.core.committed
			_, votes := newest.Voter(leaver.member)
			c.Assert(votes, qt.IsFalse, qt.Commentf("%s, seed %d: it ended as a voter", shape.name, seed))
			d.voting(true).kill()
			d.acknowledge("two", 0, configOf(1, "a"), 4*kernel.Second, d.nodes[shape.folders], d.nodes[shape.folders+1])
		}
	}
}

// The core grows and shrinks with its members, one voter at a time, and is whole at each number.
func TestTheCoreGrowsAndShrinks(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		d := newCoreRun(c, seed, shapeOfThree)
		d.submitOperations(0)
		zones := []string{"z4", "z1", "z2"}
		joined := []*fleetNode{}
		counts := []int{4, 5}
		for i, count := range counts {
			next := d.spare()
			next.identity.Zone = zones[i]
			next.boot()
			joined = append(joined, next)
			d.shape.settled = count
			c.Logf("seed %d: %d voters after %d ms", seed, count, d.awaitHealthy(4*kernel.Second)/ms)
		}
		for i, count := range []int{4, 3} {
			d.shape.settled = count
			d.stop(joined[1-i], func() {})
			c.Logf("seed %d: %d voters after %d ms", seed, count, d.awaitHealthy(4*kernel.Second)/ms)
		}
		d.readBack()
	}
}

// The health of the core names what is missing, and since when.
func TestHealthNamesWhatIsMissing(t *testing.T) {
	c := qt.New(t)
	d := newCoreRun(c, 3, shapeOfThree)
	c.Assert(d.health().FailureTolerance, qt.Equals, 1)
	lost := d.voting(false)
	lost.kill()
	d.advance(kernel.Second)
	health := d.health()
	c.Assert(health.IsHealthy, qt.IsFalse)
	c.Assert(health.FailureTolerance, qt.Equals, 0)
	c.Assert(health.Shortfalls, qt.DeepEquals, []Shortfall{{VoterUnresponsive, lost.identity.Address}})
	since := health.ChangedAt
	d.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, d.nodes[4])
	c.Assert(d.health().ChangedAt, qt.Equals, since)
	for _, n := range d.nodes {
		if n.isUp {
			c.Assert(n.state().Health != nil, qt.Equals, n == d.leader())
		}
	}
	lost.boot()
	d.awaitHealthy(2 * kernel.Second)
	c.Assert(d.health().String(), qt.Equals, "whole: 3 voters, 1 may be lost")
	// A full disk counts as a loss as well.
	full := d.voting(false)
	full.isFull = true
	d.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, d.nodes[4])
	d.advance(kernel.Second)
	c.Assert(d.health().Shortfalls, qt.DeepEquals, []Shortfall{{VoterDiskUnhealthy, full.identity.Address}})
}

// While orders are always waiting, one document follows the other at once, and a newcomer with a
// slower disk never holds the one that was committed a moment ago. It becomes a voter all the
// same, so that the next loss leaves a majority.
func TestALearnerBecomesAVoterDuringABurst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		c := qt.New(t)
		d := newCoreRun(c, seed, shapeOfThree)
		d.submitBurst(4500 * ms)
		d.advance(300 * ms)
		lost := d.voting(false)
		lost.diskSlowdown = 8
		lost.wipe()
		d.advance(500 * ms)
		lost.boot()
		took := d.await("the newcomer's vote", d.shape.sync/2, func() bool {
			lead := d.leader()
			if lead == nil {
				return false
			}
			_, votes := lead.node.core.committed.Voter(lost.member)
			return votes
		})
		c.Logf("seed %d: a voter after %d ms, revision %d", seed, took/ms, d.leader().node.core.committed.Revision)
		d.advance(d.shape.sync - took)
		d.voting(false, lost).kill()
		d.advance(2 * kernel.Second)
		d.acknowledge("after", d.leader().node.core.committed.ConfigVersion, configOf(100000, "after"), 4*kernel.Second, d.nodes[4], d.nodes[5])
	}
}
