package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// simulatedRun injects tolerated faults, at one core member at a time and at any of the other nodes, while an operator
// submits configurations. It checks that all nodes have the same document at a revision, that no process goes back to a
// lower revision, and that at most one operation is acknowledged for each base version.
type simulatedRun struct {
	*fleet
	randomSource     *rand.Rand
	digests          map[uint64]string // digests of documents by revision
	highestRevisions map[string]uint64 // highest revision in force, by incarnation of a node
	sent             map[uint64]string // configurations by version
	acked            uint64            // the newest acknowledged version
	acceptedByBase   map[uint64]string // acknowledged operations by their base version
	faultsEndAt      kernel.Micros     // until then no other core member may fail
	submissions      int
	accepted         int
	// hasLateFolders makes some folders of machines that start again fail to open for a while.
	hasLateFolders bool
}

// toleratedFaultRuns is the number of runs of each kind, and maxLateness limits for how long a disk fails after a start.
const (
	toleratedFaultRuns = 6
	maxLateness        = int64(4 * kernel.Second)
)

func newSimulatedRun(c *qt.C, seed uint64) *simulatedRun {
	d := &simulatedRun{
		fleet: newFleet(c, seed, 4, 10, firstHaveFolders(4)), randomSource: rand.New(rand.NewPCG(seed, 99)),
		digests: map[uint64]string{}, highestRevisions: map[string]uint64{}, sent: map[uint64]string{}, acceptedByBase: map[uint64]string{},
	}
	d.bootAll(500 * ms)
	d.awaitStable(8 * kernel.Second)
	d.awaitVoters(3*kernel.Second, d.nodes[:4]...)
	d.watch()
	d.submitOperations(0)
	return d
}

// watch checks the document in force at every node, periodically.
func (d *simulatedRun) watch() {
	for _, n := range d.nodes {
		document := n.inForce()
		if document == nil {
			continue
		}
		digest := cluster.DigestOf(document.Config, fmt.Append(nil, document.Voters, document.Routers, document.Coordinators, document.ConfigVersion))
		if known, isThere := d.digests[document.Revision]; isThere {
			d.c.Assert(digest, qt.Equals, known, qt.Commentf("revision %d differs at %s", document.Revision, n.identity.Address))
		}
		d.digests[document.Revision] = digest
		incarnation := fmt.Sprint(n.identity.Address, n.epoch)
		d.c.Assert(document.Revision >= d.highestRevisions[incarnation], qt.IsTrue, qt.Commentf("%s applied a lower revision", incarnation))
		d.highestRevisions[incarnation] = document.Revision
	}
	d.schedule(20*ms, d.watch)
}

// reachableNode returns a node that an operator could reach, or nil.
func (d *simulatedRun) reachableNode() *fleetNode {
	first := d.randomSource.IntN(len(d.nodes))
	for i := range d.nodes {
		if n := d.nodes[(first+i)%len(d.nodes)]; n.isUp && !n.isFrozen && len(n.cut) == 0 {
			return n
		}
	}
	return nil
}

// submitOperations submits one configuration after another and repeats each until it is accepted or rejected, at most
// 12 times. Now and then it submits two at once with the same base version.
func (d *simulatedRun) submitOperations(base uint64) {
	operations := 1 + d.randomSource.IntN(4)/3
	for range operations {
		d.submissions++
		version := base + 1 + uint64(d.randomSource.IntN(5))
		for d.sent[version] != "" {
			version++
		}
		id, config := fmt.Sprintf("o%d", d.submissions), string(configOf(version, fmt.Sprint("operation ", d.submissions)))
		d.sent[version] = config
		d.submitWithRetry(id, base, version, 0)
	}
	d.schedule(900*ms+kernel.Micros(d.randomSource.Int64N(int64(kernel.Second))), func() {
		if len(d.due) > 0 {
			d.submitOperations(d.acked)
		}
	})
}

func (d *simulatedRun) submitWithRetry(id string, base, version uint64, attempts int) {
	if attempts > 12 {
		return
	}
	if n := d.reachableNode(); n != nil {
		n.submit(id, base, []byte(d.sent[version]))
	}
	d.schedule(950*ms, func() {
		reply, isThere := d.replies[id]
		switch {
		case isThere && reply.Outcome == cluster.Accepted:
			if other, isTaken := d.acceptedByBase[base]; isTaken && other != id {
				d.c.Fatalf("%s and %s were both acknowledged for base version %d", id, other, base)
			}
			d.acceptedByBase[base] = id
			d.acked = max(d.acked, version)
			d.accepted++
		case isThere && reply.Outcome == cluster.Rejected:
		default:
			d.submitWithRetry(id, base, version, attempts+1)
		}
	})
}

// injectFault injects one fault that is tolerated at this time.
func (d *simulatedRun) injectFault() {
	n := d.nodes[d.randomSource.IntN(len(d.nodes))]
	if d.randomSource.IntN(3) == 0 && d.leader() != nil {
		n = d.leader()
	}
	if !n.isUp || n.isFrozen || len(n.cut) > 0 {
		return
	}
	span := 300*ms + kernel.Micros(d.randomSource.Int64N(int64(3*kernel.Second)))
	if n.hasFolder {
		if d.now < d.faultsEndAt {
			return
		}
		// A member counts as lost until four seconds after its return, and after its disk is sound.
		d.faultsEndAt = d.now + span + d.drawLateness(n) + 4*kernel.Second
	}
	switch d.randomSource.IntN(4) {
	case 0:
		n.kill()
		d.schedule(span, n.boot)
	case 1:
		if n.hasFolder {
			n.wipe()
		} else {
			n.kill()
		}
		d.schedule(span, n.boot)
	case 2:
		n.freeze(span)
	case 3:
		for _, other := range d.nodes {
			if other != n {
				n.cut[other.identity.Address] = true
			}
		}
		d.schedule(span, func() { n.cut = map[string]bool{} })
	}
}

// drawLateness draws how long the disk of a member fails after its next start.
func (d *simulatedRun) drawLateness(n *fleetNode) kernel.Micros {
	n.opensAfter = 0
	if d.hasLateFolders && d.randomSource.IntN(3) > 0 {
		n.opensAfter = kernel.Micros(1 + d.randomSource.Int64N(maxLateness))
	}
	return n.opensAfter
}

// failAll kills all nodes, and wipes one member's disk if one may be lost at this time.
func (d *simulatedRun) failAll() {
	mayLose := d.now >= d.faultsEndAt
	for _, n := range d.nodes {
		n.kill()
		n.bootstrap, n.cut, n.opensAfter = false, map[string]bool{}, 0
	}
	if mayLose {
		d.nodes[d.randomSource.IntN(4)].wipe()
	}
	d.faultsEndAt = d.now + 6*kernel.Second
	for _, n := range d.nodes {
		d.schedule(200*ms+kernel.Micros(d.randomSource.Int64N(int64(500*ms))), n.boot)
	}
}

func TestRunsOfToleratedFaults(t *testing.T) {
	t.Parallel()
	for _, run := range []struct {
		name           string
		hasLateFolders bool
	}{{"sound disks", false}, {"disks that fail at a start", true}} {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			checkRunsOfToleratedFaults(t, run.hasLateFolders)
		})
	}
}

// checkRunsOfToleratedFaults plays runs, each of which ends with a stop of all nodes and a read of the configuration.
func checkRunsOfToleratedFaults(t *testing.T, hasLateFolders bool) {
	t.Helper()
	for seed := range uint64(toleratedFaultRuns) {
		c := qt.New(t)
		d := newSimulatedRun(c, seed)
		d.hasLateFolders = hasLateFolders
		for range 25 {
			d.advance(300*ms + kernel.Micros(d.randomSource.Int64N(int64(1500*ms))))
			d.injectFault()
		}
		d.failAll()
		d.advance(8 * kernel.Second)
		acked := d.acked
		reader := d.nodes[d.randomSource.IntN(len(d.nodes))]
		reader.do(func() []commands.Command { return reader.node.Read(d.now, 77) })
		d.await("the read of the newest configuration", 3*kernel.Second, func() bool { return d.reads[77] != nil })
		document := d.reads[77]
		c.Assert(document.ConfigVersion >= acked, qt.IsTrue, qt.Commentf("seed %d: read version %d, but %d was acknowledged", seed, document.ConfigVersion, acked))
		c.Assert(string(document.Config), qt.Equals, d.sent[document.ConfigVersion])
		c.Assert(d.accepted >= 10, qt.IsTrue, qt.Commentf("seed %d: only %d operations of %d", seed, d.accepted, d.submissions))
		c.Assert(d.bootstrapped, qt.HasLen, 1)
		c.Logf("seed %d: %d of %d operations acknowledged, version %d, revision %d", seed, d.accepted, d.submissions, document.ConfigVersion, document.Revision)
	}
}
