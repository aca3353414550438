package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// forgedResponse is a complete response with a request's ID and a forged body, as a misbehaving engine may send it.
func forgedResponse(id string) string { return head(id, "Content-Length: 6\r\n\r\nforged") }

// truncated is the status of a test case whose answer is cut off.
const truncated = 0

// hostileResponse is what an engine sends for one request, and what the caller gets.
type hostileResponse struct {
	name, method, response string
	isOpen                 bool // the engine keeps the connection open
	status                 int
	body                   string
}

// Whatever an engine sends for one request, the next request through the same router gets its own response. The
// caller of the first request gets what the engine sent, or no success.
func TestHostileResponseDoesNotAffectNextRequest(t *testing.T) {
	wire := DefaultWire()
	for _, test := range []hostileResponse{
		{"a closing connection", "POST", head("r1", "Connection: close\r\nContent-Length: 2\r\n\r\nhi"), true, 200, "hi"},
		{"trailers", "POST", head("r1", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\n"), true, 200, "hi"},
		{"trailers that forge an id", "POST", head("r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"+wire.RequestID+": r2\r\n\r\n"), true, 200, "hi"},
		{"a body longer than its Content-Length", "POST", head("r1", "Content-Length: 2\r\n\r\nhi") + forgedResponse("r2"), true, 200, "hi"},
		{"a body shorter than its Content-Length", "POST", head("r1", "Content-Length: 20\r\n\r\nhi"), false, truncated, ""},
		{"a chunk shorter than its size", "POST", head("r1", "Transfer-Encoding: chunked\r\n\r\n9\r\nhi"), false, truncated, ""},
		{"no last chunk", "POST", head("r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"), false, truncated, ""},
		{"an invalid chunk size", "POST", head("r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nzz\r\n"), true, truncated, ""},
		{"no length", "POST", head("r1", "\r\nhi"), false, 200, "hi"},
		{"two lengths that differ", "POST", head("r1", "Content-Length: 2\r\nContent-Length: 4\r\n\r\nhi"), true, 502, ""},
		{"one length twice", "POST", head("r1", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"), true, 200, "hi"},
		{"a negative length", "POST", head("r1", "Content-Length: -2\r\n\r\nhi"), true, 502, ""},
		{"a length that is not a number", "POST", head("r1", "Content-Length: 2, 3\r\n\r\nhi"), true, 502, ""},
		{"a length and chunks", "POST", head("r1", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), true, 200, "hi"},
		{"an unknown transfer coding", "POST", head("r1", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), true, 502, ""},
		{"two transfer codings", "POST", head("r1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), true, 502, ""},
		{"chunks in HTTP/1.0", "POST", strings.Replace(head("r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), "1.1", "1.0", 1), false, truncated, ""},
		{"bytes that are not a response", "POST", "\x00\x01\x02 garbage\r\n\r\n", true, 502, ""},
		{"a status below 100", "POST", strings.Replace(head("r1", "Content-Length: 2\r\n\r\nhi"), "200", "099", 1), true, 502, ""},
		{"a status of zero", "GET", strings.Replace(head("r1", "Content-Length: 2\r\n\r\nhi"), "200", "000", 1), true, 502, ""},
		{"half a head", "POST", "HTTP/1.1 200 OK\r\n" + wire.RequestID + ": r1\r\n", false, 502, ""},
		{"an endless head", "POST", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Fill: "+strings.Repeat("x", 1000)+"\r\n", 2000), false, 502, ""},
		{"bytes before the response", "POST", "junk\r\n" + head("r1", "Content-Length: 2\r\n\r\nhi"), true, 502, ""},
		{"two ids", "POST", head("r1", wire.RequestID+": r2\r\nContent-Length: 2\r\n\r\nhi"), false, 502, ""},
		{"the id of another request", "POST", forgedResponse("r2"), false, 502, ""},
		{"a response to another request first", "POST", forgedResponse("r2") + head("r1", "Content-Length: 2\r\n\r\nhi"), true, 200, "hi"},
		{"a response without length to another request first", "POST", head("r0", "\r\n") + head("r1", "Content-Length: 2\r\n\r\nhi"), false, 502, ""},
		{"interim responses", "POST", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 5) + head("r1", "Content-Length: 2\r\n\r\nhi"), true, 200, "hi"},
		{"no body with 204", "POST", strings.Replace(head("r1", "\r\n"), "200 OK", "204 No Content", 1), true, 204, ""},
		{"a body with 204", "POST", strings.Replace(head("r1", "Content-Length: 2\r\n\r\n"), "200 OK", "204 No Content", 1) + forgedResponse("r2"), true, 204, ""},
		{"no body with 304", "POST", strings.Replace(head("r1", "Content-Length: 9\r\n\r\n"), "200 OK", "304 Not Modified", 1), true, 304, ""},
		{"no body with HEAD", "HEAD", head("r1", "Content-Length: 9\r\n\r\n"), true, 200, ""},
		{"no length with HEAD", "HEAD", head("r1", "\r\n"), true, 200, ""},
		{"a body with HEAD", "HEAD", head("r1", "Content-Length: 6\r\n\r\n") + forgedResponse("r2"), true, 200, ""},
		{"another protocol", "POST", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + forgedResponse("r2"), true, 502, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, test.check)
		})
	}
}

// check has an engine send the hostile response to the first request. Two more requests then have to get their own
// responses, and each request has to run exactly once.
func (test hostileResponse) check(t *testing.T) {
	t.Helper()
	wire := DefaultWire()
	c := qt.New(t)
	h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 3, LatencyTarget: kernel.Second}, "e1", "e2")
	for _, id := range []string{"e1", "e2"} {
		h.script(id, func(number int, r *http.Request, to net.Conn) bool {
			if r.Header.Get(wire.RequestID) == "r1" {
				writeRaw(to, test.response)
				return test.isOpen
			}
			return plainResponse("own")(number, r, to)
		})
	}
	recorder, isTruncated := h.call(test.method, "r1", nil)
	c.Assert(isTruncated, qt.Equals, test.status == truncated)
	if !isTruncated {
		c.Assert(recorder.Code, qt.Equals, test.status)
	}
	if recorder.Code < 300 && !isTruncated {
		c.Assert(recorder.Body.String(), qt.Equals, test.body)
		c.Assert(recorder.Header().Get(wire.EngineProof), qt.Equals, "s-r1")
	}
	for _, id := range []string{"r2", "r3"} {
		recorder, isTruncated = h.call("POST", id, nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, "own")
		c.Assert(recorder.Header().Get(wire.EngineProof), qt.Equals, "s-"+id)
	}
	c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 3)
}

// respondTwice responds to every request. It sends the bytes of more after each response, with a delay of after.
func respondTwice(far net.Conn, more string, after time.Duration) {
	defer closeQuietly(far)
	// A single goroutine writes, so that no writer blocks another one on the pipe.
	output := make(chan string, 64)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case text := <-output:
				writeRaw(far, text)
			case <-ended:
				return
			}
		}
	}()
	reader := bufio.NewReader(far)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		output <- head(r.Header.Get(DefaultWire().RequestID), "Content-Length: 3\r\n\r\nown")
		if after == 0 {
			output <- more
			continue
		}
		time.AfterFunc(after, func() { output <- more })
	}
}

// An extra response may arrive while the connection is idle, or during the next request. No caller may get it.
func TestExtraResponseIsDiscardedWheneverItArrives(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 500 * time.Millisecond, 4 * time.Second} {
		for _, forged := range []string{forgedResponse("r1"), forgedResponse("r0"), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"} {
			t.Run(fmt.Sprint(after, " ", len(forged)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second}, "e1", "e2")
					h.serveConnection = func(far net.Conn) { respondTwice(far, forged, after) }
					for turn := range 8 {
						id := fmt.Sprint("r", turn)
						recorder, isTruncated := h.call("POST", id, nil)
						c.Assert(isTruncated, qt.IsFalse)
						if recorder.Code == http.StatusOK {
							c.Assert(recorder.Body.String(), qt.Equals, "own")
							c.Assert(recorder.Header().Get(DefaultWire().EngineProof), qt.Equals, "s-"+id)
						}
						time.Sleep(time.Duration(turn) * 300 * time.Millisecond)
					}
					h.router.Pool.Sweep(func(string) bool { return false })
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// serveOverPipe has the harness's router serve one end of a pipe. The test writes a caller's bytes to the other end,
// near.
func serveOverPipe(h *harness) (near net.Conn, end func()) {
	near, far := net.Pipe()
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	listener.conns <- far
	server := &http.Server{Handler: h.router}
	go serveQuietly(server, listener)
	return near, func() {
		closeQuietly(near)
		close(listener.conns)
		closeQuietly(server)
	}
}

// Bytes hidden in a caller's request must not reach an engine as a request of their own (request smuggling).
func TestRequestSmugglingIsPrevented(t *testing.T) {
	wire := DefaultWire()
	hidden := fmt.Sprintf("POST /p/hidden HTTP/1.1\r\nHost: h.example\r\n%s: hidden\r\nContent-Length: 0\r\n\r\n", wire.RequestID)
	start := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\nConnection: close\r\n", wire.RequestID)
	for _, test := range []struct {
		name, request string
		runs          int
		body          string
	}{
		{"a length and chunks", start + fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden), 1, hidden},
		{"two lengths", start + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden), 0, ""},
		{"an unknown transfer coding", start + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + hidden, 0, ""},
		{"a space after Transfer-Encoding", start + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + hidden, 0, ""},
		{"a body that holds a request", start + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden), 1, hidden},
		{"a header with a carriage return", start + "X-Other: a\rb\r\nContent-Length: 0\r\n\r\n", 0, ""},
		{"a folded header", start + "X-Other: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", 1, ""},
		{"headers named by its connection", strings.Replace(start, "close", "close, Content-Length, Host, "+wire.WantInstance, 1) + "Content-Length: 2\r\n\r\nhi", 1, "hi"},
		{"trailers", start + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 9\r\n" + wire.RequestID + ": r9\r\n\r\n", 1, "hi"},
		{"a length among the trailers", start + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n2\r\nhi\r\n0\r\nContent-Length: 9\r\n\r\n", 0, ""},
		{"an engine that the caller names", start + wire.WantInstance + ": other\r\n" + wire.Priority + ": 0\r\nContent-Length: 2\r\n\r\nhi", 1, "hi"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
				var bodies, ids, wanted []string
				h.serveConnection = func(far net.Conn) {
					reader := bufio.NewReader(far)
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						body, _ := io.ReadAll(r.Body)
						bodies = append(bodies, string(body))
						ids = append(ids, r.Header.Get(wire.RequestID))
						wanted = append(wanted, r.Header.Values(wire.WantInstance)...)
						plainResponse("own")(0, r, far)
					}
				}
				near, end := serveOverPipe(h)
				go writeRaw(near, test.request)
				discardAll(near)
				end()
				h.router.Pool.Sweep(func(string) bool { return false })
				synctest.Wait()
				c.Assert(bodies, qt.HasLen, test.runs)
				for i := range bodies {
					c.Assert(bodies[i], qt.Equals, test.body)
					c.Assert(ids[i], qt.Equals, "r1")
					c.Assert(wanted[i], qt.Equals, "e1")
				}
			})
		})
	}
}

// Pipelined requests are answered one after the other, each with its own response. A response that is cut off also
// ends the connection.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire := DefaultWire()
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
			id := r.Header.Get(wire.RequestID)
			if id == "r2" {
				writeRaw(to, head(id, "Content-Length: 9\r\n\r\nhalf"))
				return false
			}
			return plainResponse("own "+id)(number, r, to)
		})
		near, end := serveOverPipe(h)
		go func() {
			for _, id := range []string{"r1", "r2", "r3"} {
				writeRawf(near, "POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nContent-Length: 2\r\n\r\nhi", wire.RequestID, id)
			}
		}()
		reader := bufio.NewReader(near)
		first, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(first.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "own r1")
		closeBody(first)
		// The second response is cut off by closing the connection, so nothing follows it.
		second, err := http.ReadResponse(reader, nil)
		if err == nil {
			// Deferred, since closing a body reads the rest of it.
			defer closeBody(second)
			_, err = io.ReadAll(second.Body)
		}
		c.Assert(err, qt.IsNotNil)
		_, err = reader.ReadByte()
		c.Assert(err, qt.IsNotNil)
		end()
		synctest.Wait()
		c.Assert(h.runs["e1"], qt.Equals, 2)
	})
}

// A request whose caller disconnects before the body is complete has not run.
func TestIncompleteBodyRunsNothing(t *testing.T) {
	for _, test := range []struct{ name, more string }{
		{"with a length", "Content-Length: 9\r\n\r\nhalf"},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
		{"before 100 Continue", "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n"},
		{"after 100 Continue", "Expect: 100-continue\r\nContent-Length: 9\r\n\r\nhalf"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", plainResponse("own"))
				near, end := serveOverPipe(h)
				go discardAll(near)
				writeRawf(near, "POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s", DefaultWire().RequestID, test.more)
				synctest.Wait()
				end()
				synctest.Wait()
				qt.Assert(t, h.runs["e1"], qt.Equals, 0)
			})
		})
	}
}

// shortWriteConn fails every write after accepting taken bytes of it. Reads return answer, the response that the engine
// has sent.
type shortWriteConn struct {
	net.Conn
	taken  int
	answer io.Reader
}

func (c shortWriteConn) Write([]byte) (int, error)   { return c.taken, syscall.ECONNRESET }
func (c shortWriteConn) Read(to []byte) (int, error) { return c.answer.Read(to) }
func (shortWriteConn) SetDeadline(time.Time) error   { return nil }
func (shortWriteConn) Close() error                  { return nil }

// An engine may reject a long request and close the connection before it has read all of it. Its statement that it did
// not run the request counts if it is complete and belongs to this request. If the router could write nothing at all,
// nothing is read.
func TestAnEnginesRejectionCountsThoughTheRequestWasNotReadToItsEnd(t *testing.T) {
	wire := DefaultWire()
	notRunResponse := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.RequestID, id, wire.NotRun)
	}
	for _, test := range []struct {
		name, answer string
		taken        int
		isAnswered   bool
	}{
		{"its statement", notRunResponse("r1"), 5, true},
		{"its statement about another request", notRunResponse("r2"), 5, false},
		{"nothing", "", 5, false},
		{"half of its statement", notRunResponse("r1")[:20], 5, false},
		{"bytes that are not a response", "junk\r\n\r\n", 5, false},
		{"its statement, and nothing was written", notRunResponse("r1"), 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			used := newConnection(shortWriteConn{taken: test.taken, answer: strings.NewReader(test.answer)}, "e1:1")
			used.uses = 1
			response, err := used.exchange([]byte("a long request"), "POST", "r1", wire.RequestID)
			c.Assert(err == nil, qt.Equals, test.isAnswered)
			c.Assert(errors.As(err, new(NotWrittenError)), qt.Equals, test.taken == 0)
			if test.isAnswered {
				c.Assert(response.Header.Get(wire.NotRun), qt.Equals, "1")
				// The rest of the request would be parsed as the next one.
				c.Assert(response.Close, qt.IsTrue)
				closeBody(response)
			}
		})
	}
}

// A caller may get a status that promises that its request did not run only if that holds for every attempt. The
// statement of the last engine says nothing about an earlier one that was unresponsive or whose connection was lost.
func TestNoNotRunRejectionAfterAnAttemptThatMayHaveRun(t *testing.T) {
	wire := DefaultWire()
	lost := func(int, *http.Request, net.Conn) bool { return false }
	unresponsive := func(_ int, _ *http.Request, to net.Conn) bool {
		discardAll(to)
		return false
	}
	full := func(_ int, r *http.Request, to net.Conn) bool {
		writeRawf(to, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.RequestID, r.Header.Get(wire.RequestID), wire.NotRun)
		return true
	}
	for _, test := range []struct {
		name   string
		first  func(int, *http.Request, net.Conn) bool
		second func(int, *http.Request, net.Conn) bool // nil: it can't be reached
		status int
	}{
		{"lost, then rejected", lost, full, http.StatusBadGateway},
		{"unresponsive, then rejected", unresponsive, full, http.StatusBadGateway},
		{"lost, then unreachable", lost, nil, http.StatusBadGateway},
		{"rejected twice", full, full, http.StatusServiceUnavailable},
		{"rejected, then unreachable", full, nil, http.StatusServiceUnavailable},
		{"rejected, then lost", full, lost, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second, IsPinned: true}, "e1", "e2")
				first, others := h.preferredOf()
				h.script(first, test.first)
				if test.second != nil {
					h.script(others[0], test.second)
				}
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Assert(isTruncated, qt.IsFalse)
				c.Assert(recorder.Code, qt.Equals, test.status)
				c.Assert(recorder.Header().Get("Retry-After") != "", qt.Equals, test.status == http.StatusServiceUnavailable)
			})
		})
	}
}
