package quota

import (
	"math"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// plainBounds tolerates no excess, so that the capacity of a bucket is its burst.
var plainBounds = DefaultBounds()

// fullAllocator returns an allocator with a tenant "ann", whose bucket is full at now. It has a capacity of
// 100 units and a rate of 10 units per second.
func fullAllocator(now kernel.Micros) *Allocator {
	allocator := NewAllocator(now-20*kernel.Second, plainBounds)
	allocator.SetLimits(now-20*kernel.Second, []Limit{{"ann", 10, 100}})
	return allocator
}

// requestFor returns a request for one pending claim of "ann" by a router without a balance. The router has used the
// given number of units so far.
func requestFor(incarnation, seq uint64, used, need float64) *Request {
	return &Request{Incarnation: incarnation, Seq: seq, Items: []RequestItem{{Tenant: "ann", Used: used, FirstNeed: need, Need: need}}}
}

// granted returns how much a request with one item is granted.
func granted(c *qt.C, allocator *Allocator, now kernel.Micros, router string, request *Request) float64 {
	c.Helper()
	grant := allocator.Allocate(now, router, request)
	c.Assert(grant, qt.IsNotNil)
	c.Assert(grant.Items, qt.HasLen, 1)
	return grant.Items[0].Amount
}

// A new leader does not know what an earlier one granted, so its buckets start empty.
func TestNewAllocatorStartsEmpty(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := NewAllocator(now, plainBounds)
	allocator.SetLimits(now, []Limit{{"ann", 10, 100}})
	c.Check(granted(c, allocator, now, "r", requestFor(1, 1, 0, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", requestFor(1, 2, 0, 10)), qt.Equals, 10.0)
}

// Credits that a router holds take room in the bucket, so that it does not refill in their place. The credits of a lost
// grant return to the bucket.
func TestCreditsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := fullAllocator(now)
	c.Check(granted(c, allocator, now, "r", requestFor(1, 1, 0, 60)), qt.Equals, 60.0)
	// The router did not apply that grant: it was lost.
	c.Check(granted(c, allocator, now, "r", requestFor(1, 2, 0, 90)), qt.Equals, 90.0)
	// A stale or duplicated request changes nothing.
	c.Check(allocator.Allocate(now, "r", requestFor(1, 1, 0, 60)), qt.IsNil)
	c.Check(allocator.Allocate(now, "r", requestFor(1, 2, 0, 90)), qt.IsNil)
	// The router holds 90, so the level does not rise above 10, however much time passes.
	now += 4 * kernel.Second
	c.Check(granted(c, allocator, now, "other", requestFor(1, 1, 0, 10)), qt.Equals, 10.0)
	c.Check(granted(c, allocator, now, "other", requestFor(1, 2, 10, 5)), qt.Equals, 0.0)
	// Spent credits free room in the bucket. Only the inflow from then on fills it.
	c.Check(granted(c, allocator, now, "r", requestFor(1, 3, 90, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", requestFor(1, 4, 90, 10)), qt.Equals, 10.0)
}

// The credits of a router that sends no more requests, or of a router's earlier incarnation, count as spent.
func TestCreditsOfUnresponsiveRoutersAreSpent(t *testing.T) {
	start := 100 * kernel.Second
	for _, test := range []struct {
		name  string
		at    kernel.Micros
		event func(c *qt.C, allocator *Allocator, now kernel.Micros)
	}{
		{"unresponsive", start + plainBounds.reclaimTimeout() + 1, func(_ *qt.C, allocator *Allocator, now kernel.Micros) {
			allocator.Sweep(now)
		}},
		{"restarted", start + plainBounds.CreditLifetime()/2, func(c *qt.C, allocator *Allocator, now kernel.Micros) {
			c.Check(granted(c, allocator, now, "r", requestFor(2, 1, 0, 1)), qt.Equals, 0.0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			allocator := fullAllocator(start)
			c.Check(granted(c, allocator, start, "r", requestFor(1, 1, 0, 100)), qt.Equals, 100.0)
			test.event(c, allocator, test.at)
			c.Check(granted(c, allocator, test.at, "other", requestFor(1, 1, 0, 1)), qt.Equals, 0.0)
			c.Check(granted(c, allocator, test.at+kernel.Second, "other", requestFor(1, 2, 0, 10)), qt.Equals, 10.0)
		})
	}
}

// Only whole units are granted, so that sums of grants are exact and rounding leaves no pending claim unserved.
func TestGrantsAreIntegers(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := NewAllocator(now-20*kernel.Second, testBounds)
	allocator.SetLimits(now-20*kernel.Second, []Limit{{"ann", 123_456.789, 200_000.5}})
	for i := range uint64(50) {
		now += kernel.Micros(i) * 1237
		request := &Request{Incarnation: 1, Seq: i + 1, Items: []RequestItem{{Tenant: "ann", Need: 9000, FirstNeed: 3000, Want: 2222.2, Used: float64(i) * 13_000}}}
		amount := allocator.Allocate(now, "r", request).Items[0].Amount
		c.Check(amount, qt.Equals, math.Trunc(amount))
	}
}

// manySmall returns a request for pending claims of one unit each.
func manySmall(incarnation uint64, need float64) *Request {
	return &Request{Incarnation: incarnation, Seq: 1, Items: []RequestItem{{Tenant: "ann", FirstNeed: 1, Need: need}}}
}

// A restarted router holds none of the credits of its earlier incarnation, so they count as spent. The use that it
// reports does not include the use of that incarnation.
func TestCreditsOfAnEarlierIncarnationAreSpent(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := fullAllocator(now)
	c.Assert(granted(c, allocator, now, "r", requestFor(1, 1, 0, 60)), qt.Equals, 60.0)
	c.Check(granted(c, allocator, now, "r", manySmall(2, 60)), qt.Equals, 40.0)
}

// When a limit is lowered, the current level of the bucket is lowered as well.
func TestALowerLimitLowersTheLevel(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := fullAllocator(now)
	allocator.SetLimits(now, []Limit{{"ann", 10, 30}})
	c.Check(granted(c, allocator, now, "r", manySmall(1, 90)), qt.Equals, 30.0)
}

// A new leader does not know what credits routers hold from an earlier leader. Until those have expired, it leaves a
// share of the capacity unused for each router that has not sent a request yet.
func TestNewAllocatorReservesSharesOfUnreportedRouters(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	// The rate of 400 fills the bucket well within the lifetime of credits.
	allocator := NewAllocator(now, plainBounds)
	allocator.SetRouterCount(4)
	allocator.SetLimits(now, []Limit{{"ann", 400, 100}})
	ask := func(at kernel.Micros, router string, seq uint64) float64 {
		return granted(c, allocator, at, router, &Request{Incarnation: 1, Seq: seq, Items: []RequestItem{{Tenant: "ann", FirstNeed: 1, Need: 500}}})
	}
	soon := now + plainBounds.CreditLifetime()/2
	c.Check(ask(now, "r1", 1), qt.Equals, 0.0)
	c.Check(ask(soon, "r1", 2), qt.Equals, 25.0)
	c.Check(ask(soon, "r2", 1), qt.Equals, 0.0)
	c.Check(ask(soon+kernel.Second/2, "r2", 2), qt.Equals, 25.0)
	later := now + plainBounds.reclaimTimeout()
	c.Check(ask(later, "r3", 1), qt.Equals, 50.0)
}
