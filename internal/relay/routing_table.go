package relay

import (
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Engine is what the data plane needs to know of one engine.
type Engine struct {
	ID, Address, Zone, Pool string
	Start                   uint64 // names one process of the engine; a later one has a higher start
	IsDraining              bool
	IsUnlisted              bool // the platform's list has it no more
	IsUnresponsive          bool
	HasReport               bool          // Load and AsOf are set
	Load                    int64         // outstanding tokens of all routers, as the engine reported them
	AsOf                    kernel.Micros // when the report was taken
	StartedAt               kernel.Micros // if IsStartKnown
	IsStartKnown            bool
}

// RoutingTable is everything that the control plane gives to this router, as one snapshot. It must
// not be changed once the dispatcher has it.
type RoutingTable struct {
	Revision         uint64              // of Config
	Config           *fleetconfig.Config // nil: none is known yet
	Drained          map[string]bool     // the drained zones
	Engines          []Engine
	Routers          []string // the registered routers, sorted
	LeaseUntil       kernel.Micros
	LeaseLapseReason string // why there is no lease; empty: it has lapsed
}
