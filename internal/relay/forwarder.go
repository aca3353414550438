package relay

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/kernel"
)

// Headers of the project's interfaces.
const (
	HeaderRequest = "Dunlinloom-Request" // the request's id, to callers and engines
	HeaderKind    = "Dunlinloom-Kind"    // the kind of request, from callers
	HeaderEngine  = "Dunlinloom-Engine"  // the engine that served, to callers
	HeaderRun     = "Dunlinloom-Run"     // not_run or may_have_run, on rejects
	HeaderNotRun  = "Dunlinloom-Not-Run" // an engine's word that it ran nothing
	HeaderRunID   = "Dunlinloom-Run-Id"  // names a run that can be resumed
	HeaderStart   = "Dunlinloom-Start"   // an engine's start identity
	HeaderOffset  = "Dunlinloom-Offset"  // where a resumed body begins
	// HeaderRevision names the revision that a request was handled under.
	HeaderRevision = "Dunlinloom-Generation"
)

// Timeouts hold the times the forwarder keeps to.
type Timeouts struct {
	Dial        kernel.Micros
	Engine      kernel.Micros // an engine that sends nothing for so long is lost
	CallerBody  kernel.Micros // in which a caller has to deliver its body
	CallerStall kernel.Micros // a caller that takes nothing for so long is gone
}

// DefaultTimeouts suit engines that answer within seconds.
func DefaultTimeouts() Timeouts {
	return Timeouts{Dial: kernel.Second, Engine: 20 * kernel.Second, CallerBody: 20 * kernel.Second, CallerStall: 60 * kernel.Second}
}

// Forwarder serves callers: it carries out what the dispatcher decides.
type Forwarder struct {
	Env        kernel.Env
	Dispatcher *Dispatcher
	Timeouts   Timeouts
	// Dial opens a channel to an engine.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspect hears of engines that could not be reached; nil: nobody does.
	Suspect func(Engine)
	// Restarted hears of engines that answer under a later start than was known.
	Restarted func(Engine, uint64)
	// Limits are what may be held at once.
	Limits Limits
	// IsOverloaded tells that the process has no channel to spare; nil: it always has.
	IsOverloaded func() bool
	// InFlightGroup waits for every accepted request to get its answer.
	InFlightGroup sync.WaitGroup
	inFlight      atomic.Int64
	reservedBytes atomic.Int64 // bytes of bodies
}

// InFlight is how many requests are being served now.
func (u *Forwarder) InFlight() int64 { return u.inFlight.Load() }

// attemptCanceledError is the error of a channel that may not be written to any more.
type attemptCanceledError struct{ reason string }

func (b attemptCanceledError) Error() string { return "round withdrawn: " + b.reason }

// watchedConnection counts what is written to an engine and asks once more, before
// the first byte, whether the round may still begin.
type watchedConnection struct {
	net.Conn
	mayWrite func() string
	written  *atomic.Int64
}

func (c *watchedConnection) Write(chunk []byte) (int, error) {
	if c.written.Load() == 0 {
		if why := c.mayWrite(); why != "" {
			return 0, attemptCanceledError{why}
		}
	}
	// Counted before the write: a write that fails may have put bytes on the wire.
	c.written.Add(int64(len(chunk)))
	return c.Conn.Write(chunk)
}

// ServeHTTP takes POST /v1/completions.
func (u *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.InFlightGroup.Add(1)
	live := u.inFlight.Add(1)
	defer u.InFlightGroup.Done()
	defer u.inFlight.Add(-1)
	id := rand.Text()
	w.Header().Set(HeaderRequest, id)
	if why := u.overloaded(live, r); why != "" {
		u.rejectOverload(w, id, why)
		return
	}
	metered := &meteredBody{Reader: http.MaxBytesReader(w, r.Body, MaxBodyBytes), total: &u.reservedBytes, limit: u.Limits.BodyBytes}
	defer metered.release()
	body, rejection := u.readBody(w, metered)
	if rejection != nil && rejection.Reason == "crowded" {
		u.rejectOverload(w, id, rejection.Detail)
		return
	}
	if rejection != nil {
		u.SendRejection(w, rejection)
		return
	}
	request, err := ReadPrompt(body)
	if err != nil {
		u.SendRejection(w, &Rejection{"bad_request", err.Error(), http.StatusBadRequest, NotRun, 0})
		return
	}
	request.ID, request.Kind = id, r.Header.Get(HeaderKind)
	call, rejection := u.Dispatcher.Admit(u.Env.Clock.Now(), request)
	if rejection != nil {
		u.SendRejection(w, rejection)
		return
	}
	for {
		engine := call.Attempt.Engine
		outcome, why, hasBegun := u.attempt(w, r, call, body)
		if outcome == NotSent && u.Suspect != nil {
			u.Suspect(engine)
		}
		isAgain, rejection := u.Dispatcher.Close(u.Env.Clock.Now(), call, outcome, why)
		switch {
		case isAgain:
			continue
		case outcome == Served:
			return
		case hasBegun || outcome == CallerDisconnected:
			// The caller has part of a body. Only a torn channel tells it so; a clean end would lie.
			panic(http.ErrAbortHandler)
		default:
			u.SendRejection(w, rejection)
			return
		}
	}
}

func (u *Forwarder) readBody(w http.ResponseWriter, from io.Reader) ([]byte, *Rejection) {
	control := http.NewResponseController(w)
	// A caller that trickles its body must not hold a place for ever.
	if err := control.SetReadDeadline(time.Now().Add(u.Timeouts.CallerBody.Duration())); err != nil {
		return nil, &Rejection{"bad_request", "the channel takes no deadline: " + err.Error(), http.StatusInternalServerError, NotRun, 0}
	}
	body, err := io.ReadAll(from)
	var tooLarge *http.MaxBytesError
	switch {
	case isBodyMemoryError(err):
		return nil, &Rejection{"crowded", err.Error(), http.StatusServiceUnavailable, NotRun, defaultRetryAfter}
	case errors.As(err, &tooLarge):
		return nil, &Rejection{"too_large", fmt.Sprintf("the body is above the bound of %d bytes", MaxBodyBytes), http.StatusRequestEntityTooLarge, NotRun, 0}
	case err != nil:
		return nil, &Rejection{"bad_request", "the body did not arrive whole: " + err.Error(), http.StatusRequestTimeout, NotRun, 0}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, &Rejection{"bad_request", "the channel takes no deadline: " + err.Error(), http.StatusInternalServerError, NotRun, 0}
	}
	return body, nil
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type       string   `json:"type"`
	Message    string   `json:"message"`
	Run        RunState `json:"run"`
	Request    string   `json:"request,omitempty"`
	RetryAfter float64  `json:"retry_after_s,omitempty"`
}

// SendRejection writes a decline at once, with when to come back.
func (u *Forwarder) SendRejection(w http.ResponseWriter, rejection *Rejection) {
	fields := errorFields{Type: rejection.Reason, Message: rejection.Detail, Run: rejection.Run, Request: w.Header().Get(HeaderRequest)}
	if rejection.RetryAfter > 0 {
		seconds := (rejection.RetryAfter + kernel.Second - 1) / kernel.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		fields.RetryAfter = float64(rejection.RetryAfter) / float64(kernel.Second)
	}
	w.Header().Set(HeaderRun, string(rejection.Run))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rejection.Status)
	// A caller that is gone can't be told; there is nobody else to tell.
	if err := json.NewEncoder(w).Encode(errorBody{fields}); err != nil {
		u.Env.Log.V(2).Info("a decline could not be delivered", "error", err)
	}
}

// copyHeaders takes over the headers that are passed on.
func copyHeaders(to, from http.Header) {
	dropped := ConnectionHeaders(from)
	for name, lines := range from {
		if !dropped[name] {
			to[name] = slices.Clone(lines)
		}
	}
}

// newTransport makes a transport for a single round. One channel a round: bytes
// written can then be told for certain, and the library has no reused channel on
// which it would send a request again by itself.
func (u *Forwarder) newTransport(watch func(net.Conn) net.Conn) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 1 << 20,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, u.Timeouts.Dial.Duration())
			defer cancel()
			connection, err := u.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return watch(connection), nil
		},
	}
}

// attempt tries one engine; begun tells that the caller has got a first part.
func (u *Forwarder) attempt(w http.ResponseWriter, r *http.Request, call *Call, body []byte) (outcome Outcome, why string, hasBegun bool) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	var written atomic.Int64
	transport := u.newTransport(func(connection net.Conn) net.Conn {
		return &watchedConnection{connection, func() string { return u.Dispatcher.MayWrite(u.Env.Clock.Now(), call) }, &written}
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Attempt.Engine.Address+"/v1/completions", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return NotSent, err.Error(), false
	}
	copyHeaders(request.Header, r.Header)
	request.Header.Set(HeaderRequest, call.Request.ID)
	// The stream is counted as it passes, so it has to come as it is.
	request.Header.Del("Accept-Encoding")
	request.Header.Del("Expect")
	if _, isSet := request.Header["User-Agent"]; !isSet {
		request.Header.Set("User-Agent", "")
	}
	// Without GetBody the library can't rewind the body, so it never sends it twice.
	request.ContentLength, request.GetBody = int64(len(body)), nil

	idleTimer := time.AfterFunc(u.Timeouts.Engine.Duration(), func() { cancel(engineTimeoutError{u.Timeouts.Engine}) })
	defer idleTimer.Stop()
	// RoundTrip, not Do: redirects are for the caller to follow or not.
	response, err := transport.RoundTrip(request)
	if err != nil {
		return u.classifyFailure(r, ctx, err, written.Load())
	}
	defer func() { response.Body.Close() }()
	if isNotRunResponse(response) {
		return RejectedByEngine, fmt.Sprintf("status %d", response.StatusCode), false
	}
	u.Dispatcher.Responded(call)
	// A process that took an earlier one's address may be cold; all should know soon.
	if start, err := strconv.ParseUint(response.Header.Get(HeaderStart), 10, 64); err == nil && start > call.Attempt.Engine.Start && u.Restarted != nil {
		u.Restarted(call.Attempt.Engine, start)
	}
	copyHeaders(w.Header(), response.Header)
	w.Header().Set(HeaderRequest, call.Request.ID)
	w.Header().Set(HeaderEngine, call.Attempt.Engine.ID)
	w.Header().Set(HeaderRevision, strconv.FormatUint(call.Attempt.Revision, 10))
	relay := &relay{forwarder: u, call: call, w: w, control: http.NewResponseController(w), idleTimer: idleTimer, contentLength: response.ContentLength}
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	relay.isStream = kind == "text/event-stream"
	// With a length announced, a stream that lacks its closing mark would look whole
	// once its bytes are there. Sent in chunks, the missing end can be seen.
	if relay.isStream {
		w.Header().Del("Content-Length")
	} else if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if err := relay.control.Flush(); err != nil {
		return CallerDisconnected, err.Error(), true
	}
	runID, start := response.Header.Get(HeaderRunID), response.Header.Get(HeaderStart)
	source := response.Body
	for tries := 0; ; tries++ {
		broken, callerErr := relay.copy(source)
		if callerErr != nil || r.Context().Err() != nil {
			return CallerDisconnected, "the caller hung up", true
		}
		if broken == nil {
			return Served, "", true
		}
		source.Close()
		if cause := context.Cause(ctx); cause != nil {
			broken = cause
		}
		if runID == "" || tries >= 3 || context.Cause(ctx) != nil || !u.Dispatcher.Resume(u.Env.Clock.Now(), call) {
			return ConnectionLost, broken.Error(), true
		}
		again, err := u.resume(ctx, call, runID, start, relay.sent)
		if err != nil {
			return ConnectionLost, fmt.Sprintf("%v, and the run can't be resumed: %v", broken, err), true
		}
		source = again
	}
}

type engineTimeoutError struct{ timeout kernel.Micros }

func (b engineTimeoutError) Error() string {
	return fmt.Sprintf("the engine sent nothing for %d us", b.timeout)
}

// classifyFailure sorts out what a failed round trip proves.
func (u *Forwarder) classifyFailure(r *http.Request, ctx context.Context, err error, written int64) (Outcome, string, bool) {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	var called attemptCanceledError
	switch {
	case r.Context().Err() != nil:
		return CallerDisconnected, "the caller hung up", false
	case written == 0 && errors.As(err, &called):
		return Canceled, called.reason, false
	case written == 0:
		return NotSent, err.Error(), false
	}
	return ConnectionLost, err.Error(), false
}

// isNotRunResponse tells that the engine gives its word. Only these two statuses carry
// it: on any other one a body is an answer.
func isNotRunResponse(response *http.Response) bool {
	isRejected := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	return isRejected && response.Header.Get(HeaderNotRun) == "1"
}

// truncatedStreamError says that a stream stopped without its closing mark.
type truncatedStreamError struct{ sent int64 }

func (b truncatedStreamError) Error() string {
	return fmt.Sprintf("the stream ended after %d bytes without its closing mark", b.sent)
}

type relay struct {
	forwarder     *Forwarder
	call          *Call
	w             io.Writer
	control       *http.ResponseController
	idleTimer     *time.Timer
	tally         Tally
	isStream      bool
	contentLength int64 // the length the engine announced, or -1
	sent          int64
}

// copy passes bytes on as they come until the source ends. broken says that the
// engine's part failed, gone that the caller's did.
func (l *relay) copy(source io.Reader) (engineErr, callerErr error) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := source.Read(buffer)
		l.idleTimer.Reset(l.forwarder.Timeouts.Engine.Duration())
		if count > 0 {
			if tokens := l.tally.Take(buffer[:count]); tokens > 0 && l.isStream {
				l.forwarder.Dispatcher.Produced(l.forwarder.Env.Clock.Now(), l.call, tokens)
			}
			deadline := time.Now().Add(l.forwarder.Timeouts.CallerStall.Duration())
			if err := l.control.SetWriteDeadline(deadline); err != nil {
				return nil, err
			}
			if _, err := l.w.Write(buffer[:count]); err != nil {
				return nil, err
			}
			if err := l.control.Flush(); err != nil {
				return nil, err
			}
			l.sent += int64(count)
		}
		switch {
		case err == io.EOF && l.isStream && !l.tally.IsClosed, err == io.EOF && l.contentLength >= 0 && l.sent < l.contentLength:
			return truncatedStreamError{l.sent}, nil
		case err == io.EOF:
			return nil, nil
		case err != nil:
			return err, nil
		}
	}
}

// notResumedError says why a run could not be taken up again.
type notResumedError struct{ reason string }

func (b notResumedError) Error() string { return b.reason }

// resume opens the same run on the same engine at the byte the caller has reached.
func (u *Forwarder) resume(ctx context.Context, call *Call, runID, start string, offset int64) (io.ReadCloser, error) {
	transport := u.newTransport(func(connection net.Conn) net.Conn { return connection })
	url := fmt.Sprintf("http://%s/v1/runs/%s?offset=%d", call.Attempt.Engine.Address, runID, offset)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderRequest, call.Request.ID)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	headers := response.Header
	// Any doubt that it is the same run of the same process ends the try: a body
	// stitched from two runs is worse than a broken one.
	isSame := response.StatusCode == http.StatusOK && headers.Get(HeaderRunID) == runID && headers.Get(HeaderStart) == start && start != "" &&
		headers.Get(HeaderOffset) == strconv.FormatInt(offset, 10)
	if !isSame {
		response.Body.Close()
		return nil, notResumedError{fmt.Sprintf("status %d, run %q, start %q, offset %q", response.StatusCode, headers.Get(HeaderRunID), headers.Get(HeaderStart), headers.Get(HeaderOffset))}
	}
	return response.Body, nil
}
