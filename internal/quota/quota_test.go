package quota

import (
	"math"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// plainBounds tolerate nothing, so that a bucket holds its burst and no more.
var plainBounds = DefaultBounds()

// fullAllocator has a tenant "ann" with a full bucket of 100, and 10 a second.
func fullAllocator(now kernel.Micros) *Allocator {
	allocator := NewAllocator(now-20*kernel.Second, plainBounds)
	allocator.SetLimits(now-20*kernel.Second, []Limit{{"ann", 10, 100}})
	return allocator
}

func requestFor(incarnation, seq uint64, used, balance, need float64) *Request {
	return &Request{Incarnation: incarnation, Seq: seq, Items: []RequestItem{{Tenant: "ann", Used: used, Balance: balance, FirstNeed: need, Need: need}}}
}

// granted gives what an ask is answered with.
func granted(c *qt.C, allocator *Allocator, now kernel.Micros, router string, request *Request) float64 {
	grant := allocator.Allocate(now, router, request)
	c.Assert(grant, qt.IsNotNil)
	c.Assert(grant.Items, qt.HasLen, 1)
	return grant.Items[0].Amount
}

// Nobody knows what an earlier leader has dealt out, so a new one begins with nothing.
func TestANewAllocatorBeginsEmpty(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := NewAllocator(now, plainBounds)
	allocator.SetLimits(now, []Limit{{"ann", 10, 100}})
	c.Check(granted(c, allocator, now, "r", requestFor(1, 1, 0, 0, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", requestFor(1, 2, 0, 0, 10)), qt.Equals, 10.0)
}

// What a router holds leaves no room in the bucket, and what did not reach it comes back.
func TestCreditsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := fullAllocator(now)
	c.Check(granted(c, allocator, now, "r", requestFor(1, 1, 0, 0, 60)), qt.Equals, 60.0)
	// It did not take that: the grant was lost.
	c.Check(granted(c, allocator, now, "r", requestFor(1, 2, 0, 0, 90)), qt.Equals, 90.0)
	// An ask that comes late, or twice, is no news.
	c.Check(allocator.Allocate(now, "r", requestFor(1, 1, 0, 0, 60)), qt.IsNil)
	c.Check(allocator.Allocate(now, "r", requestFor(1, 2, 0, 0, 90)), qt.IsNil)
	// It holds 90, so that 10 are left however long it takes.
	now += 4 * kernel.Second
	c.Check(granted(c, allocator, now, "other", requestFor(1, 1, 0, 0, 10)), qt.Equals, 10.0)
	c.Check(granted(c, allocator, now, "other", requestFor(1, 2, 10, 0, 5)), qt.Equals, 0.0)
	// Spent credits make room.
	c.Check(granted(c, allocator, now, "r", requestFor(1, 3, 90, 0, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", requestFor(1, 4, 90, 0, 10)), qt.Equals, 10.0)
}

// The credits of a silent router, or of an earlier life of one, are taken for spent.
func TestCreditsOfUnresponsiveRoutersAreSpent(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	for _, isRestarted := range []bool{false, true} {
		allocator := fullAllocator(now)
		c.Check(granted(c, allocator, now, "r", requestFor(1, 1, 0, 0, 100)), qt.Equals, 100.0)
		later := now + plainBounds.CreditLifetime()/2
		if isRestarted {
			c.Check(granted(c, allocator, later, "r", requestFor(2, 1, 0, 0, 1)), qt.Equals, 0.0)
		} else {
			later = now + plainBounds.reclaimTimeout() + 1
			allocator.Sweep(later)
		}
		c.Check(granted(c, allocator, later, "other", requestFor(1, 1, 0, 0, 1)), qt.Equals, 0.0)
		c.Check(granted(c, allocator, later+kernel.Second, "other", requestFor(1, 2, 0, 0, 10)), qt.Equals, 10.0)
	}
}

// A grant counts once, and only for the newest ask.
func TestAGrantCountsOnceAndForTheNewestRequest(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	spendable := func() (count int) {
		for {
			ticket, _ := account.Claim(now, "ann", 1)
			if outcome, _ := account.Outcome(ticket); outcome != Granted {
				account.Abandon(now, ticket)
				return count
			}
			count++
		}
	}
	_, isUrgent := account.Claim(now, "ann", 1)
	c.Assert(isUrgent, qt.IsTrue)
	first := account.NextRequest(now)
	c.Assert(first, qt.IsNotNil)
	// One is under way.
	c.Check(account.NextRequest(now+ms), qt.IsNil)
	now += 200 * ms
	second := account.NextRequest(now)
	c.Assert(second.Seq, qt.Equals, first.Seq+1)
	account.ApplyGrant(now, &Grant{Seq: first.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 50}}})
	c.Check(spendable(), qt.Equals, 0)
	grant := &Grant{Seq: second.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 5}}}
	account.ApplyGrant(now, grant)
	account.ApplyGrant(now, grant)
	// One of five went to the claim that waited.
	c.Check(spendable(), qt.Equals, 4)
}

// Grants are whole units, so that sums of them come out exactly and what waits is served to the last one.
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

// An answer that names another leader is followed at once, but not round and round.
func TestARequestIsRedirectedAFewTimes(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	account.Claim(now, "ann", 1)
	count := 0
	for range 20 {
		if account.NextRequest(now) != nil {
			count++
		}
		account.Redirect()
		now += ms
	}
	c.Check(count, qt.Equals, 1+maxRedirects)
	now += responseTimeout
	c.Check(account.NextRequest(now), qt.IsNotNil)
}

// Credits end with their span, counted from the sending of the ask that was granted, however late the
// grant came.
func TestCreditsEndWithTheirSpan(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		after kernel.Micros
		count int
	}{{plainBounds.CreditLifetime(), 4}, {plainBounds.CreditLifetime() + 1, 0}} {
		now := 100 * kernel.Second
		account := NewAccount(plainBounds, 1)
		account.Claim(now, "ann", 1)
		request := account.NextRequest(now)
		account.ApplyGrant(now+100*ms, &Grant{Seq: request.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 5}}})
		count := 0
		for range 10 {
			ticket, _ := account.Claim(now+test.after, "ann", 1)
			if outcome, _ := account.Outcome(ticket); outcome == Granted {
				count++
			}
		}
		c.Check(count, qt.Equals, test.count)
	}
}

// A router whose ask was not answered asks on, also when nobody needs credits any more; else it would take
// quotas for not dealt out for good, and not be ready.
func TestAnUnresponsiveAllocatorIsRetriedUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	ticket, _ := account.Claim(now, "ann", 1)
	c.Assert(account.NextRequest(now), qt.IsNotNil)
	account.Abandon(now, ticket)
	c.Check(account.HasAllocator(now), qt.IsTrue)
	now += 60 * kernel.Second
	c.Check(account.HasAllocator(now), qt.IsFalse)
	request := account.NextRequest(now)
	c.Assert(request, qt.IsNotNil)
	account.ApplyGrant(now, &Grant{Seq: request.Seq})
	c.Check(account.HasAllocator(now), qt.IsTrue)
	c.Check(account.NextRequest(now+10*kernel.Second), qt.IsNil)
}
