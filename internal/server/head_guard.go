package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/drain"
)

// The head guard prevents request smuggling. A request with both Content-Length and Transfer-Encoding is ambiguous about
// where its body ends: net/http uses the chunks and parses the bytes after them as the next request on the connection,
// while a proxy that uses the length treats these bytes as part of the body. The guard parses the requests as they
// arrive on a connection, rejects such a request, and serves no request whose head it has not seen.
//
// Requests may be pipelined: one may arrive before the previous one is answered. The guard follows bodies by their length
// or chunks, and so finds the head of the next request. If it is not sure where a body ends, it stops parsing: that
// request is served, and the connection is closed after it.

// headGuard is a caller's connection that parses the requests read from it.
type headGuard struct {
	net.Conn
	lock     sync.Mutex // guards follower
	follower requestFollower
}

func newHeadGuard(connection net.Conn) *headGuard {
	return &headGuard{Conn: connection}
}

// Read reads from the connection and passes the bytes to the follower.
func (g *headGuard) Read(to []byte) (int, error) {
	count, err := g.Conn.Read(to)
	g.lock.Lock()
	defer g.lock.Unlock()
	g.follower.follow(to[:count])
	return count, err
}

// nextHead removes and returns the parsed head of the request that is served now. isSeen is false if there is none, or if
// its request line is not that of r: net/http answers some requests itself, so heads and handled requests can diverge.
func (g *headGuard) nextHead(r *http.Request) (head requestHead, isSeen bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if len(g.follower.heads) == 0 {
		return requestHead{}, false
	}
	head = g.follower.heads[0]
	g.follower.heads = g.follower.heads[1:]
	// In requests below HTTP/1.1 net/http ignores Transfer-Encoding, so it may see another end of the body than the guard.
	isSameFraming := r.ProtoAtLeast(1, 1) || !head.hasChunks
	return head, isSameFraming && head.requestLine == xxhash.Sum64String(r.Method+" "+r.RequestURI+" "+r.Proto)
}

// HasRequestBehind reports whether a part of a request was read that is not being served yet.
func (g *headGuard) HasRequestBehind() bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.follower.hasRequestBehind()
}

// guardedListener wraps each accepted connection in a headGuard.
type guardedListener struct{ net.Listener }

// Accept returns the next connection with its guard.
func (l guardedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHeadGuard(connection), nil
}

type headGuardKey struct{}

// withHeadGuard adds a connection's guard to the context of its requests.
func withHeadGuard(ctx context.Context, connection net.Conn) context.Context {
	if tracked, isTracked := connection.(*drain.Connection); isTracked {
		connection = tracked.Conn
	}
	if guard, isGuarded := connection.(*headGuard); isGuarded {
		return context.WithValue(ctx, headGuardKey{}, guard)
	}
	return ctx
}

// Bodies of the guard's error responses.
const (
	ambiguousLengthBody = `{"error":"bad_request","why":"a request must not have both Content-Length and Transfer-Encoding"}` + "\n"
	pipelinedBody       = `{"error":"behind_another","why":"the request arrived before the previous one on this connection was answered"}` + "\n"
)

// guardHeads passes on the requests whose heads were seen and are unambiguous about where the body ends. It rejects the
// others and closes their connections. Requests on connections without a guard are passed on unchecked.
func guardHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guard, isGuarded := r.Context().Value(headGuardKey{}).(*headGuard)
		if !isGuarded {
			next.ServeHTTP(w, r)
			return
		}
		switch head, isSeen := guard.nextHead(r); {
		case !isSeen:
			w.Header().Set("Retry-After", "0.05")
			rejectAndClose(w, http.StatusServiceUnavailable, pipelinedBody)
		case head.hasLength && head.hasChunks:
			rejectAndClose(w, http.StatusBadRequest, ambiguousLengthBody)
		default:
			if head.isAmbiguous {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		}
	})
}

func rejectAndClose(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	// The write fails only if the connection is broken, and then nobody is left to report it to.
	_, _ = io.WriteString(w, body)
}
