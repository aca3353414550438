package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// A router that has no configuration, or may lack newer routes, must not answer that a route does not exist: another
// router may serve it.
func TestOnlyARouterInContactSaysThatThereIsNoRoute(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, fleetconfig.Route{Timeout: kernel.Second, MaxAttempts: 1})
	status := func(host, path string) int {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host+path, strings.NewReader("body"))
		answer := httptest.NewRecorder()
		h.router.ServeHTTP(answer, request)
		return answer.Code
	}
	unknownRoutes := [][2]string{{"h.example", "/later/"}, {"later.example", "/p/x"}, {"later.example", "/"}}
	isInContact := true
	h.router.IsInContact = func() bool { return isInContact }
	for _, unknownRoute := range unknownRoutes {
		isInContact = true
		c.Check(status(unknownRoute[0], unknownRoute[1]), qt.Equals, http.StatusNotFound)
		isInContact = false
		c.Check(status(unknownRoute[0], unknownRoute[1]), qt.Equals, http.StatusServiceUnavailable)
	}
	h.chooser.SetRoutingTable(&RoutingTable{})
	for _, isInContact = range []bool{true, false} {
		for _, unknownRoute := range unknownRoutes {
			c.Check(status(unknownRoute[0], unknownRoute[1]), qt.Equals, http.StatusServiceUnavailable)
		}
	}
}
