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

// reservedBody is a request's body, with how many bytes it takes of those that the process may use for
// bodies.
type reservedBody struct {
	content  []byte
	reserved int64
}

// reserve takes bytes for a part of a body out of MaxBodyBytesTotal, if enough are left.
func (rt *Router) reserve(body *reservedBody, count int64) bool {
	if reservedBytes := rt.reservedBytes.Add(count); rt.MaxBodyBytesTotal > 0 && reservedBytes > rt.MaxBodyBytesTotal {
		rt.reservedBytes.Add(-count)
		return false
	}
	body.reserved += count
	return true
}

// release gives a body's bytes back.
func (rt *Router) release(body *reservedBody) {
	rt.unreserve(body.reserved)
	body.reserved = 0
}

// bodyMemoryError says that MaxBodyBytesTotal is reached.
type bodyMemoryError struct{}

func (bodyMemoryError) Error() string { return "this process holds as many bytes of bodies as it may" }

// reservingReader reserves what comes in before it is stored.
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

// readBody reads a request's body. Its bytes are reserved before they arrive: all at once where the length
// is known, and chunk by chunk where it is not.
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
		// An error is one of a connection that is closed; it has no next request.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	if err := rt.readContent(limited, r.ContentLength, body); err != nil {
		return rejectBody(w, err)
	}
	return nil
}

// readContent reads a body to its end; a length below zero is not known. The error is a bodyMemoryError, an
// http.MaxBytesError or one of the connection.
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
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rejectTooLarge(tooLarge.Limit)
	}
	// What is left of the body must not be taken for the next request.
	w.Header().Set("Connection", "close")
	if errors.As(err, new(bodyMemoryError)) {
		return rejectForMemory()
	}
	return &Rejection{"bad_body", "the body did not arrive whole: " + err.Error(), http.StatusRequestTimeout, 0}
}

// rejectTooLarge rejects a request whose body has more bytes than the bound.
func rejectTooLarge(bound int64) *Rejection {
	return &Rejection{"too_large", fmt.Sprintf("a body has at most %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
}

// timedBody is a caller's body that may be idle for so long between two reads, and may take no longer in
// total than its route allows: a slow sender must not occupy a request's slot without limit.
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
		return 0, fmt.Errorf("bound the time of a read: %w", err)
	}
	return b.Reader.Read(to)
}
