package router

import (
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// An engine rejects a request without an ID with the same statement that it did not run as when it is full. If the
// router forwarded such requests, callers that omit the ID could make engines look full and use up retries.
func TestARequestWithoutAnIDReachesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 3, LatencyTarget: kernel.Second}, "e1", "e2", "e3")
		for _, id := range []string{"e1", "e2", "e3"} {
			h.script(id, plainResponse("own"))
		}
		for range 20 {
			recorder, isTruncated := h.call("POST", "", nil)
			c.Assert(isTruncated, qt.IsFalse)
			c.Assert(recorder.Code, qt.Equals, http.StatusBadRequest)
		}
		c.Assert(h.runs["e1"]+h.runs["e2"]+h.runs["e3"], qt.Equals, 0)
		c.Assert(h.chooser.Counts().Extras, qt.Equals, uint64(0))
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, "own")
	})
}
