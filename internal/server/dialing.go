package server

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ignoreClosed returns nil for net.ErrClosed, the error of a repeated Close, and any other error unchanged.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// plainDialer returns a dialer with a timeout of one second.
func plainDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return dialer.DialContext
}

// connectionDialer returns the dialer for connections between nodes. Their streams rarely carry a response that would
// reveal a dead link, so the operating system ends a connection whose bytes stay unacknowledged for tcpUserTimeout.
func connectionDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		})
		return errors.Join(err, optionErr)
	}}
	return dialer.DialContext
}
