package control

import (
	"fmt"
	"slices"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// recoverySpan is within what time a fleet is founded whose core lost its power in its first moments.
const recoverySpan = 5 * kernel.Second

// amnesiacStart starts a fleet of which some core machines were killed before anything was on
// their disks, so that they never said a word. They come back later than the others.
func amnesiacStart(c *qt.C, seed uint64, members, routers, tolerance int, amnesiacs uint) *fleet {
	f := newFleet(c, seed, 3, members+routers, firstHaveFolders(members))
	f.badLinks = 3
	f.adapt = func(settings *NodeSettings) {
		platformLike(settings)
		settings.Voters = 2*tolerance + 1
	}
	for i, n := range f.nodes {
		span := kernel.Micros(f.random.Int64N(int64(300 * ms)))
		if n.hasFolder && amnesiacs&(1<<i) != 0 {
			n.bootstrap = false
			span += 500 * ms
		}
		f.in(span, n.boot)
	}
	return f
}

// judgeRecovered demands a founding, an acknowledged configuration, and another one with one machine lost.
func judgeRecovered(f *fleet, lost *fleetNode) {
	f.await("a founding", recoverySpan, f.isServing)
	router := f.nodes[len(f.nodes)-1]
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, router)
	f.pass(2 * kernel.Second)
	lost.kill()
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, router)
	f.c.Assert(f.founded, qt.HasLen, 1)
}

func TestAFirstStartBearsTheLossOfItsWholeCoreBeforeAnythingIsOnDisk(t *testing.T) {
	t.Parallel()
	// Each mix of seeds whose vote was written and of those whose was not; at times a fourth machine without.
	for amnesiacs := range uint(1) << 3 {
		members := 3 + int(amnesiacs)%2
		f := amnesiacStart(qt.New(t), uint64(amnesiacs), members, 2, 1, amnesiacs|1<<3)
		judgeRecovered(f, f.nodes[int(amnesiacs)%members])
	}
}

func TestAFirstStartBearsTheLossOfItsWholeCoreTwice(t *testing.T) {
	t.Parallel()
	for step := range 8 {
		f := amnesiacStart(qt.New(t), uint64(step), 3+step%2, 2, 1, uint(step%8)|1<<3)
		f.pass(300*ms + kernel.Micros(step)*180*ms)
		for _, n := range f.nodes {
			if n.hasFolder && n.isUp {
				n.kill()
				f.in(300*ms, n.restart)
			}
		}
		f.pass(300 * ms)
		judgeRecovered(f, f.nodes[step%3])
	}
}

// Where two may be lost the members accept, and seven of them recover.
func TestAFirstStartOfALargeCoreBearsItsLossBeforeAnythingIsOnDisk(t *testing.T) {
	for _, members := range []int{7, 9} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			t.Parallel()
			all := uint(1)<<members - 1
			for i, amnesiacs := range []uint{all, all &^ 6, 0b1010101} {
				f := amnesiacStart(qt.New(t), uint64(i), members, 2, 2, amnesiacs)
				for _, away := range f.nodes[7:members] {
					away.bootstrap = false
					f.in(900*ms, away.kill) // of those that are not needed
				}
				judgeRecovered(f, f.nodes[i])
			}
		})
	}
}

// What was chosen by two seeds, and is in force nowhere, is what a recovery with the third one finds.
func TestARecoveryTakesWhatTwoSeedsHadChosen(t *testing.T) {
	c := qt.New(t)
	begun := document(1, 1)
	begun.Founding, begun.Voters = "begun", []Member{memberA, memberB, memberC}
	v := newVoter(c, func(settings *NodeSettings) { settings.Bootstrap = false })
	v.announceAmnesiac()
	ballot := v.openBallot()
	vote := FoundPromise{Ballot: ballot, Acceptor: memberA.ID, Accepted: FoundingBallot{1, "a"}, Document: begun, IsFirstStart: true}
	v.tell(memberA, Message{FoundPromise: &vote})
	c.Assert(v.node.founder.proposal.isAsking, qt.IsFalse)
	v.tell(memberC, Message{FoundPromise: &FoundPromise{Ballot: ballot, Acceptor: "new", Incarnation: "c", IsAmnesiac: true}})
	c.Assert(v.node.founder.proposal.isRecovery, qt.IsTrue)
	c.Assert(v.node.founder.proposal.document.Founding, qt.Equals, "begun")
}

// announceAmnesiac makes this node and the third seed known as amnesiac acceptors.
func (v *voter) announceAmnesiac() {
	seeds := v.node.founder.seeds
	third := AnnounceAmnesiac{Member{"new", memberC.Address, memberC.Zone}, "c", seeds}
	v.tell(memberC, Message{AnnounceAmnesiac: &third})
	v.tell(memberB, Message{AnnounceAmnesiac: &AnnounceAmnesiac{memberB, v.node.founder.vote.Incarnation, seeds}})
}

// openBallot opens a ballot and lets the own promise be synced.
func (v *voter) openBallot() FoundingBallot {
	v.node.founder.grownAt, v.node.founder.highestAt = 0, 0
	v.node.propose()
	v.take(v.node.finish())
	v.sync()
	return v.node.founder.proposal.ballot
}

func TestARecoveryNeedsAllSeedsAndAWitness(t *testing.T) {
	for _, hasWitness := range []bool{false, true} {
		c := qt.New(t)
		v := newVoter(c, func(settings *NodeSettings) { settings.Bootstrap = false })
		v.announceAmnesiac()
		ballot := v.openBallot()
		founder := v.node.founder
		router := Member{"", "10.0.0.9:1", "z1"}
		if hasWitness {
			v.tell(router, Message{FoundWitness: &FoundWitness{Ballot: ballot, IsFirstStart: true}})
		}
		v.tell(memberC, Message{FoundPromise: &FoundPromise{Ballot: ballot, Acceptor: "new", Incarnation: "c", IsAmnesiac: true}})
		c.Assert(founder.proposal.isAsking, qt.IsFalse, qt.Commentf("without the first seed"))
		v.tell(memberA, Message{FoundPromise: &FoundPromise{Ballot: ballot, Acceptor: memberA.ID}})
		c.Assert(founder.proposal.isAsking, qt.Equals, hasWitness)
		// A witness of another ballot may have spoken before a fleet was founded.
		v.tell(router, Message{FoundWitness: &FoundWitness{Ballot: FoundingBallot{1, "other"}, IsFirstStart: true}})
		c.Assert(founder.proposal.isAsking, qt.Equals, hasWitness)
		v.tell(router, Message{FoundWitness: &FoundWitness{Ballot: ballot, KnowsFleet: true}})
		v.tell(router, Message{FoundWitness: &FoundWitness{Ballot: ballot, IsFirstStart: true}})
		c.Assert(founder.proposal.isAsking, qt.Equals, hasWitness, qt.Commentf("a fleet is known"))
	}
}

func TestAnAmnesiacAcceptorPromisesOnlyBallotsThatNameIt(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(settings *NodeSettings) { settings.Bootstrap = false })
	vote := v.node.founder.vote
	v.tell(memberA, prepareOf(3, memberA))
	c.Assert(v.sync(), qt.HasLen, 0)
	named := prepareOf(4, memberA)
	named.FoundPrepare.Incarnations = []IncarnationID{"other", vote.Incarnation}
	c.Assert(v.tell(memberA, named), qt.HasLen, 0)
	c.Assert(v.save[0].FoundingVote.IsAmnesiac, qt.IsTrue)
	c.Assert(v.sync()[0].FoundPromise.IsAmnesiac, qt.IsTrue)
	c.Assert(v.tell(memberA, acceptOf(5, memberA, document(1, 1)))[0].FoundAccepted.IsRefused, qt.IsTrue)
	v.tell(memberA, acceptOf(4, memberA, document(1, 1)))
	c.Assert(v.save[0].FoundingVote.IsAmnesiac, qt.IsFalse)
	c.Assert(v.sync()[0].FoundAccepted.IsRefused, qt.IsFalse)
}

// A ballot that was opened before an acceptor lost its folder may rest on what it had promised.
func TestAnAcceptorRefusesABallotThatKnowsNothingOfALoss(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(*NodeSettings) {})
	named := prepareOf(3, memberA)
	named.FoundPrepare.Incarnations = []IncarnationID{"c"}
	v.tell(memberA, named)
	v.sync()
	refused := v.tell(memberC, prepareOf(4, memberC))[0].FoundPromise
	c.Assert(refused.IsRefused, qt.IsTrue)
	c.Assert(refused.Incarnations, qt.DeepEquals, named.FoundPrepare.Incarnations)
	// Also in its next life.
	again := newVoter(c, func(settings *NodeSettings) { settings.FoundingVote = v.node.founder.vote })
	c.Assert(again.tell(memberC, prepareOf(5, memberC))[0].FoundPromise.IsRefused, qt.IsTrue)
	// A proposer names the losses that it knows, and after a refusal those that it was told.
	ballot := again.proposeAfter(2 * kernel.Second)
	again.tell(memberC, Message{FoundPromise: &FoundPromise{Ballot: ballot, Acceptor: memberC.ID, IsRefused: true, Incarnations: []IncarnationID{"d"}}})
	again.proposeAfter(2 * kernel.Second)
	c.Assert(again.node.founder.proposal.incarnations, qt.DeepEquals, []IncarnationID{"c", "d"})
}

func (v *voter) proposeAfter(span kernel.Micros) FoundingBallot {
	v.pass(span)
	v.sync()
	return v.node.founder.proposal.ballot
}

// A restarted process may be told other seeds; its vote is for those of the first start.
func TestAVoteIsForTheSeedsOfItsFirstStart(t *testing.T) {
	c := qt.New(t)
	seeds := []string{memberA.Address, memberB.Address, memberC.Address}
	v := newVoter(c, func(settings *NodeSettings) {
		settings.Bootstrap, settings.Seeds = false, []string{memberB.Address, "10.0.0.8:1", "10.0.0.9:1"}
		settings.FoundingVote = &FoundingVote{Acceptor: memberB.ID, Seeds: seeds}
	})
	other := prepareOf(3, memberA)
	other.FoundPrepare.Seeds = []string{memberB.Address, "10.0.0.8:1", "10.0.0.9:1"}
	v.tell(memberA, other)
	c.Assert(v.sync(), qt.HasLen, 0)
	v.tell(memberA, prepareOf(3, memberA))
	c.Assert(v.sync(), qt.HasLen, 1)
	c.Assert(v.node.founder.seeds, qt.DeepEquals, seeds)
}

// servingFleet is a founded fleet with one acknowledged configuration.
func servingFleet(c *qt.C, seed uint64) *fleet {
	f := firstStart(c, seed, 3, 6, 1)
	f.await("a founding", foundingSpan, f.isServing)
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[5])
	f.pass(kernel.Second)
	return f
}

func TestAnEmptiedCoreWhoseRoutersKnowTheFleetFoundsNoSecond(t *testing.T) {
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		for _, n := range f.nodes[:3] {
			n.wipe()
		}
		for _, n := range f.nodes[:3] {
			f.in(300*ms, n.boot)
		}
		f.pass(8 * kernel.Second)
		f.c.Assert(f.founded, qt.HasLen, 1)
	}
}

func TestAFleetWithoutPowerAndWithADiskLostFoundsNoSecond(t *testing.T) {
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		for _, n := range f.nodes {
			n.kill()
		}
		f.nodes[seed%3].wipe()
		for _, n := range f.nodes {
			f.in(kernel.Micros(f.random.Int64N(int64(500*ms))), n.restart)
		}
		f.pass(2 * kernel.Second)
		f.acknowledge("two", 1, configOf(2, "b"), 6*kernel.Second, f.nodes[5])
		f.c.Assert(f.founded, qt.HasLen, 1)
	}
}

// A wiped machine is told seeds that were just started anew themselves, and can't reach the fleet.
func TestAWipedMachineAmongSeedsThatWereRestartedFoundsNoSecond(t *testing.T) {
	for seed := range uint64(3) {
		f := servingFleet(qt.New(t), seed)
		turned := []*fleetNode{f.nodes[0], f.nodes[3], f.nodes[4]}
		f.named = func() []string {
			found := []string{}
			for _, n := range turned {
				found = append(found, n.identity.Address)
			}
			return slices.Sorted(slices.Values(found))
		}
		turned[0].wipe()
		for _, n := range turned {
			n.kill()
			for _, other := range []*fleetNode{f.nodes[1], f.nodes[2], f.nodes[5]} {
				n.cut[other.identity.Address] = true
			}
			f.in(300*ms, n.restart)
		}
		f.pass(8 * kernel.Second)
		f.c.Assert(f.founded, qt.HasLen, 1)
	}
}

func TestARecoveryOfALargeCoreNeedsAllButTheToleratedMembers(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(settings *NodeSettings) { settings.Voters = 5 })
	// Of nine members two may be missing; a third one may be all that is left of a quorum.
	c.Assert(v.node.founder.isRecoveryQuorum(6), qt.IsFalse)
	c.Assert(v.node.founder.isRecoveryQuorum(7), qt.IsTrue)
}

// Small cores can't recover, and go by those that remember, also while wiped machines are back.
func TestAFirstStartOfASmallCoreGoesOnWithoutItsAmnesiacMembers(t *testing.T) {
	for step := range 3 {
		f := firstStart(qt.New(t), uint64(step), 6, 7, 2)
		f.pass(kernel.Micros(step) * 150 * ms)
		for _, n := range []*fleetNode{f.nodes[step%3], f.nodes[3]} {
			n.wipe()
			n.restart()
		}
		f.await("a founding", firstContact+foundingSpan, f.isServing)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[6])
		f.c.Assert(f.founded, qt.HasLen, 1)
	}
}

func TestAFirstStartGoesOnUnderItsSeedsWhenRestartsAreToldOthers(t *testing.T) {
	for seed := range uint64(3) {
		f := firstStart(qt.New(t), seed, 3, 6, 1)
		f.pass(310 * ms)
		for _, n := range f.nodes[:3] {
			n.kill()
			f.in(300*ms, n.restart)
		}
		f.named = func() []string {
			return []string{f.nodes[3].identity.Address, f.nodes[4].identity.Address, f.nodes[5].identity.Address}
		}
		f.pass(300 * ms)
		judgeRecovered(f, f.nodes[seed])
	}
}

// The settings name other seeds before the core is back from the loss of its power.
func TestAnAmnesiacCoreLearnsTheSeedsOfTheFirstStart(t *testing.T) {
	for seed := range uint64(3) {
		f := amnesiacStart(qt.New(t), seed, 3, 3, 1, 0b111&^uint(seed))
		f.pass(400 * ms)
		f.named = func() []string {
			return []string{f.nodes[3].identity.Address, f.nodes[4].identity.Address, f.nodes[5].identity.Address}
		}
		judgeRecovered(f, f.nodes[seed])
	}
}

func TestOnlyANodeInItsFirstLifeTellsAnAmnesiacMemberItsSeeds(t *testing.T) {
	for _, bootstrap := range []bool{false, true} {
		c := qt.New(t)
		v := newVoter(c, func(settings *NodeSettings) { settings.Bootstrap = bootstrap })
		word := AnnounceAmnesiac{memberC, "c", []string{"other"}}
		told := v.tell(memberC, Message{AnnounceAmnesiac: &word})
		c.Assert(len(told) == 1, qt.Equals, bootstrap)
		first := Message{FirstSeeds: &FirstSeeds{[]string{memberB.Address, memberC.Address}}}
		v.tell(memberC, first)
		c.Assert(len(v.node.founder.seeds) == 2, qt.Equals, !bootstrap, qt.Commentf("a vote stays with its seeds"))
	}
}

// A seed that is restarted over and over, each time before its promise is on disk, holds nobody up.
func TestASeedInARestartLoopDoesNotHoldUpTheOthers(t *testing.T) {
	for looping := range 3 {
		f := amnesiacStart(qt.New(t), uint64(looping), 3, 2, 1, 1<<looping)
		n := f.nodes[looping]
		var loop func()
		loop = func() {
			n.kill()
			n.restart()
			f.in(170*ms, loop)
		}
		f.in(600*ms, loop)
		f.await("a founding", recoverySpan, f.isServing)
		f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, f.nodes[4])
	}
}
