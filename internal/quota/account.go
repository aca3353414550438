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
	answerSpan   = 150 * kernel.Millisecond // after which an ask without an answer is sent anew
	silentSpan   = 400 * kernel.Millisecond // after which nobody waits for an answer any more
	advanceEvery = 250 * kernel.Millisecond // between two asks for what is foreseen
	keepEvery    = kernel.Second            // between two asks that only keep credits alive
	// usualGap is how long it takes, most of the time, until another leader deals; who comes back
	// sooner is refused again.
	usualGap    = 1200 * kernel.Millisecond
	backTurns   = 8
	backSpread  = 40 * kernel.Millisecond
	soonestBack = 200 * kernel.Millisecond
	demandFade  = 2 * kernel.Second // in which a request loses most of its weight in the demand
	ahead       = 1.5               // seconds of the demand that a router seeks to hold
	forgetAfter = 30 * kernel.Second
	usualWeight = 0.05 // of a new request in the usual cost
)

// Outcome is what became of a request's claim on its tenant's quota.
type Outcome int

// The outcomes of a claim.
const (
	Waiting     Outcome = iota // the allocator has been asked, or will be
	Granted                    // the request may be sent
	OverQuota                  // the tenant has no more
	NoAllocator                // nobody answers who could tell
)

// Ticket is a request's claim.
type Ticket struct {
	key   creditKey
	cost  float64
	ask   uint64 // the ask that told of it; zero: none yet
	epoch uint64
	// Settled is closed when the outcome is no longer Waiting.
	Settled    chan struct{}
	outcome    Outcome
	retryAfter kernel.Micros
}

// Account holds a router's credits. Its one lock is held for one decision.
type Account struct {
	lock      sync.Mutex
	bounds    Bounds
	life      uint64
	seq       uint64
	holdings  map[creditKey]*holding
	usual     map[string]float64 // units of a tenant's request
	askedAt   kernel.Micros      // the newest ask
	silentAt  kernel.Micros      // the oldest ask since the last answer; zero: all are answered
	grantedAt kernel.Micros      // the sending of the newest ask that was granted
	grantSeq  uint64
	advanceAt kernel.Micros
	isTurned  bool   // the newest ask went to one who does not deal
	turn      uint64 // of requests that are told to come back
	redirects int    // of asks since the last answer, or for a while
	epoch     uint64 // counts up as credits expire
}

// holding is a router's credits of one tenant, and what its requests ask for.
type holding struct {
	held, used float64
	waiting    []*Ticket
	demand     float64 // units a second
	demandAt   kernel.Micros
	usual      float64 // units of a request
	dryUntil   kernel.Micros
	counts     Counts
}

// Counts are what became of a tenant's claims at this router: units let through and refused, and
// claims that nobody answered.
type Counts struct {
	Granted, Over float64
	Unanswered    uint64
}

// NewAccount makes the account of one life of a router.
func NewAccount(bounds Bounds, life uint64) *Account {
	return &Account{bounds: bounds, life: life, holdings: map[creditKey]*holding{}, usual: map[string]float64{}}
}

// Claim asks for a request's cost. IsUrgent tells that the allocator is to be asked at once.
func (a *Account) Claim(now kernel.Micros, tenant string, cost float64) (ticket *Ticket, isUrgent bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	key := creditKey{tenant, a.isLarge(tenant, cost)}
	h := a.holding(now, key, cost)
	h.learn(now, cost)
	if other := a.holdings[creditKey{tenant, !key.isLarge}]; other != nil && now-max(h.dryUntil, other.dryUntil) > pressedSpan {
		h.borrow(other, cost-h.held)
	}
	ticket = &Ticket{key: key, cost: cost, epoch: a.epoch, Settled: make(chan struct{})}
	switch {
	case h.held >= cost:
		// Also past larger ones that wait: what is held is too little for them in any case.
		h.spend(ticket)
	case now < h.dryUntil:
		h.settle(ticket, OverQuota, h.dryUntil-now)
	case a.silentAt > 0 && now-a.silentAt > silentSpan:
		// Waiting would hold the request back for nothing; the next ask goes out all the same.
		h.settle(ticket, NoAllocator, a.comeBack(now))
	default:
		h.waiting = append(h.waiting, ticket)
		return ticket, true
	}
	return ticket, false
}

// longSilence is how long nobody may answer before callers are better served by another router: longer
// than a change of leader takes.
const longSilence = 1800 * kernel.Millisecond

// IsServed tells whether an allocator answers this account, as far as it has asked.
func (a *Account) IsServed(now kernel.Micros) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.silentAt == 0 || now-a.silentAt < longSilence
}

// holding gives the credits of a tenant's small or large requests.
func (a *Account) holding(now kernel.Micros, key creditKey, cost float64) *holding {
	h := a.holdings[key]
	if h == nil {
		h = &holding{demandAt: now, usual: cost}
		a.holdings[key] = h
	}
	return h
}

// isLarge tells whether a request costs far more than its tenant's usual one, which it is counted to.
func (a *Account) isLarge(tenant string, cost float64) bool {
	usual, isKnown := a.usual[tenant]
	if !isKnown {
		usual = cost
	}
	a.usual[tenant] = usual + usualWeight*(cost-usual)
	return cost > largeFrom*usual
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
	if ticket.outcome != Waiting {
		return false
	}
	h := a.holdings[ticket.key]
	h.settle(ticket, NoAllocator, a.comeBack(now))
	h.waiting = slices.DeleteFunc(h.waiting, func(other *Ticket) bool { return other == ticket })
	return true
}

// comeBack is when a request should come back that nobody could answer for.
func (a *Account) comeBack(now kernel.Micros) kernel.Micros {
	if a.silentAt == 0 {
		return soonestBack
	}
	// Not all at the same moment.
	a.turn++
	return max(usualGap-(now-a.silentAt), soonestBack) + kernel.Micros(a.turn%backTurns)*backSpread
}

// Return gives back what a granted ticket cost. The request provably did not run and never will.
func (a *Account) Return(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	h := a.holdings[ticket.key]
	if ticket.outcome != Granted || ticket.epoch != a.epoch || h == nil {
		return
	}
	ticket.outcome = NoAllocator
	h.held += ticket.cost
	h.used -= ticket.cost
	h.serve(a.epoch)
}

// Charge takes what a granted ticket costs once more, also beyond what is held: a request that may
// have run is sent again.
func (a *Account) Charge(now kernel.Micros, ticket *Ticket) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	h := a.holding(now, ticket.key, ticket.cost)
	h.held -= ticket.cost
	h.used += ticket.cost
}

// Ask gives the ask that is due, or nil.
func (a *Account) Ask(now kernel.Micros) *Ask {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	isUnderWay := a.silentAt > 0 && now-a.askedAt < answerSpan && !a.isTurned
	if isUnderWay || !a.isDue(now) {
		return nil
	}
	if !a.isTurned {
		a.redirects = 0
	}
	a.isTurned = false
	a.seq++
	a.askedAt, a.advanceAt = now, now+advanceEvery
	if a.silentAt == 0 {
		a.silentAt = now
	}
	ask := &Ask{Life: a.life, Seq: a.seq}
	for key, h := range a.holdings {
		if len(h.waiting) == 0 && now-h.demandAt > forgetAfter {
			// Told nowhere any more, it counts as given back.
			delete(a.holdings, key)
			continue
		}
		ask.Items = append(ask.Items, h.item(now, key, a.seq))
	}
	slices.SortFunc(ask.Items, func(x, y AskItem) int {
		if order := cmp.Compare(x.Tenant, y.Tenant); order != 0 {
			return order
		}
		if x.IsLarge {
			return 1
		}
		return -1
	})
	return ask
}

// mostRedirects bounds how often an ask is sent on at once: two nodes may each take the other for the leader.
const mostRedirects = 3

// Redirect tells that the newest ask reached a node that does not deal, and named another.
func (a *Account) Redirect() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.silentAt > 0 && a.redirects < mostRedirects {
		a.isTurned = true
		a.redirects++
	}
}

// isDue tells whether there is something to ask for.
func (a *Account) isDue(now kernel.Micros) bool {
	// One that never answered is asked until it does: whether somebody deals is to be known here.
	if a.silentAt > 0 && now-a.askedAt >= answerSpan {
		return true
	}
	isHolding := false
	for _, h := range a.holdings {
		if len(h.waiting) > 0 {
			return true
		}
		isLow := h.held < h.target(now)*2/3 && now >= h.dryUntil
		if isLow && now >= a.advanceAt {
			return true
		}
		isHolding = isHolding || h.held > 0
	}
	return isHolding && now-a.askedAt >= keepEvery
}

// Take takes an allocator's grant and settles the tickets that it is enough for.
func (a *Account) Take(now kernel.Micros, grant *Grant) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	// One for an earlier ask has been told as not taken; one that comes twice counts once.
	if grant.Seq != a.seq || grant.Seq == a.grantSeq {
		return
	}
	a.grantSeq, a.grantedAt, a.silentAt = grant.Seq, a.askedAt, 0
	for _, item := range grant.Items {
		h := a.holdings[creditKey{item.Tenant, item.IsLarge}]
		if h == nil {
			continue
		}
		h.held += item.Amount
		h.serve(a.epoch)
		if item.RetryAfter > 0 {
			h.dryUntil = now + item.RetryAfter
			h.refuse(grant.Seq, item.RetryAfter)
		}
	}
}

// expire ends credits that have outlived the newest grant for too long: the allocator takes
// them for spent.
func (a *Account) expire(now kernel.Micros) {
	if now-a.grantedAt <= a.bounds.CreditLife() {
		return
	}
	isSpent := true
	for _, h := range a.holdings {
		isSpent = isSpent && h.held == 0
		h.held = 0
	}
	if !isSpent {
		a.epoch++
	}
}

// learn counts a request to a tenant's demand.
func (h *holding) learn(now kernel.Micros, cost float64) {
	h.demand = h.demandNow(now) + cost*float64(kernel.Second)/float64(demandFade)
	h.demandAt = now
	h.usual += usualWeight * (cost - h.usual)
}

func (h *holding) demandNow(now kernel.Micros) float64 {
	return h.demand * math.Exp(-float64(now-h.demandAt)/float64(demandFade))
}

// target is how many credits the router seeks to hold.
func (h *holding) target(now kernel.Micros) float64 {
	demand := h.demandNow(now)
	// A tenant that sends nothing any more needs none.
	if demand*ahead < h.usual/8 {
		return 0
	}
	return demand*ahead + 2*h.usual
}

// item tells of a tenant in an ask, and gives back what is held for nothing.
func (h *holding) item(now kernel.Micros, key creditKey, seq uint64) AskItem {
	target := h.target(now)
	if h.held > 2*target {
		h.held = math.Floor(target)
	}
	item := AskItem{Tenant: key.tenant, IsLarge: key.isLarge, Used: h.used, Held: h.held}
	for _, ticket := range h.waiting {
		ticket.ask = seq
		item.Need += ticket.cost
	}
	if len(h.waiting) > 0 {
		item.First = math.Max(h.waiting[0].cost-h.held, 0)
		item.Need = math.Max(item.Need-h.held, 0)
	}
	if now >= h.dryUntil {
		item.Want = math.Max(target-h.held, 0)
	}
	return item
}

// pressedSpan is how long after a refusal a tenant counts as pressed: its small requests and its large
// ones then keep to what was granted for them.
const pressedSpan = kernel.Second

// borrow moves credits that the other kind of the tenant's requests holds. To the allocator it looks as if
// that one had spent them and this one given as many back, so that its accounts stay whole.
func (h *holding) borrow(other *holding, lack float64) {
	if lack <= 0 || len(other.waiting) > 0 || other.held < lack {
		return
	}
	other.held -= lack
	other.used += lack
	h.held += lack
	h.used -= lack
}

// spend takes a ticket's cost out of the credits.
func (h *holding) spend(ticket *Ticket) {
	h.held -= ticket.cost
	h.used += ticket.cost
	h.settle(ticket, Granted, 0)
}

// serve settles waiting tickets, the first ones first, as far as the credits go.
func (h *holding) serve(epoch uint64) {
	for len(h.waiting) > 0 && h.held >= h.waiting[0].cost {
		ticket := h.waiting[0]
		h.waiting = h.waiting[1:]
		ticket.epoch = epoch
		h.spend(ticket)
	}
}

// refuse ends the tickets that an ask told of and its answer was too little for.
func (h *holding) refuse(seq uint64, retryAfter kernel.Micros) {
	h.waiting = slices.DeleteFunc(h.waiting, func(ticket *Ticket) bool {
		if ticket.ask > seq || ticket.ask == 0 {
			return false
		}
		h.settle(ticket, OverQuota, retryAfter)
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
	counts := make(map[string]Counts, len(a.holdings))
	for key, h := range a.holdings {
		sum := counts[key.tenant]
		sum.Granted += h.counts.Granted
		sum.Over += h.counts.Over
		sum.Unanswered += h.counts.Unanswered
		counts[key.tenant] = sum
	}
	return counts
}

// settle tells a waiting ticket what became of it, and counts that.
func (h *holding) settle(ticket *Ticket, outcome Outcome, retryAfter kernel.Micros) {
	ticket.outcome, ticket.retryAfter = outcome, retryAfter
	close(ticket.Settled)
	switch outcome {
	case Granted:
		h.counts.Granted += ticket.cost
	case OverQuota:
		h.counts.Over += ticket.cost
	case NoAllocator:
		h.counts.Unanswered++
	}
}
