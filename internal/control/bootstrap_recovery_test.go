package control

import (
	"slices"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// recoveryTimeout is the longest time that a bootstrap may take after members of the core lost their state during the
// first start.
const recoveryTimeout = 5 * kernel.Second

// stateLossStart starts a fleet. Bit i of lostStates means that member i was killed in its first incarnation, before it
// wrote anything to disk or sent a message. Such a member restarts without the bootstrap setting, 500 to 800 ms after
// the beginning. All other nodes start within 300 ms.
func stateLossStart(c *qt.C, seed uint64, members, routers, tolerance int, lostStates uint) *fleet {
	f := newFleet(c, seed, 3, members+routers, firstHaveFolders(members))
	f.faultPercent = 3
	f.adapt = func(settings *NodeSettings) {
		platformSettings(settings)
		settings.Voters = 2*tolerance + 1
	}
	for i, n := range f.nodes {
		span := kernel.Micros(f.random.Int64N(int64(300 * ms)))
		if n.hasFolder && lostStates&(1<<i) != 0 {
			n.bootstrap = false
			span += 500 * ms
		}
		f.schedule(span, n.boot)
	}
	return f
}

// checkRecovered checks that exactly one cluster is bootstrapped and that it acknowledges a configuration. It then
// kills the node lost, and checks that the other nodes acknowledge another configuration.
func checkRecovered(f *fleet, lost *fleetNode) {
	f.await("the bootstrap", recoveryTimeout, f.isServing)
	router := f.nodes[len(f.nodes)-1]
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, router)
	f.advance(2 * kernel.Second)
	lost.kill()
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, router)
	f.c.Assert(f.bootstrapped, qt.HasLen, 1)
}

func TestBootstrapToleratesTheFailureOfTheEntireCoreBeforeAnythingIsOnDisk(t *testing.T) {
	t.Parallel()
	// Each run is one combination of seeds that lost their acceptor state. Every second run has a fourth member, which
	// lost its state too.
	for lostStates := range uint(1) << 3 {
		members := 3 + int(lostStates)%2
		f := stateLossStart(qt.New(t), uint64(lostStates), members, 2, 1, lostStates|1<<3)
		checkRecovered(f, f.nodes[int(lostStates)%members])
	}
}

func TestBootstrapToleratesTheFailureOfTheEntireCoreTwice(t *testing.T) {
	t.Parallel()
	for step := range 8 {
		f := stateLossStart(qt.New(t), uint64(step), 3+step%2, 2, 1, uint(step%8)|1<<3)
		f.advance(300*ms + kernel.Micros(step)*180*ms)
		for _, n := range f.nodes {
			if n.hasFolder && n.isUp {
				n.kill()
				f.schedule(300*ms, n.restart)
			}
		}
		f.advance(300 * ms)
		checkRecovered(f, f.nodes[step%3])
	}
}

// If two failures are tolerated, all members are acceptors and not only the seeds. A recovery then needs the promises
// of seven of them.
func TestBootstrapOfALargeCoreToleratesItsFailureBeforeAnythingIsOnDisk(t *testing.T) {
	t.Parallel()
	for _, members := range []int{7, 9} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			t.Parallel()
			all := uint(1)<<members - 1
			for i, lostStates := range []uint{all, all &^ 6, 0b1010101} {
				f := stateLossStart(qt.New(t), uint64(i), members, 2, 2, lostStates)
				for _, away := range f.nodes[7:members] {
					away.bootstrap = false
					f.schedule(900*ms, away.kill) // seven members are enough for a recovery
				}
				checkRecovered(f, f.nodes[i])
			}
		})
	}
}

// A document that two of the three seeds have accepted is chosen, even if no node has applied it. A recovery may learn
// of it from only one of them, and has to propose it again.
func TestARecoveryTakesWhatTwoSeedsHadChosen(t *testing.T) {
	c := qt.New(t)
	begun := document(1, 1)
	begun.ClusterID, begun.Voters = "begun", []cluster.Member{memberA, memberB, memberC}
	v := newTestAcceptor(c, func(settings *NodeSettings) { settings.IsBootstrap = false })
	v.announceStateLoss()
	number := v.openProposal()
	promise := wire.BootstrapPromise{Number: number, Acceptor: memberA.ID, Accepted: cluster.ProposalNumber{Round: 1, Proposer: "a"}, Document: begun, IsFirstStart: true}
	v.deliver(memberA, wire.Message{BootstrapPromise: &promise})
	c.Assert(v.node.bootstrapper.proposal.isInAcceptPhase, qt.IsFalse)
	v.deliver(memberC, wire.Message{BootstrapPromise: &wire.BootstrapPromise{Number: number, Acceptor: "new", Incarnation: "c", HasLostState: true}})
	c.Assert(v.node.bootstrapper.proposal.isRecovery, qt.IsTrue)
	c.Assert(v.node.bootstrapper.proposal.document.ClusterID, qt.Equals, "begun")
}

// announceStateLoss delivers two announcements of lost state: that of this node, and that of the third seed, whose
// member id is "new" since it lost its state.
func (v *testAcceptor) announceStateLoss() {
	seeds := v.node.bootstrapper.seeds
	third := wire.AnnounceStateLoss{Member: cluster.Member{ID: "new", Address: memberC.Address, Zone: memberC.Zone}, Incarnation: "c", Seeds: seeds}
	v.deliver(memberC, wire.Message{AnnounceStateLoss: &third})
	v.deliver(memberB, wire.Message{AnnounceStateLoss: &wire.AnnounceStateLoss{Member: memberB, Incarnation: v.node.bootstrapper.acceptor.Incarnation, Seeds: seeds}})
}

// openProposal opens a proposal without waiting for the backoff, completes the write of the proposer's own promise, and
// returns the number of the proposal.
func (v *testAcceptor) openProposal() cluster.ProposalNumber {
	v.node.bootstrapper.lastJoinedAt, v.node.bootstrapper.highestSeenAt = 0, 0
	v.node.openProposal()
	v.collect(v.node.finish())
	v.sync()
	return v.node.bootstrapper.proposal.number
}

func TestARecoveryNeedsAllSeedsAndAWitness(t *testing.T) {
	for _, hasWitness := range []bool{false, true} {
		c := qt.New(t)
		v := newTestAcceptor(c, func(settings *NodeSettings) { settings.IsBootstrap = false })
		v.announceStateLoss()
		number := v.openProposal()
		bootstrap := v.node.bootstrapper
		router := cluster.Member{ID: "", Address: "10.0.0.9:1", Zone: "z1"}
		if hasWitness {
			v.deliver(router, wire.Message{WitnessResponse: &wire.WitnessResponse{Number: number, IsFirstStart: true}})
		}
		v.deliver(memberC, wire.Message{BootstrapPromise: &wire.BootstrapPromise{Number: number, Acceptor: "new", Incarnation: "c", HasLostState: true}})
		c.Assert(bootstrap.proposal.isInAcceptPhase, qt.IsFalse, qt.Commentf("without the first seed"))
		v.deliver(memberA, wire.Message{BootstrapPromise: &wire.BootstrapPromise{Number: number, Acceptor: memberA.ID}})
		c.Assert(bootstrap.proposal.isInAcceptPhase, qt.Equals, hasWitness)
		// A response about another proposal does not count. The witness may have sent it before a cluster was
		// bootstrapped.
		v.deliver(router, wire.Message{WitnessResponse: &wire.WitnessResponse{Number: cluster.ProposalNumber{Round: 1, Proposer: "other"}, IsFirstStart: true}})
		c.Assert(bootstrap.proposal.isInAcceptPhase, qt.Equals, hasWitness)
		v.deliver(router, wire.Message{WitnessResponse: &wire.WitnessResponse{Number: number, KnowsFleet: true}})
		v.deliver(router, wire.Message{WitnessResponse: &wire.WitnessResponse{Number: number, IsFirstStart: true}})
		c.Assert(bootstrap.proposal.isInAcceptPhase, qt.Equals, hasWitness, qt.Commentf("a cluster is known"))
	}
}

func TestAnAcceptorThatLostItsStatePromisesOnlyProposalsThatNameIt(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(settings *NodeSettings) { settings.IsBootstrap = false })
	acceptor := v.node.bootstrapper.acceptor
	v.deliver(memberA, prepareOf(3, memberA))
	c.Assert(v.sync(), qt.HasLen, 0)
	named := prepareOf(4, memberA)
	named.BootstrapPrepare.Incarnations = []cluster.IncarnationID{"other", acceptor.Incarnation}
	c.Assert(v.deliver(memberA, named), qt.HasLen, 0)
	c.Assert(v.saves[0].AcceptorState.HasLostState, qt.IsTrue)
	c.Assert(v.sync()[0].BootstrapPromise.HasLostState, qt.IsTrue)
	c.Assert(v.deliver(memberA, acceptOf(5, memberA, document(1, 1)))[0].BootstrapAccepted.IsRejected, qt.IsTrue)
	v.deliver(memberA, acceptOf(4, memberA, document(1, 1)))
	c.Assert(v.saves[0].AcceptorState.HasLostState, qt.IsFalse)
	c.Assert(v.sync()[0].BootstrapAccepted.IsRejected, qt.IsFalse)
}

// A proposal that does not name a lost state may have been opened before the loss. It may then count a promise that the
// acceptor gave before the loss and has forgotten.
func TestAnAcceptorRejectsAProposalThatDoesNotNameALostState(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(*NodeSettings) {})
	named := prepareOf(3, memberA)
	named.BootstrapPrepare.Incarnations = []cluster.IncarnationID{"c"}
	v.deliver(memberA, named)
	v.sync()
	rejected := v.deliver(memberC, prepareOf(4, memberC))[0].BootstrapPromise
	c.Assert(rejected.IsRejected, qt.IsTrue)
	c.Assert(rejected.Incarnations, qt.DeepEquals, named.BootstrapPrepare.Incarnations)
	// An acceptor that restarts with this stored state rejects such a proposal too.
	again := newTestAcceptor(c, func(settings *NodeSettings) { settings.AcceptorState = v.node.bootstrapper.acceptor })
	c.Assert(again.deliver(memberC, prepareOf(5, memberC))[0].BootstrapPromise.IsRejected, qt.IsTrue)
	// A proposer names the lost states that it knows, and after a rejection also those listed in the rejection.
	number := again.openProposalAfter(2 * kernel.Second)
	again.deliver(memberC, wire.Message{BootstrapPromise: &wire.BootstrapPromise{Number: number, Acceptor: memberC.ID, IsRejected: true, Incarnations: []cluster.IncarnationID{"d"}}})
	again.openProposalAfter(2 * kernel.Second)
	c.Assert(again.node.bootstrapper.proposal.incarnations, qt.DeepEquals, []cluster.IncarnationID{"c", "d"})
}

func (v *testAcceptor) openProposalAfter(span kernel.Micros) cluster.ProposalNumber {
	v.advance(span)
	v.sync()
	return v.node.bootstrapper.proposal.number
}

// A restarted process may be configured with other seeds. Its acceptor state belongs to the seeds of the first start,
// so it answers only proposals for those.
func TestAcceptorStateIsForTheSeedsOfItsFirstStart(t *testing.T) {
	c := qt.New(t)
	seeds := []string{memberA.Address, memberB.Address, memberC.Address}
	v := newTestAcceptor(c, func(settings *NodeSettings) {
		settings.IsBootstrap, settings.Seeds = false, []string{memberB.Address, "10.0.0.8:1", "10.0.0.9:1"}
		settings.AcceptorState = &cluster.AcceptorState{Acceptor: memberB.ID, Seeds: seeds}
	})
	other := prepareOf(3, memberA)
	other.BootstrapPrepare.Seeds = []string{memberB.Address, "10.0.0.8:1", "10.0.0.9:1"}
	v.deliver(memberA, other)
	c.Assert(v.sync(), qt.HasLen, 0)
	v.deliver(memberA, prepareOf(3, memberA))
	c.Assert(v.sync(), qt.HasLen, 1)
	c.Assert(v.node.bootstrapper.seeds, qt.DeepEquals, seeds)
}

// servingFleet returns a bootstrapped fleet of three members and three routers that has acknowledged configuration
// version 1.
func servingFleet(c *qt.C, seed uint64) *fleet {
	f := firstStart(c, seed, 3, 6, 1)
	f.await("the bootstrap", bootstrapTimeout, f.isServing)
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
	f.advance(kernel.Second)
	return f
}

func TestAWipedCoreWhoseRoutersKnowTheFleetBootstrapsNoSecond(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		for _, n := range f.nodes[:3] {
			n.wipe()
		}
		for _, n := range f.nodes[:3] {
			f.schedule(300*ms, n.boot)
		}
		f.advance(8 * kernel.Second)
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

func TestAFleetWithoutPowerAndWithADiskLostBootstrapsNoSecond(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		for _, n := range f.nodes {
			n.kill()
		}
		f.nodes[seed%3].wipe()
		for _, n := range f.nodes {
			f.schedule(kernel.Micros(f.random.Int64N(int64(500*ms))), n.restart)
		}
		f.advance(2 * kernel.Second)
		f.acknowledge("two", 1, configOf(2, "b"), 6*kernel.Second, f.nodes[5])
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

// A wiped member of the core restarts together with two routers, and the settings name just these three nodes as the
// seeds. None of them can reach the rest of the fleet.
func TestAWipedMachineAmongRestartedSeedsBootstrapsNoSecond(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		restarted := []*fleetNode{f.nodes[0], f.nodes[3], f.nodes[4]}
		f.seedsOverride = func() []string {
			found := []string{}
			for _, n := range restarted {
				found = append(found, n.identity.Address)
			}
			return slices.Sorted(slices.Values(found))
		}
		restarted[0].wipe()
		for _, n := range restarted {
			n.kill()
			for _, other := range []*fleetNode{f.nodes[1], f.nodes[2], f.nodes[5]} {
				n.cut[other.identity.Address] = true
			}
			f.schedule(300*ms, n.restart)
		}
		f.advance(8 * kernel.Second)
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

func TestARecoveryOfALargeCoreNeedsAllButTheToleratedMembers(t *testing.T) {
	c := qt.New(t)
	v := newTestAcceptor(c, func(settings *NodeSettings) { settings.Voters = 5 })
	// A quorum is five of nine members, and two of these five may have lost their state. If three members were missing,
	// they might be the only ones of the quorum that kept their state.
	c.Assert(v.node.bootstrapper.isRecoveryQuorum(6), qt.IsFalse)
	c.Assert(v.node.bootstrapper.isRecoveryQuorum(7), qt.IsTrue)
}

// Two failures are tolerated, so a recovery of acceptors without state needs seven members, and this core has six. The
// members that kept their state bootstrap without the wiped ones, even after the wiped ones have restarted.
func TestBootstrapOfASmallCoreContinuesWithoutMembersThatLostTheirState(t *testing.T) {
	t.Parallel()
	for step := range 3 {
		f := firstStart(qt.New(t), uint64(step), 6, 7, 2)
		f.advance(kernel.Micros(step) * 150 * ms)
		for _, n := range []*fleetNode{f.nodes[step%3], f.nodes[3]} {
			n.wipe()
			n.restart()
		}
		f.await("the bootstrap", firstContactTimeout+bootstrapTimeout, f.isServing)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		f.c.Assert(f.bootstrapped, qt.HasLen, 1)
	}
}

func TestBootstrapContinuesUnderItsSeedsWhenRestartsGetOthers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := firstStart(qt.New(t), seed, 3, 6, 1)
		f.advance(310 * ms)
		for _, n := range f.nodes[:3] {
			n.kill()
			f.schedule(300*ms, n.restart)
		}
		f.seedsOverride = func() []string {
			return []string{f.nodes[3].identity.Address, f.nodes[4].identity.Address, f.nodes[5].identity.Address}
		}
		f.advance(300 * ms)
		checkRecovered(f, f.nodes[seed])
	}
}

// Members of the core lose their state, and the settings name other seeds by the time these members restart. They have
// to learn the seeds of the first start from other nodes.
func TestACoreThatLostItsStateLearnsTheSeedsOfTheFirstStart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		f := stateLossStart(qt.New(t), seed, 3, 3, 1, 0b111&^uint(seed))
		f.advance(400 * ms)
		f.seedsOverride = func() []string {
			return []string{f.nodes[3].identity.Address, f.nodes[4].identity.Address, f.nodes[5].identity.Address}
		}
		checkRecovered(f, f.nodes[seed])
	}
}

func TestOnlyANodeInItsFirstIncarnationSendsItsSeedsAfterAStateLoss(t *testing.T) {
	for _, bootstrap := range []bool{false, true} {
		c := qt.New(t)
		v := newTestAcceptor(c, func(settings *NodeSettings) { settings.IsBootstrap = bootstrap })
		announcement := wire.AnnounceStateLoss{Member: memberC, Incarnation: "c", Seeds: []string{"other"}}
		answered := v.deliver(memberC, wire.Message{AnnounceStateLoss: &announcement})
		c.Assert(len(answered) == 1, qt.Equals, bootstrap)
		first := wire.Message{FirstSeeds: &wire.FirstSeeds{Seeds: []string{memberB.Address, memberC.Address}}}
		v.deliver(memberC, first)
		c.Assert(len(v.node.bootstrapper.seeds) == 2, qt.Equals, !bootstrap, qt.Commentf("an acceptor with state keeps its seeds"))
	}
}

// A seed that restarts again and again, each time before its promise is on disk, does not delay the others.
func TestASeedInARestartLoopDoesNotBlockTheOthers(t *testing.T) {
	for looping := range 3 {
		f := stateLossStart(qt.New(t), uint64(looping), 3, 2, 1, 1<<looping)
		n := f.nodes[looping]
		var loop func()
		loop = func() {
			n.kill()
			n.restart()
			f.schedule(170*ms, loop)
		}
		f.schedule(600*ms, loop)
		f.await("the bootstrap", recoveryTimeout, f.isServing)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
	}
}
