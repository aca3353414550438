package emulator

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// What is sent during a cut arrives after it, also if its sender has closed the connection meanwhile, unless it has reset
// the connection.
func TestBytesHeldByACutArriveUnlessTheSenderResets(t *testing.T) {
	for _, ending := range []struct {
		name    string
		end     func(c *qt.C, connection net.Conn)
		arrives string
		err     error // of the read after that, or of the write that follows it
	}{
		{"open", func(*qt.C, net.Conn) {}, "during", nil},
		{"closed", func(c *qt.C, connection net.Conn) { c.Assert(connection.Close(), qt.IsNil) }, "during", io.EOF},
		{"reset", func(c *qt.C, connection net.Conn) {
			c.Assert(connection.(interface{ SetLinger(int) error }).SetLinger(0), qt.IsNil)
			c.Assert(connection.Close(), qt.IsNil)
		}, "", syscall.ECONNRESET},
	} {
		t.Run(ending.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := NewNetwork(time.Millisecond)
				listener, err := network.Listen("a:1")
				c.Assert(err, qt.IsNil)
				near, err := network.Dial(context.Background(), "tcp", "a:1")
				c.Assert(err, qt.IsNil)
				far, err := listener.Accept()
				c.Assert(err, qt.IsNil)
				network.Cut("a:1", true)
				_, err = near.Write([]byte("during"))
				c.Assert(err, qt.IsNil)
				ending.end(c, near)
				c.Assert(far.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
				_, err = far.Read(make([]byte, 16))
				c.Assert(err, qt.ErrorMatches, ".*timeout.*")
				network.Cut("a:1", false)
				c.Assert(far.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
				received := make([]byte, 16)
				count, _ := far.Read(received)
				c.Assert(string(received[:count]), qt.Equals, ending.arrives)
				if ending.err == nil {
					return
				}
				_, err = far.Write([]byte("answer"))
				c.Assert(err == nil || err == syscall.EPIPE, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(far.SetReadDeadline(time.Time{}), qt.IsNil)
				_, err = far.Read(received)
				c.Assert(err, qt.ErrorIs, ending.err)
			})
		})
	}
}
