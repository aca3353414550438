package router

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// If only the few prompts that everybody shares were hashed, all requests with the same shared prompt would go to one
// service. The hash has to include the last segment, which belongs to a session or a request.
func TestTheServicesOfASplitGetTheirSharesOfSharedPrompts(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights []uint32
		shared  int // number of prompts that the requests share
	}{{"nine to one, one prompt", []uint32{90, 10}, 1}, {"nine to one, two prompts", []uint32{90, 10}, 2}, {"even, three prompts", []uint32{1, 1, 1}, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			route := &fleetconfig.Route{Name: "r", Host: "h", Prefix: "/", Kind: fleetconfig.Stream, Timeout: 3 * kernel.Second, IsPinned: true}
			total := 0.0
			for i, weight := range test.weights {
				route.Splits = append(route.Splits, fleetconfig.Split{Service: fmt.Sprint("s", i), Weight: weight})
				total += float64(weight)
			}
			rt := &Router{Settings: Settings{Wire: DefaultWire(), Chooser: NewChooser("router", "z", RetryBudget{})}}
			const requests = 600
			got := map[string]int{}
			for i := range requests {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", nil)
				c.Assert(err, qt.IsNil)
				r.Header.Set(DefaultWire().RequestID, fmt.Sprint("q", i))
				r.Header.Set(DefaultWire().Tokens, "900,10")
				r.Header.Set(DefaultWire().Prefix, fmt.Sprintf("shared%d:800,own%d:100", i%test.shared, i))
				request, rejection := rt.readRequest(r, route, 0)
				c.Assert(rejection == nil, qt.IsTrue)
				got[request.Service]++
			}
			for i, weight := range test.weights {
				share, due := float64(got[fmt.Sprint("s", i)])/requests, float64(weight)/total
				c.Check(share > due-0.06 && share < due+0.06, qt.IsTrue, qt.Commentf("service %d got %.3f of the requests, its weight's share is %.3f", i, share, due))
			}
		})
	}
}

// The services of a split also get their shares if a few sessions send all requests. This holds for one router, and for
// many routers that get few requests each.
func TestFewSessionsDoNotSkewASplit(t *testing.T) {
	for _, test := range []struct {
		name                        string
		routers, requests, sessions int
		tolerance                   float64
	}{{"one router", 1, 300, 5, 0.05}, {"nine routers", 9, 300, 14, 0.1}, {"one session", 1, 200, 1, 0.05}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			route := &fleetconfig.Route{IsPinned: true, Splits: []fleetconfig.Split{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}}}
			choosers := []*Chooser{}
			for i := range test.routers {
				choosers = append(choosers, NewChooser(fmt.Sprint("router", i), "z", RetryBudget{}))
			}
			got := map[string]int{}
			for i := range test.requests {
				parts := []Segment{{"shared", 800}, {fmt.Sprint("session", i*7%test.sessions), 100}}
				hash := pickHash(Request{ID: fmt.Sprint("q", i), Segments: parts, Route: route})
				got[choosers[i%test.routers].pickService(kernel.Micros(i)*20*kernel.Millisecond, route, hash)]++
			}
			share := float64(got["a"]) / float64(test.requests)
			c.Assert(share > 0.7-test.tolerance && share < 0.7+test.tolerance, qt.IsTrue, qt.Commentf("service a got %.3f instead of 0.7", share))
		})
	}
}

// If the hashes of many sessions already produce about the right shares, hardly any request is moved away from the
// service of its session.
func TestManySessionsStayWithTheirServices(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{IsPinned: true, Splits: []fleetconfig.Split{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	chooser := NewChooser("router", "z", RetryBudget{})
	services, moved := map[int]string{}, 0
	const requests, sessions = 4000, 400
	for i := range requests {
		session := i % sessions
		hash := pickHash(Request{Segments: []Segment{{"shared", 800}, {fmt.Sprint("session", session), 100}}, Route: route})
		service := chooser.pickService(kernel.Micros(i)*10*kernel.Millisecond, route, hash)
		if before := services[session]; before != "" && before != service {
			moved++
		}
		services[session] = service
	}
	c.Assert(moved*20 < requests, qt.IsTrue, qt.Commentf("%d of %d requests moved", moved, requests))
}

// A session's next request goes to the service that has processed its earlier prompt, whatever the request's ID.
func TestASessionStaysWithItsService(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{IsPinned: true, Splits: []fleetconfig.Split{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	for i := range 50 {
		parts := []Segment{{"shared", 800}, {fmt.Sprint("session", i), 100}}
		first := route.Pick(pickHash(Request{ID: "q1", Segments: parts, Route: route}))
		again := route.Pick(pickHash(Request{ID: "q2", Segments: parts, Route: route}))
		c.Assert(again, qt.Equals, first)
	}
}
