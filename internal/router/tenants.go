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

// Tenants: whose key a request came with, and whether its quota has room.

// keyOf reads the key that a request came with; empty: it has none, or more than one.
func (u *Router) keyOf(r *http.Request) string {
	lines := r.Header.Values(u.Wire.Key)
	if len(lines) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(lines[0]), " ")
	if !strings.EqualFold(scheme, u.Wire.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// sender is who sent a request.
type sender struct {
	tenant *fleetconfig.Tenant // nil: nobody who has a key, and none is needed
	// isKeyHidden: keys are this fleet's own, and engines are told the tenant in their place.
	isKeyHidden bool
}

// authorize finds who sent a request. A router that may have missed a change of keys refuses nothing
// for good: another one may know the key.
func (u *Router) authorize(r *http.Request, route *fleetconfig.Route) (sender, *Rejection) {
	// Before the configuration is looked at: whoever may trust the keys of some moment may trust
	// those of every later one, and not the other way round.
	isTrusted := u.MayTrustKeys == nil || u.MayTrustKeys()
	config := u.Chooser.Config()
	if config == nil || !config.NeedsKeys() {
		return sender{}, nil
	}
	found := sender{config.TenantOf(u.keyOf(r)), true}
	switch {
	case route.IsOpen && !isTrusted:
		return sender{isKeyHidden: true}, nil
	case route.IsOpen:
		return found, nil
	case !isTrusted:
		return sender{}, &Rejection{reasonUnconfirmedKey, "keys may have been withdrawn of which this router has not heard", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil && u.IsInTouch != nil && !u.IsInTouch():
		return sender{}, &Rejection{reasonUnconfirmedKey, "no tenant known here has this key, and newer ones may exist", http.StatusServiceUnavailable, startupRetryAfter}
	case found.tenant == nil:
		return sender{}, &Rejection{"no_key", "the request needs the key of a tenant", http.StatusUnauthorized, 0}
	}
	return found, nil
}

// setSender enters who sent the request, and what follows from that.
func (r *Request) setSender(sender sender) {
	r.Tenant, r.IsKeyHidden = sender.tenant, sender.isKeyHidden
	if r.Tenant != nil && r.Tenant.HasPriority {
		r.Priority = r.Tenant.Priority
	}
}

// Spans for which a request waits for its tenant's quota to be dealt out. It is an answer that it
// waits for, which takes some milliseconds; no answer is a refusal.
const (
	minQuotaWait     = 20 * kernel.Millisecond
	maxQuotaWait     = 100 * kernel.Millisecond
	quotaWaitDivisor = 5 // of the aim: a refusal has to come well within it
)

// claimQuota takes a request's cost out of its tenant's quota; nil: there is none to keep.
func (u *Router) claimQuota(ctx context.Context, request *Request) (*quota.Ticket, *Rejection) {
	tenant := request.Tenant
	if u.Quota == nil || tenant == nil || tenant.Rate <= 0 {
		return nil, nil
	}
	cost := tenant.Cost(request.PromptTokens, request.MaxTokens, request.HasTokens)
	ticket, isUrgent := u.Quota.Claim(u.Env.Clock.Now(), tenant.Name, cost)
	if isUrgent {
		u.RequestQuota()
		u.awaitQuota(ctx, request, ticket)
	}
	outcome, retryAfter := u.Quota.Outcome(ticket)
	switch outcome {
	case quota.Granted:
		return ticket, nil
	case quota.OverQuota:
		return nil, &Rejection{"over_quota", "tenant " + tenant.Name + " is beyond its quota", http.StatusTooManyRequests, retryAfter}
	}
	return nil, &Rejection{reasonUnconfirmedQuota, "nobody who deals out quotas can be reached", http.StatusServiceUnavailable, retryAfter}
}

// awaitQuota waits until a ticket is settled, and gives it up if that takes too long.
func (u *Router) awaitQuota(ctx context.Context, request *Request, ticket *quota.Ticket) {
	timeout := maxQuotaWait
	if goal := request.Route.LatencyTarget; goal > 0 {
		timeout = min(max(goal/quotaWaitDivisor, minQuotaWait), maxQuotaWait)
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-ticket.Done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	u.Quota.Abandon(u.Env.Clock.Now(), ticket)
}

// returnQuota gives a claim back whose request did not run and never will.
func (u *Router) returnQuota(ticket *quota.Ticket) {
	if ticket != nil {
		u.Quota.Refund(u.Env.Clock.Now(), ticket)
	}
}

// rechargeQuota counts a request anew that is sent again although it may have run.
func (u *Router) rechargeQuota(ticket *quota.Ticket) {
	if ticket != nil {
		u.Quota.Charge(u.Env.Clock.Now(), ticket)
	}
}
