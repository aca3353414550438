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

// testBounds are typical bounds of a deployment whose quotas count tokens.
var testBounds = Bounds{Window: 8 * kernel.Second, Over: 0.1, Slack: 140_000, SurplusLifetime: surplusLifetime}

// simulation runs routers and leaders in steps of virtual time. Messages are delayed, and may be lost,
// duplicated or late. Routers may be partitioned and restarted, and leaders change.
type simulation struct {
	random       *rand.Rand
	now          kernel.Micros
	bounds       Bounds
	limits       []Limit
	routers      []*testRouter
	leader       *Allocator // nil: there is no leader
	deliveries   []delivery
	lossRate     float64
	incarnations uint64
	spent        map[string][]spending // by tenant, in order of time
	outcomes     map[Outcome]int
	costOf       func() float64                      // nil: costs are random around their mean
	onResolved   func(cost float64, outcome Outcome) // nil: not called
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
	simulation    *simulation
	name          string
	account       *Account
	isPartitioned bool
	open          []openClaim
	shares        []float64 // of each tenant's traffic, as relative weights
}

type openClaim struct {
	ticket *Ticket
	until  kernel.Micros
}

func newSimulation(seed uint64, routers int, bounds Bounds, limits []Limit) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: 100 * kernel.Second, bounds: bounds, limits: limits,
		spent: map[string][]spending{}, outcomes: map[Outcome]int{}}
	for i := range routers {
		r := &testRouter{simulation: s, name: fmt.Sprint("r", i)}
		for range limits {
			// The shares are uneven because callers use few routers each.
			r.shares = append(r.shares, s.random.ExpFloat64()*float64(s.random.IntN(2)))
		}
		s.routers = append(s.routers, r)
		r.start()
	}
	s.electLeader()
	return s
}

func (r *testRouter) start() {
	r.simulation.incarnations++
	r.account, r.open = NewAccount(r.simulation.bounds, r.simulation.incarnations), nil
}

// electLeader starts a new leader, which knows nothing of the previous one's grants.
func (s *simulation) electLeader() {
	s.leader = NewAllocator(s.now, s.bounds)
	s.leader.SetRouterCount(len(s.routers))
	s.leader.SetLimits(s.now, s.limits)
}

func (s *simulation) schedule(span kernel.Micros, run func()) {
	s.deliveries = append(s.deliveries, delivery{s.now + span, run})
}

// send delivers a message with a delay, unless it is lost; some are delivered twice.
func (s *simulation) send(r *testRouter, run func()) {
	if r.isPartitioned || s.random.Float64() < s.lossRate {
		return
	}
	s.schedule(kernel.Micros(500+s.random.IntN(2000)), run)
	if s.random.Float64() < s.lossRate {
		s.schedule(kernel.Micros(s.random.IntN(400_000)), run)
	}
}

func (r *testRouter) sendRequest() {
	s := r.simulation
	request := r.account.NextRequest(s.now)
	if request == nil {
		return
	}
	s.send(r, func() {
		if s.leader == nil {
			return
		}
		grant := s.leader.Allocate(s.now, r.name, request)
		if grant == nil {
			return
		}
		account := r.account
		s.send(r, func() {
			if r.account == account {
				account.ApplyGrant(s.now, grant)
			}
		})
	})
}

// claim makes a claim for a tenant's request. It is abandoned after 100 ms without an outcome.
func (r *testRouter) claim(tenant int, cost float64) {
	s := r.simulation
	ticket, isUrgent := r.account.Claim(s.now, s.limits[tenant].Tenant, cost)
	r.open = append(r.open, openClaim{ticket, s.now + 100*ms})
	if isUrgent {
		r.sendRequest()
	}
}

// resolve counts the claims that are resolved, and abandons those that have been pending for too long.
func (r *testRouter) resolve() {
	s := r.simulation
	r.open = slices.DeleteFunc(r.open, func(open openClaim) bool {
		outcome, _ := r.account.Outcome(open.ticket)
		if outcome == Pending {
			if s.now < open.until {
				return false
			}
			r.account.Abandon(s.now, open.ticket)
			outcome = NoAllocator
		}
		s.outcomes[outcome]++
		if s.onResolved != nil {
			s.onResolved(open.ticket.cost, outcome)
		}
		if outcome == Granted {
			s.spent[open.ticket.key.tenant] = append(s.spent[open.ticket.key.tenant], spending{s.now, open.ticket.cost})
			if s.random.IntN(20) == 0 {
				s.refund(r, open.ticket)
			}
		}
		return true
	})
}

// refund refunds a request that an engine rejected, and removes it from the spending.
func (s *simulation) refund(r *testRouter, ticket *Ticket) {
	r.account.Refund(s.now, ticket)
	if outcome, _ := r.account.Outcome(ticket); outcome != Granted {
		list := s.spent[ticket.key.tenant]
		s.spent[ticket.key.tenant] = list[:len(list)-1]
	}
}

// cost returns the random cost of a request.
func (s *simulation) cost(mean float64) float64 {
	if s.costOf != nil {
		return s.costOf()
	}
	return math.Round(min(mean*0.3*(1+s.random.ExpFloat64()*2.3), 70_000))
}

const step = 2 * ms

// advance runs the simulation for a span, in which each tenant sends the given multiple of its rate.
func (s *simulation) advance(span kernel.Micros, times func(tenant int) float64, meanCost float64) {
	for end := s.now + span; s.now < end; {
		s.now += step
		s.deliver()
		for tenant := range s.limits {
			s.sendTraffic(tenant, times(tenant), meanCost)
		}
		if int(s.now/step)%10 == 0 {
			for _, r := range s.routers {
				r.sendRequest()
			}
		}
		for _, r := range s.routers {
			r.resolve()
		}
		if s.leader != nil {
			s.leader.Sweep(s.now)
		}
	}
}

// deliver runs the deliveries that are due, in order of time.
func (s *simulation) deliver() {
	slices.SortStableFunc(s.deliveries, func(a, b delivery) int { return int(a.at - b.at) })
	for len(s.deliveries) > 0 && s.deliveries[0].at <= s.now {
		next := s.deliveries[0]
		s.deliveries = s.deliveries[1:]
		next.run()
	}
}

// sendTraffic makes a tenant's claims for one step, at the given multiple of its rate.
func (s *simulation) sendTraffic(tenant int, times, meanCost float64) {
	total := 0.0
	for _, r := range s.routers {
		total += r.shares[tenant]
	}
	for _, r := range s.routers {
		wanted := s.limits[tenant].Rate * times * r.shares[tenant] / total / meanCost * float64(step) / float64(kernel.Second)
		for wanted > 0 && s.random.Float64() < wanted {
			r.claim(tenant, s.cost(meanCost))
			wanted--
		}
	}
}

// worstWindow returns the most that a tenant spent within any window, as a share of what is tolerated.
func (s *simulation) worstWindow(tenant int) float64 {
	limit := s.limits[tenant]
	seconds := float64(s.bounds.Window) / float64(kernel.Second)
	allowed := (limit.Rate*seconds+limit.Burst)*(1+s.bounds.Over) + s.bounds.Slack
	list, sum, worst, first := s.spent[limit.Tenant], 0.0, 0.0, 0
	for _, spending := range list {
		sum += spending.cost
		for list[first].at < spending.at-s.bounds.Window {
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

// No tenant spends more than is tolerated within any window, whatever combination of lost, duplicated and
// late messages, partitioned and restarted routers, and leader changes occurs.
func TestNoWindowExceedsTolerance(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		c := qt.New(t)
		s := newSimulation(seed, 30, testBounds, tokensLimits())
		s.lossRate = float64(seed%4) * 0.05
		times := []float64{0.8, 0.8, 0.8}
		for range 20 {
			switch s.random.IntN(5) {
			case 0:
				s.leader = nil
				s.schedule(kernel.Micros(1+s.random.IntN(4))*kernel.Second, s.electLeader)
			case 1:
				for _, r := range s.routers {
					r.isPartitioned = s.random.IntN(5) == 0
				}
			case 2:
				s.routers[s.random.IntN(len(s.routers))].start()
			case 3:
				times[s.random.IntN(3)] = 7
			default:
				times = []float64{0.8, 0.8, 0.8}
			}
			s.advance(kernel.Micros(500+s.random.IntN(2500))*ms, func(tenant int) float64 { return times[tenant] }, 9000)
		}
		for tenant, limit := range s.limits {
			worst := s.worstWindow(tenant)
			c.Check(worst <= 1, qt.IsTrue, qt.Commentf("seed %d: %s spent %.3f of what is tolerated", seed, limit.Tenant, worst))
		}
	}
}

// A tenant that stays within its quota is hardly ever rejected, although it may have to wait for a grant.
func TestTenantWithinQuotaIsServed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		s := newSimulation(seed, 60, testBounds, tokensLimits())
		s.advance(3*kernel.Second, always(0.1), 9000)
		clear(s.outcomes)
		s.advance(20*kernel.Second, always(0.75), 9000)
		rejected := s.outcomes[OverQuota] + s.outcomes[NoAllocator]
		share := float64(rejected) / float64(rejected+s.outcomes[Granted])
		c.Check(share < 0.01, qt.IsTrue, qt.Commentf("seed %d: %.4f rejected: %v", seed, share, s.outcomes))
	}
}

// A tenant that requests many times its quota is granted nearly all of the quota.
func TestTenantAboveQuotaGetsItsQuota(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		c := qt.New(t)
		s := newSimulation(seed, 60, testBounds, tokensLimits())
		s.advance(5*kernel.Second, always(0.5), 9000)
		clear(s.spent)
		span := 10 * kernel.Second
		s.advance(span, always(6), 9000)
		for _, limit := range s.limits {
			got := 0.0
			for _, spending := range s.spent[limit.Tenant] {
				got += spending.cost
			}
			share := got / (limit.Rate * float64(span) / float64(kernel.Second))
			c.Check(share > 0.9, qt.IsTrue, qt.Commentf("seed %d: %s got %.3f of its rate", seed, limit.Tenant, share))
		}
	}
}

// Without a leader, routers continue to spend their credits until the credits expire.
func TestCreditsOutliveAChangeOfLeader(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(5, 12, testBounds, tokensLimits())
	s.advance(6*kernel.Second, always(0.7), 9000)
	s.leader = nil
	clear(s.outcomes)
	s.advance(kernel.Second, always(0.7), 9000)
	rejected := s.outcomes[OverQuota] + s.outcomes[NoAllocator]
	c.Check(float64(rejected) < 0.25*float64(rejected+s.outcomes[Granted]), qt.IsTrue, qt.Commentf("in the first second: %v", s.outcomes))
	s.advance(testBounds.CreditLifetime(), always(0.7), 9000)
	clear(s.outcomes)
	s.advance(kernel.Second, always(0.7), 9000)
	c.Check(s.outcomes[Granted], qt.Equals, 0)
}

// When a tenant requests many times its quota, small requests go first, because more requests are served
// that way, but large ones still get a part. Within the quota the size of a request makes no difference.
func TestUnderPressureSmallRequestsGoFirst(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newSimulation(3, 20, testBounds, tokensLimits())
	s.costOf = func() float64 {
		if s.random.IntN(4) == 0 {
			return 12_000
		}
		return 2_000
	}
	served := func(times float64) (small, large float64) {
		asked, granted := map[float64]float64{}, map[float64]float64{}
		s.onResolved = func(cost float64, outcome Outcome) {
			asked[cost]++
			if outcome == Granted {
				granted[cost]++
			}
		}
		s.advance(8*kernel.Second, always(times), 4500)
		return granted[2_000] / asked[2_000], granted[12_000] / asked[12_000]
	}
	small, large := served(0.6)
	c.Check(small > 0.98 && large > 0.96, qt.IsTrue, qt.Commentf("within the quota: %.3f and %.3f", small, large))
	served(3)
	small, large = served(3)
	c.Check(small > 0.45, qt.IsTrue, qt.Commentf("above the quota: %.3f of the small ones", small))
	c.Check(large > 0.08 && large < 0.3, qt.IsTrue, qt.Commentf("above the quota: %.3f of the large ones", large))
}
