package emulator

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is an in-process network that uses no clock but the time package, so that it runs
// on virtual time in a testing/synctest bubble. Unlike net.Pipe, it behaves like TCP in three
// respects: bytes arrive after a delay, a write to a peer that has closed succeeds and is answered
// with a reset later, and a connection can be dropped without notice to the peer.
type Network struct {
	delay     time.Duration
	lock      sync.Mutex
	listeners map[string]*virtualListener
	isCut     map[string]bool
}

// NewNetwork returns a network with the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*virtualListener{}, isCut: map[string]bool{}}
}

type virtualAddress string

func (virtualAddress) Network() string  { return "virtual" }
func (a virtualAddress) String() string { return string(a) }

type virtualListener struct {
	network  *Network
	address  virtualAddress
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Listen returns a listener on an address. It fails with EADDRINUSE if the address has an open listener.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "virtual", Addr: virtualAddress(address), Err: syscall.EADDRINUSE}
	}
	made := &virtualListener{network: n, address: virtualAddress(address), accepted: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = made
	return made, nil
}

// Cut sets whether dials to an address block until their context ends. Open connections are not affected.
func (n *Network) Cut(address string, isCut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.isCut[address] = isCut
}

// Dial opens a connection after one round trip. Its second parameter, the network's name, is ignored.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "virtual", Addr: virtualAddress(address), Err: err}
	}
	trip := time.NewTimer(2 * n.delay)
	defer trip.Stop()
	select {
	case <-trip.C:
	case <-ctx.Done():
		return fail(ctx.Err())
	}
	n.lock.Lock()
	listener, isCut := n.listeners[address], n.isCut[address]
	n.lock.Unlock()
	if isCut {
		<-ctx.Done()
		return fail(ctx.Err())
	}
	if listener == nil {
		return fail(syscall.ECONNREFUSED)
	}
	near := &virtualConn{delay: n.delay, local: "caller", remote: listener.address, changed: make(chan struct{})}
	far := &virtualConn{delay: n.delay, local: listener.address, remote: "caller", changed: make(chan struct{})}
	near.peer, far.peer = far, near
	select {
	case <-listener.closed:
		return fail(syscall.ECONNREFUSED)
	case listener.accepted <- far:
		return near, nil
	default:
		return fail(syscall.ECONNREFUSED)
	}
}

func (l *virtualListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case conn := <-l.accepted:
		return conn, nil
	}
}

func (l *virtualListener) Close() error {
	l.once.Do(func() {
		l.network.lock.Lock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
		l.network.lock.Unlock()
		close(l.closed)
		for {
			select {
			case conn := <-l.accepted:
				conn.(*virtualConn).Abort()
			default:
				return
			}
		}
	})
	return nil
}

func (l *virtualListener) Addr() net.Addr { return l.address }

// segment is data in transit to one end of a connection: bytes, an end of file, or a reset.
type segment struct {
	at    time.Time
	bytes []byte
	err   error
}

// virtualConn is one end of a connection.
type virtualConn struct {
	peer          *virtualConn
	delay         time.Duration
	local, remote virtualAddress
	lock          sync.Mutex
	queue         []segment
	changed       chan struct{} // closed and replaced whenever a reader has to check the state again
	deadline      time.Time     // of reads; writes never wait
	isClosed      bool
}

func (c *virtualConn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// deliver queues a segment that arrives at this end after the given time.
func (c *virtualConn) deliver(after time.Duration, bytes []byte, err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.queue = append(c.queue, segment{time.Now().Add(after), bytes, err})
	c.wake()
}

func (c *virtualConn) Read(to []byte) (int, error) {
	for {
		c.lock.Lock()
		now := time.Now()
		switch {
		case c.isClosed:
			c.lock.Unlock()
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !now.Before(c.deadline):
			c.lock.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		next := c.deadline
		if len(c.queue) > 0 {
			first := &c.queue[0]
			if !now.Before(first.at) {
				if first.err != nil {
					err := first.err // stays queued, so that every later read fails in the same way
					c.lock.Unlock()
					return 0, err
				}
				count := copy(to, first.bytes)
				if first.bytes = first.bytes[count:]; len(first.bytes) == 0 {
					c.queue = c.queue[1:]
				}
				c.lock.Unlock()
				return count, nil
			}
			if next.IsZero() || first.at.Before(next) {
				next = first.at
			}
		}
		changed := c.changed
		c.lock.Unlock()
		if next.IsZero() {
			<-changed
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *virtualConn) Write(bytes []byte) (int, error) {
	c.lock.Lock()
	isOver := c.isClosed
	for _, known := range c.queue {
		// An end of file or a reset that has arrived means that the peer is gone.
		isOver = isOver || known.err != nil && !time.Now().Before(known.at)
	}
	isLate := !c.deadline.IsZero() && !time.Now().Before(c.deadline)
	c.lock.Unlock()
	switch {
	case isOver:
		return 0, syscall.EPIPE
	case isLate:
		return 0, os.ErrDeadlineExceeded
	}
	c.peer.lock.Lock()
	isGone := c.peer.isClosed
	c.peer.lock.Unlock()
	if isGone {
		c.deliver(2*c.delay, nil, syscall.ECONNRESET)
		return len(bytes), nil
	}
	c.peer.deliver(c.delay, append([]byte(nil), bytes...), nil)
	return len(bytes), nil
}

func (c *virtualConn) closeWith(peerErr error) {
	c.lock.Lock()
	wasClosed := c.isClosed
	if !wasClosed {
		c.isClosed = true
		c.wake()
	}
	c.lock.Unlock()
	if !wasClosed && peerErr != nil {
		c.peer.deliver(c.delay, nil, peerErr)
	}
}

// Close closes the connection; the peer reads the remaining bytes and then an end of file.
func (c *virtualConn) Close() error { c.closeWith(io.EOF); return nil }

// Abort resets the connection.
func (c *virtualConn) Abort() { c.closeWith(syscall.ECONNRESET) }

// Vanish drops the connection without notice to the peer, whose next write is answered with a reset.
func (c *virtualConn) Vanish() { c.closeWith(nil) }

func (c *virtualConn) LocalAddr() net.Addr  { return c.local }
func (c *virtualConn) RemoteAddr() net.Addr { return c.remote }

func (c *virtualConn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

func (c *virtualConn) SetReadDeadline(at time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = at
	c.wake()
	return nil
}

// SetWriteDeadline does nothing, because a write never blocks.
func (c *virtualConn) SetWriteDeadline(time.Time) error { return nil }
