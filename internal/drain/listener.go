// Package drain lets an HTTP server stop without leaving a request that it has read unanswered. A Listener knows on which
// of its connections a request is in progress; Drain ends each connection between two requests, where
// http.Server.Shutdown closes connections on which it has just read a request. CloseWhenStopping tells callers in the
// heads of answers that their connection ends. Which requests are still begun while a server drains is up to its
// handler.
package drain

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
)

// Listener is a listener that tracks the connections that it accepts. It counts the requests that are read while it
// drains, and the connections that this process closes although it has read a part of a request and has written
// nothing of its answer. Its SetState has to be the ConnState of the http.Server, and ConnContext its ConnContext.
type Listener struct {
	net.Listener
	name       string // of the server, for logs
	unanswered atomic.Uint64
	// drainRequests counts the requests that were read while the server drains: the first ones of their connections,
	// and those on connections that had carried others.
	drainRequests struct{ kept, first atomic.Uint64 }

	lock       sync.Mutex // guards the fields below; never held together with the lock of a connection
	open       map[*Connection]struct{}
	isDraining bool
}

// NewListener tracks the connections that listener accepts for the named server.
func NewListener(name string, listener net.Listener) *Listener {
	return &Listener{Listener: listener, name: name, open: map[*Connection]struct{}{}}
}

// Name returns the name of the server.
func (l *Listener) Name() string { return l.name }

// Unanswered returns the number of requests that were read, at least in part, and got no answer although their callers
// still waited for one.
func (l *Listener) Unanswered() uint64 { return l.unanswered.Load() }

// DrainRequests returns the number of requests of which the first byte was read while the server drained, on
// connections that had carried other requests (kept) and on the others.
func (l *Listener) DrainRequests() (kept, first uint64) {
	return l.drainRequests.kept.Load(), l.drainRequests.first.Load()
}

// Accept returns the next connection, as a *Connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &Connection{Conn: accepted, listener: l}
	if l.add(connection) {
		connection.drain()
	}
	return connection, nil
}

// add adds an open connection, and reports whether the server is draining.
func (l *Listener) add(connection *Connection) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.open[connection] = struct{}{}
	return l.isDraining
}

func (l *Listener) remove(connection *Connection) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.open, connection)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.open)
}

// IsEmpty reports whether no connection is open.
func (l *Listener) IsEmpty() bool { return l.Open() == 0 }

// Drain closes the listener, ends the connections that wait for a request, and lets the others end after the answer to
// the request in progress. It does not wait for them.
func (l *Listener) Drain() error {
	err := l.Close()
	for _, connection := range l.startDraining() {
		connection.drain()
	}
	return err
}

// startDraining makes further connections end after their first request, and returns the open ones.
func (l *Listener) startDraining() []*Connection {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.isDraining = true
	return slices.Collect(maps.Keys(l.open))
}

// SetState passes on the state of a connection that an http.Server reports.
func (l *Listener) SetState(connection net.Conn, state http.ConnState) {
	if tracked, isTracked := connection.(*Connection); isTracked {
		tracked.setState(state)
	}
}
