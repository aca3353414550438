package router

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// answer is what a caller gets, from one engine or from several.
type answer struct {
	router      *Router
	w           http.ResponseWriter
	r           *http.Request
	control     *http.ResponseController
	call        *Call
	events      eventSplitter
	hasBegun    bool   // the head went out
	lastSentID  string // the id of the last event that went out
	idleTimer   *time.Timer
	idleTimeout kernel.Micros
	buffer      []byte
}

// stray says that a stream went on with an event that the caller has had.
type strayEventError struct{ last, next string }

func (b strayEventError) Error() string {
	return fmt.Sprintf("the stream goes on with event %q after %q", b.next, b.last)
}

// forward passes an engine's answer on as it comes. An error is the engine's failure.
func (a *answer) forward(response *http.Response) (Outcome, string, error) {
	call := a.call
	a.router.checkAnswer(call, response.Header)
	isStream := isEventStream(response)
	outcome := Served
	if response.StatusCode >= 500 {
		outcome = Failed
	}
	// Without a length the answer ends with its connection: closed it is whole, reset it is not.
	isClosing := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	if !a.hasBegun {
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
		a.w.WriteHeader(response.StatusCode)
		a.hasBegun = true
		if !isStream || !call.Request.Route.IsResumable {
			a.router.Chooser.Bind(call)
		}
		if isStream {
			if err := a.control.Flush(); err != nil {
				return CallerDisconnected, err.Error(), nil
			}
		}
	}
	config := a.router.Chooser.Config()
	stride := 1
	if config != nil {
		stride = max(config.Services[call.Request.Service].Stride, 1)
	}
	a.events.pending = a.events.pending[:0]
	last, isResumed := a.events.lastID, call.sentAttempts > 1 && a.events.lastID != ""
	if a.buffer == nil {
		a.buffer = make([]byte, 4096)
	}
	for {
		count, err := response.Body.Read(a.buffer)
		if count > 0 {
			now := a.router.Env.Clock.Now()
			if a.idleTimer != nil {
				a.idleTimer.Reset(max(a.idleTimeout, engineTimeout(call, true)).Duration())
			}
			chunk := a.buffer[:count]
			if isStream {
				completeEvents, events := a.events.take(chunk)
				if events > 0 {
					a.router.Chooser.Produced(now, call, events*stride)
				}
				if isResumed && events > 0 {
					next := firstID(completeEvents)
					if a.events.isUnnumbered || next != "" && !isAfter(last, next) {
						// The splitter has read its ids already; the caller got none of them.
						a.events.lastID, a.events.isUnnumbered = last, false
						return 0, "", ExchangeError{"go on with the stream", strayEventError{last, next}}
					}
					// Comments say nothing of where the stream goes on.
					isResumed = next == ""
				}
				if a.events.isUnnumbered {
					a.router.Chooser.Bind(call)
				}
				if size := len(a.events.pending) - len(completeEvents); size > maxEventBytes {
					return 0, "", ExchangeError{"read the body", eventTooLongError{size}}
				}
				chunk = completeEvents
			}
			if isStream && len(chunk) > 0 {
				a.router.checkEventOrder(call, a.lastSentID, firstID(chunk))
				a.lastSentID = a.events.lastID
			}
			if len(chunk) > 0 {
				if writeErr := a.write(chunk); writeErr != nil {
					return CallerDisconnected, writeErr.Error(), nil
				}
			}
			if isStream {
				a.events.done(len(chunk))
			}
		}
		switch {
		case err == io.EOF && isClosing && (len(a.events.pending) > 0 || !response.ProtoAtLeast(1, 1)):
			// Nothing but the close tells its end, and that came in the middle of an event; or the older
			// protocol was spoken, in which chunks would have been taken for the body.
			return 0, "", ExchangeError{"read the body", io.ErrUnexpectedEOF}
		case err == io.EOF:
			if len(a.events.pending) > 0 {
				if isResumed {
					// It may be the start of what the caller has had.
					return 0, "", ExchangeError{"go on with the stream", strayEventError{last, ""}}
				}
				if writeErr := a.write(a.events.pending); writeErr != nil {
					return CallerDisconnected, writeErr.Error(), nil
				}
			}
			return outcome, "", nil
		case err != nil:
			return 0, "", ExchangeError{"read the body", err}
		}
	}
}

func (a *answer) write(chunk []byte) error {
	if _, err := a.w.Write(chunk); err != nil {
		return err
	}
	return a.control.Flush()
}

// firstID reads the id of the first event.
func firstID(events []byte) string {
	for line := range bytes.SplitSeq(events, []byte{'\n'}) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isAfter tells whether an event may follow another; of ids that are no numbers no more can be
// said than that they differ.
func isAfter(last, next string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(next, 10, 64)
	if errBefore != nil || errAfter != nil {
		return next != last
	}
	return after > before
}
