package simulator

// Elections, leases, submissions and configurations of the consensus core under faults.

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

func (w *World) votes(m *machine) bool {
	for _, voter := range w.newest().Voters {
		if voter.Address == m.identity.Address && m.isUp && voter.ID == m.store.Member() {
			return true
		}
	}
	return false
}

// await runs until a condition holds, and fails when it does not in time.
func (w *World) await(c *qt.C, what string, most kernel.Micros, isMet func() bool) kernel.Micros {
	c.Helper()
	for begun := w.now; w.now-begun <= most; w.Run(50 * ms) {
		if isMet() {
			return w.now - begun
		}
	}
	c.Fatalf("not within %d us: %s", most, what)
	return 0
}

// acknowledge puts a configuration and waits for its yes.
func (w *World) acknowledge(c *qt.C, what string, most kernel.Micros) {
	c.Helper()
	yes := w.operator.Accepted
	w.operator.putConfig(nil)
	w.await(c, what, most, func() bool { return w.operator.Accepted > yes })
}

// servedBetween counts requests that were sent and served within a span.
func (w *World) servedBetween(from, to kernel.Micros) int {
	count := 0
	for _, event := range w.events {
		if event.EventKind == checker.CallEnded && event.Outcome == checker.Served && event.StartedAt >= from && event.StartedAt < to {
			count++
		}
	}
	return count
}

func TestALeaderWithAStalledDiskTransfersLeadership(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 14)
	leader := w.leader()
	leader.disk.isStall = true
	yes := w.operator.Accepted
	w.operator.putConfig(nil)
	w.await(c, "another leader and a yes", 8*sec, func() bool { return w.operator.Accepted > yes && w.leader() != leader })
	leader.disk.isStall = false
	finish(c, w)
}

func TestAFullDiskServesOnAndRecovers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 15)
	for _, m := range w.core() {
		m.disk.isFull = true
	}
	begun, yes := w.now, w.operator.Accepted
	w.operator.putConfig(nil)
	w.Run(15 * sec)
	c.Assert(w.operator.Accepted, qt.Equals, yes)
	unhealthy := 0
	for _, m := range w.core() {
		if m.node.State(nil).DiskFault != "" {
			unhealthy++
		}
	}
	c.Assert(unhealthy > 0, qt.IsTrue)
	c.Assert(w.servedBetween(begun+4*sec, w.now) > 50, qt.IsTrue)
	for _, m := range w.core() {
		m.disk.isFull = false
	}
	finish(c, w)
}

func TestRoutersOutliveTheCore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 16)
	for _, m := range w.core() {
		m.halt()
	}
	begun := w.now
	w.Run(20 * sec)
	// Seven of eleven registered routers are left, which is a majority.
	c.Assert(w.ready(), qt.Equals, 7)
	c.Assert(w.servedBetween(begun+3*sec, w.now) > 60, qt.IsTrue)
	for _, m := range w.core() {
		m.boot()
	}
	finish(c, w)
}

// With the core and half of the routers gone there is no majority of any kind, and
// the rest has to stop: it can't know of a configuration acknowledged on the other side.
func TestAMinorityOfRoutersStopsServingInTime(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 17)
	minority := w.machines[8:]
	w.cut(minority, w.others(minority), false, 10*sec)
	w.Run(2 * sec)
	for _, m := range minority {
		c.Assert(m.clock() >= m.node.State(nil).Until, qt.IsTrue)
	}
	w.operator.at = w.machines[5]
	w.acknowledge(c, "a yes on the larger side", 8*sec)
	w.Run(10 * sec)
	finish(c, w)
}

func TestAColdFleetServesSoonAndKeepsItsOrders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 18)
	yes := w.operator.Accepted
	w.operator.drainZone("z3", 60*sec)
	w.operator.putConfig(nil)
	w.await(c, "both orders", 8*sec, func() bool { return w.operator.Accepted == yes+2 })
	before := w.newest()
	for _, m := range w.machines {
		m.halt()
	}
	w.Run(5 * sec)
	for _, m := range w.machines {
		m.boot()
	}
	w.await(c, "every router serves", 12*sec, func() bool { return w.ready() == len(w.machines) })
	after := w.newest()
	c.Assert(after.DrainedZones, qt.DeepEquals, before.DrainedZones)
	c.Assert(string(after.Config), qt.Equals, string(before.Config))
	finish(c, w)
}

func TestALeaderThatResumesPastItsTermGrantsNothingOld(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 19)
	leader := w.leader()
	leader.freeze(8 * sec)
	w.Run(3 * sec)
	w.acknowledge(c, "a yes from the next leader", 8*sec)
	w.Run(8 * sec)
	c.Assert(leader.node.State(nil).Role, qt.Equals, "follower")
	finish(c, w)
}

func TestSplitsOfTheCore(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(w *World){
		"two and two": func(w *World) { w.cut(w.core()[:2], w.core()[2:], false, 8*sec) },
		"nothing gets out of the leader": func(w *World) {
			one := []*machine{w.leader()}
			w.cut(one, w.others(one), true, 8*sec)
		},
		"nothing gets to the leader": func(w *World) {
			one := []*machine{w.leader()}
			w.cut(w.others(one), one, true, 8*sec)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := openWorld(c, "qurum", 23)
			cut(w)
			w.operator.at = w.machines[6]
			w.acknowledge(c, "a yes on the side with the majority", 9*sec)
			w.Run(8 * sec)
			finish(c, w)
		})
	}
}

func TestAnAbortedSubmissionNeverTakesEffect(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 24)
	m := w.machines[5]
	config := w.nextConfig()
	ends := []cluster.SubmitResponse{}
	submit := func(order cluster.Operation) {
		m.replies["late"] = func(reply cluster.SubmitResponse) { ends = append(ends, reply) }
		m.carry(m.node.Submit(m.clock(), &cluster.Submit{ID: "late", Operation: order, Config: config}))
		w.Run(3 * sec)
	}
	submit(cluster.AbortSubmission)
	submit(cluster.PutConfig)
	c.Assert(ends, qt.HasLen, 2)
	for _, end := range ends {
		c.Assert(end.Outcome, qt.Equals, cluster.Rejected)
		c.Assert(end.Reason, qt.Equals, "fenced")
	}
	c.Assert(string(w.newest().Config), qt.Not(qt.Equals), string(config))
	finish(c, w)
}

func TestRepeatsClashesAndReusedIDs(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 25)
	send := func(at int, submit cluster.Submit) cluster.SubmitResponse {
		m := w.machines[at]
		var end *cluster.SubmitResponse
		m.replies[submit.ID] = func(reply cluster.SubmitResponse) { end = &reply }
		m.carry(m.node.Submit(m.clock(), &submit))
		w.await(c, "a receipt", 8*sec, func() bool { return end != nil })
		return *end
	}
	base := w.newest().ConfigRevision
	one, two := w.nextConfig(), w.nextConfig()
	w.record(checker.Event{EventKind: checker.ConfigSent, ID: "one", Digest: string(one), Pools: poolsOf(one)})
	first := send(4, cluster.Submit{ID: "one", Operation: cluster.PutConfig, Config: one, Base: &base})
	c.Assert(first.Outcome, qt.Equals, cluster.Accepted)
	again := send(9, cluster.Submit{ID: "one", Operation: cluster.PutConfig, Config: one, Base: &base})
	c.Assert(again, qt.DeepEquals, first)
	reused := send(2, cluster.Submit{ID: "one", Operation: cluster.PutConfig, Config: two})
	c.Assert(reused.Reason, qt.Equals, "id_reused")
	clash := send(7, cluster.Submit{ID: "two", Operation: cluster.PutConfig, Config: two, Base: &base})
	c.Assert(clash.Outcome, qt.Equals, cluster.Rejected)
	c.Assert(clash.Reason, qt.Equals, "clash")
	bad := send(7, cluster.Submit{ID: "bad", Operation: cluster.PutConfig, Config: []byte(`{"bindings":3}`)})
	c.Assert(bad.Reason, qt.Equals, "invalid_spec")
	c.Assert(string(w.newest().Config), qt.Equals, string(one))
	finish(c, w)
}

func TestDeadRoutersAreDeregisteredOneAtATime(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 26)
	for _, m := range w.machines[7:11] {
		m.halt()
		m.isRemoved = true
	}
	sizes := map[int]bool{}
	w.await(c, "the dead are struck off", 60*sec, func() bool {
		sizes[len(w.newest().Routers)] = true
		return len(w.newest().Routers) == 7
	})
	for size := 7; size <= 11; size++ {
		c.Assert(sizes[size], qt.IsTrue, qt.Commentf("the register never had %d", size))
	}
	finish(c, w)
}

func TestTheCoordinatorIsHandedOverAndReplaced(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 27)
	coordinator := func() *machine { return w.byPeer[w.newest().Coordinators["z2"]] }
	first := coordinator()
	w.leave(first)
	took := w.await(c, "the named successor is home", 3*sec, func() bool { return coordinator() != first })
	c.Assert(took < 1500*ms, qt.IsTrue, qt.Commentf("a silence had to pass first: %d us", took))
	second := coordinator()
	second.halt()
	w.await(c, "a majority names another home", 6*sec, func() bool { return coordinator() != second })
	w.await(c, "the zone serves", 6*sec, func() bool { return w.ready() >= len(w.machines)-2 })
	second.boot()
	finish(c, w)
}

// A mark known to one node only has to spread while the core is dark and the
// zone's home is dead.
func TestADrainingMarkSpreadsWithoutCoreAndCoordinator(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 28)
	for _, m := range w.core() {
		m.halt()
	}
	w.Run(sec)
	for _, e := range w.engines {
		e.isReportless = true
	}
	w.markDraining(w.machines[9], w.engines[3])
	w.Run(3 * sec)
	for _, m := range w.machines {
		if !m.isUp {
			continue
		}
		for _, known := range m.node.State(nil).Engines {
			if known.ID == w.engines[3].id {
				c.Assert(known.IsDraining, qt.IsTrue, qt.Commentf("%s does not know", m.name))
			}
		}
	}
	for _, m := range w.core() {
		m.boot()
	}
	w.Run(8 * sec)
	finish(c, w)
}

// Cronometro, seed 172 of the strict search: an engine had said that it was leaving,
// the whole fleet was killed, and came back to a list that still had it as serving.
func TestADrainingMarkOutlivesTheFleet(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 47)
	w.listLag = 60 * sec
	leaving := w.engines[8]
	leaving.isDraining = true
	w.Run(2500 * ms)
	leaving.isReportless = true
	for _, m := range w.machines {
		bounce(m, sec)
	}
	w.Traffic(80, 10*sec, 0)
	w.Run(12 * sec)
	finish(c, w)
}

// A leader that has lost its voters may not grant for the second or two until it
// notices: each grant needs a round that a majority confirmed after the ask.
func TestALeaderCutOffGrantsNothingMore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 29)
	leader := w.leader()
	one := []*machine{leader}
	w.cut(one, w.others(one), false, 8*sec)
	w.Run(cluster.DefaultTiming().LeaseSpan + 100*ms)
	c.Assert(leader.clock() >= leader.node.State(nil).Until, qt.IsTrue)
	w.Run(8 * sec)
	finish(c, w)
}

// A restarted router has forgotten what it applied. While the core is dark its word
// must not help an old revision past a newer one that it had helped to a yes, nor
// may it serve by the others' word: it may itself have served under a newer one.
func TestARestartedRouterWaitsForTheLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 30)
	for _, m := range w.core() {
		m.halt()
	}
	w.Run(3 * sec)
	// Seven of eleven are left and six are a majority. One restarts: the six go on,
	// and it waits. With a second one there are only five words.
	bounce(w.machines[5], 200*ms)
	w.Run(4 * sec)
	c.Assert(w.ready(), qt.Equals, 6)
	bounce(w.machines[6], 200*ms)
	w.Run(4 * sec)
	c.Assert(w.ready(), qt.Equals, 0)
	for _, m := range w.core() {
		m.boot()
	}
	w.await(c, "service with the core back", 12*sec, func() bool { return w.ready() == len(w.machines) })
	finish(c, w)
}

// Seed 5041 of the search: a revision that only the core's own routers had applied
// when all of them were killed. Back before the core agreed again, they were vouched
// for by routers that never had it, and went on under the one before.
func TestNobodySlipsBackOverARestart(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 44)
	core := w.core()
	rest := w.others(core)
	// The document reaches the core's routers and nobody else.
	w.cut(core, rest, false, 1500*ms)
	w.Run(300 * ms)
	w.operator.at = w.leader()
	before := w.newest().Revision
	w.operator.putConfig(nil)
	w.await(c, "a generation that only the core has", 1500*ms, func() bool { return w.newest().Revision > before })
	w.Run(300 * ms)
	for _, m := range core {
		m.halt()
	}
	w.Run(2 * sec)
	w.Traffic(60, 10*sec, 0)
	// One voter is no core, but its router is up again.
	core[0].boot()
	w.Run(6 * sec)
	c.Assert(core[0].clock() >= core[0].node.State(nil).Until, qt.IsTrue)
	for _, m := range core[1:] {
		m.boot()
	}
	w.operator.at = nil
	w.Run(10 * sec)
	finish(c, w)
}

// A configuration of thousands of bindings reaches everyone under the same rules.
func TestALargeConfigKeepsTheRules(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 45)
	config := largeConfig(4000, "p0", "p1")
	yes := w.operator.Accepted
	w.operator.submit(cluster.Submit{Operation: cluster.PutConfig, Config: config}, func(reply cluster.SubmitResponse) {
		w.record(checker.Event{EventKind: checker.ConfigAccepted, ID: reply.ID, Revision: reply.Revision, Digest: string(config)})
	})
	w.await(c, "a yes", 8*sec, func() bool { return w.operator.Accepted > yes })
	w.leader().halt()
	w.Run(6 * sec)
	finish(c, w)
}

// A router that takes seconds to compile a configuration neither serves under the old one past its
// lease nor says that it has applied the new one; and a leader keeps its lead over it.
func TestASpecIsAppliedOnlyOnceItIsCompiled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 48)
	w.Traffic(60, 20*sec, 0)
	leader, slow := w.leader(), w.machines[8]
	leader.compileSlow, slow.compileSlow = 3*sec, 5*sec
	before := slow.node.State(nil).Document.Revision
	// The leader is the slowest of the core to compile, and yet answers and leads on.
	w.acknowledge(c, "a yes by the majority that has compiled it", 8*sec)
	c.Assert(w.leader(), qt.Equals, leader)
	c.Assert(slow.node.State(nil).Document.Revision, qt.Equals, before)
	w.Run(2 * sec)
	c.Assert(slow.clock() >= slow.node.State(nil).Until, qt.IsTrue)
	w.await(c, "the slow router serves under the new spec", 6*sec, func() bool { return slow.serves() })
	c.Assert(slow.node.State(nil).Document.Revision > before, qt.IsTrue)
	c.Assert(w.leader(), qt.Equals, leader)
	w.Run(3 * sec)
	finish(c, w)
}

// A storm of large configurations, half a second to compile on every node, on slow disks: the
// leader leads on, each order gets its yes, and nothing is served under an old one.
func TestABurstOfLargeConfigsCostsNoLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "qurum", 51)
	w.Traffic(40, 40*sec, 0)
	for _, m := range w.machines {
		m.compileSlow = 500 * ms
		if m.disk != nil {
			m.disk.slowness = 300 * ms
		}
	}
	leader, yes, stepped := w.leader(), w.operator.Accepted, w.ProtectionCounts["core step down"]
	for i := range 6 {
		config := largeConfig(1500+i, "p0", "p1", "p2")
		w.operator.submit(cluster.Submit{Operation: cluster.PutConfig, Config: config}, func(reply cluster.SubmitResponse) {
			w.record(checker.Event{EventKind: checker.ConfigAccepted, ID: reply.ID, Revision: reply.Revision, Digest: string(config)})
		})
	}
	w.await(c, "a yes to each", 40*sec, func() bool { return w.operator.Accepted == yes+6 })
	c.Assert(w.leader(), qt.Equals, leader)
	c.Assert(w.ProtectionCounts["core step down"], qt.Equals, stepped)
	for _, m := range w.core() {
		m.disk.slowness = 0
	}
	w.Run(5 * sec)
	finish(c, w)
}

// Storm seeds 107, 118 and 232: each member that joined empty held only what came
// since, so the last copy of an older configuration went with the last old disk.
func TestTheHistoryOutlivesDisksLostOneAfterAnother(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := openWorld(c, "cronometro", 46)
	for range 4 {
		w.acknowledge(c, "a yes", 8*sec)
	}
	for _, victim := range w.core() {
		w.loseDisk(victim)
		w.Run(500 * ms)
		victim.boot()
		w.await(c, "the emptied member votes again", 25*sec, func() bool { return w.votes(victim) && len(w.newest().Voters) == 3 })
	}
	// Every disk is a new one by now; all five configurations have to be read back.
	review := finish(c, w)
	c.Assert(len(review.Violations), qt.Equals, 0)
	read := 0
	for _, event := range w.events {
		if event.EventKind == checker.ConfigRead {
			read++
		}
	}
	c.Assert(read, qt.Equals, 6) // the first, four here, and the one that finish puts
}
