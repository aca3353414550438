package server

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// connectionTracker is a listener that counts the connections which this process closes although it has read a part of a
// request and has written nothing of its answer. Its setState has to be the ConnState of the http.Server.
type connectionTracker struct {
	net.Listener
	name       string // of the server, for logs
	unanswered atomic.Uint64
}

// newConnectionTracker tracks the connections that listener accepts for the named server.
func newConnectionTracker(name string, listener net.Listener) *connectionTracker {
	return &connectionTracker{Listener: listener, name: name}
}

// Unanswered returns the number of requests that were read, at least in part, and got no answer although their callers
// still waited for one.
func (t *connectionTracker) Unanswered() uint64 { return t.unanswered.Load() }

// Accept returns the next connection, as a *trackedConnection.
func (t *connectionTracker) Accept() (net.Conn, error) {
	connection, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConnection{Conn: connection, tracker: t}, nil
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

// trackedConnection is a connection that a connectionTracker has accepted.
type trackedConnection struct {
	net.Conn
	tracker *connectionTracker

	lock       sync.Mutex // guards the fields below
	phase      requestPhase
	isPeerGone bool // a read or a write has failed for another reason than its deadline
	isClosed   bool
}

// Read reads from the connection.
func (c *trackedConnection) Read(to []byte) (int, error) {
	count, err := c.Conn.Read(to)
	c.lock.Lock()
	defer c.lock.Unlock()
	if count > 0 && c.phase == phaseIdle {
		c.phase = phaseUnanswered
	}
	c.observe(err)
	return count, err
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

// setState follows the states that the http.Server reports.
func (c *trackedConnection) setState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseIdle
}

// Close closes the connection, and counts it if a request is left without an answer.
func (c *trackedConnection) Close() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseUnanswered && !c.isPeerGone && !c.isClosed {
		c.tracker.unanswered.Add(1)
	}
	c.isClosed = true
	return c.Conn.Close()
}
