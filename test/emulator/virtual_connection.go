package emulator

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is data in transit to one end of a connection: bytes, an end of file, or a reset.
type segment struct {
	at    time.Time
	bytes []byte
	err   error
}

// virtualConn is one end of a connection.
type virtualConn struct {
	network       *Network
	address       string // of the listener; a cut of it affects both ends
	peer          *virtualConn
	delay         time.Duration
	local, remote virtualAddress
	lock          sync.Mutex
	queue         []segment
	held          []segment     // sent to this end during a cut
	changed       chan struct{} // closed and replaced whenever a reader has to check the state again
	deadline      time.Time     // of reads
	writeDeadline time.Time     // writes never wait, but fail once it has passed
	isClosed      bool
	resetsOnClose bool
}

func (c *virtualConn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// deliver queues a segment that arrives at this end after the given time, or once a cut ends.
func (c *virtualConn) deliver(after time.Duration, bytes []byte, err error) {
	if c.network.hold(c, segment{bytes: bytes, err: err}) {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.queue = append(c.queue, segment{time.Now().Add(after), bytes, err})
	c.wake()
}

// addHeld keeps a segment that was sent to this end during a cut. A reset is lost, and so is what was held before it.
// isFirst reports whether nothing was held until now.
func (c *virtualConn) addHeld(held segment) (isFirst bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if errors.Is(held.err, syscall.ECONNRESET) {
		c.held = nil
		return false
	}
	c.held = append(c.held, held)
	return len(c.held) == 1
}

// releaseHeld delivers what was sent to this end during a cut that has ended.
func (c *virtualConn) releaseHeld() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, held := range c.held {
		held.at = time.Now().Add(c.delay)
		c.queue = append(c.queue, held)
	}
	c.held = nil
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
	isLate := !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
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

// Close closes the connection; the peer reads the remaining bytes and then an end of file, or a reset after SetLinger(0).
func (c *virtualConn) Close() error {
	c.lock.Lock()
	resetsOnClose := c.resetsOnClose
	c.lock.Unlock()
	if resetsOnClose {
		c.Abort()
		return nil
	}
	c.closeWith(io.EOF)
	return nil
}

// SetLinger is as that of a net.TCPConn: with zero seconds, Close resets the connection.
func (c *virtualConn) SetLinger(seconds int) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.resetsOnClose = seconds == 0
	return nil
}

// Abort resets the connection.
func (c *virtualConn) Abort() { c.closeWith(syscall.ECONNRESET) }

// Vanish drops the connection without notice to the peer, whose next write is answered with a reset.
func (c *virtualConn) Vanish() { c.closeWith(nil) }

func (c *virtualConn) LocalAddr() net.Addr  { return c.local }
func (c *virtualConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadlines of reads and writes.
func (c *virtualConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetWriteDeadline(at), c.SetReadDeadline(at))
}

func (c *virtualConn) SetReadDeadline(at time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = at
	c.wake()
	return nil
}

// SetWriteDeadline sets the time from which on writes fail.
func (c *virtualConn) SetWriteDeadline(at time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.writeDeadline = at
	return nil
}
