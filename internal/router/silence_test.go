package router

import (
	"fmt"
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

// engineScript serves the requests of one engine in the harness.
type engineScript = func(connection int, r *http.Request, to net.Conn) bool

// sheds rejects a request without running it.
func sheds(_ int, _ *http.Request, to net.Conn) bool {
	writeRaw(to, "HTTP/1.1 503 Full\r\n"+DefaultWire().NotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// breaksOff reads a request and closes the connection.
func breaksOff(int, *http.Request, net.Conn) bool { return false }

// hangs answers nothing until the connection is closed.
func hangs(_ int, _ *http.Request, to net.Conn) bool {
	discardAll(to)
	return false
}

// pausing answers with a stream of three events after a request's Last-Event-Id, with a pause before the head and before
// each event.
func pausing(pauses ...time.Duration) engineScript {
	return func(_ int, r *http.Request, to net.Conn) bool {
		time.Sleep(pauses[0])
		writeRaw(to, head(r.Header.Get(DefaultWire().RequestID), streamHead))
		for i, pause := range pauses[1:] {
			time.Sleep(pause)
			if id := i + 1; fmt.Sprint(id) > r.Header.Get("Last-Event-Id") {
				writeRaw(to, chunk(event(id)))
			}
		}
		writeRaw(to, "0\r\n\r\n")
		return true
	}
}

const threeEvents = 3

// wholeStream is the body of a complete answer of pausing.
func wholeStream() string {
	text := strings.Builder{}
	for id := range threeEvents {
		text.WriteString(event(id + 1))
	}
	return text.String()
}

// An engine's silence ends no answer before another engine serves the request.
func TestSilenceEndsNoAnswerSooner(t *testing.T) {
	const ms = time.Millisecond
	route := fleetconfig.Route{
		Kind: fleetconfig.Stream, IsResumable: true, MaxAttempts: 2, LatencyTarget: 400 * kernel.Millisecond, InterTokenTarget: 400 * kernel.Millisecond, IsPinned: true,
	}
	oneEventThenBreaks := streamFrom(threeEvents, 1)
	for _, test := range []struct {
		name   string
		first  engineScript
		others engineScript   // of the other engines, where there is no entry in rest
		rest   []engineScript // of the second engine and the following ones, in the order in which they are asked
	}{
		{"silent for longer than the timeout, the other one sheds", pausing(240*ms, 0, 0, 0), sheds, nil},
		{"silent for most of the deadline, all others shed", pausing(2500*ms, 0, 0, 0), sheds, nil},
		{"a head at once and a late event, the other one sheds", pausing(0, 450*ms, 0, 0), sheds, nil},
		{"a long pause between events, the other one sheds", pausing(0, 0, 1200*ms, 0), sheds, nil},
		{"silent for longer than the timeout, the other one breaks off", pausing(700*ms, 0, 0, 0), breaksOff, nil},
		{"a long pause between events, the other one breaks off", pausing(0, 0, 1900*ms, 0), breaksOff, nil},
		{"silent for longer than the timeout, the other one hangs", pausing(700*ms, 0, 0, 0), hangs, nil},
		{"a long pause between events, the other one hangs", pausing(0, 0, 1900*ms, 0), hangs, nil},
		{"hangs, the second one sheds, the third one serves", hangs, pausing(0, 0, 0, 0), []engineScript{sheds}},
		{"breaks off after an event, the second one sheds, the third one serves", oneEventThenBreaks, pausing(0, 0, 0, 0), []engineScript{sheds}},
		{"hangs, another one serves", hangs, pausing(0, 0, 0, 0), nil},
		{"hangs after an event, another one goes on", pausing(0, 0, 10*time.Second, 0), pausing(0, 0, 0, 0), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, route, "e1", "e2", "e3", "e4")
				h.scriptInOrder(test.first, test.others, test.rest)
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Check(isTruncated, qt.IsFalse)
				c.Check(recorder.Code, qt.Equals, http.StatusOK)
				c.Check(recorder.Body.String(), qt.Equals, wholeStream())
				awaitEngines()
			})
		})
	}
	t.Run("a head in the moment of the timeout, the other one sheds", func(t *testing.T) { testHeadAtTheTimeout(t, route) })
}

// awaitEngines waits until no engine works on a request any more, as the bubble of a test requires.
func awaitEngines() { time.Sleep(time.Minute) }

// scriptInOrder makes the preferred engine run first, and the others run the scripts of rest in the order in which they
// are asked, and others after those.
func (h *harness) scriptInOrder(first, others engineScript, rest []engineScript) {
	preferred, ids := h.preferredOf()
	h.script(preferred, first)
	for _, id := range ids {
		h.script(id, func(connection int, r *http.Request, to net.Conn) bool {
			h.lock.Lock()
			serve := others
			if len(rest) > 0 {
				serve, rest = rest[0], rest[1:]
			}
			h.lock.Unlock()
			return serve(connection, r, to)
		})
	}
}

// testHeadAtTheTimeout has the first engine's head come in the moment in which another engine is asked.
func testHeadAtTheTimeout(t *testing.T, route fleetconfig.Route) {
	const runs = 300
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, route, "e1", "e2")
			h.scriptInOrder(pausing(200*time.Millisecond, 20*time.Millisecond, 0, 0), sheds, nil)
			recorder, isTruncated := h.call("POST", "r1", nil)
			c.Check(isTruncated, qt.IsFalse)
			c.Check(recorder.Body.String(), qt.Equals, wholeStream())
			awaitEngines()
		})
		if t.Failed() {
			return
		}
	}
}
