package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/router"
)

// streamingEngine answers each request with one event at once, and with the last one when end is called for the
// request's ID.
type streamingEngine struct {
	lock  sync.Mutex
	ends  map[string]chan struct{}
	begun chan string // IDs of the requests that have arrived
}

func newStreamingEngine() *streamingEngine {
	return &streamingEngine{ends: map[string]chan struct{}{}, begun: make(chan string, 16)}
}

// endOf returns the channel that ends the answer to a request.
func (e *streamingEngine) endOf(id string) chan struct{} {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.ends[id] == nil {
		e.ends[id] = make(chan struct{})
	}
	return e.ends[id]
}

func (e *streamingEngine) end(id string) { close(e.endOf(id)) }

func (e *streamingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wire := router.DefaultWire()
	id := r.Header.Get(wire.RequestID)
	e.begun <- id
	if strings.HasSuffix(r.URL.Path, "/waits") {
		<-e.endOf(id)
	}
	w.Header().Set(wire.RequestID, id)
	w.Header().Set(wire.EngineProof, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: first\n\n")
	_ = http.NewResponseController(w).Flush()
	select {
	case <-e.endOf(id):
		_, _ = io.WriteString(w, "id: 2\ndata: last\n\n")
	case <-r.Context().Done():
	}
}

const plannedStopConfig = `{"version":"1","routes":[{"name":"r","host":"h.example","prefix":"/p/","kind":"stream","timeoutUs":600000000,"tries":1,"service":"s"}],"services":[{"name":"s","slots":8}]}`

// plannedStop is a node of a deployment with one engine, and the requests that a test sends to it.
type plannedStop struct {
	node      *deployedNode
	dataPlane *router.Router
	engine    *streamingEngine
}

func startPlannedStop(c *qt.C) *plannedStop {
	p := &plannedStop{engine: newStreamingEngine()}
	listener := listenLocal(c)
	engines := &http.Server{Handler: p.engine, ReadHeaderTimeout: readHeaderTimeout}
	go serveUntilClosed(engines, listener)
	c.Cleanup(func() { checkClose(c, engines) })
	seed := freeAddress(c)
	p.node = startDeployedRouter(c, validDeployment(c, []string{seed}, seed))
	services := <-p.node.services
	for try, isAccepted := 0, false; !isAccepted; try++ {
		reply, err := services.Runner.Submit(c.Context(), &cluster.Submit{ID: fmt.Sprint("first", try), Operation: cluster.PutConfig, Config: []byte(plannedStopConfig)})
		c.Assert(err, qt.IsNil)
		isAccepted = reply.Outcome == cluster.Accepted
	}
	awaitRegistered(c, services.Runner, registry.EngineRecord{ID: "e", Address: listener.Addr().String(), Zone: "z0", Pool: "s", Slots: 8, Start: 1, Seq: 1})
	awaitStatus(p.node.Readiness, "/ready", http.StatusOK)
	p.dataPlane = services.Router
	return p
}

func serveUntilClosed(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// request returns the bytes of a request that its caller waits for as long as any stop may last.
func (p *plannedStop) request(id, path, body string) string {
	wire := router.DefaultWire()
	return fmt.Sprintf("POST /p/%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 600000\r\nContent-Length: %d\r\n\r\n%s",
		path, wire.RequestID, id, wire.Deadline, len(body), body)
}

// awaitDrain waits until the node accepts no callers any more.
func (p *plannedStop) awaitDrain() {
	for {
		connection, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.node.Callers)
		if err != nil {
			return
		}
		_ = connection.Close()
	}
}

// plannedAnswer is what a caller has got for a request.
type plannedAnswer struct {
	status          int
	isWhole         bool
	hasRetryAfter   bool
	willCloseItself bool
}

// readPlannedAnswer reads an answer to its end.
func readPlannedAnswer(from *bufio.Reader) plannedAnswer {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return plannedAnswer{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	err = errors.Join(err, response.Body.Close())
	return plannedAnswer{response.StatusCode, err == nil, response.Header.Get("Retry-After") != "", response.Close}
}

// A request that a draining node reads is answered, and none is begun that the rest of the stop may break off.
func TestNoRequestIsBegunLongAfterAStop(t *testing.T) {
	refused := plannedAnswer{http.StatusServiceUnavailable, true, true, true}
	for _, test := range []struct {
		name         string
		isBegunLater bool // the first answer begins after the stop
		// first is sent before the stop, second once the node drains; the first request ends in between.
		first, second func(p *plannedStop) string
	}{
		{
			"the next one of a connection whose answer began before the stop", false,
			func(p *plannedStop) string { return p.request("one", "streams", "") },
			func(p *plannedStop) string { return p.request("two", "streams", "") },
		},
		{
			"behind one whose answer began before the stop", false,
			func(p *plannedStop) string { return p.request("one", "streams", "") + p.request("two", "streams", "") },
			func(*plannedStop) string { return "" },
		},
		{
			"behind one whose answer begins while the node drains", true,
			func(p *plannedStop) string { return p.request("one", "waits", "x") + p.request("two", "streams", "") },
			func(*plannedStop) string { return "" },
		},
		{
			"a body that ends while the node drains, behind an answer that began before the stop", false,
			func(p *plannedStop) string {
				return p.request("one", "streams", "") + strings.TrimSuffix(p.request("two", "streams", "body"), "dy")
			},
			func(*plannedStop) string { return "dy" },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := startPlannedStop(c)
			caller := dialLocal(c, p.node.Callers)
			defer checkClose(c, caller)
			answers := bufio.NewReader(caller)
			_, err := io.WriteString(caller, test.first(p))
			c.Assert(err, qt.IsNil)
			c.Assert(<-p.engine.begun, qt.Equals, "one")
			if !test.isBegunLater {
				// The head of the first answer says nothing of a close.
				_, err = answers.Peek(1)
				c.Assert(err, qt.IsNil)
			}
			p.node.stop()
			p.awaitDrain()
			p.engine.end("one")
			c.Assert(readPlannedAnswer(answers).isWhole, qt.IsTrue)
			_, err = io.WriteString(caller, test.second(p))
			c.Assert(err, qt.IsNil)
			c.Check(readPlannedAnswer(answers), qt.Equals, refused)
			c.Assert(<-p.node.ended, qt.IsNil)
			c.Check(p.engine.begun, qt.HasLen, 0)
		})
	}
	t.Run("a body that ends while the node drains", testSlowBody)
	t.Run("no engine has begun to answer at the end of the stop", testUnansweredAtTheEnd)
}

// testSlowBody sends a request whose body ends while the node drains.
func testSlowBody(t *testing.T) {
	c := qt.New(t)
	p := startPlannedStop(c)
	caller := dialLocal(c, p.node.Callers)
	defer checkClose(c, caller)
	whole := p.request("one", "streams", "body")
	_, err := io.WriteString(caller, strings.TrimSuffix(whole, "dy"))
	c.Assert(err, qt.IsNil)
	for p.dataPlane.InFlight() == 0 {
		runtime.Gosched()
	}
	p.node.stop()
	p.awaitDrain()
	_, err = io.WriteString(caller, "dy")
	c.Assert(err, qt.IsNil)
	c.Check(readPlannedAnswer(bufio.NewReader(caller)), qt.Equals, plannedAnswer{http.StatusServiceUnavailable, true, true, true})
	c.Assert(<-p.node.ended, qt.IsNil)
	c.Check(p.engine.begun, qt.HasLen, 0)
}

// testUnansweredAtTheEnd sends a request that no engine has begun to answer at the end of the stop.
func testUnansweredAtTheEnd(t *testing.T) {
	c := qt.New(t)
	p := startPlannedStop(c)
	caller := dialLocal(c, p.node.Callers)
	defer checkClose(c, caller)
	_, err := io.WriteString(caller, p.request("one", "waits", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(<-p.engine.begun, qt.Equals, "one")
	p.node.stop()
	c.Check(readPlannedAnswer(bufio.NewReader(caller)), qt.Equals, plannedAnswer{http.StatusBadGateway, true, false, true})
	c.Assert(<-p.node.ended, qt.IsNil)
	p.engine.end("one")
}

// Callers that send one request after another until the node is gone, on kept and on new connections.
func TestAStopAnswersEveryRequestThatItHasRead(t *testing.T) {
	c := qt.New(t)
	seed := freeAddress(c)
	deployment := validDeployment(c, []string{seed}, seed)
	node := startDeployed(c, deployment, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	services := <-node.services
	awaitStatus(deployment.Callers, "/", http.StatusNoContent)
	const callers = 64
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() { callUntilGone(c.Context(), deployment.Callers) })
	}
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
	calling.Wait()
	c.Assert(services.callerConnections.Unanswered(), qt.Equals, uint64(0))
}

// callUntilGone sends requests to an address until no connection to it can be opened.
func callUntilGone(ctx context.Context, address string) {
	for {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return
		}
		answers := bufio.NewReader(connection)
		for isWhole := true; err == nil && isWhole; {
			if _, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err == nil {
				isWhole = readPlannedAnswer(answers).isWhole
			}
		}
		_ = connection.Close()
	}
}
