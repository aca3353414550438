package server

import (
	"cmp"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// TableBuilder turns states of the control plane into routing tables for the data plane.
type TableBuilder struct {
	Compiler       *fleetconfig.Compiler
	config         *fleetconfig.Config
	configRevision uint64
	published      tableVersion
}

type tableVersion struct {
	revision, engineRevision uint64
	leaseUntil               kernel.Micros
	lapseReason              string
}

// RoutingTable gives the next routing table, or nil when nothing changed that routing depends on.
func (b *TableBuilder) RoutingTable(state *control.State) (*relay.RoutingTable, error) {
	mark := tableVersion{0, state.EngineRev, state.Until, state.LapseReason}
	var failed error
	if state.Document != nil {
		mark.revision = state.Document.Revision
		// A large configuration is compiled once, not at every change of something else.
		if state.Document.ConfigRevision != b.configRevision {
			b.configRevision = state.Document.ConfigRevision
			b.config, failed = b.Compiler.Read(state.Document.Config)
		}
	}
	if mark == b.published {
		return nil, failed
	}
	b.published = mark
	routingTable := &relay.RoutingTable{Config: b.config, Drained: map[string]bool{}, LeaseUntil: state.Until, LeaseLapseReason: state.LapseReason}
	if state.Document != nil {
		routingTable.Revision, routingTable.Routers = state.Document.Revision, state.Document.Routers
		for zone := range state.Document.DrainedZones {
			routingTable.Drained[zone] = true
		}
	}
	routingTable.Engines = MergeEngines(b.config, state.Engines)
	if state.Document != nil {
		for i, engine := range routingTable.Engines {
			mark, isMarked := state.Document.Draining[engine.ID]
			routingTable.Engines[i].IsDraining = engine.IsDraining || isMarked && engine.Start <= mark.Start
		}
	}
	return routingTable, failed
}

// engineOf gives a record of the control plane as the data plane knows engines.
func engineOf(record registry.EngineRecord) relay.Engine {
	engine := relay.Engine{
		ID: record.ID, Address: record.Address, Zone: record.Zone, Pool: record.Pool, Start: record.Start,
		IsDraining: record.IsDraining, IsUnlisted: record.IsUnlisted, IsUnresponsive: record.IsUnresponsive,
		HasReport: record.Seq > 0, Load: record.Load, AsOf: record.ReportedAt, StartedAt: record.StartedAt, IsStartKnown: true,
	}
	if record.IsUnconfirmed() {
		engine.StartedAt = record.ReachabilityChangedAt
	}
	return engine
}

// MergeEngines joins the engines that the configuration names with those that the control plane knows.
func MergeEngines(config *fleetconfig.Config, records []registry.EngineRecord) []relay.Engine {
	engines, known := []relay.Engine{}, map[string]bool{}
	for _, record := range records {
		known[record.ID] = true
		engine := engineOf(record)
		if config != nil {
			named := config.Engines[record.ID]
			engine.Pool = cmp.Or(named.Pool, engine.Pool)
			engine.Zone = cmp.Or(named.Zone, engine.Zone)
			if named.Address != "" && record.ListRevision == 0 {
				engine.Address = named.Address
			}
			// An engine named by hand serves even where the platform's list lacks it.
			engine.IsUnlisted = engine.IsUnlisted && named.Address == ""
		}
		engines = append(engines, engine)
	}
	if config != nil {
		for id, named := range config.Engines {
			if !known[id] && named.Address != "" {
				engines = append(engines, relay.Engine{ID: id, Address: named.Address, Zone: named.Zone, Pool: named.Pool})
			}
		}
	}
	// One order on every node: ties in the policy are broken by it.
	slices.SortFunc(engines, func(a, b relay.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return engines
}
