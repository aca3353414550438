package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"
)

// handClock is a clock that only tests move.
type handClock struct{ now atomic.Int64 }

func (c *handClock) Now() kernel.Micros { return kernel.Micros(c.now.Load()) }

// routingTable is a router in front of engines that a test plays by hand.
type routingTable struct {
	c          *qt.C
	clock      *handClock
	dispatcher *Dispatcher
	forwarder  *Forwarder
	front      *httptest.Server
	shown      *RoutingTable
}

func newRoutingTable(c *qt.C, engines ...*httptest.Server) *routingTable {
	config, err := fleetconfig.Read([]byte(`{"bindings":[{"name":"all","shares":[{"weight":1}]}],"policy":{"retryRatio":0.1}}`))
	c.Assert(err, qt.IsNil)
	s := &routingTable{c: c, clock: &handClock{}}
	s.clock.now.Store(int64(100 * kernel.Second))
	s.shown = &RoutingTable{Revision: 3, Config: config, Drained: map[string]bool{}, LeaseUntil: 200 * kernel.Second, Routers: []string{"r"}}
	for i, engine := range engines {
		s.shown.Engines = append(s.shown.Engines, Engine{
			ID: fmt.Sprintf("e%d", i), Address: strings.TrimPrefix(engine.URL, "http://"), Zone: fmt.Sprintf("z%d", i), Start: 1,
		})
	}
	s.dispatcher = NewDispatcher("r", "z0", func(kernel.Micros, string, string, string) {})
	s.dispatcher.SetRoutingTable(s.shown)
	// As if there had been traffic, so that the budget allows retries.
	for range 100 {
		s.dispatcher.retryBudget.earn(s.clock.Now())
	}
	dialer := &net.Dialer{}
	s.forwarder = &Forwarder{
		Env:        kernel.Env{Context: context.Background(), Clock: s.clock, Log: klog.Background()},
		Dispatcher: s.dispatcher, Timeouts: DefaultTimeouts(), Dial: dialer.DialContext,
	}
	s.front = httptest.NewServer(s.forwarder)
	c.Cleanup(s.front.Close)
	return s
}

func newEngine(c *qt.C, play http.HandlerFunc) *httptest.Server {
	engine := httptest.NewServer(play)
	c.Cleanup(engine.Close)
	return engine
}

// unreachableEngine has an address where nobody listens.
func unreachableEngine() *httptest.Server {
	engine := httptest.NewServer(http.NotFoundHandler())
	engine.Close()
	return engine
}

func (s *routingTable) post(body string, headers ...string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, s.front.URL, strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	s.c.Assert(err, qt.IsNil)
	return response
}

const requestBody = `{"prompt":"once upon a time","max_tokens":4,"stream":true}`

func stream(tokens int) string {
	text := ""
	for i := range tokens {
		text += fmt.Sprintf("data: {\"choices\":[{\"text\":\"w%d\"}]}\n\n", i)
	}
	return text + "data: [DONE]\n\n"
}
