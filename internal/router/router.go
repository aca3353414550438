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
	// MaxLive bounds the requests served at once, MaxBodies the bytes of their bodies.
	MaxLive, MaxBodies int64
	// MaxBody bounds one body where the configuration says nothing.
	MaxBody int64
	// Suspect hears of engines that could not be reached or fell silent; nil: nobody does.
	Suspect func(Engine)
	// IsInTouch tells whether the routes known here are the newest ones, as far as a router can
	// know; nil: they always are.
	IsInTouch func() bool
	// MayTrustKeys tells whether no key that is held here can have been withdrawn for longer than
	// the deployment allows; nil: that is not bounded.
	MayTrustKeys func() bool
	// Quota holds this router's part of the tenants' quotas, AskQuota has it ask for more; nil: no
	// quotas are kept.
	Quota    *quota.Account
	AskQuota func()
	// Invariants counts violations, here, in the chooser and in the pool; nil: nobody does.
	Invariants *invariant.Monitor
}

// Router serves the callers of a configuration's routes.
type Router struct {
	Settings
	live     atomic.Int64
	held     atomic.Int64
	torn     atomic.Uint64
	stopping atomic.Bool
	failures failureLog
	buffers  sync.Pool
}

// NewRouter makes a router.
func NewRouter(settings Settings) *Router {
	settings.Chooser.invariants, settings.Pool.invariants = settings.Invariants, settings.Invariants
	return &Router{Settings: settings, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// Live is how many requests are being served.
func (u *Router) Live() int64 { return u.live.Load() }

// Held is how many bytes of bodies are held.
func (u *Router) Held() int64 { return u.held.Load() }

// Torn is how many answers were cut off after they had begun.
func (u *Router) Torn() uint64 { return u.torn.Load() }

// Stop has every answer from now on close its connection.
func (u *Router) Stop() { u.stopping.Store(true) }

// Sweep tends the idle connections; it is to be called about once a second.
func (u *Router) Sweep() { u.Pool.Sweep(u.Chooser.IsWanted) }

const (
	defaultBody = 4 << 20
	// longest is how long a request is served at most where nothing bounds it.
	longest = 10 * 60 * kernel.Second
	// overtime is for an engine's own answer at the deadline to arrive. A request that is
	// held a quarter of a second past its route's time costs more than it can still earn.
	overtime = 150 * kernel.Millisecond
)

// ServeHTTP takes a caller's request to an engine and the answer back.
func (u *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := u.Env.Clock.Now()
	u.boundWrites(w, lastWrite)
	// What the server still writes when this has returned is bounded as well.
	defer u.boundWrites(w, lastWrite)
	live := u.live.Add(1)
	defer u.live.Add(-1)
	if u.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	config := u.Chooser.Config()
	if config == nil {
		u.refuseUnread(w, r, &Refusal{"no_spec", "no configuration has reached this router yet", http.StatusServiceUnavailable, settled})
		return
	}
	if u.MaxLive > 0 && live > u.MaxLive {
		w.Header().Set("Connection", "close")
		u.refuseUnread(w, r, &Refusal{"crowded", "this process serves as many requests as it may", http.StatusServiceUnavailable, soon})
		return
	}
	route := config.RouteOf(r.Host, r.URL.Path)
	if route == nil {
		u.refuseUnread(w, r, u.refuseRoute())
		return
	}
	if _, refusal := u.authorize(r, route); refusal != nil {
		u.refuseUnread(w, r, refusal)
		return
	}
	body := &heldBody{}
	defer u.release(body)
	if refusal := u.readBody(w, r, body, config, route); refusal != nil {
		u.refuseEarly(w, r, refusal)
		return
	}
	// Once more: the body may have taken its time, and keys may be withdrawn meanwhile.
	sender, refusal := u.authorize(r, route)
	if refusal != nil {
		u.refuseEarly(w, r, refusal)
		return
	}
	request, refusal := u.readRequest(r, route, arrived)
	if refusal != nil {
		u.refuseEarly(w, r, refusal)
		return
	}
	request.setSender(sender)
	claim, refusal := u.claimQuota(r.Context(), &request)
	if refusal != nil {
		u.refuseEarly(w, r, refusal)
		return
	}
	u.serve(w, r, request, claim, body.content)
}

// lastWrite is how long a caller may take to read a refusal, or the end of an answer.
const lastWrite = 5 * kernel.Second

// boundWrites bounds for how long a caller may leave what it is sent unread: one that reads nothing would
// hold its place, and an engine's, for ever.
func (u *Router) boundWrites(w http.ResponseWriter, span kernel.Micros) {
	// Where connections have no deadlines, as in some tests, nothing can be bounded.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(span.Duration()))
}

// refuseRoute refuses a request that no route takes here. A router that is out of touch may lack
// routes that were added since, and 404 would end what another router serves.
func (u *Router) refuseRoute() *Refusal {
	if u.IsInTouch != nil && !u.IsInTouch() {
		return &Refusal{reasonUnsureRoute, "no route known here takes this host and path, and newer ones may exist", http.StatusServiceUnavailable, settled}
	}
	return &Refusal{"no_route", "no route takes this host and path", http.StatusNotFound, 0}
}

// refusalBody is what a caller can read of a refusal.
type refusalBody struct {
	Error string `json:"error"`
	Why   string `json:"why"`
}

// refuseUnread refuses a request whose body has not been read. What is left of it must not be taken for
// the next request.
func (u *Router) refuseUnread(w http.ResponseWriter, r *http.Request, refusal *Refusal) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	u.refuseEarly(w, r, refusal)
}

// refuseEarly refuses a request for which no engine has been looked for.
func (u *Router) refuseEarly(w http.ResponseWriter, r *http.Request, refusal *Refusal) {
	u.Chooser.countRefusal(refusal)
	u.tellRefused(r.Header.Get(u.Wire.RequestID), refusal)
	u.refuse(w, refusal)
}

// refuse answers at once, with when to come back.
func (u *Router) refuse(w http.ResponseWriter, refusal *Refusal) {
	u.boundWrites(w, lastWrite)
	if refusal.isOurs() {
		// Another router may know more: the caller is not to stay with this one.
		w.Header().Set("Connection", "close")
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(refusal.RetryAfter)/float64(kernel.Second), 'f', 3, 64))
	}
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", u.Wire.KeyScheme)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status)
	// A caller that is gone can't be told; there is nobody else to tell.
	if err := json.NewEncoder(w).Encode(refusalBody{refusal.Reason, refusal.Detail}); err != nil {
		u.Env.Log.V(2).Info("a refusal could not be delivered", "error", err.Error())
	}
}

// serve makes attempts until one ends the request.
func (u *Router) serve(w http.ResponseWriter, r *http.Request, request Request, claim *quota.Ticket, body []byte) {
	call, refusal := u.Chooser.Arrive(u.Env.Clock.Now(), request)
	if refusal != nil {
		u.returnQuota(claim)
		u.tellRefused(request.ID, refusal)
		u.refuse(w, refusal)
		return
	}
	u.boundWrites(w, request.Deadline+overtime-u.Env.Clock.Now())
	answer := &answer{router: u, w: w, r: r, control: http.NewResponseController(w), call: call}
	answer.events.lastID = request.LastEvent
	for {
		engine := call.Attempt.Engine
		ending, why := u.attempt(answer, body)
		if (ending == NotSent || ending == Silent || ending == Lost) && u.Suspect != nil {
			u.Suspect(engine)
		}
		isAgain, refusal := u.Chooser.Close(u.Env.Clock.Now(), call, ending, why)
		switch {
		case isAgain:
			if call.mayHaveRun {
				u.chargeAgain(claim)
			}
			continue
		case ending == Served || ending == Failed:
			return
		case ending == CallerGone:
			u.tellFailed(call, "caller gone")
			panic(http.ErrAbortHandler)
		case answer.hasBegun:
			u.torn.Add(1)
			u.tellFailed(call, "torn")
			// The caller has part of an answer; only a torn connection tells it so.
			panic(http.ErrAbortHandler)
		default:
			if !call.mayHaveRun {
				u.returnQuota(claim)
			}
			u.tellFailed(call, refusal.Reason)
			u.refuse(w, refusal)
			return
		}
	}
}
