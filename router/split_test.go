package router

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
)

// Two prompts that everybody shares must not decide over the shares of a split: they would be all or
// nothing. The sessions and requests of those prompts do.
func TestTheServicesOfASplitGetTheirSharesOfSharedPrompts(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights []uint32
		shared  int // prompts that requests share
	}{{"nine to one, one prompt", []uint32{90, 10}, 1}, {"nine to one, two prompts", []uint32{90, 10}, 2}, {"even, three prompts", []uint32{1, 1, 1}, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			route := &fleetconfig.Route{Name: "r", Host: "h", Prefix: "/", Kind: fleetconfig.Stream, Timeout: 3 * kernel.Second, IsPinned: true}
			total := 0.0
			for i, weight := range test.weights {
				route.Splits = append(route.Splits, fleetconfig.Split{Service: fmt.Sprint("s", i), Weight: weight})
				total += float64(weight)
			}
			u := &Router{Settings: Settings{Wire: DefaultWire()}}
			const requests = 600
			got := map[string]int{}
			for i := range requests {
				r, err := http.NewRequest(http.MethodPost, "http://h/", nil)
				c.Assert(err, qt.IsNil)
				r.Header.Set(DefaultWire().RequestID, fmt.Sprint("q", i))
				r.Header.Set(DefaultWire().Tokens, "900,10")
				r.Header.Set(DefaultWire().Prefix, fmt.Sprintf("shared%d:800,own%d:100", i%test.shared, i))
				request, refusal := u.readRequest(r, route, 0)
				c.Assert(refusal == nil, qt.IsTrue)
				got[request.Service]++
			}
			for i, weight := range test.weights {
				share, due := float64(got[fmt.Sprint("s", i)])/requests, float64(weight)/total
				c.Check(share > due-0.06 && share < due+0.06, qt.IsTrue, qt.Commentf("service %d got %.3f of the requests, its weight's share is %.3f", i, share, due))
			}
		})
	}
}

// What a session asks again goes where its earlier prompt is kept.
func TestASessionStaysWithItsService(t *testing.T) {
	c := qt.New(t)
	route := &fleetconfig.Route{IsPinned: true, Splits: []fleetconfig.Split{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	for i := range 50 {
		parts := []Part{{"shared", 800}, {fmt.Sprint("session", i), 100}}
		first := route.Pick(pickHash(Request{ID: "q1", Parts: parts, Route: route}))
		again := route.Pick(pickHash(Request{ID: "q2", Parts: parts, Route: route}))
		c.Assert(again, qt.Equals, first)
	}
}
