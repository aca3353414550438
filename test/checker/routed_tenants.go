package checker

import (
	"maps"
	"net/http"
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules for tenants, their keys and their quotas.
const (
	KeyShown            Rule = "an engine was shown a caller's key"
	TenantMismatch      Rule = "an engine was told another tenant than the one whose key the request came with"
	UnknownKeyRan       Rule = "a request ran without a key that a configuration has ever held"
	WithdrawnKeyRan     Rule = "a request ran under a key that was withdrawn"
	QuotaExceeded       Rule = "a tenant ran more within a window than its quota tolerates"
	RejectedWithinQuota Rule = "requests well within their tenant's quota were rejected for it"
	TenantStarved       Rule = "a tenant was served far less often than all"
)

// TenantBounds are the limits that the rules for tenants apply. Ratios are fractions of 1.
type TenantBounds struct {
	// RevocationTimeout is how long any router may accept a key after its withdrawal was acknowledged.
	RevocationTimeout kernel.Micros
	QuotaWindow       kernel.Micros
	QuotaOver         float64 // tolerated excess, relative to what a window allows
	QuotaSlack        float64 // tolerated excess in units, in addition to QuotaOver
	Quotas            map[string]TenantQuota
}

// TenantQuota is the token bucket of a tenant: Rate in units per second, Burst in units.
type TenantQuota struct{ Rate, Burst float64 }

// allowed returns how many units a tenant may run within a window.
func (b TenantBounds) allowed(quota TenantQuota) float64 {
	return (quota.Rate*seconds(b.QuotaWindow)+quota.Burst)*(1+b.QuotaOver) + b.QuotaSlack
}

func seconds(span kernel.Micros) float64 { return float64(span) / float64(kernel.Second) }

// keyHistory is what is known of a key.
type keyHistory struct {
	tenants     map[string]bool // the tenants that have ever held the key
	heldAt      kernel.Micros   // when a configuration with the key was first sent
	withdrawnAt kernel.Micros   // when its withdrawal was acknowledged, or never
}

func keyHistories(events []RoutedEvent) map[string]*keyHistory {
	found := map[string]*keyHistory{}
	for _, event := range events {
		known := found[event.Key]
		switch event.EventKind {
		case KeyHeld:
			if known == nil {
				known = &keyHistory{tenants: map[string]bool{}, heldAt: event.At}
				found[event.Key] = known
			}
			known.tenants[event.Tenant], known.withdrawnAt = true, never
		case KeyWithdrawn:
			if known != nil {
				known.withdrawnAt = event.At
			}
		}
	}
	return found
}

// checkTenants checks the rules for tenants. They apply only if a configuration holds keys.
func (c *routedChecker) checkTenants() {
	keys := c.keys
	if len(keys) == 0 {
		return
	}
	for _, id := range c.order {
		c.checkKey(c.attempts[id], keys[c.attempts[id].sent.Key])
	}
	byTenant := c.attemptsByTenant(keys)
	for _, tenant := range slices.Sorted(maps.Keys(byTenant)) {
		quota, hasQuota := c.bounds.Tenants.Quotas[tenant]
		if hasQuota {
			c.checkQuota(tenant, quota, byTenant[tenant])
			c.checkWithinQuota(tenant, quota, byTenant[tenant])
		}
	}
	c.checkStarved(byTenant)
}

// checkKey checks the key under which an attempt ran, and what was forwarded to the engines about it. The key is nil if
// the attempt had no key or one that no tenant has ever held.
func (c *routedChecker) checkKey(attempt *routedAttempt, key *keyHistory) {
	sent := attempt.sent
	for _, arrival := range attempt.arrivals {
		if arrival.ShowsKey {
			c.violation(KeyShown, arrival.At, "%s got the key of %s", arrival.Engine, sent.ID)
		}
		isOwn := arrival.Tenant == "" && (key == nil || sent.IsOpen) || key != nil && key.tenants[arrival.Tenant]
		if !isOwn {
			c.violation(TenantMismatch, arrival.At, "%s was told tenant %q for %s", arrival.Engine, arrival.Tenant, sent.ID)
		}
	}
	if len(attempt.runs) == 0 || sent.IsOpen {
		return
	}
	run := attempt.runs[0]
	switch {
	case key == nil || key.heldAt > run.At:
		c.violation(UnknownKeyRan, run.At, "%s ran %s", run.Engine, sent.ID)
	case sent.At > key.withdrawnAt+c.bounds.Tenants.RevocationTimeout:
		c.violation(WithdrawnKeyRan, run.At, "%s ran %s, sent %d us after the withdrawal", run.Engine, sent.ID, sent.At-key.withdrawnAt)
	}
}

// isKeyRejected reports whether an attempt was rejected because of a key that need not be accepted: a missing key, one
// that no tenant has ever held, or one that was withdrawn. The time of the withdrawal does not matter, since a router may
// learn of it before it is acknowledged.
func (c *routedChecker) isKeyRejected(attempt *routedAttempt) bool {
	if len(c.keys) == 0 || attempt.ended.Status != http.StatusUnauthorized {
		return false
	}
	key := c.keys[attempt.sent.Key]
	return key == nil || key.withdrawnAt != never
}

// attemptsByTenant groups the attempts by the tenant that holds their key, each group in order of sending. Attempts with a
// key that several tenants have held are left out.
func (c *routedChecker) attemptsByTenant(keys map[string]*keyHistory) map[string][]*routedAttempt {
	found := map[string][]*routedAttempt{}
	for _, id := range c.order {
		attempt := c.attempts[id]
		key := keys[attempt.sent.Key]
		if key == nil || len(key.tenants) != 1 {
			continue
		}
		for tenant := range key.tenants {
			found[tenant] = append(found[tenant], attempt)
		}
	}
	for _, attempts := range found {
		sort.SliceStable(attempts, func(a, b int) bool { return attempts[a].sent.At < attempts[b].sent.At })
	}
	return found
}

// checkQuota slides a window over the attempts of a tenant. Each attempt that was sent and began to run within the window
// counts once. Only the worst window is reported.
func (c *routedChecker) checkQuota(tenant string, quota TenantQuota, attempts []*routedAttempt) {
	allowed := c.bounds.Tenants.allowed(quota)
	worst, worstAt := allowed, kernel.Micros(0)
	for i, first := range attempts {
		till, sum := first.sent.At+c.bounds.Tenants.QuotaWindow, 0.0
		for _, attempt := range attempts[i:] {
			if attempt.sent.At > till {
				break
			}
			if len(attempt.runs) > 0 && attempt.runs[0].At <= till {
				sum += attempt.sent.Cost
			}
		}
		if sum > worst {
			worst, worstAt = sum, first.sent.At
		}
	}
	if worst > allowed {
		c.violation(QuotaExceeded, worstAt, "tenant %s ran %.0f units within %d us, %.0f are tolerated", tenant, worst, c.bounds.Tenants.QuotaWindow, allowed)
	}
}

// The limits of checkWithinQuota: the number and share of rejections that are tolerated, the share of the rate up to which
// a rejection counts, and the least number of attempts to judge.
const (
	toleratedWithinQuota   = 5
	toleratedWithinOneIn   = 100
	withinQuotaShare       = 0.5
	withinQuotaMinAttempts = 20
)

// checkWithinQuota checks how many requests were rejected for the quota although the tenant had requested, within the window
// before, at most withinQuotaShare of what the rate alone allows. Token buckets are empty after a change of leader, so
// rejections while the router was disconnected do not count, nor do those in the first window.
func (c *routedChecker) checkWithinQuota(tenant string, quota TenantQuota, attempts []*routedAttempt) {
	window := c.bounds.Tenants.QuotaWindow
	requested, first, count, last := 0.0, 0, 0, kernel.Micros(0)
	for _, attempt := range attempts {
		requested += attempt.sent.Cost
		for attempts[first].sent.At < attempt.sent.At-window {
			requested -= attempts[first].sent.Cost
			first++
		}
		isRejected := attempt.ended != nil && attempt.ended.Status == http.StatusTooManyRequests && attempt.ended.Run == ""
		isFirstWindow := attempt.sent.At < attempts[0].sent.At+window
		if isRejected && !isFirstWindow && !c.isDisconnected(attempt.sent.ID, attempt.ended.At) && requested <= withinQuotaShare*quota.Rate*seconds(window) {
			count, last = count+1, attempt.ended.At
		}
	}
	if len(attempts) >= withinQuotaMinAttempts && count > toleratedWithinQuota+len(attempts)/toleratedWithinOneIn {
		c.violation(RejectedWithinQuota, last, "%d of %d requests of tenant %s were rejected", count, len(attempts), tenant)
	}
}

// The limits of checkStarved: the least share of the average success rate, and the least number of attempts to judge.
const (
	starvedShare       = 0.25
	starvedMinAttempts = 40
)

// checkStarved compares the success rate of each tenant with that of all tenants. Attempts that were canceled or that were
// rejected for a quota or a key do not count.
func (c *routedChecker) checkStarved(byTenant map[string][]*routedAttempt) {
	counted, served := map[string]float64{}, map[string]float64{}
	allCounted, allServed := 0.0, 0.0
	for tenant, attempts := range byTenant {
		for _, attempt := range attempts {
			end := attempt.ended
			if end == nil || end.Ending == Canceled || end.Status == http.StatusTooManyRequests || end.Status == http.StatusUnauthorized {
				continue
			}
			counted[tenant]++
			if end.Ending == Complete && isSuccess(end.Status) {
				served[tenant]++
			}
		}
		allCounted, allServed = allCounted+counted[tenant], allServed+served[tenant]
	}
	for _, tenant := range slices.Sorted(maps.Keys(counted)) {
		if counted[tenant] >= starvedMinAttempts && served[tenant]/counted[tenant] < starvedShare*allServed/allCounted {
			c.violation(TenantStarved, 0, "tenant %s had %.0f of %.0f requests served, all tenants had %.0f of %.0f", tenant, served[tenant], counted[tenant], allServed, allCounted)
		}
	}
}
