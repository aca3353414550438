package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// attemptResult is the outcome of an attempt, and the reason for the log and the caller.
type attemptResult struct {
	outcome Outcome
	reason  string
}

// deadlineExceededError is the cause with which an exchange is canceled deadlineGrace after the request's deadline.
type deadlineExceededError struct{}

func (deadlineExceededError) Error() string { return "the deadline of the request has passed" }

// routerStoppedError is the cause with which an exchange is canceled when the router stops.
type routerStoppedError struct{}

func (routerStoppedError) Error() string { return "this router has stopped" }

// attemptCanceledError says that an attempt was canceled before a byte was written, since Chooser.Sent did not allow
// it.
type attemptCanceledError struct{}

func (attemptCanceledError) Error() string {
	return "the engine left, is draining or has another address by now"
}

// attempt sends the request to the engine of a run and forwards the response. ctx ends with the run.
func (rt *Router) attempt(ctx context.Context, answer *answer, run *attemptRun) attemptResult {
	for {
		result, isReused, err := rt.attemptOnce(ctx, answer, run)
		if err == nil {
			return result
		}
		// The engine had just closed the idle connection, and no byte was written. A new connection to the same engine
		// does not count as another attempt.
		if isReused && ctx.Err() == nil && errors.As(err, new(NotWrittenError)) {
			continue
		}
		return failedResult(context.Cause(ctx), err)
	}
}

// attemptOnce sends the request over one connection. isReused reports whether the request was sent over a connection
// that has carried other requests.
func (rt *Router) attemptOnce(ctx context.Context, answer *answer, run *attemptRun) (result attemptResult, isReused bool, err error) {
	connection, err := rt.Pool.acquire(ctx, run.attempt.Engine.Address, rt.connectionBound(answer.call))
	if err != nil {
		return attemptResult{}, false, err
	}
	now := rt.Env.Clock.Now()
	// The engine list is checked again, since the attempt may have waited for its connection.
	if !rt.mayTrustEngines() {
		rt.Pool.releaseUnused(connection)
		return attemptResult{Withheld, rejectForUnconfirmedEngines().Detail}, false, nil
	}
	if err := answer.prepare(run); err != nil {
		rt.Pool.releaseUnused(connection)
		return attemptResult{}, false, err
	}
	if !rt.Chooser.Sent(now, run.attempt) {
		rt.Pool.releaseUnused(connection)
		return attemptResult{}, false, NotWrittenError{attemptCanceledError{}}
	}
	message := rt.takeBuffer()
	defer rt.buffers.Put(message)
	if err := writeMessage(message, answer.r, answer.body, rt.newHeaders(answer.call, run, now)); err != nil {
		rt.Pool.releaseUnused(connection)
		return attemptResult{}, false, NotWrittenError{err}
	}
	isReused = connection.uses > 0
	result, err = rt.exchange(ctx, answer, run, connection, message.Bytes())
	if errors.As(err, new(NotWrittenError)) {
		rt.Chooser.Unsent(run.attempt)
	}
	return result, isReused, err
}

// takeBuffer returns a buffer for a message; it may hold the bytes of an earlier one.
func (rt *Router) takeBuffer() *bytes.Buffer {
	if buffer, isBuffer := rt.buffers.Get().(*bytes.Buffer); isBuffer {
		return buffer
	}
	return new(bytes.Buffer)
}

// failedResult returns the result of an attempt that failed with err. cause is why the attempt was canceled, or nil.
func failedResult(cause, err error) attemptResult {
	isWritten := !errors.As(err, new(NotWrittenError))
	var timeout engineTimeoutError
	switch {
	case errors.Is(cause, context.Canceled): // by the context of the caller's request, the only one without a cause of its own
		return attemptResult{CallerDisconnected, "the caller disconnected"}
	case errors.As(cause, &timeout) && isWritten:
		return attemptResult{Unresponsive, timeout.Error()}
	case isCanceledFor(cause):
		return attemptResult{Superseded, cause.Error()}
	case !isWritten:
		return attemptResult{NotSent, err.Error()}
	case errors.As(cause, new(routerStoppedError)):
		return attemptResult{RouterStopped, cause.Error()}
	}
	return attemptResult{ConnectionLost, err.Error()}
}

// connectionBound is the number of connections that this router may have open to an engine of the call's service; zero:
// no limit. It is an equal part of the connections that the engine accepts from all routers, but at least two.
func (rt *Router) connectionBound(call *Call) int {
	config, routers := rt.Chooser.view()
	if config == nil {
		return 0
	}
	maxConnections := config.Services[call.Request.Service].MaxConnections
	if maxConnections <= 0 {
		return 0
	}
	// A tenth of the limit is kept as a margin.
	return max(maxConnections*9/10/max(routers, 1), 2)
}

// exchange carries out one attempt on a connection, and releases or closes the connection. A NotWrittenError means
// that no byte was written; after any other error the request may have run.
func (rt *Router) exchange(ctx context.Context, answer *answer, run *attemptRun, connection *connection, message []byte) (attemptResult, error) {
	var response *http.Response
	isKept := false
	defer func() {
		if isKept {
			return
		}
		// The connection is closed first. Otherwise closing the body would read the rest of the body.
		rt.Pool.discard(connection)
		closeBody(response)
	}()
	stop := context.AfterFunc(ctx, connection.interrupt)
	defer stop()
	run.idleTimer = answer.startIdleTimer(ctx, run)
	defer run.idleTimer.stop()
	response, err := connection.exchange(message, answer.r.Method, answer.call.Request.ID, rt.Wire.RequestID)
	if err != nil {
		return attemptResult{}, err
	}
	result, isComplete, err := rt.handleResponse(answer, run, response)
	if isComplete && stop() {
		isKept = true
		closeBody(response)
		rt.Pool.release(connection, response)
	}
	return result, err
}

// closeBody closes the body of a response, if there is one. The error is dropped: the connection is closed already, or
// the body was read to its end.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// handleResponse classifies a response by its head and forwards it if it is meant for the caller. isComplete reports
// whether the body was read to its end.
func (rt *Router) handleResponse(answer *answer, run *attemptRun, response *http.Response) (result attemptResult, isComplete bool, err error) {
	load, hasLoad := ParseLoad(response.Header.Get(rt.Wire.Load))
	if outcome, isRejected := rt.engineRejection(response); isRejected {
		isComplete = isReadToEnd(response.Body)
		if hasLoad {
			rt.Chooser.ReportLoad(rt.Env.Clock.Now(), run.attempt.Engine.ID, load)
		}
		return attemptResult{outcome, "status " + strconv.Itoa(response.StatusCode)}, isComplete, nil
	}
	if isNotRunStatus(response.StatusCode) {
		// The status would promise the caller that the request did not run, but the engine has not stated that.
		return attemptResult{}, false, ExchangeError{"read the response head", unprovenRejectionError{response.StatusCode}}
	}
	rt.Chooser.Answered(rt.Env.Clock.Now(), run.attempt, load, hasLoad)
	if err := rt.checkHead(run, response); err != nil {
		return attemptResult{}, false, err
	}
	if result, err = answer.forward(run, response); err != nil {
		return attemptResult{}, false, err
	}
	return result, result.outcome == Served || result.outcome == Failed, nil
}

// checkHead checks that a successful response carries its engine's proof, and that the response can continue an answer
// that has begun.
func (rt *Router) checkHead(run *attemptRun, response *http.Response) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 && response.Header.Get(rt.Wire.EngineProof) == "" {
		return ExchangeError{"read the response head", missingProofError{}}
	}
	if run.isContinuation && response.StatusCode != http.StatusOK {
		return ExchangeError{"resume the stream", notResumedError{response.StatusCode}}
	}
	if run.isContinuation && !isEventStream(response) {
		return ExchangeError{"resume the stream", notEventStreamError{}}
	}
	return nil
}

// maxDiscardBytes limits how much is read of a body that is not forwarded.
const maxDiscardBytes = 64 << 10

// isReadToEnd reads a body that is not forwarded and reports whether it reached the end. Only then may the connection
// be reused; otherwise the rest of the body would be parsed as the next response.
func isReadToEnd(body io.Reader) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	return err == nil && count <= maxDiscardBytes
}

// engineRejection reports whether an engine states that it did not run the request, and the outcome that follows.
func (rt *Router) engineRejection(response *http.Response) (Outcome, bool) {
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return AddressReused, true
	case response.Header.Get(rt.Wire.NotRun) != "" && response.StatusCode >= 400:
		return RejectedByEngine, true
	}
	return 0, false
}

// unprovenRejectionError says that the status of a response promises that the request did not run, but the engine has
// not stated it.
type unprovenRejectionError struct{ status int }

func (e unprovenRejectionError) Error() string {
	return "the engine sent status " + strconv.Itoa(e.status) + " without stating that it did not run the request"
}

// missingProofError says that a successful response lacks the engine's proof.
type missingProofError struct{}

func (missingProofError) Error() string {
	return "the engine sent a successful response without its proof header"
}

// notEventStreamError says that the response that should resume a stream is not an event stream.
type notEventStreamError struct{}

func (notEventStreamError) Error() string { return "the engine's response is not an event stream" }

// notResumedError says that an engine did not resume a stream.
type notResumedError struct{ status int }

func (e notResumedError) Error() string { return "the engine sent status " + strconv.Itoa(e.status) }
