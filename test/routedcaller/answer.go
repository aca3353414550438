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

// failureBackoff is how long a caller waits after a failure that names no time.
const failureBackoff = 50 * kernel.Millisecond

// AnswerReader reads the answers to requests off connections.
type AnswerReader struct {
	Wire  router.Wire
	Clock kernel.Clock
}

// Receive reads the answer to a request and enters what came into the event of its end. The pause
// is how long the answer asks its caller to wait, canKeep whether the connection may serve again.
func (r AnswerReader) Receive(from *bufio.Reader, request *Request, over *checker.RoutedEvent) (pause kernel.Micros, canKeep bool) {
	response, err := http.ReadResponse(from, &http.Request{Method: "POST"})
	if err != nil {
		over.Ending, over.Why = endOf(err, checker.NoAnswer), err.Error()
		return failureBackoff, false
	}
	over.Status, over.Run, over.GotID = response.StatusCode, response.Header.Get(r.Wire.EngineProof), response.Header.Get(r.Wire.RequestID)
	if text := response.Header.Get("Retry-After"); text != "" {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil {
			pause = kernel.Micros(seconds * float64(kernel.Second))
		}
	}
	over.IsOwn = true
	if isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"); isStream && over.Status == http.StatusOK {
		err = r.receiveEvents(response.Body, over)
	} else {
		err = receiveBody(response, request, over)
	}
	if err != nil {
		over.Ending = endOf(err, checker.Incomplete)
		if over.Why == "" {
			over.Why = err.Error()
		}
		return failureBackoff, false
	}
	over.Ending = checker.Complete
	return pause, !response.Close
}

// receiveBody reads a body and holds it against what its run made.
func receiveBody(response *http.Response, request *Request, over *checker.RoutedEvent) error {
	body, err := io.ReadAll(response.Body)
	want := emulator.ModelBody(over.Run, request.Out)
	if over.Status != http.StatusOK {
		want = emulator.ModelFailure(over.Run)
	}
	if over.Run != "" && (!bytes.HasPrefix(want, body) || err == nil && len(body) != len(want)) {
		over.IsOwn, over.Why = false, fmt.Sprintf("%.60q", body)
	}
	return err
}

// receiveEvents reads a stream's events as they come.
func (r AnswerReader) receiveEvents(body io.Reader, over *checker.RoutedEvent) error {
	var pending []byte
	buffer := make([]byte, 4096)
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		for {
			end := bytes.Index(pending, []byte("\n\n"))
			if end < 0 {
				break
			}
			chunk, isOwn := emulator.ReadModelEvent(pending[:end+2])
			if !isOwn {
				over.IsOwn, over.Why = false, fmt.Sprintf("%.80q", pending[:end+2])
			}
			if len(over.Chunks) == 0 {
				over.FirstAt = r.Clock.Now()
			}
			over.Chunks = append(over.Chunks, chunk)
			pending = pending[end+2:]
		}
		switch {
		case err == io.EOF && len(pending) > 0:
			over.IsOwn, over.Why = false, fmt.Sprintf("half an event at the end: %.80q", pending)
			return nil
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// endOf tells an answer that broke off from bytes that are none.
func endOf(err error, otherwise checker.Ending) checker.Ending {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return checker.Canceled
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, new(*net.OpError)), errors.As(err, new(syscall.Errno)):
		return otherwise
	}
	return checker.Malformed
}

// IsNotRun tells that an answer promises that the request did not run and never will.
func IsNotRun(over *checker.RoutedEvent) bool {
	return over.Ending == checker.Complete && (over.Status == http.StatusTooManyRequests || over.Status == http.StatusServiceUnavailable)
}

// IsFailure tells that an answer is none that a caller could use.
func IsFailure(over *checker.RoutedEvent) bool {
	return over.Ending != checker.Complete || over.Status >= http.StatusInternalServerError
}
