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
	responseTimeout    = 150 * kernel.Millisecond // an unanswered request is sent again after this time
	unavailableTimeout = 400 * kernel.Millisecond // without an answer for this long, a claim above the balance is rejected
	prefetchInterval   = 250 * kernel.Millisecond // between two requests for predicted demand
	keepAliveInterval  = kernel.Second            // between two requests that only extend the validity of credits
	idleTimeout        = 30 * kernel.Second       // the credits of a tenant without claims are returned after this time
	// outageTimeout is how long requests may stay unanswered before callers should use another router. It
	// is longer than a leader change usually takes.
	outageTimeout = 1800 * kernel.Millisecond
)

// Timing of the retries that callers are told to make while no allocator answers.
const (
	// failoverSpan is the usual time until a new leader allocates; a retry before that is rejected again.
	failoverSpan      = 1200 * kernel.Millisecond
	minBackoff        = 200 * kernel.Millisecond
	retrySlots        = 8 // retries are spread over this many slots, to prevent a burst
	retrySlotInterval = 40 * kernel.Millisecond
)

// maxRedirects is how many consecutive redirects are followed without a pause. Two nodes may each
// consider the other the leader and redirect to each other endlessly.
const maxRedirects = 3

// A request counts as large if it costs more than largeCostFactor times its tenant's typical cost.
const largeCostFactor = 2.0

// Account manages the credits of one router. Its methods may be called from any goroutine. Its only lock
// is held for a single decision and never while waiting.
type Account struct {
	lock         sync.Mutex
	bounds       Bounds
	incarnation  uint64
	seq          uint64 // of the newest request
	credits      map[creditKey]*tenantCredits
	typicalCosts map[string]float64 // units of a request, by tenant
	requestedAt  kernel.Micros      // when the newest request was sent
	unansweredAt kernel.Micros      // when the oldest request since the last answer was sent; zero: all are answered
	grantedAt    kernel.Micros      // when the newest granted request was sent
	grantSeq     uint64             // of the newest grant that was applied
	prefetchAt   kernel.Micros      // earliest time of the next request for predicted demand
	isRedirected bool               // the newest request reached a node that does not allocate
	retryIndex   uint64             // counts the callers told to retry; selects their retry slot
	redirects    int                // consecutive redirects
	epoch        uint64             // incremented when credits expire
	shares       map[string]float64 // this router's share of each tenant's capacity, from the newest grants
	// isWithinShares is set once the credits beyond the shares have expired, and cleared by the next grant.
	isWithinShares bool
}

// NewAccount returns an empty account. The incarnation identifies the router's process: it has to differ
// from the incarnations of all earlier processes of the same router.
func NewAccount(bounds Bounds, incarnation uint64) *Account {
	return &Account{bounds: bounds, incarnation: incarnation, seq: incarnation, credits: map[creditKey]*tenantCredits{}, typicalCosts: map[string]float64{}, shares: map[string]float64{}}
}

// Claim claims the cost of a request, in units, from the tenant's credits. If isUrgent is true, the ticket
// is pending and the caller should send NextRequest without delay.
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
		// A small claim is granted even if a larger one is pending, since the balance does not cover the larger one.
		credits.grant(ticket)
	case now < credits.exhaustedUntil:
		credits.resolve(ticket, OverQuota, credits.exhaustedUntil-now)
	case a.unansweredAt > 0 && now-a.unansweredAt > unavailableTimeout:
		// Waiting would only delay the caller. The next quota request is sent in any case.
		credits.resolve(ticket, NoAllocator, a.backoff(now))
	default:
		credits.pending = append(credits.pending, ticket)
		return ticket, true
	}
	return ticket, false
}

// HasAllocator reports whether an allocator answers this account's requests. It is true as long as no
// request has been unanswered for outageTimeout.
func (a *Account) HasAllocator(now kernel.Micros) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.unansweredAt == 0 || now-a.unansweredAt < outageTimeout
}

// creditsOf returns the credits for a tenant's small or large requests, and creates them if necessary.
func (a *Account) creditsOf(now kernel.Micros, key creditKey, cost float64) *tenantCredits {
	credits := a.credits[key]
	if credits == nil {
		credits = &tenantCredits{demandAt: now, typicalCost: cost}
		a.credits[key] = credits
	}
	return credits
}

// isLarge reports whether a request costs far more than its tenant's typical request. It also updates the
// typical cost with this request.
func (a *Account) isLarge(tenant string, cost float64) bool {
	typicalCost, isKnown := a.typicalCosts[tenant]
	if !isKnown {
		typicalCost = cost
	}
	a.typicalCosts[tenant] = typicalCost + costSmoothing*(cost-typicalCost)
	return cost > largeCostFactor*typicalCost
}

// Outcome returns the outcome of a ticket and, if it was rejected, after which delay to retry.
func (a *Account) Outcome(ticket *Ticket) (outcome Outcome, retryAfter kernel.Micros) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return ticket.outcome, ticket.retryAfter
}

// Abandon is for a caller that no longer waits for its ticket. If the ticket is still pending, Abandon gives it the
// outcome NoAllocator and returns true. Otherwise it changes nothing and returns false.
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

// backoff returns the delay after which a caller whose claim was not answered by an allocator should retry.
func (a *Account) backoff(now kernel.Micros) kernel.Micros {
	if a.unansweredAt == 0 {
		return minBackoff
	}
	a.retryIndex++
	return max(failoverSpan-(now-a.unansweredAt), minBackoff) + kernel.Micros(a.retryIndex%retrySlots)*retrySlotInterval
}

// Refund returns the cost of a granted ticket. The caller must have proof that the request did not run and
// never will. The cost goes back to the balance, or, once it was reported as used, to the bucket. Credits
// that have expired since the grant are not refunded.
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
		// The cost was reported as used, and the allocator may have refilled the bucket since. Added to the balance, it
		// could be spent on top of that refill. So the next quota request returns it to the bucket, as far as there is room.
		credits.used -= ticket.cost
		return
	}
	credits.charge(-ticket.cost)
	if a.isWithinShares {
		a.trim(ticket.key.tenant)
	}
	credits.grantPending(a.epoch, a.seq)
}

// Charge charges the cost of a granted ticket again, even beyond the balance. It is called when a request
// that may have run is sent again.
func (a *Account) Charge(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	a.creditsOf(now, ticket.key, ticket.cost).charge(ticket.cost)
}

// NextRequest returns the quota request that is due, or nil if none is. The caller sends it to the leader
// and calls NextRequest again at short intervals.
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

// report returns the items of the newest request, sorted by tenant, with small requests before large ones.
// Idle tenants are dropped. The allocator writes off the credits of tenants that a request does not list.
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

// Redirect records that the newest request reached a node that does not allocate and named another one.
// The request is then sent again at once, up to maxRedirects times in succession.
func (a *Account) Redirect() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.unansweredAt > 0 && a.redirects < maxRedirects {
		a.isRedirected = true
		a.redirects++
	}
}

// isDue reports whether a quota request is due: to repeat an unanswered one, to report pending claims, to
// prefetch for predicted demand, or to keep credits valid.
func (a *Account) isDue(now kernel.Micros) bool {
	// Requests are repeated until one is answered, because HasAllocator depends on it.
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

// ApplyGrant adds granted credits and resolves the pending tickets: those that the credits cover are
// granted, and the others are rejected if the grant says that the quota is exhausted. A grant that does
// not answer the newest request is ignored.
func (a *Account) ApplyGrant(now kernel.Micros, grant *Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	// The newest request reported any earlier grant as not applied, and a duplicate must not count twice.
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
	// The credits of a late grant may have expired already.
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

// expire drops all credits once their lifetime has passed since the newest granted request was sent. The
// allocator counts them as spent.
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

// expireSurplus drops the credits beyond the router's shares once SurplusLifetime has passed, because a new leader
// reserves only one share for each router that it has not heard from. The leader that granted the credits learns from
// the next request that they were dropped.
func (a *Account) expireSurplus(now kernel.Micros) {
	if a.bounds.SurplusLifetime == 0 || a.isWithinShares || now-a.grantedAt <= a.bounds.SurplusLifetime {
		return
	}
	a.isWithinShares = true
	for tenant := range a.shares {
		a.trim(tenant)
	}
}

// trim drops the credits of a tenant that exceed the router's share, those for large requests first.
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

// Counts returns the counts of each tenant that has sent requests recently; nil for a nil account.
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
