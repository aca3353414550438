package control

import (
	"fmt"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// bootstrapTimeout is the longest time from the beginning of a first start until a leader has committed a document. It
// applies even if messages are lost and as many members of the core fail as are tolerated.
const bootstrapTimeout = 4 * kernel.Second

// startFault is a fault of a core member during the first start, with the action that heals it.
type startFault struct {
	name   string
	inject func(*fleetNode)
	heal   func(*fleetNode)
}

func (n *fleetNode) isolate() {
	for _, other := range n.f.nodes {
		if other != n {
			n.cut[other.identity.Address] = true
		}
	}
}

func (n *fleetNode) restart() {
	n.bootstrap = false // a deployment clears the setting after the first start
	n.boot()
}

func startFaults() []startFault {
	nothing := func(*fleetNode) {}
	return []startFault{
		{"killed", (*fleetNode).kill, (*fleetNode).restart},
		{"wiped", (*fleetNode).wipe, (*fleetNode).restart},
		{"cut off", (*fleetNode).isolate, func(n *fleetNode) { n.cut = map[string]bool{} }},
		{"frozen", func(n *fleetNode) {
			if n.isUp {
				n.freeze(3 * kernel.Second)
			}
		}, func(n *fleetNode) {
			n.f.await("the end of the freeze", 3*kernel.Second, func() bool { return !n.isFrozen })
		}},
		{"restarted at once", func(n *fleetNode) {
			n.kill()
			n.restart()
		}, nothing},
	}
}

// firstStart starts a fleet whose nodes boot in any order within 300 ms, over links that lose,
// duplicate and delay messages.
func firstStart(c *qt.C, seed uint64, members, nodes, tolerance int) *fleet {
	f := newFleet(c, seed, 3, nodes, firstHaveFolders(members))
	f.faultPercent = 3
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.Voters = 2*tolerance + 1
	}
	for _, n := range f.nodes {
		f.schedule(kernel.Micros(f.random.Int64N(int64(300*ms))), func() {
			if n.epoch == 0 {
				n.boot()
			}
		})
	}
	return f
}

// isServing reports whether a leader has committed a document in its own term.
func (f *fleet) isServing() bool { return f.leader() != nil }

// checkFirstStart injects a fault into nodes, and checks that the others bootstrap within the span. It then
// heals the faults and checks that all nodes belong to one cluster.
func checkFirstStart(c *qt.C, f *fleet, span kernel.Micros, fault startFault, faultAt kernel.Micros, faulty ...*fleetNode) {
	f.advance(faultAt)
	for _, n := range faulty {
		fault.inject(n)
	}
	f.await("a bootstrap without the failed members", span, f.isServing)
	reachable := f.nodes[len(f.nodes)-1]
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, reachable)
	for _, n := range faulty {
		fault.heal(n)
	}
	f.advance(kernel.Second)
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes...)
	f.await("the acknowledged version everywhere", 6*kernel.Second, func() bool {
		for _, n := range f.nodes {
			if document := n.inForce(); document == nil || document.ConfigVersion != 2 {
				return false
			}
		}
		return true
	})
	c.Assert(f.bootstrapped, qt.HasLen, 1)
}

func TestBootstrapToleratesTheFailureOfAnySeedAtAnyTime(t *testing.T) {
	t.Parallel()
	// Each step injects the fault into one of the three seeds, in turn. Injecting it into each of them at every step
	// would take three times as long under the race detector.
	for index, fault := range startFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for step := range 100 {
				c := qt.New(t)
				members, faulty := 3+step%2, (index+step)%3
				f := firstStart(c, uint64(1000*faulty+step), members, members+1, 1)
				checkFirstStart(c, f, bootstrapTimeout, fault, kernel.Micros(step)*20*ms, f.nodes[faulty])
			}
		})
	}
}

func TestBootstrapToleratesTheFailureOfTwoSeedsWhereTwoMayFail(t *testing.T) {
	t.Parallel()
	for _, fault := range startFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for step := range 20 {
				c := qt.New(t)
				f := firstStart(c, uint64(step), 8, 9, 2)
				kept := step % 3
				checkFirstStart(c, f, bootstrapTimeout, fault, kernel.Micros(step)*100*ms, f.nodes[(kept+1)%3], f.nodes[(kept+2)%3])
			}
		})
	}
}

// With five or six members of which two are lost, fewer than 2*tolerance+1 acceptors are left, which a quorum needs
// otherwise.
func TestBootstrapOfASmallCoreToleratesTheFailureOfTwoSeeds(t *testing.T) {
	t.Parallel()
	for _, members := range []int{5, 6} {
		for _, fault := range startFaults() {
			t.Run(fmt.Sprintf("%d members, %s", members, fault.name), func(t *testing.T) {
				t.Parallel()
				for step := range 10 {
					c := qt.New(t)
					f := firstStart(c, uint64(step), members, members+1, 2)
					kept := step % 3
					checkFirstStart(c, f, firstContactTimeout+bootstrapTimeout, fault, kernel.Micros(step)*100*ms, f.nodes[(kept+1)%3], f.nodes[(kept+2)%3])
				}
			})
		}
	}
}

// No combination of faults bootstraps two clusters, even if more members fail than are tolerated.
func TestNoFaultBootstrapsASecondFleet(t *testing.T) {
	t.Parallel()
	const groups, fleets = 4, 50
	for group := range uint64(groups) {
		t.Run(strconv.FormatUint(group, 10), func(t *testing.T) {
			t.Parallel()
			bootstrapped := 0
			for seed := group * fleets; seed < (group+1)*fleets; seed++ {
				bootstrapped += runBootstrapStorm(t, seed)
			}
			t.Logf("%d of %d fleets were bootstrapped", bootstrapped, fleets)
			qt.New(t).Assert(bootstrapped > fleets/2, qt.IsTrue)
		})
	}
}

// runBootstrapStorm returns the number of clusters that were bootstrapped: 0 or 1.
func runBootstrapStorm(t *testing.T, seed uint64) int {
	t.Helper()
	c := qt.New(t)
	tolerance, members := 1, 3+int(seed%3)
	if seed%2 == 0 {
		tolerance, members = 2, 5+int(seed/2%5)
	}
	f := firstStart(c, seed, members, members+1, tolerance)
	f.faultPercent = 8
	for range 30 {
		f.advance(20*ms + kernel.Micros(f.random.Int64N(int64(120*ms))))
		n := f.nodes[f.random.IntN(min(members, 4))]
		switch f.random.IntN(24) {
		case 0, 1, 2, 3:
			n.kill()
		case 4:
			n.wipe()
		case 5, 6, 7, 8:
			if n.isUp && !n.isFrozen {
				n.freeze(kernel.Micros(f.random.Int64N(int64(kernel.Second))))
			}
		case 9, 10, 11, 12:
			other := f.nodes[f.random.IntN(members)]
			n.cut[other.identity.Address] = !n.cut[other.identity.Address]
		default:
			if !n.isUp {
				n.restart()
			}
		}
	}
	f.faultPercent = 0
	for _, n := range f.nodes {
		n.cut = map[string]bool{}
		if !n.isUp {
			n.restart()
		}
	}
	f.advance(3 * kernel.Second)
	c.Assert(len(f.bootstrapped) <= 1, qt.IsTrue, qt.Commentf("seed %d: %v", seed, f.bootstrapped))
	return len(f.bootstrapped)
}

// testAcceptor runs one node that is an acceptor of the bootstrap, and collects its commands.
type testAcceptor struct {
	c     *qt.C
	node  *Node
	now   kernel.Micros
	sent  []wire.Message
	saves []commands.Save
}

func newTestAcceptor(c *qt.C, adapt func(*NodeSettings)) *testAcceptor {
	settings := NodeSettings{
		Identity: kernel.Identity{Fleet: "f", Address: memberB.Address, Zone: memberB.Zone}, IsRouter: true, IsController: true,
		HasFolder: true, FolderState: FolderState{Member: memberB.ID}, Seeds: []string{memberA.Address, memberB.Address, memberC.Address}, Start: 7, RandomSeed: 7,
		Journal: kernel.NewJournal(16), IsBootstrap: true,
	}
	platformSettings(&settings)
	adapt(&settings)
	settings.Invariants = invariant.NewMonitor(func(violation invariant.ViolationError) { c.Error(violation) })
	return &testAcceptor{c: c, node: NewNode(settings, 100*kernel.Second), now: 100 * kernel.Second}
}

func (v *testAcceptor) collect(outputs []commands.Command) {
	for _, command := range outputs {
		switch command := command.(type) {
		case Outgoing:
			v.sent = append(v.sent, command.Envelope.Message)
		case commands.Save:
			v.saves = append(v.saves, command)
		}
	}
}

// deliver delivers a message and returns the messages that were sent before any write was synced.
func (v *testAcceptor) deliver(from cluster.Member, message wire.Message) []wire.Message {
	v.sent = nil
	v.collect(v.node.Deliver(v.now, wire.Envelope{Fleet: "f", From: from.Address, To: memberB.Address, Message: message}))
	return v.sent
}

// sync completes all writes and returns the messages that were sent after them.
func (v *testAcceptor) sync() []wire.Message {
	v.sent = nil
	for len(v.saves) > 0 {
		save := v.saves[0]
		v.saves = v.saves[1:]
		v.collect(v.node.Saved(v.now, save.Token, nil))
	}
	return v.sent
}

func (v *testAcceptor) advance(span kernel.Micros) {
	for end := v.now + span; v.now < end; {
		v.now += v.node.TickInterval()
		v.collect(v.node.Tick(v.now))
	}
}

func prepareOf(round uint64, from cluster.Member) wire.Message {
	seeds := []string{memberA.Address, memberB.Address, memberC.Address}
	return wire.Message{BootstrapPrepare: &wire.BootstrapPrepare{Number: cluster.ProposalNumber{Round: round, Proposer: string(from.ID)}, Acceptor: from.ID, Seeds: seeds}}
}

func acceptOf(round uint64, from cluster.Member, first *cluster.Document) wire.Message {
	return wire.Message{BootstrapAccept: &wire.BootstrapAccept{Number: cluster.ProposalNumber{Round: round, Proposer: string(from.ID)}, Acceptor: memberB.ID, Document: first}}
}

func TestAnAcceptorAnswersOnlyOnceItsStateIsOnDisk(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(*NodeSettings) {})
	c.Assert(v.deliver(memberA, prepareOf(3, memberA)), qt.HasLen, 0)
	c.Assert(v.saves, qt.HasLen, 1)
	c.Assert(v.saves[0].AcceptorState.Promised.Round, qt.Equals, uint64(3))
	answers := v.sync()
	c.Assert(answers, qt.HasLen, 1)
	c.Assert(answers[0].BootstrapPromise.IsRejected, qt.IsFalse)

	c.Assert(v.deliver(memberA, acceptOf(3, memberA, document(1, 1))), qt.HasLen, 0)
	c.Assert(v.saves[0].AcceptorState.Document, qt.IsNotNil)
	c.Assert(v.sync()[0].BootstrapAccepted.IsRejected, qt.IsFalse)

	// A lower proposal number is rejected; a higher one is answered with the accepted document.
	lower := v.deliver(memberC, prepareOf(2, memberC))
	c.Assert(lower[0].BootstrapPromise.IsRejected, qt.IsTrue)
	c.Assert(v.deliver(memberC, acceptOf(2, memberC, document(1, 1)))[0].BootstrapAccepted.IsRejected, qt.IsTrue)
	v.deliver(memberC, prepareOf(4, memberC))
	higher := v.sync()
	c.Assert(higher[0].BootstrapPromise.Accepted.Round, qt.Equals, uint64(3))
	c.Assert(higher[0].BootstrapPromise.Document.ClusterID, qt.Equals, "f")
}

func TestARestartedAcceptorGoesByItsFolderAlone(t *testing.T) {
	c := qt.New(t)
	acceptor := &cluster.AcceptorState{Acceptor: memberB.ID, Promised: cluster.ProposalNumber{Round: 5, Proposer: "x"}, Accepted: cluster.ProposalNumber{Round: 5, Proposer: "x"}, Document: document(1, 1)}
	kept := newTestAcceptor(c, func(settings *NodeSettings) { settings.IsBootstrap, settings.AcceptorState = false, acceptor })
	c.Assert(kept.deliver(memberA, prepareOf(4, memberA))[0].BootstrapPromise.IsRejected, qt.IsTrue)
	kept.deliver(memberA, prepareOf(6, memberA))
	c.Assert(kept.sync()[0].BootstrapPromise.Document, qt.IsNotNil)

	// A restarted acceptor whose folder is empty, or a restarted seed that has no folder, may have made any promise
	// before. It must neither answer nor announce itself as a member that has its state.
	for _, hasFolder := range []bool{true, false} {
		lost := newTestAcceptor(c, func(settings *NodeSettings) {
			settings.IsBootstrap, settings.HasFolder, settings.IsController = false, hasFolder, hasFolder
		})
		c.Assert(lost.deliver(memberA, prepareOf(6, memberA)), qt.HasLen, 0)
		c.Assert(lost.sync(), qt.HasLen, 0)
		lost.advance(2 * kernel.Second)
		for _, message := range lost.sent {
			c.Assert(message.BootstrapAnnounce, qt.IsNil)
		}
	}
}

func TestASecondIncarnationOfASeedWithoutAFolderIsIgnored(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(settings *NodeSettings) { settings.HasFolder, settings.IsController = false, false })
	first, second := prepareOf(1, memberA), prepareOf(2, memberA)
	second.BootstrapPrepare.Acceptor = "another incarnation"
	c.Assert(v.deliver(memberA, first), qt.HasLen, 1)
	c.Assert(v.deliver(memberA, second), qt.HasLen, 0)
	c.Assert(v.deliver(memberC, prepareOf(3, memberC)), qt.HasLen, 1)
}

func TestAnotherProposerFinishesWhatWasBegun(t *testing.T) {
	c := qt.New(t)
	begun := document(1, 1)
	begun.ClusterID = "begun by another"
	v := newTestAcceptor(c, func(*NodeSettings) {})
	v.advance(2 * kernel.Second)
	v.sync()
	number := v.node.bootstrapper.proposal.number
	answers := v.deliver(memberC, wire.Message{BootstrapPromise: &wire.BootstrapPromise{Number: number, Acceptor: memberC.ID, Accepted: cluster.ProposalNumber{Round: 1, Proposer: "a"}, Document: begun}})
	c.Assert(answers, qt.Not(qt.HasLen), 0)
	for _, message := range answers {
		if message.BootstrapAccept != nil {
			c.Assert(message.BootstrapAccept.Document.ClusterID, qt.Equals, begun.ClusterID)
		}
	}
	v.sync()
	v.deliver(memberC, wire.Message{BootstrapAccepted: &wire.BootstrapAccepted{Number: number, Acceptor: memberC.ID}})
	c.Assert(v.node.bootstrapper.chosen.ClusterID, qt.Equals, begun.ClusterID)
	v.sync()
	c.Assert(v.node.core.doc.ClusterID, qt.Equals, begun.ClusterID)
}

func TestUnreachableMembersFillUpTheBootstrapMembersButNeverOutnumberTheReachable(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(*NodeSettings) {})
	f := v.node.bootstrapper
	c.Assert(v.node.bootstrapDocument(), qt.IsNil)
	f.onAnnounce(v.now, memberA)
	v.advance(2 * kernel.Second)
	// Only member A is known now, and its announcement is too old for it to count as reachable. A document without
	// voters could never be committed, so none is created.
	f.members = map[cluster.MemberID]announcedMember{memberA.ID: f.members[memberA.ID]}
	c.Assert(v.node.bootstrapDocument(), qt.IsNil)
	f.onAnnounce(v.now, memberB)
	c.Assert(v.node.bootstrapDocument().Voters, qt.DeepEquals, []cluster.Member{memberB})
	f.onAnnounce(v.now, memberC)
	c.Assert(v.node.bootstrapDocument().Voters, qt.DeepEquals, []cluster.Member{memberA, memberB, memberC})
	successor := cluster.Member{ID: "another", Address: memberA.Address, Zone: memberA.Zone}
	f.onAnnounce(v.now, successor)
	c.Assert(v.node.bootstrapDocument().Voters, qt.DeepEquals, []cluster.Member{successor, memberB, memberC})
}
