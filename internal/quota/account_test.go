package quota

import (
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

// A grant is applied once, and only if it answers the newest request.
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
	// No other request is due while one is in flight.
	c.Check(account.NextRequest(now+ms), qt.IsNil)
	now += 200 * ms
	second := account.NextRequest(now)
	c.Assert(second.Seq, qt.Equals, first.Seq+1)
	account.ApplyGrant(now, &Grant{Seq: first.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 50}}})
	c.Check(spendable(), qt.Equals, 0)
	grant := &Grant{Seq: second.Seq, Items: []GrantItem{{Tenant: "ann", Amount: 5}}}
	account.ApplyGrant(now, grant)
	account.ApplyGrant(now, grant)
	// One of the five credits went to the pending claim.
	c.Check(spendable(), qt.Equals, 4)
}

// A late grant to an earlier process of the same address is not taken for one's own.
func TestAGrantToAnEarlierIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	earlier, later := NewAccount(plainBounds, 1<<40), NewAccount(plainBounds, 1<<41)
	for _, account := range []*Account{earlier, later} {
		_, isUrgent := account.Claim(now, "ann", 1)
		c.Assert(isUrgent, qt.IsTrue)
	}
	late := &Grant{Seq: earlier.NextRequest(now).Seq, Items: []GrantItem{{Tenant: "ann", Amount: 50}}}
	own := &Grant{Seq: later.NextRequest(now).Seq, Items: []GrantItem{{Tenant: "ann", Amount: 2}}}
	later.ApplyGrant(now, late)
	later.ApplyGrant(now, own)
	granted := 0
	for {
		ticket, _ := later.Claim(now, "ann", 1)
		if outcome, _ := later.Outcome(ticket); outcome != Granted {
			break
		}
		granted++
	}
	// One of the two credits went to the pending claim.
	c.Assert(granted, qt.Equals, 1)
}

// A redirect to another leader is followed at once, but not in an endless loop.
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

// Credits expire after their lifetime, counted from when the granted request was sent and not from when the
// grant arrived.
func TestCreditsExpireAfterTheirLifetime(t *testing.T) {
	for _, test := range []struct {
		name    string
		after   kernel.Micros
		granted int
	}{
		{"within", plainBounds.CreditLifetime(), 4},
		{"beyond", plainBounds.CreditLifetime() + 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
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
			c.Check(count, qt.Equals, test.granted)
		})
	}
}

// A router repeats an unanswered request even when no claim is pending any more. Otherwise it would assume
// forever that no allocator answers, and never become ready again.
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

// fundedAccount returns an account that holds the given amount of credits for the tenant "ann", granted at now.
func fundedAccount(now kernel.Micros, amount float64) *Account {
	account := NewAccount(plainBounds, 1)
	account.Claim(now, "ann", 1)
	request := account.NextRequest(now)
	account.ApplyGrant(now, &Grant{Seq: request.Seq, Items: []GrantItem{{Tenant: "ann", Amount: amount + 1}}})
	return account
}

// spendAll claims one unit after another until a claim is not granted, and returns how many claims were granted.
func spendAll(account *Account, now kernel.Micros) (count int) {
	for {
		ticket, _ := account.Claim(now, "ann", 1)
		if outcome, _ := account.Outcome(ticket); outcome != Granted {
			account.Abandon(now, ticket)
			return count
		}
		count++
	}
}

// A request that provably did not run is refunded once, and only while its credits would still be valid. A request that
// may have run is charged again for each further attempt.
func TestRefundsAndFurtherCharges(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(account *Account, now kernel.Micros, ticket *Ticket) kernel.Micros // returns the time at which the rest is spent
		left int
	}{
		{"spent", func(_ *Account, now kernel.Micros, _ *Ticket) kernel.Micros { return now }, 4},
		{"refunded", func(a *Account, now kernel.Micros, ticket *Ticket) kernel.Micros { a.Refund(now, ticket); return now }, 5},
		{"refunded twice", func(a *Account, now kernel.Micros, ticket *Ticket) kernel.Micros {
			a.Refund(now, ticket)
			a.Refund(now, ticket)
			return now
		}, 5},
		{"charged again", func(a *Account, now kernel.Micros, ticket *Ticket) kernel.Micros { a.Charge(now, ticket); return now }, 3},
		{"refunded after the credits expired", func(a *Account, now kernel.Micros, ticket *Ticket) kernel.Micros {
			now += plainBounds.CreditLifetime() + 1
			a.Refund(now, ticket)
			return now
		}, 0},
		{"refunded after new credits were granted", func(a *Account, now kernel.Micros, ticket *Ticket) kernel.Micros {
			now += plainBounds.CreditLifetime() + 1
			a.Claim(now, "ann", 1)
			a.ApplyGrant(now, &Grant{Seq: a.NextRequest(now).Seq, Items: []GrantItem{{Tenant: "ann", Amount: 3}}})
			a.Refund(now, ticket)
			return now
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := 100 * kernel.Second
			account := fundedAccount(now, 5)
			ticket, _ := account.Claim(now, "ann", 1)
			outcome, _ := account.Outcome(ticket)
			c.Assert(outcome, qt.Equals, Granted)
			c.Check(spendAll(account, test.act(account, now, ticket)), qt.Equals, test.left)
		})
	}
}

// While no allocator answers, a claim is rejected at once instead of after a timeout, with a delay for the retry.
func TestClaimIsRejectedAtOnceWithoutAllocator(t *testing.T) {
	c := qt.New(t)
	now := 100 * kernel.Second
	account := NewAccount(plainBounds, 1)
	first, isUrgent := account.Claim(now, "ann", 1)
	c.Assert(isUrgent, qt.IsTrue)
	c.Assert(account.NextRequest(now), qt.IsNotNil)
	account.Abandon(now, first)
	now += unavailableTimeout + 1
	ticket, isUrgent := account.Claim(now, "ann", 1)
	outcome, retryAfter := account.Outcome(ticket)
	c.Assert(isUrgent, qt.IsFalse)
	c.Assert(outcome, qt.Equals, NoAllocator)
	c.Assert(retryAfter >= minBackoff, qt.IsTrue)
}
