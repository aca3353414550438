package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// requestPhase says how far the current request of a connection has come.
type requestPhase int

// The phases of a request.
const (
	phaseIdle       requestPhase = iota // no byte of the next request was read
	phaseUnanswered                     // a part of the request was read, and no byte of its answer was written
	phaseAnswered                       // a part of the answer was written; the rest of the request may still be read
)

// lastReadTimeout is how long a connection that waits for a request is still read from once its server drains. A request
// that has arrived by then is answered.
const lastReadTimeout = 100 * time.Millisecond

// RequestReader is a connection that knows whether a part of a request was read from it that is not being served yet. A
// Connection whose Conn implements it does not end before that request is answered.
type RequestReader interface {
	HasRequestBehind() bool
}

// Connection is a connection that a Listener has accepted.
type Connection struct {
	net.Conn
	listener *Listener

	lock       sync.Mutex // guards the fields below
	phase      requestPhase
	requests   int       // of which a byte was read
	isDraining bool      // no further request is read
	deadline   time.Time // for reads, as set by the server
	isPeerGone bool      // a read or a write has failed for another reason than its deadline
	isClosed   bool
}

// hasRequestBehind reports whether a part of a request was read that is not being served yet.
func (c *Connection) hasRequestBehind() bool {
	reader, isReader := c.Conn.(RequestReader)
	return isReader && reader.HasRequestBehind()
}

// Read reads from the connection. While the server drains, it returns io.EOF in place of waiting for a further request.
func (c *Connection) Read(to []byte) (int, error) {
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
func (c *Connection) SetReadDeadline(deadline time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = deadline
	if c.isDraining && c.phase == phaseIdle {
		return c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// restoreDeadline sets the deadline that the server has set last; the lock is held.
func (c *Connection) restoreDeadline() {
	// It fails only on a closed connection, on which the next read fails as well.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// drain ends the connection if it waits for a request, or else after the answer to the request in progress.
func (c *Connection) drain() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.isDraining = true
	c.limitLastRead()
}

// limitLastRead limits the wait for a further request if none is in progress; the lock is held.
func (c *Connection) limitLastRead() {
	if c.isDraining && c.phase == phaseIdle {
		// It fails only on a closed connection, on which the read fails as well.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
}

// Write writes to the connection.
func (c *Connection) Write(from []byte) (int, error) {
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
func (c *Connection) observe(err error) {
	isOwn := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	c.isPeerGone = c.isPeerGone || err != nil && !isOwn
}

// setState follows the states that the http.Server reports. A request that arrived behind another one is in progress
// without a read of its own.
func (c *Connection) setState(state http.ConnState) {
	hasRequestBehind := c.hasRequestBehind()
	c.lock.Lock()
	defer c.lock.Unlock()
	switch state {
	case http.StateIdle:
		c.phase = phaseIdle
		if hasRequestBehind {
			c.startRequest()
		}
		c.limitLastRead()
	case http.StateActive:
		if c.phase == phaseIdle {
			c.startRequest()
		}
	}
}

// startRequest begins the next request of the connection; the lock is held.
func (c *Connection) startRequest() {
	c.phase = phaseUnanswered
	c.requests++
	if !c.isDraining {
		return
	}
	c.restoreDeadline()
	if c.requests > 1 {
		c.listener.drainRequests.kept.Add(1)
	} else {
		c.listener.drainRequests.first.Add(1)
	}
}

// Close closes the connection, and counts it if a request is left without an answer.
func (c *Connection) Close() error {
	c.listener.remove(c)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.phase == phaseUnanswered && !c.isPeerGone && !c.isClosed {
		c.listener.unanswered.Add(1)
	}
	c.isClosed = true
	return c.Conn.Close()
}
