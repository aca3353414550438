package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// keySpan is how long a revoked key may still be used. trustSpan is how long a node trusts its keys after the last time
// at which it knew its document to be the newest.
const (
	keySpan   = 5 * kernel.Second
	trustSpan = keySpan * 19 / 20
)

func (n *fleetNode) mayTrustKeys() bool {
	at := n.node.FreshAt()
	return n.isUp && !n.isFrozen && at > 0 && n.f.now-at < trustSpan
}

// acknowledgement records when the operator's change to a configuration version was acknowledged. After that time, no
// node may regard an older version as the newest.
type acknowledgement struct {
	version uint64
	at      kernel.Micros
}

// revocations is a fleet under faults to which an operator submits one configuration change after another.
type revocations struct {
	*fleet
	version uint64
	acked   []acknowledgement
	failed  string
}

// check records the first violation of two rules. A node must not treat its document as the newest of a time at which a
// newer one had already been acknowledged. A node must not trust its keys for longer than keySpan after a newer version
// was acknowledged. The first rule is the stricter one: the second follows from it.
func (w *revocations) check() {
	for _, n := range w.nodes {
		document := n.inForce()
		if document == nil {
			continue
		}
		for _, ack := range w.acked {
			isLate := n.mayTrustKeys() && w.now-ack.at > keySpan
			isFalse := n.node.FreshAt() > ack.at
			if (isLate || isFalse) && document.ConfigVersion < ack.version && w.failed == "" {
				w.failed = fmt.Sprintf("%s is at version %d and treats it as the newest of %d ms ago, but version %d was acknowledged %d ms ago",
					n.identity.Address, document.ConfigVersion, (w.now-n.node.FreshAt())/ms, ack.version, (w.now-ack.at)/ms)
			}
		}
	}
}

// watch checks every 20 ms.
func (w *revocations) watch() {
	w.check()
	w.schedule(20*ms, w.watch)
}

// change submits one change after another on random nodes until the given time.
func (w *revocations) change(until kernel.Micros) {
	if w.now > until {
		return
	}
	id := fmt.Sprint("change-", w.version+1)
	if reply, isThere := w.replies[id]; isThere && reply.Outcome == cluster.Accepted {
		w.version++
		w.acked = append(w.acked, acknowledgement{w.version, w.repliedAt[id]})
		w.schedule(700*ms, func() { w.change(until) })
		return
	}
	if n := w.nodes[w.random.IntN(len(w.nodes))]; n.isUp && !n.isFrozen {
		n.submit(id, w.version, configOf(w.version+1, "keys"))
	}
	w.schedule(kernel.Second, func() { w.change(until) })
}

// injectFault injects one random fault.
func (w *revocations) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if lead := w.leader(); lead != nil && w.random.IntN(2) == 0 {
		n = lead
	}
	span := kernel.Micros(1+w.random.IntN(9)) * kernel.Second
	switch w.random.IntN(5) {
	case 0:
		if n.isUp {
			n.kill()
			w.schedule(span/2, n.boot)
		}
	case 1:
		if n.isUp && !n.isFrozen {
			n.freeze(span)
		}
	case 2:
		n.cutFrom(direction(w.random.IntN(3)), w.nodes...)
		w.schedule(span, w.heal)
	case 3:
		// The node is cut off from some nodes only. Coordinators and leaders among the others still reach it.
		n.cutFrom(direction(w.random.IntN(3)), w.nodes[:1+w.random.IntN(len(w.nodes))]...)
		w.schedule(span, w.heal)
	default:
		w.faultPercent = int64(w.random.IntN(3)) * 5
	}
}

// A node that has missed a change must not trust its keys for longer than revoked keys may be used. That holds under
// any combination of partitions, freezes and restarts.
func TestNoNodeTrustsARevokedKeyForTooLong(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		c := qt.New(t)
		w := &revocations{fleet: steadyCore(c, 100+seed), version: 1}
		w.acked = []acknowledgement{{1, w.now}}
		w.watch()
		w.change(w.now + 60*kernel.Second)
		for range 20 {
			w.injectFault()
			w.advance(kernel.Micros(500+w.random.IntN(4000)) * ms)
		}
		c.Check(w.failed, qt.Equals, "", qt.Commentf("seed %d", seed))
		c.Check(len(w.acked) > 5, qt.IsTrue, qt.Commentf("seed %d: only %d changes were acknowledged", seed, len(w.acked)))
	}
}

// Without faults, all nodes trust their keys with seconds to spare. They still trust them during a change of leader.
func TestKeysAreTrustedInCalmTimesAndThroughAnElection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 7)
	f.advance(2 * kernel.Second)
	for range 100 {
		f.advance(50 * ms)
		for _, n := range f.nodes {
			c.Assert(f.now-n.node.FreshAt() < 2500*ms, qt.IsTrue, qt.Commentf("%s: %d ms", n.identity.Address, (f.now-n.node.FreshAt())/ms))
		}
	}
	old := f.leader()
	old.kill()
	for range 100 {
		f.advance(50 * ms)
		for _, n := range f.nodes {
			if n != old {
				c.Assert(n.mayTrustKeys(), qt.IsTrue, qt.Commentf("%s, %d ms", n.identity.Address, (f.now-n.node.FreshAt())/ms))
			}
		}
	}
}

// A node that has just started trusts no key before an answer of the leader has reached it, whatever its disk holds.
func TestANewIncarnationTrustsNoKeysFromItsDisk(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 8)
	f.advance(2 * kernel.Second)
	for _, n := range f.nodes {
		n.kill()
	}
	member := f.nodes[0]
	member.boot()
	f.advance(8 * kernel.Second)
	c.Check(member.inForce() != nil, qt.IsTrue)
	c.Check(member.mayTrustKeys(), qt.IsFalse)
}

// A leader counts its freshness from the last round that a majority has confirmed, since another leader may have been
// elected after that.
func TestAPartitionedLeaderDoesNotConfirmFreshness(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := steadyCore(c, 9)
	f.advance(2 * kernel.Second)
	lead := f.leader()
	freshness := lead.node.core.freshness()
	c.Check(freshness.IsFresh && freshness.Age < 300*ms, qt.IsTrue, qt.Commentf("%+v", freshness))
	lead.cutFrom(bothWays, f.nodes[:4]...)
	f.advance(500 * ms)
	freshness = lead.node.core.freshness()
	c.Check(!freshness.IsFresh || freshness.Age > 350*ms, qt.IsTrue, qt.Commentf("%+v", freshness))
}

// Freshness that refers to a document which the node has not applied says nothing about the applied document.
func TestFreshnessOfANewerDocumentIsNotTaken(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	lease := serving.NewLease(serving.LeaseSettings{Self: "n", IsRouter: true, Timing: cluster.SparseTiming(), Note: func(decision.Subject, decision.Decision, string) {}})
	lease.Apply(&cluster.Document{ClusterID: "f", Revision: 5, Term: 1})
	now := 100 * kernel.Second
	requestSeq := lease.NewRequest(now)
	lease.HandleFreshness(requestSeq, 6, wire.Freshness{IsFresh: true})
	c.Check(lease.Freshness(now).IsFresh, qt.IsFalse)
	lease.HandleFreshness(requestSeq+1, 5, wire.Freshness{IsFresh: true})
	c.Check(lease.Freshness(now).IsFresh, qt.IsFalse)
	lease.HandleFreshness(requestSeq, 5, wire.Freshness{IsFresh: true, Age: 200 * ms})
	c.Check(lease.Freshness(now), qt.Equals, wire.Freshness{IsFresh: true, Age: 200 * ms})
}
