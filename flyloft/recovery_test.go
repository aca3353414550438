package flyloft

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/house"
)

// settledFleet is a fleet of voters and routers with a spec in force and two engines that beat.
func settledFleet(c *qt.C, seed uint64, nodes int) *fleet {
	f := newFleet(c, seed, 4, nodes, firstHaveFolders(4))
	f.bootAll(500 * ms)
	f.settled(6 * house.Second)
	f.votersAre(3*house.Second, f.nodes[:4]...)
	f.acknowledge("one", 0, specOf(1, "a"), 4*house.Second, f.nodes[5])
	for i, id := range []string{"e1", "e2"} {
		f.register(f.nodes[i], uint64(i+1), engineAt(id, fmt.Sprintf("z%d", i+1), 1))
	}
	f.await("the engines everywhere", 4*house.Second, func() bool {
		return f.allKnow("e1", EngineRecord.isBeating) && f.allKnow("e2", EngineRecord.isBeating)
	})
	f.pass(house.Second)
	return f
}

func (f *fleet) loseAllPower() {
	for _, n := range f.nodes {
		n.kill()
		n.bootstrap = false
	}
}

// recovery is how long after the first start of a fleet's processes something was so.
type recovery struct{ led, documents, engines, newest house.Micros }

// recover starts all within a span and looks at every millisecond.
func (f *fleet) recover(span house.Micros) recovery {
	f.c.Helper()
	begun, took := f.now, recovery{}
	f.bootAll(span)
	first := func(at *house.Micros, isMet func() bool) {
		if *at == 0 && isMet() {
			*at = max(f.now-begun, 1)
		}
	}
	all := func(isMet func(n *fleetNode) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return !n.isUp || !isMet(n) })
		}
	}
	for took.led == 0 || took.documents == 0 || took.newest == 0 || took.engines == 0 {
		f.pass(ms)
		first(&took.led, func() bool { return f.leader() != nil })
		first(&took.documents, all(func(n *fleetNode) bool { return n.inForce() != nil && n.inForce().SpecVersion == 1 }))
		first(&took.engines, all(func(n *fleetNode) bool { return n.engine("e1").isBeating() && n.engine("e2").isBeating() }))
		first(&took.newest, func() bool {
			lead := f.leader()
			return lead != nil && lead.node.core.committed != nil &&
				all(func(n *fleetNode) bool {
					return n.inForce() != nil && n.inForce().Generation >= lead.node.core.committed.Generation
				})()
		})
		if f.now-begun > 6*house.Second {
			break
		}
	}
	return took
}

// logSpans logs the middle and the largest of some spans.
func logSpans(c *qt.C, what string, spans []house.Micros) {
	slices.Sort(spans)
	c.Logf("%s: median %d ms, most %d ms of %d", what, spans[len(spans)/2]/ms, spans[len(spans)-1]/ms, len(spans))
}

func TestAWholeFleetThatLostPowerIsBackAtOnce(t *testing.T) {
	for _, nodes := range []int{9, 12} {
		c := qt.New(t)
		var led, documents, engines, newest []house.Micros
		for seed := range uint64(20) {
			f := settledFleet(c, seed, nodes)
			f.loseAllPower()
			f.pass(800 * ms)
			took := f.recover(100 * ms)
			led, documents = append(led, took.led), append(documents, took.documents)
			engines, newest = append(engines, took.engines), append(newest, took.newest)
		}
		logSpans(c, fmt.Sprintf("%d nodes, to a leader", nodes), led)
		logSpans(c, fmt.Sprintf("%d nodes, to a spec on the last router", nodes), documents)
		logSpans(c, fmt.Sprintf("%d nodes, to the engines on the last router", nodes), engines)
		logSpans(c, fmt.Sprintf("%d nodes, to what the core elected on the last router", nodes), newest)
	}
}
