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

// keyOf reads the key that a request came with; empty: it has none, or more than one.
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

// sender is who sent a request.
type sender struct {
	tenant *fleetconfig.Tenant // nil: nobody who has a key, and none is needed
	// isKeyHidden: keys are this fleet's own, and engines get the tenant's name in their place.
	isKeyHidden bool
}

// authorize finds who sent a request. A router that may have missed a change of keys rejects no key
// finally: another router may know it.
func (rt *Router) authorize(r *http.Request, route *fleetconfig.Route) (sender, *Rejection) {
	// Before the configuration is read: whoever may trust the keys of one revision may trust those of
	// every later one, and not the other way round.
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
		return sender{}, &Rejection{reasonUnconfirmedKey, "keys may have been withdrawn of which this router has not heard", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil && rt.IsInTouch != nil && !rt.IsInTouch():
		return sender{}, &Rejection{reasonUnconfirmedKey, "no tenant known here has this key, and newer ones may exist", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil:
		return sender{}, &Rejection{"no_key", "the request needs the key of a tenant", http.StatusUnauthorized, 0}
	}
	return found, nil
}

// setSender sets who sent the request, and the priority that follows from that.
func (r *Request) setSender(sender sender) {
	r.Tenant, r.IsKeyHidden = sender.tenant, sender.isKeyHidden
	if r.Tenant != nil && r.Tenant.HasPriority {
		r.Priority = r.Tenant.Priority
	}
}

// Spans for which a request waits for its tenant's quota to be allocated. The allocator's answer takes some
// milliseconds; without one the request is rejected.
const (
	minQuotaWait     = 20 * kernel.Millisecond
	maxQuotaWait     = 100 * kernel.Millisecond
	quotaWaitDivisor = 5 // of the latency target: a rejection has to come well within it
)

// claimQuota takes a request's cost out of its tenant's quota; a nil ticket: it has none.
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
		return nil, &Rejection{"over_quota", "tenant " + tenant.Name + " is beyond its quota", http.StatusTooManyRequests, retryAfter}
	}
	return nil, &Rejection{reasonUnconfirmedQuota, "nobody who deals out quotas can be reached", http.StatusServiceUnavailable, retryAfter}
}

// awaitQuota waits until a ticket is decided, and abandons it if that takes too long.
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

// refundQuota gives a claim back whose request did not run and never will.
func (rt *Router) refundQuota(ticket *quota.Ticket) {
	if ticket != nil {
		rt.Quota.Refund(rt.Env.Clock.Now(), ticket)
	}
}

// chargeRetryQuota charges a request once more that is retried although it may have run.
func (rt *Router) chargeRetryQuota(ticket *quota.Ticket) {
	if ticket != nil {
		rt.Quota.Charge(rt.Env.Clock.Now(), ticket)
	}
}
