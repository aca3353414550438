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

// maxYields is the most turns that a goroutine gives up at one point.
const maxYields = 4

// yield lets other goroutines run, as on a machine with several cores any may at any point.
// How often is not drawn of the seed: the scheduler's order isn't, either.
func yield() {
	for range rand.IntN(maxYields) {
		runtime.Gosched()
	}
}

// yieldingClock gives up the processor around each reading. Routers read the clock at every
// step from the arrival of a request to the end of its answer.
type yieldingClock struct{ kernel.Clock }

func (c yieldingClock) Now() kernel.Micros {
	yield()
	now := c.Clock.Now()
	yield()
	return now
}

// yieldingConn gives up the processor around each call.
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

// yieldingDialer opens connections that give up the processor around each call.
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
