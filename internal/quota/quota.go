// Package quota holds tenants to their quotas over all routers together.
//
// A quota is a token bucket. Its tokens lie at two places: at the Allocator of the leader, and as
// credits in the Accounts of the routers, which spend them request by request without asking
// anybody. What the two hold together never exceeds the bucket's capacity, so that what the whole
// fleet spends within any span is bounded by the capacity and what flows in meanwhile, however the
// credits are spread and whoever is cut off. docs/quotas.md has the argument.
//
// Both owners have no clock, socket or disk: events go in, messages come out.
package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Bounds are what a deployment tolerates beyond a quota within any window.
type Bounds struct {
	Window kernel.Micros
	Over   float64 // share of what the window allows
	Slack  float64 // units
}

// DefaultBounds tolerate nothing within ten seconds.
func DefaultBounds() Bounds { return Bounds{Window: 10 * kernel.Second} }

// CreditLifetime is how long a router may spend credits after it asked for them, counted from the
// sending of its newest ask that was granted.
func (b Bounds) CreditLifetime() kernel.Micros { return b.Window / 2 }

// reclaimTimeout is how long the allocator waits for a router's next ask before it takes that
// router's credits for spent or expired. Longer than they live, by more than two clocks differ.
func (b Bounds) reclaimTimeout() kernel.Micros { return b.CreditLifetime() * 11 / 10 }

// Limit is a tenant's quota: units a second, and how many more at once.
type Limit struct {
	Tenant      string
	Rate, Burst float64
}

// How the tolerance is used. The rest is for the time between a router's look and an engine's.
const (
	capacityShare    = 0.6 // makes the bucket deeper than the burst
	debtShare        = 0.3 // lets a request through that is larger than what is left
	minBucketSeconds = 0.2 // seconds of the rate that a bucket holds at least
)

// bucket gives the capacity of a tenant's bucket, and how far below zero it may be drawn.
func (b Bounds) bucket(limit Limit) (capacity, debt float64) {
	window := float64(b.Window) / float64(kernel.Second)
	tolerance := b.Over*(window*limit.Rate+limit.Burst) + b.Slack
	return math.Max(limit.Burst+capacityShare*tolerance, math.Max(minBucketSeconds*limit.Rate, 1)), debtShare * tolerance
}

// Where a quota is spent, what is left serves many small requests or few large ones. Small ones go
// first; large ones keep a part of what comes in, so that none of them waits for ever.
const (
	largeCostFactor = 2.0  // times a tenant's usual cost
	largeShare      = 0.25 // of what comes in is for large requests alone, while a bucket is spent
	spentShare      = 0.2  // of its capacity: with less than that, credits included, a bucket counts as spent
)

// Request is a router's word on its credits, and what it wants more.
type Request struct {
	Incarnation uint64        `json:"life"` // of the router's process
	Seq         uint64        `json:"seq"`
	Items       []RequestItem `json:"items,omitempty"`
}

// RequestItem is a router's word on one tenant's requests, the small or the large ones.
type RequestItem struct {
	Tenant    string  `json:"tenant"`
	IsLarge   bool    `json:"large,omitempty"`
	Used      float64 `json:"used"`            // in this life
	Balance   float64 `json:"held,omitempty"`  // credits that may still be spent
	FirstNeed float64 `json:"first,omitempty"` // what the first waiting request needs
	Need      float64 `json:"need,omitempty"`  // what all waiting requests need
	Want      float64 `json:"want,omitempty"`  // what is foreseen to be needed beyond that
}

// Grant answers the ask of its number. A router takes it only while that is its newest ask.
type Grant struct {
	Seq   uint64      `json:"seq"`
	Items []GrantItem `json:"items,omitempty"`
}

// GrantItem brings credits of one tenant.
type GrantItem struct {
	Tenant  string  `json:"tenant"`
	IsLarge bool    `json:"large,omitempty"`
	Amount  float64 `json:"amount,omitempty"`
	// RetryAfter is when there may be more; zero: all that was needed is granted.
	RetryAfter kernel.Micros `json:"retry_after,omitempty"`
}
