package server

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// serveTracked serves requests on loopback and returns the tracker and the address.
func serveTracked(c *qt.C, handler http.Handler) (*connectionTracker, string) {
	listener := listenLocal(c)
	tracker := newConnectionTracker("test", listener)
	server := &http.Server{Handler: handler, ConnState: tracker.setState, ReadHeaderTimeout: readHeaderTimeout}
	go func() { c.Check(server.Serve(tracker), qt.ErrorIs, http.ErrServerClosed) }()
	c.Cleanup(func() { checkClose(c, server) })
	return tracker, listener.Addr().String()
}

func TestARequestWithoutAnAnswerIsCounted(t *testing.T) {
	c := qt.New(t)
	served := make(chan bool)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/aborted":
			panic(http.ErrAbortHandler)
		case "/abandoned":
			<-r.Context().Done()
			served <- true
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	tracker, address := serveTracked(c, handler)
	send := func(path string) net.Conn {
		connection := dialLocal(c, address)
		_, err := connection.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		return connection
	}
	isEnded := func(connection net.Conn) bool {
		answer := make([]byte, 4096)
		for {
			if _, err := connection.Read(answer); err != nil {
				return true
			}
		}
	}
	c.Assert(isEnded(send("/aborted")), qt.IsTrue)
	c.Assert(tracker.Unanswered(), qt.Equals, uint64(1))
	// An answered request, after which the caller closes, and one that its caller gives up.
	answered := send("/answered")
	_, err := answered.Read(make([]byte, 4096))
	c.Assert(err, qt.IsNil)
	checkClose(c, answered)
	checkClose(c, send("/abandoned"))
	<-served
	c.Assert(isEnded(send("/aborted")), qt.IsTrue)
	c.Assert(tracker.Unanswered(), qt.Equals, uint64(2))
}
