package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// maxResponseHeaderBytes bounds the headers of an engine's answer.
const maxResponseHeaderBytes = 1 << 20

// attemptCanceledError is the error of a connection that may not be written to any more.
type attemptCanceledError struct{ reason string }

func (e attemptCanceledError) Error() string { return "round withdrawn: " + e.reason }

// guardedConnection counts what is written to an engine and asks the dispatcher once more, before
// the first byte, whether the attempt may still begin.
type guardedConnection struct {
	net.Conn
	mayWrite func() string
	written  *atomic.Int64
}

func (c *guardedConnection) Write(chunk []byte) (int, error) {
	if c.written.Load() == 0 {
		if why := c.mayWrite(); why != "" {
			return 0, attemptCanceledError{why}
		}
	}
	// Counted before the write: a write that fails may have put bytes on the wire.
	c.written.Add(int64(len(chunk)))
	return c.Conn.Write(chunk)
}

// newTransport makes a transport for a single attempt. With one connection for each attempt it is
// certain which bytes were written for it, and net/http has no reused connection on
// which it would send a request again by itself.
func (f *Forwarder) newTransport(watch func(net.Conn) net.Conn) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, f.Timeouts.Dial.Duration())
			defer cancel()
			connection, err := f.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return watch(connection), nil
		},
	}
}

// closeBody closes the body of an engine's answer that was read to its end or given up. An error is
// dropped: the connection is not used again, and what was read is not changed by it.
func closeBody(body io.Closer) {
	_ = body.Close()
}
