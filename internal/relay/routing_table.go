package relay

import (
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Engine is what the control plane has published about one engine.
type Engine struct {
	ID, Address, Zone, Pool string
	Start                   uint64 // identifies one process of the engine; a later process has a higher start
	IsDraining              bool
	IsUnlisted              bool // no longer in the platform's list
	IsUnresponsive          bool
	HasReport               bool          // Load and AsOf are set
	Load                    int64         // outstanding tokens of all routers, as the engine reported them
	AsOf                    kernel.Micros // when the report was taken
	StartedAt               kernel.Micros // valid if IsStartKnown
	IsStartKnown            bool
}

// RoutingTable is one snapshot of all that the control plane provides to this router. It must not be
// changed once it was passed to the dispatcher.
type RoutingTable struct {
	Revision         uint64              // of Config
	Config           *fleetconfig.Config // nil: not known yet
	Drained          map[string]bool     // the drained zones
	Engines          []Engine
	Routers          []string // the registered routers, sorted
	LeaseExpiresAt   kernel.Micros
	LeaseLapseReason string // why there is no valid lease; empty: it has ended at LeaseExpiresAt
}
