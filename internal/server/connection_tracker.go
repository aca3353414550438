package server

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// connectionTracker is a listener that knows on which of its connections a request is in progress. It lets a server stop
// without dropping one: Drain ends each connection between two requests, where http.Server.Shutdown closes connections
// on which it has just read a request. It also counts the connections that this process closes although it has read a
// part of a request and has written nothing of its answer. Its setState has to be the ConnState of the http.Server.
type connectionTracker struct {
	net.Listener
	name       string // of the server, for logs
	unanswered atomic.Uint64
	// drainRequests counts the requests that were read while the server drains: the first ones of their connections,
	// and those on connections that had carried others.
	drainRequests struct{ kept, first atomic.Uint64 }

	lock       sync.Mutex // guards the fields below; never held together with the lock of a connection
	open       map[*trackedConnection]struct{}
	isDraining bool
}

// newConnectionTracker tracks the connections that listener accepts for the named server.
func newConnectionTracker(name string, listener net.Listener) *connectionTracker {
	return &connectionTracker{Listener: listener, name: name, open: map[*trackedConnection]struct{}{}}
}

// Unanswered returns the number of requests that were read, at least in part, and got no answer although their callers
// still waited for one.
func (t *connectionTracker) Unanswered() uint64 { return t.unanswered.Load() }

// DrainRequests returns the number of requests of which the first byte was read while the server drained, on
// connections that had carried other requests (kept) and on the others.
func (t *connectionTracker) DrainRequests() (kept, first uint64) {
	return t.drainRequests.kept.Load(), t.drainRequests.first.Load()
}

// Accept returns the next connection, as a *trackedConnection.
func (t *connectionTracker) Accept() (net.Conn, error) {
	connection, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConnection{Conn: connection, tracker: t}
	if t.add(tracked) {
		tracked.drain()
	}
	return tracked, nil
}

// add adds an open connection, and reports whether the server is draining.
func (t *connectionTracker) add(connection *trackedConnection) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.open[connection] = struct{}{}
	return t.isDraining
}

func (t *connectionTracker) remove(connection *trackedConnection) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.open, connection)
}

// Open returns the number of open connections.
func (t *connectionTracker) Open() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.open)
}

// isEmpty reports whether no connection is open.
func (t *connectionTracker) isEmpty() bool { return t.Open() == 0 }

// Drain closes the listener, ends the connections that wait for a request, and lets the others end after the answer to
// the request in progress. It does not wait for them.
func (t *connectionTracker) Drain() error {
	err := t.Close()
	for _, connection := range t.startDraining() {
		connection.drain()
	}
	return err
}

// startDraining makes further connections end after their first request, and returns the open ones.
func (t *connectionTracker) startDraining() []*trackedConnection {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isDraining = true
	return slices.Collect(maps.Keys(t.open))
}

// setState passes on the state of a connection that an http.Server reports.
func (t *connectionTracker) setState(connection net.Conn, state http.ConnState) {
	if tracked, isTracked := connection.(*trackedConnection); isTracked {
		tracked.setState(state)
	}
}

// requestPhase says how far the current request of a connection has come.
type requestPhase int

// The phases of a request.
const (
	phaseIdle       requestPhase = iota // no byte of the next request was read
	phaseUnanswered                     // a part of the request was read, and no byte of its answer was written
	phaseAnswered                       // a part of the answer was written; the rest of the request may still be read
)

// lastReadTimeout is how long a connection that waits for a request is still read from once its server drains. A request
// that has arrived by then is served.
const lastReadTimeout = 100 * time.Millisecond

// trackedConnection is a connection that a connectionTracker has accepted.
type trackedConnection struct {
	net.Conn
	tracker *connectionTracker

	lock       sync.Mutex // guards the fields below
	phase      requestPhase
	requests   int       // of which a byte was read
	isDraining bool      // no further request is read
	deadline   time.Time // for reads, as set by the server
	isPeerGone bool      // a read or a write has failed for another reason than its deadline
	isClosed   bool
}

// Read reads from the connection. While the server drains, it returns io.EOF in place of waiting for a further request.
func (c *trackedConnection) Read(to []byte) (int, error) {
	count, err := c.Conn.Read(to)
	c.lock.Lock()
	defer c.lock.Unlock()
	if count > 0 && c.phase == phaseIdle {
		c.startRequest()
	}
	if count == 0 && c.isDraining && c.phase == phaseIdle && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF
	}
	c.observe(err)
	return count, err
}

// SetReadDeadline sets the deadline of reads. While the server drains, a read that waits for a further request has the
// shorter deadline of drain.
func (c *trackedConnection) SetReadDeadline(deadline time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = deadline
	if c.isDraining && c.phase == phaseIdle {
		return c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// restoreDeadline sets the deadline that the server has set last; the lock is held.
func (c *trackedConnection) restoreDeadline() {
	// It fails only on a closed connection, on which the next read fails as well.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// drain ends the connection if it waits for a request, or else after the answer to the request in progress.
func (c *trackedConnection) drain() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isDraining = true
	c.limitLastRead()
}

// limitLastRead limits the wait for a further request if none is in progress; the lock is held.
func (c *trackedConnection) limitLastRead() {
	if c.isDraining && c.phase == phaseIdle {
		// It fails only on a closed connection, on which the read fails as well.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
}

// Write writes to the connection.
func (c *trackedConnection) Write(from []byte) (int, error) {
	count, err := c.Conn.Write(from)
	c.lock.Lock()
	defer c.lock.Unlock()
	if count > 0 {
		c.phase = phaseAnswered
	}
	c.observe(err)
	return count, err
}

// observe notes whether an error shows that the peer has ended the connection; the lock is held.
func (c *trackedConnection) observe(err error) {
	isOwn := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	c.isPeerGone = c.isPeerGone || err != nil && !isOwn
}

// setState follows the states that the http.Server reports. A request that arrived behind another one is in progress
// without a read of its own, from StateActive on.
func (c *trackedConnection) setState(state http.ConnState) {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch state {
	case http.StateIdle:
		c.phase = phaseIdle
		c.limitLastRead()
	case http.StateActive:
		if c.phase == phaseIdle {
			c.startRequest()
		}
	}
}

// startRequest begins the next request of the connection; the lock is held.
func (c *trackedConnection) startRequest() {
	c.phase = phaseUnanswered
	c.requests++
	if !c.isDraining {
		return
	}
	c.restoreDeadline()
	if c.requests > 1 {
		c.tracker.drainRequests.kept.Add(1)
	} else {
		c.tracker.drainRequests.first.Add(1)
	}
}

// Close closes the connection, and counts it if a request is left without an answer.
func (c *trackedConnection) Close() error {
	c.tracker.remove(c)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseUnanswered && !c.isPeerGone && !c.isClosed {
		c.tracker.unanswered.Add(1)
	}
	c.isClosed = true
	return c.Conn.Close()
}

// closeWhenStopping makes a stopping node close each connection after its next answer.
func closeWhenStopping(isStopping func() bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isStopping() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
