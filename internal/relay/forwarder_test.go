package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func TestBodiesAreRelayedUnchanged(t *testing.T) {
	streamed := stream(9)
	for _, example := range []struct {
		name        string
		status      int
		contentType string
		body        string
		cuts        []int // offsets at which the body is split into chunks
		hasLength   bool
	}{
		{"a stream in one chunk", 200, "text/event-stream", streamed, nil, false},
		{"a stream split within a line", 200, "text/event-stream; charset=utf-8", streamed, []int{1, 5, 6, 40, 41, len(streamed) - 3}, false},
		{"a stream with invalid UTF-8 and CRLF line ends", 200, "text/event-stream", ": note\r\ndata: {\"t\":\"\xff\xfe\"}\r\n\r\ndata:[DONE]\r\n\r\n", []int{3, 20}, false},
		{"a body of known length", 200, "application/json", `{"choices":[{"text":"all at once"}]}`, nil, true},
		{"a chunked body that is not an event stream", 200, "application/json", `{"choices":[]}`, []int{4}, false},
		{"an error response of the engine", 500, "application/json", `{"error":"mine, with ` + "\x00" + ` inside"}`, nil, true},
		{"a 503 response without the not-run header", 503, "text/plain", "busy", nil, true},
		{"a redirect is relayed", 307, "text/plain", "there", nil, true},
		{"an empty body", 200, "application/json", "", nil, true},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				c.Check(err, qt.IsNil)
				c.Check(string(got), qt.Equals, requestBody)
				// If the engine were asked to compress, it would send other bytes.
				c.Check(r.Header.Get("Accept-Encoding"), qt.Equals, "")
				w.Header().Set("Content-Type", example.contentType)
				w.Header().Set("X-Engines-Own", "kept")
				w.Header().Set("Location", "http://127.0.0.1:1/")
				if example.hasLength {
					w.Header().Set("Content-Length", strconv.Itoa(len(example.body)))
				}
				w.WriteHeader(example.status)
				sent := 0
				for _, cut := range append(example.cuts, len(example.body)) {
					write(c, w, example.body[sent:cut])
					flush(c, w)
					sent = cut
				}
			})
			router := newTestRouter(c, engine)
			answer := router.open(requestBody)
			c.Assert(answer.text(), qt.Equals, example.body)
			c.Assert(answer.status, qt.Equals, example.status)
			c.Assert(answer.header.Get("X-Engines-Own"), qt.Equals, "kept")
			c.Assert(answer.header.Get(HeaderEngine), qt.Equals, "e0")
			c.Assert(answer.header.Get(HeaderRevision), qt.Equals, "3")
			router.assertIdle()
		})
	}
}

// net/http resends a request on its own if a reused connection turns out to be closed and it considers
// the request idempotent. An engine that reads the request and closes the connection must still receive it
// only once.
func TestTransportNeverResendsARequest(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Int64
	url := newClosingEngine(c, &seen)

	// First show the behavior of net/http: a plain client with a rewindable body sends the request twice.
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	newRequest := func(header, value string) *http.Request {
		c.Helper()
		request, err := http.NewRequestWithContext(c.Context(), http.MethodPost, url, strings.NewReader(requestBody))
		c.Assert(err, qt.IsNil)
		request.Header.Set(header, value)
		return request
	}
	response, err := plain.Do(newRequest("X-Warm", "1"))
	c.Assert(err, qt.IsNil)
	discard(c, response.Body)
	c.Assert(response.Body.Close(), qt.IsNil)
	response, err = plain.Do(newRequest("Idempotency-Key", "caller's own"))
	if err == nil {
		c.Check(response.Body.Close(), qt.IsNil)
	}
	c.Assert(err, qt.IsNotNil)
	c.Assert(seen.Load(), qt.Equals, int64(2), qt.Commentf("net/http did not resend the request, so this test can't show that the router prevents it"))

	// Then check that the router does not resend, with the same header from the caller after a warm-up request.
	seen.Store(0)
	router := newTestRouter(c, &httptest.Server{URL: url})
	router.open(requestBody, "X-Warm", "1").text()
	router.assertIdle()
	answer := router.open(requestBody, "Idempotency-Key", "caller's own")
	c.Assert(answer.status, qt.Equals, http.StatusBadGateway)
	c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(MayHaveRun))
	c.Assert(seen.Load(), qt.Equals, int64(1))
}

// newClosingEngine starts an engine that responds only to requests with the header X-Warm. It reads and
// counts any other request and then closes the connection without a response.
func newClosingEngine(c *qt.C, seen *atomic.Int64) (url string) {
	c.Helper()
	listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(listener.Close(), qt.IsNil) })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			go answerWarmUps(connection, seen)
		}
	}()
	return "http://" + listener.Addr().String()
}

// answerWarmUps serves one connection of the engine. It may still run when the test has ended, so it reports
// no errors to the test; the caller detects a missing response.
func answerWarmUps(connection net.Conn, seen *atomic.Int64) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if request.Header.Get("X-Warm") == "" {
			seen.Add(1)
			return
		}
		if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func TestRetriesOnlyWhatProvablyDidNotRun(t *testing.T) {
	serve := func(c *qt.C, w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		write(c, w, stream(4))
	}
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	lose := func(c *qt.C, r *http.Request) {
		discard(c, r.Body)
		panic(http.ErrAbortHandler)
	}
	for _, example := range []struct {
		name    string
		first   func(c *qt.C) *httptest.Server
		status  int
		run     RunState
		retries uint64
	}{
		{"the connection is refused", func(*qt.C) *httptest.Server { return unreachableEngine() }, 200, "", 1},
		{"the engine declares not run", func(c *qt.C) *httptest.Server { return newEngine(c, notRun) }, 200, "", 1},
		{"the engine closes the connection after reading the request", func(c *qt.C) *httptest.Server {
			return newEngine(c, func(_ http.ResponseWriter, r *http.Request) { lose(c, r) })
		}, 502, MayHaveRun, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var servedBySecond atomic.Int64
			second := newEngine(c, func(w http.ResponseWriter, _ *http.Request) { servedBySecond.Add(1); serve(c, w) })
			router := newTestRouter(c, example.first(c), second)
			// The first attempt has to go to the first engine, whichever engine the prefix prefers. So the
			// second engine is draining until the first connection is dialed.
			withoutSecond, withBoth := router.copyTable(), router.copyTable()
			withoutSecond.Engines[1].IsDraining = true
			router.dispatcher.SetRoutingTable(withoutSecond)
			router.forwarder.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				router.dispatcher.SetRoutingTable(withBoth)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			answer := router.open(requestBody)
			answer.text()
			c.Assert(answer.status, qt.Equals, example.status)
			c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(example.run))
			c.Assert(router.dispatcher.Counts().Retries, qt.Equals, example.retries)
			c.Assert(servedBySecond.Load(), qt.Equals, int64(example.retries))
		})
	}
}

func TestNotRunWhenEveryEngineRejects(t *testing.T) {
	c := qt.New(t)
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	router := newTestRouter(c, newEngine(c, notRun), newEngine(c, notRun))
	answer := router.open(requestBody)
	c.Assert(answer.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
	c.Assert(answer.header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(router.dispatcher.Counts().Retries, qt.Equals, uint64(1))
}

// A router process may be suspended between selecting an engine and writing the first byte. It must then apply the
// routing table and the lease that hold when it continues.
func TestEligibilityIsCheckedBeforeTheFirstByte(t *testing.T) {
	for _, example := range []struct {
		name   string
		change func(router *testRouter, next *RoutingTable)
		status int
		reason string
	}{
		{"the lease lapsed", func(router *testRouter, _ *RoutingTable) { router.clock.now.Store(int64(300 * kernel.Second)) }, 503, "no_licence"},
		{"the engine is draining", func(_ *testRouter, next *RoutingTable) { next.Engines[0].IsDraining = true }, 503, "no_engine"},
		{"the zone was drained", func(_ *testRouter, next *RoutingTable) { next.Drained["z0"] = true }, 503, "no_engine"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var seen atomic.Int64
			router := newTestRouter(c, newEngine(c, func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
			router.forwarder.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
				next := router.copyTable()
				example.change(router, next)
				router.dispatcher.SetRoutingTable(next)
				return connection, err
			}
			answer := router.open(requestBody)
			c.Assert(answer.status, qt.Equals, example.status)
			c.Assert(answer.text(), qt.Contains, example.reason)
			c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
			c.Assert(seen.Load(), qt.Equals, int64(0))
			c.Assert(router.dispatcher.Counts().Retries, qt.Equals, uint64(0))
		})
	}
}

func TestCallerDisconnectCancelsTheEngineRequest(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	begun := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		discard(c, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		write(c, w, "data: {}\n\n")
		flush(c, w)
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	router := newTestRouter(c, engine)
	ctx, disconnect := context.WithCancel(c.Context())
	defer disconnect()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, router.server.URL, strings.NewReader(requestBody))
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	<-begun
	c.Assert(router.dispatcher.View(router.clock.Now())[0].Own > 0, qt.IsTrue)
	disconnect()
	c.Assert(response.Body.Close(), qt.IsNil)
	<-ended
	router.assertIdle()
	c.Assert(router.dispatcher.Counts().CallerDisconnects, qt.Equals, uint64(1))
}

func TestARemovedEngineIsDroppedWithItsLastStream(t *testing.T) {
	c := qt.New(t)
	router := newTestRouter(c, newEngine(c, func(http.ResponseWriter, *http.Request) {}))
	call, rejection := router.dispatcher.Admit(router.clock.Now(), Request{ID: "r", PromptTokens: 3, MaxTokens: 4, Prefix: []uint32{1, 2, 3}})
	c.Assert(rejection == nil, qt.IsTrue)
	withoutEngine := router.copyTable()
	withoutEngine.Engines = nil
	router.dispatcher.SetRoutingTable(withoutEngine)
	c.Assert(router.dispatcher.states, qt.HasLen, 1)
	isRetry, rejection := router.dispatcher.CloseAttempt(router.clock.Now(), call, Served, "")
	c.Assert(!isRetry && rejection == nil, qt.IsTrue)
	router.dispatcher.SetRoutingTable(withoutEngine)
	c.Assert(router.dispatcher.states, qt.HasLen, 0)
}

func TestAnUnresponsiveEngineIsGivenUp(t *testing.T) {
	c := qt.New(t)
	engine := newEngine(c, func(_ http.ResponseWriter, r *http.Request) {
		discard(c, r.Body)
		<-r.Context().Done()
	})
	router := newTestRouter(c, engine)
	router.forwarder.Timeouts.Engine = 30 * kernel.Millisecond
	answer := router.open(requestBody)
	c.Assert(answer.status, qt.Equals, http.StatusBadGateway)
	c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(MayHaveRun))
}
