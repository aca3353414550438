package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// A router at one of its limits rejects new requests immediately and continues to serve those in flight. It accepts new
// ones again once it is below its limits.
func TestABurstIsRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		discard(c, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		flush(c, w)
		<-release
		write(c, w, stream(2))
	})
	router := newTestRouter(c, engine)
	assertRejected := func(why, body string) {
		c.Helper()
		answer := router.open(body)
		c.Assert(answer.status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
		c.Assert(answer.header.Get("Retry-After"), qt.Equals, "1")
		text := answer.text()
		c.Assert(text, qt.Contains, `"crowded"`)
		c.Assert(text, qt.Contains, why)
	}
	first, second := router.open(requestBody), router.open(requestBody)
	router.forwarder.Limits = Limits{InFlight: 2, BodyBytes: 1 << 20}
	assertRejected("2 requests", requestBody)
	router.forwarder.Limits = Limits{InFlight: 9, BodyBytes: 200}
	assertRejected("200 bytes", `{"prompt":"`+strings.Repeat("x", 400)+`","max_tokens":1}`)
	isOverloaded := true
	router.forwarder.Limits, router.forwarder.IsOverloaded = DefaultLimits(), func() bool { return isOverloaded }
	assertRejected("limit of open connections", requestBody)
	isOverloaded = false
	c.Assert(router.forwarder.ReservedBytes(), qt.Equals, int64(2*len(requestBody)))
	close(release)
	for _, answer := range []answer{first, second, router.open(requestBody)} {
		c.Assert(answer.text(), qt.Equals, stream(2))
	}
	router.assertIdle()
	c.Assert(router.dispatcher.Counts().Rejected["crowded"], qt.Equals, uint64(3))
}

// A body without Content-Length is counted as it is read.
func TestABodyOfUnknownLengthIsBoundedToo(t *testing.T) {
	c := qt.New(t)
	router := newTestRouter(c, newEngine(c, func(http.ResponseWriter, *http.Request) { c.Error("the request reached the engine") }))
	router.forwarder.Limits = Limits{InFlight: 9, BodyBytes: 1000}
	answer := router.send(io.MultiReader(strings.NewReader(`{"prompt":"`), strings.NewReader(strings.Repeat("x", 5000))))
	c.Assert(answer.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.header.Get(HeaderRun), qt.Equals, string(NotRun))
	router.assertIdle()
}

// A caller that does not send its body within CallerBody gets a rejection with NotRun.
func TestASlowSenderIsDisconnected(t *testing.T) {
	c := qt.New(t)
	router := newTestRouter(c, newEngine(c, func(http.ResponseWriter, *http.Request) {}))
	router.forwarder.Timeouts.CallerBody = kernel.Millisecond
	connection := router.connect()
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(response.Body.Close(), qt.IsNil) }()
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Assert(response.Header.Get(HeaderRun), qt.Equals, string(NotRun))
}

// A caller that reads nothing is disconnected after CallerStall, which also cancels the request to the
// engine.
func TestASlowReaderIsDisconnected(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	engine := newEngine(c, func(w http.ResponseWriter, r *http.Request) {
		discard(c, r.Body)
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	router := newTestRouter(c, engine)
	router.forwarder.Timeouts.CallerStall = 50 * kernel.Millisecond
	connection := router.connect()
	_, err := fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	c.Assert(err, qt.IsNil)
	<-ended
	router.assertIdle()
	c.Assert(router.dispatcher.Counts().CallerDisconnects, qt.Equals, uint64(1))
}
