package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// A draining router begins what ends before it stops, refuses the rest as not run, and makes no attempt after its stop.
func TestADrainingRouterServesWhatItCanFinish(t *testing.T) {
	route := fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second, IsPinned: true}
	for _, test := range []struct {
		name     string
		left     time.Duration // until the stop; the request has 3 s
		first    engineScript
		status   int
		arrivals int // at the first engine
		others   int
	}{
		{"time enough", 4 * time.Second, plainResponse("ok"), http.StatusOK, 1, 0},
		{"time for an attempt, not for the whole request", 2 * time.Second, plainResponse("ok"), http.StatusServiceUnavailable, 0, 0},
		{"a retry before the stop", 4 * time.Second, breaksOff, http.StatusOK, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, route, "e1", "e2")
				first, rest := h.preferredOf()
				h.script(first, test.first)
				h.script(rest[0], plainResponse("ok"))
				h.router.Drain(h.router.Env.Clock.Now() + kernel.MicrosOf(test.left))
				recorder, isTruncated := h.call("GET", "r1", nil)
				c.Check(isTruncated, qt.IsFalse)
				c.Check(recorder.Code, qt.Equals, test.status)
				c.Check(recorder.Header().Get("Retry-After") != "", qt.Equals, test.status == http.StatusServiceUnavailable)
				c.Check([]int{h.runs[first], h.runs[rest[0]]}, qt.DeepEquals, []int{test.arrivals, test.others})
			})
		})
	}
}

// The stop of a router ends the attempts in progress: without an answer so far, the caller gets one that promises nothing.
func TestAStoppedRouterAnswersWhatNoEngineHasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: 10 * kernel.Second, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		first, rest := h.preferredOf()
		h.script(first, hangs)
		h.script(rest[0], plainResponse("ok"))
		time.AfterFunc(time.Second, func() {
			h.router.Drain(h.router.Env.Clock.Now())
			h.router.Stop()
		})
		startedAt := time.Now()
		recorder, isTruncated := h.call("GET", "r1", nil)
		c.Check(isTruncated, qt.IsFalse)
		c.Check(recorder.Code, qt.Equals, http.StatusBadGateway)
		c.Check(time.Since(startedAt), qt.Equals, time.Second)
		h.lock.Lock()
		defer h.lock.Unlock()
		c.Check(h.runs[rest[0]], qt.Equals, 0)
		c.Check(h.suspects, qt.HasLen, 0)
	})
}
