package server

import (
	"net/http"
	"slices"
	"time"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
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
		IsInTouch: s.Runner.IsInTouch, IsConfigStale: s.Runner.IsConfigStale, IsLate: s.Runner.IsLate, Invariants: s.Invariants,
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
	engines        []router.Engine // of engineRevision; shared with the tables, so never changed
	nodes          []registry.NodeRecord
	routers        int // among nodes
	published      *router.RoutingTable
}

// routingTable gives the next routing table, or nil when nothing changed that routing depends on. Most changes of
// engines are new reports on their load, which the data plane has from the engines themselves.
func (r *routeTableBuilder) routingTable(state *control.State) *router.RoutingTable {
	r.readConfig(state.Document)
	r.readEngines(state)
	next := &router.RoutingTable{Config: r.config, Engines: r.engines, Routers: max(r.countRouters(state), 1)}
	if r.published != nil && next.Config == r.published.Config && next.Routers == r.published.Routers && slices.Equal(next.Engines, r.published.Engines) {
		return nil
	}
	r.published = next
	return next
}

// readConfig reads a document's configuration, unless it did so before.
func (r *routeTableBuilder) readConfig(document *cluster.Document) {
	if document == nil || document.ConfigRevision == r.configRevision {
		return
	}
	r.configRevision = document.ConfigRevision
	config, err := r.compiler.Read(document.Config)
	if err == nil {
		// One that can't be read here was read by the leader; the older one must not
		// outlive it, but there is nothing else to go by.
		r.config = config
	}
}

// readEngines takes a state's engines, unless they are those it has.
func (r *routeTableBuilder) readEngines(state *control.State) {
	if r.published != nil && state.EngineRev == r.engineRevision {
		return
	}
	r.engineRevision = state.EngineRev
	engines := make([]router.Engine, 0, len(state.Engines))
	for _, engine := range state.Engines {
		if engine.IsUnlisted || engine.Address == "" {
			continue
		}
		engines = append(engines, router.Engine{
			ID: engine.ID, Address: engine.Address, Zone: engine.Zone, Service: engine.Pool, Slots: engine.Slots,
			IsDraining: engine.IsDraining, IsUnresponsive: engine.IsUnresponsive,
		})
	}
	r.engines = engines
}

// countRouters counts the routers that a state knows and, where there are more, the members of its document: a node that
// was restarted while it is cut off knows no other router, but by the document on its disk the other members.
func (r *routeTableBuilder) countRouters(state *control.State) int {
	if !isSameSlice(state.Nodes, r.nodes) {
		r.nodes, r.routers = state.Nodes, countRouterNodes(state.Nodes)
	}
	routers := max(r.routers, state.ReportedRouters)
	if state.Document == nil {
		return routers
	}
	return max(routers, len(state.Document.Voters))
}

// countRouterNodes counts the routers among node records.
func countRouterNodes(nodes []registry.NodeRecord) int {
	count := 0
	for _, node := range nodes {
		if node.IsRouter {
			count++
		}
	}
	return count
}

// isSameSlice tells whether two slices are the same elements in memory. States share the parts that did not change.
func isSameSlice[T any](one, other []T) bool {
	return len(one) == len(other) && (len(one) == 0 || &one[0] == &other[0])
}
