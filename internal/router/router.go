package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// Settings are what a router is told at its start.
type Settings struct {
	Env     kernel.Env
	Wire    Wire
	Chooser *Chooser
	Pool    *Pool
	// MaxInFlight bounds the requests served at once, MaxBodyBytesTotal the bytes of their bodies.
	MaxInFlight, MaxBodyBytesTotal int64
	// MaxBodyBytes bounds one body where the configuration says nothing.
	MaxBodyBytes int64
	// Suspect hears of engines that could not be reached or fell silent; nil: nobody does.
	Suspect func(Engine)
	// IsInTouch tells whether the routes known here are the newest ones, as far as a router can
	// know; nil: they always are.
	IsInTouch func() bool
	// MayTrustKeys tells whether no key that is held here can have been withdrawn for longer than
	// the deployment allows; nil: that is not bounded.
	MayTrustKeys func() bool
	// Quota holds this router's part of the tenants' quotas, RequestQuota has it ask for more; nil: no
	// quotas are kept.
	Quota        *quota.Account
	RequestQuota func()
	// Invariants counts violations, here, in the chooser and in the pool; nil: nobody does.
	Invariants *invariant.Monitor
}

// Router serves the callers of a configuration's routes.
type Router struct {
	Settings
	inFlight      atomic.Int64
	reservedBytes atomic.Int64
	truncated     atomic.Uint64
	isStopping    atomic.Bool
	failures      failureLog
	buffers       sync.Pool
}

// NewRouter makes a router.
func NewRouter(settings Settings) *Router {
	settings.Chooser.invariants, settings.Pool.invariants = settings.Invariants, settings.Invariants
	return &Router{Settings: settings, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// InFlight is how many requests are being served.
func (u *Router) InFlight() int64 { return u.inFlight.Load() }

// ReservedBytes is how many bytes of bodies are held.
func (u *Router) ReservedBytes() int64 { return u.reservedBytes.Load() }

// Truncated is how many answers were cut off after they had begun.
func (u *Router) Truncated() uint64 { return u.truncated.Load() }

// Stop has every answer from now on close its connection.
func (u *Router) Stop() { u.isStopping.Store(true) }

// Sweep tends the idle connections; it is to be called about once a second.
func (u *Router) Sweep() { u.Pool.Sweep(u.Chooser.IsWanted) }

const (
	defaultMaxBodyBytes = 4 << 20
	// maxRequestTime is how long a request is served at most where nothing bounds it.
	maxRequestTime = 10 * 60 * kernel.Second
	// deadlineGrace is for an engine's own answer at the deadline to arrive. A request that is
	// held a quarter of a second past its route's time costs more than it can still earn.
	deadlineGrace = 150 * kernel.Millisecond
)

// ServeHTTP takes a caller's request to an engine and the answer back.
func (u *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := u.Env.Clock.Now()
	u.setWriteTimeout(w, finalWriteTimeout)
	// What the server still writes when this has returned is bounded as well.
	defer u.setWriteTimeout(w, finalWriteTimeout)
	live := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	if u.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	config := u.Chooser.Config()
	if config == nil {
		u.rejectUnread(w, r, &Rejection{"no_spec", "no configuration has reached this router yet", http.StatusServiceUnavailable, startupRetryAfter})
		return
	}
	if u.MaxInFlight > 0 && live > u.MaxInFlight {
		w.Header().Set("Connection", "close")
		u.rejectUnread(w, r, &Rejection{"crowded", "this process serves as many requests as it may", http.StatusServiceUnavailable, shortRetryAfter})
		return
	}
	route := config.RouteOf(r.Host, r.URL.Path)
	if route == nil {
		u.rejectUnread(w, r, u.rejectRoute())
		return
	}
	if _, rejection := u.authorize(r, route); rejection != nil {
		u.rejectUnread(w, r, rejection)
		return
	}
	body := &reservedBody{}
	defer u.release(body)
	if rejection := u.readBody(w, r, body, config, route); rejection != nil {
		u.rejectEarly(w, r, rejection)
		return
	}
	// Once more: the body may have taken its time, and keys may be withdrawn meanwhile.
	sender, rejection := u.authorize(r, route)
	if rejection != nil {
		u.rejectEarly(w, r, rejection)
		return
	}
	request, rejection := u.readRequest(r, route, arrived)
	if rejection != nil {
		u.rejectEarly(w, r, rejection)
		return
	}
	request.setSender(sender)
	ticket, rejection := u.claimQuota(r.Context(), &request)
	if rejection != nil {
		u.rejectEarly(w, r, rejection)
		return
	}
	u.serve(w, r, request, ticket, body.content)
}

// finalWriteTimeout is how long a caller may take to read a refusal, or the end of an answer.
const finalWriteTimeout = 5 * kernel.Second

// setWriteTimeout bounds for how long a caller may leave what it is sent unread: one that reads nothing would
// hold its place, and an engine's, for ever.
func (u *Router) setWriteTimeout(w http.ResponseWriter, timeout kernel.Micros) {
	// Where connections have no deadlines, as in some tests, nothing can be bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout.Duration()))
}

// rejectRoute refuses a request that no route takes here. A router that is out of touch may lack
// routes that were added since, and 404 would end what another router serves.
func (u *Router) rejectRoute() *Rejection {
	if u.IsInTouch != nil && !u.IsInTouch() {
		return &Rejection{reasonUnconfirmedRoute, "no route known here takes this host and path, and newer ones may exist", http.StatusServiceUnavailable, startupRetryAfter}
	}
	return &Rejection{"no_route", "no route takes this host and path", http.StatusNotFound, 0}
}

// rejectionBody is what a caller can read of a refusal.
type rejectionBody struct {
	Error  string `json:"error"`
	Reason string `json:"why"`
}

// rejectUnread refuses a request whose body has not been read. What is left of it must not be taken for
// the next request.
func (u *Router) rejectUnread(w http.ResponseWriter, r *http.Request, rejection *Rejection) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	u.rejectEarly(w, r, rejection)
}

// rejectEarly refuses a request for which no engine has been looked for.
func (u *Router) rejectEarly(w http.ResponseWriter, r *http.Request, rejection *Rejection) {
	u.Chooser.countRejection(rejection)
	u.logRejection(r.Header.Get(u.Wire.RequestID), rejection)
	u.reject(w, rejection)
}

// reject answers at once, with when to come back.
func (u *Router) reject(w http.ResponseWriter, rejection *Rejection) {
	u.setWriteTimeout(w, finalWriteTimeout)
	if rejection.isLocalOnly() {
		// Another router may know more: the caller is not to stay with this one.
		w.Header().Set("Connection", "close")
	}
	if rejection.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(rejection.RetryAfter)/float64(kernel.Second), 'f', 3, 64))
	}
	if rejection.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", u.Wire.KeyScheme)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rejection.Status)
	// A caller that is gone can't be told; there is nobody else to tell.
	if err := json.NewEncoder(w).Encode(rejectionBody{rejection.Reason, rejection.Detail}); err != nil {
		u.Env.Log.V(2).Info("a refusal could not be delivered", "error", err.Error())
	}
}

// serve makes attempts until one ends the request.
func (u *Router) serve(w http.ResponseWriter, r *http.Request, request Request, ticket *quota.Ticket, body []byte) {
	call, rejection := u.Chooser.Admit(u.Env.Clock.Now(), request)
	if rejection != nil {
		u.returnQuota(ticket)
		u.logRejection(request.ID, rejection)
		u.reject(w, rejection)
		return
	}
	u.setWriteTimeout(w, request.Deadline+deadlineGrace-u.Env.Clock.Now())
	answer := &answer{router: u, w: w, r: r, control: http.NewResponseController(w), call: call}
	answer.events.lastID = request.LastEvent
	for {
		engine := call.Attempt.Engine
		outcome, why := u.attempt(answer, body)
		if (outcome == NotSent || outcome == Unresponsive || outcome == ConnectionLost) && u.Suspect != nil {
			u.Suspect(engine)
		}
		isAgain, rejection := u.Chooser.Close(u.Env.Clock.Now(), call, outcome, why)
		switch {
		case isAgain:
			if call.mayHaveRun {
				u.rechargeQuota(ticket)
			}
			continue
		case outcome == Served || outcome == Failed:
			return
		case outcome == CallerDisconnected:
			u.logFailure(call, "caller gone")
			panic(http.ErrAbortHandler)
		case answer.hasBegun:
			u.truncated.Add(1)
			u.logFailure(call, "torn")
			// The caller has part of an answer; only a torn connection tells it so.
			panic(http.ErrAbortHandler)
		default:
			if !call.mayHaveRun {
				u.returnQuota(ticket)
			}
			u.logFailure(call, rejection.Reason)
			u.reject(w, rejection)
			return
		}
	}
}
