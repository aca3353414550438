package router

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/kernel"
)

// Dialer opens a connection. It has to be safe for concurrent use and to end with its context.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// PlainDialer opens TCP connections that notice a peer which no longer answers: idle ones by keep-alive
// probes, and others if what was written is not acknowledged within the time-out; zero: the system's own.
func PlainDialer(timeout kernel.Micros) Dialer {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, isTCP := dialed.(*net.TCPConn)
		if !isTCP || timeout <= 0 {
			return dialed, nil
		}
		if err := setUserTimeout(tcp, timeout); err != nil {
			// The first error is the one to know; nothing was sent on the connection.
			_ = dialed.Close()
			return nil, err
		}
		return dialed, nil
	}
}

// setUserTimeout bounds how long sent bytes may stay without an acknowledgement.
func setUserTimeout(tcp *net.TCPConn, timeout kernel.Micros) error {
	control, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(descriptor uintptr) {
		// Where the system lacks the option, keep-alive probes alone notice the peer.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/kernel.Millisecond))
	})
}
