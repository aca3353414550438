package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Bounds of the delay after which a router that was granted less than it needed may request again.
const (
	minRetryAfter = 80 * kernel.Millisecond
	maxRetryAfter = kernel.Second
)

// reserveShare is the share of a capacity that is reserved for pending claims. Only the level above it is
// granted for predicted demand.
const reserveShare = 0.25

// An exhausted bucket can serve either many small requests or few large ones. Small requests go first, but
// a part of the inflow is reserved for large ones, so that they do not starve.
const (
	largeShare     = 0.25 // share of the inflow that is reserved for large requests while a bucket is exhausted
	exhaustedShare = 0.2  // a bucket is exhausted while its level plus all credits is below this share of its capacity
)

// Allocator allocates the quotas of tenants to routers. The leader creates one for its term. It starts with
// empty buckets, and learns of credits that an earlier leader granted when routers report them. It is not
// safe for concurrent use.
type Allocator struct {
	bounds      Bounds
	startedAt   kernel.Micros
	routerCount int // registered routers that are alive; zero: unknown
	tenants     map[string]*tenantBucket
	routers     map[string]*routerCredits
}

// tenantBucket is a tenant's bucket. The sum of level and outstanding is at most the capacity.
type tenantBucket struct {
	limit            Limit
	capacity, debt   float64 // debt is how far below zero the level may be drawn
	level            float64 // units that may still be granted
	reservedForLarge float64 // part of the level that is reserved for large requests
	outstanding      float64 // credits that all routers hold
	filledAt         kernel.Micros
}

// routerCredits is the allocator's record of one router.
type routerCredits struct {
	incarnation, seq uint64
	lastRequestAt    kernel.Micros
	tenants          map[creditKey]*credit
}

// credit is the state of one router's credits for one tenant, after its newest request and the grant for it.
type credit struct{ outstanding, used float64 }

// NewAllocator returns an allocator without limits, which starts to allocate at now.
func NewAllocator(now kernel.Micros, bounds Bounds) *Allocator {
	return &Allocator{bounds: bounds, startedAt: now, tenants: map[string]*tenantBucket{}, routers: map[string]*routerCredits{}}
}

// SetRouterCount sets how many routers are known to be alive. It may change at any time.
func (a *Allocator) SetRouterCount(count int) { a.routerCount = count }

// usableShare returns the share of the capacities that may be used at now. Until the credits of an earlier
// leader have expired, each router that has not reported yet is assumed to hold its share of the capacities.
func (a *Allocator) usableShare(now kernel.Micros) float64 {
	if a.routerCount == 0 || now-a.startedAt >= a.bounds.reclaimTimeout() {
		return 1
	}
	return math.Min(float64(len(a.routers))/float64(a.routerCount), 1)
}

// routerShare returns one router's equal share of a bucket's capacity; zero: the number of routers is unknown.
func (a *Allocator) routerShare(bucket *tenantBucket) float64 {
	if a.routerCount == 0 {
		return 0
	}
	return bucket.capacity / float64(a.routerCount)
}

// SetLimits replaces all limits. The bucket of a tenant that had no limit before starts empty, because it is
// unknown whether the tenant has spent something under an earlier configuration.
func (a *Allocator) SetLimits(now kernel.Micros, limits []Limit) {
	next := make(map[string]*tenantBucket, len(limits))
	for _, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		bucket := a.tenants[limit.Tenant]
		if bucket == nil {
			bucket = &tenantBucket{filledAt: now}
		}
		bucket.refill(now, a.usableShare(now))
		bucket.limit = limit
		bucket.capacity, bucket.debt = a.bounds.bucket(limit)
		bucket.level = math.Min(bucket.level, bucket.capacity)
		next[limit.Tenant] = bucket
	}
	a.tenants = next
	for _, router := range a.routers {
		for key := range router.tenants {
			if next[key.tenant] == nil {
				delete(router.tenants, key)
			}
		}
	}
}

// Allocate answers a router's request. It returns nil if the request is stale or a duplicate. A tenant
// without a limit is granted all that it needs.
func (a *Allocator) Allocate(now kernel.Micros, router string, request *Request) *Grant {
	known := a.routers[router]
	if known != nil && known.incarnation == request.Incarnation && request.Seq <= known.seq {
		return nil
	}
	known = a.register(now, router, request)
	grant := &Grant{Seq: request.Seq}
	reported := make(map[creditKey]bool, len(request.Items))
	for _, item := range request.Items {
		reported[item.key()] = true
		if bucket := a.tenants[item.Tenant]; bucket != nil {
			bucket.refill(now, a.usableShare(now))
			granted := bucket.allocate(known, item)
			granted.Share = a.routerShare(bucket)
			grant.Items = append(grant.Items, granted)
		} else if item.Need > 0 {
			// The newest configuration sets no limit for this tenant.
			grant.Items = append(grant.Items, GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: item.Need})
		}
	}
	for key, unreported := range known.tenants {
		if !reported[key] {
			a.writeOff(now, key.tenant, unreported)
			delete(known.tenants, key)
		}
	}
	return grant
}

// register records a router's newest request. The credits of an earlier incarnation of the router are
// written off: that process spent them, or lost them when it ended.
func (a *Allocator) register(now kernel.Micros, router string, request *Request) *routerCredits {
	known := a.routers[router]
	if known != nil && known.incarnation != request.Incarnation {
		a.removeRouter(now, router)
		known = nil
	}
	if known == nil {
		known = &routerCredits{incarnation: request.Incarnation, tenants: map[creditKey]*credit{}}
		a.routers[router] = known
	}
	known.seq, known.lastRequestAt = request.Seq, now
	return known
}

// writeOff removes credits that their router has spent or can no longer spend from the outstanding ones.
func (a *Allocator) writeOff(now kernel.Micros, tenant string, lost *credit) {
	if bucket := a.tenants[tenant]; bucket != nil {
		// The bucket is refilled first, because the credits could be spent until now. The inflow up to now must not use
		// the room that they free.
		bucket.refill(now, a.usableShare(now))
		bucket.outstanding -= lost.outstanding
	}
}

// removeRouter removes a router and writes off its credits.
func (a *Allocator) removeRouter(now kernel.Micros, router string) {
	for key, lost := range a.routers[router].tenants {
		a.writeOff(now, key.tenant, lost)
	}
	delete(a.routers, router)
}

// Sweep removes routers that have sent no request for longer than their credits are valid. The owner calls
// it from time to time; a late call only delays the reuse of those credits.
func (a *Allocator) Sweep(now kernel.Micros) {
	for router, known := range a.routers {
		if now-known.lastRequestAt > a.bounds.reclaimTimeout() {
			a.removeRouter(now, router)
		}
	}
}

// refill adds the inflow since the last refill. Level and outstanding credits together stay within the usable
// share of the capacity.
func (b *tenantBucket) refill(now kernel.Micros, usable float64) {
	inflow := b.limit.Rate * float64(now-b.filledAt) / float64(kernel.Second)
	b.filledAt = now
	room := b.capacity*usable - b.outstanding - b.level
	inflow = math.Max(math.Min(inflow, room), 0)
	b.level += inflow
	b.reservedForLarge = math.Min(b.reservedForLarge+largeShare*inflow, exhaustedShare*b.capacity)
}

// allocate reconciles a router's credits with the bucket, and grants as much of the item as is available.
func (b *tenantBucket) allocate(router *routerCredits, item RequestItem) GrantItem {
	known := b.reconcile(router, item)
	amount, retry := b.grantAmount(item)
	// Only whole units are granted. With fractions, rounding could leave the last pending claim unserved.
	amount = math.Floor(amount)
	b.level -= amount
	if item.IsLarge {
		b.reservedForLarge -= amount
	}
	b.reservedForLarge = math.Min(math.Max(b.reservedForLarge, -b.debt), math.Max(b.level, 0))
	b.outstanding += amount
	known.outstanding += amount
	return GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: amount, RetryAfter: retry}
}

// reconcile updates the bucket with what a router reports about its credits. Credits that were granted but
// are neither used nor in the balance return to the bucket. These come from grants that the router did not
// apply, and from credits that it returns.
func (b *tenantBucket) reconcile(router *routerCredits, item RequestItem) *credit {
	known := router.tenants[item.key()]
	if known == nil {
		known = &credit{}
		router.tenants[item.key()] = known
	} else {
		returned := known.outstanding - (item.Used - known.used) - item.Balance
		b.level += math.Max(returned, 0)
	}
	b.outstanding += item.Balance - known.outstanding
	known.outstanding, known.used = item.Balance, item.Used
	// Refunded credits were already counted as used, so their room may have been refilled. The level is limited to the
	// room that is left.
	b.level = math.Min(b.level, math.Max(b.capacity-b.outstanding, 0))
	return known
}

// available returns how much of the level an item may take. While the bucket is exhausted, small requests
// may not take the part reserved for large ones, and large ones may take no more than that part.
func (b *tenantBucket) available(item RequestItem) float64 {
	switch {
	case b.level+b.outstanding >= exhaustedShare*b.capacity:
		return b.level
	case item.IsLarge:
		return math.Min(b.level, b.reservedForLarge)
	}
	return b.level - math.Max(b.reservedForLarge, 0)
}

// grantAmount returns how much of an item is granted, and the delay after which to request the rest.
func (b *tenantBucket) grantAmount(item RequestItem) (amount float64, retry kernel.Micros) {
	available := b.available(item)
	if item.Need > 0 && available > 0 {
		// The first pending claim may draw the level below zero, up to the debt. Otherwise a claim larger than the capacity
		// would never be granted.
		if first := math.Min(item.FirstNeed, item.Need); first <= b.level+b.debt {
			amount = math.Min(item.Need, math.Max(available, first))
		}
	}
	if amount < item.Need {
		return amount, b.retryAfter(item, available)
	}
	if spare := b.level - amount - reserveShare*b.capacity; spare > 0 {
		amount += math.Min(item.Want, spare)
	}
	return amount, 0
}

// Bounds that keep the result of retryAfter finite and within its integer type.
const (
	minRefillRate    = 1e-6 // units per second
	maxRefillSeconds = 60
)

// retryAfter returns how long the inflow takes to cover the first pending claim, within the bounds of the delay.
func (b *tenantBucket) retryAfter(item RequestItem, available float64) kernel.Micros {
	seconds := (math.Max(item.FirstNeed, 1) - available) / math.Max(b.limit.Rate, minRefillRate)
	refilled := kernel.Micros(math.Min(seconds, maxRefillSeconds) * float64(kernel.Second))
	return min(max(refilled, minRetryAfter), maxRetryAfter)
}
