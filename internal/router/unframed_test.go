package router

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// resetConnection tells of the other side's close as a reset.
type resetConnection struct{ net.Conn }

func (c resetConnection) Read(to []byte) (int, error) {
	count, err := c.Conn.Read(to)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return count, err
}

// An answer may have no length and end with its connection. A connection that is reset is no end, and
// neither is one in the middle of an event.
func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	stream := "Content-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct {
		name, answer, body string
		isReset, isTorn    bool
	}{
		{"closed", head("r1", "\r\nhi"), "hi", false, false},
		{"closed, as it said", head("r1", "Connection: close\r\n\r\nhi"), "hi", false, false},
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
				h.isReset = test.isReset
				h.script("e1", func(number int, r *http.Request, to net.Conn) bool {
					if r.Header.Get(DefaultWire().RequestID) == "r1" {
						writeRaw(to, test.answer)
						return false
					}
					return plainAnswer("own")(number, r, to)
				})
				recorder, isTorn := h.call("POST", "r1", nil)
				c.Assert(isTorn, qt.Equals, test.isTorn)
				if !isTorn {
					c.Assert(recorder.Code, qt.Equals, http.StatusOK)
					c.Assert(recorder.Body.String(), qt.Equals, test.body)
				}
				// Nothing else goes over a connection that has ended.
				recorder, isTorn = h.call("POST", "r2", nil)
				c.Assert(isTorn, qt.IsFalse)
				c.Assert(recorder.Body.String(), qt.Equals, "own")
				c.Assert(h.runs["e1"], qt.Equals, 2)
			})
		})
	}
}
