package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dunlinloom/internal/kernel"
)

// attemptResult says how an attempt ended and why. If hasResponseStarted is set, at least the headers of the engine's
// response were passed on, so the caller can't get a rejection any more.
type attemptResult struct {
	outcome            Outcome
	reason             string
	hasResponseStarted bool
}

var resultCallerDisconnected = attemptResult{outcome: CallerDisconnected, reason: "the caller disconnected"}

// engineTimeoutError says that an engine sent nothing for Timeouts.Engine.
type engineTimeoutError struct{ timeout kernel.Micros }

func (e engineTimeoutError) Error() string {
	return fmt.Sprintf("the engine sent nothing for %d us", e.timeout)
}

// attempt sends the request to the engine of the call's attempt and relays its response. A response in which the engine
// declares that it did not run the request is not relayed.
func (f *Forwarder) attempt(w http.ResponseWriter, r *http.Request, call *Call, body []byte) attemptResult {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	var written atomic.Int64
	transport := f.newTransport(func(connection net.Conn) net.Conn {
		return &guardedConnection{connection, func() string { return f.Dispatcher.MayWrite(f.Env.Clock.Now(), call) }, &written}
	})
	request, err := newEngineRequest(ctx, r.Header, call, body)
	if err != nil {
		return attemptResult{outcome: NotSent, reason: err.Error()}
	}
	idleTimer := time.AfterFunc(f.Timeouts.Engine.Duration(), func() { cancel(engineTimeoutError{f.Timeouts.Engine}) })
	defer idleTimer.Stop()
	// RoundTrip instead of Do, because redirects are relayed to the caller and not followed.
	response, err := transport.RoundTrip(request)
	if err != nil {
		return classifyFailure(ctx, r, err, written.Load())
	}
	defer closeBody(response.Body)
	if isNotRunResponse(response) {
		return attemptResult{outcome: RejectedByEngine, reason: fmt.Sprintf("status %d", response.StatusCode)}
	}
	f.Dispatcher.ResponseStarted(call)
	f.reportRestart(call, response)
	copier := &streamCopier{
		forwarder: f, call: call, w: w, control: http.NewResponseController(w), idleTimer: idleTimer,
		contentLength: response.ContentLength, isStream: isEventStream(response),
	}
	sendHeaders(w, call, response, copier.isStream)
	if err := copier.control.Flush(); err != nil {
		return attemptResult{outcome: CallerDisconnected, reason: err.Error(), hasResponseStarted: true}
	}
	result := f.relayBody(ctx, r, call, response, copier)
	result.hasResponseStarted = true
	return result
}

// newEngineRequest returns the request to send to the engine of the call's attempt.
func newEngineRequest(ctx context.Context, headers http.Header, call *Call, body []byte) (*http.Request, error) {
	url := "http://" + call.Attempt.Engine.Address + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	copyHeaders(request.Header, headers)
	request.Header.Set(HeaderRequest, call.Request.ID)
	// Tokens are counted while the stream is relayed, so the engine must not compress it.
	request.Header.Del("Accept-Encoding")
	request.Header.Del("Expect")
	if _, isSet := request.Header["User-Agent"]; !isSet {
		request.Header.Set("User-Agent", "") // otherwise net/http sends its default
	}
	// Without GetBody, net/http can't rewind the body and so never sends it twice.
	request.ContentLength, request.GetBody = int64(len(body)), nil
	return request, nil
}

// classifyFailure maps the error of a round trip to an outcome. Only if no byte was written to the engine
// is it proven that the request did not run there.
func classifyFailure(ctx context.Context, r *http.Request, err error, written int64) attemptResult {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	var canceled attemptCanceledError
	switch {
	case r.Context().Err() != nil:
		return resultCallerDisconnected
	case written == 0 && errors.As(err, &canceled):
		return attemptResult{outcome: Canceled, reason: canceled.reason}
	case written == 0:
		return attemptResult{outcome: NotSent, reason: err.Error()}
	}
	return attemptResult{outcome: ConnectionLost, reason: err.Error()}
}

// isNotRunResponse reports whether the engine declares that it did not run the request. The header counts
// only with status 429 or 503; with any other status the response is relayed to the caller.
func isNotRunResponse(response *http.Response) bool {
	isRejected := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	return isRejected && response.Header.Get(HeaderNotRun) == "1"
}

func isEventStream(response *http.Response) bool {
	// On a parse error the media type is empty, so the response is not treated as an event stream.
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return mediaType == "text/event-stream"
}

// reportRestart calls Restarted if the response has a higher start number than the attempt's engine, so that the engine
// has been restarted since the routing table was made. The new process may have an empty cache, so all routers should
// learn of the restart quickly.
func (f *Forwarder) reportRestart(call *Call, response *http.Response) {
	start, err := strconv.ParseUint(response.Header.Get(HeaderStart), 10, 64)
	if err == nil && start > call.Attempt.Engine.Start && f.Restarted != nil {
		f.Restarted(call.Attempt.Engine, start)
	}
}

// sendHeaders sends the status and headers of an engine's response to the caller.
func sendHeaders(w http.ResponseWriter, call *Call, response *http.Response, isStream bool) {
	copyHeaders(w.Header(), response.Header)
	w.Header().Set(HeaderRequest, call.Request.ID)
	w.Header().Set(HeaderEngine, call.Attempt.Engine.ID)
	w.Header().Set(HeaderRevision, strconv.FormatUint(call.Attempt.Revision, 10))
	// With Content-Length, a stream without its [DONE] marker would look complete once that many bytes
	// have arrived. With chunked encoding the caller can detect that the stream was truncated.
	if isStream {
		w.Header().Del("Content-Length")
	} else if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
}
