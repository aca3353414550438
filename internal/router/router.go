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

// Settings are a router's parameters, which stay as they are once it serves.
type Settings struct {
	Env     kernel.Env
	Wire    Wire
	Chooser *Chooser
	Pool    *Pool
	// MaxInFlight bounds the requests served at once, MaxBodyBytesTotal the bytes of their bodies.
	MaxInFlight, MaxBodyBytesTotal int64
	// MaxBodyBytes bounds one body where the configuration says nothing.
	MaxBodyBytes int64
	// Suspect is called with engines that could not be reached or sent nothing in time; nil: nobody is.
	Suspect func(Engine)
	// IsInTouch reports whether the routes known here are the newest ones, as far as a router can
	// know; nil: they always are.
	IsInTouch func() bool
	// IsConfigStale reports whether the configuration known here may have been replaced for longer than the deployment
	// allows, though this router is in touch; nil: it never is.
	IsConfigStale func() bool
	// MayTrustKeys reports whether no key that is known here can have been withdrawn for longer than
	// the deployment allows; nil: that is not bounded.
	MayTrustKeys func() bool
	// MayTrustEngines reports whether no engine that is known here can have ended for longer than requests may still
	// reach it; nil: that is not bounded.
	MayTrustEngines func() bool
	// Quota has this router's part of the tenants' quotas, RequestQuota has it request more; nil: there
	// are no quotas.
	Quota        *quota.Account
	RequestQuota func()
	// IsLate reports whether the process has so much work that news of the control plane takes effect late; nil: it
	// never has.
	IsLate func() bool
	// Invariants counts violations, here, in the chooser and in the pool; nil: none are counted.
	Invariants *invariant.Monitor
}

// Router serves the callers of a configuration's routes. Its methods may be called from any goroutine.
type Router struct {
	Settings
	inFlight      atomic.Int64
	reservedBytes atomic.Int64
	truncated     atomic.Uint64
	isStopping    atomic.Bool
	failures      failureLog
	buffers       sync.Pool // of messages to engines
	copyBuffers   sync.Pool // of copyBufferBytes each
	endMarks      endMarks
}

// NewRouter makes a router. It hands its monitor of invariants to the chooser and the pool, so it has to be
// called before they are used.
func NewRouter(settings Settings) *Router {
	settings.Chooser.invariants, settings.Pool.invariants = settings.Invariants, settings.Invariants
	return &Router{Settings: settings, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// InFlight is how many requests are being served.
func (rt *Router) InFlight() int64 { return rt.inFlight.Load() }

// ReservedBytes is how many bytes are reserved for bodies.
func (rt *Router) ReservedBytes() int64 { return rt.reservedBytes.Load() }

// Truncated is how many answers were cut off after they had begun.
func (rt *Router) Truncated() uint64 { return rt.truncated.Load() }

// Stop has every answer to a request that comes from now on close its connection.
func (rt *Router) Stop() { rt.isStopping.Store(true) }

// Sweep closes idle connections that are no longer of use; it is to be called about once a second.
func (rt *Router) Sweep() { rt.Pool.Sweep(rt.Chooser.IsWanted) }

const (
	defaultMaxBodyBytes = 4 << 20
	// maxRequestTime is how long a request is served at most where nothing bounds it.
	maxRequestTime = 10 * 60 * kernel.Second
	// deadlineGrace is for an engine's own answer at the deadline to arrive. A request that stays for a
	// quarter of a second past its route's time costs more than it is still worth.
	deadlineGrace = 150 * kernel.Millisecond
)

// ServeHTTP takes a caller's request to an engine and the answer back. It panics with http.ErrAbortHandler,
// which closes the connection, where an answer breaks off or the caller has gone.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := rt.Env.Clock.Now()
	rt.setWriteTimeout(w, finalWriteTimeout)
	// What the server still writes when this has returned is bounded as well.
	defer rt.setWriteTimeout(w, finalWriteTimeout)
	live := rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
	if rt.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	// Before the configuration is read: one that was not stale then is not when it is used, whatever a retry of this
	// request uses later.
	isStale := rt.IsConfigStale != nil && rt.IsConfigStale()
	config := rt.Chooser.Config()
	if config == nil {
		rt.rejectUnread(w, r, &Rejection{"no_spec", "no configuration has reached this router yet", http.StatusServiceUnavailable, startupRetryAfter})
		return
	}
	if isStale {
		rt.rejectUnread(w, r, rejectStale())
		return
	}
	if rejection := rt.rejectOverload(live); rejection != nil {
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
	// Once more: the body may have taken long, and keys may be withdrawn meanwhile.
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

// finalWriteTimeout is how long a caller may take to read a rejection, or the end of an answer.
const finalWriteTimeout = 5 * kernel.Second

// setWriteTimeout bounds for how long a caller may leave what it is sent unread: one that reads nothing would
// occupy its slot, and an engine's, without limit.
func (rt *Router) setWriteTimeout(w http.ResponseWriter, timeout kernel.Micros) {
	// Where connections have no deadlines, as in some tests, nothing can be bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout.Duration()))
}

// serve makes attempts until one ends the request.
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
			// The caller has part of an answer; only a connection that breaks off shows that.
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
