package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordedRequests is a handler that records the paths of the requests it serves.
type recordedRequests struct {
	lock  sync.Mutex
	paths []string
}

func (h *recordedRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	h.lock.Lock()
	h.paths = append(h.paths, r.URL.Path)
	h.lock.Unlock()
	// The client may have disconnected. The tests read the responses, so the error is of no use here.
	_, _ = fmt.Fprint(w, len(body), err)
}

func (h *recordedRequests) seen() []string {
	h.lock.Lock()
	defer h.lock.Unlock()
	return append([]string{}, h.paths...)
}

// exchange sends text over one connection and returns the statuses of the responses up to the connection's close.
func exchange(c *qt.C, address, text string) (statuses []int) {
	connection := dialLocal(c, address)
	defer checkClose(c, connection)
	_, err := io.WriteString(connection, text)
	c.Assert(err, qt.IsNil)
	tcp, isTCP := connection.(*net.TCPConn)
	c.Assert(isTCP, qt.IsTrue)
	c.Assert(tcp.CloseWrite(), qt.IsNil)
	reader := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		statuses = append(statuses, response.StatusCode)
	}
}

// Request smuggling: a request with both Content-Length and Transfer-Encoding hides a second request in its body. One
// server treats it as part of the body, another one as a separate request. The outer request has to be rejected.
func TestRequestSmugglingIsRejected(t *testing.T) {
	c := qt.New(t)
	handler := &recordedRequests{}
	node := startDeployed(c, validDeployment(c, []string{freeAddress(c)}, freeAddress(c)), handler)
	<-node.services
	awaitStatus(node.Callers, "/first", http.StatusOK)
	hidden := "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	inner := "0\r\n\r\n" + hidden
	both := "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n\r\n%s"
	for _, chunked := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "TRANSFER-ENCODING: \tchunked"} {
		statuses := exchange(c, node.Callers, fmt.Sprintf(both, len(inner), chunked, inner))
		c.Check(statuses, qt.DeepEquals, []int{http.StatusBadRequest}, qt.Commentf("%s", chunked))
	}
	for _, path := range handler.seen() {
		c.Check(path, qt.Equals, "/first")
	}
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
}

// The guard must not reject or close the connection of well-formed requests that are sent one after another.
func TestProperRequestsAreServedOnOneConnection(t *testing.T) {
	c := qt.New(t)
	handler := &recordedRequests{}
	node := startDeployed(c, validDeployment(c, []string{freeAddress(c)}, freeAddress(c)), handler)
	<-node.services
	awaitStatus(node.Callers, "/first", http.StatusOK)
	connection := dialLocal(c, node.Callers)
	defer checkClose(c, connection)
	reader := bufio.NewReader(connection)
	for i, text := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 32\r\n\r\nContent-Length: 3\r\n\r\nbody text..",
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nContent-Length: 1\r\n\r\n\r\n0\r\n\r\n",
		"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
		"GET /e HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		_, err := io.WriteString(connection, text)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
		c.Assert(response.Close, qt.IsFalse)
	}
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
}

// Pipelined requests are answered in order. Nothing is served behind a request whose end is ambiguous, nor behind one that
// net/http answers itself.
func TestRequestsBehindAnotherAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	handler := &recordedRequests{}
	node := startDeployed(c, validDeployment(c, []string{freeAddress(c)}, freeAddress(c)), handler)
	<-node.services
	awaitStatus(node.Callers, "/first", http.StatusOK)
	const (
		plain      = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
		length     = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 33\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
		chunked    = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n21\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n\r\n0\r\n\r\n"
		ambiguous  = "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		twoLengths = "POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi"
		options    = "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"
	)
	for _, test := range []struct {
		name, text string
		statuses   []int
		paths      []string
	}{
		{"all kinds", plain + length + chunked + plain, []int{200, 200, 200, 200}, []string{"/a", "/b", "/c", "/a"}},
		{"many", strings.Repeat(plain+chunked+length, 60), slices.Repeat([]int{200}, 180), slices.Repeat([]string{"/a", "/c", "/b"}, 60)},
		{"an ambiguous one", plain + ambiguous + plain, []int{200, 400}, []string{"/a"}},
		{"one with two equal lengths", plain + twoLengths + plain, []int{200, 200}, []string{"/a", "/e"}},
		{"one that net/http answers", plain + options + ambiguous, []int{200, 200, 503}, []string{"/a"}},
		{"one that net/http answers, first", options + plain, []int{200, 503}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			before := len(handler.seen())
			c.Assert(exchange(c, node.Callers, test.text), qt.DeepEquals, test.statuses)
			c.Assert(handler.seen()[before:], qt.DeepEquals, append([]string{}, test.paths...))
		})
	}
	node.stop()
	c.Assert(<-node.ended, qt.IsNil)
}
