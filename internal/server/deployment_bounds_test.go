package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// The control plane's timeouts for the end of an engine follow the deployment's bounds. It waits for slow nodes for
// half of AckTimeout, less a margin, which leaves the engine at least two seconds, enough for two more calls.
func TestEngineEndTimeoutsFollowTheDeploymentBounds(t *testing.T) {
	for _, ack := range []kernel.Micros{4 * kernel.Second, 5 * kernel.Second, 6 * kernel.Second} {
		c := qt.New(t)
		d := &Deployment{Settings: DefaultSettings(), Bounds: DeploymentBounds{
			AckTimeout: ack, ContactTimeout: 5 * kernel.Second, DrainTimeout: 3 * kernel.Second}}
		settings := d.nodeSettings(kernel.Identity{Address: "10.0.0.1:1"}, Roles{})
		c.Assert(settings.DrainTimeout, qt.Equals, 3*kernel.Second)
		c.Assert(settings.ContactTimeout, qt.Equals, 5*kernel.Second)
		c.Assert(settings.EndConfirmationTimeout, qt.Equals, ack/2-250*kernel.Millisecond)
		c.Assert(ack-settings.EndConfirmationTimeout >= 2*kernel.Second, qt.IsTrue)
	}
}
