package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// maxResponseHeaderBytes is the maximum size of the headers of an engine's response.
const maxResponseHeaderBytes = 1 << 20

// attemptCanceledError says that an attempt was canceled before its first byte was written to the engine.
type attemptCanceledError struct{ reason string }

func (e attemptCanceledError) Error() string { return "attempt canceled: " + e.reason }

// guardedConnection counts the bytes written to an engine. Before the first byte it asks the dispatcher
// again whether the attempt may still be sent.
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
	// The bytes are counted before the write, because a write that fails may have sent some of them.
	c.written.Add(int64(len(chunk)))
	return c.Conn.Write(chunk)
}

// newTransport returns a transport for a single attempt. With one connection for each attempt, the bytes
// written are exactly those of the attempt. Also, net/http resends a request on its own only if a reused
// connection fails, and here no connection is reused.
func (f *Forwarder) newTransport(wrap func(net.Conn) net.Conn) *http.Transport {
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
			// An attempt that is given up must not reach its engine later.
			kernel.ResetOnClose(connection)
			return wrap(connection), nil
		},
	}
}

// closeBody closes the body of an engine's response. An error is ignored, because the connection is not
// used again and the bytes that were read remain valid.
func closeBody(body io.Closer) {
	_ = body.Close()
}
