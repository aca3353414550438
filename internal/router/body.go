package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// reservedBody is the body of a request and the number of bytes that it has reserved of MaxBodyBytesTotal.
type reservedBody struct {
	content  []byte
	reserved int64
}

// reserve reserves bytes of MaxBodyBytesTotal for a part of a body, and reports whether enough were left.
func (rt *Router) reserve(body *reservedBody, count int64) bool {
	if reservedBytes := rt.reservedBytes.Add(count); rt.MaxBodyBytesTotal > 0 && reservedBytes > rt.MaxBodyBytesTotal {
		rt.reservedBytes.Add(-count)
		return false
	}
	body.reserved += count
	return true
}

// release returns the reserved bytes of a body.
func (rt *Router) release(body *reservedBody) {
	rt.unreserve(body.reserved)
	body.reserved = 0
}

// bodyMemoryError says that MaxBodyBytesTotal is reached.
type bodyMemoryError struct{}

func (bodyMemoryError) Error() string {
	return "request bodies in flight have reached the memory limit of this process"
}

// reservingReader reserves the bytes of each read. If they exceed MaxBodyBytesTotal, it returns none of them and a
// bodyMemoryError.
type reservingReader struct {
	io.Reader
	router *Router
	body   *reservedBody
}

func (b reservingReader) Read(to []byte) (int, error) {
	count, err := b.Reader.Read(to)
	if count > 0 && !b.router.reserve(b.body, int64(count)) {
		return 0, bodyMemoryError{}
	}
	return count, err
}

// readBody reads the body of a request. For a body of known length, all bytes are reserved before it is read; for a
// chunked body, the bytes of each read are reserved when they arrive.
func (rt *Router) readBody(w http.ResponseWriter, r *http.Request, body *reservedBody, config *fleetconfig.Config, route *fleetconfig.Route) *Rejection {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	bound := config.Caps.BodyBytes
	if bound <= 0 {
		bound = max(rt.MaxBodyBytes, defaultMaxBodyBytes)
	}
	if r.ContentLength > bound {
		w.Header().Set("Connection", "close")
		return rejectTooLarge(bound)
	}
	limited := io.Reader(http.MaxBytesReader(w, r.Body, bound))
	if idleTimeout := config.Caps.IdleTimeout; idleTimeout > 0 {
		control := http.NewResponseController(w)
		limited = newTimedBody(limited, control, idleTimeout, route)
		// This fails only on a closed connection, which serves no further request.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	if err := rt.readContent(limited, r.ContentLength, body); err != nil {
		return rejectBody(w, err)
	}
	return nil
}

// readContent reads a body to its end. length is the body's Content-Length; zero or less: the length is unknown. The
// error is a bodyMemoryError, an http.MaxBytesError or an error of the connection.
func (rt *Router) readContent(from io.Reader, length int64, body *reservedBody) (err error) {
	if length <= 0 {
		body.content, err = io.ReadAll(reservingReader{from, rt, body})
		return err
	}
	if !rt.reserve(body, length) {
		return bodyMemoryError{}
	}
	body.content = make([]byte, length)
	_, err = io.ReadFull(from, body.content)
	return err
}

// rejectBody rejects a request whose body could not be read.
func rejectBody(w http.ResponseWriter, err error) *Rejection {
	// Without the close, the rest of the body would be parsed as the next request.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rejectTooLarge(tooLarge.Limit)
	}
	if errors.As(err, new(bodyMemoryError)) {
		return rejectForMemory()
	}
	return &Rejection{"bad_body", "read the request body: " + err.Error(), http.StatusRequestTimeout, 0}
}

// rejectTooLarge rejects a request whose body is larger than the limit.
func rejectTooLarge(bound int64) *Rejection {
	return &Rejection{"too_large", fmt.Sprintf("the request body exceeds the limit of %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
}

// timedBody limits how long a caller may pause within its body, and how long the whole body may take. The whole body
// has to arrive within its route's timeout (or idleTimeout, if that is longer), or within maxRequestTime if the route
// has no timeout. Without these limits a slow sender would occupy a request slot indefinitely.
type timedBody struct {
	io.Reader
	control     *http.ResponseController
	idleTimeout time.Duration
	deadline    time.Time
}

func newTimedBody(body io.Reader, control *http.ResponseController, idleTimeout kernel.Micros, route *fleetconfig.Route) *timedBody {
	timeout := maxRequestTime
	if route.Timeout > 0 {
		timeout = max(route.Timeout, idleTimeout)
	}
	return &timedBody{body, control, idleTimeout.Duration(), time.Now().Add(timeout.Duration())}
}

func (b *timedBody) Read(to []byte) (int, error) {
	deadline := time.Now().Add(b.idleTimeout)
	if deadline.After(b.deadline) {
		deadline = b.deadline
	}
	if err := b.control.SetReadDeadline(deadline); err != nil {
		return 0, fmt.Errorf("set the read deadline of the request body: %w", err)
	}
	return b.Reader.Read(to)
}
