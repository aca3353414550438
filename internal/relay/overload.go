package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Limits bound what a router holds at once. A request above any limit is not queued but rejected immediately, with
// NotRun. Zero means no limit.
type Limits struct {
	InFlight  int64 // requests being served
	BodyBytes int64 // total bytes of their bodies
}

// DefaultLimits returns limits for a small machine.
func DefaultLimits() Limits { return Limits{InFlight: 1024, BodyBytes: 128 << 20} }

// bodyMemoryError says that the limit for the bodies in memory is reached.
type bodyMemoryError struct{ limit int64 }

func (e bodyMemoryError) Error() string {
	return fmt.Sprintf("request bodies in memory have reached the limit of %d bytes", e.limit)
}

// meteredBody counts the bytes of a body as they are read. It adds them to total, the count of all bodies, and fails a
// read with a bodyMemoryError if total exceeds limit; zero: no limit. own is the part of this body, which release
// subtracts again.
type meteredBody struct {
	io.Reader
	total *atomic.Int64
	limit int64
	own   int64
}

func (b *meteredBody) Read(chunk []byte) (int, error) {
	count, err := b.Reader.Read(chunk)
	b.own += int64(count)
	if reserved := b.total.Add(int64(count)); b.limit > 0 && reserved > b.limit {
		return count, bodyMemoryError{b.limit}
	}
	return count, err
}

func (b *meteredBody) release() { b.total.Add(-b.own) }

// ReservedBytes returns the bytes of request bodies in memory now.
func (f *Forwarder) ReservedBytes() int64 { return f.reservedBytes.Load() }

// overloadReason returns why a request exceeds a limit, or the empty string if it does not. inFlight
// includes the request itself.
func (f *Forwarder) overloadReason(inFlight int64, r *http.Request) string {
	switch {
	case f.Limits.InFlight > 0 && inFlight > f.Limits.InFlight:
		return fmt.Sprintf("this router already serves %d requests, which is its limit", f.Limits.InFlight)
	case f.Limits.BodyBytes > 0 && f.reservedBytes.Load()+max(r.ContentLength, 0) > f.Limits.BodyBytes:
		return bodyMemoryError{f.Limits.BodyBytes}.Error()
	case f.IsOverloaded != nil && f.IsOverloaded():
		return "this router has reached its limit of open connections"
	}
	return ""
}

// rejectOverload rejects a request because of overload and closes the connection, so that the caller's
// next request can reach another router.
func (f *Forwarder) rejectOverload(w http.ResponseWriter, id, why string) {
	w.Header().Set("Connection", "close")
	f.SendRejection(w, f.Dispatcher.RejectOverload(f.Env.Clock.Now(), id, why))
}

// RejectOverload counts a rejection because of overload, records it in the journal, and returns it. The request was not
// passed to Admit, so it is not in Counts.Requests.
func (d *Dispatcher) RejectOverload(now kernel.Micros, id, why string) *Rejection {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.reject(now, &Call{Request: Request{ID: id}}, newRejection(reasonOverloaded, why, http.StatusServiceUnavailable, NotRun, defaultRetryAfter))
}

func isBodyMemoryError(err error) bool { return errors.As(err, new(bodyMemoryError)) }
