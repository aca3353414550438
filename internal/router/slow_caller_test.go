package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// channelListener accepts the connections that a test sends to its channel.
type channelListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newChannelListener() *channelListener {
	return &channelListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *channelListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *channelListener) Addr() net.Addr { return &net.TCPAddr{} }

// startServer serves the harness's router over HTTP and returns a function that opens a connection to it.
func (h *harness) startServer(t *testing.T) (open func() net.Conn) {
	t.Helper()
	listener := newChannelListener()
	server := &http.Server{Handler: h.router}
	go serveQuietly(server, listener)
	t.Cleanup(func() { closeQuietly(server) })
	return func() net.Conn {
		near, far := net.Pipe()
		listener.conns <- far
		t.Cleanup(func() { closeQuietly(near) })
		return near
	}
}

func post(id string, length int) string {
	wire := DefaultWire()
	return fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: %d\r\n\r\n", wire.RequestID, id, wire.Deadline, length)
}

// A caller that reads nothing must not occupy a request slot, or one of an engine, beyond its deadline.
func TestCallerThatReadsNothingIsDisconnectedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, Timeout: 3 * kernel.Second, LatencyTarget: kernel.Second}, "e1")
		h.script("e1", plainResponse(strings.Repeat("long ", 100_000)))
		open := h.startServer(t)
		callers := []net.Conn{}
		for i := range 3 {
			connection := open()
			_, err := io.WriteString(connection, post(fmt.Sprint("r", i), 0))
			c.Assert(err, qt.IsNil)
			callers = append(callers, connection)
		}
		time.Sleep(time.Second)
		c.Assert(h.router.InFlight(), qt.Equals, int64(3))
		time.Sleep(3 * time.Second)
		c.Assert(h.router.InFlight(), qt.Equals, int64(0))
		// The callers can see that their answers were cut off.
		for _, connection := range callers {
			content, err := io.ReadAll(connection)
			c.Assert(err, qt.IsNil)
			c.Assert(len(content) < 100_000, qt.IsTrue)
		}
		// Receiving a body may take longer than finalWriteTimeout. A rejection after that still arrives, since the
		// timeout starts again when the rejection is written.
		slow := open()
		_, err := io.WriteString(slow, strings.Replace(post("slow", 4), "3000", "x", 1))
		c.Assert(err, qt.IsNil)
		time.Sleep(8 * time.Second)
		_, err = io.WriteString(slow, "body")
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(slow), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusBadRequest)
		closeBody(response)
		// A caller that reads is served repeatedly on one connection, also after an idle period.
		connection := open()
		for i := range 3 {
			_, err := io.WriteString(connection, post(fmt.Sprint("s", i), 0))
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			c.Assert(err, qt.IsNil)
			content, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			closeBody(response)
			c.Assert(content, qt.HasLen, 500_000)
			time.Sleep(20 * time.Second)
		}
	})
}

// Bodies that are still being received count towards the limit as well as complete ones.
func TestBodiesOnTheirWayAreBounded(t *testing.T) {
	const limit, bodySize = 100_000, 60_000
	for _, test := range []struct{ name, head, chunk string }{
		{"with a length", post("r%d", bodySize), strings.Repeat("b", bodySize/2)},
		{"in chunks", strings.Replace(post("r%d", 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1),
			fmt.Sprintf("%x\r\n%s\r\n", bodySize, strings.Repeat("b", bodySize))},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 1, Timeout: 30 * kernel.Second, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", plainResponse("own"))
				h.router.MaxBodyBytesTotal = limit
				open := h.startServer(t)
				first, second := open(), open()
				for i, connection := range []net.Conn{first, second} {
					go writeRaw(connection, fmt.Sprintf(test.head, i)+test.chunk)
					time.Sleep(100 * time.Millisecond)
				}
				c.Assert(second.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				response, err := http.ReadResponse(bufio.NewReader(second), nil)
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				closeBody(response)
				c.Assert(h.router.ReservedBytes() <= limit, qt.IsTrue)
				// Once the first caller has disconnected, its bytes are released.
				closeQuietly(first)
				time.Sleep(time.Second)
				c.Assert(h.router.ReservedBytes(), qt.Equals, int64(0))
				c.Assert(h.runs["e1"], qt.Equals, 0)
			})
		})
	}
}
