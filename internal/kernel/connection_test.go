package kernel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Bytes that the peer has not received when a connection is closed never arrive.
func TestAResetConnectionDeliversNothingAfterItsClose(t *testing.T) {
	c := qt.New(t)
	listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	near, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	far, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	ResetOnClose(near)
	// The peer reads nothing, so that bytes are left on the way.
	c.Assert(near.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	written, err := near.Write(make([]byte, 64<<20))
	c.Assert(err, qt.ErrorMatches, ".*timeout.*")
	c.Assert(near.Close(), qt.IsNil)
	received, err := io.Copy(io.Discard, far)
	c.Assert(err, qt.ErrorMatches, ".*connection reset by peer.*")
	c.Assert(received < int64(written), qt.IsTrue, qt.Commentf("%d of %d bytes have arrived", received, written))
	c.Assert(far.Close(), qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
}
