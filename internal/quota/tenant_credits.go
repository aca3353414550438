package quota

import (
	"math"
	"slices"

	"dunlinloom/internal/kernel"
)

// How a router predicts the demand of a tenant, and how many credits it seeks for it.
const (
	demandDecaySpan = 2 * kernel.Second // time constant of the exponential decay of the demand
	costSmoothing   = 0.05              // weight of a new request in the typical cost, a moving average
	prefetchSeconds = 1.5               // a router seeks credits for the demand of this many seconds,
	prefetchCosts   = 2                 // and in addition for this many requests of typical cost
	// idleShare is the share of the typical cost below which a predicted demand counts as none.
	idleShare = 1.0 / 8
	// Surplus credits are returned once the balance exceeds surplusFactor times the target.
	surplusFactor = 2
)

// pressureSpan is how long after a rejection a tenant counts as under pressure. During this time its small
// and its large requests do not borrow credits from each other.
const pressureSpan = kernel.Second

// tenantCredits holds a router's credits for the small or the large requests of one tenant, and the pending
// claims on them. It is guarded by the lock of the account.
type tenantCredits struct {
	balance, used  float64
	pending        []*Ticket // in order of arrival
	demand         float64   // units per second, as of demandAt
	demandAt       kernel.Micros
	typicalCost    float64       // units per request
	exhaustedUntil kernel.Micros // the quota counts as exhausted until then
	counts         Counts
}

// observe adds a request to the demand and to the typical cost.
func (c *tenantCredits) observe(now kernel.Micros, cost float64) {
	c.demand = c.decayedDemand(now) + cost*float64(kernel.Second)/float64(demandDecaySpan)
	c.demandAt = now
	c.typicalCost += costSmoothing * (cost - c.typicalCost)
}

// decayedDemand returns the demand at now, in units per second.
func (c *tenantCredits) decayedDemand(now kernel.Micros) float64 {
	return c.demand * math.Exp(-float64(now-c.demandAt)/float64(demandDecaySpan))
}

// isIdle reports whether no claim is pending and none has been made for idleTimeout.
func (c *tenantCredits) isIdle(now kernel.Micros) bool {
	return len(c.pending) == 0 && now-c.demandAt > idleTimeout
}

// isLow reports whether the balance is far enough below the target to prefetch more. An exhausted quota has
// nothing to prefetch.
func (c *tenantCredits) isLow(now kernel.Micros) bool {
	return c.balance < c.target(now)*2/3 && now >= c.exhaustedUntil
}

// target returns how many credits the router seeks to hold.
func (c *tenantCredits) target(now kernel.Micros) float64 {
	demand := c.decayedDemand(now)
	if demand*prefetchSeconds < c.typicalCost*idleShare {
		return 0
	}
	return demand*prefetchSeconds + prefetchCosts*c.typicalCost
}

// report returns the item for a quota request. It drops surplus credits, which the item thereby returns to
// the allocator.
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

// borrow moves credits to these requests from the tenant's requests of the other size, unless those need them
// themselves. In the next report the other size has used the moved credits, and this size has used as many
// fewer, so the sums at the allocator stay correct.
func (c *tenantCredits) borrow(other *tenantCredits, shortfall float64) {
	if shortfall <= 0 || len(other.pending) > 0 || other.balance < shortfall {
		return
	}
	other.charge(shortfall)
	c.charge(-shortfall)
}

// charge subtracts a cost from the balance and adds it to the used units; a negative cost is a refund.
func (c *tenantCredits) charge(cost float64) {
	c.balance -= cost
	c.used += cost
}

// grant charges the cost of a ticket and resolves it as granted.
func (c *tenantCredits) grant(ticket *Ticket) {
	c.charge(ticket.cost)
	c.resolve(ticket, Granted, 0)
}

// grantPending grants pending tickets in order of arrival, as far as the balance suffices.
func (c *tenantCredits) grantPending(epoch, seq uint64) {
	for len(c.pending) > 0 && c.balance >= c.pending[0].cost {
		ticket := c.pending[0]
		c.pending = c.pending[1:]
		ticket.epoch, ticket.grantedSeq = epoch, seq
		c.grant(ticket)
	}
}

// rejectPending rejects the pending tickets that were reported in the quota request with this sequence number
// and that its grant did not cover. Newer tickets stay pending.
func (c *tenantCredits) rejectPending(seq uint64, retryAfter kernel.Micros) {
	c.pending = slices.DeleteFunc(c.pending, func(ticket *Ticket) bool {
		if ticket.requestSeq > seq || ticket.requestSeq == 0 {
			return false
		}
		c.resolve(ticket, OverQuota, retryAfter)
		return true
	})
}

// resolve sets the outcome of a pending ticket, wakes up its waiters, and counts the outcome.
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
