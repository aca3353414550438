package router

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	qt "github.com/frankban/quicktest"
)

// withTenants puts a new routing table in force whose configuration has these tenants instead of the earlier ones.
func (h *harness) withTenants(tenants ...fleetconfig.Tenant) {
	routes := append([]fleetconfig.Route{}, h.routingTable.Config.Routes...)
	config := fleetconfig.NewRouteConfig(routes, []fleetconfig.Service{h.routingTable.Config.Services["svc"]})
	config.SetTenants(tenants)
	next := *h.routingTable
	next.Config = config
	h.routingTable = &next
	h.chooser.SetRoutingTable(h.routingTable)
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// recordLastRequest responds to every request and stores the last one.
func recordLastRequest(seen **http.Request) func(int, *http.Request, net.Conn) bool {
	return func(number int, r *http.Request, to net.Conn) bool {
		*seen = r
		return plainResponse("ok")(number, r, to)
	}
}

// Engines get the tenant's name and never the key, whatever headers the caller sends.
func TestEnginesGetTheTenantAndNotTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, Priority: 4}, "e1")
		var seen *http.Request
		h.script("e1", recordLastRequest(&seen))
		h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1", "k2"}}, fleetconfig.Tenant{Name: "bob", Keys: []string{"k3"}, HasPriority: true, Priority: 1})
		tenantHeader := DefaultWire().Tenant
		for key, tenant := range map[string]string{"k1": "ann", "k2": "ann", "k3": "bob"} {
			header := bearer(key)
			header.Set(tenantHeader, "mallory")
			recorder, _ := h.call("POST", "r-"+key, header)
			c.Assert(recorder.Code, qt.Equals, http.StatusOK)
			c.Check(seen.Header.Values(tenantHeader), qt.DeepEquals, []string{tenant})
			c.Check(seen.Header.Values("Authorization"), qt.HasLen, 0)
			priority := map[string]string{"ann": "4", "bob": "1"}[tenant]
			c.Check(seen.Header.Get(DefaultWire().Priority), qt.Equals, priority)
		}
	})
}

// A request without a key, or with one that no tenant has, is rejected with a final status and reaches no engine. A
// router that may have missed a change of keys answers 503 instead.
func TestARequestNeedsTheKeyOfATenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", plainResponse("ok"))
		h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1"}})
		isInContact := true
		h.router.IsInContact = func() bool { return isInContact }
		unauthorized := []http.Header{{}, bearer("other"), bearer(""), bearer("k1 k1"), {"Authorization": {"Basic k1"}}, {"Authorization": {"Bearer k1", "Bearer k1"}}}
		for _, header := range unauthorized {
			isInContact = true
			recorder, _ := h.call("POST", "r1", header)
			c.Check(recorder.Code, qt.Equals, http.StatusUnauthorized, qt.Commentf("%v", header))
			c.Check(recorder.Header().Get("WWW-Authenticate"), qt.Equals, "Bearer")
			isInContact = false
			recorder, _ = h.call("POST", "r1", header)
			c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", header))
		}
		c.Check(h.runs["e1"], qt.Equals, 0)
		recorder, _ := h.call("POST", "r2", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusOK)
	})
}

// An open route accepts requests without a key. If a request has a known key, the engine still gets the tenant's name.
func TestAnOpenRouteNeedsNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, IsOpen: true}, "e1")
		var seen *http.Request
		h.script("e1", recordLastRequest(&seen))
		h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1"}})
		isTrusted := true
		h.router.MayTrustKeys = func() bool { return isTrusted }
		for _, test := range []struct {
			header    http.Header
			isTrusted bool
			tenants   []string
		}{{bearer("k1"), true, []string{"ann"}}, {bearer("other"), true, nil}, {http.Header{}, true, nil}, {bearer("k1"), false, nil}} {
			isTrusted = test.isTrusted
			test.header.Set(DefaultWire().Tenant, "mallory")
			recorder, _ := h.call("POST", "r1", test.header)
			c.Assert(recorder.Code, qt.Equals, http.StatusOK)
			c.Check(seen.Header.Values(DefaultWire().Tenant), qt.DeepEquals, test.tenants)
			c.Check(seen.Header.Values("Authorization"), qt.HasLen, 0)
		}
	})
}

// A router that may have missed the withdrawal of a key accepts no key. If a key is withdrawn while the body of its
// request arrives, the request is rejected once the body is complete.
func TestAWithdrawnKeyRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", plainResponse("ok"))
		h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1"}})
		isTrusted := false
		h.router.MayTrustKeys = func() bool { return isTrusted }
		recorder, _ := h.call("POST", "r1", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(recorder.Header().Get("Retry-After") != "", qt.IsTrue)
		isTrusted = true
		checks := 0
		h.router.MayTrustKeys = func() bool {
			if checks++; checks == 2 {
				h.withTenants(fleetconfig.Tenant{Name: "ann"})
			}
			return true
		}
		recorder, _ = h.call("POST", "r2", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusUnauthorized)
		c.Check(h.runs["e1"], qt.Equals, 0)
	})
}

// Without tenants in the configuration the headers of a request are not changed.
func TestWithoutTenantsKeysArePassedToEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		var seen *http.Request
		h.script("e1", recordLastRequest(&seen))
		h.router.MayTrustKeys = func() bool { return false }
		recorder, _ := h.call("POST", "r1", bearer("theirs"))
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Check(seen.Header.Get("Authorization"), qt.Equals, "Bearer theirs")
	})
}

// quotaHarness returns a harness whose tenant has a quota, with an allocator that grants it.
func quotaHarness(t *testing.T, rate, burst float64) *harness {
	t.Helper()
	h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
	h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1"}, Unit: fleetconfig.CountTokens, PlainTokens: 20, Rate: rate, Burst: burst})
	bounds := quota.DefaultBounds()
	allocator := quota.NewAllocator(0, bounds)
	h.router.Quota = quota.NewAccount(bounds, 1)
	h.router.RequestQuota = func() {
		now := h.router.Env.Clock.Now()
		if ask := h.router.Quota.NextRequest(now); ask != nil {
			if grant := allocator.Allocate(now, "router", ask); grant != nil {
				h.router.Quota.ApplyGrant(now, grant)
			}
		}
	}
	// The limits are set so far in the past that the tenant's bucket is full by now.
	allocator.SetLimits(-kernel.Micros(burst/rate)*kernel.Second, []quota.Limit{{Tenant: "ann", Rate: rate, Burst: burst}})
	return h
}

// Requests beyond the quota are rejected with a Retry-After. Claims of requests that provably did not run are
// refunded.
func TestRequestsBeyondTheQuotaAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// A request of the harness counts as 120 tokens.
		h := quotaHarness(t, 100, 700)
		h.script("e1", func(_ int, r *http.Request, to net.Conn) bool {
			wire := DefaultWire()
			_, err := fmt.Fprintf(to, "HTTP/1.1 503 Full\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.NotRun, wire.RequestID, r.Header.Get(wire.RequestID))
			return err == nil
		})
		statuses := map[int]int{}
		for range 30 {
			recorder, _ := h.call("POST", "r1", bearer("k1"))
			statuses[recorder.Code]++
		}
		c.Check(statuses[http.StatusServiceUnavailable], qt.Equals, 30)
		h.script("e1", plainResponse("ok"))
		h.router.Pool.Sweep(func(string) bool { return false })
		clear(statuses)
		for range 30 {
			recorder, _ := h.call("POST", "r1", bearer("k1"))
			statuses[recorder.Code]++
			if recorder.Code == http.StatusTooManyRequests {
				c.Check(recorder.Header().Get("Retry-After") != "", qt.IsTrue)
			}
		}
		c.Check(statuses[http.StatusOK], qt.Equals, 5)
		c.Check(statuses[http.StatusTooManyRequests], qt.Equals, 25)
	})
}

// If no allocator answers, a request is rejected with a Retry-After within maxQuotaWait.
func TestQuotaWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := quotaHarness(t, 100, 700)
		h.script("e1", plainResponse("ok"))
		h.router.RequestQuota = func() { h.router.Quota.NextRequest(h.router.Env.Clock.Now()) }
		startedAt := h.router.Env.Clock.Now()
		recorder, _ := h.call("POST", "r1", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(recorder.Header().Get("Retry-After") != "", qt.IsTrue)
		c.Check(h.router.Env.Clock.Now()-startedAt <= maxQuotaWait, qt.IsTrue)
		c.Check(h.runs["e1"], qt.Equals, 0)
	})
}

// A router that lacks the information to decide on a quota closes the caller's connection. If the tenant is over its
// quota, the connection stays open.
func TestUnconfirmedQuotaClosesCallerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := quotaHarness(t, 100, 200)
		h.script("e1", plainResponse("ok"))
		answered := h.router.RequestQuota
		h.router.RequestQuota = func() {}
		recorder, _ := h.call("POST", "r1", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(recorder.Header().Get("Connection"), qt.Equals, "close")
		h.router.RequestQuota = answered
		recorder, _ = h.call("POST", "r2", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusOK)
		c.Check(recorder.Header().Get("Connection"), qt.Equals, "")
		recorder, _ = h.call("POST", "r3", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusTooManyRequests)
		c.Check(recorder.Header().Get("Connection"), qt.Equals, "")
	})
}
