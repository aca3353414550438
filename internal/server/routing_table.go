package server

import (
	"cmp"
	"slices"
	"strings"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// TableBuilder builds routing tables for the data plane from states of the control plane.
type TableBuilder struct {
	Compiler       *fleetconfig.Compiler
	config         *fleetconfig.Config
	configRevision uint64
	published      tableVersion
}

// tableVersion identifies the control plane's state from which a routing table was built.
type tableVersion struct {
	revision, engineRevision uint64
	leaseUntil               kernel.Micros
	lapseReason              string
}

// RoutingTable returns the next routing table, or nil if nothing that routing depends on has changed. The error reports
// that the configuration can't be read; a table is built nevertheless.
func (b *TableBuilder) RoutingTable(state *control.State) (*relay.RoutingTable, error) {
	err := b.readConfig(state)
	return b.build(state), err
}

// readConfig reads the configuration of a state, unless it was the last one read. A large configuration is thus compiled
// once, not at every change of other state.
func (b *TableBuilder) readConfig(state *control.State) error {
	if state.Document == nil || state.Document.ConfigRevision == b.configRevision {
		return nil
	}
	b.configRevision = state.Document.ConfigRevision
	var err error
	b.config, err = b.Compiler.Read(state.Document.Config)
	return err
}

// build returns the next routing table with the configuration that was read last, or nil if nothing has changed.
func (b *TableBuilder) build(state *control.State) *relay.RoutingTable {
	version := tableVersion{0, state.EngineRev, state.LeaseExpiresAt, state.LapseReason}
	if state.Document != nil {
		version.revision = state.Document.Revision
	}
	if version == b.published {
		return nil
	}
	b.published = version
	routingTable := &relay.RoutingTable{Config: b.config, Drained: map[string]bool{}, LeaseExpiresAt: state.LeaseExpiresAt, LeaseLapseReason: state.LapseReason}
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
	return routingTable
}

// relayEngine converts a control plane record to the data plane's representation of an engine.
func relayEngine(record registry.EngineRecord) relay.Engine {
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

// MergeEngines combines the engines named in the configuration with those known to the control plane, sorted by ID. The
// configuration's pool and zone take precedence.
func MergeEngines(config *fleetconfig.Config, records []registry.EngineRecord) []relay.Engine {
	engines := make([]relay.Engine, 0, len(records))
	for _, record := range records {
		engine := relayEngine(record)
		if config != nil {
			configured := config.Engines[record.ID]
			engine.Pool = cmp.Or(configured.Pool, engine.Pool)
			engine.Zone = cmp.Or(configured.Zone, engine.Zone)
			if configured.Address != "" && record.ListRevision == 0 {
				engine.Address = configured.Address
			}
			// An engine with an address in the configuration serves even if the platform's list lacks it.
			engine.IsUnlisted = engine.IsUnlisted && configured.Address == ""
		}
		engines = append(engines, engine)
	}
	if config != nil && len(config.Engines) > 0 {
		engines = append(engines, unreportedEngines(config, records)...)
	}
	// Every node uses the same order, since the routing policy breaks ties by it. Records arrive in this order, so that
	// most calls need no sort.
	if !slices.IsSortedFunc(engines, compareIDs) {
		slices.SortFunc(engines, compareIDs)
	}
	return engines
}

// unreportedEngines returns the engines that the configuration names with an address and the control plane does not know.
func unreportedEngines(config *fleetconfig.Config, records []registry.EngineRecord) []relay.Engine {
	known := make(map[string]bool, len(records))
	for _, record := range records {
		known[record.ID] = true
	}
	engines := []relay.Engine{}
	for id, configured := range config.Engines {
		if !known[id] && configured.Address != "" {
			engines = append(engines, relay.Engine{ID: id, Address: configured.Address, Zone: configured.Zone, Pool: configured.Pool})
		}
	}
	return engines
}

func compareIDs(a, b relay.Engine) int { return strings.Compare(a.ID, b.ID) }
