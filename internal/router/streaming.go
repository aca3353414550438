package router

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// answer is what a caller gets: the response of one engine, or of several where a stream is resumed.
type answer struct {
	router     *Router
	w          http.ResponseWriter
	r          *http.Request
	control    *http.ResponseController
	call       *Call
	events     eventSplitter
	hasBegun   bool                   // the head was sent
	lastSentID string                 // ID of the last event sent
	idleTimer  *idleTimer             // of the current attempt; nil: its engine may take any time
	buffer     *[copyBufferBytes]byte // nil until the first response is copied
}

// releaseBuffer returns the copy buffer to the router's pool, if the answer has one.
func (a *answer) releaseBuffer() {
	if a.buffer != nil {
		a.router.copyBuffers.Put(a.buffer)
		a.buffer = nil
	}
}

// takeBuffer acquires a buffer, which the answer owns until releaseBuffer.
func (a *answer) takeBuffer() {
	if a.buffer != nil {
		return
	}
	buffer, isBuffer := a.router.copyBuffers.Get().(*[copyBufferBytes]byte)
	if !isBuffer {
		buffer = new([copyBufferBytes]byte)
	}
	a.buffer = buffer
}

// eventOrderError says that a resumed stream does not continue after the last event that the caller has.
type eventOrderError struct{ last, next string }

func (e eventOrderError) Error() string {
	return fmt.Sprintf("the stream continues with event %q after event %q", e.next, e.last)
}

// missingEndMarkError says that a stream without a length was closed without an end mark, although the streams of its
// service have one.
type missingEndMarkError struct{}

func (missingEndMarkError) Error() string {
	return "the connection was closed before the end mark of the stream"
}

// callerDisconnectedError says that a part of an answer could not be written to the caller.
type callerDisconnectedError struct{ cause error }

func (e callerDisconnectedError) Error() string { return e.cause.Error() }

func (e callerDisconnectedError) Unwrap() error { return e.cause }

// forward copies an engine's response to the caller as it arrives. It returns an error if the engine is at fault. If
// the caller has disconnected, it returns the outcome CallerDisconnected and no error.
func (a *answer) forward(response *http.Response) (attemptResult, error) {
	a.router.checkResponse(a.call, response.Header)
	err := a.begin(response)
	if err == nil {
		err = newResponseCopy(a, response).run()
	}
	var disconnected callerDisconnectedError
	switch {
	case errors.As(err, &disconnected):
		return attemptResult{CallerDisconnected, disconnected.Error()}, nil
	case err != nil:
		return attemptResult{}, err
	case response.StatusCode >= http.StatusInternalServerError:
		return attemptResult{Failed, ""}, nil
	}
	return attemptResult{Served, ""}, nil
}

// begin sends the head of the answer, unless an earlier attempt has sent it.
func (a *answer) begin(response *http.Response) error {
	if a.hasBegun {
		return nil
	}
	a.copyHeaders(response)
	a.w.WriteHeader(response.StatusCode)
	a.hasBegun = true
	isStream := isEventStream(response)
	if !isStream || !a.call.Request.Route.IsResumable {
		a.router.Chooser.Bind(a.call)
	}
	if !isStream {
		return nil
	}
	if err := a.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

func (a *answer) copyHeaders(response *http.Response) {
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
}

// write sends a part of the body to the caller and flushes it.
func (a *answer) write(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return callerDisconnectedError{err}
	}
	if err := a.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

// responseCopy copies the body of one engine's response to the caller. If the body is an event stream, it sends only
// complete events, so that another engine can resume the stream after the last of them.
type responseCopy struct {
	*answer
	response       *http.Response
	isStream       bool
	tokensPerEvent int
	resumedAfter   string // ID of the last event of earlier attempts
	// isResuming is set until an event has confirmed that the stream continues after resumedAfter.
	isResuming bool
}

// copyBufferBytes limits a single read from an engine.
const copyBufferBytes = 4096

func newResponseCopy(a *answer, response *http.Response) *responseCopy {
	tokensPerEvent := 1
	if config := a.router.Chooser.Config(); config != nil {
		tokensPerEvent = max(config.Services[a.call.Request.Service].Stride, 1)
	}
	a.events.pending, a.events.hasEndMark, a.events.hasEvents = a.events.pending[:0], false, false
	a.takeBuffer()
	return &responseCopy{
		answer: a, response: response, isStream: isEventStream(response), tokensPerEvent: tokensPerEvent,
		resumedAfter: a.events.lastID, isResuming: a.call.sentAttempts > 1 && a.events.lastID != "",
	}
}

// run copies the body to its end.
func (c *responseCopy) run() error {
	for {
		count, err := c.response.Body.Read(c.buffer[:])
		if count > 0 {
			if forwardErr := c.forwardChunk(c.buffer[:count]); forwardErr != nil {
				return forwardErr
			}
		}
		// Compared without errors.Is, since an error that wraps io.EOF of another reader is not the end of the body.
		if err == io.EOF {
			return c.finish()
		}
		if err != nil {
			return ExchangeError{"read the response body", err}
		}
	}
}

func (c *responseCopy) forwardChunk(chunk []byte) error {
	now := c.router.Env.Clock.Now()
	c.idleTimer.reset(c.call)
	if !c.isStream {
		return c.write(chunk)
	}
	completeEvents, err := c.takeEvents(now, chunk)
	if err != nil {
		return err
	}
	if len(completeEvents) > 0 {
		c.router.checkEventOrder(c.call, c.lastSentID, firstID(completeEvents))
		c.lastSentID = c.events.lastID
		if err := c.write(completeEvents); err != nil {
			return err
		}
	}
	c.events.discard(len(completeEvents))
	return nil
}

// takeEvents returns the events that a chunk completes. It fails if they must not be sent, because they do not continue
// a resumed stream, or if an event that has not ended yet is too long.
func (c *responseCopy) takeEvents(now kernel.Micros, chunk []byte) ([]byte, error) {
	completeEvents, events := c.events.feed(chunk)
	if events > 0 {
		c.router.Chooser.Produced(now, c.call, events*c.tokensPerEvent)
	}
	if c.isResuming && events > 0 {
		if err := c.checkResumed(completeEvents); err != nil {
			return nil, err
		}
	}
	if c.events.hasEventWithoutID {
		c.router.Chooser.Bind(c.call)
	}
	if size := len(c.events.pending) - len(completeEvents); size > maxEventBytes {
		return nil, ExchangeError{"read the response body", eventTooLongError{size}}
	}
	return completeEvents, nil
}

// checkResumed checks that the first events of a resumed stream follow the last one that the caller has.
func (c *responseCopy) checkResumed(completeEvents []byte) error {
	next := firstID(completeEvents)
	if c.events.hasEventWithoutID || next != "" && !isAfter(c.resumedAfter, next) {
		// The splitter has parsed these events, but the caller got none of them, so its state is restored.
		c.events.lastID, c.events.hasEventWithoutID = c.resumedAfter, false
		return ExchangeError{"resume the stream", eventOrderError{c.resumedAfter, next}}
	}
	// Comments have no ID, so they do not show where the stream continues.
	c.isResuming = next == ""
	return nil
}

// finish ends the answer at the end of the response's body. It sends the remaining bytes of an event that lacks its
// empty line.
func (c *responseCopy) finish() error {
	pending := c.events.pending
	if isDelimitedByClose(c.response) && (len(pending) > 0 || !c.response.ProtoAtLeast(1, 1)) {
		// Only the close of the connection marks the end of this body. Either it came in the middle of an event, or the
		// response used HTTP/1.0, where a chunked body would have been copied with its framing.
		return ExchangeError{"read the response body", io.ErrUnexpectedEOF}
	}
	if c.isStream && !c.isEndCredible() {
		return ExchangeError{"read the response body", missingEndMarkError{}}
	}
	if len(pending) == 0 {
		return nil
	}
	if c.isResuming {
		// No event has confirmed yet where the stream continues, so these bytes may belong to an event that the caller
		// has.
		return ExchangeError{"resume the stream", eventOrderError{c.resumedAfter, ""}}
	}
	return c.write(pending)
}

// isEndCredible reports whether a stream may have ended where its body did. An engine that is killed between two
// events closes a stream without a length exactly as if it had completed it; only an end mark tells these cases
// apart. So if the service's streams with a certain end close with an end mark, a stream that ends with its
// connection must close with one as well.
func (c *responseCopy) isEndCredible() bool {
	service := c.call.Request.Service
	if isDelimitedByClose(c.response) {
		return c.events.hasEndMark || !c.router.endMarks.isExpected(service)
	}
	if c.events.hasEvents {
		c.router.endMarks.observe(service, c.events.hasEndMark)
	}
	return true
}

// isDelimitedByClose reports whether a body has no length and ends with its connection. A close then ends the body; a
// reset interrupts it.
func isDelimitedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// firstID returns the ID of the first event that has one, or "".
func firstID(events []byte) string {
	for line := range bytes.SplitSeq(events, []byte{'\n'}) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isAfter reports whether an event with the ID next may follow one with the ID last: next has to be the larger number.
// If one of the IDs is not a number, they only have to differ.
func isAfter(last, next string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(next, 10, 64)
	if errBefore != nil || errAfter != nil {
		return next != last
	}
	return after > before
}
