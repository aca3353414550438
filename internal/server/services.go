package server

import (
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/router"
)

// Services are what a deployment's handlers are made of.
type Services struct {
	Env             kernel.Env
	Runner          *Runner
	Compiler        *fleetconfig.Compiler
	LimitedListener *LimitedListener // nil where callers are not served
	ControlGuard    *ControlGuard    // nil until the control address is served, and where it is not
	// Router is the data plane, from when the callers' handler is made.
	Router     *router.Router
	Invariants *invariant.Monitor
	// Quota is this node's part of the tenants' quotas.
	Quota *quota.Account
	// Deployment gives the settings of this moment.
	Deployment func() *Deployment
	IsStopping func() bool
}

// UnreadyReason gives why the platform should send no callers here; empty when it should.
func (s *Services) UnreadyReason() string {
	state := s.Runner.State()
	switch {
	case s.IsStopping():
		return "this node is stopping"
	case state.Document == nil || state.Document.ConfigRevision == 0:
		return "no configuration has reached this node"
	}
	if s.Runner.IsConfigLastinglyStale() {
		return "the configuration in force here may have been replaced"
	}
	if countUsable(state.Engines) == 0 {
		return "no engine that is up is known here"
	}
	if s.Router != nil && !s.MayTrustKeys() && s.Router.Chooser.NeedsKeys() {
		return "keys may have been withdrawn of which this node has not heard"
	}
	if s.Quota != nil && !s.Quota.HasAllocator(s.Env.Clock.Now()) {
		return "nobody deals out quotas to this node"
	}
	return ""
}
