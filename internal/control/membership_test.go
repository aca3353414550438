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
	topologyOfThree = coreTopology{"three", 3, 3, 3, 3, 1, 4 * kernel.Second}
	topologyOfFour  = coreTopology{"four", 4, 4, 3, 4, 1, 4 * kernel.Second}
	topologyOfFive  = coreTopology{"five of eight", 4, 8, 5, 5, 2, 6 * kernel.Second}
	coreTopologies  = []coreTopology{topologyOfThree, topologyOfFour, topologyOfFive}
)

var (
	powerLoss = faultKind{"power", func(d *coreRun, n *fleetNode, back func()) {
		n.kill()
		d.schedule(downtime, func() { n.bootstrap = false; n.boot(); back() })
	}}
	diskLoss = faultKind{"disk", func(d *coreRun, n *fleetNode, back func()) {
		n.wipe()
		d.schedule(downtime, func() { n.boot(); back() })
	}}
	replacement = faultKind{"replaced elsewhere", func(d *coreRun, n *fleetNode, back func()) {
		n.kill()
		next := d.takeSpare()
		next.identity.Zone = n.identity.Zone
		d.schedule(downtime, func() { next.boot(); back() })
	}}
	plannedReplacement = faultKind{"replaced elsewhere, planned", func(d *coreRun, n *fleetNode, back func()) {
		next := d.takeSpare()
		next.identity.Zone = n.identity.Zone
		next.boot()
		d.schedule(downtime, func() { d.stopGracefully(n, func() {}); back() })
	}}
	restart = faultKind{"restarted, planned", func(d *coreRun, n *fleetNode, back func()) {
		d.stopGracefully(n, func() {
			d.schedule(300*ms, func() { n.bootstrap = false; n.boot(); back() })
		})
	}}
	faultKinds = []faultKind{powerLoss, diskLoss, replacement, plannedReplacement, restart}
)

// The next failure comes recoveryLimit after the last failed member, or its successor, came back. By then the core has
// to be healthy again, whatever failed and how.
func TestTheCoreIsHealthyBeforeTheNextFault(t *testing.T) {
	t.Parallel()
	for _, topology := range coreTopologies {
		for _, kind := range faultKinds {
			for _, isLeader := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/leader %v", topology.name, kind.name, isLeader)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					c, took := qt.New(t), durations{}
					for seed := range uint64(2) {
						d := newCoreRun(c, seed, topology)
						d.submitOperations(0)
						begun := d.injectFault(kind, 1+int(seed)%topology.faults, isLeader)
						d.awaitHealthy(topology.recoveryLimit)
						took.add(d.now - begun)
						d.advance(topology.recoveryLimit - (d.now - begun))
						d.readBack()
					}
					c.Logf("%s: healthy again: %v", t.Name(), &took)
				})
			}
		}
	}
}

func TestTenConsecutiveFaults(t *testing.T) {
	t.Parallel()
	for _, topology := range coreTopologies {
		t.Run(topology.name, func(t *testing.T) {
			t.Parallel()
			c, took := qt.New(t), durations{}
			for seed := range uint64(3) {
				d := newCoreRun(c, seed+100, topology)
				d.submitOperations(0)
				d.injectConsecutiveFaults(10, seed, &took)
				d.readBack()
				d.loseDisksAndPower()
				d.advance(topology.recoveryLimit)
				d.readBack()
				c.Assert(d.bootstrapped, qt.HasLen, 1)
				c.Assert(d.accepted >= 10, qt.IsTrue, qt.Commentf("%d of %d operations accepted", d.accepted, d.submissions))
			}
			c.Logf("%s: healthy again: %v", t.Name(), &took)
		})
	}
}

// injectConsecutiveFaults injects faults one after another, and checks that the core is healthy within recoveryLimit
// after each.
func (d *coreRun) injectConsecutiveFaults(faults int, seed uint64, took *durations) {
	d.c.Helper()
	injected := []string{}
	for turn := range faults {
		kind := faultKinds[d.randomSource.IntN(len(faultKinds))]
		isLeader, count := d.randomSource.IntN(2) == 0, 1+d.randomSource.IntN(d.topology.faults)
		injected = append(injected, fmt.Sprintf("%s x%d leader %v", kind.name, count, isLeader))
		begun := d.injectFault(kind, count, isLeader)
		for d.now-begun < d.topology.recoveryLimit && !d.isHealthy() {
			d.advance(10 * ms)
		}
		d.c.Assert(d.isHealthy(), qt.IsTrue, qt.Commentf("seed %d, turn %d: %v; %v", seed, turn, d.health(), injected))
		took.add(d.now - begun)
		d.advance(d.topology.recoveryLimit - (d.now - begun))
	}
}

// loseDisksAndPower wipes as many voters as may fail, and restarts all processes.
func (d *coreRun) loseDisksAndPower() {
	d.c.Helper()
	d.checksMajority = false
	d.advance(20 * ms)
	lost := []*fleetNode{}
	for range d.topology.faults {
		lost = append(lost, d.pickVoter(false, lost...))
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

// The core recovers in time even with large configurations on links of 100 Mbit/s, a slow disk at another voter, and a
// change of leader while the learner catches up.
func TestTheCoreIsHealthyInTimeWithLargeConfigs(t *testing.T) {
	t.Parallel()
	for _, size := range []int{16 << 10, 256 << 10, 1 << 20} {
		for _, topology := range []coreTopology{topologyOfFour, topologyOfFive} {
			t.Run(fmt.Sprintf("%s/%d KB", topology.name, size>>10), func(t *testing.T) {
				t.Parallel()
				c, took := qt.New(t), durations{}
				for seed := range uint64(2) {
					d := newCoreRun(c, seed+200, topology)
					d.linkRate = 100_000_000 / 8
					filler := strings.Repeat("x", size)
					d.acknowledge("large 1", 0, configOf(1, filler), 8*kernel.Second, d.nodes[topology.folders])
					d.acknowledge("large 2", 1, configOf(2, filler+"y"), 8*kernel.Second, d.nodes[topology.folders])
					d.awaitHealthy(10 * kernel.Second)
					d.pickVoter(false).diskSlowdown = 25
					begun := d.injectFault(diskLoss, 1, false)
					d.advance(50 * ms)
					if lead := d.leader(); lead != nil && seed%2 == 1 {
						// The leadership is transferred and not lost, because only one failure at a time is tolerated.
						lead.node.core.transferLeadership("the test requests it")
						lead.execute(lead.node.finish())
					}
					d.awaitHealthy(topology.recoveryLimit)
					took.add(d.now - begun)
				}
				c.Logf("%s: healthy again: %v", t.Name(), &took)
			})
		}
	}
}

// newVoterCountHarness returns a core that leads three voters, and whose setting Voters is three.
func newVoterCountHarness(c *qt.C) *coreHarness {
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.core.settings.Voters = 3
	b.elect()
	b.confirm(memberA, b.core.doc.Position())
	b.confirm(memberC, b.core.doc.Position())
	b.pass(100 * kernel.Millisecond)
	return b
}

// catchUp lets members confirm the leader's document every 20 ms for a span.
func (b *coreHarness) catchUp(span kernel.Micros, answering ...cluster.Member) {
	for end := b.now + span; b.now < end; {
		b.pass(20 * kernel.Millisecond)
		for _, member := range answering {
			b.confirm(member, b.core.doc.Position())
		}
	}
}

func (b *coreHarness) isVoter(member cluster.Member) bool {
	_, isThere := b.core.doc.Voter(member.ID)
	return isThere
}

// A voter whose folder is lost is replaced by the member at its address in one step, but only once that member has
// synced the committed document. Before that it would be a voter that holds nothing.
func TestASuccessorVotesOnlyOnceItHoldsWhatIsCommitted(t *testing.T) {
	c := qt.New(t)
	b := newVoterCountHarness(c)
	successor := cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(successor, wire.Message{Join: &wire.Join{Member: successor, HasFolder: true}})
	for range 20 {
		b.catchUp(20*kernel.Millisecond, memberA)
		b.confirm(successor, cluster.Position{})
		c.Assert(b.isVoter(successor), qt.IsFalse)
	}
	b.catchUp(300*kernel.Millisecond, memberA, successor)
	c.Assert(b.isVoter(successor), qt.IsTrue)
	c.Assert(b.isVoter(memberC), qt.IsFalse)
	c.Assert(b.core.doc.Voters, qt.HasLen, 3)
}

// No change of voters starts before the previous one is committed. That holds for one-step replacements too.
func TestASwapWaitsForTheChangeBeforeIt(t *testing.T) {
	c := qt.New(t)
	b := newVoterCountHarness(c)
	successorOfA, successorOfC := cluster.Member{ID: "a2", Address: memberA.Address, Zone: memberA.Zone}, cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(successorOfC, wire.Message{Join: &wire.Join{Member: successorOfC, HasFolder: true}})
	b.confirm(successorOfC, b.core.doc.Position())
	b.pass(100 * kernel.Millisecond)
	c.Assert(b.isVoter(successorOfC), qt.IsTrue)
	c.Assert(b.core.committed.Position() == b.core.doc.Position(), qt.IsFalse)
	// A's folder is lost as well. Only its successor claims to hold the newest document.
	b.receive(successorOfA, wire.Message{Join: &wire.Join{Member: successorOfA, HasFolder: true}})
	for range 10 {
		b.confirm(successorOfA, b.core.doc.Position())
		b.pass(20 * kernel.Millisecond)
		c.Assert(b.isVoter(successorOfA), qt.IsFalse)
	}
	b.catchUp(200*kernel.Millisecond, successorOfC, successorOfA)
	c.Assert(b.isVoter(successorOfA), qt.IsTrue)
	c.Assert(b.isVoter(successorOfC), qt.IsTrue)
}

// A voter that still sends messages is not replaced, even if another member joins from its address.
func TestALiveVoterIsNotReplaced(t *testing.T) {
	c := qt.New(t)
	b := newVoterCountHarness(c)
	other := cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	b.receive(other, wire.Message{Join: &wire.Join{Member: other, HasFolder: true}})
	b.confirm(memberC, b.core.doc.Position())
	b.catchUp(2*kernel.Second, memberA, memberC, other)
	c.Assert(b.isVoter(memberC), qt.IsTrue)
	c.Assert(b.isVoter(other), qt.IsFalse)
}

// An old process still runs after its address was taken over, so that it can send but receives nothing. It must
// neither get nor give a vote.
func TestAnOldProcessWhoseAddressWasTakenOverDecidesNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 3, 6, firstHaveFolders(3))
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
		old := f.nodes[seed%3]
		// The frozen machine keeps its folder. Another machine with an empty folder takes over the address.
		oldProcess := *old
		oldProcess.cut, oldProcess.history = map[string]bool{}, nil
		oldProcess.isFrozen, oldProcess.pausedEvents = true, nil
		old.wipe()
		f.advance(kernel.Second)
		old.boot()
		f.awaitVoters(4*kernel.Second, f.nodes[:3]...)
		f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		// The old process wakes up. It sends from the address, but messages to the address reach the new process.
		oldProcess.isFrozen = false
		for range 200 {
			oldProcess.execute(oldProcess.node.Tick(f.now))
			f.advance(50 * ms)
			c.Assert(oldProcess.node.core.role == leader, qt.IsFalse)
		}
		f.acknowledge("three", 2, configOf(3, "c"), 4*kernel.Second, f.nodes[4], f.nodes[5])
		for _, n := range f.nodes {
			c.Assert(n.inForce().ConfigVersion, qt.Equals, uint64(3), qt.Commentf("seed %d, %s", seed, n.identity.Address))
		}
		c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

// A document is committed by the leader and a voter that then leaves, so that among the remaining voters only the
// leader holds it. The leaving voter must not end before another voter holds it too. The document then survives the
// loss of the leader's folder.
func TestALeaverHandsOnWhatItAloneHolds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		c := qt.New(t)
		d := newCoreRun(c, seed, topologyOfThree)
		lead := d.leader()
		leavingVoter := d.pickVoter(false)
		slow := d.pickVoter(false, leavingVoter)
		slow.diskSlowdown = 150 // about 600 ms for a write, which does not count as stalled
		d.sent[1] = string(configOf(1, "a"))
		d.nodes[4].submit("one", 0, []byte(d.sent[1]))
		d.await("the commit", kernel.Second, func() bool { return lead.node.core.committed.ConfigVersion == 1 })
		c.Assert(slow.document.ConfigVersion, qt.Equals, uint64(0))
		hasEnded := false
		d.stopGracefully(leavingVoter, func() { hasEnded = true })
		d.await("the leaving voter ends", 7*kernel.Second, func() bool { return hasEnded })
		c.Assert(slow.document.ConfigVersion, qt.Equals, uint64(1), qt.Commentf("seed %d: the leaving voter ended before another one held the document", seed))
		d.await("the acknowledgement", 2*kernel.Second, func() bool { return d.replies["one"].Outcome == cluster.Accepted })
		d.acked = 1
		d.checksMajority = false
		slow.diskSlowdown = 0
		lead.wipe()
		leavingVoter.bootstrap = false
		d.advance(100 * ms)
		lead.boot()
		leavingVoter.boot()
		d.advance(4 * kernel.Second)
		d.readBack()
	}
}

// A voter that leaves while its successor is up ends only once it is no longer a voter. A failure right after that
// leaves a majority.
func TestALeaverEndsOnlyOnceItIsReplaced(t *testing.T) {
	t.Parallel()
	for _, topology := range coreTopologies {
		for seed := range uint64(4) {
			c := qt.New(t)
			d := newCoreRun(c, seed, topology)
			leavingVoter, next := d.pickVoter(seed%2 == 0), d.takeSpare()
			next.identity.Zone = leavingVoter.identity.Zone
			next.boot()
			d.advance(kernel.Second)
			hasEnded := false
			begun := d.now
			d.stopGracefully(leavingVoter, func() { hasEnded = true })
			d.await("the leaving voter ends", 4*kernel.Second, func() bool { return hasEnded })
			c.Logf("%s: the leaving voter ended after %d ms", topology.name, (d.now-begun)/ms)
			newest := d.leader().node.core.committed
			_, votes := newest.Voter(leavingVoter.member)
			c.Assert(votes, qt.IsFalse, qt.Commentf("%s, seed %d: it ended while it was still a voter", topology.name, seed))
			d.pickVoter(true).kill()
			d.acknowledge("two", 0, configOf(1, "a"), 4*kernel.Second, d.nodes[topology.folders], d.nodes[topology.folders+1])
		}
	}
}

// The core grows and shrinks with its members, one voter at a time, and is healthy at each size.
func TestTheCoreGrowsAndShrinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		c := qt.New(t)
		d := newCoreRun(c, seed, topologyOfThree)
		d.submitOperations(0)
		zones := []string{"z4", "z1", "z2"}
		joined := []*fleetNode{}
		counts := []int{4, 5}
		for i, count := range counts {
			next := d.takeSpare()
			next.identity.Zone = zones[i]
			next.boot()
			joined = append(joined, next)
			d.topology.healthyVoters = count
			c.Logf("seed %d: %d voters after %d ms", seed, count, d.awaitHealthy(4*kernel.Second)/ms)
		}
		for i, count := range []int{4, 3} {
			d.topology.healthyVoters = count
			d.stopGracefully(joined[1-i], func() {})
			c.Logf("seed %d: %d voters after %d ms", seed, count, d.awaitHealthy(4*kernel.Second)/ms)
		}
		d.readBack()
	}
}

// The health of the core names its shortfalls and the time of their last change.
func TestHealthNamesWhatIsMissing(t *testing.T) {
	c := qt.New(t)
	d := newCoreRun(c, 3, topologyOfThree)
	c.Assert(d.health().FailureTolerance, qt.Equals, 1)
	lost := d.pickVoter(false)
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
	// A full disk counts as a failure too.
	full := d.pickVoter(false)
	full.isFull = true
	d.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, d.nodes[4])
	d.advance(kernel.Second)
	c.Assert(d.health().Shortfalls, qt.DeepEquals, []Shortfall{{VoterDiskUnhealthy, full.identity.Address}})
}

// While operations are always waiting, each document follows the previous one at once, and a learner with a slow disk
// never holds the newest committed one. It becomes a voter all the same, so that the next failure leaves a
// majority.
func TestALearnerBecomesAVoterDuringABurst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		c := qt.New(t)
		d := newCoreRun(c, seed, topologyOfThree)
		d.submitBurst(4500 * ms)
		d.advance(300 * ms)
		lost := d.pickVoter(false)
		lost.diskSlowdown = 8
		lost.wipe()
		d.advance(500 * ms)
		lost.boot()
		took := d.await("the learner becomes a voter", d.topology.recoveryLimit/2, func() bool {
			lead := d.leader()
			if lead == nil {
				return false
			}
			_, votes := lead.node.core.committed.Voter(lost.member)
			return votes
		})
		c.Logf("seed %d: a voter after %d ms, revision %d", seed, took/ms, d.leader().node.core.committed.Revision)
		d.advance(d.topology.recoveryLimit - took)
		d.pickVoter(false, lost).kill()
		d.advance(2 * kernel.Second)
		d.acknowledge("after", d.leader().node.core.committed.ConfigVersion, configOf(100000, "after"), 4*kernel.Second, d.nodes[4], d.nodes[5])
	}
}
