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
)

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

// forward copies an engine's response to the caller as it arrives. It returns an error if the engine is at fault. If
// the caller has disconnected, it returns the outcome CallerDisconnected and no error.
func (a *answer) forward(run *attemptRun, response *http.Response) (attemptResult, error) {
	a.router.checkResponse(a.call, response.Header)
	err := a.begin(run, response)
	if err == nil {
		copying := newResponseCopy(a, run, response)
		defer copying.releaseBuffer()
		err = copying.copyAll()
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

// responseCopy copies the body of one engine's response to the caller. If the body is an event stream, it sends only
// complete events, so that another engine can resume the stream after the last of them.
type responseCopy struct {
	*answer
	run            *attemptRun
	response       *http.Response
	buffer         *[copyBufferBytes]byte
	events         eventSplitter
	isStream       bool
	tokensPerEvent int
	// isResuming is set until an event has confirmed that the stream continues after run.resumedAfter.
	isResuming bool
}

// copyBufferBytes limits a single read from an engine.
const copyBufferBytes = 4096

func newResponseCopy(a *answer, run *attemptRun, response *http.Response) *responseCopy {
	tokensPerEvent := 1
	if config := a.router.Chooser.Config(); config != nil {
		tokensPerEvent = max(config.Services[a.call.Request.Service].Stride, 1)
	}
	return &responseCopy{
		answer: a, run: run, response: response, buffer: a.router.takeCopyBuffer(), events: eventSplitter{lastID: run.resumedAfter},
		isStream: isEventStream(response), tokensPerEvent: tokensPerEvent, isResuming: run.attempt.isRepeat && run.resumedAfter != "",
	}
}

// takeCopyBuffer returns a buffer of the router's pool.
func (rt *Router) takeCopyBuffer() *[copyBufferBytes]byte {
	if buffer, isBuffer := rt.copyBuffers.Get().(*[copyBufferBytes]byte); isBuffer {
		return buffer
	}
	return new([copyBufferBytes]byte)
}

// releaseBuffer returns the buffer to the router's pool.
func (c *responseCopy) releaseBuffer() { c.router.copyBuffers.Put(c.buffer) }

// copyAll copies the body to its end.
func (c *responseCopy) copyAll() error {
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
	// The time that the caller takes to read is not the engine's.
	defer c.run.idleTimer.reset(c.call)
	if !c.isStream {
		return c.write(c.run, chunk)
	}
	completeEvents, err := c.takeEvents(now, chunk)
	if err != nil {
		return err
	}
	if len(completeEvents) > 0 {
		if err := c.writeEvents(c.run, completeEvents, c.events.lastID, c.events.hasEventWithoutID); err != nil {
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
		c.router.Chooser.Produced(now, c.run.attempt, events*c.tokensPerEvent)
	}
	if c.isResuming && events > 0 {
		if err := c.checkResumed(completeEvents); err != nil {
			return nil, err
		}
	}
	if size := len(c.events.pending) - len(completeEvents); size > maxEventBytes {
		return nil, ExchangeError{"read the response body", eventTooLongError{size}}
	}
	return completeEvents, nil
}

// checkResumed checks that the first events of a resumed stream follow the last one that the caller has.
func (c *responseCopy) checkResumed(completeEvents []byte) error {
	next := firstID(completeEvents)
	if c.events.hasEventWithoutID || next != "" && !isAfter(c.run.resumedAfter, next) {
		return ExchangeError{"resume the stream", eventOrderError{c.run.resumedAfter, next}}
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
		return c.end(c.run)
	}
	if c.isResuming {
		// No event has confirmed yet where the stream continues, so these bytes may belong to an event that the caller
		// has.
		return ExchangeError{"resume the stream", eventOrderError{c.run.resumedAfter, ""}}
	}
	return c.write(c.run, pending)
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
