package router

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// reservedBody is a request's body, with how many bytes of the process's room it takes.
type reservedBody struct {
	content  []byte
	reserved int64
}

// reserve takes room for a part of a body, if there is some left.
func (u *Router) reserve(body *reservedBody, count int64) bool {
	if reservedBytes := u.reservedBytes.Add(count); u.MaxBodyBytesTotal > 0 && reservedBytes > u.MaxBodyBytesTotal {
		u.reservedBytes.Add(-count)
		return false
	}
	body.reserved += count
	return true
}

// release gives a body's room back.
func (u *Router) release(body *reservedBody) {
	u.unreserve(body.reserved)
	body.reserved = 0
}

// bodyMemoryError says that there is no room for another part of a body.
type bodyMemoryError struct{}

func (bodyMemoryError) Error() string { return "this process holds as many bytes of bodies as it may" }

// reservingReader takes room for what comes in before it is kept.
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

// rejectForMemory refuses a request for whose body there is no room.
func rejectForMemory() *Rejection {
	return &Rejection{"crowded", bodyMemoryError{}.Error(), http.StatusServiceUnavailable, shortRetryAfter}
}

// readBody reads a request's body. Its room is taken before it is there: for the whole of it where its
// length is told, and piece by piece where it is not.
func (u *Router) readBody(w http.ResponseWriter, r *http.Request, body *reservedBody, config *fleetconfig.Config, route *fleetconfig.Route) *Rejection {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	bound := config.Caps.BodyBytes
	if bound <= 0 {
		bound = max(u.MaxBodyBytes, defaultMaxBodyBytes)
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
		defer control.SetReadDeadline(time.Time{})
	}
	if r.ContentLength > 0 {
		if !u.reserve(body, r.ContentLength) {
			w.Header().Set("Connection", "close")
			return rejectForMemory()
		}
		body.content = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body.content)
	} else {
		body.content, err = io.ReadAll(reservingReader{limited, u, body})
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

// timedBody is a caller's body that may rest for so long between two reads, and may take no
// longer as a whole than its route allows: who trickles must not hold a place for ever.
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

func (u *Router) readRequest(r *http.Request, route *fleetconfig.Route, arrived kernel.Micros) (Request, *Rejection) {
	bad := func(err error) *Rejection { return &Rejection{"bad_request", err.Error(), http.StatusBadRequest, 0} }
	request := Request{ID: r.Header.Get(u.Wire.RequestID), ArrivedAt: arrived, Route: route, LastEvent: r.Header.Get(u.Wire.LastEvent), Priority: route.Priority}
	if request.ID == "" {
		return request, bad(BadHeaderError{u.Wire.RequestID, "a request has to name itself"})
	}
	var err error
	request.HasTokens = r.Header.Get(u.Wire.Tokens) != ""
	if request.PromptTokens, request.MaxTokens, err = ParseTokens(u.Wire.Tokens, r.Header.Get(u.Wire.Tokens)); err != nil {
		return request, bad(err)
	}
	if request.Segments, err = ParseSegments(u.Wire.Prefix, r.Header.Get(u.Wire.Prefix)); err != nil {
		return request, bad(err)
	}
	request.Deadline = arrived + maxRequestTime
	if text := r.Header.Get(u.Wire.Deadline); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || !(left >= 0 && left < 1e9) {
			return request, bad(BadHeaderError{u.Wire.Deadline, "it is not a number of milliseconds"})
		}
		request.Deadline = min(request.Deadline, arrived+kernel.Micros(left*float64(kernel.Millisecond)))
	}
	if route.Timeout > 0 {
		request.Deadline = min(request.Deadline, arrived+route.Timeout)
	}
	request.Service = u.Chooser.pickService(arrived, route, pickHash(request))
	return request, nil
}

// pickHash spreads a route's requests over its services, the same prompt always alike. The last part
// counts as well: it is one session's or request's own, and without it the few prompts that all share
// would decide over whole services.
func pickHash(request Request) uint64 {
	if request.Route.IsPinned && len(request.Segments) > 0 {
		return PrefixHash(request.Segments, math.MaxInt)
	}
	return PrefixHash([]Segment{{ID: request.ID, Tokens: 1}}, 1)
}
