package relay

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinloom/internal/kernel"
)

// Timeouts are the times after which the forwarder gives up.
type Timeouts struct {
	Dial        kernel.Micros // for a connection to an engine
	Engine      kernel.Micros // an engine that sends nothing for so long is lost
	CallerBody  kernel.Micros // in which a caller has to send its body
	CallerStall kernel.Micros // a caller that reads nothing for so long is disconnected
}

// DefaultTimeouts suit engines that answer within seconds.
func DefaultTimeouts() Timeouts {
	return Timeouts{Dial: kernel.Second, Engine: 20 * kernel.Second, CallerBody: 20 * kernel.Second, CallerStall: 60 * kernel.Second}
}

// Forwarder is the http.Handler that serves callers: it carries out what the dispatcher decides.
type Forwarder struct {
	Env        kernel.Env
	Dispatcher *Dispatcher
	Timeouts   Timeouts
	// Dial opens a connection to an engine.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspect is called with each engine that could not be reached; may be nil.
	Suspect func(Engine)
	// Restarted is called with each engine that answers under a later start than is known; may be nil.
	Restarted func(Engine, uint64)
	// Limits are what may be held at once.
	Limits Limits
	// IsOverloaded tells that the process has no connection to spare; nil: it always has.
	IsOverloaded func() bool
	// InFlightGroup waits for every accepted request to get its answer.
	InFlightGroup sync.WaitGroup
	inFlight      atomic.Int64
	reservedBytes atomic.Int64 // bytes of bodies
}

// InFlight is how many requests are being served now.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP takes POST /v1/completions.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.InFlightGroup.Add(1)
	inFlight := f.inFlight.Add(1)
	defer f.InFlightGroup.Done()
	defer f.inFlight.Add(-1)
	id := rand.Text()
	w.Header().Set(HeaderRequest, id)
	if why := f.overloadReason(inFlight, r); why != "" {
		f.rejectOverload(w, id, why)
		return
	}
	metered := &meteredBody{Reader: http.MaxBytesReader(w, r.Body, MaxBodyBytes), total: &f.reservedBytes, limit: f.Limits.BodyBytes}
	defer metered.release()
	body, rejection := f.readBody(w, metered)
	if rejection != nil && rejection.Reason == reasonOverloaded {
		f.rejectOverload(w, id, rejection.Detail)
		return
	}
	if rejection != nil {
		f.SendRejection(w, rejection)
		return
	}
	request, err := ReadPrompt(body)
	if err != nil {
		f.SendRejection(w, newRejection(reasonBadRequest, err.Error(), http.StatusBadRequest, NotRun, 0))
		return
	}
	request.ID, request.Kind = id, r.Header.Get(HeaderKind)
	call, rejection := f.Dispatcher.Admit(f.Env.Clock.Now(), request)
	if rejection != nil {
		f.SendRejection(w, rejection)
		return
	}
	f.serve(w, r, call, body)
}

// serve makes attempts until the dispatcher gives no further one, and ends the caller's answer.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, call *Call, body []byte) {
	for {
		engine := call.Attempt.Engine
		result := f.attempt(w, r, call, body)
		if result.outcome == NotSent && f.Suspect != nil {
			f.Suspect(engine)
		}
		isRetry, rejection := f.Dispatcher.CloseAttempt(f.Env.Clock.Now(), call, result.outcome, result.why)
		switch {
		case isRetry:
			continue
		case result.outcome == Served:
			return
		case result.hasResponseStarted || result.outcome == CallerDisconnected:
			// The caller has part of a body. Only an aborted connection shows that the rest
			// is missing; a clean end would pass the part off as complete.
			panic(http.ErrAbortHandler)
		default:
			f.SendRejection(w, rejection)
			return
		}
	}
}

// readBody reads a request's body within the time that callers have for it.
func (f *Forwarder) readBody(w http.ResponseWriter, from io.Reader) ([]byte, *Rejection) {
	control := http.NewResponseController(w)
	// A caller that sends its body slowly must not be in flight for ever.
	if rejection := setReadDeadline(control, time.Now().Add(f.Timeouts.CallerBody.Duration())); rejection != nil {
		return nil, rejection
	}
	body, err := io.ReadAll(from)
	var tooLarge *http.MaxBytesError
	switch {
	case isBodyMemoryError(err):
		return nil, newRejection(reasonOverloaded, err.Error(), http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, newRejection(reasonTooLarge, fmt.Sprintf("the body is above the bound of %d bytes", MaxBodyBytes), http.StatusRequestEntityTooLarge, NotRun, 0)
	case err != nil:
		return nil, newRejection(reasonBadRequest, "the body did not arrive whole: "+err.Error(), http.StatusRequestTimeout, NotRun, 0)
	}
	return body, setReadDeadline(control, time.Time{})
}

func setReadDeadline(control *http.ResponseController, deadline time.Time) *Rejection {
	if err := control.SetReadDeadline(deadline); err != nil {
		return newRejection(reasonBadRequest, "the channel takes no deadline: "+err.Error(), http.StatusInternalServerError, NotRun, 0)
	}
	return nil
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

// SendRejection answers a caller with a rejection, and with when to come back.
func (f *Forwarder) SendRejection(w http.ResponseWriter, rejection *Rejection) {
	fields := errorFields{Type: rejection.Reason, Message: rejection.Detail, Run: rejection.Run, Request: w.Header().Get(HeaderRequest)}
	if rejection.RetryAfter > 0 {
		seconds := (rejection.RetryAfter + kernel.Second - 1) / kernel.Second // rounded up
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		fields.RetryAfter = float64(rejection.RetryAfter) / float64(kernel.Second)
	}
	w.Header().Set(HeaderRun, string(rejection.Run))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rejection.Status)
	// The write fails if the caller has disconnected; then nobody waits for the rejection.
	if err := json.NewEncoder(w).Encode(errorBody{fields}); err != nil {
		f.Env.Log.V(2).Info("a rejection could not be sent", "error", err)
	}
}
