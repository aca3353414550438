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

// answer is what a caller gets, from one engine or, where a stream is resumed, from several.
type answer struct {
	router     *Router
	w          http.ResponseWriter
	r          *http.Request
	control    *http.ResponseController
	call       *Call
	events     eventSplitter
	hasBegun   bool                   // the head went out
	lastSentID string                 // the id of the last event that went out
	idleTimer  *idleTimer             // of the attempt under way; nil: its engine may take any time
	buffer     *[copyBufferBytes]byte // nil until the first response is copied
}

// releaseBuffer gives the buffer back for other answers.
func (a *answer) releaseBuffer() {
	if a.buffer != nil {
		a.router.copyBuffers.Put(a.buffer)
		a.buffer = nil
	}
}

// takeBuffer has the answer own a buffer until releaseBuffer.
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

// eventOrderError says that a stream went on with an event that the caller has had.
type eventOrderError struct{ last, next string }

func (e eventOrderError) Error() string {
	return fmt.Sprintf("the stream goes on with event %q after %q", e.next, e.last)
}

// missingEndMarkError says that a close came where the service's streams have an end mark, and this one has none.
type missingEndMarkError struct{}

func (missingEndMarkError) Error() string {
	return "the connection was closed before the event that ends the streams of this service"
}

// callerDisconnectedError says that a part of an answer could not be written to the caller.
type callerDisconnectedError struct{ cause error }

func (e callerDisconnectedError) Error() string { return e.cause.Error() }

func (e callerDisconnectedError) Unwrap() error { return e.cause }

// forward copies an engine's response to the caller as it comes. An error is the engine's fault; a caller
// that has gone is a result.
func (a *answer) forward(response *http.Response) (attemptResult, error) {
	a.router.checkAnswer(a.call, response.Header)
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

// begin sends the head of the caller's answer, unless an earlier attempt has.
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

// write sends a part of the body to the caller at once.
func (a *answer) write(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return callerDisconnectedError{err}
	}
	if err := a.control.Flush(); err != nil {
		return callerDisconnectedError{err}
	}
	return nil
}

// responseCopy is one engine's response while its body is copied to the caller. Of a stream only complete
// events go out, so that another engine can resume it after the last of them.
type responseCopy struct {
	*answer
	response       *http.Response
	isStream       bool
	tokensPerEvent int
	resumedAfter   string // the id of the last event of earlier attempts
	// isResuming: no event has shown yet that the stream goes on after resumedAfter.
	isResuming bool
}

// copyBufferBytes is the most that is read from an engine at once.
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
		// Compared as it is: an error that wraps the end of another reader is not the end of the body.
		if err == io.EOF {
			return c.finish()
		}
		if err != nil {
			return ExchangeError{"read the body", err}
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

// takeEvents gives the events that a chunk completes, after the checks that they may go out.
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
		return nil, ExchangeError{"read the body", eventTooLongError{size}}
	}
	return completeEvents, nil
}

// checkResumed checks that the first events of a resumed stream follow those that the caller has.
func (c *responseCopy) checkResumed(completeEvents []byte) error {
	next := firstID(completeEvents)
	if c.events.hasEventWithoutID || next != "" && !isAfter(c.resumedAfter, next) {
		// The splitter has read its ids already; the caller got none of them.
		c.events.lastID, c.events.hasEventWithoutID = c.resumedAfter, false
		return ExchangeError{"go on with the stream", eventOrderError{c.resumedAfter, next}}
	}
	// Comments say nothing of where the stream goes on.
	c.isResuming = next == ""
	return nil
}

// finish ends the answer after the end of the body, with the bytes that are left of an event without its
// empty line.
func (c *responseCopy) finish() error {
	pending := c.events.pending
	if isDelimitedByClose(c.response) && (len(pending) > 0 || !c.response.ProtoAtLeast(1, 1)) {
		// Nothing but the close marks its end, and that came in the middle of an event; or the older
		// protocol was spoken, in which chunks would have been taken for the body.
		return ExchangeError{"read the body", io.ErrUnexpectedEOF}
	}
	if c.isStream && !c.isEndCredible() {
		return ExchangeError{"read the body", missingEndMarkError{}}
	}
	if len(pending) == 0 {
		return nil
	}
	if c.isResuming {
		// It may be the start of what the caller has had.
		return ExchangeError{"go on with the stream", eventOrderError{c.resumedAfter, ""}}
	}
	return c.write(pending)
}

// isEndCredible tells whether a stream may have ended where its body did. An engine that is killed between two events of a
// stream without a length closes its connection as one that is done. Only the stream's own form tells these apart: where
// the service's streams of a certain end close with an end mark, one that a close ends must have it as well.
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

// isDelimitedByClose tells that a body has no length and ends with its connection: a close ends it, a reset
// breaks it off.
func isDelimitedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// firstID reads the id of the first event that has one; empty: none has.
func firstID(events []byte) string {
	for line := range bytes.SplitSeq(events, []byte{'\n'}) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isAfter tells whether an event may follow another. Of ids that are not numbers only equality can be told.
func isAfter(last, next string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(next, 10, 64)
	if errBefore != nil || errAfter != nil {
		return next != last
	}
	return after > before
}
