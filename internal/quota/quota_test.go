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

func askFor(life, seq uint64, used, held, need float64) *Ask {
	return &Ask{Life: life, Seq: seq, Items: []AskItem{{Tenant: "ann", Used: used, Held: held, First: need, Need: need}}}
}

// granted gives what an ask is answered with.
func granted(c *qt.C, allocator *Allocator, now kernel.Micros, router string, ask *Ask) float64 {
	grant := allocator.Take(now, router, ask)
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
	c.Check(granted(c, allocator, now, "r", askFor(1, 1, 0, 0, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", askFor(1, 2, 0, 0, 10)), qt.Equals, 10.0)
}

// What a router holds leaves no room in the bucket, and what did not reach it comes back.
func TestCreditsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := fullAllocator(now)
	c.Check(granted(c, allocator, now, "r", askFor(1, 1, 0, 0, 60)), qt.Equals, 60.0)
	// It did not take that: the grant was lost.
	c.Check(granted(c, allocator, now, "r", askFor(1, 2, 0, 0, 90)), qt.Equals, 90.0)
	// An ask that comes late, or twice, is no news.
	c.Check(allocator.Take(now, "r", askFor(1, 1, 0, 0, 60)), qt.IsNil)
	c.Check(allocator.Take(now, "r", askFor(1, 2, 0, 0, 90)), qt.IsNil)
	// It holds 90, so that 10 are left however long it takes.
	now += 4 * kernel.Second
	c.Check(granted(c, allocator, now, "other", askFor(1, 1, 0, 0, 10)), qt.Equals, 10.0)
	c.Check(granted(c, allocator, now, "other", askFor(1, 2, 10, 0, 5)), qt.Equals, 0.0)
	// Spent credits make room.
	c.Check(granted(c, allocator, now, "r", askFor(1, 3, 90, 0, 1)), qt.Equals, 0.0)
	c.Check(granted(c, allocator, now+kernel.Second, "r", askFor(1, 4, 90, 0, 10)), qt.Equals, 10.0)
}

// The credits of a silent router, or of an earlier life of one, are taken for spent.
func TestCreditsOfTheSilentAreSpent(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	for _, isRestarted := range []bool{false, true} {
		allocator := fullAllocator(now)
		c.Check(granted(c, allocator, now, "r", askFor(1, 1, 0, 0, 100)), qt.Equals, 100.0)
		later := now + plainBounds.CreditLife()/2
		if isRestarted {
			c.Check(granted(c, allocator, later, "r", askFor(2, 1, 0, 0, 1)), qt.Equals, 0.0)
		} else {
			later = now + plainBounds.reclaimAfter() + 1
			allocator.Sweep(later)
		}
		c.Check(granted(c, allocator, later, "other", askFor(1, 1, 0, 0, 1)), qt.Equals, 0.0)
		c.Check(granted(c, allocator, later+kernel.Second, "other", askFor(1, 2, 0, 0, 10)), qt.Equals, 10.0)
	}
}

// A grant counts once, and only for the newest ask.
func TestAGrantCountsOnceAndForTheNewestAsk(t *testing.T) {
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
	first := account.Ask(now)
	c.Assert(first, qt.IsNotNil)
	// One is under way.
	c.Check(account.Ask(now+ms), qt.IsNil)
	now += 200 * ms
	second := account.Ask(now)
	c.Assert(second.Seq, qt.Equals, first.Seq+1)
	account.Take(now, &Grant{Seq: first.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 50}}})
	c.Check(spendable(), qt.Equals, 0)
	grant := &Grant{Seq: second.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 5}}}
	account.Take(now, grant)
	account.Take(now, grant)
	// One of five went to the claim that waited.
	c.Check(spendable(), qt.Equals, 4)
}

// Grants are whole units, so that sums of them come out exactly and what waits is served to the last one.
func TestGrantsAreWhole(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	allocator := NewAllocator(now-20*kernel.Second, testBounds)
	allocator.SetLimits(now-20*kernel.Second, []Limit{{"ann", 123_456.789, 200_000.5}})
	for i := range uint64(50) {
		now += kernel.Micros(i) * 1237
		ask := &Ask{Life: 1, Seq: i + 1, Items: []AskItem{{Tenant: "ann", Need: 9000, First: 3000, Want: 2222.2, Used: float64(i) * 13_000}}}
		amount := allocator.Take(now, "r", ask).Items[0].Amount
		c.Check(amount, qt.Equals, math.Trunc(amount))
	}
}

// An answer that names another leader is followed at once, but not round and round.
func TestAnAskIsRedirectedAFewTimes(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	account.Claim(now, "ann", 1)
	count := 0
	for range 20 {
		if account.Ask(now) != nil {
			count++
		}
		account.Redirect()
		now += ms
	}
	c.Check(count, qt.Equals, 1+mostRedirects)
	now += answerSpan
	c.Check(account.Ask(now), qt.IsNotNil)
}

// Credits end with their span, counted from the sending of the ask that was granted, however late the
// grant came.
func TestCreditsEndWithTheirSpan(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		after kernel.Micros
		count int
	}{{plainBounds.CreditLife(), 4}, {plainBounds.CreditLife() + 1, 0}} {
		now := 100 * kernel.Second
		account := NewAccount(plainBounds, 1)
		account.Claim(now, "ann", 1)
		ask := account.Ask(now)
		account.Take(now+100*ms, &Grant{Seq: ask.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 5}}})
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
func TestASilentAllocatorIsAskedUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	ticket, _ := account.Claim(now, "ann", 1)
	c.Assert(account.Ask(now), qt.IsNotNil)
	account.Abandon(now, ticket)
	c.Check(account.IsServed(now), qt.IsTrue)
	now += 60 * kernel.Second
	c.Check(account.IsServed(now), qt.IsFalse)
	ask := account.Ask(now)
	c.Assert(ask, qt.IsNotNil)
	account.Take(now, &Grant{Seq: ask.Seq})
	c.Check(account.IsServed(now), qt.IsTrue)
	c.Check(account.Ask(now+10*kernel.Second), qt.IsNil)
}
