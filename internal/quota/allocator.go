package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Bounds of the pause after which a router that was granted too little requests again.
const (
	minRetryAfter = 80 * kernel.Millisecond
	maxRetryAfter = kernel.Second
)

// reserveShare of a capacity is reserved for pending claims; only the level above it is granted for
// predicted needs.
const reserveShare = 0.25

// An exhausted bucket serves either many small requests or few large ones. Small ones go first; large
// ones keep a part of the inflow, so that none of them starves.
const (
	largeShare     = 0.25 // of the inflow is reserved for large requests while a bucket is exhausted
	exhaustedShare = 0.2  // of its capacity: a bucket with less, credits included, is exhausted
)

// Allocator allocates the quotas of tenants to routers. It belongs to the leader, for one term: it
// starts with empty buckets, and credits that an earlier leader granted are counted as routers report
// them. It is not safe for concurrent use.
type Allocator struct {
	bounds      Bounds
	startedAt   kernel.Micros
	routerCount int // registered routers that are alive
	tenants     map[string]*tenantBucket
	routers     map[string]*routerCredits
}

// tenantBucket is a tenant's bucket. The sum of level and outstanding is at most the capacity.
type tenantBucket struct {
	limit            Limit
	capacity, debt   float64
	level            float64
	reservedForLarge float64 // part of the level that is reserved for large requests
	outstanding      float64 // credits of all routers
	filledAt         kernel.Micros
}

// routerCredits is what is known of one router.
type routerCredits struct {
	incarnation, seq uint64
	lastRequestAt    kernel.Micros
	tenants          map[creditKey]*credit
}

// credit is what one router has of one tenant, as of its newest request and the grant of it.
type credit struct{ outstanding, used float64 }

// NewAllocator makes an allocator without limits, which starts to allocate at now.
func NewAllocator(now kernel.Micros, bounds Bounds) *Allocator {
	return &Allocator{bounds: bounds, startedAt: now, tenants: map[string]*tenantBucket{}, routers: map[string]*routerCredits{}}
}

// SetRouterCount sets how many routers are known to be alive. It may change at any time.
func (a *Allocator) SetRouterCount(count int) { a.routerCount = count }

// usableShare is the share of the capacities that may be used at now. Until the credits of an earlier leader
// have expired, routers that have not reported yet are assumed to have their share of full buckets.
func (a *Allocator) usableShare(now kernel.Micros) float64 {
	if a.routerCount == 0 || now-a.startedAt >= a.bounds.reclaimTimeout() {
		return 1
	}
	return math.Min(float64(len(a.routers))/float64(a.routerCount), 1)
}

// share is a router's equal part of a bucket's capacity; zero: the number of routers is unknown.
func (a *Allocator) share(bucket *tenantBucket) float64 {
	if a.routerCount == 0 {
		return 0
	}
	return bucket.capacity / float64(a.routerCount)
}

// SetLimits puts limits in force, in place of all earlier ones. A bucket that is new starts empty:
// whether the tenant has spent something under an earlier configuration is not known here.
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

// Allocate answers a router's request; nil: the request is stale or a duplicate. A tenant without a
// limit is granted all that it needs.
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
			granted.Share = a.share(bucket)
			grant.Items = append(grant.Items, granted)
		} else if item.Need > 0 {
			// The newest configuration sets no limit for it.
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

// register notes a router's newest request. The credits of an earlier incarnation of the router are
// written off: it spent them, or lost them as it ended.
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

// writeOff removes credits that are spent or never will be from the outstanding ones.
func (a *Allocator) writeOff(now kernel.Micros, tenant string, lost *credit) {
	if bucket := a.tenants[tenant]; bucket != nil {
		// Refilled first: the inflow of the time when they could still be spent had no room beside them.
		bucket.refill(now, a.usableShare(now))
		bucket.outstanding -= lost.outstanding
	}
}

// removeRouter removes a router and writes its credits off.
func (a *Allocator) removeRouter(now kernel.Micros, router string) {
	for key, lost := range a.routers[router].tenants {
		a.writeOff(now, key.tenant, lost)
	}
	delete(a.routers, router)
}

// Sweep removes routers that have been unresponsive for longer than their credits are valid. Its owner
// calls it from time to time; later calls only delay the reuse of such credits.
func (a *Allocator) Sweep(now kernel.Micros) {
	for router, known := range a.routers {
		if now-known.lastRequestAt > a.bounds.reclaimTimeout() {
			a.removeRouter(now, router)
		}
	}
}

// refill adds the inflow since the last refill, as far as there is room beside the outstanding credits.
func (b *tenantBucket) refill(now kernel.Micros, usable float64) {
	inflow := b.limit.Rate * float64(now-b.filledAt) / float64(kernel.Second)
	b.filledAt = now
	room := b.capacity*usable - b.outstanding - b.level
	inflow = math.Max(math.Min(inflow, room), 0)
	b.level += inflow
	b.reservedForLarge = math.Min(b.reservedForLarge+largeShare*inflow, exhaustedShare*b.capacity)
}

// allocate reconciles a router's credits with the bucket and grants what is available.
func (b *tenantBucket) allocate(router *routerCredits, item RequestItem) GrantItem {
	known := b.reconcile(router, item)
	amount, retry := b.grantAmount(item)
	// Only integers, so that the last pending claim is served whatever fractions the inflow had.
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

// reconcile applies what a router reports of its credits. What it was granted and neither spent nor has
// any more returns to the bucket: a grant that it did not apply, or credits that it has no use for.
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
	// What returns was counted as spent, and its room may be filled: the level takes no more than there is room for.
	b.level = math.Min(b.level, math.Max(b.capacity-b.outstanding, 0))
	return known
}

// available is what a request may take of the level. While the bucket is exhausted small requests leave
// the part of large ones, and large ones take no more than that.
func (b *tenantBucket) available(item RequestItem) float64 {
	switch {
	case b.level+b.outstanding >= exhaustedShare*b.capacity:
		return b.level
	case item.IsLarge:
		return math.Min(b.level, b.reservedForLarge)
	}
	return b.level - math.Max(b.reservedForLarge, 0)
}

// grantAmount returns how much of a request is granted, and when to request the rest.
func (b *tenantBucket) grantAmount(item RequestItem) (amount float64, retry kernel.Micros) {
	available := b.available(item)
	if item.Need > 0 && available > 0 {
		// The first claim may overdraw: out of the level alone, the largest would never be granted.
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

// Bounds that keep the time of retryAfter finite and within its integer type.
const (
	minRefillRate    = 1e-6 // units a second
	maxRefillSeconds = 60
)

// retryAfter is how long the inflow takes to cover the first pending claim.
func (b *tenantBucket) retryAfter(item RequestItem, available float64) kernel.Micros {
	seconds := (math.Max(item.FirstNeed, 1) - available) / math.Max(b.limit.Rate, minRefillRate)
	refilled := kernel.Micros(math.Min(seconds, maxRefillSeconds) * float64(kernel.Second))
	return min(max(refilled, minRetryAfter), maxRetryAfter)
}
