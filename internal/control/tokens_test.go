package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// twoIncarnations returns a process and its successor at the same address. The clock was set back between the two
// starts, so the successor's start number is not taken from the clock. It is the number stored in the data folder plus
// one.
func twoIncarnations(seed uint64) (earlier, later *Node) {
	settings := NodeSettings{
		Identity: kernel.Identity{Fleet: "f", Address: "10.0.0.9:1", Zone: "a"}, IsRouter: true, Start: 1_700_000_000_000_000,
		RandomSeed: seed, Timing: cluster.DefaultTiming(), Journal: kernel.NewJournal(64),
	}
	earlier = NewNode(settings, 0)
	settings.Start, settings.RandomSeed = settings.Start+1, seed+1
	return earlier, NewNode(settings, 0)
}

// A grant for a request of an earlier incarnation does not extend the lease, even if both incarnations have sent the
// same number of requests. Nor does it prove that this incarnation has been in contact with the leader.
func TestAGrantToAnEarlierIncarnationLendsNothing(t *testing.T) {
	for seed := range uint64(16) {
		c := qt.New(t)
		earlier, later := twoIncarnations(seed)
		grants := []*wire.LeaseGrant{}
		for range 50 {
			grants = append(grants, &wire.LeaseGrant{Seq: earlier.lease.NewRequest(0), Revision: 9, Document: document(4, 9)})
			later.lease.NewRequest(kernel.Second)
		}
		for _, grant := range grants {
			later.lease.HandleGrant(kernel.Second, grant)
		}
		c.Assert(later.lease.ExpiresAt(), qt.Equals, kernel.Micros(0))
		c.Assert(later.lease.IsProven(), qt.IsFalse)
		// A grant for its own request extends the lease.
		ownSeq := later.lease.NewRequest(kernel.Second)
		later.lease.HandleGrant(kernel.Second, &wire.LeaseGrant{Seq: ownSeq, Revision: 9})
		c.Assert(later.lease.ExpiresAt() > kernel.Second, qt.IsTrue)
	}
}

// A push response confirms that a zone's routers know of a draining engine. It counts only for the incarnation that
// sent the push. For the next incarnation it must not confirm the drain of another engine.
func TestAPushResponseToAnEarlierIncarnationConfirmsNothing(t *testing.T) {
	t.Parallel()
	const confirmationCount = 5000
	for seed := range uint64(16) {
		c := qt.New(t)
		earlier, later := twoIncarnations(seed)
		// Each pending confirmation is about another engine.
		waiting := map[uint64]*endConfirmation{}
		later.lease.Apply(document(4, 9))
		for range confirmationCount {
			later.announcements.nextToken++
			waiting[later.announcements.nextToken] = &endConfirmation{zones: map[string]zoneConfirmation{}, nodes: map[string]bool{}}
		}
		later.announcements.confirmations = waiting
		for range confirmationCount {
			earlier.announcements.nextToken++
			later.onPushResponse("10.0.0.1:1", &wire.PushResponse{Token: earlier.announcements.nextToken, Zone: "a", IsComplete: true})
		}
		for _, confirmation := range waiting {
			c.Assert(confirmation.zones, qt.HasLen, 0)
		}
	}
}
