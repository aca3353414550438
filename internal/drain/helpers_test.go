package drain

import (
	"errors"
	"io"
	"net"
	"time"

	qt "github.com/frankban/quicktest"
)

// testTimeout is the time within which a test's caller sends the head of a request.
const testTimeout = time.Minute

// listenLocal listens on a free port of the loopback interface.
func listenLocal(c *qt.C) net.Listener {
	c.Helper()
	listener, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listener
}

// dialLocal opens a TCP connection to an address and fails the test if it cannot.
func dialLocal(c *qt.C, address string) net.Conn {
	c.Helper()
	connection, err := (&net.Dialer{}).DialContext(c.Context(), "tcp", address)
	c.Assert(err, qt.IsNil)
	return connection
}

// checkClose closes closer and checks that this succeeds or that closer was already closed.
func checkClose(c *qt.C, closer io.Closer) {
	c.Helper()
	if err := closer.Close(); !errors.Is(err, net.ErrClosed) {
		c.Check(err, qt.IsNil)
	}
}
