package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

var (
	memberA = cluster.Member{ID: "a", Address: "10.0.0.1:1", Zone: "z1"}
	memberB = cluster.Member{ID: "b", Address: "10.0.0.2:1", Zone: "z2"}
	memberC = cluster.Member{ID: "c", Address: "10.0.0.3:1", Zone: "z3"}
)

func TestAVoteIsGivenOnceATermAndOnlyOnceItIsOnDisk(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.receive(memberA, voteRequest(memberA, 5, cluster.Position{Term: 4, Revision: 9}))
	c.Assert(b.votes(), qt.HasLen, 0)
	c.Assert(b.saves, qt.HasLen, 1)
	c.Assert(*b.saves[0].HardState, qt.Equals, cluster.HardState{Term: 5, VotedFor: "a"})
	b.sync()
	c.Assert(b.votes(), qt.HasLen, 1)
	c.Assert(b.votes()[0].IsGranted, qt.IsTrue)
	b.receive(memberC, voteRequest(memberC, 5, cluster.Position{Term: 4, Revision: 9}))
	b.sync()
	c.Assert(b.votes(), qt.HasLen, 2)
	c.Assert(b.votes()[1].IsGranted, qt.IsFalse)
	// The vote is restored from disk after a crash.
	again := newCoreHarness(c, cluster.HardState{Term: 5, VotedFor: "a"}, document(4, 9))
	again.receive(memberC, voteRequest(memberC, 5, cluster.Position{Term: 4, Revision: 9}))
	again.sync()
	c.Assert(again.votes()[0].IsGranted, qt.IsFalse)
}

func TestNoVoteForACandidateThatIsBehind(t *testing.T) {
	c := qt.New(t)
	for _, example := range []struct {
		newest  cluster.Position
		granted bool
	}{
		{cluster.Position{Term: 4, Revision: 9}, true}, {cluster.Position{Term: 4, Revision: 8}, false}, {cluster.Position{Term: 3, Revision: 20}, false}, {cluster.Position{Term: 5, Revision: 1}, true},
	} {
		b := newCoreHarness(c, cluster.HardState{Term: 5}, document(4, 9))
		b.receive(memberA, voteRequest(memberA, 6, example.newest))
		b.sync()
		c.Assert(b.votes()[0].IsGranted, qt.Equals, example.granted, qt.Commentf("%v", example.newest))
	}
}

func TestNoVoteForAnotherMemberIDOrWhileALeaderIsHeard(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	// The request is for the member that had this address before it lost its disk.
	b.receive(memberA, wire.Message{VoteRequest: &wire.VoteRequest{Term: 5, Candidate: memberA, Voter: "gone", LastPosition: cluster.Position{Term: 4, Revision: 9}}})
	b.sync()
	c.Assert(b.votes(), qt.HasLen, 0)
	b.receive(memberC, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberC, Target: memberB.ID, Round: 1}})
	b.receive(memberA, voteRequest(memberA, 5, cluster.Position{Term: 4, Revision: 9}))
	b.sync()
	c.Assert(b.votes()[0].IsGranted, qt.IsFalse)
	// A candidate to which the leader transfers its leadership need not wait for the leader's silence.
	named := voteRequest(memberA, 5, cluster.Position{Term: 4, Revision: 9})
	named.VoteRequest.IsTransfer = true
	b.receive(memberA, named)
	b.sync()
	c.Assert(b.votes()[1].IsGranted, qt.IsTrue)
}

func TestADocumentIsAcknowledgedOnlyOnceItIsOnDisk(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 7, Document: document(4, 10)}})
	replies := func() []wire.HeartbeatResponse {
		found := []wire.HeartbeatResponse{}
		for _, send := range b.sent {
			if send.Message.HeartbeatResponse != nil {
				found = append(found, *send.Message.HeartbeatResponse)
			}
		}
		return found
	}
	c.Assert(replies(), qt.HasLen, 0)
	// A heartbeat that arrives meanwhile is answered with the old document.
	b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 8}})
	c.Assert(replies()[0].Synced, qt.Equals, cluster.Position{Term: 4, Revision: 9})
	b.sync()
	c.Assert(replies()[1].Synced, qt.Equals, cluster.Position{Term: 4, Revision: 10})
	// The document counts as committed only once the leader says so.
	c.Assert(b.core.Committed(), qt.IsNil)
	b.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 9, Committed: cluster.Position{Term: 4, Revision: 10}}})
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(10))
	// A late heartbeat of an older term changes nothing.
	b.receive(memberC, wire.Message{Heartbeat: &wire.Heartbeat{Term: 3, Leader: memberC, Target: memberB.ID, Round: 2, Document: document(3, 30)}})
	b.sync()
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(10))
	last := replies()[len(replies())-1]
	c.Assert(last.Term, qt.Equals, uint64(4))
	c.Assert(last.Round, qt.Equals, uint64(0))
}

func TestANewLeaderFirstCommitsWhatItHolds(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	term := b.core.term
	c.Assert(b.core.doc.Position(), qt.Equals, cluster.Position{Term: term, Revision: 9})
	b.receive(memberC, wire.Message{Submit: &cluster.Submit{ID: "s", Operation: cluster.PutConfig, Config: []byte("{}")}})
	b.receive(memberC, wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: "z3", Requests: []wire.RouterLeaseRequest{{Address: memberC.Address, Zone: "z3", Seq: 1, Applied: 9}}}})
	b.pass(100 * kernel.Millisecond)
	// A confirmation of the same revision in the older term does not commit it.
	b.confirm(memberA, cluster.Position{Term: 4, Revision: 9})
	b.pass(100 * kernel.Millisecond)
	c.Assert(b.core.doc.Revision, qt.Equals, uint64(9))
	c.Assert(b.core.Committed(), qt.IsNil)
	for _, send := range b.sent {
		c.Assert(send.Message.LeaseGrantBatch, qt.IsNil)
	}
	b.confirm(memberA, cluster.Position{Term: term, Revision: 9})
	c.Assert(b.core.Committed().Revision, qt.Equals, uint64(9))
	c.Assert(b.core.doc.Revision, qt.Equals, uint64(10))
	c.Assert(string(b.core.doc.Config), qt.Equals, "{}")
}

func TestAGrantNeedsARoundConfirmedAfterTheRequest(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
	b.pass(50 * kernel.Millisecond)
	b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
	b.sent = nil
	before := b.core.round
	b.receive(memberC, wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: "z3", Requests: []wire.RouterLeaseRequest{{Address: memberC.Address, Zone: "z3", Seq: 1, Applied: 9}}}})
	grants := func() int {
		count := 0
		for _, send := range b.sent {
			if send.Message.LeaseGrantBatch != nil {
				count++
			}
		}
		return count
	}
	// A confirmation of a round that was sent before the request does not prove that this member still leads.
	b.receive(memberA, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: b.core.term, Round: before, Member: memberA, Synced: cluster.Position{Term: b.core.term, Revision: 9}}})
	c.Assert(grants(), qt.Equals, 0)
	b.pass(40 * kernel.Millisecond)
	c.Assert(grants(), qt.Equals, 0)
	b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
	c.Assert(grants(), qt.Equals, 1)
}

func TestMembershipChangesOneMemberAtATime(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	b.elect()
	learner := cluster.Member{ID: "d", Address: "10.0.0.4:1", Zone: "z1"}
	voterCounts := []int{}
	recordVoterCount := func() {
		if count := len(b.core.doc.Voters); len(voterCounts) == 0 || voterCounts[len(voterCounts)-1] != count {
			voterCounts = append(voterCounts, count)
		}
	}
	for range 1200 {
		b.pass(20 * kernel.Millisecond)
		// A answers, C stays silent, and D is a caught-up learner.
		b.confirm(memberA, b.core.doc.Position())
		recordVoterCount()
		if b.core.peers["d"] == nil {
			b.receive(learner, wire.Message{Join: &wire.Join{Member: learner, HasFolder: true}})
		}
		b.confirm(learner, b.core.doc.Position())
		recordVoterCount()
	}
	c.Assert(voterCounts, qt.DeepEquals, []int{3, 4, 3})
	_, isLostVoter := b.core.doc.Voter(memberC.ID)
	c.Assert(isLostVoter, qt.IsFalse)
	_, isLearnerVoter := b.core.doc.Voter(learner.ID)
	c.Assert(isLearnerVoter, qt.IsTrue)
}

// A member with another id at a voter's address shows that the voter's folder is lost. The voter is replaced
// without waiting for ReplaceTimeout, and still one member at a time. A voter that still sends messages
// keeps its place.
func TestAVoterWhoseAddressAnotherMemberTookIsReplacedAtOnce(t *testing.T) {
	successor := cluster.Member{ID: "c2", Address: memberC.Address, Zone: memberC.Zone}
	for _, isStillHeard := range []bool{false, true} {
		c := qt.New(t)
		b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
		b.elect()
		b.confirm(memberA, b.core.doc.Position())
		b.confirm(memberC, b.core.doc.Position())
		b.pass(100 * kernel.Millisecond)
		b.receive(successor, wire.Message{Join: &wire.Join{Member: successor, HasFolder: true}})
		answering := []cluster.Member{memberA, successor}
		if isStillHeard {
			answering = []cluster.Member{memberA, memberC, successor}
		}
		voterCounts := []int{3}
		for range 50 {
			b.pass(20 * kernel.Millisecond)
			for _, member := range answering {
				b.confirm(member, b.core.doc.Position())
				if count := len(b.core.doc.Voters); voterCounts[len(voterCounts)-1] != count {
					voterCounts = append(voterCounts, count)
				}
			}
		}
		_, isOldVoter := b.core.doc.Voter(memberC.ID)
		_, isSuccessorVoter := b.core.doc.Voter(successor.ID)
		c.Assert(isOldVoter, qt.Equals, isStillHeard)
		c.Assert(isSuccessorVoter, qt.Equals, !isStillHeard)
		if !isStillHeard {
			c.Assert(voterCounts, qt.DeepEquals, []int{3, 4, 3})
		}
	}
}

func TestAcceptanceNeedsBothRouterSetsDuringAChange(t *testing.T) {
	c := qt.New(t)
	newest := document(4, 9)
	newest.Routers, newest.PriorRouters, newest.RoutersRevision = []string{"r1", "r2", "r3", "r4", "r5"}, []string{"r1", "r2", "r3"}, 9
	b := newCoreHarness(c, cluster.HardState{Term: 4}, newest)
	b.elect()
	b.confirm(memberA, cluster.Position{Term: b.core.term, Revision: 9})
	b.receive(memberC, wire.Message{Submit: &cluster.Submit{ID: "s", Operation: cluster.PutConfig, Config: []byte("{}")}})
	b.pass(40 * kernel.Millisecond)
	b.confirm(memberA, b.core.doc.Position())
	applied := func(routers ...string) bool {
		requests := []wire.RouterLeaseRequest{}
		for _, router := range routers {
			requests = append(requests, wire.RouterLeaseRequest{Address: router, Zone: "z1", Applied: 10, IsRouter: true})
		}
		b.receive(memberC, wire.Message{LeaseRequestBatch: &wire.LeaseRequestBatch{Zone: "z1", Requests: requests}})
		for _, send := range b.sent {
			if reply := send.Message.SubmitResponse; reply != nil && reply.Outcome == cluster.Accepted {
				return true
			}
		}
		return false
	}
	// Three of the five routers have applied it, but only one of the three in the prior set.
	c.Assert(applied("r1", "r4", "r5"), qt.IsFalse)
	c.Assert(applied("r2"), qt.IsTrue)
}

func TestEngineRecordsMergeTheSameInAnyOrder(t *testing.T) {
	c := qt.New(t)
	records := []registry.EngineRecord{
		{ID: "e", Address: "1", Zone: "z", Start: 1, ListRevision: 3, ReportedAt: 10, SeenAt: 10, StartedAt: 5},
		{ID: "e", Address: "1", Zone: "z", Start: 1, Seq: 4, Load: 70, ReportedAt: 20, SeenAt: 20, StartedAt: 6},
		{ID: "e", Address: "1", Zone: "z", Start: 1, Seq: 3, Load: 90, IsDraining: true, ReportedAt: 15, SeenAt: 15, StartedAt: 6},
		{ID: "e", Address: "1", Zone: "z", Start: 1, IsUnresponsive: true, UnresponsiveSeq: 2, ReportedAt: 12, SeenAt: 12, ReachabilityChangedAt: 12, StartedAt: 6},
		{ID: "e", Address: "2", Zone: "z", Start: 2, Seq: 1, Load: 5, ReportedAt: 30, SeenAt: 30, StartedAt: 25},
		{ID: "e", Address: "2", Zone: "z", Start: 2, ListRevision: 5, ReportedAt: 31, SeenAt: 31, StartedAt: 25},
	}
	random := rand.New(rand.NewPCG(3, 3))
	var wanted string
	for round := range 200 {
		order := random.Perm(len(records))
		directory := registry.NewDirectory("x", cluster.DefaultTiming(), func(decision.Subject, decision.Decision, string) {})
		for _, index := range append(order, order[0]) {
			directory.MergeEngine(40, records[index], true)
		}
		got := directory.Engines()[0]
		text := got.RoutingState()
		if round == 0 {
			wanted = text
			c.Assert(got.Start, qt.Equals, uint64(2))
			c.Assert(got.IsDraining, qt.IsFalse)
			c.Assert(got.Load, qt.Equals, int64(5))
		}
		c.Assert(text, qt.Equals, wanted)
	}
	// The platform's list doesn't renew the time of an engine's last report. Nor does it confirm that an engine that
	// responds again is still the same process.
	listed := registry.NewDirectory("x", cluster.DefaultTiming(), func(decision.Subject, decision.Decision, string) {})
	listed.MergeEngine(40, records[1], true)
	listed.MergeListing(60, registry.Listing{Revision: 9, Engines: []registry.ListingEngine{{ID: "e", Address: "1", Zone: "z", Start: 1, State: "serving"}}})
	c.Assert(listed.Engines()[0].ReportedAt, qt.Equals, kernel.Micros(20))
	responsive := records[3]
	responsive.IsUnresponsive, responsive.UnresponsiveSeq, responsive.ReachabilityChangedAt = false, 3, 50
	listed.MergeEngine(60, responsive, true)
	c.Assert(listed.Engines()[0].IsUnconfirmed(), qt.IsTrue)
	listed.MergeListing(70, registry.Listing{Revision: 10, Engines: []registry.ListingEngine{{ID: "e", Address: "1", Zone: "z", Start: 1, State: "serving"}}})
	c.Assert(listed.Engines()[0].IsUnconfirmed(), qt.IsTrue)
	listed.MergeEngine(80, registry.EngineRecord{ID: "e", Start: 1, Seq: 5, Load: 1, ReportedAt: 75, SeenAt: 80}, true)
	c.Assert(listed.Engines()[0].IsUnconfirmed(), qt.IsFalse)
	// An engine that is draining stays so until its next start, whatever is reported later.
	directory := registry.NewDirectory("x", cluster.DefaultTiming(), func(decision.Subject, decision.Decision, string) {})
	for _, record := range []registry.EngineRecord{records[2], records[1], records[0]} {
		directory.MergeEngine(40, record, true)
	}
	c.Assert(directory.Engines()[0].IsDraining, qt.IsTrue)
	c.Assert(directory.Engines()[0].Load, qt.Equals, int64(70))
}

func TestALeaseCountsFromTheRequestAndCoversItsRevision(t *testing.T) {
	c := qt.New(t)
	l := serving.NewLease(serving.LeaseSettings{Self: "r", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	span := cluster.DefaultTiming().LeaseSpan
	first := l.NewRequest(1000)
	c.Assert(l.HandleGrant(500_000, &wire.LeaseGrant{Seq: first, Revision: 9, Document: document(4, 9)}), qt.IsTrue)
	c.Assert(l.ExpiresAt(), qt.Equals, 1000+span)
	// A grant for a revision that has not arrived yet does not extend the lease.
	second := l.NewRequest(600_000)
	l.HandleGrant(700_000, &wire.LeaseGrant{Seq: second, Revision: 10})
	c.Assert(l.ExpiresAt(), qt.Equals, 1000+span)
	// Neither does a grant that was never requested, or a grant that arrives twice.
	l.HandleGrant(700_000, &wire.LeaseGrant{Seq: 99, Revision: 9})
	l.HandleGrant(900_000, &wire.LeaseGrant{Seq: first, Revision: 9})
	c.Assert(l.ExpiresAt(), qt.Equals, 1000+span)
	// An older document never replaces a newer one.
	l.HandleGrant(800_000, &wire.LeaseGrant{Revision: 10, Document: document(4, 10)})
	l.HandleGrant(800_000, &wire.LeaseGrant{Revision: 9, Document: document(4, 9)})
	c.Assert(l.Revision(), qt.Equals, uint64(10))
}

func TestTheLeaseWithoutQuorumNeedsAMajorityThatTheLeaderHasProven(t *testing.T) {
	c := qt.New(t)
	held := document(4, 9)
	held.Routers = []string{"r", "s", "t", "u", "v"}
	l := serving.NewLease(serving.LeaseSettings{Self: "r", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	l.HandleGrant(0, &wire.LeaseGrant{Seq: l.NewRequest(0), Revision: 9, Document: held})
	begun := 10 * kernel.Second
	_, request, _ := l.TickNoQuorum(begun)
	c.Assert(request, qt.IsNotNil)
	l.HandleAttestResponse(begun, "s", &wire.AttestResponse{Seq: request.Seq, Revision: 9, IsProven: true})
	l.HandleAttestResponse(begun, "t", &wire.AttestResponse{Seq: request.Seq, Revision: 9, IsProven: false})
	l.HandleAttestResponse(begun, "w", &wire.AttestResponse{Seq: request.Seq, Revision: 9, IsProven: true}) // not registered
	c.Assert(l.ExpiresAt() < begun, qt.IsTrue)
	l.HandleAttestResponse(begun, "u", &wire.AttestResponse{Seq: request.Seq, Revision: 8, IsProven: true})
	c.Assert(l.ExpiresAt(), qt.Equals, begun+cluster.DefaultTiming().LeaseSpan)
	// A router that has had no grant from the leader since its start gets no lease without quorum. Before the restart
	// it may have served under a newer revision that none of the other routers had.
	restarted := serving.NewLease(serving.LeaseSettings{Self: "v", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	restarted.Apply(held)
	_, none, _ := restarted.TickNoQuorum(begun)
	c.Assert(none, qt.IsNil)
	for _, router := range held.Routers {
		restarted.HandleAttestResponse(begun, router, &wire.AttestResponse{Seq: 1, Revision: 9, IsProven: true})
	}
	c.Assert(restarted.ExpiresAt(), qt.Equals, kernel.Micros(0))
	// A router that holds a newer revision prevents an extension of the lease, and supplies the document.
	_, request, _ = l.TickNoQuorum(begun + kernel.Second)
	newer := document(4, 10)
	newer.Routers = held.Routers
	// Three routers report that they hold the newer revision. The document is requested from only one of them, at the
	// next tick.
	other := serving.NewLease(serving.LeaseSettings{Self: "s", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	other.Apply(newer)
	for _, router := range []string{"s", "t", "u"} {
		c.Assert(other.Attest(request).Document, qt.IsNil)
		c.Assert(l.HandleAttestResponse(begun, router, &wire.AttestResponse{Seq: request.Seq, Revision: 10, IsProven: true}), qt.IsFalse)
	}
	_, request, documentSource := l.TickNoQuorum(begun + kernel.Second + 20*kernel.Millisecond)
	c.Assert(documentSource, qt.Equals, "s")
	request.WantsDocument = true
	reply := other.Attest(request)
	c.Assert(reply.Document, qt.DeepEquals, newer)
	// A response that arrives meanwhile does not lead to a second request.
	l.HandleAttestResponse(begun+kernel.Second+40*kernel.Millisecond, "t", &wire.AttestResponse{Seq: request.Seq, Revision: 10, IsProven: true})
	_, secondRequest, _ := l.TickNoQuorum(begun + kernel.Second + 60*kernel.Millisecond)
	c.Assert(secondRequest, qt.IsNil)
	c.Assert(l.HandleAttestResponse(begun, "s", reply), qt.IsTrue)
	c.Assert(l.Revision(), qt.Equals, uint64(10))
}

// A configuration that a member already has is not sent to it again. A member that lacks it reports that, does
// not confirm the document, and is sent the document with its configuration.
func TestAConfigIsOmittedOnlyForMembersThatHoldIt(t *testing.T) {
	c := qt.New(t)
	first := document(4, 9)
	first.PutConfig([]byte(`{"large":"one"}`), nil)
	next := first.Next(4)
	next.DrainedZones["z1"] = next.Revision
	heartbeat := wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 7, Document: next.WithoutConfig()}}
	last := func(b *coreHarness) wire.HeartbeatResponse { return *b.sent[len(b.sent)-1].Message.HeartbeatResponse }

	holder := newCoreHarness(c, cluster.HardState{Term: 4}, first)
	holder.receive(memberA, heartbeat)
	c.Assert(string(holder.saves[0].Document.Config), qt.Equals, string(first.Config)) // saved with its configuration
	holder.sync()
	c.Assert(last(holder).Synced, qt.Equals, cluster.Position{Term: 4, Revision: 10})
	c.Assert(last(holder).LacksConfig, qt.IsFalse)

	// A deposed leader may have left another configuration under the same revision.
	other := document(4, 9)
	other.PutConfig([]byte(`{"large":"two"}`), nil)
	for name, received := range map[string]*cluster.Document{"nothing": nil, "another configuration": other, "no configuration": document(4, 9)} {
		lacking := newCoreHarness(c, cluster.HardState{Term: 4}, received)
		lacking.receive(memberA, heartbeat)
		lacking.sync()
		c.Assert(last(lacking).LacksConfig, qt.IsTrue, qt.Commentf("%s", name))
		c.Assert(last(lacking).Synced, qt.Equals, received.Position())
		lacking.receive(memberA, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: memberA, Target: memberB.ID, Round: 8, Document: next}})
		lacking.sync()
		c.Assert(last(lacking).Synced, qt.Equals, cluster.Position{Term: 4, Revision: 10})
	}

	// The leader first omits the configuration, and sends it to a member that reports that it lacks it.
	lead := newCoreHarness(c, cluster.HardState{Term: 4}, next)
	lead.elect()
	lead.confirm(memberA, cluster.Position{Term: lead.core.term, Revision: 10})
	lead.core.Receive(lead.now, memberA.Address, wire.Message{Submit: &cluster.Submit{ID: "s", Operation: cluster.DrainZone, Zone: "z2"}})
	lead.drain()
	configs := func() (sizes []int) {
		for _, send := range lead.sent {
			if heartbeat := send.Message.Heartbeat; heartbeat != nil && heartbeat.Target == memberC.ID && heartbeat.Document != nil && heartbeat.Document.Revision == 11 {
				sizes = append(sizes, len(heartbeat.Document.Config))
			}
		}
		return sizes
	}
	c.Assert(configs(), qt.DeepEquals, []int{0})
	lead.receive(memberC, wire.Message{HeartbeatResponse: &wire.HeartbeatResponse{Term: lead.core.term, Round: lead.core.round, Member: memberC, LacksConfig: true}})
	lead.pass(40 * kernel.Millisecond)
	c.Assert(configs(), qt.DeepEquals, []int{0, len(first.Config)})
}

func TestADocumentWithoutConfigIsAppliedOnlyWithItsConfig(t *testing.T) {
	c := qt.New(t)
	first := document(4, 9)
	first.PutConfig([]byte(`{"large":"one"}`), nil)
	next := first.Next(4)
	lease := serving.NewLease(serving.LeaseSettings{Self: "10.0.0.9:1", IsRouter: true, Timing: cluster.DefaultTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	c.Assert(lease.Apply(next.WithoutConfig()), qt.IsFalse)
	c.Assert(lease.Revision(), qt.Equals, uint64(0))
	c.Assert(lease.Apply(first), qt.IsTrue)
	c.Assert(lease.Apply(next.WithoutConfig()), qt.IsTrue)
	c.Assert(string(lease.Applied().Config), qt.Equals, string(first.Config))
	// A node that has applied nothing, or a revision older than that of the configuration, is sent the configuration
	// too.
	c.Assert(len(next.DeltaFor(8).Config), qt.Equals, len(first.Config))
	c.Assert(len(next.DeltaFor(9).Config), qt.Equals, 0)
}

// More engines are draining than the document keeps marks for. If the reports evicted each other's marks, the leader
// would propose new documents for ever.
func TestDrainingReportsNeverEvictEachOtherForEver(t *testing.T) {
	c := qt.New(t)
	node := NewNode(NodeSettings{Timing: cluster.DefaultTiming(), Journal: kernel.NewJournal(16)}, 0)
	for i := range 2 * cluster.MaxDrainingMarks {
		node.directory.MergeEngine(0, registry.EngineRecord{ID: fmt.Sprintf("e%03d", i), Address: "10.0.0.1:1", Start: 1, IsDraining: true}, true)
	}
	marks := node.drainingReports()
	c.Assert(marks, qt.HasLen, cluster.MaxDrainingMarks/2)
	core := newCoreHarness(c, cluster.HardState{}, document(1, 9)).core
	core.role = leader
	next := core.doc.Next(1)
	for i := range cluster.MaxDrainingMarks {
		next.MarkDraining(fmt.Sprint("by hand ", i), 1)
	}
	reasons := []string{}
	core.ReportDraining(marks)
	core.reconcileDrainingMarks(next, &reasons)
	c.Assert(reasons, qt.HasLen, cluster.MaxDrainingMarks/2)
	again := next.Next(1)
	reasons = nil
	core.ReportDraining(marks)
	core.reconcileDrainingMarks(again, &reasons)
	c.Assert(reasons, qt.HasLen, 0)
}

// Writes that wait behind one in progress are merged into one, with the newest term, vote and document. All their
// responses are sent once it is synced.
func TestWaitingWritesAreCoalesced(t *testing.T) {
	c := qt.New(t)
	b := newCoreHarness(c, cluster.HardState{Term: 4}, document(4, 9))
	sender := cluster.Member{ID: "a", Address: memberA.Address, Zone: memberA.Zone}
	for revision := uint64(10); revision <= 13; revision++ {
		b.receive(sender, wire.Message{Heartbeat: &wire.Heartbeat{Term: 4, Leader: sender, Target: memberB.ID, Round: revision, Document: document(4, revision)}})
	}
	c.Assert(b.saves, qt.HasLen, 1)
	c.Assert(b.core.saves, qt.HasLen, 2)
	replies := func() []cluster.Position {
		found := []cluster.Position{}
		for _, send := range b.sent {
			if reply := send.Message.HeartbeatResponse; reply != nil {
				found = append(found, reply.Synced)
			}
		}
		return found
	}
	// A new term that arrives meanwhile is merged into the waiting write, which keeps its document.
	b.receive(sender, wire.Message{VoteResponse: &wire.VoteResponse{KnownTerm: 6}})
	c.Assert(replies(), qt.HasLen, 0)
	first := b.saves[0]
	b.saves = nil
	b.core.Saved(b.now, first.Token, nil)
	b.drain()
	c.Assert(replies(), qt.DeepEquals, []cluster.Position{{Term: 4, Revision: 10}})
	c.Assert(b.saves, qt.HasLen, 1)
	c.Assert(b.saves[0].Document.Revision, qt.Equals, uint64(13))
	c.Assert(*b.saves[0].HardState, qt.Equals, cluster.HardState{Term: 6})
	b.sync()
	c.Assert(replies(), qt.DeepEquals, []cluster.Position{{Term: 4, Revision: 10}, {Term: 4, Revision: 13}, {Term: 4, Revision: 13}, {Term: 4, Revision: 13}})
	// Revisions 11 and 12 were never written on their own; only the newest one counts as synced.
	c.Assert(b.core.synced, qt.Equals, cluster.Position{Term: 4, Revision: 13})
}
