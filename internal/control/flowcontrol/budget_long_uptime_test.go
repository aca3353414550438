package flowcontrol

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// The clock counts from the boot of the machine, which may have been running for a year, so the refill must not
// overflow. The rate is that at which a node answers the queries of starting nodes.
func TestTokenBucketStartsFullAfterLongUptime(t *testing.T) {
	for _, days := range []kernel.Micros{1, 200, 204, 300, 500, 700} {
		c := qt.New(t)
		b := TokenBucket{Rate: 512 << 10, Burst: 512 << 10}
		c.Check(b.Available(days*24*3600*kernel.Second), qt.Equals, 512<<10, qt.Commentf("after %d days", days))
	}
}
