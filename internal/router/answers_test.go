package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// A response without an ID may be accepted only on a connection that has carried no other request. On a reused one it
// may be a second response to an earlier request.
func TestResponseWithoutIDIsAcceptedOnlyOnUnusedConnection(t *testing.T) {
	wire := DefaultWire()
	withoutID := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s-r1\r\nContent-Length: 5\r\n\r\nfirst", wire.EngineProof)
	notRun := fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.NotRun)
	for _, test := range []struct{ name, answer string }{{"a success", withoutID}, {"a statement that it did not run", notRun}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
					if r.Header.Get(wire.RequestID) == "r2" {
						writeRaw(to, test.answer)
						return true
					}
					return plainResponse("own")(number, r, to)
				})
				recorder, _ := h.call("POST", "r1", nil)
				c.Assert(recorder.Code, qt.Equals, http.StatusOK)
				// The request may have run, so the status must not promise that it did not. The response is not
				// forwarded.
				recorder, _ = h.call("POST", "r2", nil)
				c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
				c.Assert(recorder.Header().Get(wire.EngineProof), qt.Equals, "")
				// The connection is not reused.
				recorder, _ = h.call("POST", "r3", nil)
				c.Assert(recorder.Code, qt.Equals, http.StatusOK)
				c.Assert(recorder.Body.String(), qt.Equals, "own")
				c.Assert(h.dials["e1:1"], qt.Equals, 2)
			})
		})
	}
}

// A connection must not be reused while the rest of a response is outstanding on it: that rest would be parsed as the
// next response.
func TestConnectionWithAnAnswerOutstandingIsNotKept(t *testing.T) {
	wire := DefaultWire()
	answerTo := func(id string) string { return head(id, "Content-Length: 6\r\n\r\nforged") }
	const callerDisconnects = 0
	for _, test := range []struct {
		name   string
		serve  func(to net.Conn, id string)
		status int
	}{
		{"rejected with a long body", func(to net.Conn, id string) {
			rest := answerTo("r2")
			writeRawf(to, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
				wire.RequestID, id, wire.NotRun, 64<<10+len(rest), strings.Repeat("x", 64<<10))
			// The rest arrives after the router has handled the head.
			time.Sleep(10 * time.Millisecond)
			writeRaw(to, rest)
		}, http.StatusServiceUnavailable},
		{"the caller disconnected", func(to net.Conn, id string) {
			time.Sleep(time.Second)
			writeRaw(to, answerTo(id)+answerTo("r2"))
		}, callerDisconnects},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
					if id := r.Header.Get(wire.RequestID); id == "r1" {
						test.serve(to, id)
						return true
					}
					return plainResponse("own")(number, r, to)
				})
				first, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				h.callerContext = first
				if test.status == callerDisconnects {
					time.AfterFunc(100*time.Millisecond, disconnect)
				}
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Assert(isTruncated, qt.Equals, test.status == callerDisconnects)
				if !isTruncated {
					c.Assert(recorder.Code, qt.Equals, test.status)
				}
				h.callerContext = t.Context()
				recorder, _ = h.call("POST", "r2", nil)
				c.Assert(recorder.Body.String(), qt.Equals, "own")
				c.Assert(h.dials["e1:1"], qt.Equals, 2)
				time.Sleep(2 * time.Second) // until the engine has finished the first response
			})
		})
	}
}

// A route's MaxAttempts limits the number of engines that run a request, however the attempts end.
func TestAttemptsOfTheRouteBoundTheEnginesThatRun(t *testing.T) {
	lost := func(int, *http.Request, net.Conn) bool { return false }
	unresponsive := func(_ int, _ *http.Request, to net.Conn) bool {
		discardAll(to)
		return false
	}
	for _, test := range []struct {
		name  string
		serve func(int, *http.Request, net.Conn) bool
	}{{"lost", lost}, {"unresponsive", unresponsive}, {"interrupted", streamFrom(9, 1)}} {
		for maxAttempts := range 4 {
			t.Run(fmt.Sprint(test.name, " ", maxAttempts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					route := fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: maxAttempts, LatencyTarget: 200 * kernel.Millisecond, IsPinned: true}
					h := newHarness(t, route, "e1", "e2", "e3", "e4", "e5", "e6")
					// The other engines can't be reached, which does not count as an attempt.
					for _, id := range []string{"e1", "e3", "e5"} {
						h.script(id, test.serve)
					}
					h.call("POST", "r1", nil)
					synctest.Wait()
					h.lock.Lock()
					defer h.lock.Unlock()
					runs := 0
					for _, count := range h.runs {
						runs += count
					}
					c.Assert(runs, qt.Equals, min(max(maxAttempts, 1), 3))
				})
			})
		}
	}
}

// A request must not stay 250 ms or more beyond its route's timeout, whatever its engine does.
func TestRequestIsNotPendingPastItsRoutesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, Timeout: kernel.Second}, "e1")
		h.script("e1", func(_ int, _ *http.Request, to net.Conn) bool {
			discardAll(to)
			return false
		})
		startedAt := time.Now()
		recorder, _ := h.call("POST", "r1", nil)
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(startedAt) >= time.Second, qt.IsTrue)
		c.Assert(time.Since(startedAt) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	})
}

// An interim response is skipped; a switch of protocols ends the exchange.
func TestInterimResponsesAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
			if r.Header.Get(DefaultWire().RequestID) == "r2" {
				writeRaw(to, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
			} else {
				writeRaw(to, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
			}
			return plainResponse("own")(number, r, to)
		})
		recorder, _ := h.call("POST", "r1", nil)
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(recorder.Body.String(), qt.Equals, "own")
		recorder, _ = h.call("POST", "r2", nil)
		c.Assert(recorder.Code, qt.Equals, http.StatusBadGateway)
	})
}

// pipeListener accepts the connections of a channel.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	conn, isOpen := <-l.conns
	if !isOpen {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return nil }

// A caller may be idle between two chunks of its body for up to the idle timeout, as long as the whole body arrives
// within its route's timeout. Beyond either limit it gets a status that promises that nothing ran.
func TestBodyIdleTimeoutIsEnforced(t *testing.T) {
	for _, test := range []struct {
		pause  time.Duration
		parts  int
		status int
	}{{800 * time.Millisecond, 6, http.StatusOK}, {1100 * time.Millisecond, 2, http.StatusRequestTimeout}, {800 * time.Millisecond, 60, http.StatusRequestTimeout}} {
		t.Run(fmt.Sprint(test.pause, " ", test.parts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second, Timeout: 10 * kernel.Second}, "e1")
				h.routingTable.Config.Caps.IdleTimeout = kernel.Second
				h.script("e1", plainResponse("own"))
				near, far := net.Pipe()
				listener := pipeListener{conns: make(chan net.Conn, 1)}
				listener.conns <- far
				server := &http.Server{Handler: h.router}
				go serveQuietly(server, listener)
				defer closeQuietly(server)
				defer close(listener.conns)
				go func() {
					writeRawf(near, "POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\nContent-Length: %d\r\n\r\n", DefaultWire().RequestID, test.parts)
					for range test.parts {
						time.Sleep(test.pause)
						// After the response nobody reads the rest.
						if _, err := io.WriteString(near, "x"); err != nil {
							return
						}
					}
				}()
				response, err := http.ReadResponse(bufio.NewReader(near), nil)
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, test.status)
				closeQuietly(near)
				closeBody(response)
				time.Sleep(2 * time.Second) // until the caller has finished
			})
		})
	}
}
