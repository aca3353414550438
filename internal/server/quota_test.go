package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// A node trusts its keys for less time than a revoked key may still be used, since its clock may run slow. Without a
// KeyRevocationTimeout it trusts them without limit.
func TestKeysAreTrustedForLessThanAWithdrawnOneMayBeUsed(t *testing.T) {
	c := qt.New(t)
	c.Assert(keyTrust(DeploymentBounds{}), qt.Equals, kernel.Micros(0))
	for _, timeout := range []kernel.Micros{kernel.Second, 5 * kernel.Second, 60 * kernel.Second} {
		trust := keyTrust(DeploymentBounds{KeyRevocationTimeout: timeout})
		c.Check(trust <= timeout*95/100, qt.IsTrue)
		c.Check(trust > timeout/2, qt.IsTrue)
	}
}

// Each incarnation of a node has a quota account with a number of its own and with the deployment's bounds.
func TestEachIncarnationHasAnAccountOfItsOwn(t *testing.T) {
	c := qt.New(t)
	bounds := quota.DefaultBounds()
	bounds.Window = 7 * kernel.Second
	seen := map[uint64]bool{}
	for range 20 {
		process := &deploymentProcess{assembly: &assembly{deployment: &Deployment{Bounds: DeploymentBounds{Quota: bounds}}}}
		var settings control.NodeSettings
		process.configureQuotas(&settings)
		c.Assert(settings.QuotaBounds, qt.Equals, bounds)
		c.Assert(settings.Quota, qt.Equals, process.quota)
		settings.Quota.Claim(kernel.Second, "ann", 1)
		seen[settings.Quota.NextRequest(kernel.Second).Incarnation] = true
	}
	c.Assert(seen, qt.HasLen, 20)
}

// A deployment whose bounds set no quota window gets the default bounds.
func TestWithoutAWindowQuotasHaveTheDefault(t *testing.T) {
	c := qt.New(t)
	var settings control.NodeSettings
	process := &deploymentProcess{assembly: &assembly{deployment: &Deployment{}}}
	process.configureQuotas(&settings)
	c.Assert(settings.QuotaBounds, qt.Equals, quota.DefaultBounds())
}
