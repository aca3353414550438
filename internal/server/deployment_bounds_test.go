package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

// The control plane keeps what the deployment promises on the ends of engines: it waits for nodes that are late for
// half of the time that an engine has, which leaves room for at least two of its calls.
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
