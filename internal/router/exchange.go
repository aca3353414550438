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
