package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinloom/internal/kernel"
)

// engineTimeoutError is why an exchange is cut: the engine showed no sign of life.
type engineTimeoutError struct{ timeout kernel.Micros }

func (b engineTimeoutError) Error() string { return fmt.Sprintf("nothing came for %d us", b.timeout) }

type deadlineExceededError struct{}

func (deadlineExceededError) Error() string { return "the deadline is over" }

// attemptCanceledError is why an attempt is not sent after all.
type attemptCanceledError struct{}

func (attemptCanceledError) Error() string { return "the engine left meanwhile" }

// attempt sends the request to the call's engine and relays what comes.
func (u *Router) attempt(answer *answer, body []byte) (Outcome, string) {
	call := answer.call
	engine := call.Attempt.Engine
	ctx, cancel := context.WithDeadlineCause(answer.r.Context(), time.Now().Add((call.Request.Deadline + deadlineGrace - u.Env.Clock.Now()).Duration()), deadlineExceededError{})
	defer cancel()
	blame := func(err error) (Outcome, string) {
		switch {
		case answer.r.Context().Err() != nil:
			return CallerDisconnected, "the caller hung up"
		case errors.As(err, new(NotWrittenError)):
			return NotSent, err.Error()
		}
		return ConnectionLost, err.Error()
	}
	for {
		engineConnection, err := u.Pool.acquire(ctx, engine.Address, u.connectionBound(call))
		if err != nil {
			return blame(err)
		}
		now := u.Env.Clock.Now()
		if !u.Chooser.Sent(now, call) {
			u.Pool.releaseUnused(engineConnection)
			return blame(NotWrittenError{attemptCanceledError{}})
		}
		message := u.buffers.Get().(*bytes.Buffer)
		if err := writeMessage(message, answer.r, body, u.newHeaders(call, now, answer)); err != nil {
			u.buffers.Put(message)
			u.Pool.releaseUnused(engineConnection)
			return blame(NotWrittenError{err})
		}
		outcome, why, err := u.exchange(ctx, answer, engineConnection, message)
		u.buffers.Put(message)
		if err == nil {
			return outcome, why
		}
		// A kept connection that the engine closed at the very moment took no byte; a new
		// one to the same engine is no other try.
		if errors.As(err, new(NotWrittenError)) && engineConnection.uses > 0 {
			u.Chooser.Unsent(call)
			continue
		}
		if errors.As(err, new(NotWrittenError)) {
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
	set(u.Wire.Priority, strconv.Itoa(min(max(call.Request.Priority, 0), 9)))
	if call.Request.IsKeyHidden {
		// Without lines a header is left out, whatever the caller sent.
		anew[http.CanonicalHeaderKey(u.Wire.Key)], anew[http.CanonicalHeaderKey(u.Wire.Tenant)] = nil, nil
	}
	if call.Request.Tenant != nil {
		set(u.Wire.Tenant, call.Request.Tenant.Name)
	}
	if answer.events.lastID != "" && answer.events.lastID != call.Request.LastEvent {
		set(u.Wire.LastEvent, answer.events.lastID)
	}
	return anew
}

// engineTimeout is how long an engine may show no sign of life before another one is tried,
// which only a repeatable request can be. Half of the aim leaves the other half for the
// second engine.
func engineTimeout(call *Call, hasBegun bool) kernel.Micros {
	route := call.Request.Route
	if !route.IsRepeatable() || call.sentAttempts >= max(route.MaxAttempts, 1) {
		return 0
	}
	if hasBegun {
		return max(2*route.InterTokenTarget, kernel.Second)
	}
	return max(route.LatencyTarget/2, 100*kernel.Millisecond)
}

// exchange carries out one attempt on a connection.
func (u *Router) exchange(ctx context.Context, answer *answer, engineConnection *connection, message *bytes.Buffer) (Outcome, string, error) {
	call := answer.call
	engine := call.Attempt.Engine
	isKept := false
	defer func() {
		if !isKept {
			u.Pool.discard(engineConnection)
		}
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { engineConnection.net.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sentAt := u.Env.Clock.Now()
	if timeout := engineTimeout(call, answer.hasBegun); timeout > 0 {
		var idleTimer *time.Timer
		// Set going only once it has its name, by which it sets itself going again.
		idleTimer = time.AfterFunc(maxRequestTime.Duration(), func() {
			// It may have fired as the exchange ended; set going again, nobody would stop it.
			if ctx.Err() != nil {
				return
			}
			// While other streams of that engine go on it is busy, not gone.
			now := u.Env.Clock.Now()
			if u.Chooser.HasSeenSince(engine.ID, max(sentAt, now-timeout)) {
				idleTimer.Reset(timeout.Duration())
				return
			}
			// Left only for an attempt that may follow: the engine may answer yet.
			if !u.Chooser.MayAbandon(now, call) {
				idleTimer.Reset(timeout.Duration())
				return
			}
			cancel(engineTimeoutError{timeout})
		})
		idleTimer.Reset(timeout.Duration())
		defer idleTimer.Stop()
		answer.idleTimer, answer.idleTimeout = idleTimer, timeout
		defer func() { answer.idleTimer = nil }()
	}
	response, err := engineConnection.exchange(message.Bytes(), answer.r.Method, call.Request.ID, u.Wire.RequestID)
	if err != nil {
		if silent := (engineTimeoutError{}); errors.As(context.Cause(ctx), &silent) && answer.r.Context().Err() == nil && !errors.As(err, new(NotWrittenError)) {
			return Unresponsive, silent.Error(), nil
		}
		return 0, "", err
	}
	if outcome, isNot := u.engineRejection(response); isNot {
		if isReadToEnd(response.Body) && stop() {
			isKept = true
			u.Pool.release(engineConnection, response)
		}
		if load, hasLoad := ParseLoad(response.Header.Get(u.Wire.Load)); hasLoad {
			u.Chooser.ReportLoad(u.Env.Clock.Now(), engine.ID, load)
		}
		return outcome, "status " + strconv.Itoa(response.StatusCode), nil
	}
	if isUnprovenRejection(response.StatusCode) {
		// To a caller this status says that nothing ran, and the engine does not say so.
		return 0, "", ExchangeError{"read the head", unprovenRejectionError{response.StatusCode}}
	}
	load, hasLoad := ParseLoad(response.Header.Get(u.Wire.Load))
	u.Chooser.Answered(u.Env.Clock.Now(), call, load, hasLoad)
	if response.StatusCode >= 200 && response.StatusCode < 300 && response.Header.Get(u.Wire.EngineProof) == "" {
		return 0, "", ExchangeError{"read the head", missingProofError{}}
	}
	if answer.hasBegun && response.StatusCode != http.StatusOK {
		return 0, "", ExchangeError{"go on with the stream", notResumedError{response.StatusCode}}
	}
	if answer.hasBegun && !isEventStream(response) {
		return 0, "", ExchangeError{"go on with the stream", notEventStreamError{}}
	}
	outcome, why, err := answer.forward(response)
	if err != nil {
		if silent := (engineTimeoutError{}); errors.As(context.Cause(ctx), &silent) && answer.r.Context().Err() == nil {
			return Unresponsive, silent.Error(), nil
		}
		return 0, "", err
	}
	if outcome == Served || outcome == Failed {
		if stop() {
			isKept = true
			u.Pool.release(engineConnection, response)
		}
	}
	return outcome, why, nil
}

// maxDiscardBytes is the most that is read of a body that nobody gets.
const maxDiscardBytes = 64 << 10

// isReadToEnd reads a body that nobody gets and tells whether it came to its end. Only then
// may the connection be kept: what is left of the body would be read as the next answer.
func isReadToEnd(body io.Reader) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	return err == nil && count <= maxDiscardBytes
}

// isUnprovenRejection tells that a status promises callers what only the engine can know.
func isUnprovenRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

// unprovenRejectionError says that an engine's status promises that nothing ran without its word for it.
type unprovenRejectionError struct{ status int }

func (b unprovenRejectionError) Error() string {
	return "the engine answered " + strconv.Itoa(b.status) + " without its word that it did not run the request"
}

// missingProofError says that a success lacks the engine's proof.
type missingProofError struct{}

func (missingProofError) Error() string { return "a success without the engine's stamp" }

// notEventStreamError says that what should go on with a stream is none.
type notEventStreamError struct{}

func (notEventStreamError) Error() string { return "the engine's answer is no stream" }

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// notResumedError says that an engine did not go on with a stream.
type notResumedError struct{ status int }

func (b notResumedError) Error() string { return "the engine answered " + strconv.Itoa(b.status) }

// engineRejection tells that the engine gives its word that it did not run the request.
func (u *Router) engineRejection(response *http.Response) (Outcome, bool) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return AddressReused, true
	case response.Header.Get(u.Wire.NotRun) != "" && response.StatusCode >= 400:
		return RejectedByEngine, true
	}
	return 0, false
}
