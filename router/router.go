package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/fleetconfig"
	"dunlinloom/kernel"
	"dunlinloom/relay"
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
}

// Router serves the callers of a configuration's routes.
type Router struct {
	Settings
	live     atomic.Int64
	held     atomic.Int64
	stopping atomic.Bool
	buffers  sync.Pool
}

// NewRouter makes a router.
func NewRouter(settings Settings) *Router {
	return &Router{Settings: settings, buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }}}
}

// Live is how many requests are being served.
func (u *Router) Live() int64 { return u.live.Load() }

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
	live := u.live.Add(1)
	defer u.live.Add(-1)
	if u.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	config := u.Chooser.Config()
	if config == nil {
		u.refuse(w, &Refusal{"no_spec", "no spec has reached this router yet", http.StatusServiceUnavailable, settled})
		return
	}
	if u.MaxLive > 0 && live > u.MaxLive || u.MaxBodies > 0 && u.held.Load()+max(r.ContentLength, 0) > u.MaxBodies {
		w.Header().Set("Connection", "close")
		u.refuse(w, &Refusal{"crowded", "this process serves as many requests as it may", http.StatusServiceUnavailable, soon})
		return
	}
	route := config.RouteOf(r.Host, r.URL.Path)
	if route == nil {
		u.refuse(w, u.refuseRoute())
		return
	}
	body, refusal := u.readBody(w, r, config, route)
	defer func() { u.held.Add(-int64(len(body))) }()
	if refusal != nil {
		u.refuse(w, refusal)
		return
	}
	request, refusal := u.readRequest(r, route, arrived)
	if refusal != nil {
		u.refuse(w, refusal)
		return
	}
	u.serve(w, r, request, body)
}

// refuseRoute refuses a request that no route takes here. A router that is out of touch may lack
// routes that were added since, and 404 would end what another router serves.
func (u *Router) refuseRoute() *Refusal {
	if u.IsInTouch != nil && !u.IsInTouch() {
		return &Refusal{"unsure_route", "no route known here takes this host and path, and newer ones may exist", http.StatusServiceUnavailable, settled}
	}
	return &Refusal{"no_route", "no route takes this host and path", http.StatusNotFound, 0}
}

func (u *Router) readBody(w http.ResponseWriter, r *http.Request, config *fleetconfig.Config, route *fleetconfig.Route) ([]byte, *Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	bound := config.Caps.BodyBytes
	if bound <= 0 {
		bound = max(u.MaxBody, defaultBody)
	}
	if r.ContentLength > bound {
		w.Header().Set("Connection", "close")
		return nil, &Refusal{"too_large", fmt.Sprintf("a body has at most %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
	}
	var body []byte
	var err error
	limited := io.Reader(http.MaxBytesReader(w, r.Body, bound))
	if idle := config.Caps.IdleTime; idle > 0 {
		control := http.NewResponseController(w)
		limited = newPacedBody(limited, control, idle, route)
		defer control.SetReadDeadline(time.Time{})
	}
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	u.held.Add(int64(len(body)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, &Refusal{"too_large", fmt.Sprintf("a body has at most %d bytes", bound), http.StatusRequestEntityTooLarge, 0}
	case err != nil:
		w.Header().Set("Connection", "close")
		return body, &Refusal{"bad_body", "the body did not arrive whole: " + err.Error(), http.StatusRequestTimeout, 0}
	}
	return body, nil
}

// pacedBody is a caller's body that may rest for so long between two reads, and may take no
// longer as a whole than its route allows: who trickles must not hold a place for ever.
type pacedBody struct {
	io.Reader
	control *http.ResponseController
	rest    time.Duration
	until   time.Time
}

func newPacedBody(body io.Reader, control *http.ResponseController, rest kernel.Micros, route *fleetconfig.Route) *pacedBody {
	whole := longest
	if route.Timeout > 0 {
		whole = max(route.Timeout, rest)
	}
	return &pacedBody{body, control, rest.Duration(), time.Now().Add(whole.Duration())}
}

func (b *pacedBody) Read(to []byte) (int, error) {
	deadline := time.Now().Add(b.rest)
	if deadline.After(b.until) {
		deadline = b.until
	}
	if err := b.control.SetReadDeadline(deadline); err != nil {
		return 0, fmt.Errorf("bound the time of a read: %w", err)
	}
	return b.Reader.Read(to)
}

func (u *Router) readRequest(r *http.Request, route *fleetconfig.Route, arrived kernel.Micros) (Request, *Refusal) {
	bad := func(err error) *Refusal { return &Refusal{"bad_request", err.Error(), http.StatusBadRequest, 0} }
	request := Request{ID: r.Header.Get(u.Wire.RequestID), Arrived: arrived, Route: route, LastEvent: r.Header.Get(u.Wire.LastEvent)}
	var err error
	if request.PromptTokens, request.MaxTokens, err = ParseTokens(u.Wire.Tokens, r.Header.Get(u.Wire.Tokens)); err != nil {
		return request, bad(err)
	}
	if request.Parts, err = ParseParts(u.Wire.Prefix, r.Header.Get(u.Wire.Prefix)); err != nil {
		return request, bad(err)
	}
	request.Deadline = arrived + longest
	if text := r.Header.Get(u.Wire.Deadline); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		if err != nil || !(left >= 0 && left < 1e9) {
			return request, bad(BadHeader{u.Wire.Deadline, "it is not a number of milliseconds"})
		}
		request.Deadline = min(request.Deadline, arrived+kernel.Micros(left*float64(kernel.Millisecond)))
	}
	if route.Timeout > 0 {
		request.Deadline = min(request.Deadline, arrived+route.Timeout)
	}
	request.Service = route.Pick(pickHash(request))
	return request, nil
}

// refusalBody is what a caller can read of a refusal.
type refusalBody struct {
	Error string `json:"error"`
	Why   string `json:"why"`
}

// refuse answers at once, with when to come back.
func (u *Router) refuse(w http.ResponseWriter, refusal *Refusal) {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(refusal.RetryAfter)/float64(kernel.Second), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status)
	// A caller that is gone can't be told; there is nobody else to tell.
	if err := json.NewEncoder(w).Encode(refusalBody{refusal.Reason, refusal.Detail}); err != nil {
		u.Env.Log.V(2).Info("a refusal could not be delivered", "error", err.Error())
	}
}

// serve makes attempts until one ends the request.
func (u *Router) serve(w http.ResponseWriter, r *http.Request, request Request, body []byte) {
	call, refusal := u.Chooser.Arrive(u.Env.Clock.Now(), request)
	if refusal != nil {
		u.refuse(w, refusal)
		return
	}
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
			continue
		case ending == Served || ending == Failed:
			return
		case answer.hasBegun || ending == CallerGone:
			// The caller has part of an answer; only a torn connection tells it so.
			panic(http.ErrAbortHandler)
		default:
			u.refuse(w, refusal)
			return
		}
	}
}

// engineSilent is why an exchange is cut: the engine showed no sign of life.
type engineSilent struct{ span kernel.Micros }

func (b engineSilent) Error() string { return fmt.Sprintf("nothing came for %d us", b.span) }

type deadlineOver struct{}

func (deadlineOver) Error() string { return "the deadline is over" }

// callOff is why an attempt is not sent after all.
type callOff struct{}

func (callOff) Error() string { return "the engine left meanwhile" }

// attempt sends the request to the call's engine and relays what comes.
func (u *Router) attempt(answer *answer, body []byte) (Ending, string) {
	call := answer.call
	engine := call.Attempt.Engine
	ctx, cancel := context.WithDeadlineCause(answer.r.Context(), time.Now().Add((call.Request.Deadline + overtime - u.Env.Clock.Now()).Duration()), deadlineOver{})
	defer cancel()
	blame := func(err error) (Ending, string) {
		switch {
		case answer.r.Context().Err() != nil:
			return CallerGone, "the caller hung up"
		case errors.As(err, new(NotWritten)):
			return NotSent, err.Error()
		}
		return Lost, err.Error()
	}
	for {
		held, err := u.Pool.take(ctx, engine.Address, u.connectionBound(call))
		if err != nil {
			return blame(err)
		}
		now := u.Env.Clock.Now()
		if !u.Chooser.Sent(now, call) {
			u.Pool.keepUnused(held)
			return blame(NotWritten{callOff{}})
		}
		message := u.buffers.Get().(*bytes.Buffer)
		if err := writeMessage(message, answer.r, body, u.newHeaders(call, now, answer)); err != nil {
			u.buffers.Put(message)
			u.Pool.keepUnused(held)
			return blame(NotWritten{err})
		}
		ending, why, err := u.exchange(ctx, answer, held, message)
		u.buffers.Put(message)
		if err == nil {
			return ending, why
		}
		// A kept connection that the engine closed at the very moment took no byte; a new
		// one to the same engine is no other try.
		if errors.As(err, new(NotWritten)) && held.uses > 0 {
			u.Chooser.Unsent(call)
			continue
		}
		if errors.As(err, new(NotWritten)) {
			u.Chooser.Unsent(call)
		}
		return blame(err)
	}
}

// connectionBound is this router's part of an engine's connections.
func (u *Router) connectionBound(call *Call) int {
	config, routers := u.Chooser.view()
	if config == nil {
		return 0
	}
	whole := config.Services[call.Request.Service].MaxConnections
	if whole <= 0 {
		return 0
	}
	return max(whole*9/10/max(routers, 1), 2)
}

func (u *Router) newHeaders(call *Call, now kernel.Micros, answer *answer) http.Header {
	anew := http.Header{}
	set := func(name, value string) { anew[http.CanonicalHeaderKey(name)] = []string{value} }
	left := max((call.Request.Deadline-now)/kernel.Millisecond, 1)
	set(u.Wire.Deadline, strconv.FormatInt(int64(left), 10))
	set(u.Wire.WantInstance, call.Attempt.Engine.ID)
	set(u.Wire.Priority, strconv.Itoa(min(max(call.Request.Route.Priority, 0), 9)))
	if answer.events.lastID != "" && answer.events.lastID != call.Request.LastEvent {
		set(u.Wire.LastEvent, answer.events.lastID)
	}
	return anew
}

// patience is how long an engine may show no sign of life before another one is tried,
// which only a repeatable request can be. Half of the aim leaves the other half for the
// second engine.
func patience(call *Call, hasBegun bool) kernel.Micros {
	route := call.Request.Route
	if !route.IsRepeatable() || call.sent >= max(route.Tries, 1) {
		return 0
	}
	if hasBegun {
		return max(2*route.GapGoal, kernel.Second)
	}
	return max(route.Goal/2, 100*kernel.Millisecond)
}

// exchange carries out one attempt on a connection.
func (u *Router) exchange(ctx context.Context, answer *answer, held *connection, message *bytes.Buffer) (Ending, string, error) {
	call := answer.call
	engine := call.Attempt.Engine
	isKept := false
	defer func() {
		if !isKept {
			u.Pool.drop(held)
		}
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { held.net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sentAt := u.Env.Clock.Now()
	if span := patience(call, answer.hasBegun); span > 0 {
		var silence *time.Timer
		// Set going only once it has its name, by which it sets itself going again.
		silence = time.AfterFunc(longest.Duration(), func() {
			// It may have fired as the exchange ended; set going again, nobody would stop it.
			if ctx.Err() != nil {
				return
			}
			// While other streams of that engine go on it is busy, not gone.
			now := u.Env.Clock.Now()
			if u.Chooser.HeardSince(engine.ID, max(sentAt, now-span)) {
				silence.Reset(span.Duration())
				return
			}
			// Left only for an attempt that may follow: the engine may answer yet.
			if !u.Chooser.MayLeave(now, call) {
				silence.Reset(span.Duration())
				return
			}
			cancel(engineSilent{span})
		})
		silence.Reset(span.Duration())
		defer silence.Stop()
		answer.silence, answer.span = silence, span
		defer func() { answer.silence = nil }()
	}
	response, err := held.exchange(message.Bytes(), answer.r.Method, call.Request.ID, u.Wire.RequestID)
	if err != nil {
		if silent := (engineSilent{}); errors.As(context.Cause(ctx), &silent) && answer.r.Context().Err() == nil && !errors.As(err, new(NotWritten)) {
			return Silent, silent.Error(), nil
		}
		return 0, "", err
	}
	if ending, isNot := u.turnedAway(response); isNot {
		if isReadWhole(response.Body) && stop() {
			isKept = true
			u.Pool.keep(held, response)
		}
		if load, hasLoad := ParseLoad(response.Header.Get(u.Wire.Load)); hasLoad {
			u.Chooser.Figures(u.Env.Clock.Now(), engine.ID, load)
		}
		return ending, "status " + strconv.Itoa(response.StatusCode), nil
	}
	if isUnprovenPromise(response.StatusCode) {
		// To a caller this status says that nothing ran, and the engine does not say so.
		return 0, "", Broken{"read the head", unproven{response.StatusCode}}
	}
	load, hasLoad := ParseLoad(response.Header.Get(u.Wire.Load))
	u.Chooser.Answered(u.Env.Clock.Now(), call, load, hasLoad)
	if response.StatusCode >= 200 && response.StatusCode < 300 && response.Header.Get(u.Wire.Stamp) == "" {
		return 0, "", Broken{"read the head", unstamped{}}
	}
	if answer.hasBegun && response.StatusCode != http.StatusOK {
		return 0, "", Broken{"go on with the stream", notResumed{response.StatusCode}}
	}
	if answer.hasBegun && !isEventStream(response) {
		return 0, "", Broken{"go on with the stream", noStream{}}
	}
	ending, why, err := answer.relay(response)
	if err != nil {
		if silent := (engineSilent{}); errors.As(context.Cause(ctx), &silent) && answer.r.Context().Err() == nil {
			return Silent, silent.Error(), nil
		}
		return 0, "", err
	}
	if ending == Served || ending == Failed {
		if stop() {
			isKept = true
			u.Pool.keep(held, response)
		}
	}
	return ending, why, nil
}

// turnedAwayBytes is the most that is read of a body that nobody gets.
const turnedAwayBytes = 64 << 10

// isReadWhole reads a body that nobody gets and tells whether it came to its end. Only then
// may the connection be kept: what is left of the body would be read as the next answer.
func isReadWhole(body io.Reader) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(body, turnedAwayBytes+1))
	return err == nil && count <= turnedAwayBytes
}

// isUnprovenPromise tells that a status promises callers what only the engine can know.
func isUnprovenPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

// unproven says that an engine's status promises that nothing ran without its word for it.
type unproven struct{ status int }

func (b unproven) Error() string {
	return "the engine answered " + strconv.Itoa(b.status) + " without its word that it did not run the request"
}

// unstamped says that a success lacks the engine's proof.
type unstamped struct{}

func (unstamped) Error() string { return "a success without the engine's stamp" }

// noStream says that what should go on with a stream is none.
type noStream struct{}

func (noStream) Error() string { return "the engine's answer is no stream" }

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// notResumed says that an engine did not go on with a stream.
type notResumed struct{ status int }

func (b notResumed) Error() string { return "the engine answered " + strconv.Itoa(b.status) }

// turnedAway tells that the engine gives its word that it did not run the request.
func (u *Router) turnedAway(response *http.Response) (Ending, bool) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return Moved, true
	case response.Header.Get(u.Wire.NotRun) != "" && response.StatusCode >= 400:
		return SaidNotRun, true
	}
	return 0, false
}

// answer is what a caller gets, from one engine or from several.
type answer struct {
	router   *Router
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	call     *Call
	events   eventSplitter
	hasBegun bool // the head went out
	silence  *time.Timer
	span     kernel.Micros
	buffer   []byte
}

// stray says that a stream went on with an event that the caller has had.
type strayEvent struct{ last, next string }

func (b strayEvent) Error() string {
	return fmt.Sprintf("the stream goes on with event %q after %q", b.next, b.last)
}

// relay passes an engine's answer on as it comes. An error is the engine's failure.
func (a *answer) relay(response *http.Response) (Ending, string, error) {
	call := a.call
	isStream := isEventStream(response)
	ending := Served
	if response.StatusCode >= 500 {
		ending = Failed
	}
	isClosing := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	if !a.hasBegun {
		dropped := relay.ConnectionHeaders(response.Header)
		header := a.w.Header()
		for name, lines := range response.Header {
			if !dropped[name] {
				header[name] = lines
			}
		}
		if response.ContentLength >= 0 {
			header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
		}
		a.w.WriteHeader(response.StatusCode)
		a.hasBegun = true
		call.IsBound = !(isStream && call.Request.Route.IsResumable)
		if isStream {
			if err := a.control.Flush(); err != nil {
				return CallerGone, err.Error(), nil
			}
		}
	}
	config := a.router.Chooser.Config()
	stride := 1
	if config != nil {
		stride = max(config.Services[call.Request.Service].Stride, 1)
	}
	a.events.pending = a.events.pending[:0]
	last, isResumed := a.events.lastID, call.sent > 1 && a.events.lastID != ""
	if a.buffer == nil {
		a.buffer = make([]byte, 4096)
	}
	for {
		count, err := response.Body.Read(a.buffer)
		if count > 0 {
			now := a.router.Env.Clock.Now()
			if a.silence != nil {
				a.silence.Reset(max(a.span, patience(call, true)).Duration())
			}
			chunk := a.buffer[:count]
			if isStream {
				whole, events := a.events.take(chunk)
				if events > 0 {
					a.router.Chooser.Produced(now, call, events*stride)
				}
				if isResumed && events > 0 {
					if next := firstID(whole); !isAfter(last, next) {
						// The splitter has read its ids already; the caller got none of them.
						a.events.lastID = last
						return 0, "", Broken{"go on with the stream", strayEvent{last, next}}
					}
					isResumed = false
				}
				chunk = whole
			}
			if len(chunk) > 0 {
				if gone := a.pass(chunk); gone != nil {
					return CallerGone, gone.Error(), nil
				}
			}
			if isStream {
				a.events.done(len(chunk))
			}
		}
		switch {
		case err == io.EOF && isClosing:
			// Nothing told how long it is, so a crash looks like its end.
			return 0, "", Broken{"read the body", io.ErrUnexpectedEOF}
		case err == io.EOF:
			if len(a.events.pending) > 0 {
				if gone := a.pass(a.events.pending); gone != nil {
					return CallerGone, gone.Error(), nil
				}
			}
			return ending, "", nil
		case err != nil:
			return 0, "", Broken{"read the body", err}
		}
	}
}

func (a *answer) pass(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return err
	}
	return a.control.Flush()
}

// firstID reads the id of the first event.
func firstID(events []byte) string {
	for line := range bytes.SplitSeq(events, []byte{'\n'}) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isAfter tells whether an event may follow another; ids that are no numbers can't be held
// against each other.
func isAfter(last, next string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(next, 10, 64)
	return errBefore != nil || errAfter != nil || after > before
}

// pickHash spreads a route's requests over its services, the same prompt always alike.
func pickHash(request Request) uint64 {
	if request.Route.IsPinned && len(request.Parts) > 0 {
		return sharedHash(request.Parts)
	}
	return PrefixHash([]Part{{ID: request.ID, Tokens: 1}}, 1)
}
