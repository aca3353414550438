package router

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"dunlinloom/internal/kernel"
)

// Dialer opens a connection. It has to be safe for concurrent use, and to return when its context ends.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// PlainDialer returns a Dialer for TCP connections that detect an unreachable peer. An idle connection detects it by
// keep-alive probes. A connection with unacknowledged data detects it after timeout; zero: after the system's default.
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
			// setUserTimeout's error is the one to report; nothing was sent on the connection.
			_ = dialed.Close()
			return nil, err
		}
		return dialed, nil
	}
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(tcp *net.TCPConn, timeout kernel.Micros) error {
	control, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(descriptor uintptr) {
		// On systems without this option, keep-alive probes alone detect an unreachable peer.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/kernel.Millisecond))
	})
}
