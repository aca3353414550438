package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/kernel"
)

// steadyFleet returns a fleet of voters and routers with a configuration in force and two engines that send heartbeats.
func steadyFleet(c *qt.C, seed uint64, nodes int) *fleet {
	f := newStableFleet(c, seed, 4, nodes, firstHaveFolders(4))
	f.awaitVoters(3*kernel.Second, f.nodes[:4]...)
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
	for i, id := range []string{"e1", "e2"} {
		f.register(f.nodes[i], uint64(i+1), engineAt(id, fmt.Sprintf("z%d", i+1), 1))
	}
	f.await("the engines everywhere", 4*kernel.Second, func() bool {
		return f.allRecordsMatch("e1", registry.EngineRecord.HasHeartbeat) && f.allRecordsMatch("e2", registry.EngineRecord.HasHeartbeat)
	})
	f.advance(kernel.Second)
	return f
}

// loseAllPower kills all nodes and clears their bootstrap setting for the next start.
func (f *fleet) loseAllPower() {
	for _, n := range f.nodes {
		n.kill()
		n.bootstrap = false
	}
}

// recovery holds the times from the start of a fleet's processes until there was a leader (elected), and until every
// node had the configuration (documents), both engines (engines) and the newest committed revision (newest). A zero
// time means that it took more than 6 s.
type recovery struct{ elected, documents, engines, newest kernel.Micros }

// recover starts all nodes within 100 ms, checks the fleet every millisecond, and returns how long it took to recover.
func (f *fleet) recover() recovery {
	f.c.Helper()
	begun, took := f.now, recovery{}
	f.bootAll(100 * ms)
	first := func(at *kernel.Micros, isMet func() bool) {
		if *at == 0 && isMet() {
			*at = max(f.now-begun, 1)
		}
	}
	all := func(isMet func(n *fleetNode) bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return !n.isUp || !isMet(n) })
		}
	}
	for took.elected == 0 || took.documents == 0 || took.newest == 0 || took.engines == 0 {
		f.advance(ms)
		first(&took.elected, func() bool { return f.leader() != nil })
		first(&took.documents, all(func(n *fleetNode) bool { return n.inForce() != nil && n.inForce().ConfigVersion == 1 }))
		first(&took.engines, all(func(n *fleetNode) bool { return n.engine("e1").HasHeartbeat() && n.engine("e2").HasHeartbeat() }))
		first(&took.newest, func() bool {
			lead := f.leader()
			return lead != nil && lead.node.core.committed != nil &&
				all(func(n *fleetNode) bool {
					return n.inForce() != nil && n.inForce().Revision >= lead.node.core.committed.Revision
				})()
		})
		if f.now-begun > 6*kernel.Second {
			break
		}
	}
	return took
}

// logDurations logs the median and the maximum of some spans.
func logDurations(c *qt.C, what string, spans []kernel.Micros) {
	slices.Sort(spans)
	c.Logf("%s: median %d ms, most %d ms of %d", what, spans[len(spans)/2]/ms, spans[len(spans)-1]/ms, len(spans))
}

func TestAWholeFleetThatLostPowerIsBackAtOnce(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{9, 12} {
		c := qt.New(t)
		var elected, documents, engines, newest []kernel.Micros
		for seed := range uint64(20) {
			f := steadyFleet(c, seed, nodes)
			f.loseAllPower()
			f.advance(800 * ms)
			took := f.recover()
			elected, documents = append(elected, took.elected), append(documents, took.documents)
			engines, newest = append(engines, took.engines), append(newest, took.newest)
			for _, span := range []kernel.Micros{took.documents, took.engines} {
				c.Assert(span > 0 && span <= 250*ms, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, took))
			}
			for _, span := range []kernel.Micros{took.elected, took.newest} {
				c.Assert(span > 0 && span <= 500*ms, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, took))
			}
		}
		logDurations(c, fmt.Sprintf("%d nodes, to a leader", nodes), elected)
		logDurations(c, fmt.Sprintf("%d nodes, to a configuration on the last router", nodes), documents)
		logDurations(c, fmt.Sprintf("%d nodes, to the engines on the last router", nodes), engines)
		logDurations(c, fmt.Sprintf("%d nodes, to the newest committed revision on the last router", nodes), newest)
	}
}

// snapshotDocument returns the document in the snapshot on a node's disk.
func (n *fleetNode) snapshotDocument() *cluster.Document {
	var found storage.Snapshot
	n.f.c.Assert(json.Unmarshal(n.snapshot, &found), qt.IsNil)
	return found.Document
}

func TestARestartedVoterUnseatsNoLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := qt.New(t)
		f := steadyFleet(c, seed, 9)
		lead := f.leader()
		term := lead.node.core.term
		for _, n := range f.nodes[:4] {
			if n == lead {
				continue
			}
			n.kill()
			f.advance(100*ms + kernel.Micros(f.random.Int64N(int64(kernel.Second))))
			n.boot()
			f.advance(1500 * ms)
			c.Assert(f.leader(), qt.Equals, lead)
			c.Assert(lead.node.core.term, qt.Equals, term)
		}
	}
}

// An uncommitted document that only the leader holds must not be restored from the leader's snapshot.
func TestASnapshotHoldsOnlyWhatWasCommitted(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := qt.New(t)
		f := steadyFleet(c, seed, 9)
		lead := f.leader()
		for _, n := range f.nodes {
			if n != lead {
				lead.cut[n.identity.Address] = true
			}
		}
		lead.submit("lost", 1, configOf(2, "lost"))
		f.await("the leader alone to hold it", kernel.Second, func() bool { return lead.document.ConfigVersion == 2 })
		// This is long enough for the leader to write a snapshot, and too short for it to step down.
		f.advance(550 * ms)
		c.Assert(lead.snapshotDocument().ConfigVersion, qt.Equals, uint64(1))
		lead.kill()
		f.acknowledge("won", 1, configOf(2, "won"), 4*kernel.Second, f.nodes[5], f.nodes[6])
		// It starts without a link to any node, and serves the configuration that was committed before.
		lead.boot()
		f.advance(kernel.Second)
		c.Assert(string(lead.inForce().Config), qt.Equals, string(configOf(1, "a")))
		c.Assert(lead.node.State(nil).LeaseExpiresAt, qt.Equals, cluster.ServeWithoutLimit)
		lead.cut = map[string]bool{}
		f.await("the committed configuration is applied", 2*kernel.Second, func() bool { return string(lead.inForce().Config) == string(configOf(2, "won")) })
		f.loseAllPower()
		f.recover()
		for _, n := range f.nodes {
			c.Assert(string(n.inForce().Config), qt.Equals, string(configOf(2, "won")))
		}
	}
}

func TestAWipedDiskIsRestoredFromPeers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		c := qt.New(t)
		f := steadyFleet(c, seed, 9)
		f.loseAllPower()
		f.nodes[seed%4].wipe()
		f.advance(800 * ms)
		took := f.recover()
		c.Assert(took.documents > 0 && took.documents <= 250*ms, qt.IsTrue, qt.Commentf("%+v", took))
		c.Assert(took.engines > 0 && took.engines <= 250*ms, qt.IsTrue, qt.Commentf("%+v", took))
		f.awaitVoters(4*kernel.Second, f.nodes[:4]...)
	}
}

func TestARestartedRouterNeedsNoLeader(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 3 * startupMaxConfigBytes} {
		c := qt.New(t)
		f := steadyFleet(c, 3, 9)
		f.acknowledge("two", 1, configOf(2, string(slices.Repeat([]byte("x"), size))), 4*kernel.Second, f.nodes[5])
		router, seq := f.nodes[7], uint64(10)
		restart := func(what string) {
			router.kill()
			f.advance(300 * ms)
			router.boot()
			took := f.await("the configuration and the engines again", 250*ms, func() bool {
				return router.inForce() != nil && router.inForce().ConfigVersion == 2 && router.engine("e1").HasHeartbeat() && router.engine("e2").HasHeartbeat()
			})
			c.Logf("%s, a configuration of %d bytes: after %d ms", what, size, took/ms)
		}
		restart("with a leader")
		for _, n := range f.nodes[1:4] {
			n.kill()
		}
		for range 6 {
			for i, id := range []string{"e1", "e2"} {
				seq++
				f.register(f.nodes[0], 10*seq+uint64(i), engineAt(id, fmt.Sprintf("z%d", i+1), seq))
			}
			f.advance(kernel.Second / 2)
		}
		c.Assert(f.leader(), qt.IsNil)
		restart("without a leader")
	}
}

func TestEnginesOfASnapshotAreNotAssumedAlive(t *testing.T) {
	c := qt.New(t)
	f := steadyFleet(c, 5, 9)
	f.loseAllPower()
	f.recover()
	// Engine e1 sends heartbeats again, and e2 ended when the power failed.
	for seq := uint64(2); seq < 12; seq++ {
		f.register(f.nodes[0], 100+seq, engineAt("e1", "z1", seq))
		f.advance(kernel.Second)
	}
	c.Assert(f.allRecordsMatch("e1", registry.EngineRecord.HasHeartbeat), qt.IsTrue)
	c.Assert(f.allRecordsMatch("e2", func(e registry.EngineRecord) bool { return e.IsUnresponsive }), qt.IsTrue)
}

func TestUnderStrictLeasesThereIsNoSnapshot(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 3, 6, firstHaveFolders(3))
	f.adapt = func(settings *NodeSettings) { settings.IsBootstrap = false }
	f.bootAll(200 * ms)
	f.awaitStable(6 * kernel.Second)
	f.advance(2 * kernel.Second)
	document := f.nodes[0].inForce()
	for _, n := range f.nodes {
		c.Assert(n.snapshot, qt.IsNil)
	}
	content, err := json.Marshal(&storage.Snapshot{Format: storage.SnapshotFormat, Document: document})
	c.Assert(err, qt.IsNil)
	f.loseAllPower()
	f.nodes[0].snapshot = content
	f.nodes[0].boot()
	f.advance(kernel.Second)
	c.Assert(f.nodes[0].inForce(), qt.IsNil)
	c.Assert(f.sentMessages["Hello"], qt.Equals, 0)
}

func TestARestartUnderALowerNumberIsTheLaterIncarnation(t *testing.T) {
	c := qt.New(t)
	f := steadyFleet(c, 4, 9)
	for _, n := range []*fleetNode{f.nodes[7], f.nodes[1]} {
		n.do(func() []commands.Command { return n.node.Leave(f.now) })
		record := func(at *fleetNode) registry.NodeRecord {
			found, _ := at.node.directory.Node(n.identity.Address)
			return found
		}
		all := func(isMet func(registry.NodeRecord) bool) func() bool {
			return func() bool {
				return !slices.ContainsFunc(f.nodes, func(at *fleetNode) bool { return at != n && !isMet(record(at)) })
			}
		}
		f.await("all nodes know that it is leaving", 4*kernel.Second, all(func(r registry.NodeRecord) bool { return r.IsLeaving }))
		n.kill()
		f.advance(300 * ms)
		f.lastStart -= 900
		n.boot()
		took := f.await("all nodes know that it is back", 4*kernel.Second, all(func(r registry.NodeRecord) bool { return !r.IsLeaving }))
		c.Logf("known after %d ms", took/ms)
		c.Assert(record(n).IsLeaving, qt.IsFalse)
	}
}

// Every node keeps the same record, in whatever order the records arrive.
func TestRecordsOfTwoIncarnationsOfANodeMergeToTheLater(t *testing.T) {
	c := qt.New(t)
	timing := cluster.DefaultTiming()
	now := 100 * kernel.Second
	nodeRecord := func(start, seq uint64, age kernel.Micros) registry.NodeRecord {
		return registry.NodeRecord{Address: "n", Zone: "z", Start: start, Seq: seq, UpdatedAt: now - age}
	}
	for _, each := range []struct {
		what   string
		a, b   registry.NodeRecord
		winner uint64
	}{
		{"the larger start number is the later incarnation", nodeRecord(9, 1, 0), nodeRecord(5, 40, 0), 9},
		{"so it is if the other record arrives late", nodeRecord(9, 1, timing.NodeTimeout()/2), nodeRecord(5, 40, 0), 9},
		{"the larger start number timed out before the other reported", nodeRecord(9, 40, timing.NodeTimeout()+1), nodeRecord(5, 1, 0), 5},
	} {
		for _, order := range [][]registry.NodeRecord{{each.a, each.b}, {each.b, each.a}, {each.b, each.a, each.b, each.a}} {
			directory := registry.NewDirectory("i", timing, func(decision.Subject, decision.Decision, string) {})
			for _, record := range order {
				directory.MergeNode(now, record, false)
			}
			kept, _ := directory.Node("n")
			c.Assert(kept.Start, qt.Equals, each.winner, qt.Commentf("%s", each.what))
		}
	}
}

func TestAFullDiskAcknowledgesNothingAndServes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := steadyFleet(c, seed, 9)
		lead := f.leader()
		full := []*fleetNode{}
		for _, n := range f.nodes[:4] {
			if n != lead && len(full) < 2 {
				n.isFull = true
				full = append(full, n)
			}
		}
		// The other two of the four voters are no majority.
		f.nodes[6].submit("two", 1, configOf(2, "b"))
		f.advance(3 * kernel.Second)
		_, hasReply := f.replies["two"]
		c.Assert(hasReply && f.replies["two"].Outcome == cluster.Accepted, qt.IsFalse)
		for _, n := range full {
			c.Assert(n.document.ConfigVersion, qt.Equals, uint64(1))
			c.Assert(n.inForce().ConfigVersion, qt.Equals, uint64(1))
			c.Assert(n.state().LeaseExpiresAt, qt.Equals, cluster.ServeWithoutLimit)
		}
		full[0].isFull = false
		f.await("all nodes apply it", 6*kernel.Second, func() bool {
			return !slices.ContainsFunc(f.nodes, func(n *fleetNode) bool { return n.inForce().ConfigVersion != 2 })
		})
		// The voter whose disk is still full has applied the configuration and has not saved it.
		c.Assert(full[1].document.ConfigVersion, qt.Equals, uint64(1))
		c.Assert(full[1].snapshotDocument().ConfigVersion, qt.Equals, uint64(1))
		full[1].isFull = false
		f.await("it is saved", 8*kernel.Second, func() bool {
			return full[1].snapshotDocument().ConfigVersion == 2 && full[1].document.ConfigVersion == 2
		})
	}
}
