package simulator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/test/checker"
)

// tenantFaultSets holds the tenants' faults alone, in pairs, and together with faults of engines and routers.
var tenantFaultSets = [][]string{
	{}, {"revoke"}, {"hot-tenant"}, {"cut-router"}, {"leader"},
	{"revoke", "cut-router"}, {"revoke", "revoke"}, {"hot-tenant", "cut-router"}, {"hot-tenant", "leader"}, {"leader", "cut-router"},
	{"revoke", "stop"}, {"revoke", "crash"}, {"hot-tenant", "lost"}, {"hot-tenant", "router-crash"}, {"leader", "full"},
	{"hot-tenant", "all-crash"},
}

const tenantSeeds = 4 // for each set of faults

// Key revocation and quotas are enforced in routed fleets under the faults of tenants and others.
func TestRoutedTenants(t *testing.T) {
	for i, faults := range tenantFaultSets {
		for seed := range uint64(tenantSeeds) {
			seed += uint64(100 * i)
			t.Run(fmt.Sprint(faults, " ", seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				deployment := DrawDeployment(seed)
				outcome := runInBubble(t, RoutedPlan{
					Seed: seed, Deployment: deployment, Span: routedSpan, Faults: faults, Tenants: DrawTenants(seed, deployment),
				})
				for _, violation := range outcome.Report.Violations {
					c.Check(violation.Rule, qt.Equals, checker.Rule(""), qt.Commentf("at %d us: %s", violation.At, violation.Detail))
				}
				c.Check(outcome.Report.Served > 0, qt.IsTrue)
				t.Log(outcome.Report.Served, outcome.Report.Attempts, outcome.Report.Endings)
			})
		}
	}
}
