package server

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ignoreClosed drops the error of closing what was closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// plainDialer opens connections within a second at most.
func plainDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return dialer.DialContext
}

// connectionDialer is for connections between nodes, on which little is ever answered: the system ends one
// whose bytes stay unacknowledged for tcpUserTimeout.
func connectionDialer() Dialer {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		})
		return errors.Join(err, failed)
	}}
	return dialer.DialContext
}
