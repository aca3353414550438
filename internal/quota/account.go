package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"dunlinloom/internal/kernel"
)

// Timing of a router's quota requests.
const (
	responseTimeout    = 150 * kernel.Millisecond // after which an unanswered request is sent again
	unavailableTimeout = 400 * kernel.Millisecond // after which new claims no longer wait for an answer
	prefetchInterval   = 250 * kernel.Millisecond // between two requests for predicted needs
	keepAliveInterval  = kernel.Second            // between two requests that only keep credits valid
	idleTimeout        = 30 * kernel.Second       // after which the credits of an unused tenant are returned
	// outageTimeout is how long no allocator may answer before callers are better served by another
	// router. It exceeds the usual time of a change of leader.
	outageTimeout = 1800 * kernel.Millisecond
)

// Timing of the retries that callers are to make while no allocator answers.
const (
	// failoverSpan is the usual time until another leader allocates; an earlier retry is rejected again.
	failoverSpan      = 1200 * kernel.Millisecond
	minBackoff        = 200 * kernel.Millisecond
	retrySlots        = 8 // retries are spread over so many slots, to prevent a burst
	retrySlotInterval = 40 * kernel.Millisecond
)

// maxRedirects bounds how often a request is redirected without a pause: two nodes may each take the
// other for the leader.
const maxRedirects = 3

// largeCostFactor times a tenant's typical cost: a request that costs more is a large one.
const largeCostFactor = 2.0

// Account manages a router's credits. Its methods may be called from any goroutine; its one lock is
// held for a single decision and never while waiting.
type Account struct {
	lock         sync.Mutex
	bounds       Bounds
	incarnation  uint64
	seq          uint64 // of the newest request
	credits      map[creditKey]*tenantCredits
	typicalCosts map[string]float64 // units of a request, by tenant
	requestedAt  kernel.Micros      // sending of the newest request
	unansweredAt kernel.Micros      // sending of the oldest request since the last answer; zero: all are answered
	grantedAt    kernel.Micros      // sending of the newest request that was granted
	grantSeq     uint64             // of the newest grant that was applied
	prefetchAt   kernel.Micros      // earliest time of the next request for predicted needs
	isRedirected bool               // the newest request reached a node that does not allocate
	retryIndex   uint64             // of callers that are to retry
	redirects    int                // consecutive ones
	epoch        uint64             // rises as credits expire
	shares       map[string]float64 // of the capacities, by tenant, as the newest grants say
	// isWithinShares: since the newest grant, the credits beyond the shares have expired.
	isWithinShares bool
}

// NewAccount makes the account of one incarnation of a router. The incarnation differs from those of
// all earlier processes of that router.
func NewAccount(bounds Bounds, incarnation uint64) *Account {
	return &Account{bounds: bounds, incarnation: incarnation, credits: map[creditKey]*tenantCredits{}, typicalCosts: map[string]float64{}, shares: map[string]float64{}}
}

// Claim claims a request's cost, in units. If isUrgent, the caller sends NextRequest at once.
func (a *Account) Claim(now kernel.Micros, tenant string, cost float64) (ticket *Ticket, isUrgent bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	key := creditKey{tenant, a.isLarge(tenant, cost)}
	credits := a.creditsOf(now, key, cost)
	credits.observe(now, cost)
	if other := a.credits[creditKey{tenant, !key.isLarge}]; other != nil && now-max(credits.exhaustedUntil, other.exhaustedUntil) > pressureSpan {
		credits.borrow(other, cost-credits.balance)
	}
	ticket = &Ticket{key: key, cost: cost, epoch: a.epoch, grantedSeq: a.seq, Done: make(chan struct{})}
	switch {
	case credits.balance >= cost:
		// It may overtake larger pending claims: the balance does not suffice for them in any case.
		credits.grant(ticket)
	case now < credits.exhaustedUntil:
		credits.resolve(ticket, OverQuota, credits.exhaustedUntil-now)
	case a.unansweredAt > 0 && now-a.unansweredAt > unavailableTimeout:
		// Waiting would only delay the caller; the next quota request is sent regardless.
		credits.resolve(ticket, NoAllocator, a.backoff(now))
	default:
		credits.pending = append(credits.pending, ticket)
		return ticket, true
	}
	return ticket, false
}

// HasAllocator reports whether an allocator answers this account, as far as it has sent requests.
func (a *Account) HasAllocator(now kernel.Micros) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.unansweredAt == 0 || now-a.unansweredAt < outageTimeout
}

// creditsOf returns the credits of a tenant's small or large requests, and makes them if need be.
func (a *Account) creditsOf(now kernel.Micros, key creditKey, cost float64) *tenantCredits {
	credits := a.credits[key]
	if credits == nil {
		credits = &tenantCredits{demandAt: now, typicalCost: cost}
		a.credits[key] = credits
	}
	return credits
}

// isLarge reports whether a request costs far more than its tenant's typical one, and adds it to the
// typical cost.
func (a *Account) isLarge(tenant string, cost float64) bool {
	typicalCost, isKnown := a.typicalCosts[tenant]
	if !isKnown {
		typicalCost = cost
	}
	a.typicalCosts[tenant] = typicalCost + costSmoothing*(cost-typicalCost)
	return cost > largeCostFactor*typicalCost
}

// Outcome returns the outcome of a ticket, and when to retry if it was rejected.
func (a *Account) Outcome(ticket *Ticket) (outcome Outcome, retryAfter kernel.Micros) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return ticket.outcome, ticket.retryAfter
}

// Abandon gives a pending ticket up; false: it was resolved before.
func (a *Account) Abandon(now kernel.Micros, ticket *Ticket) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if ticket.outcome != Pending {
		return false
	}
	credits := a.credits[ticket.key]
	credits.resolve(ticket, NoAllocator, a.backoff(now))
	credits.pending = slices.DeleteFunc(credits.pending, func(other *Ticket) bool { return other == ticket })
	return true
}

// backoff is when a caller should retry whose claim no allocator answered.
func (a *Account) backoff(now kernel.Micros) kernel.Micros {
	if a.unansweredAt == 0 {
		return minBackoff
	}
	a.retryIndex++
	return max(failoverSpan-(now-a.unansweredAt), minBackoff) + kernel.Micros(a.retryIndex%retrySlots)*retrySlotInterval
}

// Refund returns the cost of a granted ticket: to the balance, or to the bucket once its spending was reported. The caller has proof that the request did
// not run and never will. Credits that have expired since the grant are not refunded.
func (a *Account) Refund(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	credits := a.credits[ticket.key]
	if ticket.outcome != Granted || ticket.epoch != a.epoch || credits == nil {
		return
	}
	ticket.outcome = NoAllocator
	if ticket.grantedSeq != a.seq {
		// The allocator was told that it is spent, and may have refilled the bucket since. It returns to the level with the
		// next quota request, as far as there is room; here it could be spent beside the refill.
		credits.used -= ticket.cost
		return
	}
	credits.charge(-ticket.cost)
	if a.isWithinShares {
		a.trim(ticket.key.tenant)
	}
	credits.grantPending(a.epoch, a.seq)
}

// Charge takes the cost of a granted ticket once more, even beyond the balance: a request that may have
// run is sent again.
func (a *Account) Charge(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	a.creditsOf(now, ticket.key, ticket.cost).charge(ticket.cost)
}

// NextRequest returns the quota request that is due, or nil. The caller sends it to the leader and
// calls NextRequest again at short intervals.
func (a *Account) NextRequest(now kernel.Micros) *Request {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	isInFlight := a.unansweredAt > 0 && now-a.requestedAt < responseTimeout && !a.isRedirected
	if isInFlight || !a.isDue(now) {
		return nil
	}
	if !a.isRedirected {
		a.redirects = 0
	}
	a.isRedirected = false
	a.seq++
	a.requestedAt, a.prefetchAt = now, now+prefetchInterval
	if a.unansweredAt == 0 {
		a.unansweredAt = now
	}
	return &Request{Incarnation: a.incarnation, Seq: a.seq, Items: a.report(now)}
}

// report makes the items of the newest request, by tenant, small ones first. The allocator counts credits
// that are missing from it as returned, so those of idle tenants are dropped.
func (a *Account) report(now kernel.Micros) []RequestItem {
	var items []RequestItem
	for key, credits := range a.credits {
		if credits.isIdle(now) {
			delete(a.credits, key)
			continue
		}
		items = append(items, credits.report(now, key, a.seq))
	}
	slices.SortFunc(items, func(x, y RequestItem) int {
		if order := cmp.Compare(x.Tenant, y.Tenant); order != 0 {
			return order
		}
		if x.IsLarge {
			return 1
		}
		return -1
	})
	return items
}

// Redirect notes that the newest request reached a node that does not allocate, and that named another.
func (a *Account) Redirect() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.unansweredAt > 0 && a.redirects < maxRedirects {
		a.isRedirected = true
		a.redirects++
	}
}

// isDue reports whether there is something to request.
func (a *Account) isDue(now kernel.Micros) bool {
	// An allocator that did not answer is requested until it does: HasAllocator depends on it.
	if a.unansweredAt > 0 && now-a.requestedAt >= responseTimeout {
		return true
	}
	hasBalance := false
	for _, credits := range a.credits {
		if len(credits.pending) > 0 || credits.isLow(now) && now >= a.prefetchAt {
			return true
		}
		hasBalance = hasBalance || credits.balance > 0
	}
	return hasBalance && now-a.requestedAt >= keepAliveInterval
}

// ApplyGrant adds granted credits and resolves the tickets that they suffice for.
func (a *Account) ApplyGrant(now kernel.Micros, grant *Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	// The newest request reported any earlier grant as not applied; a duplicate counts once.
	if grant.Seq != a.seq || grant.Seq == a.grantSeq {
		return
	}
	a.grantSeq, a.grantedAt, a.unansweredAt, a.isWithinShares = grant.Seq, a.requestedAt, 0, false
	for _, item := range grant.Items {
		credits := a.credits[creditKey{item.Tenant, item.IsLarge}]
		if credits == nil {
			continue
		}
		credits.balance += item.Amount
		if item.Share > 0 {
			a.shares[item.Tenant] = item.Share
		} else {
			delete(a.shares, item.Tenant)
		}
	}
	// A grant that comes late may bring what has expired already.
	a.expire(now)
	for _, item := range grant.Items {
		credits := a.credits[creditKey{item.Tenant, item.IsLarge}]
		if credits == nil {
			continue
		}
		credits.grantPending(a.epoch, a.seq)
		if item.RetryAfter > 0 {
			credits.exhaustedUntil = now + item.RetryAfter
			credits.rejectPending(grant.Seq, item.RetryAfter)
		}
	}
}

// expire drops the credits once their lifetime has passed since the newest grant: the allocator
// counts them as spent.
func (a *Account) expire(now kernel.Micros) {
	a.expireSurplus(now)
	if now-a.grantedAt <= a.bounds.CreditLifetime() {
		return
	}
	isSpent := true
	for _, credits := range a.credits {
		isSpent = isSpent && credits.balance == 0
		credits.balance = 0
	}
	if !isSpent {
		a.epoch++
	}
}

// expireSurplus drops the credits beyond the router's shares once their lifetime has passed. The leader that granted them
// learns of it by the next request; another one has left no more than the shares unused.
func (a *Account) expireSurplus(now kernel.Micros) {
	if a.bounds.SurplusLifetime == 0 || a.isWithinShares || now-a.grantedAt <= a.bounds.SurplusLifetime {
		return
	}
	a.isWithinShares = true
	for tenant := range a.shares {
		a.trim(tenant)
	}
}

// trim drops what a tenant's credits are beyond the share, those for large requests first.
func (a *Account) trim(tenant string) {
	share, isKnown := a.shares[tenant]
	if !isKnown {
		return
	}
	left := share
	for _, isLarge := range []bool{false, true} {
		if credits := a.credits[creditKey{tenant, isLarge}]; credits != nil {
			credits.balance = math.Min(credits.balance, math.Floor(left))
			left = math.Max(left-math.Max(credits.balance, 0), 0)
		}
	}
}

// Counts returns the counts of each tenant that sent something lately; nil for a nil account.
func (a *Account) Counts() map[string]Counts {
	if a == nil {
		return nil
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	counts := make(map[string]Counts, len(a.credits))
	for key, credits := range a.credits {
		sum := counts[key.tenant]
		sum.add(credits.counts)
		counts[key.tenant] = sum
	}
	return counts
}
