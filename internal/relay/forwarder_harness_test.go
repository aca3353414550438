package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// manualClock is a clock that advances only when a test sets it.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() kernel.Micros { return kernel.Micros(c.now.Load()) }

// testRouter is a router with the engines that a test provides.
type testRouter struct {
	c            *qt.C
	clock        *manualClock
	dispatcher   *Dispatcher
	forwarder    *Forwarder
	server       *httptest.Server
	routingTable *RoutingTable // the initial one
}

// newTestRouter starts a router whose clock is at 100 s and whose lease ends at 200 s. Engine i has the id
// e<i> and is in zone z<i>.
func newTestRouter(c *qt.C, engines ...*httptest.Server) *testRouter {
	c.Helper()
	config, err := fleetconfig.Read([]byte(`{"bindings":[{"name":"all","shares":[{"weight":1}]}],"policy":{"retryRatio":0.1}}`))
	c.Assert(err, qt.IsNil)
	router := &testRouter{c: c, clock: &manualClock{}}
	router.clock.now.Store(int64(100 * kernel.Second))
	router.routingTable = &RoutingTable{Revision: 3, Config: config, Drained: map[string]bool{}, LeaseExpiresAt: 200 * kernel.Second, Routers: []string{"r"}}
	for i, engine := range engines {
		router.routingTable.Engines = append(router.routingTable.Engines, Engine{
			ID: fmt.Sprintf("e%d", i), Address: strings.TrimPrefix(engine.URL, "http://"), Zone: fmt.Sprintf("z%d", i), Start: 1,
		})
	}
	router.dispatcher = NewDispatcher("r", "z0", func(kernel.Micros, string, string, string) {})
	router.dispatcher.SetRoutingTable(router.routingTable)
	// The deposits of earlier requests let the retry budget allow retries from the start.
	for range 100 {
		router.dispatcher.retryBudget.deposit(router.clock.Now())
	}
	dialer := &net.Dialer{}
	router.forwarder = &Forwarder{
		Env:        kernel.Env{Context: context.Background(), Clock: router.clock, Log: klog.Background()},
		Dispatcher: router.dispatcher, Timeouts: DefaultTimeouts(), Dial: dialer.DialContext,
	}
	router.server = httptest.NewServer(router.forwarder)
	c.Cleanup(router.server.Close)
	return router
}

// copyTable returns a copy of the initial routing table that a test may change. No zone is drained in it.
func (r *testRouter) copyTable() *RoutingTable {
	table := *r.routingTable
	table.Engines = append([]Engine(nil), r.routingTable.Engines...)
	table.Drained = map[string]bool{}
	return &table
}

// assertIdle waits for all requests to end and checks that they left no reserved bytes and no load.
func (r *testRouter) assertIdle() {
	r.c.Helper()
	r.forwarder.InFlightGroup.Wait()
	r.c.Assert(r.forwarder.ReservedBytes(), qt.Equals, int64(0))
	for _, view := range r.dispatcher.View(r.clock.Now()) {
		r.c.Assert(view.Own, qt.Equals, int64(0))
	}
}

// connect opens a caller's connection to the router.
func (r *testRouter) connect() net.Conn {
	r.c.Helper()
	connection, err := (&net.Dialer{}).DialContext(r.c.Context(), "tcp", r.server.Listener.Addr().String())
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { r.c.Check(connection.Close(), qt.IsNil) })
	return connection
}

// answer is a response whose headers have arrived.
type answer struct {
	c      *qt.C
	status int
	header http.Header
	body   io.Reader
}

// open sends a request, with headers given as pairs, and waits for the headers of the response.
func (r *testRouter) open(body string, headers ...string) answer {
	r.c.Helper()
	return r.send(strings.NewReader(body), headers...)
}

func (r *testRouter) send(body io.Reader, headers ...string) answer {
	r.c.Helper()
	request, err := http.NewRequestWithContext(r.c.Context(), http.MethodPost, r.server.URL, body)
	r.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(func() { r.c.Check(response.Body.Close(), qt.IsNil) })
	return answer{r.c, response.StatusCode, response.Header, response.Body}
}

// text returns the body and checks that it is complete.
func (a answer) text() string {
	a.c.Helper()
	text, err := io.ReadAll(a.body)
	a.c.Assert(err, qt.IsNil)
	return string(text)
}

// truncatedText returns the body and checks that it is truncated.
func (a answer) truncatedText() string {
	a.c.Helper()
	text, err := io.ReadAll(a.body)
	a.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	return string(text)
}

func newEngine(c *qt.C, handler http.HandlerFunc) *httptest.Server {
	c.Helper()
	engine := httptest.NewServer(handler)
	c.Cleanup(engine.Close)
	return engine
}

// unreachableEngine returns an engine whose address refuses connections.
func unreachableEngine() *httptest.Server {
	engine := httptest.NewServer(http.NotFoundHandler())
	engine.Close()
	return engine
}

// write writes a part of an engine's response.
func write(c *qt.C, w io.Writer, text string) {
	c.Helper()
	_, err := io.WriteString(w, text)
	c.Check(err, qt.IsNil)
}

// flush sends the part of an engine's response that was written so far.
func flush(c *qt.C, w http.ResponseWriter) {
	c.Helper()
	c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
}

// discard reads a request's body to its end.
func discard(c *qt.C, body io.Reader) {
	c.Helper()
	_, err := io.Copy(io.Discard, body)
	c.Check(err, qt.IsNil)
}

const requestBody = `{"prompt":"once upon a time","max_tokens":4,"stream":true}`

// stream returns an event stream of the given number of tokens that ends with the [DONE] marker.
func stream(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "data: {\"choices\":[{\"text\":\"w%d\"}]}\n\n", i)
	}
	return text.String() + "data: [DONE]\n\n"
}
