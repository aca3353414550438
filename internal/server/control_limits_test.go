package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
)

func TestControlLimitsFollowProcessLimits(t *testing.T) {
	for _, test := range []struct {
		files       int
		bodies      int64
		connections int
	}{
		{0, 0, maxControlConnections}, {4100, 15 << 20, 256}, {100, 0, minControlConnections}, {1 << 20, 1 << 30, maxControlConnections},
	} {
		t.Run(strconv.Itoa(test.files), func(t *testing.T) {
			c := qt.New(t)
			limits := ProcessLimits{Files: test.files, BodiesBytes: test.bodies}.controlLimits()
			c.Assert(limits.Connections, qt.Equals, test.connections)
			c.Assert(limits.ConnectionsPerPeer < limits.Connections, qt.IsTrue)
			c.Assert(limits.BodyBytes >= limits.BodyBytesPerPeer+fleetconfig.MaxBytes, qt.IsTrue)
			c.Assert(limits.BodyBytesPerPeer >= fleetconfig.MaxBytes, qt.IsTrue)
		})
	}
}

// remoteConnection is a connection with a substituted remote address.
type remoteConnection struct {
	net.Conn
	address net.Addr
}

func (p remoteConnection) RemoteAddr() net.Addr { return p.address }

// remoteListener gives the accepted connections the remote addresses in hosts, in that order.
type remoteListener struct {
	net.Listener
	hosts []string
}

func (l *remoteListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil || len(l.hosts) == 0 {
		return connection, err
	}
	host := l.hosts[0]
	l.hosts = l.hosts[1:]
	return remoteConnection{connection, &net.TCPAddr{IP: net.ParseIP(host), Port: 1}}, nil
}

// A connection beyond the total or per-peer limit gets a 503 response and is closed. A closed connection frees its slot.
func TestConnectionsOfControlAreBounded(t *testing.T) {
	c := qt.New(t)
	guard := NewControlGuard(ControlLimits{Connections: 3, ConnectionsPerPeer: 2})
	named := &remoteListener{Listener: listenLocal(c), hosts: []string{"10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.3"}}
	listener := guard.Listener(named)
	defer checkClose(c, listener)
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- connection
		}
	}()
	dial := func() net.Conn { return dialLocal(c, named.Addr().String()) }
	isRejected := func(connection net.Conn) {
		c.Helper()
		// If the connection is accepted by mistake, no response comes, so the read needs a deadline.
		c.Assert(connection.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		c.Assert(err, qt.IsNil)
		defer checkClose(c, response.Body)
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, controlRejectionBody)
		c.Assert(connection.Close(), qt.IsNil)
	}
	first, second := dial(), dial()
	defer checkClose(c, second)
	held := []net.Conn{<-accepted, <-accepted}
	isRejected(dial()) // the peer has reached its limit of two
	third := dial()
	defer checkClose(c, third)
	held = append(held, <-accepted)
	isRejected(dial()) // the total limit of three is reached
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(held[0].Close(), qt.IsNil)
	c.Check(ignoreClosed(held[0].Close()), qt.IsNil, qt.Commentf("released once, however often it is closed"))
	c.Assert(guard.OpenConnections(), qt.Equals, int64(2))
	last := dial()
	defer checkClose(c, last)
	held = append(held, <-accepted)
	c.Assert(guard.RejectedConnections.Load(), qt.Equals, uint64(2))
	for _, connection := range held[1:] {
		c.Assert(connection.Close(), qt.IsNil)
	}
	c.Assert(guard.OpenConnections(), qt.Equals, int64(0))
	c.Assert(guard.connections.byPeer, qt.HasLen, 0)
}

// A body of known length beyond the limit is rejected before it is read, and held bytes are released with the response.
func TestBodiesOfControlAreBounded(t *testing.T) {
	c := qt.New(t)
	guard := NewControlGuard(ControlLimits{BodyBytes: 100, BodyBytesPerPeer: 60})
	var inner func()
	read := 0
	handler := guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if inner != nil {
			inner()
		}
		body, err := io.ReadAll(r.Body)
		read = len(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}))
	send := func(host string, length int, isKnown bool) int {
		request := httptest.NewRequestWithContext(c.Context(), http.MethodPut, "/", strings.NewReader(strings.Repeat("x", length)))
		request.RemoteAddr = host + ":1"
		if !isKnown {
			request.ContentLength = -1
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Code
	}
	c.Check(send("10.0.0.1", 60, true), qt.Equals, http.StatusOK)
	c.Check(read, qt.Equals, 60)
	read = 0
	c.Check(send("10.0.0.1", 61, true), qt.Equals, http.StatusServiceUnavailable)
	c.Check(read, qt.Equals, 0)
	c.Check(send("10.0.0.1", 60, false), qt.Equals, http.StatusOK)
	c.Check(send("10.0.0.1", 61, false), qt.Equals, http.StatusServiceUnavailable)
	c.Check(guard.RejectedBodies.Load(), qt.Equals, uint64(2))
	// While one peer holds its maximum, a second one uses the rest, and a third has no room.
	statuses := []int{}
	inner = func() {
		inner = func() {
			inner = nil
			c.Check(guard.HeldBodyBytes(), qt.Equals, int64(100))
			statuses = append(statuses, send("10.0.0.3", 1, true))
		}
		statuses = append(statuses, send("10.0.0.1", 1, true), send("10.0.0.2", 40, true))
	}
	c.Check(send("10.0.0.1", 60, true), qt.Equals, http.StatusOK)
	c.Check(statuses, qt.DeepEquals, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK})
	c.Check(guard.HeldBodyBytes(), qt.Equals, int64(0))
	c.Check(guard.bodies.byPeer, qt.HasLen, 0)
}

// flood keeps a control address under load until the context ends, with connections that send part of a large body and
// then stall, and with a continuous stream of heartbeats.
func flood(ctx context.Context, address string, connections int) *sync.WaitGroup {
	var workers sync.WaitGroup
	repeat := func(act func()) {
		workers.Go(func() {
			for ctx.Err() == nil {
				act()
			}
		})
	}
	for range connections {
		repeat(func() { sendHalfAConfig(ctx, address) })
	}
	client := &http.Client{Transport: &http.Transport{}}
	for range connections / 8 {
		repeat(func() { sendHeartbeat(ctx, client, address) })
	}
	return &workers
}

// sendHalfAConfig sends part of a body and waits until it is rejected or the context ends.
func sendHalfAConfig(ctx context.Context, address string) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	head := fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", fleetconfig.MaxBytes)
	if _, err := io.WriteString(connection, head+strings.Repeat("x", 4000)); err == nil {
		_, _ = io.Copy(io.Discard, connection)
	}
}

func sendHeartbeat(ctx context.Context, client *http.Client, address string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/heartbeat", strings.NewReader("x"))
	if err != nil {
		return
	}
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// floodedControl is the handler of a control address whose heartbeats reach the control loop, as an engine's do.
func floodedControl(services *Services) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /heartbeat", func(w http.ResponseWriter, r *http.Request) {
		record := registry.EngineRecord{ID: "e", Address: "10.9.9.9:1", Zone: "z0", Pool: "p", Start: 1, Seq: 1}
		if _, err := services.Runner.Register(r.Context(), record); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("PUT /config", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

// floodedCore is a core of three nodes whose control addresses are flooded.
type floodedCore struct {
	nodes    []*deployedNode
	services []*Services
}

func startFloodedCore(c *qt.C) *floodedCore {
	f := &floodedCore{}
	seeds := []string{freeAddress(c), freeAddress(c), freeAddress(c)}
	for _, seed := range seeds {
		deployment := validDeployment(c, seeds, seed)
		deployment.Limits.Files = 100
		f.nodes = append(f.nodes, startDeployedWith(c, deployment, http.NotFoundHandler(), floodedControl))
	}
	for _, node := range f.nodes {
		f.services = append(f.services, <-node.services)
	}
	return f
}

// submit submits a configuration at a node and retries until it is accepted. All attempts use one ID: an attempt with an
// unknown outcome may have been accepted, and a retry under another ID would then be rejected, since the versions of a
// deployment's configurations have to rise.
func (f *floodedCore) submit(c *qt.C, node, version int) {
	c.Helper()
	config := strings.Replace(configOne, "{", fmt.Sprintf(`{"version":"%d",`, version), 1)
	for {
		submission := &cluster.Submit{ID: fmt.Sprint("submission-", version), Operation: cluster.PutConfig, Config: []byte(config)}
		reply, err := f.services[node].Runner.Submit(context.Background(), submission)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Outcome, qt.Not(qt.Equals), cluster.Rejected, qt.Commentf("%v", reply))
		if reply.Outcome == cluster.Accepted {
			return
		}
	}
}

// checkBounds checks that a node's control address stays within its limits.
func (f *floodedCore) checkBounds(c *qt.C, node int) {
	c.Helper()
	guard, limits := f.services[node].ControlGuard, ProcessLimits{Files: 100}.controlLimits()
	c.Check(guard.HeldBodyBytes() <= limits.BodyBytes, qt.IsTrue)
	c.Check(guard.OpenConnections() <= int64(limits.Connections), qt.IsTrue)
}

// awaitRejections waits until a node has rejected at least one connection and one body.
func (f *floodedCore) awaitRejections(c *qt.C, node int) {
	c.Helper()
	guard := f.services[node].ControlGuard
	for guard.RejectedConnections.Load() == 0 || guard.RejectedBodies.Load() == 0 {
		f.checkBounds(c, node)
		runtime.Gosched()
	}
}

func (f *floodedCore) stop(c *qt.C, node int) {
	c.Helper()
	f.nodes[node].stop()
	c.Assert(<-f.nodes[node].ended, qt.IsNil)
}

// While the control addresses of all nodes are flooded, the core elects a new leader and accepts a configuration. The
// connections and bodies that the flood holds stay within the limits, and the excess is rejected and counted.
func TestTheCoreElectsUnderAFloodOfControl(t *testing.T) {
	c := qt.New(t)
	f := startFloodedCore(c)
	f.submit(c, 0, 1)
	ctx, endFlood := context.WithCancel(context.Background())
	var floods []*sync.WaitGroup
	for _, node := range f.nodes {
		floods = append(floods, flood(ctx, node.Control, 2*minControlConnections))
	}
	for node := range f.nodes {
		f.awaitRejections(c, node)
	}
	leader := max(slices.IndexFunc(f.services, func(s *Services) bool { return s.Runner.State().IsLeader }), 0)
	f.stop(c, leader)
	left := []int{(leader + 1) % 3, (leader + 2) % 3}
	f.submit(c, left[0], 2)
	for _, node := range left {
		f.checkBounds(c, node)
	}
	endFlood()
	for _, work := range floods {
		work.Wait()
	}
	for _, node := range left {
		f.stop(c, node)
	}
}

// However many requests of engines and operators are queued, a message of another node waits for only a few of them.
func TestMessagesOfNodesDoNotWaitBehindRequests(t *testing.T) {
	c := qt.New(t)
	seed := freeAddress(c)
	node := startDeployed(c, validDeployment(c, []string{seed}, seed), http.NotFoundHandler())
	runner := (<-node.services).Runner
	var handled atomic.Int64
	ctx, end := context.WithCancel(context.Background())
	var requesters sync.WaitGroup
	for range 4 {
		requesters.Go(func() {
			for ctx.Err() == nil {
				runner.postRequest(func() []commands.Command { handled.Add(1); return nil })
			}
		})
	}
	for len(runner.requests)+len(runner.queue) < cap(runner.requests)/2 {
		runtime.Gosched()
	}
	const maxRequestsBetween = 60 // far more than the loop can take between two messages, since it serves its queues in turn
	for range 20 {
		// While the first message blocks the loop, the second one is posted behind as many requests as fit into the queue.
		held, release, seen := make(chan int64), make(chan bool), make(chan int64)
		runner.post(func() []commands.Command { held <- handled.Load(); <-release; return nil })
		before := <-held
		for len(runner.requests)+len(runner.queue) < cap(runner.requests) {
			runtime.Gosched()
		}
		var isPosted atomic.Bool
		go func() {
			runner.post(func() []commands.Command { seen <- handled.Load(); return nil })
			isPosted.Store(true)
		}()
		// The post blocks only if the message queue is already full of entries that are not messages.
		for !isPosted.Load() && len(runner.queue) < cap(runner.queue) {
			runtime.Gosched()
		}
		close(release)
		c.Check(<-seen-before < maxRequestsBetween, qt.IsTrue)
	}
	end()
	requesters.Wait()
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
}
