package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Limits are what a router holds at once; beyond any of them a request is rejected at
// once as not run. Zero bounds nothing.
type Limits struct {
	InFlight  int64 // requests being served
	BodyBytes int64 // bytes of their bodies
}

// DefaultLimits suit a small machine.
func DefaultLimits() Limits { return Limits{InFlight: 1024, BodyBytes: 128 << 20} }

// bodyMemoryError says that the bodies held here leave no room for more.
type bodyMemoryError struct{ limit int64 }

func (b bodyMemoryError) Error() string {
	return fmt.Sprintf("the requests served here already hold %d bytes of bodies", b.limit)
}

// meteredBody counts a body's bytes while they are read, against what all bodies may hold.
type meteredBody struct {
	io.Reader
	total *atomic.Int64
	limit int64
	own   int64
}

func (h *meteredBody) Read(chunk []byte) (int, error) {
	count, err := h.Reader.Read(chunk)
	h.own += int64(count)
	if held := h.total.Add(int64(count)); h.limit > 0 && held > h.limit {
		return count, bodyMemoryError{h.limit}
	}
	return count, err
}

func (h *meteredBody) release() { h.total.Add(-h.own) }

// ReservedBytes is how many bytes of bodies are held now.
func (u *Forwarder) ReservedBytes() int64 { return u.reservedBytes.Load() }

// crowded tells why one more request is one too many; empty when it is not.
func (u *Forwarder) overloaded(live int64, r *http.Request) string {
	switch {
	case u.Limits.InFlight > 0 && live > u.Limits.InFlight:
		return fmt.Sprintf("%d requests are being served here, which is as many as may be", u.Limits.InFlight)
	case u.Limits.BodyBytes > 0 && u.reservedBytes.Load()+max(r.ContentLength, 0) > u.Limits.BodyBytes:
		return bodyMemoryError{u.Limits.BodyBytes}.Error()
	case u.IsOverloaded != nil && u.IsOverloaded():
		return "as many channels are open here as may be"
	}
	return ""
}

// rejectOverload rejects for want of room in this process. The channel is closed with it:
// the caller's next try had better reach another router.
func (u *Forwarder) rejectOverload(w http.ResponseWriter, id, why string) {
	w.Header().Set("Connection", "close")
	u.SendRejection(w, u.Dispatcher.RejectOverload(u.Env.Clock.Now(), id, why))
}

// RejectOverload rejects a request that this process has no room for.
func (d *Dispatcher) RejectOverload(now kernel.Micros, id, why string) *Rejection {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.rejection(now, &Call{Request: Request{ID: id}}, &Rejection{"crowded", why, http.StatusServiceUnavailable, NotRun, defaultRetryAfter})
}

func isBodyMemoryError(err error) bool { return errors.As(err, new(bodyMemoryError)) }
