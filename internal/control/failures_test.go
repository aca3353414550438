package control

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// Tests of the worst losses that a deployment tolerates: right after an acknowledgement, during the first start, and
// during a repair.

// lossSeeds is how many seeds each of these tests runs for each core topology.
var lossSeeds = flag.Uint64("loss-seeds", 1, "seeds of each core topology in the tests of losses")

// wipeResult is the effect of a loss at the moment of an acknowledgement.
type wipeResult struct {
	holders int           // voters with the acknowledged configuration on disk
	lost    []*fleetNode  // nodes whose disks were lost
	at      kernel.Micros // time of the acknowledgement
}

// voters returns the nodes that are voters of the newest committed document.
func (d *coreRun) voters() []*fleetNode {
	var newest *cluster.Document
	for _, n := range d.nodes {
		if n.isUp && n.node.core != nil && newest.Position().Before(n.node.core.committed.Position()) {
			newest = n.node.core.committed
		}
	}
	found := []*fleetNode{}
	for _, voter := range newest.Voters {
		if n := d.byAddress(voter.Address); n.member == voter.ID {
			found = append(found, n)
		}
	}
	return found
}

// wipeHolders submits a configuration. At the moment of its acknowledgement it wipes as many disks as may be lost, all
// of them disks that hold that configuration, and every other node loses power.
func (d *coreRun) wipeHolders(version uint64) wipeResult {
	d.c.Helper()
	id := fmt.Sprintf("wipe %d", version)
	d.sent[version] = string(configOf(version, id))
	base, result := d.acked, wipeResult{}
	d.executor = func(_ *fleetNode, command commands.Command) bool {
		reply, isReply := command.(Reply)
		if isReply && reply.SubmitResponse.ID == id && reply.SubmitResponse.Outcome == cluster.Accepted && result.at == 0 {
			result.at, d.acked = d.now, version
			d.wipeAndPowerOff(version, &result)
		}
		return result.at > 0 && result.at == d.now // a node without power sends nothing
	}
	for turn := 0; result.at == 0; turn++ {
		d.c.Assert(turn < 8, qt.IsTrue, qt.Commentf("%s is not acknowledged", id))
		d.reachableNode().submit(id, base, []byte(d.sent[version]))
		for wait := kernel.Micros(0); wait < 950*ms && result.at == 0; wait += ms {
			d.advance(ms)
		}
	}
	d.executor = nil
	return result
}

// wipeAndPowerOff wipes disks of voters that hold the version, kills all nodes, and restarts them soon after.
func (d *coreRun) wipeAndPowerOff(version uint64, result *wipeResult) {
	voters := d.voters()
	for _, n := range voters {
		if n.document != nil && n.document.ConfigVersion == version {
			result.holders++
			if len(result.lost) < d.topology.faults {
				result.lost = append(result.lost, n)
			}
		}
	}
	for _, n := range result.lost {
		n.wipe()
	}
	for _, n := range d.nodes {
		if n.isUp || slices.Contains(result.lost, n) {
			n.kill()
			n.bootstrap = false
			d.schedule(200*ms+kernel.Micros(d.randomSource.Int64N(int64(500*ms))), n.boot)
		}
	}
}

// At the moment of its acknowledgement a configuration is on more disks than may be lost. It is found again
// even if every lost disk is one that held it and all other nodes lose power. Voters with slow disks do not
// hold it yet at that time, so that a single copy may be left.
func TestAnAcknowledgedConfigurationOutlivesItsHolders(t *testing.T) {
	t.Parallel()
	for _, topology := range coreTopologies {
		fewest, took := 99, durations{}
		for seed := range *lossSeeds {
			c := qt.New(t)
			d := newCoreRun(c, seed, topology)
			d.checksMajority = false
			for turn := range uint64(3) {
				d.awaitHealthy(topology.recoveryLimit)
				// As many voters have slow disks, and therefore lag, as a majority can do without.
				voters := d.voters()
				for _, i := range d.randomSource.Perm(len(voters))[:(len(voters)-1)/2] {
					voters[i].diskSlowdown = 120
				}
				result := d.wipeHolders(turn + 1)
				fewest = min(fewest, result.holders)
				c.Assert(result.holders > topology.faults, qt.IsTrue, qt.Commentf("%s, seed %d: acknowledged on only %d disks", topology.name, seed, result.holders))
				for _, n := range d.nodes {
					n.diskSlowdown = 0
				}
				d.advance(800 * ms) // until all nodes have started
				begun := d.now
				d.awaitHealthy(topology.recoveryLimit)
				took.add(d.now - begun)
				d.advance(topology.recoveryLimit - (d.now - begun))
				d.readBack()
			}
			c.Assert(d.bootstrapped, qt.HasLen, 1)
		}
		t.Logf("%s: acknowledged on at least %d disks; time until healthy: %v", topology.name, fewest, &took)
	}
}

// With five voters, two disks may be lost. The first disk is lost, and the voter is replaced. At a random time before,
// during or after the replacement, a configuration is acknowledged. At that moment a second disk is lost, and all nodes
// lose power.
func TestASecondDiskLostDuringARepairLosesNoConfiguration(t *testing.T) {
	t.Parallel()
	fewest := 99
	for seed := range 2 * *lossSeeds {
		c := qt.New(t)
		d := newCoreRun(c, 900+seed, topologyOfFive)
		d.checksMajority = false
		lost := d.pickVoter(seed%2 == 0)
		lost.wipe()
		d.schedule(200*ms, lost.boot)
		d.advance(kernel.Micros(d.randomSource.Int64N(int64(1500 * ms))))
		slow := d.pickVoter(false, lost)
		slow.diskSlowdown = 120
		d.topology.faults = 1
		result := d.wipeHolders(1)
		slow.diskSlowdown = 0
		fewest = min(fewest, result.holders)
		c.Assert(result.holders > 1, qt.IsTrue)
		d.advance(800 * ms)
		d.awaitHealthy(d.topology.recoveryLimit)
		d.readBack()
		c.Assert(d.bootstrapped, qt.HasLen, 1)
	}
	t.Logf("acknowledged on at least %d disks", fewest)
}

// A member is wiped, replaced or powered off within three seconds after the bootstrap. The fleet is healthy within the
// recoveryLimit of its topology after the member or its replacement has started, and then tolerates the next loss.
func TestAFaultDuringTheFirstStartIsRepaired(t *testing.T) {
	t.Parallel()
	for _, topology := range coreTopologies {
		took := durations{}
		for seed := range *lossSeeds {
			c := qt.New(t)
			d := startCoreRun(c, seed, topology, 300*ms)
			d.await("the bootstrap", 6*kernel.Second, func() bool { return len(d.bootstrapped) > 0 })
			d.advance(kernel.Micros(d.randomSource.Int64N(int64(3 * kernel.Second))))
			d.seedsOverride = d.runningNodes
			kind := []faultKind{diskLoss, replacement, powerLoss}[d.randomSource.IntN(3)]
			left := 1
			kind.inject(d, d.nodes[d.randomSource.IntN(topology.folders)], func() { left-- })
			d.await(kind.name, 3*kernel.Second, func() bool { return left == 0 })
			begun := d.now
			d.awaitHealthy(topology.recoveryLimit)
			took.add(d.now - begun)
			d.advance(topology.recoveryLimit - (d.now - begun))
			c.Assert(d.bootstrapped, qt.HasLen, 1)
			result := d.wipeHolders(1)
			c.Assert(result.holders > topology.faults, qt.IsTrue)
			d.advance(800*ms + topology.recoveryLimit)
			d.readBack()
		}
		t.Logf("%s: time until healthy: %v", topology.name, &took)
	}
}

// repairFault is a fault that occurs while a lost member is repaired. It does not stop another machine.
type repairFault struct {
	name   string
	inject func(d *coreRun, failed *fleetNode) (end func())
}

func atDisk(name string, set func(n *fleetNode), end func(n *fleetNode)) repairFault {
	return repairFault{name, func(d *coreRun, failed *fleetNode) func() {
		n := d.pickVoter(d.randomSource.IntN(2) == 0, failed)
		set(n)
		return func() { end(n) }
	}}
}

const (
	submitInterval = 80 * ms
	submitSpan     = 2 * kernel.Second
)

// submitContinuously submits one configuration after another at the leader until the given time.
func (d *coreRun) submitContinuously(end kernel.Micros) {
	if d.now > end {
		return
	}
	if lead := d.leader(); lead != nil {
		d.submissions++
		id, config := fmt.Sprintf("storm %d", d.submissions), configOf(1000+uint64(d.submissions), "storm")
		lead.do(func() []commands.Command {
			return lead.node.Submit(d.now, &cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: config})
		})
	}
	d.schedule(submitInterval, func() { d.submitContinuously(end) })
}

var repairFaults = []repairFault{
	{"none", func(*coreRun, *fleetNode) func() { return func() {} }},
	atDisk("a slow disk", func(n *fleetNode) { n.diskSlowdown = 30 }, func(n *fleetNode) { n.diskSlowdown = 0 }),
	atDisk("a disk near a stall", func(n *fleetNode) { n.diskSlowdown = 150 }, func(n *fleetNode) { n.diskSlowdown = 0 }),
	atDisk("a stalled disk", func(n *fleetNode) { n.diskSlowdown = 400 }, func(n *fleetNode) { n.diskSlowdown = 0 }),
	atDisk("a full disk", func(n *fleetNode) { n.isFull = true }, func(n *fleetNode) { n.isFull = false }),
	{"a storm of changes", func(d *coreRun, _ *fleetNode) func() {
		d.submitContinuously(d.now + submitSpan)
		return func() {}
	}},
	{"a change of leader", func(d *coreRun, _ *fleetNode) func() {
		d.schedule(kernel.Micros(d.randomSource.Int64N(int64(2*kernel.Second))), func() {
			if lead := d.leader(); lead != nil {
				lead.node.core.transferLeadership("requested by the test")
				lead.execute(lead.node.finish())
			}
		})
		return func() {}
	}},
}

// frozen is a fault in which a machine stands still for 0.5 to 3.5 s and then continues.
var frozen = faultKind{"frozen", func(d *coreRun, n *fleetNode, back func()) {
	span := 500*ms + kernel.Micros(d.randomSource.Int64N(int64(3*kernel.Second)))
	n.freeze(span)
	d.schedule(span+ms, back)
}}

// consecutiveFaults is how many losses each seed injects, each during another fault.
const consecutiveFaults = 2

// Losses of all kinds occur during other faults of all kinds. The other fault ends one second after the lost member is
// back, and the core is healthy within the recoveryLimit of its topology after that.
func TestTheCoreIsRepairedDuringOtherFaults(t *testing.T) {
	t.Parallel()
	kinds := append(slices.Clone(faultKinds), frozen)
	for _, topology := range coreTopologies {
		took := map[string]*durations{}
		for seed := range *lossSeeds {
			c := qt.New(t)
			d := newCoreRun(c, 500+seed, topology)
			faults := []string{}
			for range consecutiveFaults {
				kind, fault := kinds[d.randomSource.IntN(len(kinds))], repairFaults[d.randomSource.IntN(len(repairFaults))]
				isLeader := d.randomSource.IntN(2) == 0
				faults = append(faults, fmt.Sprintf("%s, leader %v, during %s", kind.name, isLeader, fault.name))
				failed := d.pickVoter(isLeader)
				left := 1
				kind.inject(d, failed, func() { left-- })
				end := fault.inject(d, failed)
				d.await(kind.name, 12*kernel.Second, func() bool { return left == 0 })
				d.advance(kernel.Second)
				end()
				begun := d.now
				for d.now-begun < d.topology.recoveryLimit && !d.isHealthy() {
					d.advance(10 * ms)
				}
				c.Assert(d.isHealthy(), qt.IsTrue, qt.Commentf("%s, seed %d: %v; %v", topology.name, seed, d.health(), faults))
				if took[fault.name] == nil {
					took[fault.name] = &durations{}
				}
				took[fault.name].add(d.now - begun)
				d.advance(topology.recoveryLimit - (d.now - begun))
			}
			d.acked = d.leader().node.core.committed.ConfigVersion
			d.checksMajority = false
			d.wipeHolders(1_000_000)
			d.advance(800*ms + topology.recoveryLimit)
			d.readBack()
		}
		for _, fault := range repairFaults {
			if took[fault.name] != nil {
				t.Logf("%s, %s: time until healthy: %v", topology.name, fault.name, took[fault.name])
			}
		}
	}
}
