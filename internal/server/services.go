package server

import (
	"dunlinloom/internal/drain"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
	"dunlinloom/internal/router"
)

// Services are the dependencies that an Adapter's handlers get.
type Services struct {
	Env             kernel.Env
	Runner          *Runner
	Compiler        *fleetconfig.Compiler
	LimitedListener *LimitedListener // nil where callers are not served
	ControlGuard    *ControlGuard    // nil until the control address is served, and where it is not
	// callerConnections are the connections of callers; nil until callers are served, and where they are not.
	callerConnections *drain.Listener
	// Router is the data plane; nil until the callers' handler is built.
	Router     *router.Router
	Invariants *invariant.Monitor
	// Quota is this node's account of the tenants' quotas.
	Quota *quota.Account
	// Deployment returns the current settings, which a reload replaces.
	Deployment func() *Deployment
	IsStopping func() bool
}

// UnreadyReason returns why the platform should send no callers to this node; empty if the node is ready.
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
		return "this node knows no usable engine"
	}
	if s.Router != nil && !s.MayTrustKeys() && s.Router.Chooser.NeedsKeys() {
		return "this node may have missed the revocation of keys"
	}
	if s.Quota != nil && !s.Quota.HasAllocator(s.Env.Clock.Now()) {
		return "no leader allocates quotas to this node"
	}
	return ""
}
