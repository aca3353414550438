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

// ControlLimits bound what engines and operators may hold at the control address of a deployment. Messages between
// nodes come on an address of their own.
type ControlLimits struct {
	Connections        int // open at a time
	ConnectionsPerPeer int // of one IP address; less, so that no peer can take all
	BodyBytes          int64
	BodyBytesPerPeer   int64
}

// Parts of a process's limits that the control address gets.
const (
	controlFilesDivisor   = 16 // of the files that may be open
	minControlConnections = 64
	maxControlConnections = 1024 // also where the number of files is not known
	peerReserveDivisor    = 16   // of the connections are left to other peers
	controlBodiesDivisor  = 2    // of the memory for callers' bodies
	minControlBodies      = 3 * fleetconfig.MaxBytes
)

// controlLimits derives the bounds of the control address from those of the process.
func (l ProcessLimits) controlLimits() ControlLimits {
	connections := maxControlConnections
	if l.Files > 0 {
		connections = min(max(l.Files/controlFilesDivisor, minControlConnections), maxControlConnections)
	}
	bodies := max(l.BodiesBytes/controlBodiesDivisor, minControlBodies)
	return ControlLimits{
		Connections: connections, ConnectionsPerPeer: connections - max(connections/peerReserveDivisor, 1),
		// Whatever one peer holds, another one's largest configuration has room.
		BodyBytes: bodies, BodyBytesPerPeer: bodies - fleetconfig.MaxBytes,
	}
}

// usage counts what is held, in total and by peer. A peer that holds nothing has no entry.
type usage struct {
	lock   sync.Mutex // guards total and byPeer
	total  int64
	byPeer map[string]int64
}

// acquire counts so much more for a peer, unless a bound forbids it.
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

// release takes back what take counted.
func (u *usage) release(peer string, amount int64) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.total -= amount
	if u.byPeer[peer] -= amount; u.byPeer[peer] == 0 {
		delete(u.byPeer, peer)
	}
}

// held returns what is held in total.
func (u *usage) held() int64 {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.total
}

// hostOf returns the IP address of a remote address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// ControlGuard keeps a control address within its limits, and counts what it rejects.
type ControlGuard struct {
	limits              ControlLimits
	connections, bodies usage
	rejecting           atomic.Int64
	RejectedConnections atomic.Uint64
	RejectedBodies      atomic.Uint64
}

// NewControlGuard makes a guard that holds nothing yet.
func NewControlGuard(limits ControlLimits) *ControlGuard { return &ControlGuard{limits: limits} }

// OpenConnections returns how many connections there are.
func (g *ControlGuard) OpenConnections() int64 { return g.connections.held() }

// HeldBodyBytes returns how many bytes of bodies are reserved or read.
func (g *ControlGuard) HeldBodyBytes() int64 { return g.bodies.held() }

// Listener bounds the connections that a listener accepts. One beyond is answered with 503 and closed.
func (g *ControlGuard) Listener(listener net.Listener) net.Listener {
	return &controlListener{listener, g}
}

type controlListener struct {
	net.Listener
	guard *ControlGuard
}

// Accept returns the next connection that there is room for.
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

// maxRejecting is how many connections are answered with a rejection at a time. Beyond that they are closed at once: a
// flood must not hold files by being rejected either.
const maxRejecting = 32

// reject answers a connection that there is no room for, beside the listener, and closes it.
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

// guardedConnection is released with its first Close.
type guardedConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *guardedConnection) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

const controlRejectionBody = "as many connections are open here as may be; ask another node, or later\n"

// controlRejection is a complete response: nothing of the request has been read.
var controlRejection = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: %d\r\n\r\n%s",
	len(controlRejectionBody), controlRejectionBody)

// Spans of a request at the control address.
const (
	controlBodyTimeout  = 10 * time.Second // for the largest configuration over a slow link
	controlWriteTimeout = 30 * time.Second
)

// BodiesHeldError says that the bodies of other requests leave no room for one.
type BodiesHeldError struct{ Bytes int64 }

func (err BodiesHeldError) Error() string {
	return fmt.Sprintf("bodies of other requests leave no room for %d bytes more; ask another node, or later", err.Bytes)
}

// Handler bounds the bodies that a handler's requests hold. A body of known length is rejected with 503 before it is read;
// of one without, the part that is read counts, and reading beyond the bound fails with a BodiesHeldError.
func (g *ControlGuard) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &countedBody{ReadCloser: r.Body, guard: g, peer: hostOf(r.RemoteAddr)}
		defer body.release()
		if !body.reserve(max(r.ContentLength, 0)) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, BodiesHeldError{r.ContentLength}.Error(), http.StatusServiceUnavailable)
			return
		}
		body.isReserved = r.ContentLength >= 0
		setControlDeadlines(w)
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// setControlDeadlines bounds how long a peer may take to send a body and to read the answer. The server sets other
// deadlines for the next request of a connection.
func setControlDeadlines(w http.ResponseWriter) {
	control, now := http.NewResponseController(w), time.Now()
	// Where connections have no deadlines, as in some tests, nothing can be bounded.
	_ = errors.Join(control.SetReadDeadline(now.Add(controlBodyTimeout)), control.SetWriteDeadline(now.Add(controlWriteTimeout)))
}

// countedBody is a request's body whose bytes count as held until its request is answered.
type countedBody struct {
	io.ReadCloser
	guard      *ControlGuard
	peer       string
	held       int64
	isReserved bool // its whole length is held
}

// reserve holds so many bytes more, or counts a rejection.
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
		return 0, BodiesHeldError{int64(count)}
	}
	return count, err
}
