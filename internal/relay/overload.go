package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Limits bound what a router holds at once; beyond any of them a request is rejected as not run,
// without waiting. Zero bounds nothing.
type Limits struct {
	InFlight  int64 // requests being served
	BodyBytes int64 // bytes of their bodies
}

// DefaultLimits suit a small machine.
func DefaultLimits() Limits { return Limits{InFlight: 1024, BodyBytes: 128 << 20} }

// bodyMemoryError says that the bodies in memory are as many bytes as may be.
type bodyMemoryError struct{ limit int64 }

func (e bodyMemoryError) Error() string {
	return fmt.Sprintf("the requests served here already hold %d bytes of bodies", e.limit)
}

// meteredBody counts a body's bytes while they are read, against the limit for all bodies.
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

// ReservedBytes is how many bytes of bodies are in memory now.
func (f *Forwarder) ReservedBytes() int64 { return f.reservedBytes.Load() }

// overloadReason tells why one more request is one too many; empty when it is not. The request itself
// is one of those in flight.
func (f *Forwarder) overloadReason(inFlight int64, r *http.Request) string {
	switch {
	case f.Limits.InFlight > 0 && inFlight > f.Limits.InFlight:
		return fmt.Sprintf("%d requests are being served here, which is as many as may be", f.Limits.InFlight)
	case f.Limits.BodyBytes > 0 && f.reservedBytes.Load()+max(r.ContentLength, 0) > f.Limits.BodyBytes:
		return bodyMemoryError{f.Limits.BodyBytes}.Error()
	case f.IsOverloaded != nil && f.IsOverloaded():
		return "as many channels are open here as may be"
	}
	return ""
}

// rejectOverload rejects a request that this process has no room for, and closes the connection:
// the caller's next request should reach another router.
func (f *Forwarder) rejectOverload(w http.ResponseWriter, id, why string) {
	w.Header().Set("Connection", "close")
	f.SendRejection(w, f.Dispatcher.RejectOverload(f.Env.Clock.Now(), id, why))
}

// RejectOverload counts and records the rejection of a request that this process has no room for.
func (d *Dispatcher) RejectOverload(now kernel.Micros, id, why string) *Rejection {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.reject(now, &Call{Request: Request{ID: id}}, newRejection(reasonOverloaded, why, http.StatusServiceUnavailable, NotRun, defaultRetryAfter))
}

func isBodyMemoryError(err error) bool { return errors.As(err, new(bodyMemoryError)) }
