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
		return &Rejection{"too_large", fmt.Sprintf("a body has at most %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
	}
	var err error
	limited := io.Reader(http.MaxBytesReader(w, r.Body, bound))
	if idle := config.Caps.IdleTimeout; idle > 0 {
		control := http.NewResponseController(w)
		limited = newTimedBody(limited, control, idle, route)
		// An error is one of a connection that is closed; it has no next request.
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	if r.ContentLength > 0 {
		if !rt.reserve(body, r.ContentLength) {
			w.Header().Set("Connection", "close")
			return rejectForMemory()
		}
		body.content = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body.content)
	} else {
		body.content, err = io.ReadAll(reservingReader{limited, rt, body})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, new(bodyMemoryError)):
		w.Header().Set("Connection", "close")
		return rejectForMemory()
	case errors.As(err, &tooLarge):
		return &Rejection{"too_large", fmt.Sprintf("a body has at most %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
	case err != nil:
		w.Header().Set("Connection", "close")
		return &Rejection{"bad_body", "the body did not arrive whole: " + err.Error(), http.StatusRequestTimeout, 0}
	}
	return nil
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
