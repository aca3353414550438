package simulator

// Tenants of a routed fleet: their keys, which configurations add and revoke, and their quotas. A stand-in for the control
// plane tells each router when its configuration is the newest, and an allocator grants quotas.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
)

// RoutedTenant is a tenant of a routed fleet.
type RoutedTenant struct {
	Name   string
	Weight float64 // its share of the callers
	Rate   float64 // tokens per second; zero for no quota
	Burst  float64
}

// TenantPlan holds the tenants of a run and the bounds they are checked against.
type TenantPlan struct {
	Tenants []RoutedTenant
	Bounds  checker.TenantBounds
}

// Intervals and shares used by the stand-in for the control plane and by the callers.
const (
	freshnessInterval    = 250 * ms
	quotaTick            = 20 * ms
	minHandover          = 412 * ms // between the last grant of one leader and the first of the next
	surplusLifetime      = 337 * ms // of credits beyond a router's share
	keyTrustShare        = 0.95     // of the revocation timeout, for which a router trusts its keys without confirmation
	unauthenticatedOneIn = 50       // one request in 50 has an unknown key, and one in 50 has no key
)

// DrawTenants returns random tenants for a deployment, with very different shares of the requests. Their quotas exceed
// their usual demand; the first tenant has no quota.
func DrawTenants(seed uint64, deployment RoutedDeployment) *TenantPlan {
	random := rand.New(rand.NewPCG(seed, 78))
	plan := &TenantPlan{Bounds: checker.TenantBounds{
		RevocationTimeout: 2*sec + kernel.Micros(random.Int64N(int64(3*sec))), QuotaWindow: kernel.Micros(4+random.IntN(5)) * sec,
		QuotaOver: 0.1, QuotaSlack: 4 * maxCost(deployment), Quotas: map[string]checker.TenantQuota{},
	}}
	sum := 0.0
	for i := range 3 + random.IntN(4) {
		tenant := RoutedTenant{Name: fmt.Sprint("tenant-", i), Weight: 0.2 + random.ExpFloat64()}
		sum += tenant.Weight
		plan.Tenants = append(plan.Tenants, tenant)
	}
	for i := range plan.Tenants {
		tenant := &plan.Tenants[i]
		tenant.Weight /= sum
		if i == 0 {
			continue
		}
		tenant.Rate = (1.5 + random.Float64()) * tenant.Weight * expectedTokenRate(deployment)
		tenant.Burst = tenant.Rate
		plan.Bounds.Quotas[tenant.Name] = checker.TenantQuota{Rate: tenant.Rate, Burst: tenant.Burst}
	}
	return plan
}

// expectedTokenRate returns the tokens per second that all callers of a deployment request.
func expectedTokenRate(deployment RoutedDeployment) (tokens float64) {
	for _, kind := range deployment.Kinds {
		tokens += kind.Rate * costOf(kind)
	}
	return tokens
}

func costOf(kind RoutedKind) float64 { return float64(kind.Shared + kind.Own + kind.Out) }

// maxCost returns the tokens of a request of the most expensive kind.
func maxCost(deployment RoutedDeployment) (cost float64) {
	for _, kind := range deployment.Kinds {
		cost = max(cost, costOf(kind))
	}
	return cost
}

// tenancy holds the tenants of a run. Its lock guards all fields that change after the start.
type tenancy struct {
	fleet  *routedFleet
	plan   *TenantPlan
	bounds quota.Bounds

	lock           sync.Mutex
	configuredKeys map[string][]string // keys by tenant, of the newest configuration
	activeKeys     map[string]string   // the key that each tenant's callers use
	weights        []float64
	keyCount       int
	allocator      *quota.Allocator // nil while there is no leader
	routers        map[string]*tenancyRouter
}

// tenancyRouter is the state that the stand-in keeps for a router.
type tenancyRouter struct {
	account     *quota.Account
	confirmedAt kernel.Micros // the last time at which its configuration was known to be the newest
	isCut       bool
}

func newTenancy(f *routedFleet, plan *TenantPlan) *tenancy {
	t := &tenancy{
		fleet: f, plan: plan, configuredKeys: map[string][]string{}, activeKeys: map[string]string{}, routers: map[string]*tenancyRouter{},
		bounds: quota.Bounds{
			Window: plan.Bounds.QuotaWindow, Over: plan.Bounds.QuotaOver, Slack: plan.Bounds.QuotaSlack, SurplusLifetime: surplusLifetime,
		},
	}
	for _, tenant := range plan.Tenants {
		t.weights = append(t.weights, tenant.Weight)
		t.activeKeys[tenant.Name] = t.addKey(tenant.Name)
	}
	t.electLeader()
	return t
}

// addKey adds a new key of a tenant to the next configuration and returns it.
func (t *tenancy) addKey(tenant string) string {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.keyCount++
	key := fmt.Sprintf("key-%d-of-%s", t.keyCount, tenant)
	t.configuredKeys[tenant] = append(t.configuredKeys[tenant], key)
	return key
}

// nextTenants returns the tenants with their keys for the next configuration.
func (t *tenancy) nextTenants() []fleetconfig.Tenant {
	t.lock.Lock()
	defer t.lock.Unlock()
	tenants := []fleetconfig.Tenant{}
	for _, tenant := range t.plan.Tenants {
		keys := slices.Clone(t.configuredKeys[tenant.Name])
		tenants = append(tenants, fleetconfig.Tenant{Name: tenant.Name, Keys: keys, Unit: fleetconfig.CountTokens, Rate: tenant.Rate, Burst: tenant.Burst})
	}
	return tenants
}

// recordKeys records the keys in a configuration that is about to be delivered, for the checker. It must be called without
// the fleet's lock.
func (t *tenancy) recordKeys(tenants []fleetconfig.Tenant) {
	for _, tenant := range tenants {
		for _, key := range tenant.Keys {
			t.fleet.note(checker.RoutedEvent{EventKind: checker.KeyHeld, Key: key, Tenant: tenant.Name})
		}
	}
}

// electLeader starts a new allocator, as a new leader does; it does not know the grants of the previous leader.
func (t *tenancy) electLeader() {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := t.fleet.clock.Now()
	t.allocator = quota.NewAllocator(now, t.bounds)
	t.allocator.SetRouterCount(t.fleet.deployment.Routers)
	limits := []quota.Limit{}
	for _, tenant := range t.plan.Tenants {
		limits = append(limits, quota.Limit{Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst})
	}
	t.allocator.SetLimits(now, limits)
}

// loseLeader leaves the routers without an allocator.
func (t *tenancy) loseLeader() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.allocator = nil
}

// addRouter connects a router's settings to the tenancy, and requests quota for it until the run ends.
func (t *tenancy) addRouter(name string, settings *router.Settings) {
	state := &tenancyRouter{account: quota.NewAccount(t.bounds, uint64(len(t.routers)+1)), confirmedAt: t.fleet.clock.Now()}
	t.lock.Lock()
	t.routers[name] = state
	t.lock.Unlock()
	settings.Quota = state.account
	settings.MayTrustKeys = func() bool { return t.mayTrust(state) }
	settings.IsInContact = func() bool { return !t.isCut(state) }
	settings.RequestQuota = func() { t.fleet.background.Go(func() { t.requestQuota(name, state) }) }
	t.every(quotaTick, func() { t.requestQuota(name, state); t.sweep() })
}

// every calls do at an interval until the run ends.
func (t *tenancy) every(interval kernel.Micros, do func()) {
	t.fleet.background.Go(func() {
		ticker := time.NewTicker(interval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				do()
			case <-t.fleet.context.Done():
				return
			}
		}
	})
}

func (t *tenancy) isCut(state *tenancyRouter) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return state.isCut
}

func (t *tenancy) mayTrust(state *tenancyRouter) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	trust := kernel.Micros(keyTrustShare * float64(t.plan.Bounds.RevocationTimeout))
	return t.fleet.clock.Now()-state.confirmedAt < trust
}

// sweep makes the allocator write off the quota held by routers that no longer send requests.
func (t *tenancy) sweep() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.allocator != nil {
		t.allocator.Sweep(t.fleet.clock.Now())
	}
}

// requestQuota sends a router's request to the allocator and the grant back, each with the network's delay.
func (t *tenancy) requestQuota(name string, state *tenancyRouter) {
	request := state.account.NextRequest(t.fleet.clock.Now())
	if request == nil {
		return
	}
	t.fleet.after(t.fleet.deployment.NetworkDelay, func() {
		grant := t.allocate(name, state, request)
		if grant == nil {
			return
		}
		t.fleet.after(t.fleet.deployment.NetworkDelay, func() {
			if !t.isCut(state) {
				state.account.ApplyGrant(t.fleet.clock.Now(), grant)
			}
		})
	})
}

func (t *tenancy) allocate(name string, state *tenancyRouter, request *quota.Request) *quota.Grant {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.allocator == nil || state.isCut {
		return nil
	}
	return t.allocator.Allocate(t.fleet.clock.Now(), name, request)
}

// refresh confirms to the routers with the newest configuration that it is the newest.
func (t *tenancy) refresh() {
	f := t.fleet
	f.lock.Lock()
	sentAt, revision := f.clock.Now(), f.keyRevision
	shown := map[string]int{}
	for _, router := range f.routers {
		shown[router.name] = router.deliveredRevision
	}
	f.lock.Unlock()
	t.lock.Lock()
	defer t.lock.Unlock()
	for name, state := range t.routers {
		if !state.isCut && shown[name] >= revision {
			state.confirmedAt = sentAt
		}
	}
}

// setCut disconnects a router from the control plane or reconnects it. It reports whether that changed its state.
func (t *tenancy) setCut(name string, isCut bool) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	state := t.routers[name]
	if state == nil || state.isCut == isCut {
		return false
	}
	state.isCut = isCut
	return true
}

// isCutOff reports whether a router is cut off from the control plane.
func (t *tenancy) isCutOff(name string) bool {
	if t == nil {
		return false
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	state := t.routers[name]
	return state != nil && state.isCut
}

// drawKey returns a random key for a request: a tenant's, an unknown one, or none.
func (t *tenancy) drawKey(random *rand.Rand) string {
	t.lock.Lock()
	defer t.lock.Unlock()
	switch random.IntN(unauthenticatedOneIn) {
	case 0:
		return "key-of-a-stranger"
	case 1:
		return ""
	}
	sum := 0.0
	for _, weight := range t.weights {
		sum += weight
	}
	drawn := random.Float64() * sum
	for i, weight := range t.weights {
		if drawn -= weight; drawn < 0 {
			return t.activeKeys[t.plan.Tenants[i].Name]
		}
	}
	return ""
}

// scaleTenant scales the traffic of one tenant and leaves that of the others unchanged. It returns the factor by which
// the total traffic changes.
func (t *tenancy) scaleTenant(index int, by float64) (all float64) {
	t.lock.Lock()
	defer t.lock.Unlock()
	before, after := 0.0, 0.0
	for i := range t.weights {
		before += t.weights[i]
		if i == index {
			t.weights[i] *= by
		}
		after += t.weights[i]
	}
	return after / before
}

// TenantFaults returns the names of the faults that fleets with tenants can have in addition to RoutedFaults.
func TenantFaults() []string { return slices.Sorted(maps.Keys(tenantFaults)) }

// tenantFaults holds the additional faults of fleets with tenants by name.
var tenantFaults = map[string]routedFault{
	"revoke":     revokeKey,
	"cut-router": cutRouter,
	"leader": func(f *faultInjector, span kernel.Micros) {
		f.note(checker.RoutedEvent{EventKind: checker.ContactLost})
		f.tenancy.loseLeader()
		f.after(max(span/2, minHandover), func() {
			f.tenancy.electLeader()
			f.note(checker.RoutedEvent{EventKind: checker.ContactRestored})
		})
	},
	"hot-tenant": func(f *faultInjector, span kernel.Micros) {
		const factor = 12
		index := f.random.IntN(len(f.tenancy.plan.Tenants))
		scale := func(by float64) {
			all := f.tenancy.scaleTenant(index, by)
			f.lock.Lock()
			f.rateFactor *= all
			f.lock.Unlock()
		}
		f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "hot-tenant"})
		scale(factor)
		f.after(2*span, func() {
			scale(1.0 / factor)
			f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "hot-tenant"})
		})
	},
}

// revokeKey adds a key to a tenant and revokes the one that its callers use. They go on using the revoked key for twice
// the revocation timeout.
func revokeKey(f *faultInjector, span kernel.Micros) {
	t := f.tenancy
	tenant := t.plan.Tenants[f.random.IntN(len(t.plan.Tenants))].Name
	fresh := t.addKey(tenant)
	f.reconfigure()
	f.after(span/4, func() {
		old := t.removeOldestKey(tenant)
		revision := f.reconfigure()
		f.lock.Lock()
		f.pendingChanges = append(f.pendingChanges, pendingChange{revision: revision, event: checker.RoutedEvent{EventKind: checker.KeyWithdrawn, Key: old}, then: func() {}})
		f.lock.Unlock()
		f.acknowledge()
		// Longer than a router may accept a revoked key.
		f.after(2*t.plan.Bounds.RevocationTimeout, func() {
			t.lock.Lock()
			t.activeKeys[tenant] = fresh
			t.lock.Unlock()
		})
	})
}

// removeOldestKey removes the oldest key of a tenant from the next configuration and returns it.
func (t *tenancy) removeOldestKey(tenant string) string {
	t.lock.Lock()
	defer t.lock.Unlock()
	old := t.configuredKeys[tenant][0]
	t.configuredKeys[tenant] = t.configuredKeys[tenant][1:]
	return old
}

// reconfigure delivers a configuration with the current tenants to all routers, and returns its revision.
func (f *routedFleet) reconfigure() (revision int) {
	f.lock.Lock()
	routes := slices.Clone(f.config.Routes)
	f.lock.Unlock()
	f.setConfig(routes)
	f.lock.Lock()
	revision = f.revision
	f.lock.Unlock()
	f.publishRoutingTable(f.deployment.PropagationDelay)
	return revision
}

// cutRouter cuts a router off from the control plane; it goes on serving.
func cutRouter(f *faultInjector, span kernel.Micros) {
	router := f.routers[f.random.IntN(len(f.routers))]
	if !f.tenancy.setCut(router.name, true) {
		return
	}
	f.note(checker.RoutedEvent{EventKind: checker.FaultStarted, Why: "cut-router", Router: router.name})
	f.note(checker.RoutedEvent{EventKind: checker.ContactLost, Router: router.name})
	// Longer than the router may trust its keys.
	f.after(max(span, 2*f.tenancy.plan.Bounds.RevocationTimeout), func() {
		f.tenancy.setCut(router.name, false)
		f.note(checker.RoutedEvent{EventKind: checker.ContactRestored, Router: router.name})
		f.note(checker.RoutedEvent{EventKind: checker.FaultEnded, Why: "cut-router", Router: router.name})
		f.publishRoutingTable(f.deployment.PropagationDelay)
	})
}
