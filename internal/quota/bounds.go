package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Bounds defines how much a tenant may spend beyond its quota within any window.
type Bounds struct {
	Window kernel.Micros // length of the window
	Over   float64       // tolerated excess, as a share of what the quota allows within the window
	Slack  float64       // tolerated excess in units, in addition to Over
	// SurplusLifetime is how long a router may spend credits beyond its share of a capacity, counted from the same time
	// as CreditLifetime. A new leader reserves only one share of the capacity for a router that it has not heard from.
	// SurplusLifetime therefore has to be shorter than the least time between the last grant of one leader and the first
	// grant of the next. Zero: CreditLifetime applies.
	SurplusLifetime kernel.Micros
}

// DefaultBounds tolerates no excess within any ten seconds.
func DefaultBounds() Bounds { return Bounds{Window: 10 * kernel.Second} }

// CreditLifetime returns how long a router may spend credits, counted from when it sent the newest request
// that was granted.
func (b Bounds) CreditLifetime() kernel.Micros { return b.Window / 2 }

// reclaimTimeout returns how long the allocator waits for a router's next request before it counts that
// router's credits as spent or expired. It exceeds the lifetime of credits by a tenth, which is more than
// the clocks of two nodes drift apart in that time.
func (b Bounds) reclaimTimeout() kernel.Micros { return b.CreditLifetime() * 11 / 10 }

// Limit is a tenant's quota: a rate in units per second, and a burst in units on top of it. A rate of zero
// or less means no limit.
type Limit struct {
	Tenant      string
	Rate, Burst float64
}

// The tolerated excess is divided between the capacity and the debt of a bucket. The rest covers the time
// between a router's decision and the arrival of the request at an engine.
const (
	capacityShare    = 0.6 // share of the tolerated excess that is added to the burst in the capacity
	debtShare        = 0.3 // share by which a request larger than the level may draw the level below zero
	minBucketSeconds = 0.2 // a capacity is at least the inflow of this many seconds
)

// bucket returns the capacity of a tenant's bucket, and how far below zero its level may be drawn.
func (b Bounds) bucket(limit Limit) (capacity, debt float64) {
	window := float64(b.Window) / float64(kernel.Second)
	tolerance := b.Over*(window*limit.Rate+limit.Burst) + b.Slack
	return math.Max(limit.Burst+capacityShare*tolerance, math.Max(minBucketSeconds*limit.Rate, 1)), debtShare * tolerance
}
