package control

import (
	"fmt"
	"slices"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// coreTopology is the size and the placement of a core in the tests.
type coreTopology struct {
	name           string
	zones, folders int
	minVoters      int           // the Voters setting
	healthyVoters  int           // the number of voters once all members are up
	faults         int           // simultaneous failures that are tolerated
	recoveryLimit  kernel.Micros // within which the core has to be healthy after a failure
}

// coreRun is a simulation of one core with spare machines.
type coreRun struct {
	*simulatedRun
	topology coreTopology
	spares   []*fleetNode
	// checksMajority makes checkMajority require that a majority of the voters is alive.
	checksMajority bool
}

const spareNodeCount = 12

// startCoreRun returns a core whose processes start at random times within the span.
func startCoreRun(c *qt.C, seed uint64, topology coreTopology, span kernel.Micros) *coreRun {
	routers := topology.folders + 4
	f := newFleet(c, seed, topology.zones, routers+spareNodeCount, func(i int) bool { return i < topology.folders || i >= routers })
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.Voters = topology.minVoters
	}
	d := &coreRun{simulatedRun: &simulatedRun{
		fleet: f, randomSource: f.random, digests: map[uint64]string{}, highestRevisions: map[string]uint64{}, sent: map[uint64]string{}, acceptedByBase: map[uint64]string{},
	}, topology: topology, spares: f.nodes[routers:]}
	for _, n := range f.nodes[:routers] {
		f.schedule(kernel.Micros(f.random.Int64N(int64(span))), n.boot)
	}
	for _, n := range d.spares {
		n.bootstrap = false
	}
	return d
}

// newCoreRun returns a healthy core whose voter majority is checked from now on.
func newCoreRun(c *qt.C, seed uint64, topology coreTopology) *coreRun {
	d := startCoreRun(c, seed, topology, 500*ms)
	d.awaitStable(8 * kernel.Second)
	d.awaitHealthy(4 * kernel.Second)
	d.checksMajority, d.seedsOverride = true, d.runningNodes
	d.checkMajority()
	return d
}

// runningNodes returns the addresses of up to three running nodes, as the seeds for a process that starts.
func (d *coreRun) runningNodes() []string {
	found := []string{}
	for _, n := range d.nodes {
		if n.isUp && len(found) < 3 {
			found = append(found, n.identity.Address)
		}
	}
	return found
}

// checkMajority checks every 20 ms that a majority of the voters in the newest committed document is alive.
func (d *coreRun) checkMajority() {
	if !d.checksMajority {
		return
	}
	var newest *cluster.Document
	for _, n := range d.nodes {
		// Processes that died count too, because what they committed is in force.
		if n.node != nil && n.node.core != nil && newest.Position().Before(n.node.core.committed.Position()) {
			newest = n.node.core.committed
		}
	}
	if newest != nil {
		alive := 0
		for _, voter := range newest.Voters {
			if n := d.byAddress(voter.Address); n.isUp && n.member == voter.ID {
				alive++
			}
		}
		d.c.Assert(alive > len(newest.Voters)/2, qt.IsTrue, qt.Commentf("%d of the voters %v are alive", alive, newest.Voters))
	}
	d.schedule(20*ms, d.checkMajority)
}

// health returns the leader's view of the voters, or nil if there is no leader.
func (d *coreRun) health() *Health {
	if lead := d.leader(); lead != nil {
		return lead.node.core.Health()
	}
	return nil
}

// isHealthy reports whether the core is healthy and has as many voters as the topology allows, all of them running.
func (d *coreRun) isHealthy() bool {
	health := d.health()
	if health == nil || !health.IsHealthy || len(health.Voters) != d.topology.healthyVoters {
		return false
	}
	for _, voter := range health.Voters {
		if n := d.byAddress(voter.Address); !n.isUp || n.member != voter.ID || n.node.isLeaving {
			return false
		}
	}
	return true
}

// awaitHealthy waits until the core is healthy, for at most the given time, and returns how long that took.
func (d *coreRun) awaitHealthy(timeout kernel.Micros) kernel.Micros {
	d.c.Helper()
	begun := d.now
	for !d.isHealthy() {
		if d.now-begun > timeout {
			d.c.Fatalf("the core is not healthy within %d ms: %v", timeout/ms, d.health())
		}
		d.advance(10 * ms)
	}
	return d.now - begun
}

// pickVoter returns a running voter other than those in except: the leader if isLeader is set and there is one, and
// otherwise a random follower.
func (d *coreRun) pickVoter(isLeader bool, except ...*fleetNode) *fleetNode {
	lead := d.leader()
	if isLeader && lead != nil && !slices.Contains(except, lead) {
		return lead
	}
	found := []*fleetNode{}
	for _, n := range d.nodes {
		if n.isUp && n.hasFolder && n != lead && !slices.Contains(except, n) && n.node.core.isVoter() {
			found = append(found, n)
		}
	}
	return found[d.randomSource.IntN(len(found))]
}

func (d *coreRun) takeSpare() *fleetNode {
	next := d.spares[0]
	d.spares = d.spares[1:]
	return next
}

// stopGracefully requests a planned stop. The process ends as soon as it has no duties left, and after 8 s at the
// latest.
func (d *coreRun) stopGracefully(n *fleetNode, ended func()) {
	n.do(func() []commands.Command { return n.node.Leave(d.now) })
	epoch, deadline := n.epoch, d.now+8*kernel.Second
	var poll func()
	poll = func() {
		switch {
		case n.epoch != epoch:
		case n.node.HasDuties() && d.now < deadline:
			d.schedule(20*ms, poll)
		default:
			n.kill()
			ended()
		}
	}
	d.schedule(20*ms, poll)
}

// faultKind is a way in which a member of the core fails and comes back, or is replaced.
type faultKind struct {
	name string
	// inject fails a member, and calls back when it or its successor has started.
	inject func(d *coreRun, n *fleetNode, back func())
}

const downtime = kernel.Second

// injectFault fails count members, the leader among them if isLeader is set and there is one. It returns the time at
// which the last failed member, or its successor, had started.
func (d *coreRun) injectFault(kind faultKind, count int, isLeader bool) kernel.Micros {
	d.c.Helper()
	failedNodes, remaining := []*fleetNode{}, count
	for i := range count {
		n := d.pickVoter(isLeader && i == 0, failedNodes...)
		failedNodes = append(failedNodes, n)
		kind.inject(d, n, func() { remaining-- })
	}
	d.await(kind.name, 12*kernel.Second, func() bool { return remaining == 0 })
	return d.now
}

// readBack reads the newest configuration and checks it against what was acknowledged.
func (d *coreRun) readBack() {
	d.c.Helper()
	acked, token := d.acked, uint64(len(d.reads)+1000)
	var reader *fleetNode
	for reader == nil {
		reader = d.reachableNode()
	}
	reader.do(func() []commands.Command { return reader.node.Read(d.now, token) })
	d.await("the newest configuration is read", 3*kernel.Second, func() bool { return d.reads[token] != nil })
	document := d.reads[token]
	d.c.Assert(document.ConfigVersion >= acked, qt.IsTrue, qt.Commentf("version %d is read, but version %d was acknowledged", document.ConfigVersion, acked))
	if document.ConfigVersion > 0 {
		d.c.Assert(string(document.Config), qt.Equals, d.sent[document.ConfigVersion])
	}
}

// durations collects how long something took, and reports the mean and the worst.
type durations struct{ worst, sum, count kernel.Micros }

func (s *durations) add(span kernel.Micros) {
	s.worst, s.sum, s.count = max(s.worst, span), s.sum+span, s.count+1
}

func (s *durations) String() string {
	return fmt.Sprintf("mean %d ms, worst %d ms of %d", s.sum/max(s.count, 1)/ms, s.worst/ms, s.count)
}

// submitBurst keeps operations waiting in the leader's queue for a span.
func (d *coreRun) submitBurst(span kernel.Micros) {
	end, ver := d.now+span, uint64(1000)
	var next func()
	next = func() {
		if d.now > end {
			return
		}
		if lead := d.leader(); lead != nil && len(lead.node.core.queue) < 8 {
			ver++
			config := configOf(ver, "flood")
			id := fmt.Sprintf("flood-%d", ver)
			lead.do(func() []commands.Command {
				return lead.node.Submit(d.now, &cluster.Submit{ID: id, Operation: cluster.PutConfig, Config: config})
			})
		}
		d.schedule(2*ms, next)
	}
	next()
}
