package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

const (
	endedEngine         = "e"
	endSeq              = 9                 // sequence number of the engine's announcement that it drains or has ended
	lateHeartbeatSpan   = 6 * kernel.Second // after a start of the fleet, within which late heartbeats arrive
	lateHeartbeatsAtAll = 5                 // after each start
	storedEndSeeds      = 8                 // of each case
)

// fleetStop is a stop of all processes of a fleet.
type fleetStop struct {
	after    kernel.Micros // since the last start of the fleet or, for the first stop, since the confirmation of the end
	downSpan kernel.Micros
}

// endCase is one case of TestALateHeartbeatDoesNotUndoAConfirmedEnd.
type endCase struct {
	name         string
	isRemoval    bool // the engine announces its end, not that it drains
	stops        []fleetStop
	prepareFleet func(f *fleet) // before the engine announces its end
	// The members are the voters in random order, and then the others with a disk.
	prepare func(members []*fleetNode) // before the engine announces its end
	atStop  func(members []*fleetNode) // while no process runs
}

// confirmEnd has the engine announce its end at the nodes in turn until one confirms it.
func (f *fleet) confirmEnd(isRemoval bool) {
	f.c.Helper()
	ending := drainingEngine(endSeq)
	if isRemoval {
		ending = registry.EngineRecord{ID: endedEngine, Seq: endSeq, IsUnlisted: true, IsDraining: true}
	}
	for attempt := range 8 {
		f.lastStart++
		token, at := f.lastStart<<20, f.nodes[f.random.IntN(len(f.nodes))]
		f.register(at, token, ending)
		f.await(fmt.Sprint("the answer to attempt ", attempt), kernel.Second, func() bool { return f.registerReplies[token].Token == token })
		if f.registerReplies[token].Err == nil {
			return
		}
	}
	f.c.Fatal("the end was not confirmed")
}

// sendLateHeartbeats delivers heartbeats that the engine sent before its end, at random nodes and times.
func (f *fleet) sendLateHeartbeats() {
	for seq := range uint64(lateHeartbeatsAtAll) {
		f.schedule(kernel.Micros(f.random.Int64N(int64(lateHeartbeatSpan))), func() {
			if at := f.nodes[f.random.IntN(len(f.nodes))]; at.isUp {
				f.register(at, 1<<40+seq, engineAt(endedEngine, "z1", 2+seq))
			}
		})
	}
}

// stopAll kills all processes and starts them again after a pause.
func (f *fleet) stopAll(downSpan kernel.Micros, whileDown func()) {
	for _, n := range f.nodes {
		n.kill()
	}
	if whileDown != nil {
		whileDown()
	}
	f.advance(downSpan)
	f.bootAll(100 * ms)
}

// Guards against an end that was confirmed, then forgotten in a stop of all processes, and undone by a heartbeat that
// the engine had sent before it.
func TestALateHeartbeatDoesNotUndoAConfirmedEnd(t *testing.T) {
	t.Parallel()
	atOnce := []fleetStop{{downSpan: 600 * ms}}
	slowDisks := func(members []*fleetNode) {
		for _, n := range members {
			n.diskSlowdown = 60
		}
	}
	fillDisk := func(members []*fleetNode) { members[0].isFull = true }
	loseDisk := func(members []*fleetNode) { members[1].wipe() }
	for _, each := range []endCase{
		{name: "drain", stops: atOnce},
		{name: "removal", isRemoval: true, stops: atOnce},
		{name: "some milliseconds later", isRemoval: true, stops: []fleetStop{{after: 40 * ms, downSpan: 600 * ms}}},
		{name: "a third of a second later", stops: []fleetStop{{after: 300 * ms, downSpan: 300 * ms}}},
		{name: "long stop", isRemoval: true, stops: []fleetStop{{downSpan: 20 * kernel.Second}}},
		{name: "two stops", stops: []fleetStop{{downSpan: 600 * ms}, {after: 150 * ms, downSpan: 600 * ms}}},
		{name: "three stops", isRemoval: true, stops: []fleetStop{{downSpan: 300 * ms}, {after: 110 * ms, downSpan: 200 * ms}, {after: 700 * ms, downSpan: 900 * ms}}},
		{name: "slow disk of a voter", isRemoval: true, stops: atOnce, prepare: func(members []*fleetNode) { slowDisks(members[:1]) }},
		{name: "slow disks", stops: atOnce, prepare: slowDisks},
		{name: "full disk of a voter", stops: atOnce, prepare: fillDisk},
		{name: "lost disk of a voter", isRemoval: true, stops: atOnce, atStop: loseDisk},
		{name: "one disk left", stops: atOnce, prepare: fillDisk, atStop: loseDisk},
		{name: "lost messages", stops: atOnce, prepareFleet: func(f *fleet) { f.faultPercent = 5 }},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(storedEndSeeds) {
				each.check(qt.New(t), seed)
			}
		})
	}
}

// check plays the case: no node that has been up for contactSpan may use the engine again.
func (e endCase) check(c *qt.C, seed uint64) {
	f := steadyCore(c, seed)
	f.operateEngine("2", "z2", f.now+90*kernel.Second)
	f.register(f.nodes[4], 1, engineAt(endedEngine, "z1", 1))
	f.advance(2 * kernel.Second)
	c.Assert(f.countUsable(endedEngine), qt.Equals, len(f.nodes))
	members := f.voters()
	f.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, n := range f.nodes {
		if n.hasFolder && !slices.Contains(members, n) {
			members = append(members, n)
		}
	}
	if e.prepare != nil {
		e.prepare(members)
	}
	if e.prepareFleet != nil {
		e.prepareFleet(f)
	}
	f.confirmEnd(e.isRemoval)
	for _, stop := range e.stops {
		f.advance(stop.after)
		f.stopAll(stop.downSpan, func() {
			if e.atStop != nil {
				e.atStop(members)
			}
		})
		f.sendLateHeartbeats()
	}
	f.advance(100*ms + contactSpan)
	for range 80 {
		c.Assert(f.countUsable(endedEngine), qt.Equals, 0, qt.Commentf("seed %d", seed))
		f.advance(100 * ms)
	}
	c.Assert(f.countUsable("2"), qt.Equals, len(f.nodes), qt.Commentf("seed %d", seed))
}

// voters returns the nodes that vote.
func (f *fleet) voters() []*fleetNode {
	found := []*fleetNode{}
	for _, address := range f.leader().node.core.committed.VoterAddresses() {
		found = append(found, f.byAddress(address))
	}
	return found
}

// leaveTogether has a number of engines announce at random nodes within a span that they drain, and returns how long the
// longest answer took and how many of the drains were not confirmed.
func (f *fleet) leaveTogether(count int, within kernel.Micros) (longest kernel.Micros, unconfirmed int) {
	f.c.Helper()
	engine := func(i int, seq uint64) registry.EngineRecord {
		record := engineAt(fmt.Sprint("leaving-", i), fmt.Sprint("z", i%3+1), seq)
		record.Address = fmt.Sprintf("10.8.0.%d:80", i)
		return record
	}
	for i := range count {
		f.register(f.nodes[i%len(f.nodes)], 1<<30+uint64(i), engine(i, 1))
	}
	f.advance(2 * kernel.Second)
	startedAt := map[uint64]kernel.Micros{}
	for i := range count {
		f.schedule(kernel.Micros(f.random.Int64N(int64(within)+1)), func() {
			token, ending := 1<<31+uint64(i), engine(i, 2)
			ending.IsDraining = true
			startedAt[token] = f.now
			f.register(f.nodes[f.random.IntN(len(f.nodes))], token, ending)
		})
	}
	answered := map[uint64]bool{}
	f.await("all answers", 2*kernel.Second, func() bool {
		for token, at := range startedAt {
			reply, isThere := f.registerReplies[token]
			if !isThere || answered[token] {
				continue
			}
			answered[token] = true
			longest = max(longest, f.now-at)
			if reply.Err != nil {
				unconfirmed++
			}
		}
		return len(answered) == count
	})
	return longest, unconfirmed
}

// leaveCase is one case of TestAnEndWaitsForTheDisksOfAMajority.
type leaveCase struct {
	name           string
	engines        int
	slowBy         kernel.Micros // factor by which the writes of the troubled disks are slower; zero: they fail
	troubledVoters int           // voters with a disk in trouble
	longest        kernel.Micros // limit of an answer's time
	writes         int           // limit of the writes of a node; zero: none
	isUnconfirmed  bool
}

// What a confirmation costs: it waits for the disks of a majority of the voters, and engines that leave together share
// writes.
func TestAnEndWaitsForTheDisksOfAMajority(t *testing.T) {
	t.Parallel()
	for _, each := range []leaveCase{
		{name: "one engine", engines: 1, longest: 60 * ms, writes: 1},
		{name: "100 engines", engines: 100, longest: 60 * ms, writes: 20},
		{name: "one slow disk", engines: 20, slowBy: 100, troubledVoters: 1, longest: 60 * ms},
		{name: "one full disk", engines: 20, troubledVoters: 1, longest: 60 * ms},
		{name: "all disks slow", engines: 20, slowBy: 30, troubledVoters: 3, longest: 450 * ms},
		{name: "two disks full", engines: 5, troubledVoters: 2, longest: 950 * ms, isUnconfirmed: true},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				each.check(qt.New(t), seed)
			}
		})
	}
}

func (l leaveCase) check(c *qt.C, seed uint64) {
	f := newStableFleet(c, seed, 3, 12, firstHaveFolders(3))
	f.advance(2 * kernel.Second)
	for _, n := range f.voters()[:l.troubledVoters] {
		n.diskSlowdown, n.isFull = l.slowBy, l.slowBy == 0
	}
	longest, unconfirmed := f.leaveTogether(l.engines, 10*ms)
	writes := 0
	for _, n := range f.nodes {
		writes = max(writes, n.endWrites)
	}
	c.Logf("seed %d: longest answer %d us, %d writes", seed, longest, writes)
	c.Check(longest <= l.longest, qt.IsTrue, qt.Commentf("seed %d: %d us", seed, longest))
	c.Check(l.writes == 0 || writes <= l.writes, qt.IsTrue, qt.Commentf("seed %d: %d writes", seed, writes))
	wanted := 0
	if l.isUnconfirmed {
		wanted = l.engines
	}
	c.Check(unconfirmed, qt.Equals, wanted, qt.Commentf("seed %d", seed))
}

// An end that no majority could store is confirmed once the disks work again.
func TestAnEndIsConfirmedOnceTheDisksWorkAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		f := steadyCore(c, seed)
		f.register(f.nodes[4], 1, engineAt(endedEngine, "z1", 1))
		f.advance(kernel.Second)
		voters := f.voters()
		for _, n := range voters {
			n.isFull = true
		}
		f.register(f.nodes[8], 2, drainingEngine(endSeq))
		f.await("the answer", kernel.Second, func() bool { return f.registerReplies[2].Token == 2 })
		c.Assert(f.registerReplies[2].Err, qt.ErrorAs, new(NotConfirmedError))
		// All nodes know it nevertheless.
		c.Assert(f.countUsable(endedEngine), qt.Equals, 0)
		for _, n := range voters {
			n.isFull = false
		}
		f.advance(kernel.Second)
		f.confirmEnd(false)
	}
}

// Guards against a disk that hangs and nodes that are kept for ever as waiting for it.
func TestNobodyWaitsForAHangingDiskForLong(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newStableFleet(c, 2, 3, 12, firstHaveFolders(3))
	hanging := f.voters()[1]
	hanging.diskSlowdown = 1_000_000
	_, unconfirmed := f.leaveTogether(20, 10*ms)
	c.Assert(unconfirmed, qt.Equals, 0)
	c.Assert(len(hanging.node.storedEnds.waiting) > 0, qt.IsTrue)
	f.advance(pushLifetime + 100*ms)
	c.Assert(hanging.node.storedEnds.waiting, qt.HasLen, 0)
}

// The file of ends does not grow: ends that have expired leave it.
func TestExpiredEndsLeaveTheDisk(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 1)
	f.register(f.nodes[4], 1, engineAt(endedEngine, "z1", 1))
	f.advance(kernel.Second)
	f.confirmEnd(true)
	f.advance(kernel.Second)
	stored := func(n *fleetNode) int { return len(n.openFolder(f.seeds()).Ends.Engines) }
	for _, n := range f.voters() {
		c.Assert(stored(n), qt.Equals, 1)
	}
	f.stopAll(kernel.Second, nil)
	f.advance(registry.EngineExpiry + storedEndsTrimInterval)
	for _, n := range f.voters() {
		c.Assert(stored(n), qt.Equals, 0)
	}
}

// Guards against an end that only one member has stored, whose process starts after a leader is elected, and that reaches
// the other nodes only by a comparison of digests.
func TestStoredEndsSpreadOnceTheirHolderStarts(t *testing.T) {
	t.Parallel()
	const spreadSpan = 500 * ms
	for seed := range uint64(6) {
		c := qt.New(t)
		f := newStableFleet(c, seed, 4, 24, firstHaveFolders(4))
		f.advance(3 * kernel.Second)
		f.register(f.nodes[5], 1, engineAt(endedEngine, "z1", 1))
		f.advance(kernel.Second)
		f.confirmEnd(seed%2 == 0)
		holder := f.voters()[int(seed)%3]
		for _, n := range f.nodes {
			n.kill()
			n.snapshot = nil
			if n != holder {
				n.ends = nil
			}
		}
		f.advance(kernel.Second)
		for _, n := range f.nodes {
			if n != holder {
				n.boot()
			}
		}
		f.advance(5 * kernel.Second)
		// All the others have forgotten the engine, and believe the late heartbeat.
		f.register(f.nodes[20], 3, engineAt(endedEngine, "z1", 2))
		f.advance(kernel.Second)
		c.Assert(f.countUsable(endedEngine), qt.Equals, len(f.nodes)-1)
		holder.boot()
		f.await("all nodes know the end", spreadSpan, func() bool { return f.countUsable(endedEngine) == 0 })
		f.advance(8 * kernel.Second)
		c.Assert(f.countUsable(endedEngine), qt.Equals, 0)
	}
}
