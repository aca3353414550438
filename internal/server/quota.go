package server

import (
	"math/rand/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// A node trusts its keys without contact for 19/20 of KeyRevocationTimeout. The rest is a margin for steady clocks that run
// at different rates.
const (
	keyTrustNumerator   = 19
	keyTrustDenominator = 20
)

// MayTrustKeys reports whether this node's keys are recent enough to be accepted: none of them can have been revoked for
// longer than the deployment allows. See docs/control-safety/keys.md.
func (s *Services) MayTrustKeys() bool {
	maxAge := keyTrust(s.Deployment().Bounds)
	return maxAge == 0 || s.Runner.IsFresher(maxAge)
}

// keyTrust returns how long a node trusts its keys without contact. Zero means without limit.
func keyTrust(bounds DeploymentBounds) kernel.Micros {
	return bounds.KeyRevocationTimeout * keyTrustNumerator / keyTrustDenominator
}

// surplusLifetime returns how long a router may use an allocation above its share of a quota: 0.9 allocation leases. A new
// leader allocates no earlier than 1.1 allocation leases after its predecessor's last allocation. The difference is a
// margin for steady clocks that run at different rates.
func surplusLifetime(timing cluster.Timing) kernel.Micros { return timing.AllocationLease() * 9 / 10 }

// configureQuotas sets up a node's quota account, and the bounds and limits by which it allocates quotas as leader.
func (d *deploymentProcess) configureQuotas(node *control.NodeSettings) {
	bounds := d.deployment.Bounds.Quota
	if bounds.Window <= 0 {
		bounds = quota.DefaultBounds()
	}
	bounds.SurplusLifetime = surplusLifetime(node.Timing)
	// Each incarnation has a random number, so that a grant to an earlier incarnation is not taken for its own.
	d.quota = quota.NewAccount(bounds, rand.Uint64()>>16)
	node.Quota, node.QuotaBounds, node.LimitsOf = d.quota, bounds, func(config []byte) []quota.Limit {
		return quotaLimits(d.compiler, config)
	}
}

// quotaLimits returns the tenants' quotas of a committed configuration.
func quotaLimits(compiler *fleetconfig.Compiler, document []byte) []quota.Limit {
	config, err := compiler.Read(document)
	if err != nil {
		// A configuration is validated before it is committed, and one that can't be read is never applied.
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
