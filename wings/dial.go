//go:build !faults

package wings

import (
	"context"
	"net"
)

// BuildNote is empty in ordinary builds.
const BuildNote = ""

// Ordinary builds know no way to make a channel fail on purpose.
func peerDialer() Dialer { return plainDialer() }

func engineDialer() func(context.Context, string, string) (net.Conn, error) { return plainDialer() }
