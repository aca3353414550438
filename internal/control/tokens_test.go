package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// twoIncarnations are a process and the one that follows it at the same address. The time of day
// jumped back between them, so that the folder alone makes the later start the larger one.
func twoIncarnations(seed uint64) (earlier, later *Node) {
	settings := NodeSettings{
		Identity: kernel.Identity{Fleet: "f", Address: "10.0.0.9:1", Zone: "a"}, IsRouter: true, Start: 1_700_000_000_000_000,
		RandomSeed: seed, Timing: cluster.DefaultTiming(), Journal: kernel.NewJournal(64),
	}
	earlier = NewNode(settings, 0)
	settings.Start, settings.RandomSeed = settings.Start+1, seed+1
	return earlier, NewNode(settings, 0)
}

// A grant that answers an earlier life's ask lends nothing, however alike the counts of the
// asks are, and does not show that the leader has spoken to this life.
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
		// Its own grant lends.
		ownSeq := later.lease.NewRequest(kernel.Second)
		later.lease.HandleGrant(kernel.Second, &wire.LeaseGrant{Seq: ownSeq, Revision: 9})
		c.Assert(later.lease.ExpiresAt() > kernel.Second, qt.IsTrue)
	}
}

// A node's word that the routers know of a leaving engine counts for the life that asked: to
// the next one it says nothing on another engine.
func TestAPushResponseToAnEarlierIncarnationConfirmsNothing(t *testing.T) {
	const confirmationCount = 5000
	for seed := range uint64(16) {
		c := qt.New(t)
		earlier, later := twoIncarnations(seed)
		// Each is about another engine.
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
