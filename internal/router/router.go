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
	// MaxInFlight limits the requests served at once, MaxBodyBytesTotal the bytes of their bodies; zero: no limit.
	MaxInFlight, MaxBodyBytesTotal int64
	// MaxBodyBytes limits a single body if the configuration sets no limit. The limit is at least defaultMaxBodyBytes.
	MaxBodyBytes int64
	// Suspect is called with the engine of each attempt that ended in NotSent, Unresponsive or ConnectionLost; nil: no
	// call.
	Suspect func(Engine)
	// IsInContact reports whether the control plane has answered this node recently. While it is false, this router may
	// lack newer routes and keys, so it does not reject an unknown route or key with a final status; nil: always true.
	IsInContact func() bool
	// IsConfigStale reports whether this router's configuration may have been out of date for longer than the
	// deployment allows, which is possible even while IsInContact is true. New requests are then rejected; nil: always
	// false.
	IsConfigStale func() bool
	// MayTrustKeys reports whether this router's list of keys is recent enough: none of the keys can have been
	// withdrawn for longer than the deployment allows. While it is false, no key is accepted; nil: always true.
	MayTrustKeys func() bool
	// MayTrustEngines reports whether this router's list of engines is recent enough: none of them can have ended for
	// longer than the deployment allows. While it is false, nothing is sent to any engine; nil: always true.
	MayTrustEngines func() bool
	// Quota holds the part of each tenant's quota that is allocated to this router; nil: quotas are not enforced.
	// RequestQuota requests a larger part from the quota allocator. It is called only if Quota is set.
	Quota        *quota.Account
	RequestQuota func()
	// IsLate reports whether the process is so busy that it handles messages of the control plane late. New requests
	// above a small number in flight are then rejected; nil: always false.
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
	answers       answersInProgress
	failures      failureLog
	buffers       sync.Pool // messages to engines
	copyBuffers   sync.Pool // of copyBufferBytes each
	endMarks      endMarks
}

// NewRouter makes a Router. It passes Invariants to the Chooser and the Pool, so it has to be called before they are
// used.
func NewRouter(settings Settings) *Router {
	settings.Chooser.invariants, settings.Pool.invariants = settings.Invariants, settings.Invariants
	return &Router{Settings: settings, answers: answersInProgress{open: map[*answer]bool{}}, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// InFlight is the number of requests being served.
func (rt *Router) InFlight() int64 { return rt.inFlight.Load() }

// ReservedBytes is the number of bytes reserved for bodies.
func (rt *Router) ReservedBytes() int64 { return rt.reservedBytes.Load() }

// Truncated is the number of answers that were cut off after they had begun, because their engine failed. Callers that
// disconnected are not counted.
func (rt *Router) Truncated() uint64 { return rt.truncated.Load() }

// Drain rejects new requests that may last beyond until, when Stop will be called. Those in progress go on.
func (rt *Router) Drain(until kernel.Micros) { rt.Chooser.Drain(until) }

// Stop ends all requests in progress. A request of which the caller has no part of an answer is rejected; the answers
// that have begun are cut off.
func (rt *Router) Stop() { rt.answers.stop() }

// answersInProgress are the answers that Router.Stop ends.
type answersInProgress struct {
	lock      sync.Mutex // guards the fields below
	open      map[*answer]bool
	isStopped bool
}

// add adds an answer, and stops it if the router has stopped.
func (s *answersInProgress) add(answer *answer) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.open[answer] = true
	if s.isStopped {
		answer.stop(routerStoppedError{})
	}
}

func (s *answersInProgress) remove(answer *answer) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.open, answer)
}

func (s *answersInProgress) stop() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.isStopped = true
	for answer := range s.open {
		answer.stop(routerStoppedError{})
	}
}

// Sweep closes idle connections to engines that can't be reused or are no longer needed. It has to be called about once
// a second; see Pool.Sweep.
func (rt *Router) Sweep() { rt.Pool.Sweep(rt.Chooser.IsWanted) }

const (
	defaultMaxBodyBytes = 4 << 20
	// maxRequestTime is the deadline of a request if neither its caller nor its route sets an earlier one.
	maxRequestTime = 10 * 60 * kernel.Second
	// deadlineGrace is how long the router waits beyond a request's deadline for a response that the engine has sent in
	// time. It is short, because a request that stays for 250 ms beyond its route's timeout costs more than it is
	// worth.
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
	// The check comes before the configuration is read, so that the configuration used is at least as recent as the one
	// checked. A retry of this request is not checked again.
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
	route := config.RouteOf(r.Host, targetOf(r).path())
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
	// The request is authorized again, since keys may have been withdrawn while its body was arriving.
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

// serve admits a request and answers it. It panics with http.ErrAbortHandler if the caller has disconnected or the answer
// was cut off.
func (rt *Router) serve(caller context.Context, w http.ResponseWriter, r *http.Request, request Request, ticket *quota.Ticket, body []byte) {
	call, rejection := rt.Chooser.Admit(rt.Env.Clock.Now(), request)
	if rejection != nil {
		rt.refundQuota(ticket)
		rt.logRejection(request.ID, rejection)
		rt.reject(w, rejection)
		return
	}
	rt.setWriteTimeout(w, request.Deadline+deadlineGrace-rt.Env.Clock.Now())
	answer := newAnswer(rt, w, r, call, ticket, body)
	rt.answers.add(answer)
	defer rt.answers.remove(answer)
	answer.serve(caller)
}
