package server

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinloom/internal/relay"
)

// connectionReserve is the number of connections accepted above the bound, so that operators, engines and the platform's
// probes can still connect during a burst of callers.
const connectionReserve = 128

// LimitedListener limits the connections of the public address. Up to the bound, everyone is served. In the reserve above
// it, callers are rejected and others are served. A connection beyond the reserve gets a 503 response at once, without its
// request being read, and is closed.
type LimitedListener struct {
	net.Listener
	bound    int64
	open     atomic.Int64
	Rejected atomic.Uint64
}

// NewLimitedListener returns a listener that serves callers on at most bound connections.
func NewLimitedListener(listener net.Listener, bound int) *LimitedListener {
	return &LimitedListener{Listener: listener, bound: int64(bound)}
}

// IsOverloaded reports whether more connections than the bound are open, so that callers have to be rejected.
func (l *LimitedListener) IsOverloaded() bool { return l.open.Load() > l.bound }

// Open returns the number of open connections, including those that are being rejected.
func (l *LimitedListener) Open() int64 { return l.open.Load() }

// rejectionResponse is the complete response to a connection beyond the reserve. It says that the request did not run,
// which is certain since none of it was read.
var rejectionResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nRetry-After: 1\r\n" +
	relay.HeaderRun + ": " + string(relay.NotRun) + "\r\nContent-Length: " + strconv.Itoa(len(rejectionBody)) + "\r\n\r\n" + rejectionBody)

const rejectionBody = `{"error":{"type":"crowded","message":"this process has reached its limit of open connections","run":"not_run","retry_after_s":1}}` + "\n"

// Accept returns the next connection within the bound and the reserve, and rejects those beyond.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.bound+connectionReserve {
			return &limitedConnection{Conn: connection, limitedListener: l}, nil
		}
		l.Rejected.Add(1)
		// In a goroutine of its own, so that a slow or silent client does not delay the next Accept.
		go l.reject(connection)
	}
}

// Limits of the time and the reading spent on a rejected connection.
const (
	rejectTimeout     = time.Second
	maxDiscardedBytes = 64 << 10
)

// reject responds to a connection beyond the reserve and closes it.
func (l *LimitedListener) reject(connection net.Conn) {
	defer l.open.Add(-1)
	rejectConnection(connection, rejectionResponse)
}

// rejectConnection writes a complete response to a connection from which nothing was read, and closes it.
func rejectConnection(connection net.Conn, response []byte) {
	// The outcome of the response is settled by then, so an error of Close does not matter.
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(rejectTimeout)); err != nil {
		return
	}
	if _, err := connection.Write(response); err != nil {
		return
	}
	// Closing a connection with unread bytes resets it, and the client loses the response.
	if tcpConnection, isTCP := connection.(*net.TCPConn); isTCP && tcpConnection.CloseWrite() == nil {
		discard(connection, maxDiscardedBytes)
	}
}

// discard reads and drops data until limit bytes were read, the peer closes or the deadline passes.
func discard(connection net.Conn, limit int) {
	chunk := make([]byte, 4096)
	for total := 0; total < limit; {
		count, err := connection.Read(chunk)
		if err != nil {
			return
		}
		total += count
	}
}

type limitedConnection struct {
	net.Conn
	limitedListener *LimitedListener
	once            sync.Once
}

func (c *limitedConnection) Close() error {
	c.once.Do(func() { c.limitedListener.open.Add(-1) })
	return c.Conn.Close()
}

// FileLimitError is returned when the system's limit of open files is too low for the configured limits.
type FileLimitError struct{ Allowed, Needed uint64 }

func (e FileLimitError) Error() string {
	return fmt.Sprintf("the process may open %d files but its settings need %d; raise the file limit or lower the settings \"connections\" and \"live\"", e.Allowed, e.Needed)
}

// checkFileLimit checks that the process may open a file for each connection of callers and to engines, and 256 more for
// peers, the disk and everything else. It raises the soft limit if the hard limit allows it.
func checkFileLimit(connections, maxInFlight int) error {
	needed := uint64(connections + connectionReserve + maxInFlight + 256)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of open files: %w", err)
	}
	if limit.Cur < needed && limit.Max >= needed {
		limit.Cur = needed
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return fmt.Errorf("raise the limit of open files: %w", err)
		}
	}
	if limit.Cur < needed {
		return FileLimitError{limit.Cur, needed}
	}
	return nil
}
