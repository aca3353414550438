package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Bounds are what a deployment tolerates beyond a quota within any window.
type Bounds struct {
	Window kernel.Micros // length of the window
	Over   float64       // tolerated share of what the window allows
	Slack  float64       // tolerated units, on top of the share
	// SurplusLifetime is how long a router may spend credits beyond its share of a capacity, counted as CreditLifetime is.
	// It has to be shorter than the least time between the last grant of one leader and the first of the next, which leaves
	// a router that it has not heard its share and no more. Zero: as long as all credits.
	SurplusLifetime kernel.Micros
}

// DefaultBounds tolerate nothing beyond the quota within ten seconds.
func DefaultBounds() Bounds { return Bounds{Window: 10 * kernel.Second} }

// CreditLifetime is how long a router may spend credits, counted from the time at which it sent the
// newest request that was granted.
func (b Bounds) CreditLifetime() kernel.Micros { return b.Window / 2 }

// reclaimTimeout is how long the allocator waits for a router's next request before it counts that
// router's credits as spent or expired. It exceeds the lifetime of credits by more than the rates of
// two clocks differ.
func (b Bounds) reclaimTimeout() kernel.Micros { return b.CreditLifetime() * 11 / 10 }

// Limit is a tenant's quota: a rate in units a second, and a burst in units on top of it. A rate of
// zero or less is no limit.
type Limit struct {
	Tenant      string
	Rate, Burst float64
}

// How the tolerance is used. The rest of it covers the time between the decision of a router and the
// arrival at an engine.
const (
	capacityShare    = 0.6 // of the tolerance adds to the burst in the capacity
	debtShare        = 0.3 // of the tolerance is the debt for a request larger than the level
	minBucketSeconds = 0.2 // a capacity is at least what the rate brings in so many seconds
)

// bucket returns the capacity of a tenant's bucket, and how far below zero its level may be drawn.
func (b Bounds) bucket(limit Limit) (capacity, debt float64) {
	window := float64(b.Window) / float64(kernel.Second)
	tolerance := b.Over*(window*limit.Rate+limit.Burst) + b.Slack
	return math.Max(limit.Burst+capacityShare*tolerance, math.Max(minBucketSeconds*limit.Rate, 1)), debtShare * tolerance
}
