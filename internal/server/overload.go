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

// connectionReserve is how many channels more than the bound are still taken, so that
// operators, engines and the platform's probes get through a burst of callers.
const connectionReserve = 128

// LimitedListener counts the channels of the public address. Up to the bound callers are served;
// in the reserve above it only others are; beyond that a channel is answered at once,
// without a look at what it asks for, and closed.
type LimitedListener struct {
	net.Listener
	bound    int64
	open     atomic.Int64
	Rejected atomic.Uint64
}

// NewLimitedListener bounds a listener's channels.
func NewLimitedListener(listener net.Listener, bound int) *LimitedListener {
	return &LimitedListener{Listener: listener, bound: int64(bound)}
}

// IsOverloaded tells whether callers are accepted no more.
func (d *LimitedListener) IsOverloaded() bool { return d.open.Load() > d.bound }

// Open is how many channels there are.
func (d *LimitedListener) Open() int64 { return d.open.Load() }

// rejectionResponse is a complete response: nothing of the request has been read, so nothing ran.
var rejectionResponse = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nRetry-After: 1\r\n" +
	relay.HeaderRun + ": " + string(relay.NotRun) + "\r\nContent-Length: " + strconv.Itoa(len(rejectionBody)) + "\r\n\r\n" + rejectionBody)

const rejectionBody = `{"error":{"type":"crowded","message":"as many channels are open here as may be","run":"not_run","retry_after_s":1}}` + "\n"

// Accept gives the next channel that there is room for.
func (d *LimitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if d.open.Add(1) <= d.bound+connectionReserve {
			return &limitedConnection{Conn: connection, limitedListener: d}, nil
		}
		d.Rejected.Add(1)
		// Neither a slow nor a silent one may hold up the others.
		go d.reject(connection)
	}
}

// Bounds of what a rejected connection may cost.
const (
	rejectTimeout     = time.Second
	maxDiscardedBytes = 64 << 10
)

// reject answers a connection that there is no room for, and closes it.
func (d *LimitedListener) reject(connection net.Conn) {
	defer d.open.Add(-1)
	rejectConnection(connection, rejectionResponse)
}

// rejectConnection writes a complete response to a connection of which nothing was read, and closes it.
func rejectConnection(connection net.Conn, response []byte) {
	// The answer has been written or could not be: a close that fails changes neither.
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(rejectTimeout)); err != nil {
		return
	}
	if _, err := connection.Write(response); err != nil {
		return
	}
	// Closed with unread bytes a connection is reset, and the answer lost with it.
	if half, canHalf := connection.(*net.TCPConn); canHalf && half.CloseWrite() == nil {
		discard(connection, maxDiscardedBytes)
	}
}

// discard reads up to so many bytes, until the other side ends or the deadline comes.
func discard(connection net.Conn, limit int) {
	chunk := make([]byte, 4096)
	for taken := 0; taken < limit; {
		count, err := connection.Read(chunk)
		if err != nil {
			return
		}
		taken += count
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

// FileLimitError says that the system allows too few open files for the bounds set.
type FileLimitError struct{ Allowed, Needed uint64 }

func (b FileLimitError) Error() string {
	return fmt.Sprintf("the process may open %d files and its bounds need %d; raise the limit or lower channels and live", b.Allowed, b.Needed)
}

// checkFileLimit holds the bounds against the system's: a channel each for callers and
// engines, and some for nodes, the disk and the rest.
func checkFileLimit(connections, live int) error {
	needed := uint64(connections + connectionReserve + live + 256)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("ask how many files may be open: %w", err)
	}
	if limit.Cur < needed && limit.Max >= needed {
		limit.Cur = needed
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return fmt.Errorf("raise how many files may be open: %w", err)
		}
	}
	if limit.Cur < needed {
		return FileLimitError{limit.Cur, needed}
	}
	return nil
}
