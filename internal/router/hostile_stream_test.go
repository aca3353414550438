package router

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// resumableRoute returns a route with resumable streams that allows three attempts.
func resumableRoute() fleetconfig.Route {
	return fleetconfig.Route{Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 3, LatencyTarget: kernel.Second, IsPinned: true}
}

// rawResponse sends a head with the given header lines, and each of the texts as one chunk. If isOpen is set, it also
// sends the last chunk and keeps the connection open; otherwise it closes the connection.
func rawResponse(isOpen bool, header string, chunks ...string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, to net.Conn) bool {
		writeRaw(to, head(r.Header.Get(DefaultWire().RequestID), header))
		for _, text := range chunks {
			writeRaw(to, chunk(text))
		}
		if isOpen {
			writeRaw(to, "0\r\n\r\n")
		}
		return isOpen
	}
}

// A resumed stream has to continue exactly after the last event that the caller has. If no engine continues it there,
// the answer is cut off after a complete event.
func TestStreamIsResumedAtAnEventOrTruncated(t *testing.T) {
	startedAt := event(1) + event(2)
	whole := startedAt + event(3) + event(4)
	rest := event(3) + event(4)
	plain := strings.Replace(streamHead, "text/event-stream", "text/plain", 1)
	for _, test := range []struct {
		name        string
		first       []string // chunks, after which the first engine closes the connection
		second      func(int, *http.Request, net.Conn) bool
		body        string
		isTruncated bool
	}{
		{"in the middle of an event", []string{startedAt + "id: 3\nda"}, rawResponse(true, streamHead, rest), whole, false},
		{"before the empty line", []string{startedAt + "id: 3\ndata: w3\n"}, rawResponse(true, streamHead, rest), whole, false},
		{"within the first line", []string{startedAt, "i"}, rawResponse(true, streamHead, rest), whole, false},
		{"at an event", []string{startedAt}, rawResponse(true, streamHead, rest), whole, false},
		{"before any event", []string{"id: 1\nda"}, rawResponse(true, streamHead, whole), whole, false},
		{"the end alone is missing", []string{whole}, rawResponse(true, streamHead), whole, false},
		{"from the start", []string{startedAt}, rawResponse(true, streamHead, whole), startedAt, true},
		{"with the last event that was sent", []string{startedAt}, rawResponse(true, streamHead, event(2)+rest), startedAt, true},
		{"with half an event from the start", []string{startedAt}, rawResponse(true, streamHead, "id: 1\ndata: w1\n"), startedAt, true},
		{"with a comment, then from the start", []string{startedAt}, rawResponse(true, streamHead, ": busy\n\n", whole), startedAt + strings.Repeat(": busy\n\n", 2), true},
		{"with a comment, then correctly", []string{startedAt}, rawResponse(true, streamHead, ": busy\n\n", rest), startedAt + ": busy\n\n" + rest, false},
		{"without ids", []string{startedAt}, rawResponse(true, streamHead, "data: w1\n\n", rest), startedAt, true},
		{"again, with ids that are no numbers", []string{"id: a\ndata: a\n\n"}, rawResponse(true, streamHead, "id: a\ndata: a\n\n"), "id: a\ndata: a\n\n", true},
		{"as plain text", []string{startedAt}, rawResponse(true, plain, rest), startedAt, true},
		{"with a failure", []string{startedAt}, func(_ int, r *http.Request, to net.Conn) bool {
			writeRaw(to, strings.Replace(head(r.Header.Get(DefaultWire().RequestID), "Content-Length: 0\r\n\r\n"), "200 OK", "500 Failed", 1))
			return true
		}, startedAt, true},
		{"with no content", []string{startedAt}, func(_ int, r *http.Request, to net.Conn) bool {
			writeRaw(to, strings.Replace(head(r.Header.Get(DefaultWire().RequestID), "\r\n"), "200 OK", "204 No Content", 1))
			return true
		}, startedAt, true},
		{"without the proof header", []string{startedAt}, func(_ int, r *http.Request, to net.Conn) bool {
			writeRawf(to, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s0\r\n\r\n", DefaultWire().RequestID, r.Header.Get(DefaultWire().RequestID), streamHead, chunk(rest))
			return true
		}, startedAt, true},
		{"a version line first", []string{"x-versions: 1\n" + event(1) + event(2), "x-versions: 2\nid: 3"}, rawResponse(true, streamHead, "x-versions: 2\n"+event(3)+event(4)),
			"x-versions: 1\n" + startedAt + "x-versions: 2\n" + rest, false},
		{"lines that end with CRLF", []string{"id: 1\r\ndata: w1\r\n\r\n", "id: 2\r\ndata: w2\r\n\r\nid: 3\r\n"}, rawResponse(true, streamHead, rest),
			"id: 1\r\ndata: w1\r\n\r\nid: 2\r\ndata: w2\r\n\r\n" + rest, false},
		{"an event without an id was sent", []string{event(1) + "data: nameless\n\n"}, rawResponse(true, streamHead, event(2)+rest), event(1) + "data: nameless\n\n", true},
		{"no event has an id", []string{"data: a\n\n"}, rawResponse(true, streamHead, "data: a\n\ndata: b\n\n"), "data: a\n\n", true},
		{"a comment was sent", []string{event(1) + ": busy\n\n" + event(2)}, rawResponse(true, streamHead, rest), event(1) + ": busy\n\n" + event(2) + rest, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, resumableRoute(), "e1", "e2", "e3")
				first, others := h.preferredOf()
				h.script(first, rawResponse(false, streamHead, test.first...))
				for _, id := range others {
					h.script(id, test.second)
				}
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Assert(recorder.Body.String(), qt.Equals, test.body)
				c.Assert(isTruncated, qt.Equals, test.isTruncated)
				c.Assert(recorder.Header().Get(DefaultWire().EngineProof), qt.Equals, "s-r1")
			})
		})
	}
}

// The caller's own last event ID is sent to every engine until an event has been forwarded; then the ID of that event
// is sent.
func TestTheCallersLastEventIDIsKept(t *testing.T) {
	for _, test := range []struct {
		passed       int
		lastEventIDs []string
	}{{0, []string{"4", "4"}}, {2, []string{"4", "6"}}} {
		t.Run(strconv.Itoa(test.passed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, resumableRoute(), "e1", "e2")
				first, others := h.preferredOf()
				var lastEventIDs []string
				recording := func(serve func(int, *http.Request, net.Conn) bool) func(int, *http.Request, net.Conn) bool {
					return func(number int, r *http.Request, to net.Conn) bool {
						lastEventIDs = append(lastEventIDs, r.Header.Values(DefaultWire().LastEvent)...)
						return serve(number, r, to)
					}
				}
				h.script(first, recording(streamFrom(8, test.passed)))
				h.script(others[0], recording(streamFrom(8, -1)))
				recorder, isTruncated := h.call("POST", "r1", http.Header{DefaultWire().LastEvent: {"4"}})
				c.Assert(isTruncated, qt.IsFalse)
				c.Assert(recorder.Body.String(), qt.Equals, event(5)+event(6)+event(7)+event(8))
				c.Assert(lastEventIDs, qt.DeepEquals, test.lastEventIDs)
			})
		})
	}
}

// The head of a response and a single event are buffered only up to a limit.
func TestEndlessHeadsAndEventsAreCutOff(t *testing.T) {
	endless := func(start, line string) func(int, *http.Request, net.Conn) bool {
		return func(_ int, _ *http.Request, to net.Conn) bool {
			writeRaw(to, start)
			for sent := 0; sent < 16<<20; sent += len(line) {
				if _, err := io.WriteString(to, line); err != nil {
					return false
				}
			}
			t.Error("the router read the endless response to its end")
			return false
		}
	}
	filler := strings.Repeat("x", 8000)
	for _, test := range []struct {
		name  string
		serve func(int, *http.Request, net.Conn) bool
	}{
		{"head", endless("HTTP/1.1 200 OK\r\n", "X-Fill: "+filler+"\r\n")},
		{"interim responses", endless("", "HTTP/1.1 102 Processing\r\nX-Fill: "+filler+"\r\n\r\n")},
		{"event", endless(head("r1", streamHead), chunk("data: "+filler+"\n"))},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Stream, MaxAttempts: 1, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", test.serve)
				recorder, _ := h.call("POST", "r1", nil)
				qt.Assert(t, recorder.Body.Len() < 1000, qt.IsTrue)
			})
		})
	}
}

// Once a response has begun that no other engine can complete, a pause in it is tolerated. The idle timer reads the
// call while the response is being forwarded, so this test also guards against a data race.
func TestPauseInNonResumableResponseIsTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: kernel.Second}, "e1", "e2")
		for _, id := range []string{"e1", "e2"} {
			h.script(id, func(_ int, r *http.Request, to net.Conn) bool {
				writeRaw(to, head(r.Header.Get(DefaultWire().RequestID), "Content-Length: 4\r\n\r\n"))
				time.Sleep(2 * time.Second)
				writeRaw(to, "slow")
				return true
			})
		}
		recorder, isTruncated := h.call("POST", "r1", nil)
		c.Assert(isTruncated, qt.IsFalse)
		c.Assert(recorder.Body.String(), qt.Equals, "slow")
		c.Assert(h.runs["e1"]+h.runs["e2"], qt.Equals, 1)
	})
}

// Each attempt tells its engine how much time remains until the request's deadline, here the timeout of the route.
func TestEveryAttemptCarriesTheRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 3, LatencyTarget: kernel.Second, Timeout: 2500 * kernel.Millisecond}, "e1", "e2", "e3")
		var deadlines []string
		for _, id := range []string{"e1", "e2", "e3"} {
			h.script(id, func(_ int, r *http.Request, _ net.Conn) bool {
				deadlines = append(deadlines, r.Header.Values(DefaultWire().Deadline)...)
				time.Sleep(100 * time.Millisecond)
				return false
			})
		}
		h.call("POST", "r1", nil)
		c.Assert(deadlines, qt.DeepEquals, []string{"2500", "2400", "2300"})
	})
}
