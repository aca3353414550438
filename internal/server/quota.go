package server

import (
	"math/rand/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// keyTrust is the part of the time that a withdrawn key may still be used for which a node trusts
// its keys. The rest is for steady clocks that run at different rates.
const (
	keyTrustNumerator   = 19
	keyTrustDenominator = 20
)

// MayTrustKeys tells whether no key that this node holds can have been withdrawn for longer than
// the deployment allows. See docs/control-safety/keys.md.
func (s *Services) MayTrustKeys() bool {
	maxAge := keyTrust(s.Deployment().Bounds)
	return maxAge == 0 || s.Runner.IsFresher(maxAge)
}

// keyTrust is how long a node trusts its keys without contact; zero: for ever.
func keyTrust(bounds DeploymentBounds) kernel.Micros {
	return bounds.KeyRevocationTimeout * keyTrustNumerator / keyTrustDenominator
}

// surplusLifetime is how long a router may spend more than its share of a quota. A new leader allocates no sooner than 1.1
// allocation leases after the one before did last; the rest is for steady clocks that run at different rates.
func surplusLifetime(timing cluster.Timing) kernel.Micros { return timing.AllocationLease() * 9 / 10 }

// configureQuotas gives a node its account, and what it deals out by if it leads.
func (d *deploymentProcess) configureQuotas(node *control.NodeSettings) {
	bounds := d.deployment.Bounds.Quota
	if bounds.Window <= 0 {
		bounds = quota.DefaultBounds()
	}
	bounds.SurplusLifetime = surplusLifetime(node.Timing)
	// Another number for each incarnation, so that no grant to an earlier one is taken for this one's.
	d.quota = quota.NewAccount(bounds, rand.Uint64()>>16)
	node.Quota, node.QuotaBounds, node.LimitsOf = d.quota, bounds, func(config []byte) []quota.Limit {
		return quotaLimits(d.compiler, config)
	}
}

// quotaLimits reads the quotas of a configuration that was compiled before.
func quotaLimits(compiler *fleetconfig.Compiler, document []byte) []quota.Limit {
	config, err := compiler.Read(document)
	if err != nil {
		// It was read before it was committed; one that can't be read is never applied.
		return nil
	}
	limits := make([]quota.Limit, 0, len(config.Tenants))
	for _, tenant := range config.Tenants {
		if tenant.Rate > 0 {
			limits = append(limits, quota.Limit{Tenant: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst})
		}
	}
	return limits
}
