package server

import (
	"context"
	"io"
	"net"
	"net/http"

	qt "github.com/frankban/quicktest"
)

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
	c.Check(ignoreClosed(closer.Close()), qt.IsNil)
}

// getURL sends a GET request. The caller has to close the response's body.
func getURL(client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}
