package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// settableClock returns the time that a test has set.
type settableClock struct{ now kernel.Micros }

func (c *settableClock) Now() kernel.Micros { return c.now }

// While the loop handles no event, the fence it published last stays in force and the configuration's age keeps growing.
func TestAConfigurationIsStaleOnceItsAgeIsTooGreatWhileALeaderLeads(t *testing.T) {
	c := qt.New(t)
	clock := &settableClock{now: 100 * kernel.Second}
	settings := control.NodeSettings{Timing: cluster.SparseTiming(), ServeExtension: cluster.ServeWithoutLimit, ApplyTimeout: 3 * kernel.Second}
	r := &Runner{env: kernel.Env{Clock: clock}, node: control.NewNode(settings, clock.now)}
	r.freshAt.Store(int64(clock.now))
	r.fence.hasLeader.Store(true)
	c.Check(r.IsConfigStale(), qt.IsFalse)
	clock.now += 2849 * kernel.Millisecond
	c.Check(r.IsConfigStale(), qt.IsFalse)
	clock.now += kernel.Millisecond
	c.Check(r.IsConfigStale(), qt.IsTrue)
	r.fence.hasLeader.Store(false)
	c.Check(r.IsConfigStale(), qt.IsFalse, qt.Commentf("partitioned, or there is no leader"))
	r.fence.hasLeader.Store(true)
	settings.ServeExtension = 0
	r.node = control.NewNode(settings, clock.now)
	c.Check(r.IsConfigStale(), qt.IsFalse, qt.Commentf("strict leases have no fence"))
}

// The timeouts in DeploymentBounds are passed to the control plane, which derives the fence's maximum age from them.
func TestADeploymentsBoundsReachItsFence(t *testing.T) {
	c := qt.New(t)
	deployment := &Deployment{Bounds: DeploymentBounds{ApplyTimeout: 2500 * kernel.Millisecond, ContactTimeout: 4 * kernel.Second}}
	settings := deployment.nodeSettings(kernel.Identity{}, Roles{IsRouter: true})
	c.Check(settings.ApplyTimeout, qt.Equals, 2500*kernel.Millisecond)
	c.Check(settings.ContactTimeout, qt.Equals, 4*kernel.Second)
	c.Check(control.NewNode(settings, kernel.Second).ConfigMaxAge(), qt.Equals, 2375*kernel.Millisecond)
}
