package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Spans after which a router that got too little asks again.
const (
	minRetryAfter = 80 * kernel.Millisecond
	maxRetryAfter = kernel.Second
)

// reserveShare of a bucket is kept for requests that wait; only what is above goes out in advance.
const reserveShare = 0.25

// Allocator deals tenants' quotas out to routers. It is the leader's, for one term of its lead: it
// begins with empty buckets, and what routers hold of an earlier leader's credits is counted as
// they ask.
type Allocator struct {
	bounds      Bounds
	startedAt   kernel.Micros
	routerCount int // routers that are known to live
	tenants     map[string]*tenantBucket
	routers     map[string]*routerCredits
}

// tenantBucket is a tenant's bucket. Level and out together are at most the capacity.
type tenantBucket struct {
	limit          Limit
	capacity, debt float64
	level          float64
	large          float64 // of the level, what only large requests may take while the bucket is spent
	outstanding    float64 // credits of all routers
	filledAt       kernel.Micros
}

// routerCredits is what is known of one router.
type routerCredits struct {
	incarnation, seq uint64
	lastRequestAt    kernel.Micros
	tenants          map[creditKey]*credit
}

// creditKey names a tenant's credits for its small or its large requests.
type creditKey struct {
	tenant  string
	isLarge bool
}

type credit struct{ outstanding, used float64 }

// NewAllocator makes an allocator without limits, that begins to deal now.
func NewAllocator(now kernel.Micros, bounds Bounds) *Allocator {
	return &Allocator{bounds: bounds, startedAt: now, tenants: map[string]*tenantBucket{}, routers: map[string]*routerCredits{}}
}

// SetRouterCount tells how many routers are known to live.
func (a *Allocator) SetRouterCount(count int) { a.routerCount = count }

// usable is the part of the buckets that is used now. Until the credits of an earlier leader have
// expired, routers that have not asked yet are taken to hold their share of full buckets.
func (a *Allocator) usable(now kernel.Micros) float64 {
	if a.routerCount == 0 || now-a.startedAt >= a.bounds.reclaimTimeout() {
		return 1
	}
	return math.Min(float64(len(a.routers))/float64(a.routerCount), 1)
}

// SetLimits puts limits in force. A bucket that is new begins empty: whether the tenant has spent
// something under an earlier configuration is not known here.
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
		bucket.refill(now, a.usable(now))
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

// refill lets in what has come since the last time, as far as there is room beside the credits.
func (b *tenantBucket) refill(now kernel.Micros, usable float64) {
	inflow := b.limit.Rate * float64(now-b.filledAt) / float64(kernel.Second)
	b.filledAt = now
	room := b.capacity*usable - b.outstanding - b.level
	inflow = math.Max(math.Min(inflow, room), 0)
	b.level += inflow
	b.large = math.Min(b.large+largeShare*inflow, spentShare*b.capacity)
}

// Allocate answers a router's ask; nil: it is an old one.
func (a *Allocator) Allocate(now kernel.Micros, router string, request *Request) *Grant {
	known := a.routers[router]
	if known != nil && known.incarnation == request.Incarnation && request.Seq <= known.seq {
		return nil
	}
	if known != nil && known.incarnation != request.Incarnation {
		// The earlier life spent what it had, or took it with it.
		a.removeRouter(now, router)
		known = nil
	}
	if known == nil {
		known = &routerCredits{incarnation: request.Incarnation, tenants: map[creditKey]*credit{}}
		a.routers[router] = known
	}
	known.seq, known.lastRequestAt = request.Seq, now
	grant := &Grant{Seq: request.Seq}
	reported := make(map[creditKey]bool, len(request.Items))
	for _, item := range request.Items {
		reported[item.key()] = true
		if bucket := a.tenants[item.Tenant]; bucket != nil {
			bucket.refill(now, a.usable(now))
			grant.Items = append(grant.Items, bucket.allocate(known, item))
		} else if item.Need > 0 {
			// The newest configuration holds it to nothing.
			grant.Items = append(grant.Items, GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: item.Need})
		}
	}
	for key, credit := range known.tenants {
		if !reported[key] {
			a.writeOff(now, key.tenant, credit)
			delete(known.tenants, key)
		}
	}
	return grant
}

func (i *RequestItem) key() creditKey { return creditKey{i.Tenant, i.IsLarge} }

// allocate settles a router's account with a tenant's bucket and grants what there is.
func (b *tenantBucket) allocate(router *routerCredits, item RequestItem) GrantItem {
	known := router.tenants[item.key()]
	if known == nil {
		known = &credit{}
		router.tenants[item.key()] = known
	} else {
		// What it was given and has neither spent nor holds came back: a grant that it did not
		// take, or credits that it has no use for.
		returned := known.outstanding - (item.Used - known.used) - item.Balance
		b.level += math.Max(returned, 0)
	}
	b.outstanding += item.Balance - known.outstanding
	known.outstanding, known.used = item.Balance, item.Used
	amount, retry := b.amount(item)
	// Whole units, so that what waits is served to the last one whatever fractions have come in.
	amount = math.Floor(amount)
	b.level -= amount
	if item.IsLarge {
		b.large -= amount
	}
	b.large = math.Min(math.Max(b.large, -b.debt), math.Max(b.level, 0))
	b.outstanding += amount
	known.outstanding += amount
	return GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: amount, RetryAfter: retry}
}

// available is what an ask may take of the level. While the bucket is spent small requests leave the
// part of large ones, and large ones take no more than that.
func (b *tenantBucket) available(item RequestItem) float64 {
	switch {
	case b.level+b.outstanding >= spentShare*b.capacity:
		return b.level
	case item.IsLarge:
		return math.Min(b.level, b.large)
	}
	return b.level - math.Max(b.large, 0)
}

// amount tells how much of an ask is granted, and when to ask for the rest.
func (b *tenantBucket) amount(item RequestItem) (amount float64, retry kernel.Micros) {
	available := b.available(item)
	if item.Need > 0 && available > 0 {
		// The first one may overdraw: by what is left alone, the largest would never get through.
		if first := math.Min(item.FirstNeed, item.Need); first <= b.level+b.debt {
			amount = math.Min(item.Need, math.Max(available, first))
		}
	}
	if amount < item.Need {
		wait := (math.Max(item.FirstNeed, 1) - available) / math.Max(b.limit.Rate, 1e-6)
		return amount, min(max(kernel.Micros(math.Min(wait, 60)*float64(kernel.Second)), minRetryAfter), maxRetryAfter)
	}
	if spare := b.level - amount - reserveShare*b.capacity; spare > 0 {
		amount += math.Min(item.Want, spare)
	}
	return amount, 0
}

// writeOff takes credits out of circulation that are spent or will never be.
func (a *Allocator) writeOff(now kernel.Micros, tenant string, credit *credit) {
	if bucket := a.tenants[tenant]; bucket != nil {
		// What came in while they could be spent had no room beside them.
		bucket.refill(now, a.usable(now))
		bucket.outstanding -= credit.outstanding
	}
}

// removeRouter drops a router and its credits.
func (a *Allocator) removeRouter(now kernel.Micros, router string) {
	for key, credit := range a.routers[router].tenants {
		a.writeOff(now, key.tenant, credit)
	}
	delete(a.routers, router)
}

// Sweep forgets routers that have been silent for longer than their credits live.
func (a *Allocator) Sweep(now kernel.Micros) {
	for router, known := range a.routers {
		if now-known.lastRequestAt > a.bounds.reclaimTimeout() {
			a.removeRouter(now, router)
		}
	}
}
