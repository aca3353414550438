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

// Timeouts of the connections to engines.
const (
	engineDialTimeout    = 300 * kernel.Millisecond // a connection within a region is established in milliseconds
	engineIdleTimeout    = 10 * kernel.Second       // used if the engine does not announce one
	engineUnackedTimeout = 4 * kernel.Second        // after which unacknowledged bytes end a connection
)

// NewCallerHandler returns the handler of a deployment's callers. wire names the headers that callers and engines use. The
// handler keeps its routing table up to date in the background until the environment ends.
func NewCallerHandler(s *Services, wire router.Wire) (http.Handler, error) {
	deployment := s.Deployment()
	budget := deployment.Bounds.Budget
	retry := router.RetryBudget{Ratio: budget.Ratio, Window: budget.Window, Slack: budget.Slack}.StartingAt(s.Env.Clock.Now())
	chooser := router.NewChooser(s.Env.Self.Address, s.Env.Self.Zone, retry)
	dataPlane := router.NewRouter(router.Settings{
		Env: s.Env, Wire: wire, Chooser: chooser,
		Pool:        router.NewPool(s.Env.Clock, router.PlainDialer(engineUnackedTimeout), engineDialTimeout, engineIdleTimeout),
		MaxInFlight: int64(deployment.Settings.MaxInFlight), MaxBodyBytesTotal: deployment.Limits.BodiesBytes,
		Suspect:     func(engine router.Engine) { s.Runner.SuspectEngine(engine.ID) },
		IsInContact: s.Runner.IsInContact, IsConfigStale: s.Runner.IsConfigStale, IsLate: s.Runner.IsLate, Invariants: s.Invariants,
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

// routeTableBuilder derives the router's routing tables from states of the control plane.
type routeTableBuilder struct {
	compiler       *fleetconfig.Compiler
	config         *fleetconfig.Config
	configRevision uint64
	engineRevision uint64
	engines        []router.Engine // as of engineRevision; shared with published tables, so never modified
	nodes          []registry.NodeRecord
	routers        int // among nodes
	published      *router.RoutingTable
}

// routingTable returns the next routing table, or nil if nothing changed that routing depends on. Most changes of
// engine records are load reports, and the data plane learns the load from the engines' own responses.
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

// readConfig parses a document's configuration unless its revision was parsed before.
func (r *routeTableBuilder) readConfig(document *cluster.Document) {
	if document == nil || document.ConfigRevision == r.configRevision {
		return
	}
	r.configRevision = document.ConfigRevision
	config, err := r.compiler.Read(document.Config)
	if err == nil {
		// The leader could parse a configuration that fails here. Routing by the previous one is wrong then, but
		// there is no other, so it stays in use.
		r.config = config
	}
}

// readEngines converts a state's engine records unless their revision was converted before.
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

// countRouters returns the number of routers that a state knows, or the number of voters in its document if that is
// greater. A node that restarts during a network partition knows no other router, but the document on its disk names the
// voters.
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

func countRouterNodes(nodes []registry.NodeRecord) int {
	count := 0
	for _, node := range nodes {
		if node.IsRouter {
			count++
		}
	}
	return count
}

// isSameSlice reports whether two slices have the same backing elements. Consecutive states share the slices that did
// not change, so this is a cheap test for a change.
func isSameSlice[T any](one, other []T) bool {
	return len(one) == len(other) && (len(one) == 0 || &one[0] == &other[0])
}
