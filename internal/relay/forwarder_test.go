package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
)

func TestBodiesPassUntouched(t *testing.T) {
	streamed := stream(9)
	for _, example := range []struct {
		name   string
		status int
		kind   string
		body   string
		pieces []int // where the body is cut when sent
		length bool
	}{
		{"a stream in one piece", 200, "text/event-stream", streamed, nil, false},
		{"a stream cut within a line", 200, "text/event-stream; charset=utf-8", streamed, []int{1, 5, 6, 40, 41, len(streamed) - 3}, false},
		{"a stream with odd bytes and line ends", 200, "text/event-stream", ": note\r\ndata: {\"t\":\"\xff\xfe\"}\r\n\r\ndata:[DONE]\r\n\r\n", []int{3, 20}, false},
		{"a body of known length", 200, "application/json", `{"choices":[{"text":"all at once"}]}`, nil, true},
		{"a chunked body that is no stream", 200, "application/json", `{"choices":[]}`, []int{4}, false},
		{"an error of the engine's own", 500, "application/json", `{"error":"mine, with ` + "\x00" + ` inside"}`, nil, true},
		{"a busy engine that does not say it ran nothing", 503, "text/plain", "busy", nil, true},
		{"a redirect is the caller's to follow", 307, "text/plain", "there", nil, true},
		{"nothing at all", 200, "application/json", "", nil, true},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				c.Check(err, qt.IsNil)
				c.Check(string(got), qt.Equals, requestBody)
				// Asked to compress, it would send other bytes than its own.
				c.Check(r.Header.Get("Accept-Encoding"), qt.Equals, "")
				w.Header().Set("Content-Type", example.kind)
				w.Header().Set("X-Engines-Own", "kept")
				w.Header().Set("Location", "http://127.0.0.1:1/")
				if example.length {
					w.Header().Set("Content-Length", strconv.Itoa(len(example.body)))
				}
				w.WriteHeader(example.status)
				at := 0
				for _, cut := range append(example.pieces, len(example.body)) {
					io.WriteString(w, example.body[at:cut])
					w.(http.Flusher).Flush()
					at = cut
				}
			})
			s := newRoutingTable(c, engine)
			response := s.post(requestBody)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, example.body)
			c.Assert(response.StatusCode, qt.Equals, example.status)
			c.Assert(response.Header.Get("X-Engines-Own"), qt.Equals, "kept")
			c.Assert(response.Header.Get(HeaderEngine), qt.Equals, "e0")
			c.Assert(response.Header.Get(HeaderRevision), qt.Equals, "3")
			s.forwarder.InFlightGroup.Wait()
			c.Assert(s.dispatcher.View(s.clock.Now())[0].Own, qt.Equals, int64(0))
		})
	}
}

// A stream that stops early must reach the caller as a torn channel.
func TestAStreamNeverEndsCleanlyTooEarly(t *testing.T) {
	whole := stream(5)
	for _, example := range []struct {
		name string
		play http.HandlerFunc
	}{
		{"the channel is torn", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, whole[:60])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"a clean end without the closing mark", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, strings.TrimSuffix(whole, "data: [DONE]\n\n"))
		}},
		{"the closing mark without its line end", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, strings.TrimSuffix(whole, "\n\n"))
		}},
		{"a torn channel after the closing mark", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, whole)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"fewer bytes than announced", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "short")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			runs := atomic.Int64{}
			engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) { runs.Add(1); example.play(w, r) })
			other := newEngine(c, func(w http.ResponseWriter, r *http.Request) { runs.Add(1); example.play(w, r) })
			s := newRoutingTable(c, engine, other)
			response := s.post(requestBody)
			defer response.Body.Close()
			_, err := io.ReadAll(response.Body)
			c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("got %v", err))
			s.forwarder.InFlightGroup.Wait()
			c.Assert(runs.Load(), qt.Equals, int64(1))
			c.Assert(s.dispatcher.Counts().Broken["lost"], qt.Equals, uint64(1))
		})
	}
}

// net/http sends a request again by itself when a reused channel turns out
// closed, if it thinks that harmless. An engine that takes the request and
// closes must still see it once.
func TestTheLibraryNeverSendsARequestAgain(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	var seen atomic.Int64
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for answered := 0; ; answered++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					if request.Header.Get("X-Warm") == "" {
						seen.Add(1)
						return // it has the whole request, and closes without a word
					}
					io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	address := listener.Addr().String()

	// First the trap itself: a plain client with a rewindable body falls into it.
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	warm, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(requestBody))
	c.Assert(err, qt.IsNil)
	warm.Header.Set("X-Warm", "1")
	response, err := plain.Do(warm)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	trapped, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(requestBody))
	c.Assert(err, qt.IsNil)
	trapped.Header.Set("Idempotency-Key", "caller's own")
	_, err = plain.Do(trapped)
	c.Assert(err, qt.IsNotNil)
	c.Assert(seen.Load(), qt.Equals, int64(2), qt.Commentf("the trap this test is about is gone from the library"))

	// Then the router, with the same header from the caller and a warm-up before.
	seen.Store(0)
	engine := &httptest.Server{URL: "http://" + address}
	s := newRoutingTable(c, engine)
	s.post(requestBody, "X-Warm", "1").Body.Close()
	response = s.post(requestBody, "Idempotency-Key", "caller's own")
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(MayHaveRun))
	c.Assert(seen.Load(), qt.Equals, int64(1))
}

func TestRetriesOnlyWhatProvablyDidNotRun(t *testing.T) {
	good := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, stream(4))
	}
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	lost := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	for _, example := range []struct {
		name    string
		first   func(c *qt.C) *httptest.Server
		status  int
		run     RunState
		retries uint64
	}{
		{"nobody listens", func(*qt.C) *httptest.Server { return unreachableEngine() }, 200, "", 1},
		{"the engine says not run", func(c *qt.C) *httptest.Server { return newEngine(c, notRun) }, 200, "", 1},
		{"the engine goes after it took the request", func(c *qt.C) *httptest.Server { return newEngine(c, lost) }, 502, MayHaveRun, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var seconds atomic.Int64
			first := example.first(c)
			second := newEngine(c, func(w http.ResponseWriter, r *http.Request) { seconds.Add(1); good(w, r) })
			s := newRoutingTable(c, first, second)
			// Whichever engine the prefix prefers, the first has to be tried first.
			s.shown.Engines[1].IsDraining = true
			s.dispatcher.SetRoutingTable(s.shown)
			s.forwarder.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				again := *s.shown
				again.Engines = append([]Engine(nil), s.shown.Engines...)
				again.Engines[1].IsDraining = false
				s.dispatcher.SetRoutingTable(&again)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			response := s.post(requestBody)
			defer response.Body.Close()
			_, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, example.status)
			c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(example.run))
			c.Assert(s.dispatcher.Counts().Retries, qt.Equals, example.retries)
			c.Assert(seconds.Load(), qt.Equals, int64(example.retries))
		})
	}
}

func TestNotRunIsFinalWhenEveryEngineSaysSo(t *testing.T) {
	c := qt.New(t)
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := newRoutingTable(c, newEngine(c, notRun), newEngine(c, notRun))
	response := s.post(requestBody)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(s.dispatcher.Counts().Retries, qt.Equals, uint64(1))
}

// A router that was held up between its choice and the first byte acts on what
// holds by then.
func TestTheLastLookBeforeTheFirstByte(t *testing.T) {
	for _, example := range []struct {
		name   string
		change func(s *routingTable, next *RoutingTable)
		status int
		reason string
	}{
		{"the lease lapsed", func(s *routingTable, _ *RoutingTable) { s.clock.now.Store(int64(300 * kernel.Second)) }, 503, "no_licence"},
		{"the engine is leaving", func(_ *routingTable, next *RoutingTable) { next.Engines[0].IsDraining = true }, 503, "no_engine"},
		{"the zone was emptied", func(_ *routingTable, next *RoutingTable) { next.Drained["z0"] = true }, 503, "no_engine"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var seen atomic.Int64
			s := newRoutingTable(c, newEngine(c, func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
			s.forwarder.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
				next := *s.shown
				next.Engines = append([]Engine(nil), s.shown.Engines...)
				next.Drained = map[string]bool{}
				example.change(s, &next)
				s.dispatcher.SetRoutingTable(&next)
				return connection, err
			}
			response := s.post(requestBody)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, example.status)
			c.Assert(strings.Contains(string(body), example.reason), qt.IsTrue, qt.Commentf("%s", body))
			c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
			c.Assert(seen.Load(), qt.Equals, int64(0))
			c.Assert(s.dispatcher.Counts().Retries, qt.Equals, uint64(0))
		})
	}
}

func TestResumeTakesOnlyTheSameRun(t *testing.T) {
	whole := stream(6)
	for _, example := range []struct {
		name              string
		run, start, place string
		isWhole           bool
	}{
		{"the same run goes on", "run-1", "7", "", true},
		{"another run is refused", "run-2", "7", "", false},
		{"another start is refused", "run-1", "8", "", false},
		{"another offset is refused", "run-1", "7", "3", false},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var posts atomic.Int64
			engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if r.Method == http.MethodPost {
					posts.Add(1)
					w.Header().Set(HeaderRunID, "run-1")
					w.Header().Set(HeaderStart, "7")
					io.WriteString(w, whole[:50])
					w.(http.Flusher).Flush()
					panic(http.ErrAbortHandler)
				}
				c.Check(r.URL.Path, qt.Equals, "/v1/runs/run-1")
				offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
				c.Check(err, qt.IsNil)
				w.Header().Set(HeaderRunID, example.run)
				w.Header().Set(HeaderStart, example.start)
				place := example.place
				if place == "" {
					place = strconv.Itoa(offset)
				}
				w.Header().Set(HeaderOffset, place)
				io.WriteString(w, whole[offset:])
			})
			s := newRoutingTable(c, engine)
			response := s.post(requestBody)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			if example.isWhole {
				c.Assert(err, qt.IsNil)
				c.Assert(string(got), qt.Equals, whole)
			} else {
				c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
				c.Assert(string(got), qt.Equals, whole[:50])
			}
			s.forwarder.InFlightGroup.Wait()
			c.Assert(posts.Load(), qt.Equals, int64(1))
		})
	}
}

func TestACallerThatHangsUpEndsTheEnginesRun(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	begun := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: {}\n\n")
		w.(http.Flusher).Flush()
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	s := newRoutingTable(c, engine)
	ctx, hangUp := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL, strings.NewReader(requestBody))
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	<-begun
	c.Assert(s.dispatcher.View(s.clock.Now())[0].Own > 0, qt.IsTrue)
	hangUp()
	response.Body.Close()
	<-ended
	s.forwarder.InFlightGroup.Wait()
	c.Assert(s.dispatcher.View(s.clock.Now())[0].Own, qt.Equals, int64(0))
	c.Assert(s.dispatcher.Counts().CallerDisconnects, qt.Equals, uint64(1))
}

func TestARemovedEngineIsDroppedWithItsLastStream(t *testing.T) {
	c := qt.New(t)
	s := newRoutingTable(c, newEngine(c, func(http.ResponseWriter, *http.Request) {}))
	call, rejection := s.dispatcher.Admit(s.clock.Now(), Request{ID: "r", PromptTokens: 3, MaxTokens: 4, Prefix: []uint32{1, 2, 3}})
	c.Assert(rejection == nil, qt.IsTrue)
	gone := *s.shown
	gone.Engines = nil
	s.dispatcher.SetRoutingTable(&gone)
	c.Assert(s.dispatcher.states, qt.HasLen, 1)
	s.dispatcher.Close(s.clock.Now(), call, Served, "")
	s.dispatcher.SetRoutingTable(&gone)
	c.Assert(s.dispatcher.states, qt.HasLen, 0)
}

func TestBadInputIsRejectedAsNotRun(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Int64
	s := newRoutingTable(c, newEngine(c, func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
	for _, example := range []struct {
		body   string
		status int
		says   string
	}{
		{``, 400, "body"},
		{`{`, 400, "body"},
		{`{} {}`, 400, "body"},
		{`[1]`, 400, "body"},
		{`{}`, 400, "prompt"},
		{`{"prompt":""}`, 400, "prompt"},
		{`{"prompt":[]}`, 400, "prompt"},
		{`{"prompt":7}`, 400, "prompt"},
		{`{"prompt":["a","b"]}`, 400, "prompt"},
		{`{"prompt":[1,-2]}`, 400, "prompt[1]"},
		{`{"prompt":[1,2.5]}`, 400, "prompt[1]"},
		{`{"prompt":[1,null]}`, 400, "prompt[1]"},
		{`{"prompt":"a","max_tokens":0}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":-4}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":1e12}`, 400, "max_tokens"},
		{`{"prompt":"a","max_tokens":"8"}`, 400, "max_tokens"},
		{`{"prompt":"a","stream":"yes"}`, 400, "stream"},
		{`{"prompt":"a","model":7}`, 400, "model"},
		{`{"prompt":"` + strings.Repeat("a", MaxBodyBytes) + `"}`, 413, "too_large"},
	} {
		response := s.post(example.body)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		comment := qt.Commentf("%.80s -> %s", example.body, body)
		c.Assert(response.StatusCode, qt.Equals, example.status, comment)
		c.Assert(bytes.Contains(body, []byte(example.says)), qt.IsTrue, comment)
		c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun), comment)
	}
	c.Assert(seen.Load(), qt.Equals, int64(0))
}

// A caller that sends its body drop by drop is let go.
func TestATricklingCallerIsDisconnected(t *testing.T) {
	c := qt.New(t)
	s := newRoutingTable(c, newEngine(c, func(http.ResponseWriter, *http.Request) {}))
	s.forwarder.Timeouts.CallerBody = kernel.Millisecond
	connection, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
}

func TestAnUnresponsiveEngineIsGivenUp(t *testing.T) {
	c := qt.New(t)
	engine := newEngine(c, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	s := newRoutingTable(c, engine)
	s.forwarder.Timeouts.Engine = 30 * kernel.Millisecond
	response := s.post(requestBody)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(MayHaveRun))
}

func TestTheTallyCountsAcrossAnyCut(t *testing.T) {
	c := qt.New(t)
	body := []byte(stream(7))
	for first := 0; first <= len(body); first++ {
		var tally Tally
		count := tally.Take(body[:first]) + tally.Take(body[first:])
		c.Assert(count, qt.Equals, 7)
		c.Assert(tally.IsClosed, qt.IsTrue)
		var short Tally
		short.Take(body[:len(body)-2])
		c.Assert(short.IsClosed, qt.IsFalse)
	}
}

// Retries stay a small share however many callers come and however bad it gets.
func TestTheRetryBudgetHoldsUnderAnOutage(t *testing.T) {
	c := qt.New(t)
	s := newRoutingTable(c, unreachableEngine(), unreachableEngine(), unreachableEngine())
	s.dispatcher.retryBudget = retryBudget{ratio: s.dispatcher.retryBudget.ratio}
	for range 200 {
		response := s.post(requestBody)
		c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
		response.Body.Close()
		// Long enough for every engine to be tried anew.
		s.clock.now.Add(int64(10 * kernel.Second))
		s.shown.LeaseUntil = s.clock.Now() + 100*kernel.Second
		next := *s.shown
		s.dispatcher.SetRoutingTable(&next)
	}
	counts := s.dispatcher.Counts()
	c.Assert(counts.FirstAttempts, qt.Equals, uint64(200))
	c.Assert(counts.Retries >= 15 && counts.Retries <= 20, qt.IsTrue, qt.Commentf("%+v", counts))
}

// Beyond what the process may hold a request is rejected at once, and what it holds
// already goes on; a place that is given back is a place again.
func TestABurstIsRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		<-release
		io.WriteString(w, stream(2))
	})
	s := newRoutingTable(c, engine)
	turnedAway := func(why, body string) {
		c.Helper()
		response := s.post(body)
		defer response.Body.Close()
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
		got, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(got), `"crowded"`) && strings.Contains(string(got), why), qt.IsTrue, qt.Commentf("%s", got))
	}
	first, second := s.post(requestBody), s.post(requestBody)
	s.forwarder.Limits = Limits{InFlight: 2, BodyBytes: 1 << 20}
	turnedAway("2 requests", requestBody)
	s.forwarder.Limits = Limits{InFlight: 9, BodyBytes: 200}
	turnedAway("200 bytes", `{"prompt":"`+strings.Repeat("x", 400)+`","max_tokens":1}`)
	overloaded := true
	s.forwarder.Limits, s.forwarder.IsOverloaded = DefaultLimits(), func() bool { return overloaded }
	turnedAway("channels", requestBody)
	overloaded = false
	c.Assert(s.forwarder.ReservedBytes(), qt.Equals, int64(2*len(requestBody)))
	close(release)
	for _, response := range []*http.Response{first, second, s.post(requestBody)} {
		got, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, stream(2))
		response.Body.Close()
	}
	s.forwarder.InFlightGroup.Wait()
	c.Assert(s.forwarder.ReservedBytes(), qt.Equals, int64(0))
	c.Assert(s.dispatcher.Counts().Rejected["crowded"], qt.Equals, uint64(3))
}

// A body without a length is counted as it comes.
func TestABodyOfUnknownLengthIsBoundedToo(t *testing.T) {
	c := qt.New(t)
	s := newRoutingTable(c, newEngine(c, func(http.ResponseWriter, *http.Request) { c.Error("it may not get there") }))
	s.forwarder.Limits = Limits{InFlight: 9, BodyBytes: 1000}
	request, err := http.NewRequest(http.MethodPost, s.front.URL, io.MultiReader(strings.NewReader(`{"prompt":"`), strings.NewReader(strings.Repeat("x", 5000))))
	c.Assert(err, qt.IsNil)
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
	s.forwarder.InFlightGroup.Wait()
	c.Assert(s.forwarder.ReservedBytes(), qt.Equals, int64(0))
}

// A caller that reads nothing holds its stream no longer than its stall is allowed to
// last, and the engine's run ends with it.
func TestASlowReaderIsDisconnected(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	s := newRoutingTable(c, engine)
	s.forwarder.Timeouts.CallerStall = 50 * kernel.Millisecond
	connection, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	c.Assert(err, qt.IsNil)
	<-ended
	s.forwarder.InFlightGroup.Wait()
	c.Assert(s.forwarder.ReservedBytes(), qt.Equals, int64(0))
	c.Assert(s.dispatcher.Counts().CallerDisconnects, qt.Equals, uint64(1))
}
