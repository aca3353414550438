package emulator

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is an in-process network that uses no clock but the time package, so that it runs
// on virtual time in a testing/synctest bubble. Unlike net.Pipe, it behaves like TCP in four
// respects: bytes arrive after a delay, a write to a peer that has closed succeeds and is answered
// with a reset later, a connection can be dropped without notice to the peer, and what is sent during
// a cut arrives once it has healed, unless its sender resets the connection before.
type Network struct {
	delay     time.Duration
	lock      sync.Mutex // acquired before the lock of a connection
	listeners map[string]*virtualListener
	cuts      map[string]*cut
}

// cut is the state of an address to which nothing gets through, in either direction.
type cut struct {
	held []*virtualConn // the ends with segments that wait for the end of the cut
}

// NewNetwork returns a network with the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: map[string]*virtualListener{}, cuts: map[string]*cut{}}
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

// Cut sets whether an address is cut off. While it is, dials to it block until their context ends, and what is sent on
// open connections, in either direction, is held until the cut ends.
func (n *Network) Cut(address string, isCut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	current := n.cuts[address]
	switch {
	case isCut && current == nil:
		n.cuts[address] = &cut{}
	case !isCut && current != nil:
		delete(n.cuts, address)
		for _, end := range current.held {
			end.releaseHeld()
		}
	}
}

// hold keeps a segment for an end of a connection whose address is cut off, and reports whether it is.
func (n *Network) hold(to *virtualConn, held segment) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	current := n.cuts[to.address]
	if current == nil {
		return false
	}
	if to.addHeld(held) {
		current.held = append(current.held, to)
	}
	return true
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
	listener, isCut := n.listeners[address], n.cuts[address] != nil
	n.lock.Unlock()
	if isCut {
		<-ctx.Done()
		return fail(ctx.Err())
	}
	if listener == nil {
		return fail(syscall.ECONNREFUSED)
	}
	near := &virtualConn{network: n, address: address, delay: n.delay, local: "caller", remote: listener.address, changed: make(chan struct{})}
	far := &virtualConn{network: n, address: address, delay: n.delay, local: listener.address, remote: "caller", changed: make(chan struct{})}
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
