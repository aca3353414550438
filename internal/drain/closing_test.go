package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// behindConnection says of all its reads whether a request was read behind the one that is served.
type behindConnection struct {
	net.Conn
	hasRequest *atomic.Bool
}

func (c behindConnection) HasRequestBehind() bool { return c.hasRequest.Load() }

// behindListener accepts a behindConnection.
type behindListener struct {
	net.Listener
	hasRequest *atomic.Bool
}

func (l behindListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return behindConnection{connection, l.hasRequest}, nil
}

// Guards against an answer that begins after a stop and says nothing of the end of its connection, and against one that
// ends the connection of a request that was read behind it.
func TestAnAnswerSaysThatItsConnectionEnds(t *testing.T) {
	answers := map[string]func(w http.ResponseWriter, stop func()){
		"nothing written": func(_ http.ResponseWriter, stop func()) { stop() },
		"a status":        func(w http.ResponseWriter, stop func()) { stop(); w.WriteHeader(http.StatusAccepted) },
		"a body":          func(w http.ResponseWriter, stop func()) { stop(); _, _ = io.WriteString(w, "x") },
		"a flush":         func(w http.ResponseWriter, stop func()) { stop(); _ = http.NewResponseController(w).Flush() },
		"an interim response before the stop": func(w http.ResponseWriter, stop func()) {
			w.WriteHeader(http.StatusEarlyHints)
			stop()
			w.WriteHeader(http.StatusOK)
		},
	}
	for name, write := range answers {
		for _, hasRequestBehind := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				var isStopping, isBehind atomic.Bool
				isBehind.Store(hasRequestBehind)
				listener := NewListener("test", behindListener{listenLocal(c), &isBehind})
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w, func() { isStopping.Store(true) }) })
				server := &http.Server{
					Handler: CloseWhenStopping(isStopping.Load, handler), ConnState: listener.SetState, ConnContext: ConnContext, ReadHeaderTimeout: testTimeout,
				}
				go func() { c.Check(server.Serve(listener), qt.ErrorIs, http.ErrServerClosed) }()
				defer checkClose(c, server)
				caller := dialLocal(c, listener.Addr().String())
				defer checkClose(c, caller)
				_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				c.Assert(err, qt.IsNil)
				c.Check(closesAfterAnswer(c, caller), qt.Equals, !hasRequestBehind)
			})
		}
	}
}

// closesAfterAnswer reads an answer after the interim responses before it, and reports whether it ends its connection.
func closesAfterAnswer(c *qt.C, from io.Reader) bool {
	reader := bufio.NewReader(from)
	for {
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Body.Close(), qt.IsNil)
		if answer.StatusCode >= http.StatusOK {
			return answer.Close
		}
	}
}
