//go:build faults

package wings

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Builds for rehearsals can have their channels cut: EnvCuts names a file with a
// JSON list of "FROM>TO" peer addresses, EnvSelf says which of them this process is.
const (
	EnvCuts = "DUNLINLOOM_CUTS"
	EnvSelf = "DUNLINLOOM_SELF"
)

// BuildNote marks such a build where it prints its version.
const BuildNote = " (with faults)"

// channelCut says that a channel is cut on purpose.
type channelCut struct{ way string }

func (b channelCut) Error() string { return "cut on purpose: " + b.way }

// cuts is the list as it was read last.
type cuts struct {
	lock sync.Mutex
	read time.Time
	ways []string
}

var ways cuts

func (c *cuts) has(to string) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	// Looked at again often enough that a cut falls within a pulse.
	if time.Since(c.read) > 20*time.Millisecond {
		c.read, c.ways = time.Now(), nil
		if content, err := os.ReadFile(os.Getenv(EnvCuts)); err == nil {
			// Half a file is read again in a moment.
			if err := json.Unmarshal(content, &c.ways); err != nil {
				c.read = time.Time{}
			}
		}
	}
	if way := os.Getenv(EnvSelf) + ">" + to; slices.Contains(c.ways, way) {
		return channelCut{way}
	}
	return nil
}

// cutChannel fails once its way is cut.
type cutChannel struct {
	net.Conn
	to string
}

func (c *cutChannel) Write(chunk []byte) (int, error) {
	if err := ways.has(c.to); err != nil {
		return 0, err
	}
	return c.Conn.Write(chunk)
}

func peerDialer() Dialer {
	plain := plainDialer()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := ways.has(address); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		channel, err := plain(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cutChannel{channel, address}, nil
	}
}

func engineDialer() func(context.Context, string, string) (net.Conn, error) { return plainDialer() }
