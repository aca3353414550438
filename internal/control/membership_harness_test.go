package control

import (
	"fmt"
	"slices"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// coreShape is a core whose members are lost and come back.
type coreShape struct {
	name           string
	zones, folders int
	voters         int // the least number wanted
	settled        int // the number there is once all members are there
	faults         int // that are tolerated at once
	sync           kernel.Micros
}

// coreRun is a day of a core of some shape, with machines to spare.
type coreRun struct {
	*simulatedRun
	shape  coreShape
	spares []*fleetNode
	// isChecked: a majority of the voters in force has to be alive.
	isChecked bool
}

const coreSpares = 12

// startCoreRun makes a core whose processes start now, each at a moment of the span.
func startCoreRun(c *qt.C, seed uint64, shape coreShape, span kernel.Micros) *coreRun {
	routers := shape.folders + 4
	f := newFleet(c, seed, shape.zones, routers+coreSpares, func(i int) bool { return i < shape.folders || i >= routers })
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.Voters = shape.voters
	}
	d := &coreRun{simulatedRun: &simulatedRun{
		fleet: f, randomSource: f.random, digests: map[uint64]string{}, highestRevisions: map[string]uint64{}, sent: map[uint64]string{}, acceptedByBase: map[uint64]string{},
	}, shape: shape, spares: f.nodes[routers:]}
	for _, n := range f.nodes[:routers] {
		f.schedule(kernel.Micros(f.random.Int64N(int64(span))), n.boot)
	}
	for _, n := range d.spares {
		n.bootstrap = false
	}
	return d
}

// newCoreRun makes a core that is whole, and is judged from now on.
func newCoreRun(c *qt.C, seed uint64, shape coreShape) *coreRun {
	d := startCoreRun(c, seed, shape, 500*ms)
	d.awaitStable(8 * kernel.Second)
	d.awaitHealthy(4 * kernel.Second)
	d.isChecked, d.seedsOverride = true, d.living
	d.checkState()
	return d
}

// living names three nodes that run, as an operator's list does for a machine that starts.
func (d *coreRun) living() []string {
	found := []string{}
	for _, n := range d.nodes {
		if n.isUp && len(found) < 3 {
			found = append(found, n.identity.Address)
		}
	}
	return found
}

// checkState looks again and again whether a majority of the voters in force is alive.
func (d *coreRun) checkState() {
	if !d.isChecked {
		return
	}
	var newest *cluster.Document
	for _, n := range d.nodes {
		// Of a process that died as well: what it committed is in force.
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
	d.schedule(20*ms, d.checkState)
}

// health is the leader's picture.
func (d *coreRun) health() *Health {
	if lead := d.leader(); lead != nil {
		return lead.node.core.Health()
	}
	return nil
}

// isHealthy tells whether the core has all voters that it can have, whole ones that run.
func (d *coreRun) isHealthy() bool {
	health := d.health()
	if health == nil || !health.IsHealthy || len(health.Voters) != d.shape.settled {
		return false
	}
	for _, voter := range health.Voters {
		if n := d.byAddress(voter.Address); !n.isUp || n.member != voter.ID || n.node.isLeaving {
			return false
		}
	}
	return true
}

func (d *coreRun) awaitHealthy(most kernel.Micros) kernel.Micros {
	d.c.Helper()
	begun := d.now
	for !d.isHealthy() {
		if d.now-begun > most {
			d.c.Fatalf("the core is not whole within %d ms: %v", most/ms, d.health())
		}
		d.advance(10 * ms)
	}
	return d.now - begun
}

// voting gives a voter that runs, the leader if wanted.
func (d *coreRun) voting(isLeader bool, but ...*fleetNode) *fleetNode {
	lead := d.leader()
	if isLeader && lead != nil && !slices.Contains(but, lead) {
		return lead
	}
	found := []*fleetNode{}
	for _, n := range d.nodes {
		if n.isUp && n.hasFolder && n != lead && !slices.Contains(but, n) && n.node.core.isVoter() {
			found = append(found, n)
		}
	}
	return found[d.randomSource.IntN(len(found))]
}

func (d *coreRun) spare() *fleetNode {
	next := d.spares[0]
	d.spares = d.spares[1:]
	return next
}

// stop is a planned stop: the process ends as soon as it may, or at the end of its grace.
func (d *coreRun) stop(n *fleetNode, ended func()) {
	n.do(func() []commands.Command { return n.node.Leave(d.now) })
	epoch, last := n.epoch, d.now+8*kernel.Second
	var look func()
	look = func() {
		switch {
		case n.epoch != epoch:
		case n.node.HasDuties() && d.now < last:
			d.schedule(20*ms, look)
		default:
			n.kill()
			ended()
		}
	}
	d.schedule(20*ms, look)
}

// A faultKind is a way in which a member of the core is lost and comes back, or another for it.
type faultKind struct {
	name string
	// inject loses a member and calls back when it, or its successor, has started.
	inject func(d *coreRun, n *fleetNode, back func())
}

const downSpan = kernel.Second

// injectFault loses members and gives the moment at which the last of them, or its successor, started.
func (d *coreRun) injectFault(kind faultKind, count int, isLeader bool) kernel.Micros {
	d.c.Helper()
	struck, left := []*fleetNode{}, count
	for i := range count {
		n := d.voting(isLeader && i == 0, struck...)
		struck = append(struck, n)
		kind.inject(d, n, func() { left-- })
	}
	d.await(kind.name, 12*kernel.Second, func() bool { return left == 0 })
	return d.now
}

// readBack reads the newest configuration and holds it against what was acknowledged.
func (d *coreRun) readBack() {
	d.c.Helper()
	acked, token := d.acked, uint64(len(d.reads)+1000)
	var reader *fleetNode
	for reader == nil {
		reader = d.reachableNode()
	}
	reader.do(func() []commands.Command { return reader.node.Read(d.now, token) })
	d.await("the newest", 3*kernel.Second, func() bool { return d.reads[token] != nil })
	document := d.reads[token]
	d.c.Assert(document.ConfigVersion >= acked, qt.IsTrue, qt.Commentf("version %d is read, %d was acknowledged", document.ConfigVersion, acked))
	if document.ConfigVersion > 0 {
		d.c.Assert(string(document.Config), qt.Equals, d.sent[document.ConfigVersion])
	}
}

// spans gathers how long something took, and shows the worst.
type spans struct{ worst, sum, count kernel.Micros }

func (s *spans) take(span kernel.Micros) {
	s.worst, s.sum, s.count = max(s.worst, span), s.sum+span, s.count+1
}

func (s *spans) String() string {
	return fmt.Sprintf("mean %d ms, worst %d ms of %d", s.sum/max(s.count, 1)/ms, s.worst/ms, s.count)
}

// submitBurst keeps orders waiting at the leader all the time.
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
