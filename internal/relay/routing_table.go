package relay

import (
	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// Engine is what the data plane needs to know of one engine.
type Engine struct {
	ID, Address, Zone, Pool string
	Start                   uint64
	IsDraining              bool
	IsUnlisted              bool
	IsUnresponsive          bool
	HasReport               bool
	Load                    int64
	AsOf                    kernel.Micros
	StartedAt               kernel.Micros
	IsStartKnown            bool
}

// RoutingTable is all that the control plane has told this router, as one snapshot.
type RoutingTable struct {
	Revision         uint64
	Config           *fleetconfig.Config
	Drained          map[string]bool
	Engines          []Engine
	Routers          []string // the registered routers, in order
	LeaseUntil       kernel.Micros
	LeaseLapseReason string // why there is no lease
}
