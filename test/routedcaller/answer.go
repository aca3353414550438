package routedcaller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// failureBackoff is how long a caller waits after a failed attempt, which has no Retry-After header.
const failureBackoff = 50 * kernel.Millisecond

// ResponseReader reads the responses to requests from connections. Wire has the header names, and Clock
// is read when the first chunk of a stream arrives.
type ResponseReader struct {
	Wire  router.Wire
	Clock kernel.Clock
}

// Receive reads the response to a request and records it in the event of the request's end, including any error. The
// backoff is how long the caller has to wait, in microseconds. The value canReuse reports whether the connection may
// serve another request.
func (r ResponseReader) Receive(from *bufio.Reader, request *Request, end *checker.RoutedEvent) (backoff kernel.Micros, canReuse bool) {
	response, err := http.ReadResponse(from, &http.Request{Method: http.MethodPost})
	if err != nil {
		end.Ending, end.Why = endingOf(err, checker.NoAnswer), err.Error()
		return failureBackoff, false
	}
	end.Status, end.Run, end.GotID = response.StatusCode, response.Header.Get(r.Wire.EngineProof), response.Header.Get(r.Wire.RequestID)
	end.IsOwn = true
	if isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"); isStream && end.Status == http.StatusOK {
		err = r.receiveEvents(response.Body, end)
	} else {
		err = receiveBody(response, request, end)
	}
	if err == nil {
		// Only a body that was read to its end is closed, because Close would read the rest of any other body. After
		// an error the caller closes the connection instead.
		err = response.Body.Close()
	}
	if err != nil {
		end.Ending = endingOf(err, checker.Incomplete)
		if end.Why == "" {
			end.Why = err.Error()
		}
		return failureBackoff, false
	}
	end.Ending = checker.Complete
	return retryAfter(response), !response.Close
}

// retryAfter returns the delay in the Retry-After header, or 0 without a valid header.
func retryAfter(response *http.Response) kernel.Micros {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return kernel.Micros(seconds * float64(kernel.Second))
}

// receiveBody reads a body and compares it with the body that its run generated.
func receiveBody(response *http.Response, request *Request, end *checker.RoutedEvent) error {
	body, err := io.ReadAll(response.Body)
	want := emulator.ModelBody(end.Run, request.Out)
	if end.Status != http.StatusOK {
		want = emulator.ModelErrorBody(end.Run)
	}
	if end.Run != "" && (!bytes.HasPrefix(want, body) || err == nil && len(body) != len(want)) {
		end.IsOwn, end.Why = false, fmt.Sprintf("%.60q", body)
	}
	return err
}

// receiveEvents reads the events of a stream as they arrive, to the end of the body.
func (r ResponseReader) receiveEvents(body io.Reader, end *checker.RoutedEvent) error {
	var pending []byte
	buffer := make([]byte, 4096)
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		pending = r.recordEvents(pending, end)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err != nil {
			if len(pending) > 0 {
				end.IsOwn, end.Why = false, fmt.Sprintf("incomplete event at the end of the stream: %.80q", pending)
			}
			return nil
		}
	}
}

// recordEvents records the complete events in the pending bytes and returns the bytes after them.
func (r ResponseReader) recordEvents(pending []byte, end *checker.RoutedEvent) (rest []byte) {
	separator := []byte("\n\n")
	for {
		length := bytes.Index(pending, separator)
		if length < 0 {
			return pending
		}
		event := pending[:length+len(separator)]
		chunk, isOwn := emulator.ReadModelEvent(event)
		if !isOwn {
			end.IsOwn, end.Why = false, fmt.Sprintf("%.80q", event)
		}
		if len(end.Chunks) == 0 {
			end.FirstAt = r.Clock.Now()
		}
		end.Chunks = append(end.Chunks, chunk)
		pending = pending[len(event):]
	}
}

// endingOf returns how a response ended with an error. For a response that broke off it returns the given ending, and
// for bytes that are not HTTP it returns Malformed. A response that the deadline ended is Canceled.
func endingOf(err error, brokenOff checker.Ending) checker.Ending {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return checker.Canceled
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, new(*net.OpError)), errors.As(err, new(syscall.Errno)):
		return brokenOff
	}
	return checker.Malformed
}

// IsNotRun reports whether a response promises that the request did not run and never will.
func IsNotRun(end *checker.RoutedEvent) bool {
	return end.Ending == checker.Complete && (end.Status == http.StatusTooManyRequests || end.Status == http.StatusServiceUnavailable)
}

// IsFailure reports whether a response is unusable for its caller.
func IsFailure(end *checker.RoutedEvent) bool {
	return end.Ending != checker.Complete || end.Status >= http.StatusInternalServerError
}
