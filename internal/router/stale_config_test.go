package router

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// A router whose configuration may have been out of date for too long rejects every request. Its rejections have no
// final status, not even for an unknown route or key, since the caller should retry soon on another connection.
func TestARouterWithAStaleConfigurationServesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", plainResponse("ok"))
		h.withTenants(fleetconfig.Tenant{Name: "ann", Keys: []string{"k1"}})
		isStale := true
		h.router.IsConfigStale = func() bool { return isStale }
		for _, header := range []http.Header{bearer("k1"), bearer("other"), {}} {
			recorder, _ := h.call("POST", "r1", header)
			c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
			c.Check(recorder.Header().Get("Retry-After"), qt.Equals, "0.200")
			c.Check(recorder.Header().Get("Connection"), qt.Equals, "close")
			c.Check(recorder.Body.String(), qt.Contains, reasonStaleConfig)
		}
		unknown := httptest.NewRecorder()
		h.router.ServeHTTP(unknown, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://later.example/x", strings.NewReader("")))
		c.Check(unknown.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(h.runs["e1"], qt.Equals, 0)
		c.Check(h.chooser.Counts().Refused[reasonStaleConfig], qt.Equals, uint64(4))
		isStale = false
		recorder, _ := h.call("POST", "r2", bearer("k1"))
		c.Check(recorder.Code, qt.Equals, http.StatusOK)
		c.Check(h.runs["e1"], qt.Equals, 1)
	})
}

// A request that was admitted before the configuration became stale may still be retried.
func TestARequestThatWasAdmittedInTimeIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second}, "e1", "e2")
		isStale := false
		h.router.IsConfigStale = func() bool { return isStale }
		attempts := 0
		fail := func(number int, r *http.Request, to net.Conn) bool {
			isStale = true
			if attempts++; attempts == 1 {
				return false
			}
			return plainResponse("ok")(number, r, to)
		}
		h.script("e1", fail)
		h.script("e2", fail)
		recorder, _ := h.call("POST", "r1", http.Header{})
		c.Check(recorder.Code, qt.Equals, http.StatusOK)
		c.Check(attempts, qt.Equals, 2)
	})
}
