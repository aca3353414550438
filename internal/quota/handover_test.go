package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// leaderChange simulates a change of leader in virtual time, during which the first router may be partitioned.
type leaderChange struct {
	bounds        Bounds
	limit         Limit
	routers       int
	now           kernel.Micros
	accounts      []*Account
	allocator     *Allocator
	isPartitioned bool // the first router is partitioned from every leader
	spent         float64
	heldTickets   []heldTicket
}

// heldTicket is a granted ticket whose request still waits for an engine.
type heldTicket struct {
	account int
	ticket  *Ticket
	since   kernel.Micros
}

// claimAndHold refunds the tickets that have been held for at least the time longest. Then every router makes claims
// until one is not granted, and holds the granted tickets.
func (l *leaderChange) claimAndHold(cost float64, longest kernel.Micros) {
	l.refundHeld(longest)
	for i := range l.accounts {
		for isGranted := true; isGranted; {
			ticket, isUrgent := l.accounts[i].Claim(l.now, l.limit.Tenant, cost)
			if isUrgent {
				l.sendRequest(i)
			}
			outcome, _ := l.accounts[i].Outcome(ticket)
			isGranted = outcome == Granted
			if isGranted {
				l.heldTickets = append(l.heldTickets, heldTicket{i, ticket, l.now})
			} else {
				l.accounts[i].Abandon(l.now, ticket)
			}
		}
	}
}

// refundHeld refunds the tickets that have been held for at least the time longest.
func (l *leaderChange) refundHeld(longest kernel.Micros) {
	kept := l.heldTickets[:0]
	for _, held := range l.heldTickets {
		if l.now-held.since < longest {
			kept = append(kept, held)
			continue
		}
		l.accounts[held.account].Refund(l.now, held.ticket)
	}
	l.heldTickets = kept
}

func newLeaderChange(bounds Bounds, limit Limit, routers int) *leaderChange {
	l := &leaderChange{bounds: bounds, limit: limit, routers: routers, now: 100 * kernel.Second}
	for i := range routers {
		l.accounts = append(l.accounts, NewAccount(bounds, uint64(i+1)))
	}
	l.elect()
	return l
}

func (l *leaderChange) elect() {
	l.allocator = NewAllocator(l.now, l.bounds)
	l.allocator.SetRouterCount(l.routers)
	l.allocator.SetLimits(l.now, []Limit{l.limit})
}

// sendRequest sends the quota request that is due at a router to the leader, if it can be reached, and applies the
// grant.
func (l *leaderChange) sendRequest(index int) {
	request := l.accounts[index].NextRequest(l.now)
	if request == nil || l.allocator == nil || l.isPartitioned && index == 0 {
		return
	}
	if grant := l.allocator.Allocate(l.now, string(rune('a'+index)), request); grant != nil {
		l.accounts[index].ApplyGrant(l.now, grant)
	}
}

// claim makes claims at a router and returns how many were granted. The others are abandoned.
func (l *leaderChange) claim(index int, cost float64, count int) (granted int) {
	for range count {
		ticket, isUrgent := l.accounts[index].Claim(l.now, l.limit.Tenant, cost)
		if isUrgent {
			l.sendRequest(index)
		}
		if outcome, _ := l.accounts[index].Outcome(ticket); outcome == Granted {
			granted++
		} else {
			l.accounts[index].Abandon(l.now, ticket)
		}
	}
	l.spent += float64(granted) * cost
	return granted
}

// drain makes claims at a router until one is not granted.
func (l *leaderChange) drain(index int, cost float64) {
	for isGranted := true; isGranted; {
		isGranted = l.claim(index, cost, 1) == 1
	}
}

// advance lets time pass in steps. In each step, every router sends the request that is due, and during is called.
func (l *leaderChange) advance(span kernel.Micros, during func()) {
	const step = 10 * ms
	for end := l.now + span; l.now < end; l.now += step {
		for i := range l.accounts {
			l.sendRequest(i)
		}
		if during != nil {
			during()
		}
	}
}

// balanceOf returns the sum of a router's credits that may still be spent.
func balanceOf(a *Account) (sum float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, credits := range a.credits {
		sum += credits.balance
	}
	return sum
}

// Timing of a leader change, as in deployments.
const (
	minLeaderChange = 412 * ms // the least time between the last grant of the old leader and the first of the new one
	surplusLifetime = 337 * ms
)

// A router that holds most of a tenant's capacity is partitioned when the leader is lost. The tenant pauses until the
// new leader's bucket is full again, and then floods all routers. The partitioned router must not spend its credits in
// addition to the full bucket.
func TestRouterPartitionedDuringLeaderChangeStaysWithinQuota(t *testing.T) {
	for _, test := range []struct {
		name    string
		bounds  Bounds
		limit   Limit
		routers int
		cost    float64
		pause   kernel.Micros // how long the tenant pauses, from the loss of the leader
	}{
		{"nothing tolerated", Bounds{Window: 8 * kernel.Second}, Limit{"t", 1000, 1000}, 10, 10, 2 * kernel.Second},
		{"a tenth tolerated", Bounds{Window: 8 * kernel.Second, Over: 0.1}, Limit{"t", 1000, 1000}, 10, 10, 2500 * ms},
		{"a tenth tolerated, three routers", Bounds{Window: 8 * kernel.Second, Over: 0.1}, Limit{"t", 1000, 1000}, 3, 10, 2500 * ms},
		{"a long burst", Bounds{Window: 8 * kernel.Second, Over: 0.05}, Limit{"t", 1000, 1500}, 10, 50, 3 * kernel.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.bounds.SurplusLifetime = surplusLifetime
			l := newLeaderChange(test.bounds, test.limit, test.routers)
			// The first router gets many times the rate, so that it predicts a high demand. Then it prefetches credits.
			l.advance(8*kernel.Second, func() { l.claim(0, test.cost, int(0.1*test.limit.Rate/test.cost)) })
			l.advance(1500*ms, nil)
			l.isPartitioned, l.allocator = true, nil
			l.advance(minLeaderChange, nil)
			l.elect()
			// The other routers serve a request now and then, so that the new leader hears from all but the first.
			l.advance(test.pause-minLeaderChange, func() {
				if l.now%(500*ms) < 10*ms {
					for i := range l.accounts[1:] {
						l.claim(i+1, 1, 1)
					}
				}
			})
			t.Logf("the first router holds %.0f", balanceOf(l.accounts[0]))
			l.spent = 0
			flood := func() {
				for i := range l.accounts {
					l.drain(i, test.cost)
				}
			}
			l.advance(test.bounds.Window, flood)
			window := float64(test.bounds.Window) / float64(kernel.Second)
			allowed := (window*test.limit.Rate + test.limit.Burst) * (1 + test.bounds.Over)
			t.Logf("%.3f of what is tolerated", l.spent/allowed)
			c.Assert(l.spent <= allowed+test.cost, qt.IsTrue, qt.Commentf("%.0f spent, %.0f are tolerated", l.spent, allowed))
		})
	}
}

// Credits beyond a router's share expire SurplusLifetime after their request was sent. That also holds for the credits
// of a grant that arrives later, and for credits that are refunded later.
func TestSurplusCreditsExpire(t *testing.T) {
	const (
		share   = 100.0
		granted = 1000.0
	)
	bounds := Bounds{Window: 8 * kernel.Second, SurplusLifetime: surplusLifetime}
	start := 100 * kernel.Second
	for _, test := range []struct {
		name       string
		share      float64
		grantAfter kernel.Micros // delay from the request to the grant
		act        func(a *Account, paid *Ticket)
		after      kernel.Micros // delay from the request to the check of the balance
		wanted     float64
	}{
		{"within the span", share, 0, nil, surplusLifetime, granted - 10},
		{"after the span", share, 0, nil, surplusLifetime + 1, share},
		{"after the lifetime of all credits", share, 0, nil, bounds.CreditLifetime() + 1, 0},
		{"a leader of an earlier build tells no share", 0, 0, nil, surplusLifetime + 1, granted - 10},
		{"a late grant", share, surplusLifetime + 1, nil, surplusLifetime + 1, share - 10},
		{"a refund after the span", share, 0, func(a *Account, paid *Ticket) { a.Refund(start+surplusLifetime+1, paid) }, surplusLifetime + 1, share},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := NewAccount(bounds, 1)
			paid, _ := a.Claim(start, "t", 10)
			request := a.NextRequest(start)
			c.Assert(request, qt.IsNotNil)
			a.ApplyGrant(start+test.grantAfter, &Grant{Seq: request.Seq, Items: []GrantItem{{Tenant: "t", Amount: granted, Share: test.share}}})
			outcome, _ := a.Outcome(paid)
			c.Assert(outcome, qt.Equals, Granted)
			if test.act != nil {
				test.act(a, paid)
			}
			// The balance is read directly, since a claim would change it.
			a.lock.Lock()
			a.expire(start + test.after)
			a.lock.Unlock()
			c.Assert(balanceOf(a), qt.Equals, test.wanted)
		})
	}
}

// While all engines of a service are gone, requests are granted, held for a while and refunded, and the bucket refills
// in the meantime. Once the engines are back, the tenant must not spend more than the bounds tolerate within a window.
func TestLateRefundIsNotSpentOnTopOfRefill(t *testing.T) {
	for _, test := range []struct {
		name    string
		bounds  Bounds
		routers int
		held    kernel.Micros
	}{
		{"held for long", Bounds{Window: 8 * kernel.Second}, 3, 1500 * ms},
		{"a tenth tolerated", Bounds{Window: 8 * kernel.Second, Over: 0.1}, 3, 1500 * ms},
		{"many routers", Bounds{Window: 6 * kernel.Second, Over: 0.1}, 12, 2 * kernel.Second},
		{"held shortly", Bounds{Window: 6 * kernel.Second}, 3, 50 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.bounds.SurplusLifetime = surplusLifetime
			limit := Limit{"t", 1000, 1000}
			l := newLeaderChange(test.bounds, limit, test.routers)
			l.advance(6*kernel.Second, func() { l.claimAndHold(10, test.held) })
			// The engines are back: the held requests fail and are refunded at once, and all others are served.
			l.refundHeld(0)
			l.spent = 0
			l.advance(test.bounds.Window, func() {
				for i := range l.accounts {
					l.drain(i, 10)
				}
			})
			window := float64(test.bounds.Window) / float64(kernel.Second)
			allowed := (window*limit.Rate + limit.Burst) * (1 + test.bounds.Over)
			t.Logf("%.3f of what is tolerated", l.spent/allowed)
			c.Assert(l.spent <= allowed+10, qt.IsTrue, qt.Commentf("%.0f spent, %.0f are tolerated", l.spent, allowed))
		})
	}
}
