package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

const ms = kernel.Millisecond

// testBounds are those of a deployment that counts tokens.
var testBounds = Bounds{Window: 8 * kernel.Second, Over: 0.1, Slack: 140_000}

// simulation plays routers and leaders in steps of virtual time. Messages take a while, and may be lost,
// come twice or late; routers are cut off and restarted; leaders change.
type simulation struct {
	random       *rand.Rand
	now          kernel.Micros
	bounds       Bounds
	limits       []Limit
	routers      []*testRouter
	leader       *Allocator // nil: there is none now
	due          []delivery
	lossRate     float64
	incarnations uint64
	spent        map[string][]spending // by tenant, in order of time
	outcomes     map[Outcome]int
	costOf       func() float64                      // nil: costs are drawn round their mean
	onSettled    func(cost float64, outcome Outcome) // nil: nobody wants to know
}

type spending struct {
	at   kernel.Micros
	cost float64
}

type delivery struct {
	at  kernel.Micros
	run func()
}

type testRouter struct {
	world   *simulation
	name    string
	account *Account
	isCut   bool
	open    []openClaim
	shares  []float64 // of each tenant's traffic
}

type openClaim struct {
	ticket *Ticket
	until  kernel.Micros
}

func newSimulation(seed uint64, routers int, bounds Bounds, limits []Limit) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: 100 * kernel.Second, bounds: bounds, limits: limits,
		spent: map[string][]spending{}, outcomes: map[Outcome]int{}}
	for i := range routers {
		r := &testRouter{world: w, name: fmt.Sprint("r", i)}
		for range limits {
			// Callers stay with few routers, so shares are uneven.
			r.shares = append(r.shares, w.random.ExpFloat64()*float64(w.random.IntN(2)))
		}
		w.routers = append(w.routers, r)
		r.start()
	}
	w.electLeader()
	return w
}

func (r *testRouter) start() {
	r.world.incarnations++
	r.account, r.open = NewAccount(r.world.bounds, r.world.incarnations), nil
}

// electLeader has a new leader deal, which knows nothing of the one before.
func (w *simulation) electLeader() {
	w.leader = NewAllocator(w.now, w.bounds)
	w.leader.SetRouterCount(len(w.routers))
	w.leader.SetLimits(w.now, w.limits)
}

func (w *simulation) schedule(span kernel.Micros, run func()) {
	w.due = append(w.due, delivery{w.now + span, run})
}

// send brings a message, most of the time.
func (w *simulation) send(r *testRouter, run func()) {
	if r.isCut || w.random.Float64() < w.lossRate {
		return
	}
	w.schedule(kernel.Micros(500+w.random.IntN(2000)), run)
	if w.random.Float64() < w.lossRate {
		w.schedule(kernel.Micros(w.random.IntN(400_000)), run)
	}
}

func (r *testRouter) sendRequest() {
	w := r.world
	request := r.account.NextRequest(w.now)
	if request == nil {
		return
	}
	w.send(r, func() {
		if w.leader == nil {
			return
		}
		grant := w.leader.Allocate(w.now, r.name, request)
		if grant == nil {
			return
		}
		account := r.account
		w.send(r, func() {
			if r.account == account {
				account.ApplyGrant(w.now, grant)
			}
		})
	})
}

// claim is a request of a tenant at a router.
func (r *testRouter) claim(tenant int, cost float64) {
	w := r.world
	ticket, isUrgent := r.account.Claim(w.now, w.limits[tenant].Tenant, cost)
	r.open = append(r.open, openClaim{ticket, w.now + 100*ms})
	if isUrgent {
		r.sendRequest()
	}
}

// resolve counts the claims that are settled, and gives up those that took too long.
func (r *testRouter) resolve() {
	w := r.world
	r.open = slices.DeleteFunc(r.open, func(open openClaim) bool {
		outcome, _ := r.account.Outcome(open.ticket)
		if outcome == Pending {
			if w.now < open.until {
				return false
			}
			r.account.Abandon(w.now, open.ticket)
			outcome = NoAllocator
		}
		w.outcomes[outcome]++
		if w.onSettled != nil {
			w.onSettled(open.ticket.cost, outcome)
		}
		if outcome == Granted {
			w.spent[open.ticket.key.tenant] = append(w.spent[open.ticket.key.tenant], spending{w.now, open.ticket.cost})
			if w.random.IntN(20) == 0 {
				w.refund(r, open.ticket)
			}
		}
		return true
	})
}

// refund is a request that an engine turned away.
func (w *simulation) refund(r *testRouter, ticket *Ticket) {
	r.account.Refund(w.now, ticket)
	if outcome, _ := r.account.Outcome(ticket); outcome != Granted {
		list := w.spent[ticket.key.tenant]
		w.spent[ticket.key.tenant] = list[:len(list)-1]
	}
}

// cost draws what a request costs.
func (w *simulation) cost(mean float64) float64 {
	if w.costOf != nil {
		return w.costOf()
	}
	return math.Round(min(mean*0.3*(1+w.random.ExpFloat64()*2.3), 70_000))
}

const step = 2 * ms

// advance plays a span in which each tenant asks for so many times its rate.
func (w *simulation) advance(span kernel.Micros, times func(tenant int) float64, meanCost float64) {
	for end := w.now + span; w.now < end; {
		w.now += step
		slices.SortStableFunc(w.due, func(a, b delivery) int { return int(a.at - b.at) })
		for len(w.due) > 0 && w.due[0].at <= w.now {
			next := w.due[0]
			w.due = w.due[1:]
			next.run()
		}
		for tenant, limit := range w.limits {
			total := 0.0
			for _, r := range w.routers {
				total += r.shares[tenant]
			}
			for _, r := range w.routers {
				wanted := limit.Rate * times(tenant) * r.shares[tenant] / total / meanCost * float64(step) / float64(kernel.Second)
				for wanted > 0 && w.random.Float64() < wanted {
					r.claim(tenant, w.cost(meanCost))
					wanted--
				}
			}
		}
		if int(w.now/step)%10 == 0 {
			for _, r := range w.routers {
				r.sendRequest()
			}
		}
		for _, r := range w.routers {
			r.resolve()
		}
		if w.leader != nil {
			w.leader.Sweep(w.now)
		}
	}
}

// worstWindow gives the most that a tenant spent within a window, as a share of what is tolerated.
func (w *simulation) worstWindow(tenant int) float64 {
	limit := w.limits[tenant]
	seconds := float64(w.bounds.Window) / float64(kernel.Second)
	allowed := (limit.Rate*seconds+limit.Burst)*(1+w.bounds.Over) + w.bounds.Slack
	list, sum, worst, first := w.spent[limit.Tenant], 0.0, 0.0, 0
	for _, spending := range list {
		sum += spending.cost
		for list[first].at < spending.at-w.bounds.Window {
			sum -= list[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst / allowed
}

func tokensLimits() []Limit {
	return []Limit{{"small", 36_000, 36_000}, {"middle", 200_000, 200_000}, {"large", 900_000, 900_000}}
}

func always(times float64) func(int) float64 { return func(int) float64 { return times } }

// Under any mix of lost, doubled and late messages, cut-off and restarted routers and changes of
// leader, no tenant spends more within any window than is tolerated.
func TestNoWindowHoldsMoreThanIsTolerated(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		c := qt.New(t)
		w := newSimulation(seed, 30, testBounds, tokensLimits())
		w.lossRate = float64(seed%4) * 0.05
		times := []float64{0.8, 0.8, 0.8}
		for range 20 {
			switch w.random.IntN(5) {
			case 0:
				w.leader = nil
				w.schedule(kernel.Micros(1+w.random.IntN(4))*kernel.Second, w.electLeader)
			case 1:
				for _, r := range w.routers {
					r.isCut = w.random.IntN(5) == 0
				}
			case 2:
				w.routers[w.random.IntN(len(w.routers))].start()
			case 3:
				times[w.random.IntN(3)] = 7
			default:
				times = []float64{0.8, 0.8, 0.8}
			}
			w.advance(kernel.Micros(500+w.random.IntN(2500))*ms, func(tenant int) float64 { return times[tenant] }, 9000)
		}
		for tenant, limit := range w.limits {
			worst := w.worstWindow(tenant)
			c.Check(worst <= 1, qt.IsTrue, qt.Commentf("seed %d: %s spent %.3f of what is tolerated", seed, limit.Tenant, worst))
		}
	}
}

// A tenant that stays within its quota is hardly ever refused, and waits for an answer at most.
func TestWhoStaysWithinItsQuotaIsServed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		w := newSimulation(seed, 60, testBounds, tokensLimits())
		w.advance(3*kernel.Second, always(0.1), 9000)
		clear(w.outcomes)
		w.advance(20*kernel.Second, always(0.75), 9000)
		refused := w.outcomes[OverQuota] + w.outcomes[NoAllocator]
		share := float64(refused) / float64(refused+w.outcomes[Granted])
		c.Check(share < 0.01, qt.IsTrue, qt.Commentf("seed %d: %.4f refused: %v", seed, share, w.outcomes))
	}
}

// A tenant that asks for many times its quota gets nearly all of it.
func TestWhoAsksForMoreGetsItsQuota(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		w := newSimulation(seed, 60, testBounds, tokensLimits())
		w.advance(5*kernel.Second, always(0.5), 9000)
		clear(w.spent)
		span := 10 * kernel.Second
		w.advance(span, always(6), 9000)
		for _, limit := range w.limits {
			got := 0.0
			for _, spending := range w.spent[limit.Tenant] {
				got += spending.cost
			}
			share := got / (limit.Rate * float64(span) / float64(kernel.Second))
			c.Check(share > 0.9, qt.IsTrue, qt.Commentf("seed %d: %s got %.3f of its rate", seed, limit.Tenant, share))
		}
	}
}

// Without a leader routers go on for a while with what they hold, and not for ever.
func TestCreditsOutliveAChangeOfLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(5, 12, testBounds, tokensLimits())
	w.advance(6*kernel.Second, always(0.7), 9000)
	w.leader = nil
	clear(w.outcomes)
	w.advance(kernel.Second, always(0.7), 9000)
	refused := w.outcomes[OverQuota] + w.outcomes[NoAllocator]
	c.Check(float64(refused) < 0.25*float64(refused+w.outcomes[Granted]), qt.IsTrue, qt.Commentf("in the first second: %v", w.outcomes))
	w.advance(testBounds.CreditLifetime(), always(0.7), 9000)
	clear(w.outcomes)
	w.advance(kernel.Second, always(0.7), 9000)
	c.Check(w.outcomes[Granted], qt.Equals, 0)
}

// A tenant that asks for many times its quota gets more requests served if small ones go first; large
// ones still get a part. While it stays within its quota size makes no difference.
func TestUnderPressureSmallRequestsGoFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newSimulation(3, 20, testBounds, tokensLimits())
	w.costOf = func() float64 {
		if w.random.IntN(4) == 0 {
			return 12_000
		}
		return 2_000
	}
	served := func(times float64) (small, large float64) {
		asked, granted := map[float64]float64{}, map[float64]float64{}
		w.onSettled = func(cost float64, outcome Outcome) {
			asked[cost]++
			if outcome == Granted {
				granted[cost]++
			}
		}
		w.advance(8*kernel.Second, always(times), 4500)
		return granted[2_000] / asked[2_000], granted[12_000] / asked[12_000]
	}
	small, large := served(0.6)
	c.Check(small > 0.98 && large > 0.96, qt.IsTrue, qt.Commentf("within the quota: %.3f and %.3f", small, large))
	served(3)
	small, large = served(3)
	c.Check(small > 0.45, qt.IsTrue, qt.Commentf("pressed: %.3f of the small ones", small))
	c.Check(large > 0.08 && large < 0.3, qt.IsTrue, qt.Commentf("pressed: %.3f of the large ones", large))
}
