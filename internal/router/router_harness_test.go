package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"
)

// bubbleClock reads the time since start, which is virtual within a synctest bubble. It begins at one second, so that
// no time is zero.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() kernel.Micros { return kernel.MicrosOf(time.Since(c.start)) + kernel.Second }

// harness is a router whose engines run functions that the test provides.
type harness struct {
	t               *testing.T
	lock            sync.Mutex
	engines         map[string]func(connection int, r *http.Request, to net.Conn) bool // by address; false: close
	runs            map[string]int                                                     // requests received, by engine
	dials           map[string]int
	router          *Router
	chooser         *Chooser
	routingTable    *RoutingTable
	suspects        []string
	callerContext   context.Context
	resetOnClose    bool               // engines reset a connection instead of closing it
	serveConnection func(far net.Conn) // serves every connection instead of the engines; nil: the engines do
}

func newHarness(t *testing.T, route fleetconfig.Route, engines ...string) *harness {
	t.Helper()
	h := &harness{t: t, callerContext: t.Context(), engines: map[string]func(int, *http.Request, net.Conn) bool{}, runs: map[string]int{}, dials: map[string]int{}}
	route.Name, route.Host, route.Prefix = "r", "h.example", "/p/"
	if len(route.Splits) == 0 {
		route.Splits = []fleetconfig.Split{{Service: "svc", Weight: 1}}
	}
	config := fleetconfig.NewRouteConfig([]fleetconfig.Route{route}, []fleetconfig.Service{{Name: "svc", Slots: 8, Stride: 2, MaxConnections: 100}})
	h.routingTable = &RoutingTable{Config: config, Routers: 1}
	for _, id := range engines {
		h.routingTable.Engines = append(h.routingTable.Engines, Engine{ID: id, Address: id + ":1", Zone: "z", Service: "svc", Slots: 8})
	}
	clock := bubbleClock{time.Now()}
	h.chooser = NewChooser("router", "z", RetryBudget{Ratio: 0.2, Window: 10 * kernel.Second, Slack: 50})
	h.chooser.SetRoutingTable(h.routingTable)
	pool := NewPool(clock, h.dial, 300*kernel.Millisecond, 5*kernel.Second)
	t.Cleanup(func() { pool.Sweep(func(string) bool { return false }) })
	env := kernel.Env{Context: t.Context(), Clock: clock, Log: klog.Background(), Journal: kernel.NewJournal(64)}
	monitor := invariant.NewMonitor(func(violation invariant.ViolationError) { t.Error(violation) })
	h.router = NewRouter(Settings{Env: env, Invariants: monitor, Wire: DefaultWire(), Chooser: h.chooser, Pool: pool,
		Suspect: func(engine Engine) {
			h.lock.Lock()
			defer h.lock.Unlock()
			h.suspects = append(h.suspects, engine.ID)
		}})
	return h
}

func (h *harness) dial(_ context.Context, _, address string) (net.Conn, error) {
	h.lock.Lock()
	h.dials[address]++
	number := h.dials[address]
	serve := h.engines[address]
	h.lock.Unlock()
	if serve == nil && h.serveConnection == nil {
		return nil, io.ErrClosedPipe
	}
	near, far := net.Pipe()
	if h.serveConnection != nil {
		go h.serveConnection(far)
		return near, nil
	}
	go func() {
		defer closeQuietly(far)
		reader := bufio.NewReader(far)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			h.lock.Lock()
			h.runs[strings.TrimSuffix(address, ":1")]++
			h.lock.Unlock()
			if !serve(number, request, far) {
				return
			}
		}
	}()
	if h.resetOnClose {
		return resetConnection{near}, nil
	}
	return near, nil
}

// call sends one request. isTruncated reports whether the answer was cut off.
func (h *harness) call(method, id string, more http.Header) (recorder *httptest.ResponseRecorder, isTruncated bool) {
	r := httptest.NewRequestWithContext(h.callerContext, method, "http://h.example/p/x?q=1", strings.NewReader("body"))
	r.RequestURI, r.Host = "/p/x?q=1", "h.example"
	wire := DefaultWire()
	r.Header.Set(wire.RequestID, id)
	r.Header.Set(wire.Deadline, "3000")
	r.Header.Set(wire.Tokens, "100,20")
	r.Header.Set(wire.Prefix, "a:80,b:20")
	for name, lines := range more {
		r.Header[name] = lines
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			if err, isError := cause.(error); !isError || !errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			isTruncated = true
		}
	}()
	h.router.ServeHTTP(recorder, r)
	return recorder, false
}

// writeRaw writes text in the role of an engine or a caller. The error is dropped, since the router may close the
// connection early; the test checks what the router has read.
func writeRaw(to io.Writer, text string) { _, _ = io.WriteString(to, text) }

// writeRawf formats a text and writes it like writeRaw.
func writeRawf(to io.Writer, format string, values ...any) {
	writeRaw(to, fmt.Sprintf(format, values...))
}

// discardAll reads until the other side closes.
func discardAll(from io.Reader) { _, _ = io.Copy(io.Discard, from) }

// closeQuietly closes what a test no longer needs; the other side may have closed it already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

// serveQuietly serves until the test closes the server or the listener. The error, which only reports that, is dropped.
func serveQuietly(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

func head(id, more string) string {
	wire := DefaultWire()
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\n%s", wire.RequestID, id, wire.EngineProof, id, more)
}

func plainResponse(body string) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, to net.Conn) bool {
		writeRawf(to, "%sContent-Length: %d\r\n\r\n%s", head(r.Header.Get(DefaultWire().RequestID), ""), len(body), body)
		return true
	}
}

const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: w%d\n\n", id, id) }

// streamFrom responds with a stream of events whose IDs count up to last. The stream begins after the event that the
// request's Last-Event-Id names, or with event 1. After breakAfter events it sends a part of one more and closes the
// connection; a negative breakAfter ends the stream properly.
func streamFrom(last, breakAfter int) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, to net.Conn) bool {
		writeRaw(to, head(r.Header.Get(DefaultWire().RequestID), streamHead))
		next := 1
		if resumedAfter := r.Header.Get("Last-Event-Id"); resumedAfter != "" {
			if number, err := strconv.Atoi(resumedAfter); err == nil {
				next = number
			}
			next++
		}
		for sent := 0; next <= last; next++ {
			if sent == breakAfter {
				writeRaw(to, chunk("id: 9"))
				return false
			}
			writeRaw(to, chunk(event(next)))
			sent++
		}
		writeRaw(to, "0\r\n\r\n")
		return true
	}
}

// preferredOf returns the preferred engine of the harness's prompt, and the others.
func (h *harness) preferredOf() (first string, rest []string) {
	call, rejection := h.chooser.Admit(kernel.Second, Request{ID: "probe", PromptTokens: 1, Segments: []Segment{{"a", 80}, {"b", 20}},
		Deadline: 1 << 60, Route: &h.routingTable.Config.Routes[0], Service: "svc"})
	qt.Assert(h.t, rejection == nil, qt.IsTrue)
	h.chooser.Close(kernel.Second, call.Attempt, CallerDisconnected, "")
	for _, engine := range h.routingTable.Engines {
		if engine.ID != call.Attempt.Engine.ID {
			rest = append(rest, engine.ID)
		}
	}
	return call.Attempt.Engine.ID, rest
}

func (h *harness) script(id string, serve func(int, *http.Request, net.Conn) bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.engines[id+":1"] = serve
}
