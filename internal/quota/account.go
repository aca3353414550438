package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"dunlinloom/internal/kernel"
)

// Spans of a router's account.
const (
	responseTimeout    = 150 * kernel.Millisecond // after which an ask without an answer is sent anew
	unavailableTimeout = 400 * kernel.Millisecond // after which nobody waits for an answer any more
	prefetchInterval   = 250 * kernel.Millisecond // between two asks for what is foreseen
	keepAliveInterval  = kernel.Second            // between two asks that only keep credits alive
	// failoverSpan is how long it takes, most of the time, until another leader deals; who comes back
	// sooner is refused again.
	failoverSpan      = 1200 * kernel.Millisecond
	retrySlots        = 8
	retrySlotInterval = 40 * kernel.Millisecond
	minBackoff        = 200 * kernel.Millisecond
	demandDecaySpan   = 2 * kernel.Second // in which a request loses most of its weight in the demand
	prefetchSeconds   = 1.5               // seconds of the demand that a router seeks to hold
	idleTimeout       = 30 * kernel.Second
	costSmoothing     = 0.05 // of a new request in the usual cost
)

// Outcome is what became of a request's claim on its tenant's quota.
type Outcome int

// The outcomes of a claim.
const (
	Pending     Outcome = iota // the allocator has been asked, or will be
	Granted                    // the request may be sent
	OverQuota                  // the tenant has no more
	NoAllocator                // nobody answers who could tell
)

// Ticket is a request's claim.
type Ticket struct {
	key        creditKey
	cost       float64
	requestSeq uint64 // the ask that told of it; zero: none yet
	epoch      uint64
	// Done is closed when the outcome is no longer Waiting.
	Done       chan struct{}
	outcome    Outcome
	retryAfter kernel.Micros
}

// Account holds a router's credits. Its one lock is held for one decision.
type Account struct {
	lock         sync.Mutex
	bounds       Bounds
	incarnation  uint64
	seq          uint64
	credits      map[creditKey]*tenantCredits
	typicalCosts map[string]float64 // units of a tenant's request
	requestedAt  kernel.Micros      // the newest ask
	unansweredAt kernel.Micros      // the oldest ask since the last answer; zero: all are answered
	grantedAt    kernel.Micros      // the sending of the newest ask that was granted
	grantSeq     uint64
	prefetchAt   kernel.Micros
	isRedirected bool   // the newest ask went to one who does not deal
	retryIndex   uint64 // of requests that are told to come back
	redirects    int    // of asks since the last answer, or for a while
	epoch        uint64 // counts up as credits expire
}

// tenantCredits is a router's credits of one tenant, and what its requests ask for.
type tenantCredits struct {
	balance, used  float64
	pending        []*Ticket
	demand         float64 // units a second
	demandAt       kernel.Micros
	typicalCost    float64 // units of a request
	exhaustedUntil kernel.Micros
	counts         Counts
}

// Counts are what became of a tenant's claims at this router: units let through and refused, and
// claims that nobody answered.
type Counts struct {
	Granted, Over float64
	Unanswered    uint64
}

// NewAccount makes the account of one life of a router.
func NewAccount(bounds Bounds, incarnation uint64) *Account {
	return &Account{bounds: bounds, incarnation: incarnation, credits: map[creditKey]*tenantCredits{}, typicalCosts: map[string]float64{}}
}

// Claim asks for a request's cost. IsUrgent tells that the allocator is to be asked at once.
func (a *Account) Claim(now kernel.Micros, tenant string, cost float64) (ticket *Ticket, isUrgent bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	key := creditKey{tenant, a.isLarge(tenant, cost)}
	h := a.creditsOf(now, key, cost)
	h.observe(now, cost)
	if other := a.credits[creditKey{tenant, !key.isLarge}]; other != nil && now-max(h.exhaustedUntil, other.exhaustedUntil) > pressureSpan {
		h.borrow(other, cost-h.balance)
	}
	ticket = &Ticket{key: key, cost: cost, epoch: a.epoch, Done: make(chan struct{})}
	switch {
	case h.balance >= cost:
		// Also past larger ones that wait: what is held is too little for them in any case.
		h.spend(ticket)
	case now < h.exhaustedUntil:
		h.resolve(ticket, OverQuota, h.exhaustedUntil-now)
	case a.unansweredAt > 0 && now-a.unansweredAt > unavailableTimeout:
		// Waiting would hold the request back for nothing; the next ask goes out all the same.
		h.resolve(ticket, NoAllocator, a.backoff(now))
	default:
		h.pending = append(h.pending, ticket)
		return ticket, true
	}
	return ticket, false
}

// outageTimeout is how long nobody may answer before callers are better served by another router: longer
// than a change of leader takes.
const outageTimeout = 1800 * kernel.Millisecond

// HasAllocator tells whether an allocator answers this account, as far as it has asked.
func (a *Account) HasAllocator(now kernel.Micros) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.unansweredAt == 0 || now-a.unansweredAt < outageTimeout
}

// creditsOf gives the credits of a tenant's small or large requests.
func (a *Account) creditsOf(now kernel.Micros, key creditKey, cost float64) *tenantCredits {
	h := a.credits[key]
	if h == nil {
		h = &tenantCredits{demandAt: now, typicalCost: cost}
		a.credits[key] = h
	}
	return h
}

// isLarge tells whether a request costs far more than its tenant's usual one, which it is counted to.
func (a *Account) isLarge(tenant string, cost float64) bool {
	typicalCost, isKnown := a.typicalCosts[tenant]
	if !isKnown {
		typicalCost = cost
	}
	a.typicalCosts[tenant] = typicalCost + costSmoothing*(cost-typicalCost)
	return cost > largeCostFactor*typicalCost
}

// Outcome tells what became of a ticket, and when to come back if it was refused.
func (a *Account) Outcome(ticket *Ticket) (outcome Outcome, retryAfter kernel.Micros) {
	a.lock.Lock()
	defer a.lock.Unlock()
	return ticket.outcome, ticket.retryAfter
}

// Abandon gives a waiting ticket up; false: it was settled before.
func (a *Account) Abandon(now kernel.Micros, ticket *Ticket) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if ticket.outcome != Pending {
		return false
	}
	h := a.credits[ticket.key]
	h.resolve(ticket, NoAllocator, a.backoff(now))
	h.pending = slices.DeleteFunc(h.pending, func(other *Ticket) bool { return other == ticket })
	return true
}

// backoff is when a request should come back that nobody could answer for.
func (a *Account) backoff(now kernel.Micros) kernel.Micros {
	if a.unansweredAt == 0 {
		return minBackoff
	}
	// Not all at the same moment.
	a.retryIndex++
	return max(failoverSpan-(now-a.unansweredAt), minBackoff) + kernel.Micros(a.retryIndex%retrySlots)*retrySlotInterval
}

// Refund gives back what a granted ticket cost. The request provably did not run and never will.
func (a *Account) Refund(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	h := a.credits[ticket.key]
	if ticket.outcome != Granted || ticket.epoch != a.epoch || h == nil {
		return
	}
	ticket.outcome = NoAllocator
	h.balance += ticket.cost
	h.used -= ticket.cost
	h.grantPending(a.epoch)
}

// Charge takes what a granted ticket costs once more, also beyond what is held: a request that may
// have run is sent again.
func (a *Account) Charge(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	h := a.creditsOf(now, ticket.key, ticket.cost)
	h.balance -= ticket.cost
	h.used += ticket.cost
}

// NextRequest gives the ask that is due, or nil.
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
	request := &Request{Incarnation: a.incarnation, Seq: a.seq}
	for key, h := range a.credits {
		if len(h.pending) == 0 && now-h.demandAt > idleTimeout {
			// Told nowhere any more, it counts as given back.
			delete(a.credits, key)
			continue
		}
		request.Items = append(request.Items, h.item(now, key, a.seq))
	}
	slices.SortFunc(request.Items, func(x, y RequestItem) int {
		if order := cmp.Compare(x.Tenant, y.Tenant); order != 0 {
			return order
		}
		if x.IsLarge {
			return 1
		}
		return -1
	})
	return request
}

// maxRedirects bounds how often an ask is sent on at once: two nodes may each take the other for the leader.
const maxRedirects = 3

// Redirect tells that the newest ask reached a node that does not deal, and named another.
func (a *Account) Redirect() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.unansweredAt > 0 && a.redirects < maxRedirects {
		a.isRedirected = true
		a.redirects++
	}
}

// isDue tells whether there is something to ask for.
func (a *Account) isDue(now kernel.Micros) bool {
	// One that never answered is asked until it does: whether somebody deals is to be known here.
	if a.unansweredAt > 0 && now-a.requestedAt >= responseTimeout {
		return true
	}
	isHolding := false
	for _, h := range a.credits {
		if len(h.pending) > 0 {
			return true
		}
		isLow := h.balance < h.target(now)*2/3 && now >= h.exhaustedUntil
		if isLow && now >= a.prefetchAt {
			return true
		}
		isHolding = isHolding || h.balance > 0
	}
	return isHolding && now-a.requestedAt >= keepAliveInterval
}

// ApplyGrant takes an allocator's grant and settles the tickets that it is enough for.
func (a *Account) ApplyGrant(now kernel.Micros, grant *Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	// One for an earlier ask has been told as not taken; one that comes twice counts once.
	if grant.Seq != a.seq || grant.Seq == a.grantSeq {
		return
	}
	a.grantSeq, a.grantedAt, a.unansweredAt = grant.Seq, a.requestedAt, 0
	for _, item := range grant.Items {
		h := a.credits[creditKey{item.Tenant, item.IsLarge}]
		if h == nil {
			continue
		}
		h.balance += item.Amount
		h.grantPending(a.epoch)
		if item.RetryAfter > 0 {
			h.exhaustedUntil = now + item.RetryAfter
			h.rejectPending(grant.Seq, item.RetryAfter)
		}
	}
}

// expire ends credits that have outlived the newest grant for too long: the allocator takes
// them for spent.
func (a *Account) expire(now kernel.Micros) {
	if now-a.grantedAt <= a.bounds.CreditLifetime() {
		return
	}
	isSpent := true
	for _, h := range a.credits {
		isSpent = isSpent && h.balance == 0
		h.balance = 0
	}
	if !isSpent {
		a.epoch++
	}
}

// observe counts a request to a tenant's demand.
func (h *tenantCredits) observe(now kernel.Micros, cost float64) {
	h.demand = h.demandNow(now) + cost*float64(kernel.Second)/float64(demandDecaySpan)
	h.demandAt = now
	h.typicalCost += costSmoothing * (cost - h.typicalCost)
}

func (h *tenantCredits) demandNow(now kernel.Micros) float64 {
	return h.demand * math.Exp(-float64(now-h.demandAt)/float64(demandDecaySpan))
}

// target is how many credits the router seeks to hold.
func (h *tenantCredits) target(now kernel.Micros) float64 {
	demand := h.demandNow(now)
	// A tenant that sends nothing any more needs none.
	if demand*prefetchSeconds < h.typicalCost/8 {
		return 0
	}
	return demand*prefetchSeconds + 2*h.typicalCost
}

// item tells of a tenant in an ask, and gives back what is held for nothing.
func (h *tenantCredits) item(now kernel.Micros, key creditKey, seq uint64) RequestItem {
	target := h.target(now)
	if h.balance > 2*target {
		h.balance = math.Floor(target)
	}
	item := RequestItem{Tenant: key.tenant, IsLarge: key.isLarge, Used: h.used, Balance: h.balance}
	for _, ticket := range h.pending {
		ticket.requestSeq = seq
		item.Need += ticket.cost
	}
	if len(h.pending) > 0 {
		item.FirstNeed = math.Max(h.pending[0].cost-h.balance, 0)
		item.Need = math.Max(item.Need-h.balance, 0)
	}
	if now >= h.exhaustedUntil {
		item.Want = math.Max(target-h.balance, 0)
	}
	return item
}

// pressureSpan is how long after a refusal a tenant counts as pressed: its small requests and its large
// ones then keep to what was granted for them.
const pressureSpan = kernel.Second

// borrow moves credits that the other kind of the tenant's requests holds. To the allocator it looks as if
// that one had spent them and this one given as many back, so that its accounts stay whole.
func (h *tenantCredits) borrow(other *tenantCredits, shortfall float64) {
	if shortfall <= 0 || len(other.pending) > 0 || other.balance < shortfall {
		return
	}
	other.balance -= shortfall
	other.used += shortfall
	h.balance += shortfall
	h.used -= shortfall
}

// spend takes a ticket's cost out of the credits.
func (h *tenantCredits) spend(ticket *Ticket) {
	h.balance -= ticket.cost
	h.used += ticket.cost
	h.resolve(ticket, Granted, 0)
}

// grantPending settles waiting tickets, the first ones first, as far as the credits go.
func (h *tenantCredits) grantPending(epoch uint64) {
	for len(h.pending) > 0 && h.balance >= h.pending[0].cost {
		ticket := h.pending[0]
		h.pending = h.pending[1:]
		ticket.epoch = epoch
		h.spend(ticket)
	}
}

// rejectPending ends the tickets that an ask told of and its answer was too little for.
func (h *tenantCredits) rejectPending(seq uint64, retryAfter kernel.Micros) {
	h.pending = slices.DeleteFunc(h.pending, func(ticket *Ticket) bool {
		if ticket.requestSeq > seq || ticket.requestSeq == 0 {
			return false
		}
		h.resolve(ticket, OverQuota, retryAfter)
		return true
	})
}

// Counts gives the figures of each tenant that sent something lately.
func (a *Account) Counts() map[string]Counts {
	if a == nil {
		return nil
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	counts := make(map[string]Counts, len(a.credits))
	for key, h := range a.credits {
		sum := counts[key.tenant]
		sum.Granted += h.counts.Granted
		sum.Over += h.counts.Over
		sum.Unanswered += h.counts.Unanswered
		counts[key.tenant] = sum
	}
	return counts
}

// resolve tells a waiting ticket what became of it, and counts that.
func (h *tenantCredits) resolve(ticket *Ticket, outcome Outcome, retryAfter kernel.Micros) {
	ticket.outcome, ticket.retryAfter = outcome, retryAfter
	close(ticket.Done)
	switch outcome {
	case Granted:
		h.counts.Granted += ticket.cost
	case OverQuota:
		h.counts.Over += ticket.cost
	case NoAllocator:
		h.counts.Unanswered++
	}
}
