package quota

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Spans after which a router that got too little asks again.
const (
	shortestRetry = 80 * kernel.Millisecond
	longestRetry  = kernel.Second
)

// reservePart of a bucket is kept for requests that wait; only what is above goes out in advance.
const reservePart = 0.25

// Allocator deals tenants' quotas out to routers. It is the leader's, for one term of its lead: it
// begins with empty buckets, and what routers hold of an earlier leader's credits is counted as
// they ask.
type Allocator struct {
	bounds  Bounds
	beganAt kernel.Micros
	serving int // routers that are known to live
	tenants map[string]*tenantBucket
	routers map[string]*routerCredits
}

// tenantBucket is a tenant's bucket. Level and out together are at most the capacity.
type tenantBucket struct {
	limit          Limit
	capacity, debt float64
	level          float64
	large          float64 // of the level, what only large requests may take while the bucket is spent
	out            float64 // credits of all routers
	filledAt       kernel.Micros
}

// routerCredits is what is known of one router.
type routerCredits struct {
	life, seq uint64
	heardAt   kernel.Micros
	tenants   map[creditKey]*credit
}

// creditKey names a tenant's credits for its small or its large requests.
type creditKey struct {
	tenant  string
	isLarge bool
}

type credit struct{ out, used float64 }

// NewAllocator makes an allocator without limits, that begins to deal now.
func NewAllocator(now kernel.Micros, bounds Bounds) *Allocator {
	return &Allocator{bounds: bounds, beganAt: now, tenants: map[string]*tenantBucket{}, routers: map[string]*routerCredits{}}
}

// SetServing tells how many routers are known to live.
func (a *Allocator) SetServing(count int) { a.serving = count }

// usable is the part of the buckets that is used now. Until the credits of an earlier leader have
// expired, routers that have not asked yet are taken to hold their share of full buckets.
func (a *Allocator) usable(now kernel.Micros) float64 {
	if a.serving == 0 || now-a.beganAt >= a.bounds.reclaimAfter() {
		return 1
	}
	return math.Min(float64(len(a.routers))/float64(a.serving), 1)
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
		bucket.fill(now, a.usable(now))
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

// fill lets in what has come since the last time, as far as there is room beside the credits.
func (b *tenantBucket) fill(now kernel.Micros, usable float64) {
	inflow := b.limit.Rate * float64(now-b.filledAt) / float64(kernel.Second)
	b.filledAt = now
	room := b.capacity*usable - b.out - b.level
	inflow = math.Max(math.Min(inflow, room), 0)
	b.level += inflow
	b.large = math.Min(b.large+largePart*inflow, spentPart*b.capacity)
}

// Take answers a router's ask; nil: it is an old one.
func (a *Allocator) Take(now kernel.Micros, router string, ask *Ask) *Grant {
	known := a.routers[router]
	if known != nil && known.life == ask.Life && ask.Seq <= known.seq {
		return nil
	}
	if known != nil && known.life != ask.Life {
		// The earlier life spent what it had, or took it with it.
		a.forget(now, router)
		known = nil
	}
	if known == nil {
		known = &routerCredits{life: ask.Life, tenants: map[creditKey]*credit{}}
		a.routers[router] = known
	}
	known.seq, known.heardAt = ask.Seq, now
	grant := &Grant{Seq: ask.Seq}
	told := make(map[creditKey]bool, len(ask.Items))
	for _, item := range ask.Items {
		told[item.key()] = true
		if bucket := a.tenants[item.Tenant]; bucket != nil {
			bucket.fill(now, a.usable(now))
			grant.Items = append(grant.Items, bucket.take(known, item))
		} else if item.Need > 0 {
			// The newest configuration holds it to nothing.
			grant.Items = append(grant.Items, GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: item.Need})
		}
	}
	for key, credit := range known.tenants {
		if !told[key] {
			a.drop(now, key.tenant, credit)
			delete(known.tenants, key)
		}
	}
	return grant
}

func (i *AskItem) key() creditKey { return creditKey{i.Tenant, i.IsLarge} }

// take settles a router's account with a tenant's bucket and grants what there is.
func (b *tenantBucket) take(router *routerCredits, item AskItem) GrantItem {
	known := router.tenants[item.key()]
	if known == nil {
		known = &credit{}
		router.tenants[item.key()] = known
	} else {
		// What it was given and has neither spent nor holds came back: a grant that it did not
		// take, or credits that it has no use for.
		returned := known.out - (item.Used - known.used) - item.Held
		b.level += math.Max(returned, 0)
	}
	b.out += item.Held - known.out
	known.out, known.used = item.Held, item.Used
	amount, retry := b.amount(item)
	// Whole units, so that what waits is served to the last one whatever fractions have come in.
	amount = math.Floor(amount)
	b.level -= amount
	if item.IsLarge {
		b.large -= amount
	}
	b.large = math.Min(math.Max(b.large, -b.debt), math.Max(b.level, 0))
	b.out += amount
	known.out += amount
	return GrantItem{Tenant: item.Tenant, IsLarge: item.IsLarge, Amount: amount, RetryAfter: retry}
}

// available is what an ask may take of the level. While the bucket is spent small requests leave the
// part of large ones, and large ones take no more than that.
func (b *tenantBucket) available(item AskItem) float64 {
	switch {
	case b.level+b.out >= spentPart*b.capacity:
		return b.level
	case item.IsLarge:
		return math.Min(b.level, b.large)
	}
	return b.level - math.Max(b.large, 0)
}

// amount tells how much of an ask is granted, and when to ask for the rest.
func (b *tenantBucket) amount(item AskItem) (amount float64, retry kernel.Micros) {
	available := b.available(item)
	if item.Need > 0 && available > 0 {
		// The first one may overdraw: by what is left alone, the largest would never get through.
		if first := math.Min(item.First, item.Need); first <= b.level+b.debt {
			amount = math.Min(item.Need, math.Max(available, first))
		}
	}
	if amount < item.Need {
		wait := (math.Max(item.First, 1) - available) / math.Max(b.limit.Rate, 1e-6)
		return amount, min(max(kernel.Micros(math.Min(wait, 60)*float64(kernel.Second)), shortestRetry), longestRetry)
	}
	if spare := b.level - amount - reservePart*b.capacity; spare > 0 {
		amount += math.Min(item.Want, spare)
	}
	return amount, 0
}

// drop takes credits out of circulation that are spent or will never be.
func (a *Allocator) drop(now kernel.Micros, tenant string, credit *credit) {
	if bucket := a.tenants[tenant]; bucket != nil {
		// What came in while they could be spent had no room beside them.
		bucket.fill(now, a.usable(now))
		bucket.out -= credit.out
	}
}

// forget drops a router and its credits.
func (a *Allocator) forget(now kernel.Micros, router string) {
	for key, credit := range a.routers[router].tenants {
		a.drop(now, key.tenant, credit)
	}
	delete(a.routers, router)
}

// Sweep forgets routers that have been silent for longer than their credits live.
func (a *Allocator) Sweep(now kernel.Micros) {
	for router, known := range a.routers {
		if now-known.heardAt > a.bounds.reclaimAfter() {
			a.forget(now, router)
		}
	}
}
