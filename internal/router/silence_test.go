package router

import (
	"context"
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

// engineScript serves the requests of one engine in the harness.
type engineScript = func(connection int, r *http.Request, to net.Conn) bool

// sheds rejects a request without running it.
func sheds(_ int, _ *http.Request, to net.Conn) bool {
	writeRaw(to, "HTTP/1.1 503 Full\r\n"+DefaultWire().NotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// breaksOffAfter reads a request and closes the connection after a pause.
func breaksOffAfter(pause time.Duration) engineScript {
	return func(int, *http.Request, net.Conn) bool {
		time.Sleep(pause)
		return false
	}
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
			if id := i + 1; strconv.Itoa(id) > r.Header.Get("Last-Event-Id") {
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
			synctest.Test(t, func(t *testing.T) { checkSilence(t, route, test.first, test.others, test.rest...) })
		})
	}
	// What happens in the same moment happens in any order, so these run many times.
	for name, scripts := range map[string][2]engineScript{
		"a head in the moment of the timeout, the other one sheds":  {pausing(200*ms, 20*ms, 0, 0), sheds},
		"both heads in the same moment":                             {pausing(250*ms, 0, 0, 0), pausing(50*ms, 0, 0, 0)},
		"an event in the moment in which another engine resumes":    {pausing(0, 0, 1050*ms, 50*ms), pausing(50*ms, 0, 0, 50*ms)},
		"an end in the moment in which another engine is asked":     {pausing(0, 0, 0, 1000*ms), pausing(0, 0, 0, 0)},
		"a head in the moment in which the other one breaks off":    {pausing(250*ms, 0, 0, 0), breaksOffAfter(50 * ms)},
		"an event in the moment in which another engine breaks off": {pausing(0, 0, 1000*ms, 0), breaksOff},
	} {
		t.Run(name, func(t *testing.T) {
			const runs = 100
			for range runs {
				synctest.Test(t, func(t *testing.T) { checkSilence(t, route, scripts[0], scripts[1]) })
			}
		})
	}
}

// checkSilence checks that a call gets a whole answer, and that nothing is left of its attempts.
func checkSilence(t *testing.T, route fleetconfig.Route, first, others engineScript, rest ...engineScript) {
	t.Helper()
	c := qt.New(t)
	h := newHarness(t, route, "e1", "e2", "e3", "e4")
	h.scriptInOrder(first, others, rest)
	recorder, isTruncated := h.call("POST", "r1", nil)
	c.Assert(isTruncated, qt.IsFalse)
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	c.Assert(recorder.Body.String(), qt.Equals, wholeStream())
	for id, state := range h.chooser.engines {
		c.Check(state.attempts, qt.HasLen, 0, qt.Commentf("%s", id))
		c.Check(state.outstandingTokens, qt.Equals, int64(0), qt.Commentf("%s", id))
	}
	awaitEngines()
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

// A caller that leaves while two engines are asked ends both attempts.
func TestACallerThatLeavesEndsHedgedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		route := fleetconfig.Route{Kind: fleetconfig.Safe, MaxAttempts: 2, LatencyTarget: 400 * kernel.Millisecond, IsPinned: true}
		h := newHarness(t, route, "e1", "e2")
		closed := make(chan time.Duration, 2)
		startedAt := time.Now()
		untilClosed := func(_ int, _ *http.Request, to net.Conn) bool {
			discardAll(to)
			closed <- time.Since(startedAt)
			return false
		}
		h.scriptInOrder(untilClosed, untilClosed, nil)
		caller, leave := context.WithCancel(t.Context())
		h.callerContext = caller
		time.AfterFunc(time.Second, leave)
		_, isTruncated := h.call("GET", "r1", nil)
		c.Check(isTruncated, qt.IsTrue)
		c.Check([]time.Duration{<-closed, <-closed}, qt.DeepEquals, []time.Duration{time.Second, time.Second})
		c.Check(h.chooser.Counts().Attempts, qt.Equals, uint64(3)) // one of them by preferredOf
	})
}
