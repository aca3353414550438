package server

import (
	"net/http"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/router"
)

// Spans of the connections to engines.
const (
	engineDialTimeout    = 300 * kernel.Millisecond // a connection within a region comes up in milliseconds
	engineIdleTimeout    = 10 * kernel.Second       // for which one idles where the engine says nothing
	engineUnackedTimeout = 4 * kernel.Second        // after which unanswered bytes end a connection
)

// NewCallerHandler makes the handler of a deployment's callers, who speak by the wire.
func NewCallerHandler(s *Services, wire router.Wire) (http.Handler, error) {
	deployment := s.Deployment()
	budget := deployment.Bounds.Budget
	retry := router.RetryBudget{Ratio: budget.Ratio, Window: budget.Window, Slack: budget.Slack}.StartingAt(s.Env.Clock.Now())
	chooser := router.NewChooser(s.Env.Self.Address, s.Env.Self.Zone, retry)
	dataPlane := router.NewRouter(router.Settings{
		Env: s.Env, Wire: wire, Chooser: chooser,
		Pool:        router.NewPool(s.Env.Clock, router.PlainDialer(engineUnackedTimeout), engineDialTimeout, engineIdleTimeout),
		MaxInFlight: int64(deployment.Settings.MaxInFlight), MaxBodyBytesTotal: deployment.Limits.BodiesBytes,
		Suspect:   func(engine router.Engine) { s.Runner.SuspectEngine(engine.ID) },
		IsInTouch: s.Runner.IsInTouch, Invariants: s.Invariants,
		MayTrustKeys: s.MayTrustKeys, MayTrustEngines: s.Runner.MayTrustEngines, Quota: s.Quota, RequestQuota: s.Runner.RequestQuota,
	})
	s.Router = dataPlane
	tables := &routeTableBuilder{compiler: s.Compiler}
	s.Runner.Watch(func(state *control.State) {
		if routingTable := tables.routingTable(state); routingTable != nil {
			chooser.SetRoutingTable(routingTable)
		}
	})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		tick := 0
		for {
			select {
			case <-s.Env.Done():
				return
			case <-ticker.C:
				dataPlane.Sweep()
				if tick++; tick%10 == 0 {
					s.Env.Log.Info("counts", "counts", chooser.Counts(), "live", dataPlane.InFlight(), "quotas", s.Quota.Counts())
				}
			}
		}
	}()
	return dataPlane, nil
}

// routeTableBuilder turns states of the control plane into routing tables of routed requests.
type routeTableBuilder struct {
	compiler       *fleetconfig.Compiler
	config         *fleetconfig.Config
	configRevision uint64
	engineRevision uint64
	routers        int
	isPublished    bool
}

// routingTable gives the next routing table, or nil when nothing changed that routing depends on.
func (r *routeTableBuilder) routingTable(state *control.State) *router.RoutingTable {
	routers := 0
	for _, node := range state.Nodes {
		if node.IsRouter {
			routers++
		}
	}
	revision := uint64(0)
	if state.Document != nil {
		// One that was restarted while it is cut off knows no other router, but by the document
		// on its disk the other members.
		routers = max(routers, len(state.Document.Voters))
		revision = state.Document.ConfigRevision
	}
	if r.isPublished && revision == r.configRevision && state.EngineRev == r.engineRevision && routers == r.routers {
		return nil
	}
	if revision != r.configRevision {
		config, err := r.compiler.Read(state.Document.Config)
		if err == nil {
			// One that can't be read here was read by the leader; the older one must not
			// outlive it, but there is nothing else to go by.
			r.config = config
		}
	}
	r.configRevision, r.engineRevision, r.routers, r.isPublished = revision, state.EngineRev, routers, true
	routingTable := &router.RoutingTable{Config: r.config, Routers: max(routers, 1)}
	for _, engine := range state.Engines {
		if engine.IsUnlisted || engine.Address == "" {
			continue
		}
		routingTable.Engines = append(routingTable.Engines, router.Engine{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Service: engine.Pool, Slots: engine.Slots,
			IsDraining: engine.IsDraining, IsUnresponsive: engine.IsUnresponsive,
		})
	}
	return routingTable
}
