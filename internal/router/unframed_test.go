package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// resetConnection reports the other side's close as a reset.
type resetConnection struct{ net.Conn }

func (c resetConnection) Read(to []byte) (int, error) {
	count, err := c.Conn.Read(to)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return count, err
}

// A response may have no length and end with its connection. A reset, or a close in the middle of an event, does not
// end it properly.
func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	stream := "Content-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct {
		name, answer, body        string
		resetOnClose, isTruncated bool
	}{
		{"closed", head("r1", "\r\nhi"), "hi", false, false},
		{"closed, as announced", head("r1", "Connection: close\r\n\r\nhi"), "hi", false, false},
		{"closed, with no body", head("r1", "\r\n"), "", false, false},
		{"reset", head("r1", "\r\nhi"), "", true, true},
		{"a stream, closed", head("r1", stream+event(1)+event(2)), event(1) + event(2), false, false},
		{"a stream, reset", head("r1", stream+event(1)+event(2)), "", true, true},
		{"a stream, closed in the middle of an event", head("r1", stream+event(1)+"id: 2\ndata"), "", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 3, LatencyTarget: kernel.Second}, "e1")
				h.resetOnClose = test.resetOnClose
				h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
					if r.Header.Get(DefaultWire().RequestID) == "r1" {
						writeRaw(to, test.answer)
						return false
					}
					return plainResponse("own")(number, r, to)
				})
				recorder, isTruncated := h.call("POST", "r1", nil)
				c.Assert(isTruncated, qt.Equals, test.isTruncated)
				if !isTruncated {
					c.Assert(recorder.Code, qt.Equals, http.StatusOK)
					c.Assert(recorder.Body.String(), qt.Equals, test.body)
				}
				// The connection is not reused.
				recorder, isTruncated = h.call("POST", "r2", nil)
				c.Assert(isTruncated, qt.IsFalse)
				c.Assert(recorder.Body.String(), qt.Equals, "own")
				c.Assert(h.runs["e1"], qt.Equals, 2)
			})
		})
	}
}

// An engine that is killed between two events closes its connection exactly as if the stream were complete. If the
// service's streams have an end mark, a close before it truncates the stream.
func TestAStreamThatIsClosedBeforeItsEndMarkIsBrokenOff(t *testing.T) {
	const mark = "data: [DONE]\n\n"
	unframed := "Content-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct {
		name string
		// complete holds the bodies of earlier streams of the service, which were sent in chunks.
		complete    []string
		body        string
		isTruncated bool
	}{
		{"no stream was seen", nil, event(1), false},
		{"streams have no mark", []string{event(1)}, event(1), false},
		{"streams have a mark, this one as well", []string{event(1) + mark}, event(1) + mark, false},
		{"streams have a mark, this one has none", []string{event(1) + mark}, event(1), true},
		{"streams have a mark, this one has no event", []string{event(1) + mark}, "", true},
		{"the mark is followed by a comment", []string{event(1) + mark}, event(1) + mark + ": bye\n\n", false},
		{"the mark is in the middle", []string{event(1) + mark}, mark + event(1), true},
		{"the mark is a part of a text", []string{event(1) + "data: not [DONE]\n\n"}, event(1), false},
		{"a mark with an id", []string{"id: 2\ndata: [DONE]\n\n"}, event(1), true},
		{"a mark without a space", []string{"data:[DONE]\r\n\r\n"}, event(1), true},
		{"streams no longer have a mark", []string{event(1) + mark, event(1)}, event(1), false},
		{"streams without events say nothing", []string{event(1) + mark, ""}, event(1), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(t, fleetconfig.Route{Kind: fleetconfig.Unsafe, MaxAttempts: 3, LatencyTarget: kernel.Second}, "e1")
				h.script("e1", func(_ int, r *http.Request, to net.Conn) bool {
					id := r.Header.Get(DefaultWire().RequestID)
					number, err := strconv.Atoi(id)
					if err != nil {
						writeRaw(to, head(id, unframed+test.body))
						return false
					}
					writeRaw(to, head(id, streamHead))
					if text := test.complete[number]; text != "" {
						writeRaw(to, chunk(text))
					}
					writeRaw(to, "0\r\n\r\n")
					return true
				})
				for number, body := range test.complete {
					recorder, isTruncated := h.call("POST", strconv.Itoa(number), nil)
					c.Assert(isTruncated, qt.IsFalse)
					c.Assert(recorder.Body.String(), qt.Equals, body)
				}
				recorder, isTruncated := h.call("POST", "unframed", nil)
				c.Assert(isTruncated, qt.Equals, test.isTruncated)
				c.Assert(recorder.Body.String(), qt.Equals, test.body)
			})
		})
	}
}
