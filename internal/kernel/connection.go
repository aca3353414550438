package kernel

import "net"

// ResetOnClose makes a connection reset when it is closed, by Close or by the end of the process. The system then drops
// the bytes that the peer has not received, where it would otherwise go on delivering them, for minutes if a link is cut.
// Connections without the notion are left as they are.
func ResetOnClose(connection net.Conn) {
	if resettable, isResettable := connection.(interface{ SetLinger(seconds int) error }); isResettable {
		// It fails only on a connection that is closed already.
		_ = resettable.SetLinger(0)
	}
}
