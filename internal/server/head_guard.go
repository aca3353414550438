package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A request with both a length and chunks says two things of where its body ends. net/http goes by the
// chunks and takes what follows for the next request on the connection; whoever goes by the length takes
// it for a part of the body. The head guard follows the requests as they come over a connection, refuses
// such a request, and serves nothing whose head it has not seen.
//
// A request may come behind another one before that is answered. The guard follows bodies by their length or chunks
// and so sees the head behind one. Where it is not sure of a body's end it follows no further: that request is served,
// and its connection closes.

// headGuard is a caller's connection whose requests are followed.
type headGuard struct {
	net.Conn
	lock     sync.Mutex // guards all that follows
	follower requestFollower
}

func newHeadGuard(connection net.Conn) *headGuard {
	return &headGuard{Conn: connection}
}

// Read reads from the connection and follows what it reads.
func (g *headGuard) Read(to []byte) (int, error) {
	count, err := g.Conn.Read(to)
	g.lock.Lock()
	defer g.lock.Unlock()
	g.follower.follow(to[:count])
	return count, err
}

// nextHead returns what the head of the request said that is served now. It was not seen if the head that is due is of
// another request line: net/http answers some requests itself.
func (g *headGuard) nextHead(r *http.Request) (head requestHead, isSeen bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if len(g.follower.heads) == 0 {
		return requestHead{}, false
	}
	head = g.follower.heads[0]
	g.follower.heads = g.follower.heads[1:]
	// Of requests below HTTP/1.1 net/http passes over chunks, so that it may see another end than the guard.
	isSameFraming := r.ProtoAtLeast(1, 1) || !head.hasChunks
	return head, isSameFraming && head.requestLine == xxhash.Sum64String(r.Method+" "+r.RequestURI+" "+r.Proto)
}

// guardedListener takes connections whose requests are followed.
type guardedListener struct{ net.Listener }

// Accept gives the next connection.
func (l guardedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHeadGuard(connection), nil
}

type headGuardKey struct{}

// withHeadGuard lets handlers find the guard of a request's connection.
func withHeadGuard(ctx context.Context, connection net.Conn) context.Context {
	if guard, isGuarded := connection.(*headGuard); isGuarded {
		return context.WithValue(ctx, headGuardKey{}, guard)
	}
	return ctx
}

// Answers of the guard.
const (
	ambiguousLengthBody = `{"error":"bad_request","why":"a request has a length or chunks, not both"}` + "\n"
	pipelinedBody       = `{"error":"behind_another","why":"it came before the request in front of it was answered"}` + "\n"
)

// guardHeads serves the requests whose heads were seen and say one thing of where their bodies end.
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
			refuseAndClose(w, http.StatusServiceUnavailable, pipelinedBody)
		case head.hasLength && head.hasChunks:
			refuseAndClose(w, http.StatusBadRequest, ambiguousLengthBody)
		default:
			if head.isAmbiguous {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		}
	})
}

func refuseAndClose(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	// Nobody is left to tell of a connection that broke.
	_, _ = io.WriteString(w, body)
}
