package router

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
)

// A router that is saturated with requests handles messages of the control plane late, and would send requests by an
// old configuration or to engines that have left. So it rejects requests beyond minInFlightWhenLate until it has caught
// up.
func TestALateRouterRejectsNewRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{}, "e")
		isLate, release := atomic.Bool{}, make(chan struct{})
		h.router.IsLate = isLate.Load
		answer := plainResponse("done")
		h.script("e", func(connection int, r *http.Request, to net.Conn) bool {
			<-release
			return answer(connection, r, to)
		})
		isLate.Store(true)
		var callers sync.WaitGroup
		served := atomic.Int64{}
		for i := range minInFlightWhenLate {
			callers.Go(func() {
				if recorder, _ := h.call(http.MethodGet, "open-"+strconv.Itoa(i), nil); recorder.Code == http.StatusOK {
					served.Add(1)
				}
			})
		}
		synctest.Wait()
		recorder, _ := h.call(http.MethodGet, "one-more", nil)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(recorder.Header().Get("Retry-After"), qt.Equals, "0.200")
		c.Assert(recorder.Header().Get("Connection"), qt.Equals, "close")
		c.Assert(h.runs["e"], qt.Equals, minInFlightWhenLate)

		isLate.Store(false)
		callers.Go(func() {
			if recorder, _ := h.call(http.MethodGet, "in-time", nil); recorder.Code == http.StatusOK {
				served.Add(1)
			}
		})
		synctest.Wait()
		close(release)
		callers.Wait()
		c.Assert(served.Load(), qt.Equals, int64(minInFlightWhenLate+1))
		c.Assert(h.chooser.Counts().Refused, qt.DeepEquals, map[string]uint64{"crowded": 1})
	})
}
