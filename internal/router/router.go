package router

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// Settings are the parameters of a Router. They must not change once it serves.
type Settings struct {
	Env     kernel.Env
	Wire    Wire
	Chooser *Chooser
	Pool    *Pool
	// MaxInFlight limits the requests served at once, MaxBodyBytesTotal the bytes of their bodies.
	MaxInFlight, MaxBodyBytesTotal int64
	// MaxBodyBytes limits a single body if the configuration sets no limit.
	MaxBodyBytes int64
	// Suspect is called with each engine that could not be reached or sent nothing in time; nil: no call.
	Suspect func(Engine)
	// IsInTouch reports whether the control plane has answered this node recently. While it is false, newer routes
	// and keys may exist that this router does not know; nil: always true.
	IsInTouch func() bool
	// IsConfigStale reports whether the configuration of this router may have been out of date for longer than the
	// deployment allows, although IsInTouch is true; nil: always false.
	IsConfigStale func() bool
	// MayTrustKeys reports whether this router knows of every withdrawn key that the deployment no longer allows it to
	// accept; nil: always true.
	MayTrustKeys func() bool
	// MayTrustEngines reports whether this router knows of every ended engine to which the deployment no longer allows it
	// to send requests; nil: always true.
	MayTrustEngines func() bool
	// Quota holds this router's part of the tenants' quotas, and RequestQuota requests more of it; nil: there are no
	// quotas.
	Quota        *quota.Account
	RequestQuota func()
	// IsLate reports whether the process is so busy that it handles messages of the control plane late; nil: always
	// false.
	IsLate func() bool
	// Invariants counts violations in the router, its Chooser and its Pool; nil: not counted.
	Invariants *invariant.Monitor
}

// Router serves the requests that match the configuration's routes. Its methods may be called from any goroutine.
type Router struct {
	Settings
	inFlight      atomic.Int64
	reservedBytes atomic.Int64
	truncated     atomic.Uint64
	isStopping    atomic.Bool
	failures      failureLog
	buffers       sync.Pool // messages to engines
	copyBuffers   sync.Pool // of copyBufferBytes each
	endMarks      endMarks
}

// NewRouter makes a Router. It passes Invariants to the Chooser and the Pool, so it has to be called before they are
// used.
func NewRouter(settings Settings) *Router {
	settings.Chooser.invariants, settings.Pool.invariants = settings.Invariants, settings.Invariants
	return &Router{Settings: settings, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// InFlight is the number of requests being served.
func (rt *Router) InFlight() int64 { return rt.inFlight.Load() }

// ReservedBytes is the number of bytes reserved for bodies.
func (rt *Router) ReservedBytes() int64 { return rt.reservedBytes.Load() }

// Truncated is the number of answers that were cut off after they had begun.
func (rt *Router) Truncated() uint64 { return rt.truncated.Load() }

// Stop has every further answer close its connection.
func (rt *Router) Stop() { rt.isStopping.Store(true) }

// Sweep closes idle connections that are no longer needed. It is to be called about once a second.
func (rt *Router) Sweep() { rt.Pool.Sweep(rt.Chooser.IsWanted) }

const (
	defaultMaxBodyBytes = 4 << 20
	// maxRequestTime is the deadline of a request if neither its caller nor its route sets an earlier one.
	maxRequestTime = 10 * 60 * kernel.Second
	// deadlineGrace lets a response that an engine sends at the deadline arrive. It is short, because a request that
	// stays for 250 ms beyond its route's timeout costs more than it is worth.
	deadlineGrace = 150 * kernel.Millisecond
)

// ServeHTTP forwards a caller's request to an engine and the response to the caller. If an answer is cut off or the
// caller has disconnected, it panics with http.ErrAbortHandler, which closes the connection.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := rt.Env.Clock.Now()
	rt.setWriteTimeout(w, finalWriteTimeout)
	// net/http may still write after this function has returned; this limits that as well.
	defer rt.setWriteTimeout(w, finalWriteTimeout)
	active := rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
	if rt.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	// Checked before the configuration is read, so that the configuration used is at least as recent as the one checked.
	// A retry of this request is not checked again.
	isStale := rt.IsConfigStale != nil && rt.IsConfigStale()
	config := rt.Chooser.Config()
	if config == nil {
		rt.rejectUnread(w, r, &Rejection{"no_spec", "this router has not received a configuration yet", http.StatusServiceUnavailable, startupRetryAfter})
		return
	}
	if isStale {
		rt.rejectUnread(w, r, rejectStale())
		return
	}
	if rejection := rt.rejectOverload(active); rejection != nil {
		w.Header().Set("Connection", "close")
		rt.rejectUnread(w, r, rejection)
		return
	}
	route := config.RouteOf(r.Host, r.URL.Path)
	if route == nil {
		rt.rejectUnread(w, r, rt.rejectRoute())
		return
	}
	if _, rejection := rt.authorize(r, route); rejection != nil {
		rt.rejectUnread(w, r, rejection)
		return
	}
	body := &reservedBody{}
	defer rt.release(body)
	if rejection := rt.readBody(w, r, body, config, route); rejection != nil {
		rt.rejectEarly(w, r, rejection)
		return
	}
	// Authorized again, since the body may have taken long and keys may have been withdrawn meanwhile.
	sender, rejection := rt.authorize(r, route)
	if rejection != nil {
		rt.rejectEarly(w, r, rejection)
		return
	}
	request, rejection := rt.readRequest(r, route, arrived)
	if rejection != nil {
		rt.rejectEarly(w, r, rejection)
		return
	}
	request.setSender(sender)
	if !rt.mayTrustEngines() {
		rt.rejectEarly(w, r, rejectForUnconfirmedEngines())
		return
	}
	ticket, rejection := rt.claimQuota(r.Context(), &request)
	if rejection != nil {
		rt.rejectEarly(w, r, rejection)
		return
	}
	rt.serve(r.Context(), w, r, request, ticket, body.content)
}

// finalWriteTimeout limits how long a caller may take to read a rejection or the end of an answer.
const finalWriteTimeout = 5 * kernel.Second

// setWriteTimeout limits how long a caller may leave an answer unread. Without the limit a caller that reads nothing
// would occupy a request slot, and one of an engine, indefinitely.
func (rt *Router) setWriteTimeout(w http.ResponseWriter, timeout kernel.Micros) {
	// An error means that the connection has no deadlines, as in some tests; then there is no limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout.Duration()))
}

// serve makes attempts until one of them ends the request.
func (rt *Router) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, request Request, ticket *quota.Ticket, body []byte) {
	call, rejection := rt.Chooser.Admit(rt.Env.Clock.Now(), request)
	if rejection != nil {
		rt.refundQuota(ticket)
		rt.logRejection(request.ID, rejection)
		rt.reject(w, rejection)
		return
	}
	rt.setWriteTimeout(w, request.Deadline+deadlineGrace-rt.Env.Clock.Now())
	answer := &answer{router: rt, w: w, r: r, control: http.NewResponseController(w), call: call}
	answer.events.lastID = request.LastEvent
	defer answer.releaseBuffer()
	for {
		engine := call.Attempt.Engine
		result := rt.attempt(ctx, answer, body)
		outcome := result.outcome
		if (outcome == NotSent || outcome == Unresponsive || outcome == ConnectionLost) && rt.Suspect != nil {
			rt.Suspect(engine)
		}
		isRetry, rejection := rt.Chooser.Close(rt.Env.Clock.Now(), call, outcome, result.reason)
		switch {
		case isRetry:
			if call.mayHaveRun {
				rt.chargeRetryQuota(ticket)
			}
			continue
		case outcome == Served || outcome == Failed:
			return
		case outcome == CallerDisconnected:
			rt.logFailure(call, "caller gone")
			panic(http.ErrAbortHandler)
		case answer.hasBegun:
			rt.truncated.Add(1)
			rt.logFailure(call, "torn")
			// The caller has a part of an answer, and only closing its connection shows that the answer is incomplete.
			panic(http.ErrAbortHandler)
		default:
			if !call.mayHaveRun {
				rt.refundQuota(ticket)
			}
			rt.logFailure(call, rejection.Reason)
			rt.reject(w, rejection)
			return
		}
	}
}
