package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// leaderChange simulates a change of leader in virtual time. The first router may be partitioned meanwhile.
type leaderChange struct {
	bounds    Bounds
	limit     Limit
	routers   int
	now       kernel.Micros
	accounts  []*Account
	allocator *Allocator
	isCut     bool // the first router is partitioned from every leader
	spent     float64
	held      []heldTicket
}

// heldTicket is a granted ticket whose request still waits for an engine.
type heldTicket struct {
	account int
	ticket  *Ticket
	since   kernel.Micros
}

// claimAndHold refunds the tickets that have been held for the longest span. Then every router makes claims until one
// is not granted, and holds the granted tickets.
func (h *leaderChange) claimAndHold(cost float64, longest kernel.Micros) {
	h.refundHeld(longest)
	for i := range h.accounts {
		for isGranted := true; isGranted; {
			ticket, isUrgent := h.accounts[i].Claim(h.now, h.limit.Tenant, cost)
			if isUrgent {
				h.sendRequest(i)
			}
			outcome, _ := h.accounts[i].Outcome(ticket)
			isGranted = outcome == Granted
			if isGranted {
				h.held = append(h.held, heldTicket{i, ticket, h.now})
			} else {
				h.accounts[i].Abandon(h.now, ticket)
			}
		}
	}
}

// refundHeld refunds the tickets that have been held for at least the longest span.
func (h *leaderChange) refundHeld(longest kernel.Micros) {
	kept := h.held[:0]
	for _, held := range h.held {
		if h.now-held.since < longest {
			kept = append(kept, held)
			continue
		}
		h.accounts[held.account].Refund(h.now, held.ticket)
	}
	h.held = kept
}

func newLeaderChange(bounds Bounds, limit Limit, routers int) *leaderChange {
	h := &leaderChange{bounds: bounds, limit: limit, routers: routers, now: 100 * kernel.Second}
	for i := range routers {
		h.accounts = append(h.accounts, NewAccount(bounds, uint64(i+1)))
	}
	h.elect()
	return h
}

func (h *leaderChange) elect() {
	h.allocator = NewAllocator(h.now, h.bounds)
	h.allocator.SetRouterCount(h.routers)
	h.allocator.SetLimits(h.now, []Limit{h.limit})
}

// sendRequest sends the quota request that is due at a router to the leader, if it can be reached, and applies the grant.
func (h *leaderChange) sendRequest(index int) {
	request := h.accounts[index].NextRequest(h.now)
	if request == nil || h.allocator == nil || h.isCut && index == 0 {
		return
	}
	if grant := h.allocator.Allocate(h.now, string(rune('a'+index)), request); grant != nil {
		h.accounts[index].ApplyGrant(h.now, grant)
	}
}

// claim makes claims at a router and returns how many were granted. The others are abandoned.
func (h *leaderChange) claim(index int, cost float64, count int) (granted int) {
	for range count {
		ticket, isUrgent := h.accounts[index].Claim(h.now, h.limit.Tenant, cost)
		if isUrgent {
			h.sendRequest(index)
		}
		if outcome, _ := h.accounts[index].Outcome(ticket); outcome == Granted {
			granted++
		} else {
			h.accounts[index].Abandon(h.now, ticket)
		}
	}
	h.spent += float64(granted) * cost
	return granted
}

// drain makes claims at a router until one is not granted.
func (h *leaderChange) drain(index int, cost float64) {
	for isGranted := true; isGranted; {
		isGranted = h.claim(index, cost, 1) == 1
	}
}

// advance lets time pass in steps. In each step, every router sends the request that is due, and during is called.
func (h *leaderChange) advance(span kernel.Micros, during func()) {
	const step = 10 * ms
	for end := h.now + span; h.now < end; h.now += step {
		for i := range h.accounts {
			h.sendRequest(i)
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

// A router that holds most of a tenant's capacity is partitioned when the leader is lost. The tenant pauses until the new
// leader's bucket is full again, and then floods all routers. The partitioned router's credits must not be spent on top.
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
			h := newLeaderChange(test.bounds, test.limit, test.routers)
			// The first router gets many times the rate, so that it predicts a high demand. Then it prefetches credits.
			h.advance(8*kernel.Second, func() { h.claim(0, test.cost, int(0.1*test.limit.Rate/test.cost)) })
			h.advance(1500*ms, nil)
			h.isCut, h.allocator = true, nil
			h.advance(minLeaderChange, nil)
			h.elect()
			// The other routers serve a request now and then, so that the new leader hears from all but the first.
			h.advance(test.pause-minLeaderChange, func() {
				if h.now%(500*ms) < 10*ms {
					for i := range h.accounts[1:] {
						h.claim(i+1, 1, 1)
					}
				}
			})
			t.Logf("the first router holds %.0f", balanceOf(h.accounts[0]))
			h.spent = 0
			flood := func() {
				for i := range h.accounts {
					h.drain(i, test.cost)
				}
			}
			h.advance(test.bounds.Window, flood)
			window := float64(test.bounds.Window) / float64(kernel.Second)
			allowed := (window*test.limit.Rate + test.limit.Burst) * (1 + test.bounds.Over)
			t.Logf("%.3f of what is tolerated", h.spent/allowed)
			c.Assert(h.spent <= allowed+test.cost, qt.IsTrue, qt.Commentf("%.0f spent, %.0f are tolerated", h.spent, allowed))
		})
	}
}

// Credits beyond the share expire after SurplusLifetime, also those of a late grant and those that are refunded later.
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
// in the meantime. Once the engines are back, no more than usual may be granted within a window.
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
			h := newLeaderChange(test.bounds, limit, test.routers)
			h.advance(6*kernel.Second, func() { h.claimAndHold(10, test.held) })
			// The engines are back: the held requests fail and are refunded at once, and all others are served.
			h.refundHeld(0)
			h.spent = 0
			h.advance(test.bounds.Window, func() {
				for i := range h.accounts {
					h.drain(i, 10)
				}
			})
			window := float64(test.bounds.Window) / float64(kernel.Second)
			allowed := (window*limit.Rate + limit.Burst) * (1 + test.bounds.Over)
			t.Logf("%.3f of what is tolerated", h.spent/allowed)
			c.Assert(h.spent <= allowed+10, qt.IsTrue, qt.Commentf("%.0f spent, %.0f are tolerated", h.spent, allowed))
		})
	}
}
