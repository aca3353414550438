package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/kernel"
)

// Bounds of a large deployment, which the fleets of this file have to meet.
const (
	deployedAckTimeout     = 6 * kernel.Second // within which an engine that leaves has to be answered
	deployedContactTimeout = 5 * kernel.Second
	deployedDrainTimeout   = 3 * kernel.Second
)

// deploymentSettings applies the settings of a large deployment.
func deploymentSettings(settings *NodeSettings) {
	platformSettings(settings)
	settings.DrainTimeout, settings.ContactTimeout = deployedDrainTimeout, deployedContactTimeout
}

// newDeployedFleet returns a stable fleet of four nodes in each of three zones, all of them in contact.
func newDeployedFleet(c *qt.C, seed uint64) *fleet {
	return newBoundedFleet(c, seed, deployedAckTimeout)
}

// newBoundedFleet is newDeployedFleet with ackTimeout as the time within which a leaving engine has to be answered.
func newBoundedFleet(c *qt.C, seed uint64, ackTimeout kernel.Micros) *fleet {
	f := newFleet(c, seed, 3, 12, firstHaveFolders(3))
	f.adapt = func(settings *NodeSettings) {
		deploymentSettings(settings)
		settings.EndConfirmationTimeout = ackTimeout/2 - 250*ms
	}
	f.bootAll(500 * ms)
	f.awaitStable(6 * kernel.Second)
	f.advance(deployedContactTimeout)
	return f
}

// leavingEngine is an engine that announces that it leaves, to one node after another until one acknowledges it.
type leavingEngine struct {
	*fleet
	id, zone      string
	address       string
	nextNode      int    // index of the next node to call
	announcements uint64 // number of announcements so far
	isLeaving     bool
	leftAt        kernel.Micros
	confirmedAt   kernel.Micros // zero: no node has acknowledged that it leaves
}

// joinEngine registers an engine. When it leaves, it calls the nodes in order, from nextNode on.
func (f *fleet) joinEngine(number int, zone string, nextNode int) *leavingEngine {
	e := &leavingEngine{fleet: f, id: fmt.Sprint("e", number), zone: zone, nextNode: nextNode, address: fmt.Sprintf("10.9.1.%d:80", number)}
	e.heartbeat()
	return e
}

// heartbeat sends a heartbeat of the engine once a second to a node that is not late, until the engine leaves.
func (e *leavingEngine) heartbeat() {
	if e.isLeaving {
		return
	}
	e.announce(e.nodes[0])
	e.schedule(heartbeatInterval, e.heartbeat)
}

// announce sends an announcement of the engine to a node, and returns the token of the call.
func (e *leavingEngine) announce(at *fleetNode) uint64 {
	e.announcements++
	e.lastStart++
	token, record := e.lastStart<<20, engineAt(e.id, e.zone, e.announcements)
	record.Address, record.IsDraining = e.address, e.isLeaving
	if at.isUp {
		e.register(at, token, record)
	}
	return token
}

// leave calls the next node, and another one if that node does not acknowledge within heartbeatInterval.
func (e *leavingEngine) leave() {
	if !e.isLeaving {
		e.isLeaving, e.leftAt = true, e.now
	}
	token := e.announce(e.nodes[e.nextNode%len(e.nodes)])
	e.nextNode++
	e.awaitAnswer(token, e.now)
}

func (e *leavingEngine) awaitAnswer(token uint64, calledAt kernel.Micros) {
	answer, isAnswered := e.registerReplies[token]
	switch {
	case isAnswered && answer.Err == nil:
		e.confirmedAt = e.now
	case e.now-calledAt >= heartbeatInterval:
		e.leave()
	default:
		e.schedule(10*ms, func() { e.awaitAnswer(token, calledAt) })
	}
}

// trustsEngines reports whether a node's view of the engines is new enough to route requests by. The limit is as of the
// node's last event.
func (n *fleetNode) trustsEngines() bool {
	until := n.node.EnginesTrustedUntil()
	return until == 0 || n.f.now < until
}

// checkLeaving advances the clock and checks periodically that no node lists an engine for longer than
// deployedDrainTimeout after the engine's end was confirmed. A node that does not trust its view counts too.
// checkLeaving returns the longest time for which an engine was listed after its end was confirmed.
func (f *fleet) checkLeaving(span kernel.Micros, engines []*leavingEngine, note string) kernel.Micros {
	longest := kernel.Micros(0)
	for end := f.now + span; f.now < end; {
		f.advance(20 * ms)
		for _, e := range engines {
			if e.confirmedAt == 0 {
				continue
			}
			for _, n := range f.nodes {
				if n.isUp && n.isUsable(e.id) {
					longest = max(longest, f.now-e.confirmedAt)
				}
			}
		}
	}
	f.c.Check(longest <= deployedDrainTimeout, qt.IsTrue, qt.Commentf("%s: listed until %d ms after its end was confirmed", note, longest/ms))
	return longest
}

// lateNodes returns the coordinator of a zone, and another node of it without a folder.
func (f *fleet) lateNodes(zone string) (coordinator, router *fleetNode) {
	f.c.Helper()
	coordinator = f.byAddress(f.leader().state().Document.Coordinators[zone])
	for _, n := range nodesInZone(f, zone) {
		if n != coordinator && !n.hasFolder {
			router = n
		}
	}
	f.c.Assert(coordinator != nil && router != nil, qt.IsTrue)
	return coordinator, router
}

// The processor of a node or of a zone's coordinator is overloaded: it handles every message seconds late, but no link
// is cut and no message is lost. The zone's routers still have to stop using engines whose end was confirmed elsewhere.
func TestALaggingZoneUsesNoEngineWhoseEndWasConfirmed(t *testing.T) {
	t.Parallel()
	const lag, longLag = 4 * kernel.Second, 5 * kernel.Second
	for name, slowDown := range map[string]func(coordinator, router *fleetNode){
		"a node":                            func(_, router *fleetNode) { router.lag = lag },
		"a coordinator":                     func(coordinator, _ *fleetNode) { coordinator.lag = lag },
		"a coordinator and a node":          func(coordinator, router *fleetNode) { coordinator.lag, router.lag = lag, lag },
		"a coordinator and a node, by more": func(coordinator, router *fleetNode) { coordinator.lag, router.lag = longLag, longLag },
		// Its timers are late too, so its coordinator rarely hears from it.
		"a node with its timers":          func(_, router *fleetNode) { router.lag, router.tickPause = lag, 2200*ms },
		"a node that is late after 7.5 s": func(_, router *fleetNode) { router.f.schedule(7500*ms, func() { router.lag = lag }) },
		// A coordinator that has just started knows no node of its zone yet.
		"a node whose coordinator has just started": func(coordinator, router *fleetNode) {
			router.lag = lag
			router.f.schedule(7700*ms, coordinator.kill)
			router.f.schedule(7900*ms, coordinator.boot)
		},
	} {
		longest, latest := kernel.Micros(0), kernel.Micros(0)
		for seed := range uint64(6) {
			c := qt.New(t)
			f := newDeployedFleet(c, seed)
			engines := []*leavingEngine{}
			for i := range 3 {
				engines = append(engines, f.joinEngine(i, fmt.Sprint("z", i+1), int(seed)+5*i))
			}
			slowDown(f.lateNodes("z3"))
			f.advance(8 * kernel.Second)
			for i, e := range engines {
				f.schedule(kernel.Micros(i)*700*ms, e.leave)
			}
			longest = max(longest, f.checkLeaving(14*kernel.Second, engines, fmt.Sprintf("%s, seed %d", name, seed)))
			for _, e := range engines {
				c.Check(e.confirmedAt != 0, qt.IsTrue, qt.Commentf("%s, seed %d: the end of %s was never confirmed", name, seed, e.id))
				latest = max(latest, e.confirmedAt-e.leftAt)
			}
		}
		t.Logf("%s: listed until %d ms after, confirmed within %d ms", name, longest/ms, latest/ms)
	}
}

// measureUse advances the clock. It returns two durations, both counted from the confirmation of the engine's end:
// until no node listed the engine any more, and until no node listed it and also trusted its view.
func (e *leavingEngine) measureUse(span kernel.Micros) (listed, used kernel.Micros) {
	for end := e.now + span; e.now < end; {
		e.advance(20 * ms)
		for _, n := range e.nodes {
			if e.confirmedAt == 0 || !n.isUsable(e.id) {
				continue
			}
			listed = max(listed, e.now-e.confirmedAt)
			if n.trustsEngines() {
				used = max(used, e.now-e.confirmedAt)
			}
		}
	}
	return listed, used
}

// A node, or the coordinator of its zone, lags by more than the time that a confirmation can wait for it. The node has
// to know that its view of the engines is too old to route requests by.
func TestANodeThatIsLateByFarTrustsNoOldViewOfTheEngines(t *testing.T) {
	t.Parallel()
	const lag = 12 * kernel.Second
	for name, slowDown := range map[string]func(coordinator, router *fleetNode){
		"a node":                   func(_, router *fleetNode) { router.lag = lag },
		"a coordinator":            func(coordinator, _ *fleetNode) { coordinator.lag = lag },
		"a coordinator and a node": func(coordinator, router *fleetNode) { coordinator.lag, router.lag = lag, lag },
	} {
		longest, listed := kernel.Micros(0), kernel.Micros(0)
		for seed := range uint64(6) {
			c := qt.New(t)
			f := newDeployedFleet(c, seed)
			e := f.joinEngine(1, "z1", int(seed))
			slowDown(f.lateNodes("z3"))
			// Wait until the late nodes handle answers to requests that they sent while they were already late.
			f.advance(2*lag + deployedContactTimeout)
			e.leave()
			listedUntil, usedUntil := e.measureUse(18 * kernel.Second)
			listed, longest = max(listed, listedUntil), max(longest, usedUntil)
			c.Check(e.confirmedAt != 0, qt.IsTrue, qt.Commentf("%s, seed %d: the end was never confirmed", name, seed))
		}
		qt.Check(t, longest <= deployedDrainTimeout, qt.IsTrue, qt.Commentf("%s: used until %d ms after its end was confirmed", name, longest/ms))
		t.Logf("%s: listed until %d ms after its end was confirmed, used until %d ms", name, listed/ms, longest/ms)
	}
}

// A zone's coordinator and the other zones exchange no records of engines and nodes, although the coordinator and its
// zone still hear from the leader. The other zones therefore do not know whether the zone's nodes run. These nodes have
// to stop using the engine all the same.
func TestAZoneWithoutNewRecordsIsWaitedFor(t *testing.T) {
	t.Parallel()
	// The second silence is longer than a node's record is kept.
	for _, silence := range []kernel.Micros{6 * kernel.Second, 14 * kernel.Second} {
		checkUnreportedZone(t, silence)
	}
}

func checkUnreportedZone(t *testing.T, silence kernel.Micros) {
	t.Helper()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newDeployedFleet(c, seed)
		e := f.joinEngine(1, "z1", 3)
		coordinator, _ := f.lateNodes("z3")
		f.executor = func(n *fleetNode, command commands.Command) bool {
			out, isOutgoing := command.(Outgoing)
			if !isOutgoing {
				return false
			}
			to, m := f.byAddress(out.Envelope.To), out.Envelope.Message
			isBetweenZones := to != nil && (n == coordinator || to == coordinator) && n.identity.Zone != to.identity.Zone
			return isBetweenZones && (m.DirectoryUpdate != nil || m.AntiEntropy != nil || m.Push != nil || m.PushResponse != nil)
		}
		f.advance(silence)
		e.leave()
		longest := f.checkLeaving(12*kernel.Second, []*leavingEngine{e}, fmt.Sprint("seed ", seed))
		c.Check(e.confirmedAt != 0 && e.confirmedAt-e.leftAt <= deployedAckTimeout, qt.IsTrue)
		c.Check(longest, qt.Equals, kernel.Micros(0), qt.Commentf("seed %d: the zone's nodes are reached without their coordinator", seed))
		t.Logf("seed %d: listed until %d ms after, confirmed after %d ms", seed, longest/ms, (e.confirmedAt-e.leftAt)/ms)
	}
}

// Some nodes have just been killed, and no other node can know it yet. The confirmation of an engine's end must not
// take longer than its timeout because of them.
func TestAnEndIsConfirmedInTimeBesideFreshlyKilledNodes(t *testing.T) {
	t.Parallel()
	for name, kill := range map[string]func(f *fleet){
		"a router of each zone": func(f *fleet) {
			for _, zone := range []string{"z1", "z2", "z3"} {
				_, router := f.lateNodes(zone)
				router.kill()
			}
		},
		"a coordinator": func(f *fleet) {
			coordinator, _ := f.lateNodes("z2")
			coordinator.kill()
		},
		"a coordinator and a router": func(f *fleet) {
			coordinator, router := f.lateNodes("z2")
			coordinator.kill()
			router.kill()
		},
	} {
		for _, ackTimeout := range []kernel.Micros{4 * kernel.Second, deployedAckTimeout} {
			latest := kernel.Micros(0)
			for seed := range uint64(6) {
				c := qt.New(t)
				f := newBoundedFleet(c, seed, ackTimeout)
				e := f.joinEngine(1, "z1", int(seed))
				f.advance(kernel.Second)
				kill(f)
				e.leave()
				f.checkLeaving(8*kernel.Second, []*leavingEngine{e}, fmt.Sprintf("%s, seed %d", name, seed))
				took := e.confirmedAt - e.leftAt
				c.Check(e.confirmedAt != 0 && took <= ackTimeout, qt.IsTrue, qt.Commentf("%s, seed %d: confirmed after %d ms, %d ms allowed", name, seed, took/ms, ackTimeout/ms))
				latest = max(latest, took)
			}
			t.Logf("%s: confirmed within %d ms, %d ms allowed", name, latest/ms, ackTimeout/ms)
		}
	}
}

// Many engines of a zone whose coordinator is late leave one after another, and all are answered in time.
func TestManyEnginesLeaveAZoneWhoseCoordinatorIsLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		c := qt.New(t)
		f := newDeployedFleet(c, seed)
		coordinator, _ := f.lateNodes("z3")
		engines := []*leavingEngine{}
		for i := range 40 {
			engines = append(engines, f.joinEngine(i, "z3", int(seed)+i))
		}
		f.advance(kernel.Second)
		coordinator.lag = 3 * kernel.Second
		f.advance(8 * kernel.Second)
		for i, e := range engines {
			f.schedule(kernel.Micros(i)*80*ms, e.leave)
		}
		longest := f.checkLeaving(14*kernel.Second, engines, fmt.Sprint("seed ", seed))
		latest := kernel.Micros(0)
		for _, e := range engines {
			c.Check(e.confirmedAt != 0 && e.confirmedAt-e.leftAt <= deployedAckTimeout, qt.IsTrue, qt.Commentf("seed %d, %s: confirmed after %d ms", seed, e.id, (e.confirmedAt-e.leftAt)/ms))
			latest = max(latest, e.confirmedAt-e.leftAt)
		}
		t.Logf("seed %d: listed until %d ms after, confirmed within %d ms, %d pushes", seed, longest/ms, latest/ms, f.sentMessages["Push"])
	}
}
