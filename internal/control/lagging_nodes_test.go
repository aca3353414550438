package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Bounds of the deployment that the fleets of this file simulate.
const (
	applyBound   = 3 * kernel.Second // from an acknowledgement until every node in contact has applied the change
	contactBound = 5 * kernel.Second // how long a node is without a fault before it counts as in contact
)

// lateFleet is a fleet in which some nodes handle and send each message late, as if their processors or links were
// overloaded. No link is cut. An operator submits one configuration after another to a node that is on time.
type lateFleet struct {
	*fleet
	operator *fleetNode
	// lag is how long a message waits at a node that receives or sends it.
	lag     map[*fleetNode]kernel.Micros
	isLate  map[*fleetNode]bool // nodes that lag, or whose loop stalls, at some time
	version uint64
	acked   []acknowledgement
	// padding is the content of each configuration apart from its version.
	padding string
	// inContactFrom is the time at which each node had been without a fault for contactBound, and so counts as in
	// contact.
	inContactFrom  map[*fleetNode]kernel.Micros
	violations     map[string]int               // number of violations by the node's address
	firstViolation string                       // description of the first violation
	refused        map[*fleetNode]kernel.Micros // how long each node refused requests
	served         map[*fleetNode]kernel.Micros // how long each node served requests
}

// newLateFleet creates a fleet of four zones; the core is in the first three of them.
func newLateFleet(c *qt.C, seed uint64) *lateFleet {
	f := newFleet(c, seed, 4, 16, firstHaveFolders(3))
	l := &lateFleet{
		fleet: f, operator: f.nodes[4], lag: map[*fleetNode]kernel.Micros{}, isLate: map[*fleetNode]bool{}, version: 1,
		violations:    map[string]int{},
		inContactFrom: map[*fleetNode]kernel.Micros{}, refused: map[*fleetNode]kernel.Micros{}, served: map[*fleetNode]kernel.Micros{},
	}
	f.executor = l.delayLateMessages
	f.bootAll(300 * ms)
	f.awaitStable(8 * kernel.Second)
	f.acknowledge("first", 0, configOf(1, "first"), 4*kernel.Second, l.operator)
	l.acked = []acknowledgement{{1, f.now}}
	f.advance(contactBound)
	for _, n := range f.nodes {
		l.inContactFrom[n] = f.now
	}
	return l
}

// delayLateMessages is an executor that delays the messages from and to nodes that lag.
func (l *lateFleet) delayLateMessages(n *fleetNode, command commands.Command) bool {
	outgoing, isOutgoing := command.(Outgoing)
	if !isOutgoing {
		return false
	}
	to := l.byAddress(outgoing.Envelope.To)
	if to == nil || l.lag[n]+l.lag[to] == 0 || n.cutOut[to.identity.Address] {
		return false
	}
	content, err := json.Marshal(outgoing.Envelope)
	l.c.Assert(err, qt.IsNil)
	waited := l.lag[to]
	l.schedule(l.lag[n]+waited+ms+kernel.Micros(l.random.Int64N(int64(4*ms))), func() {
		if !to.isUp {
			return
		}
		var envelope wire.Envelope
		l.c.Assert(json.Unmarshal(content, &envelope), qt.IsNil)
		to.do(func() []commands.Command {
			to.node.MessageWaited(waited)
			return to.node.Deliver(l.now, envelope)
		})
	})
	return true
}

// lateZone is the zone without a core member.
const lateZone = "z4"

func (l *lateFleet) lateCoordinator() *fleetNode {
	return l.byAddress(l.leader().node.core.committed.Coordinators[lateZone])
}

// lateNode returns a node of lateZone that is not its coordinator.
func (l *lateFleet) lateNode() *fleetNode {
	for _, n := range nodesInZone(l.fleet, lateZone) {
		if n != l.lateCoordinator() {
			return n
		}
	}
	return nil
}

// stallLoop makes a node's event loop handle nothing for a span, repeatedly; requests of callers are served meanwhile.
func (l *lateFleet) stallLoop(n *fleetNode, span, pause kernel.Micros) {
	l.isLate[n] = true
	n.freeze(span)
	l.schedule(span+pause, func() { l.stallLoop(n, span, pause) })
}

// growQueue makes the wait in a node's queue grow by pace times the elapsed time, up to a maximum. Messages still
// arrive, unlike with a cut.
func (l *lateFleet) growQueue(n *fleetNode, most kernel.Micros, pace float64) {
	const step = 60 * ms
	l.isLate[n] = true
	l.lag[n] = min(l.lag[n]+kernel.Micros(pace*float64(step)), most)
	if l.lag[n] < most {
		l.schedule(step, func() { l.growQueue(n, most, pace) })
	}
}

// submitChanges submits one configuration after another, with pauses of up to four seconds.
func (l *lateFleet) submitChanges(until kernel.Micros) {
	if l.now > until {
		return
	}
	id := fmt.Sprint("change-", l.version+1)
	if reply, isThere := l.replies[id]; isThere && reply.Outcome == cluster.Accepted {
		l.version++
		l.acked = append(l.acked, acknowledgement{l.version, l.repliedAt[id]})
		l.schedule(kernel.Micros(l.random.IntN(4000))*ms, func() { l.submitChanges(until) })
		return
	}
	l.operator.submit(id, l.version, configOf(l.version+1, l.padding))
	l.schedule(kernel.Second, func() { l.submitChanges(until) })
}

// serves reports whether a node's router accepts requests at this time.
func (n *fleetNode) serves() bool {
	isStale := n.node.HasLeader() && n.f.now-n.node.FreshAt() >= n.node.ConfigMaxAge()
	return n.inForce() != nil && !isStale
}

// overdueAcknowledgement returns the oldest acknowledged version that a node should have applied by now, or the zero
// value if there is none.
func (l *lateFleet) overdueAcknowledgement(n *fleetNode) acknowledgement {
	for _, acked := range l.acked {
		if l.now-acked.at > applyBound && n.inForce().ConfigVersion < acked.version {
			return acked
		}
	}
	return acknowledgement{}
}

// largeConfigBytes is the size of a large configuration. For longer than applyBound after its commit, the leader leaves
// it to the zone coordinators to send a configuration of this size to the nodes of their zones; see
// isLeftToCoordinator.
const largeConfigBytes = 400 << 10

const watchInterval = 20 * ms

// watch checks periodically each node that is in contact and serves. Such a node must have in force every configuration
// that was acknowledged more than applyBound ago, or a newer one.
func (l *lateFleet) watch() {
	for _, n := range l.nodes {
		if !n.isUp || n.inForce() == nil {
			continue
		}
		if !n.serves() {
			l.refused[n] += watchInterval
			continue
		}
		l.served[n] += watchInterval
		if since, isInContact := l.inContactFrom[n]; !isInContact || l.now < since {
			continue
		}
		acked := l.overdueAcknowledgement(n)
		if acked.version == 0 {
			continue
		}
		l.violations[n.identity.Address]++
		if l.firstViolation == "" {
			l.firstViolation = fmt.Sprintf("%s serves with version %d, but %d was acknowledged %d ms ago",
				n.identity.Address, n.inForce().ConfigVersion, acked.version, (l.now-acked.at)/ms)
		}
	}
	l.schedule(watchInterval, l.watch)
}

// checkOnTime checks that nodes that are not late themselves do not refuse requests. If the configurations are large,
// nodes of the late zone may refuse them while they wait for one.
func (l *lateFleet) checkOnTime(c *qt.C, seed uint64) {
	c.Helper()
	for _, n := range l.nodes {
		isBehind := l.padding != "" && n.identity.Zone == lateZone
		if !l.isLate[n] && !isBehind {
			c.Check(l.refused[n] <= longestRefusal, qt.IsTrue, qt.Commentf("seed %d: %s refused for %d ms", seed, n.identity.Address, l.refused[n]/ms))
		}
	}
}

// servedPercent returns the percentage of the time for which the late nodes served.
func (l *lateFleet) servedPercent() int {
	served, refused := kernel.Micros(0), kernel.Micros(0)
	for n := range l.isLate {
		served, refused = served+l.served[n], refused+l.refused[n]
	}
	return int(100 * served / max(served+refused, 1))
}

// lateCase is one way in which nodes are late.
type lateCase struct {
	name   string
	inject func(l *lateFleet)
}

// Rates at which the wait in a queue grows, as a fraction of the elapsed time.
const (
	slowGrowth = 0.33
	fastGrowth = 0.75
)

var lateCases = []lateCase{
	{"a coordinator's queue fills to 2 s", func(l *lateFleet) { l.growQueue(l.lateCoordinator(), 2*kernel.Second, slowGrowth) }},
	{"a coordinator's queue fills to 4 s", func(l *lateFleet) { l.growQueue(l.lateCoordinator(), 4*kernel.Second, slowGrowth) }},
	{"a coordinator's queue fills fast", func(l *lateFleet) { l.growQueue(l.lateCoordinator(), 6*kernel.Second, fastGrowth) }},
	{"a coordinator's queue fills to 4 s and the configurations are large", func(l *lateFleet) {
		l.padding = strings.Repeat("x", largeConfigBytes)
		l.growQueue(l.lateCoordinator(), 4*kernel.Second, slowGrowth)
	}},
	{"a node's queue fills to 1 s", func(l *lateFleet) { l.growQueue(l.lateNode(), kernel.Second, slowGrowth) }},
	{"a node's queue fills to 2 s", func(l *lateFleet) { l.growQueue(l.lateNode(), 2*kernel.Second, slowGrowth) }},
	{"a node's queue fills to 4 s", func(l *lateFleet) { l.growQueue(l.lateNode(), 4*kernel.Second, slowGrowth) }},
	{"a node's queue fills to 8 s", func(l *lateFleet) { l.growQueue(l.lateNode(), 8*kernel.Second, slowGrowth) }},
	{"a node's queue fills fast", func(l *lateFleet) { l.growQueue(l.lateNode(), 6*kernel.Second, fastGrowth) }},
	{"a node's queue fills to 6 s and is emptied", func(l *lateFleet) {
		n := l.lateNode()
		l.growQueue(n, 6*kernel.Second, slowGrowth)
		l.schedule(19*kernel.Second, func() { l.lag[n] = 0 })
	}},
	{"the queues of a zone fill to 4 s", func(l *lateFleet) {
		for _, n := range nodesInZone(l.fleet, lateZone) {
			l.growQueue(n, 4*kernel.Second, slowGrowth)
		}
	}},
	{"the loop of a node stalls for 4 s", func(l *lateFleet) { l.stallLoop(l.lateNode(), 4*kernel.Second, kernel.Second) }},
	{"the loop of a coordinator stalls for 4 s", func(l *lateFleet) { l.stallLoop(l.lateCoordinator(), 4*kernel.Second, 300*ms) }},
	{"the loops of a zone stall for 4 s", func(l *lateFleet) {
		for i, n := range nodesInZone(l.fleet, lateZone) {
			l.schedule(kernel.Micros(i)*700*ms, func() { l.stallLoop(n, 4*kernel.Second, kernel.Second) })
		}
	}},
}

// An acknowledgement waits for a lagging node for at most 600 ms. A node that lags for longer than the rest of
// applyBound still counts as in contact, since it runs and no link is cut. Once applyBound is over, it either has the
// newer configuration in force or does not serve.
func TestANodeThatLagsServesNoReplacedConfiguration(t *testing.T) {
	t.Parallel()
	for _, late := range lateCases {
		t.Run(late.name, func(t *testing.T) {
			t.Parallel()
			shares := []int{}
			for seed := range uint64(6) {
				c := qt.New(t)
				l := newLateFleet(c, 300+seed)
				late.inject(l)
				l.watch()
				l.submitChanges(l.now + 25*kernel.Second)
				l.advance(30 * kernel.Second)
				c.Check(l.firstViolation, qt.Equals, "", qt.Commentf("seed %d, violations %v", seed, l.violations))
				l.checkOnTime(c, seed)
				shares = append(shares, l.servedPercent())
				c.Check(len(l.acked) > 4, qt.IsTrue, qt.Commentf("seed %d: only %d changes were acknowledged", seed, len(l.acked)))
			}
			t.Logf("percentage of the time for which the late nodes served, by seed: %v", shares)
		})
	}
}

// faultCase is one way in which nodes are cut off or have no leader, after which they keep serving.
type faultCase struct {
	name  string
	fault func(l *lateFleet)
}

// cutCases returns cases in which a node is cut off from others, in each direction.
func cutCases() []faultCase {
	cases := []faultCase{}
	for _, way := range []direction{bothWays, outward, inward} {
		cases = append(cases,
			faultCase{fmt.Sprint("a node is cut off from all, ", way), func(l *lateFleet) { l.lateNode().cutFrom(way, l.nodes...) }},
			faultCase{fmt.Sprint("a node is cut off from the core, ", way), func(l *lateFleet) { l.lateNode().cutFrom(way, l.nodes[:3]...) }},
			faultCase{fmt.Sprint("a node is cut off from the leader, ", way), func(l *lateFleet) { l.lateNode().cutFrom(way, l.leader()) }},
			faultCase{fmt.Sprint("a node is cut off from its coordinator, ", way), func(l *lateFleet) { l.lateNode().cutFrom(way, l.lateCoordinator()) }},
			faultCase{fmt.Sprint("a coordinator is cut off from the core, ", way), func(l *lateFleet) { l.lateCoordinator().cutFrom(way, l.nodes[:3]...) }},
			faultCase{fmt.Sprint("a zone is cut off from the core, ", way), func(l *lateFleet) {
				for _, n := range nodesInZone(l.fleet, lateZone) {
					n.cutFrom(way, l.nodes[:3]...)
				}
			}},
			faultCase{fmt.Sprint("the leader is cut off from the core, ", way), func(l *lateFleet) { l.leader().cutFrom(way, l.nodes[:3]...) }},
			faultCase{fmt.Sprint("the leader is cut off from all, ", way), func(l *lateFleet) { l.leader().cutFrom(way, l.nodes...) }},
		)
	}
	return cases
}

// coreCases returns cases in which processes end or are frozen or messages are lost, and one case without a fault.
func coreCases() []faultCase {
	restart := func(l *lateFleet, nodes []*fleetNode, span kernel.Micros) {
		for _, n := range nodes {
			n.kill()
			l.schedule(span+kernel.Micros(l.random.IntN(300))*ms, n.boot)
		}
	}
	return []faultCase{
		{"the leader ends", func(l *lateFleet) { l.leader().kill() }},
		{"the leader is frozen", func(l *lateFleet) { l.leader().freeze(6 * kernel.Second) }},
		{"nobody leads for 6 s", func(l *lateFleet) { restart(l, l.nodes[:3], 6*kernel.Second) }},
		{"the core is frozen for 6 s", func(l *lateFleet) {
			for _, n := range l.nodes[:3] {
				n.freeze(6 * kernel.Second)
			}
		}},
		{"the whole fleet is restarted", func(l *lateFleet) { restart(l, l.nodes, 200*ms) }},
		{"the whole fleet is off for 5 s", func(l *lateFleet) { restart(l, l.nodes, 5*kernel.Second) }},
		{"a node is frozen for 20 s", func(l *lateFleet) { l.lateNode().freeze(20 * kernel.Second) }},
		{"a coordinator is frozen for 20 s", func(l *lateFleet) { l.lateCoordinator().freeze(20 * kernel.Second) }},
		{"a tenth of all messages is lost", func(l *lateFleet) { l.faultPercent = 10 }},
		{"nothing happens", func(*lateFleet) {}},
	}
}

// countRefused measures for how long each running node refuses requests.
func (l *lateFleet) countRefused() {
	for _, n := range l.nodes {
		if n.isUp && !n.isFrozen && n.inForce() != nil && !n.serves() {
			l.refused[n] += watchInterval
		}
	}
	l.schedule(watchInterval, l.countRefused)
}

// longestRefusal is how long a node may refuse requests around a fault, in total, because its configuration may be
// stale. It covers one or two round trips after a leader is known again.
const longestRefusal = 300 * ms

// A node that is cut off keeps serving. So does every node without a leader, during elections and after a restart of
// the whole fleet. That is safe: either no newer configuration can be acknowledged, or such a node does not count as in
// contact.
func TestTheFenceStaysOpenOutOfTouchAndWithoutALeader(t *testing.T) {
	t.Parallel()
	for _, each := range append(cutCases(), coreCases()...) {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			longest := kernel.Micros(0)
			for seed := range uint64(1) {
				c := qt.New(t)
				l := newLateFleet(c, 400+seed)
				l.countRefused()
				l.submitChanges(l.now + 24*kernel.Second)
				l.advance(kernel.Micros(1000+l.random.IntN(1500)) * ms)
				each.fault(l)
				l.advance(12 * kernel.Second)
				l.heal()
				l.advance(14 * kernel.Second)
				for _, n := range l.nodes {
					longest = max(longest, l.refused[n])
					c.Check(l.refused[n] <= longestRefusal, qt.IsTrue, qt.Commentf("seed %d: %s refused for %d ms", seed, n.identity.Address, l.refused[n]/ms))
				}
			}
			t.Logf("refused for %d ms at most", longest/ms)
		})
	}
}
