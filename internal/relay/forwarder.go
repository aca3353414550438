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

// Timeouts are the forwarder's time limits.
type Timeouts struct {
	Dial        kernel.Micros // for connecting to an engine
	Engine      kernel.Micros // an attempt is aborted if the engine sends nothing for this long
	CallerBody  kernel.Micros // a caller has to send its whole body within this time
	CallerStall kernel.Micros // a caller that reads nothing for this long is disconnected
}

// DefaultTimeouts returns timeouts for engines that respond within seconds.
func DefaultTimeouts() Timeouts {
	return Timeouts{Dial: kernel.Second, Engine: 20 * kernel.Second, CallerBody: 20 * kernel.Second, CallerStall: 60 * kernel.Second}
}

// Forwarder is the http.Handler that serves callers. It does the I/O that the dispatcher decides on.
type Forwarder struct {
	Env        kernel.Env
	Dispatcher *Dispatcher
	Timeouts   Timeouts
	// Dial opens a connection to an engine.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Suspect is called with the engine of each attempt of which no byte could be written, so that the failure can be
	// reported to the control plane. It may be nil.
	Suspect func(Engine)
	// Restarted is called if an engine's response has a higher start number than the routing table. Its arguments are
	// the engine as the table lists it, and the number from the response. It may be nil.
	Restarted func(Engine, uint64)
	// Limits bound the requests and bytes in memory.
	Limits Limits
	// IsOverloaded reports whether the process has reached its limit of open connections. It may be nil if
	// there is no such limit.
	IsOverloaded func() bool
	// InFlightGroup counts the requests being served; its Wait returns once each of them has been answered.
	InFlightGroup sync.WaitGroup
	inFlight      atomic.Int64
	reservedBytes atomic.Int64 // of request bodies in memory
}

// InFlight returns the number of requests being served now.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP serves a request for a completion. It checks neither the method nor the path: the server passes it POST
// /v1/completions only.
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

// serve makes attempts until the dispatcher allows no further one. It panics with http.ErrAbortHandler, which closes
// the connection, if the caller has disconnected or has received part of a response that can't be completed.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, call *Call, body []byte) {
	for {
		engine := call.Attempt.Engine
		result := f.attempt(w, r, call, body)
		if result.outcome == NotSent && f.Suspect != nil {
			f.Suspect(engine)
		}
		isRetry, rejection := f.Dispatcher.CloseAttempt(f.Env.Clock.Now(), call, result.outcome, result.reason)
		switch {
		case isRetry:
			continue
		case result.outcome == Served:
			return
		case result.hasResponseStarted || result.outcome == CallerDisconnected:
			// If the caller is still connected, it has received part of a response. Aborting the connection shows that
			// the rest is missing; a clean end would make the part look complete.
			panic(http.ErrAbortHandler)
		default:
			f.SendRejection(w, rejection)
			return
		}
	}
}

// readBody reads a request's body within Timeouts.CallerBody. It returns a rejection if the body is too
// large, incomplete or late, or if the memory for bodies is exhausted.
func (f *Forwarder) readBody(w http.ResponseWriter, from io.Reader) ([]byte, *Rejection) {
	control := http.NewResponseController(w)
	// Without a deadline, a caller that sends its body slowly would occupy an in-flight slot indefinitely.
	if rejection := setReadDeadline(control, time.Now().Add(f.Timeouts.CallerBody.Duration())); rejection != nil {
		return nil, rejection
	}
	body, err := io.ReadAll(from)
	var tooLarge *http.MaxBytesError
	switch {
	case isBodyMemoryError(err):
		return nil, newRejection(reasonOverloaded, err.Error(), http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, newRejection(reasonTooLarge, fmt.Sprintf("the body is above the limit of %d bytes", MaxBodyBytes), http.StatusRequestEntityTooLarge, NotRun, 0)
	case err != nil:
		return nil, newRejection(reasonBadRequest, "reading the request body failed: "+err.Error(), http.StatusRequestTimeout, NotRun, 0)
	}
	return body, setReadDeadline(control, time.Time{})
}

func setReadDeadline(control *http.ResponseController, deadline time.Time) *Rejection {
	if err := control.SetReadDeadline(deadline); err != nil {
		return newRejection(reasonBadRequest, "setting the read deadline of the connection failed: "+err.Error(), http.StatusInternalServerError, NotRun, 0)
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

// SendRejection sends a rejection to the caller, with a Retry-After header unless rejection.RetryAfter is zero. The
// header is in whole seconds, rounded up; the field retry_after_s of the body has the exact time.
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
	// The write fails if the caller has disconnected, which needs no further handling.
	if err := json.NewEncoder(w).Encode(errorBody{fields}); err != nil {
		f.Env.Log.V(2).Info("sending a rejection to the caller failed", "error", err)
	}
}
