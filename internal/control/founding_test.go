package control

import (
	"fmt"
	"testing"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// foundingSpan is within what time a first start whose core machines are there, but for the
// tolerated ones, has a leader that commits. Messages may be lost meanwhile.
const foundingSpan = 4 * kernel.Second

// startTrouble is something that may happen to a machine of the core during the first start.
type startTrouble struct {
	name   string
	strike func(*fleetNode)
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
	n.bootstrap = false // as a deployment's settings say after the first start
	n.boot()
}

func startTroubles() []startTrouble {
	nothing := func(*fleetNode) {}
	return []startTrouble{
		{"killed", (*fleetNode).kill, (*fleetNode).restart},
		{"wiped", (*fleetNode).wipe, (*fleetNode).restart},
		{"cut off", (*fleetNode).isolate, func(n *fleetNode) { n.cut = map[string]bool{} }},
		{"frozen", func(n *fleetNode) {
			if n.isUp {
				n.freeze(3 * kernel.Second)
			}
		}, func(n *fleetNode) { n.f.await("its waking", 3*kernel.Second, func() bool { return !n.isFrozen }) }},
		{"restarted at once", func(n *fleetNode) {
			n.kill()
			n.restart()
		}, nothing},
	}
}

// firstStart starts a fleet whose machines come up within 300 ms in any order, over links that
// lose, double and delay messages.
func firstStart(c *qt.C, seed uint64, members, nodes, tolerance int) *fleet {
	f := newFleet(c, seed, 3, nodes, firstHaveFolders(members))
	f.badLinks = 3
	f.adapt = func(settings *NodeSettings) {
		platformLike(settings)
		settings.Voters = 2*tolerance + 1
	}
	for _, n := range f.nodes {
		f.in(kernel.Micros(f.random.Int64N(int64(300*ms))), func() {
			if n.epoch == 0 {
				n.boot()
			}
		})
	}
	return f
}

// isServing tells that a leader has committed a document under its own term.
func (f *fleet) isServing() bool { return f.leader() != nil }

// judgeFirstStart strikes machines, and demands a founding without them, and one fleet when they are back.
func judgeFirstStart(c *qt.C, f *fleet, span kernel.Micros, trouble startTrouble, at kernel.Micros, struck ...*fleetNode) {
	f.pass(at)
	for _, n := range struck {
		trouble.strike(n)
	}
	f.await("a founding without the lost machines", span, f.isServing)
	reachable := f.nodes[len(f.nodes)-1]
	f.acknowledge("one", 0, configOf(1, "a"), 4*kernel.Second, reachable)
	for _, n := range struck {
		trouble.heal(n)
	}
	f.pass(kernel.Second)
	f.acknowledge("two", 1, configOf(2, "b"), 4*kernel.Second, f.nodes...)
	f.await("the acknowledged version everywhere", 6*kernel.Second, func() bool {
		for _, n := range f.nodes {
			if document := n.inForce(); document == nil || document.ConfigVersion != 2 {
				return false
			}
		}
		return true
	})
	c.Assert(f.founded, qt.HasLen, 1)
}

func TestAFirstStartBearsTheLossOfAnySeedAtAnyMoment(t *testing.T) {
	// Each seed in its turn; all three at each moment take three times as long under the race detector.
	for turn, trouble := range startTroubles() {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			for step := range 100 {
				c := qt.New(t)
				members, struck := 3+step%2, (turn+step)%3
				f := firstStart(c, uint64(1000*struck+step), members, members+1, 1)
				judgeFirstStart(c, f, foundingSpan, trouble, kernel.Micros(step)*20*ms, f.nodes[struck])
			}
		})
	}
}

func TestAFirstStartBearsTheLossOfTwoSeedsWhereTwoMayBeLost(t *testing.T) {
	for _, trouble := range startTroubles() {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			for step := range 20 {
				c := qt.New(t)
				f := firstStart(c, uint64(step), 8, 9, 2)
				kept := step % 3
				judgeFirstStart(c, f, foundingSpan, trouble, kernel.Micros(step)*100*ms, f.nodes[(kept+1)%3], f.nodes[(kept+2)%3])
			}
		})
	}
}

// With five or six members and two of them lost, no 2t+1 are left to accept.
func TestAFirstStartOfASmallCoreBearsTheLossOfTwoSeeds(t *testing.T) {
	for _, members := range []int{5, 6} {
		for _, trouble := range startTroubles() {
			t.Run(fmt.Sprintf("%d members, %s", members, trouble.name), func(t *testing.T) {
				t.Parallel()
				for step := range 10 {
					c := qt.New(t)
					f := firstStart(c, uint64(step), members, members+1, 2)
					kept := step % 3
					judgeFirstStart(c, f, firstContact+foundingSpan, trouble, kernel.Micros(step)*100*ms, f.nodes[(kept+1)%3], f.nodes[(kept+2)%3])
				}
			})
		}
	}
}

// Whatever is lost, also far beyond what is tolerated, two fleets are never founded.
func TestNoTroubleFoundsASecondFleet(t *testing.T) {
	const groups, fleets = 4, 50
	for group := range uint64(groups) {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			t.Parallel()
			founded := 0
			for seed := group * fleets; seed < (group+1)*fleets; seed++ {
				founded += stormOfFoundings(t, seed)
			}
			t.Logf("%d of %d fleets were founded", founded, fleets)
			qt.New(t).Assert(founded > fleets/2, qt.IsTrue)
		})
	}
}

// stormOfFoundings gives how many fleets were founded.
func stormOfFoundings(t *testing.T, seed uint64) int {
	c := qt.New(t)
	tolerance, members := 1, 3+int(seed%3)
	if seed%2 == 0 {
		tolerance, members = 2, 5+int(seed/2%5)
	}
	f := firstStart(c, seed, members, members+1, tolerance)
	f.badLinks = 8
	for range 30 {
		f.pass(20*ms + kernel.Micros(f.random.Int64N(int64(120*ms))))
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
	f.badLinks = 0
	for _, n := range f.nodes {
		n.cut = map[string]bool{}
		if !n.isUp {
			n.restart()
		}
	}
	f.pass(3 * kernel.Second)
	c.Assert(len(f.founded) <= 1, qt.IsTrue, qt.Commentf("seed %d: %v", seed, f.founded))
	return len(f.founded)
}

// voter plays the shell of one node that votes on a founding.
type voter struct {
	c    *qt.C
	node *Node
	now  kernel.Micros
	sent []Message
	save []Save
}

func newVoter(c *qt.C, adapt func(*NodeSettings)) *voter {
	settings := NodeSettings{
		Identity: kernel.Identity{Fleet: "f", Address: memberB.Address, Zone: memberB.Zone}, IsRouter: true, IsController: true,
		HasFolder: true, Member: memberB.ID, Seeds: []string{memberA.Address, memberB.Address, memberC.Address}, Start: 7, RandomSeed: 7,
		Journal: kernel.NewJournal(16), Bootstrap: true,
	}
	platformLike(&settings)
	adapt(&settings)
	settings.Invariants = invariant.NewMonitor(func(violation invariant.Violation) { c.Error(violation) })
	return &voter{c: c, node: NewNode(settings, 100*kernel.Second), now: 100 * kernel.Second}
}

func (v *voter) take(commands []any) {
	for _, command := range commands {
		switch command := command.(type) {
		case Outgoing:
			v.sent = append(v.sent, command.Envelope.Message)
		case Save:
			v.save = append(v.save, command)
		}
	}
}

// tell delivers a message and gives what was answered before anything was synced.
func (v *voter) tell(from Member, message Message) []Message {
	v.sent = nil
	v.take(v.node.Deliver(v.now, Envelope{Fleet: "f", From: from.Address, To: memberB.Address, Message: message}))
	return v.sent
}

// sync lets all writes go through and gives what was answered then.
func (v *voter) sync() []Message {
	v.sent = nil
	for len(v.save) > 0 {
		save := v.save[0]
		v.save = v.save[1:]
		v.take(v.node.Saved(v.now, save.Token, nil))
	}
	return v.sent
}

func (v *voter) pass(span kernel.Micros) {
	for end := v.now + span; v.now < end; {
		v.now += v.node.TickSpan()
		v.take(v.node.Tick(v.now))
	}
}

func prepareOf(round uint64, from Member) Message {
	seeds := []string{memberA.Address, memberB.Address, memberC.Address}
	return Message{FoundPrepare: &FoundPrepare{Ballot: FoundingBallot{round, string(from.ID)}, Acceptor: from.ID, Seeds: seeds}}
}

func acceptOf(round uint64, from Member, first *Document) Message {
	return Message{FoundAccept: &FoundAccept{Ballot: FoundingBallot{round, string(from.ID)}, Acceptor: memberB.ID, Document: first}}
}

func TestAFoundingVoteIsToldOnlyOnceItIsOnDisk(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(*NodeSettings) {})
	c.Assert(v.tell(memberA, prepareOf(3, memberA)), qt.HasLen, 0)
	c.Assert(v.save, qt.HasLen, 1)
	c.Assert(v.save[0].FoundingVote.Promised.Round, qt.Equals, uint64(3))
	answers := v.sync()
	c.Assert(answers, qt.HasLen, 1)
	c.Assert(answers[0].FoundPromise.IsRefused, qt.IsFalse)

	c.Assert(v.tell(memberA, acceptOf(3, memberA, document(1, 1))), qt.HasLen, 0)
	c.Assert(v.save[0].FoundingVote.Document, qt.IsNotNil)
	c.Assert(v.sync()[0].FoundAccepted.IsRefused, qt.IsFalse)

	// A lower ballot gets nothing any more, a higher one hears what was accepted.
	lower := v.tell(memberC, prepareOf(2, memberC))
	c.Assert(lower[0].FoundPromise.IsRefused, qt.IsTrue)
	c.Assert(v.tell(memberC, acceptOf(2, memberC, document(1, 1)))[0].FoundAccepted.IsRefused, qt.IsTrue)
	v.tell(memberC, prepareOf(4, memberC))
	higher := v.sync()
	c.Assert(higher[0].FoundPromise.Accepted.Round, qt.Equals, uint64(3))
	c.Assert(higher[0].FoundPromise.Document.Founding, qt.Equals, "f")
}

func TestARestartedAcceptorGoesByItsFolderAlone(t *testing.T) {
	c := qt.New(t)
	vote := &FoundingVote{Acceptor: memberB.ID, Promised: FoundingBallot{5, "x"}, Accepted: FoundingBallot{5, "x"}, Document: document(1, 1)}
	kept := newVoter(c, func(settings *NodeSettings) { settings.Bootstrap, settings.FoundingVote = false, vote })
	c.Assert(kept.tell(memberA, prepareOf(4, memberA))[0].FoundPromise.IsRefused, qt.IsTrue)
	kept.tell(memberA, prepareOf(6, memberA))
	c.Assert(kept.sync()[0].FoundPromise.Document, qt.IsNotNil)

	// An emptied folder, and a seed that has none, may have promised anything.
	for _, hasFolder := range []bool{true, false} {
		lost := newVoter(c, func(settings *NodeSettings) {
			settings.Bootstrap, settings.HasFolder, settings.IsController = false, hasFolder, hasFolder
		})
		c.Assert(lost.tell(memberA, prepareOf(6, memberA)), qt.HasLen, 0)
		c.Assert(lost.sync(), qt.HasLen, 0)
		lost.pass(2 * kernel.Second)
		for _, message := range lost.sent {
			c.Assert(message.Announce, qt.IsNil)
		}
	}
}

func TestASecondLifeOfASeedWithoutAFolderIsNotListenedTo(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(settings *NodeSettings) { settings.HasFolder, settings.IsController = false, false })
	first, second := prepareOf(1, memberA), prepareOf(2, memberA)
	second.FoundPrepare.Acceptor = "another life"
	c.Assert(v.tell(memberA, first), qt.HasLen, 1)
	c.Assert(v.tell(memberA, second), qt.HasLen, 0)
	c.Assert(v.tell(memberC, prepareOf(3, memberC)), qt.HasLen, 1)
}

func TestAnotherProposerFinishesWhatWasBegun(t *testing.T) {
	c := qt.New(t)
	begun := document(1, 1)
	begun.Founding = "begun by another"
	v := newVoter(c, func(*NodeSettings) {})
	v.pass(2 * kernel.Second)
	v.sync()
	ballot := v.node.founder.proposal.ballot
	answers := v.tell(memberC, Message{FoundPromise: &FoundPromise{Ballot: ballot, Acceptor: memberC.ID, Accepted: FoundingBallot{1, "a"}, Document: begun}})
	c.Assert(answers, qt.Not(qt.HasLen), 0)
	for _, message := range answers {
		if message.FoundAccept != nil {
			c.Assert(message.FoundAccept.Document.Founding, qt.Equals, begun.Founding)
		}
	}
	v.sync()
	v.tell(memberC, Message{FoundAccepted: &FoundAccepted{Ballot: ballot, Acceptor: memberC.ID}})
	c.Assert(v.node.founder.chosen.Founding, qt.Equals, begun.Founding)
	v.sync()
	c.Assert(v.node.core.doc.Founding, qt.Equals, begun.Founding)
}

func TestSilentMembersFillUpTheFoundersButNeverOutnumberThoseThatAreThere(t *testing.T) {
	c := qt.New(t)
	v := newVoter(c, func(*NodeSettings) {})
	f := v.node.founder
	c.Assert(v.node.firstDocument(), qt.IsNil)
	f.hear(v.now, memberA)
	v.pass(2 * kernel.Second)
	// Nobody is there any more: a document without voters would never be in force.
	f.members = map[MemberID]announced{memberA.ID: f.members[memberA.ID]}
	c.Assert(v.node.firstDocument(), qt.IsNil)
	f.hear(v.now, memberB)
	c.Assert(v.node.firstDocument().Voters, qt.DeepEquals, []Member{memberB})
	f.hear(v.now, memberC)
	c.Assert(v.node.firstDocument().Voters, qt.DeepEquals, []Member{memberA, memberB, memberC})
	successor := Member{"another", memberA.Address, memberA.Zone}
	f.hear(v.now, successor)
	c.Assert(v.node.firstDocument().Voters, qt.DeepEquals, []Member{successor, memberB, memberC})
}
