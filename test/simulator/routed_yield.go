package simulator

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime"
	"time"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
)

// maxYields limits how often a goroutine yields at one point; it yields less often than this.
const maxYields = 4

// yield lets other goroutines run, because on several cores they may run at any point. The number
// of yields is not drawn from the seed, since the scheduler's order is not reproducible either.
func yield() {
	for range rand.IntN(maxYields) {
		runtime.Gosched()
	}
}

// yieldingClock yields the processor before and after each reading. Routers read the clock at
// every step from the arrival of a request to the end of its response.
type yieldingClock struct{ kernel.Clock }

func (c yieldingClock) Now() kernel.Micros {
	yield()
	now := c.Clock.Now()
	yield()
	return now
}

// yieldingConn yields the processor before and after each call.
type yieldingConn struct{ net.Conn }

func (c yieldingConn) Read(to []byte) (int, error) {
	yield()
	defer yield()
	return c.Conn.Read(to)
}

func (c yieldingConn) Write(from []byte) (int, error) {
	yield()
	defer yield()
	return c.Conn.Write(from)
}

func (c yieldingConn) Close() error {
	yield()
	defer yield()
	return c.Conn.Close()
}

func (c yieldingConn) SetDeadline(at time.Time) error {
	yield()
	defer yield()
	return c.Conn.SetDeadline(at)
}

// yieldingDialer opens connections that yield the processor before and after each call.
func yieldingDialer(dial router.Dialer) router.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		yield()
		made, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return yieldingConn{made}, nil
	}
}
