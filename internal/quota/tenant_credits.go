package quota

import (
	"math"
	"slices"

	"dunlinloom/internal/kernel"
)

// How a router predicts the demand of a tenant, and how many credits it seeks for it.
const (
	demandDecaySpan = 2 * kernel.Second // time constant with which a request loses weight in the demand
	costSmoothing   = 0.05              // weight of a new request in the typical cost
	prefetchSeconds = 1.5               // seconds of the demand that a router seeks credits for
	prefetchCosts   = 2                 // typical costs that it seeks credits for on top of that
	// idleShare of the typical cost: a tenant whose predicted demand is less is idle.
	idleShare = 1.0 / 8
	// surplusFactor times the target: credits beyond it are returned.
	surplusFactor = 2
)

// pressureSpan is how long after a rejection a tenant counts as under pressure: its small requests and
// its large ones then spend only what was granted for them.
const pressureSpan = kernel.Second

// tenantCredits are a router's credits for the small or the large requests of one tenant, and the
// claims on them. They are guarded by the lock of the account.
type tenantCredits struct {
	balance, used  float64
	pending        []*Ticket // in order of arrival
	demand         float64   // units a second, as of demandAt
	demandAt       kernel.Micros
	typicalCost    float64 // units of a request
	exhaustedUntil kernel.Micros
	counts         Counts
}

// observe adds a request to a tenant's demand.
func (c *tenantCredits) observe(now kernel.Micros, cost float64) {
	c.demand = c.decayedDemand(now) + cost*float64(kernel.Second)/float64(demandDecaySpan)
	c.demandAt = now
	c.typicalCost += costSmoothing * (cost - c.typicalCost)
}

// decayedDemand is the demand, decayed until now, in units a second.
func (c *tenantCredits) decayedDemand(now kernel.Micros) float64 {
	return c.demand * math.Exp(-float64(now-c.demandAt)/float64(demandDecaySpan))
}

// isIdle reports whether no claim is pending and none has been made for the idle timeout.
func (c *tenantCredits) isIdle(now kernel.Micros) bool {
	return len(c.pending) == 0 && now-c.demandAt > idleTimeout
}

// isLow reports whether the balance is far enough below the target to prefetch more.
func (c *tenantCredits) isLow(now kernel.Micros) bool {
	return c.balance < c.target(now)*2/3 && now >= c.exhaustedUntil
}

// target is how many credits the router seeks to have.
func (c *tenantCredits) target(now kernel.Micros) float64 {
	demand := c.decayedDemand(now)
	if demand*prefetchSeconds < c.typicalCost*idleShare {
		return 0
	}
	return demand*prefetchSeconds + prefetchCosts*c.typicalCost
}

// report makes the item of a quota request, and returns surplus credits with it.
func (c *tenantCredits) report(now kernel.Micros, key creditKey, seq uint64) RequestItem {
	target := c.target(now)
	if c.balance > surplusFactor*target {
		c.balance = math.Floor(target)
	}
	item := RequestItem{Tenant: key.tenant, IsLarge: key.isLarge, Used: c.used, Balance: c.balance}
	for _, ticket := range c.pending {
		ticket.requestSeq = seq
		item.Need += ticket.cost
	}
	if len(c.pending) > 0 {
		item.FirstNeed = math.Max(c.pending[0].cost-c.balance, 0)
		item.Need = math.Max(item.Need-c.balance, 0)
	}
	if now >= c.exhaustedUntil {
		item.Want = math.Max(target-c.balance, 0)
	}
	return item
}

// borrow moves credits over from the other size of the tenant's requests. To the allocator it looks as
// if the other size had spent them and this one had returned as many, so the sums stay correct.
func (c *tenantCredits) borrow(other *tenantCredits, shortfall float64) {
	if shortfall <= 0 || len(other.pending) > 0 || other.balance < shortfall {
		return
	}
	other.charge(shortfall)
	c.charge(-shortfall)
}

// charge moves units from the balance to the used ones; a negative cost is a refund.
func (c *tenantCredits) charge(cost float64) {
	c.balance -= cost
	c.used += cost
}

// grant takes a ticket's cost out of the credits.
func (c *tenantCredits) grant(ticket *Ticket) {
	c.charge(ticket.cost)
	c.resolve(ticket, Granted, 0)
}

// grantPending grants pending tickets in order of arrival, as far as the credits suffice.
func (c *tenantCredits) grantPending(epoch, seq uint64) {
	for len(c.pending) > 0 && c.balance >= c.pending[0].cost {
		ticket := c.pending[0]
		c.pending = c.pending[1:]
		ticket.epoch, ticket.grantedSeq = epoch, seq
		c.grant(ticket)
	}
}

// rejectPending rejects the tickets that a quota request reported and its grant did not cover.
func (c *tenantCredits) rejectPending(seq uint64, retryAfter kernel.Micros) {
	c.pending = slices.DeleteFunc(c.pending, func(ticket *Ticket) bool {
		if ticket.requestSeq > seq || ticket.requestSeq == 0 {
			return false
		}
		c.resolve(ticket, OverQuota, retryAfter)
		return true
	})
}

// resolve sets the outcome of a pending ticket, wakes who waits for it, and counts it.
func (c *tenantCredits) resolve(ticket *Ticket, outcome Outcome, retryAfter kernel.Micros) {
	ticket.outcome, ticket.retryAfter = outcome, retryAfter
	close(ticket.Done)
	switch outcome {
	case Granted:
		c.counts.Granted += ticket.cost
	case OverQuota:
		c.counts.Over += ticket.cost
	case NoAllocator:
		c.counts.Unanswered++
	}
}
