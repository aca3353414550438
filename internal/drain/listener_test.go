package drain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// serveTracked serves requests on loopback and returns the tracker and the address.
func serveTracked(c *qt.C, handler http.Handler) (*Listener, string) {
	listener := listenLocal(c)
	tracker := NewListener("test", listener)
	server := &http.Server{Handler: handler, ConnState: tracker.SetState, ReadHeaderTimeout: testTimeout}
	go func() {
		err := server.Serve(tracker)
		c.Check(errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed), qt.IsTrue, qt.Commentf("%v", err))
	}()
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

// readEmptyAnswer reads an answer that has to have status 204 and no body.
func readEmptyAnswer(from *bufio.Reader) error {
	answer, err := http.ReadResponse(from, nil)
	if err != nil {
		return fmt.Errorf("read an answer: %w", err)
	}
	if answer.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("the status is %d", answer.StatusCode)
	}
	return errors.Join(err, answer.Body.Close())
}

// heldListener holds back the bytes that its connections read while isHolding is set, as a busy process does.
type heldListener struct {
	net.Listener
	isHolding atomic.Bool
	isHeld    chan bool // receives a value when the bytes of a read are held back
	release   chan bool // lets the bytes of one read go on
}

func (l *heldListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConnection{connection, l}, nil
}

type heldConnection struct {
	net.Conn
	listener *heldListener
}

func (c heldConnection) Read(to []byte) (int, error) {
	count, err := c.Conn.Read(to)
	if count > 0 && c.listener.isHolding.Load() {
		c.listener.isHeld <- true
		<-c.listener.release
	}
	return count, err
}

// A request that has been read when the server begins to drain is answered, on a new and on a kept connection.
func TestARequestReadJustBeforeAStopIsAnswered(t *testing.T) {
	for _, earlierRequests := range []int{0, 1} {
		t.Run(fmt.Sprintf("after %d requests", earlierRequests), func(t *testing.T) {
			c := qt.New(t)
			listener := &heldListener{Listener: listenLocal(c), isHeld: make(chan bool), release: make(chan bool)}
			connections := NewListener("test", listener)
			server := &http.Server{
				Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
				ConnState: connections.SetState, ReadHeaderTimeout: testTimeout,
			}
			go func() { c.Check(server.Serve(connections), qt.ErrorIs, net.ErrClosed) }()
			defer checkClose(c, server)
			caller := dialLocal(c, listener.Addr().String())
			defer checkClose(c, caller)
			answers := bufio.NewReader(caller)
			send := func() {
				_, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
				c.Assert(err, qt.IsNil)
			}
			for range earlierRequests {
				send()
				c.Assert(readEmptyAnswer(answers), qt.IsNil)
			}
			listener.isHolding.Store(true)
			send()
			<-listener.isHeld
			c.Assert(connections.Drain(), qt.IsNil)
			listener.isHolding.Store(false)
			listener.release <- true
			c.Assert(readEmptyAnswer(answers), qt.IsNil)
			_, err := answers.ReadByte()
			c.Assert(err, qt.ErrorIs, io.EOF)
			c.Assert(connections.Unanswered(), qt.Equals, uint64(0))
		})
	}
}

// A draining server ends the connections that send nothing, and keeps one whose request is in progress.
func TestDrainingEndsOnlyConnectionsThatWait(t *testing.T) {
	c := qt.New(t)
	isBegun, mayEnd := make(chan bool), make(chan bool)
	connections, address := serveTracked(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		isBegun <- true
		<-mayEnd
		w.WriteHeader(http.StatusNoContent)
	}))
	busy, unused := dialLocal(c, address), dialLocal(c, address)
	defer checkClose(c, busy)
	defer checkClose(c, unused)
	_, err := busy.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	<-isBegun
	c.Assert(connections.Drain(), qt.IsNil)
	_, err = unused.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(connections.Open(), qt.Equals, 1)
	mayEnd <- true
	c.Assert(readEmptyAnswer(bufio.NewReader(busy)), qt.IsNil)
	for !connections.IsEmpty() {
		runtime.Gosched()
	}
}
