package localport

import (
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

func reserve(c *qt.C) *Reservation {
	c.Helper()
	reservation, err := Reserve()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(reservation.Close(), qt.IsNil) })
	return reservation
}

// A reserved port refuses connections while no program listens there. This also holds after a listener has closed.
func TestAReservedPortCanBeListenedOnAgainAndAgain(t *testing.T) {
	c := qt.New(t)
	address := reserve(c).Address()
	for range 3 {
		_, err := (&net.Dialer{}).DialContext(c.Context(), "tcp", address)
		c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
		listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", address)
		c.Assert(err, qt.IsNil)
		connection, err := (&net.Dialer{}).DialContext(c.Context(), "tcp", address)
		c.Assert(err, qt.IsNil)
		accepted, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(accepted.Close(), qt.IsNil)
		c.Assert(connection.Close(), qt.IsNil)
		c.Assert(listener.Close(), qt.IsNil)
	}
}

// The system must not assign a reserved port to another reservation or to a listener on port 0.
func TestAReservedPortIsGivenToNobodyElse(t *testing.T) {
	c := qt.New(t)
	const count = 400
	taken := map[string]bool{}
	for range count {
		address := reserve(c).Address()
		c.Assert(taken[address], qt.IsFalse, qt.Commentf("%s", address))
		taken[address] = true
	}
	for range count {
		listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { c.Check(listener.Close(), qt.IsNil) })
		c.Assert(taken[listener.Addr().String()], qt.IsFalse, qt.Commentf("%s", listener.Addr()))
	}
}
