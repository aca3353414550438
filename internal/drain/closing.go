package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

type connectionKey struct{}

// ConnContext adds a connection of a Listener to the context of its requests, for CloseWhenStopping.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	if tracked, isTracked := connection.(*Connection); isTracked {
		return context.WithValue(ctx, connectionKey{}, tracked)
	}
	return ctx
}

// CloseWhenStopping makes a stopping server say in the head of each answer that the connection ends with it, unless a
// part of the next request was read already. That is decided when the head is written, so an answer that begins after
// the stop says so even if its request came before.
func CloseWhenStopping(isStopping func() bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, _ := r.Context().Value(connectionKey{}).(*Connection)
		closing := &closingWriter{ResponseWriter: w, isStopping: isStopping, connection: connection}
		handler.ServeHTTP(closing, r)
		closing.decide()
	})
}

// closingWriter sets the Connection header of an answer when its head is written.
type closingWriter struct {
	http.ResponseWriter
	isStopping func() bool
	connection *Connection // nil: of no Listener
	isDecided  bool
}

// decide sets the header, once.
func (w *closingWriter) decide() {
	if w.isDecided {
		return
	}
	w.isDecided = true
	if w.isStopping() && (w.connection == nil || !w.connection.hasRequestBehind()) {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the head of the answer, or of an interim response.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.decide()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the head.
func (w *closingWriter) Write(part []byte) (int, error) {
	w.decide()
	return w.ResponseWriter.Write(part)
}

// FlushError flushes what was written, the head first.
func (w *closingWriter) FlushError() error {
	w.decide()
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return fmt.Errorf("flush an answer: %w", err)
	}
	return nil
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
