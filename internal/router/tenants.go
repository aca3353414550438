package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// keyOf returns the key that a request carries, or "" if it has none or several.
func (rt *Router) keyOf(r *http.Request) string {
	lines := r.Header.Values(rt.Wire.Key)
	if len(lines) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(lines[0]), " ")
	if !strings.EqualFold(scheme, rt.Wire.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// sender identifies the sender of a request.
type sender struct {
	tenant *fleetconfig.Tenant // nil: the request has no valid key and needs none
	// isKeyHidden is set if the configuration has or had tenants (see NeedsKeys), so that a key may be a secret of
	// this fleet. Engines then get the tenant's name instead of the key.
	isKeyHidden bool
}

// authorize determines the sender of a request. A router that may have missed a change of keys must not reject a key
// with a final status, since another router may know the key.
func (rt *Router) authorize(r *http.Request, route *fleetconfig.Route) (sender, *Rejection) {
	// Checked before the configuration is read: trust in the keys of one revision extends to every later revision, but
	// not to earlier ones.
	isTrusted := rt.MayTrustKeys == nil || rt.MayTrustKeys()
	config := rt.Chooser.Config()
	if config == nil || !config.NeedsKeys() {
		return sender{}, nil
	}
	found := sender{config.TenantOf(rt.keyOf(r)), true}
	switch {
	case route.IsOpen && !isTrusted:
		return sender{isKeyHidden: true}, nil
	case route.IsOpen:
		return found, nil
	case !isTrusted:
		return sender{}, &Rejection{reasonUnconfirmedKey, "this router's list of keys may be out of date", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil && rt.IsInContact != nil && !rt.IsInContact():
		return sender{}, &Rejection{reasonUnconfirmedKey, "no tenant known to this router has this key, and newer tenants may exist", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil:
		return sender{}, &Rejection{"no_key", "the request requires the key of a tenant", http.StatusUnauthorized, 0}
	}
	return found, nil
}

// setSender sets the sender of a request. If the tenant has a priority, it replaces the priority of the route.
func (r *Request) setSender(sender sender) {
	r.Tenant, r.IsKeyHidden = sender.tenant, sender.isKeyHidden
	if r.Tenant != nil && r.Tenant.HasPriority {
		r.Priority = r.Tenant.Priority
	}
}

// Limits on how long a request waits until more of its tenant's quota is allocated to this router. The allocator
// usually answers within some milliseconds. Without an answer in time, the request is rejected.
const (
	minQuotaWait     = 20 * kernel.Millisecond
	maxQuotaWait     = 100 * kernel.Millisecond
	quotaWaitDivisor = 5 // of the latency target, since a rejection has to come well within it
)

// claimQuota claims the cost of a request from its tenant's quota. If this router's part of the quota is used up, it
// requests more and waits for it. Both results are nil if no quota applies to the request.
func (rt *Router) claimQuota(ctx context.Context, request *Request) (*quota.Ticket, *Rejection) {
	tenant := request.Tenant
	if rt.Quota == nil || tenant == nil || tenant.Rate <= 0 {
		return nil, nil
	}
	cost := tenant.Cost(request.PromptTokens, request.MaxTokens, request.HasTokens)
	ticket, isUrgent := rt.Quota.Claim(rt.Env.Clock.Now(), tenant.Name, cost)
	if isUrgent {
		rt.RequestQuota()
		rt.awaitQuota(ctx, request, ticket)
	}
	outcome, retryAfter := rt.Quota.Outcome(ticket)
	switch outcome {
	case quota.Granted:
		return ticket, nil
	case quota.OverQuota:
		return nil, &Rejection{"over_quota", "tenant " + tenant.Name + " has exceeded its quota", http.StatusTooManyRequests, retryAfter}
	}
	return nil, &Rejection{reasonUnconfirmedQuota, "no quota allocator could be reached in time", http.StatusServiceUnavailable, retryAfter}
}

// awaitQuota waits until a ticket is decided. On a timeout, or if the caller disconnects, it abandons the ticket.
func (rt *Router) awaitQuota(ctx context.Context, request *Request, ticket *quota.Ticket) {
	timeout := maxQuotaWait
	if target := request.Route.LatencyTarget; target > 0 {
		timeout = min(max(target/quotaWaitDivisor, minQuotaWait), maxQuotaWait)
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-ticket.Done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	rt.Quota.Abandon(rt.Env.Clock.Now(), ticket)
}

// refundQuota refunds the claim of a request that provably has not run and never will.
func (rt *Router) refundQuota(ticket *quota.Ticket) {
	if ticket != nil {
		rt.Quota.Refund(rt.Env.Clock.Now(), ticket)
	}
}

// chargeRetryQuota charges the cost of a request once more before a retry, because an earlier attempt may have run the
// request.
func (rt *Router) chargeRetryQuota(ticket *quota.Ticket) {
	if ticket != nil {
		rt.Quota.Charge(rt.Env.Clock.Now(), ticket)
	}
}
