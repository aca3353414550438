package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/fleetconfig"
)

// ControlLimits bounds the connections and request bodies that engines and operators may hold at the control address of a
// deployment. Messages between nodes arrive at a separate address and are not subject to these limits.
type ControlLimits struct {
	Connections        int // open at the same time
	ConnectionsPerPeer int // from one IP address; fewer than Connections, so that no peer can take all
	BodyBytes          int64
	BodyBytesPerPeer   int64
}

// Shares of the process's limits that the control address gets.
const (
	controlFilesDivisor   = 16 // connections are this part of the open-file limit
	minControlConnections = 64
	maxControlConnections = 1024 // also used if the open-file limit is unknown
	peerReserveDivisor    = 16   // this part of the connections is reserved for other peers
	controlBodiesDivisor  = 2    // bodies are this part of the memory for callers' bodies
	minControlBodies      = 3 * fleetconfig.MaxBytes
)

// controlLimits derives the limits of the control address from those of the process.
func (l ProcessLimits) controlLimits() ControlLimits {
	connections := maxControlConnections
	if l.Files > 0 {
		connections = min(max(l.Files/controlFilesDivisor, minControlConnections), maxControlConnections)
	}
	bodies := max(l.BodiesBytes/controlBodiesDivisor, minControlBodies)
	return ControlLimits{
		Connections: connections, ConnectionsPerPeer: connections - max(connections/peerReserveDivisor, 1),
		// However much one peer holds, the largest configuration of another peer has room.
		BodyBytes: bodies, BodyBytesPerPeer: bodies - fleetconfig.MaxBytes,
	}
}

// usage counts units of a resource in use, in total and by peer. A peer that uses none has no entry.
type usage struct {
	lock   sync.Mutex // guards total and byPeer
	total  int64
	byPeer map[string]int64
}

// acquire adds amount to a peer's usage. It returns false and adds nothing if that would exceed a bound.
func (u *usage) acquire(peer string, amount, bound, boundPerPeer int64) bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.total+amount > bound || u.byPeer[peer]+amount > boundPerPeer {
		return false
	}
	if u.byPeer == nil {
		u.byPeer = map[string]int64{}
	}
	u.total += amount
	u.byPeer[peer] += amount
	return true
}

// release subtracts an amount that acquire added.
func (u *usage) release(peer string, amount int64) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.total -= amount
	if u.byPeer[peer] -= amount; u.byPeer[peer] == 0 {
		delete(u.byPeer, peer)
	}
}

// held returns the total in use.
func (u *usage) held() int64 {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.total
}

// hostOf returns the host part of an address, or the address itself if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// ControlGuard enforces the limits of a control address and counts what it rejects.
type ControlGuard struct {
	limits              ControlLimits
	connections, bodies usage
	rejecting           atomic.Int64
	RejectedConnections atomic.Uint64
	RejectedBodies      atomic.Uint64
}

// NewControlGuard returns a guard without connections or bodies. It takes effect through Listener and Handler.
func NewControlGuard(limits ControlLimits) *ControlGuard { return &ControlGuard{limits: limits} }

// OpenConnections returns how many connections are open.
func (g *ControlGuard) OpenConnections() int64 { return g.connections.held() }

// HeldBodyBytes returns how many body bytes of unanswered requests are reserved or have been read.
func (g *ControlGuard) HeldBodyBytes() int64 { return g.bodies.held() }

// Listener wraps a listener so that it accepts connections only within the limits. A connection beyond them is answered
// with 503 and closed.
func (g *ControlGuard) Listener(listener net.Listener) net.Listener {
	return &controlListener{listener, g}
}

type controlListener struct {
	net.Listener
	guard *ControlGuard
}

// Accept returns the next connection within the limits.
func (l *controlListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guard, peer := l.guard, hostOf(connection.RemoteAddr().String())
		if guard.connections.acquire(peer, 1, int64(guard.limits.Connections), int64(guard.limits.ConnectionsPerPeer)) {
			return &guardedConnection{Conn: connection, release: func() { guard.connections.release(peer, 1) }}, nil
		}
		guard.RejectedConnections.Add(1)
		guard.reject(connection)
	}
}

// maxRejecting is how many connections are answered with a rejection at the same time. Further ones are closed without a
// response, so that a flood of rejected connections does not exhaust the file descriptors either.
const maxRejecting = 32

// reject sends a rejection on a connection and closes it, without blocking the listener.
func (g *ControlGuard) reject(connection net.Conn) {
	if g.rejecting.Add(1) > maxRejecting {
		g.rejecting.Add(-1)
		_ = connection.Close()
		return
	}
	go func() {
		defer g.rejecting.Add(-1)
		rejectConnection(connection, controlRejection)
	}()
}

// guardedConnection calls release at its first Close, and only then.
type guardedConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *guardedConnection) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

const controlRejectionBody = "the control address has reached its connection limit; retry later or on another node\n"

// controlRejection is a complete HTTP response, written without reading the request.
var controlRejection = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: %d\r\n\r\n%s",
	len(controlRejectionBody), controlRejectionBody)

// Timeouts of a request at the control address.
const (
	controlBodyTimeout  = 10 * time.Second // enough for the largest configuration over a slow link
	controlWriteTimeout = 30 * time.Second
)

// BodyLimitError reports that a request's body would exceed the limit on the bodies held at the control address.
type BodyLimitError struct{ Bytes int64 }

func (err BodyLimitError) Error() string {
	return fmt.Sprintf("bodies of other requests leave no room for another %d bytes; retry later or on another node", err.Bytes)
}

// Handler wraps a handler so that its requests hold bodies only within the limits. A body of known length counts in full
// and, if there is no room, is rejected with 503 before it is read. A body of unknown length counts as it is read, and a
// read beyond the limit fails with a BodyLimitError.
func (g *ControlGuard) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &countedBody{ReadCloser: r.Body, guard: g, peer: hostOf(r.RemoteAddr)}
		defer body.release()
		if !body.reserve(max(r.ContentLength, 0)) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, BodyLimitError{r.ContentLength}.Error(), http.StatusServiceUnavailable)
			return
		}
		body.isReserved = r.ContentLength >= 0
		setControlDeadlines(w)
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// setControlDeadlines bounds how long a peer may take to send a body and to read the response. The server resets the
// deadlines for the next request on the connection.
func setControlDeadlines(w http.ResponseWriter) {
	control, now := http.NewResponseController(w), time.Now()
	// Errors are ignored: connections without support for deadlines, as in some tests, stay unbounded.
	_ = errors.Join(control.SetReadDeadline(now.Add(controlBodyTimeout)), control.SetWriteDeadline(now.Add(controlWriteTimeout)))
}

// countedBody is a request's body whose bytes count as held until the request is answered.
type countedBody struct {
	io.ReadCloser
	guard      *ControlGuard
	peer       string
	held       int64
	isReserved bool // the entire length was reserved up front
}

// reserve adds amount to the bytes held. It returns false and counts a rejection if there is no room.
func (b *countedBody) reserve(amount int64) bool {
	if !b.guard.bodies.acquire(b.peer, amount, b.guard.limits.BodyBytes, b.guard.limits.BodyBytesPerPeer) {
		b.guard.RejectedBodies.Add(1)
		return false
	}
	b.held += amount
	return true
}

func (b *countedBody) release() { b.guard.bodies.release(b.peer, b.held) }

func (b *countedBody) Read(to []byte) (int, error) {
	count, err := b.ReadCloser.Read(to)
	if !b.isReserved && !b.reserve(int64(count)) {
		return 0, BodyLimitError{int64(count)}
	}
	return count, err
}
