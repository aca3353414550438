package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// A request with both a length and chunks says two things of where its body ends. net/http goes by the
// chunks and takes what follows for the next request on the connection; whoever goes by the length takes
// it for a part of the body. The head guard looks at the heads as they come over a connection, refuses
// such a request, and serves nothing that came behind a request before that was answered.

// headGuard is a caller's connection whose heads are looked at.
type headGuard struct {
	net.Conn
	lock sync.Mutex // guards all that follows
	// isExpected: the next bytes belong to a head.
	isExpected bool
	line       []byte // the first bytes of the line that is coming in
	hasLine    bool   // a line of the head has come in
	head       headFields
}

// headFields is what a head says of its body's end.
type headFields struct{ isSeen, hasLength, hasChunks bool }

func newHeadGuard(connection net.Conn) *headGuard {
	return &headGuard{Conn: connection, isExpected: true}
}

// maxFieldNameBytes is how much of a line is kept: enough for the names that are looked for.
const maxFieldNameBytes = len("transfer-encoding:")

// Read reads from the connection and looks at what belongs to a head.
func (g *headGuard) Read(to []byte) (int, error) {
	count, err := g.Conn.Read(to)
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.isExpected {
		g.scan(to[:count])
	}
	return count, err
}

func (g *headGuard) scan(chunk []byte) {
	for len(chunk) > 0 && g.isExpected {
		end := bytes.IndexByte(chunk, '\n')
		part := chunk
		if end >= 0 {
			part = chunk[:end]
		}
		g.line = append(g.line, part[:min(len(part), max(maxFieldNameBytes+1-len(g.line), 0))]...)
		if end < 0 {
			return
		}
		g.endLine()
		chunk = chunk[end+1:]
	}
}

// endLine takes a whole line of a head. An empty one ends it, unless nothing came before.
func (g *headGuard) endLine() {
	line := strings.TrimSuffix(string(g.line), "\r")
	g.line = g.line[:0]
	if line == "" {
		if g.hasLine {
			g.head.isSeen, g.isExpected = true, false
		}
		return
	}
	g.hasLine = true
	name, _, isField := strings.Cut(line, ":")
	if !isField {
		return
	}
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		g.head.hasLength = true
	case "transfer-encoding":
		g.head.hasChunks = true
	}
}

// currentHead gives what the head of the request said that is now served.
func (g *headGuard) currentHead() headFields {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.head
}

// expectHead tells that the request was answered and read whole, so that a head follows.
func (g *headGuard) expectHead() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isExpected, g.hasLine, g.line, g.head = true, false, g.line[:0], headFields{}
}

// stopScanning tells that what follows on the connection can't be told from what is left of a body.
func (g *headGuard) stopScanning() {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isExpected, g.head = false, headFields{}
}

// guardedListener takes connections whose heads are looked at.
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

// trackedBody knows whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	isComplete bool
}

func (b *trackedBody) Read(to []byte) (int, error) {
	count, err := b.ReadCloser.Read(to)
	b.isComplete = b.isComplete || err == io.EOF
	return count, err
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
		switch head := guard.currentHead(); {
		case !head.isSeen:
			w.Header().Set("Retry-After", "0.05")
			refuseAndClose(w, http.StatusServiceUnavailable, pipelinedBody)
		case head.hasLength && head.hasChunks:
			refuseAndClose(w, http.StatusBadRequest, ambiguousLengthBody)
		default:
			body := &trackedBody{ReadCloser: r.Body, isComplete: r.Body == nil || r.Body == http.NoBody}
			if !body.isComplete {
				r.Body = body
			}
			next.ServeHTTP(w, r)
			if body.isComplete {
				guard.expectHead()
			} else {
				guard.stopScanning()
			}
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
