package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"dunlinloom/internal/kernel"
)

// Bounds are what a router holds at once; beyond any of them a request is rejected at
// once as not run. Zero bounds nothing.
type Bounds struct {
	Live   int64 // requests being served
	Bodies int64 // bytes of their bodies
}

// DefaultBounds suit a small machine.
func DefaultBounds() Bounds { return Bounds{Live: 1024, Bodies: 128 << 20} }

// noRoom says that the bodies held here leave no room for more.
type noRoom struct{ bound int64 }

func (b noRoom) Error() string {
	return fmt.Sprintf("the requests served here already hold %d bytes of bodies", b.bound)
}

// heldBody counts a body's bytes while they are read, against what all bodies may hold.
type heldBody struct {
	io.Reader
	all   *atomic.Int64
	bound int64
	own   int64
}

func (h *heldBody) Read(chunk []byte) (int, error) {
	count, err := h.Reader.Read(chunk)
	h.own += int64(count)
	if held := h.all.Add(int64(count)); h.bound > 0 && held > h.bound {
		return count, noRoom{h.bound}
	}
	return count, err
}

func (h *heldBody) release() { h.all.Add(-h.own) }

// Held is how many bytes of bodies are held now.
func (u *Forwarder) Held() int64 { return u.held.Load() }

// crowded tells why one more request is one too many; empty when it is not.
func (u *Forwarder) overloaded(live int64, r *http.Request) string {
	switch {
	case u.Bounds.Live > 0 && live > u.Bounds.Live:
		return fmt.Sprintf("%d requests are being served here, which is as many as may be", u.Bounds.Live)
	case u.Bounds.Bodies > 0 && u.held.Load()+max(r.ContentLength, 0) > u.Bounds.Bodies:
		return noRoom{u.Bounds.Bodies}.Error()
	case u.IsOverloaded != nil && u.IsOverloaded():
		return "as many channels are open here as may be"
	}
	return ""
}

// turnAway rejects for want of room in this process. The channel is closed with it:
// the caller's next try had better reach another router.
func (u *Forwarder) turnAway(w http.ResponseWriter, id, why string) {
	w.Header().Set("Connection", "close")
	u.SendRejection(w, u.Dispatcher.TurnAway(u.Env.Clock.Now(), id, why))
}

// TurnAway rejects a request that this process has no room for.
func (d *Dispatcher) TurnAway(now kernel.Micros, id, why string) *Rejection {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.rejection(now, &Call{Request: Request{ID: id}}, &Rejection{"crowded", why, http.StatusServiceUnavailable, NotRun, defaultRetryDue})
}

func isNoRoom(err error) bool { return errors.As(err, new(noRoom)) }
