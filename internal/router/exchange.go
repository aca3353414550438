package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// attemptResult is how an attempt ended, and why, for the log and the caller.
type attemptResult struct {
	outcome Outcome
	reason  string
}

// deadlineExceededError is why an exchange is cut at the request's deadline.
type deadlineExceededError struct{}

func (deadlineExceededError) Error() string { return "the deadline is over" }

// attemptCanceledError is why an attempt is not sent after all.
type attemptCanceledError struct{}

func (attemptCanceledError) Error() string { return "the engine left meanwhile" }

// attempt sends the request to the call's engine and forwards what comes. The context is the caller's.
func (rt *Router) attempt(ctx context.Context, answer *answer, body []byte) attemptResult {
	call := answer.call
	remaining := (call.Request.Deadline + deadlineGrace - rt.Env.Clock.Now()).Duration()
	attemptCtx, cancel := context.WithDeadlineCause(ctx, time.Now().Add(remaining), deadlineExceededError{})
	defer cancel()
	for {
		result, isReused, err := rt.attemptOnce(attemptCtx, answer, body)
		if err == nil {
			return result
		}
		// An idle connection that the engine has just closed took no byte; a new one to the same engine
		// is not another attempt.
		if isReused && errors.As(err, new(NotWrittenError)) {
			continue
		}
		return failedResult(ctx, err)
	}
}

// attemptOnce sends the request over one connection. isReused tells that the request was sent, and over a
// connection that has carried others.
func (rt *Router) attemptOnce(ctx context.Context, answer *answer, body []byte) (result attemptResult, isReused bool, err error) {
	call := answer.call
	connection, err := rt.Pool.acquire(ctx, call.Attempt.Engine.Address, rt.connectionBound(call))
	if err != nil {
		return attemptResult{}, false, err
	}
	now := rt.Env.Clock.Now()
	// Looked at last: the attempt may have waited for its connection.
	if !rt.mayTrustEngines() {
		rt.Pool.releaseUnused(connection)
		return attemptResult{Withheld, rejectForUnconfirmedEngines().Detail}, false, nil
	}
	if !rt.Chooser.Sent(now, call) {
		rt.Pool.releaseUnused(connection)
		return attemptResult{}, false, NotWrittenError{attemptCanceledError{}}
	}
	message := rt.takeBuffer()
	defer rt.buffers.Put(message)
	if err := writeMessage(message, answer.r, body, rt.newHeaders(call, now, answer)); err != nil {
		rt.Pool.releaseUnused(connection)
		return attemptResult{}, false, NotWrittenError{err}
	}
	isReused = connection.uses > 0
	result, err = rt.exchange(ctx, answer, connection, message.Bytes())
	if errors.As(err, new(NotWrittenError)) {
		rt.Chooser.Unsent(call)
	}
	return result, isReused, err
}

// takeBuffer gives an empty or used buffer for a message.
func (rt *Router) takeBuffer() *bytes.Buffer {
	if buffer, isBuffer := rt.buffers.Get().(*bytes.Buffer); isBuffer {
		return buffer
	}
	return new(bytes.Buffer)
}

// failedResult says whom an attempt's failure is laid to. The context is the caller's.
func failedResult(ctx context.Context, err error) attemptResult {
	switch {
	case ctx.Err() != nil:
		return attemptResult{CallerDisconnected, "the caller hung up"}
	case errors.As(err, new(NotWrittenError)):
		return attemptResult{NotSent, err.Error()}
	}
	return attemptResult{ConnectionLost, err.Error()}
}

// connectionBound is this router's part of an engine's connections; zero: they are not bounded.
func (rt *Router) connectionBound(call *Call) int {
	config, routers := rt.Chooser.view()
	if config == nil {
		return 0
	}
	maxConnections := config.Services[call.Request.Service].MaxConnections
	if maxConnections <= 0 {
		return 0
	}
	// A tenth of the limit stays unused, as a margin.
	return max(maxConnections*9/10/max(routers, 1), 2)
}

// exchange carries out one attempt on a connection, which it releases or closes. NotWrittenError: not one
// byte went out; any other error: the request may have run.
func (rt *Router) exchange(ctx context.Context, answer *answer, connection *connection, message []byte) (attemptResult, error) {
	var response *http.Response
	isKept := false
	defer func() {
		if isKept {
			return
		}
		// The connection first: to close a body reads what is left of it.
		rt.Pool.discard(connection)
		closeBody(response)
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, connection.interrupt)
	defer stop()
	answer.idleTimer = rt.startIdleTimer(ctx, cancel, answer)
	defer func() {
		answer.idleTimer.stop()
		answer.idleTimer = nil
	}()
	response, err := connection.exchange(message, answer.r.Method, answer.call.Request.ID, rt.Wire.RequestID)
	if err != nil {
		return unresponsiveResult(ctx, answer, err)
	}
	result, isComplete, err := rt.handleResponse(ctx, answer, response)
	if isComplete && stop() {
		isKept = true
		closeBody(response)
		rt.Pool.release(connection, response)
	}
	return result, err
}

// closeBody closes a response's body, if there is one. Its error is that of a connection which is closed
// already, or there is none: the body was read to its end.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// unresponsiveResult gives the result of an exchange that the idle timer cut off, or the error of any other.
func unresponsiveResult(ctx context.Context, answer *answer, err error) (attemptResult, error) {
	var timeout engineTimeoutError
	isTimeout := errors.As(context.Cause(ctx), &timeout) && answer.r.Context().Err() == nil
	if isTimeout && !errors.As(err, new(NotWrittenError)) {
		return attemptResult{Unresponsive, timeout.Error()}, nil
	}
	return attemptResult{}, err
}

// handleResponse decides over a response by its head and forwards it, if the caller is to get it. isComplete
// tells that its body was read to its end.
func (rt *Router) handleResponse(ctx context.Context, answer *answer, response *http.Response) (result attemptResult, isComplete bool, err error) {
	call := answer.call
	load, hasLoad := ParseLoad(response.Header.Get(rt.Wire.Load))
	if outcome, isRejected := rt.engineRejection(response); isRejected {
		isComplete = isReadToEnd(response.Body)
		if hasLoad {
			rt.Chooser.ReportLoad(rt.Env.Clock.Now(), call.Attempt.Engine.ID, load)
		}
		return attemptResult{outcome, "status " + strconv.Itoa(response.StatusCode)}, isComplete, nil
	}
	if isNotRunStatus(response.StatusCode) {
		// To a caller this status says that nothing ran, and the engine does not say so.
		return attemptResult{}, false, ExchangeError{"read the head", unprovenRejectionError{response.StatusCode}}
	}
	rt.Chooser.Answered(rt.Env.Clock.Now(), call, load, hasLoad)
	if err := rt.checkHead(answer, response); err != nil {
		return attemptResult{}, false, err
	}
	result, err = answer.forward(response)
	if err != nil {
		result, err = unresponsiveResult(ctx, answer, err)
		return result, false, err
	}
	return result, result.outcome == Served || result.outcome == Failed, nil
}

// checkHead checks that a response carries its engine's proof, and that it can go on with an answer that has
// begun.
func (rt *Router) checkHead(answer *answer, response *http.Response) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 && response.Header.Get(rt.Wire.EngineProof) == "" {
		return ExchangeError{"read the head", missingProofError{}}
	}
	if answer.hasBegun && response.StatusCode != http.StatusOK {
		return ExchangeError{"go on with the stream", notResumedError{response.StatusCode}}
	}
	if answer.hasBegun && !isEventStream(response) {
		return ExchangeError{"go on with the stream", notEventStreamError{}}
	}
	return nil
}

// maxDiscardBytes is the most that is read of a body that nobody gets.
const maxDiscardBytes = 64 << 10

// isReadToEnd reads a body that nobody gets and reports whether it came to its end. Only then may the
// connection be reused: what is left of the body would be read as the next answer.
func isReadToEnd(body io.Reader) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	return err == nil && count <= maxDiscardBytes
}

// engineRejection reports whether an engine states that it did not run the request, and how it says so.
func (rt *Router) engineRejection(response *http.Response) (Outcome, bool) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return AddressReused, true
	case response.Header.Get(rt.Wire.NotRun) != "" && response.StatusCode >= 400:
		return RejectedByEngine, true
	}
	return 0, false
}

// unprovenRejectionError says that an engine's status promises that nothing ran, without its proof.
type unprovenRejectionError struct{ status int }

func (e unprovenRejectionError) Error() string {
	return "the engine answered " + strconv.Itoa(e.status) + " without its word that it did not run the request"
}

// missingProofError says that a success lacks the engine's proof.
type missingProofError struct{}

func (missingProofError) Error() string { return "a success without the engine's stamp" }

// notEventStreamError says that what should go on with a stream is none.
type notEventStreamError struct{}

func (notEventStreamError) Error() string { return "the engine's answer is no stream" }

// notResumedError says that an engine did not go on with a stream.
type notResumedError struct{ status int }

func (e notResumedError) Error() string { return "the engine answered " + strconv.Itoa(e.status) }
