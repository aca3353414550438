package router

import (
	"slices"
	"strings"

	"dunlinloom/internal/fleetconfig"
)

// Engine is what the control plane has published about an engine.
type Engine struct {
	ID, Address, Zone, Service string
	Slots                      int
	IsDraining, IsUnresponsive bool
}

// RoutingTable is a snapshot of what the control plane has published to this router. It must not be changed once it was
// passed to SetRoutingTable.
type RoutingTable struct {
	Config  *fleetconfig.Config
	Engines []Engine
	Routers int // routers that serve now, including this one
}

// SetRoutingTable puts a new routing table in force. Attempts at engines that are no longer listed continue, and the
// state of such an engine is removed by the first table that is set after its last attempt has ended.
func (c *Chooser) SetRoutingTable(routingTable *RoutingTable) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionTable, Table: c.recorder.table(routingTable)})
	}
	if c.routingTable.Config != routingTable.Config {
		clear(c.splits)
	}
	c.routingTable = routingTable
	// Partitioned routers are missing from each other's tables, but still use their parts of the retry budget.
	c.maxRouters = max(c.maxRouters, routingTable.Routers)
	c.tableNumber++
	for service, states := range c.services {
		c.services[service] = states[:0]
	}
	for _, engine := range routingTable.Engines {
		c.services[engine.Service] = append(c.services[engine.Service], c.updateEngine(engine))
	}
	for id, state := range c.engines {
		if state.tableNumber != c.tableNumber && len(state.attempts) == 0 {
			delete(c.engines, id)
		}
	}
	for service, states := range c.services {
		// References beyond the length would keep removed engines in memory.
		clear(states[len(states):cap(states)])
		if len(states) == 0 {
			delete(c.services, service)
		}
		// All routers need the same order, so that they prefer the same engine for a prefix. Tables usually arrive in
		// this order.
		if !slices.IsSortedFunc(states, compareIDs) {
			slices.SortFunc(states, compareIDs)
		}
	}
}

func compareIDs(one, other *engineState) int { return strings.Compare(one.engine.ID, other.engine.ID) }

// updateEngine creates or updates the state of an engine that is listed in the new routing table.
func (c *Chooser) updateEngine(engine Engine) *engineState {
	state := c.engines[engine.ID]
	if state == nil {
		state = &engineState{attempts: map[*Attempt]bool{}}
		c.engines[engine.ID] = state
	}
	if state.engine.IsUnresponsive && !engine.IsUnresponsive {
		state.failures, state.ejectedUntil = 0, 0
	}
	state.engine, state.tableNumber = engine, c.tableNumber
	return state
}

// Config returns the configuration in force, or nil if none has arrived yet.
func (c *Chooser) Config() *fleetconfig.Config {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config
}

// view returns the configuration in force and the number of routers that serve.
func (c *Chooser) view() (*fleetconfig.Config, int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.routingTable.Config, c.routingTable.Routers
}

// NeedsKeys reports whether requests need the key of a tenant under the configuration in force.
func (c *Chooser) NeedsKeys() bool {
	config := c.Config()
	return config != nil && config.NeedsKeys()
}

// IsWanted reports whether an engine of the routing table has this address.
func (c *Chooser) IsWanted(address string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, engine := range c.routingTable.Engines {
		if engine.Address == address {
			return true
		}
	}
	return false
}

// HasEngines reports whether any service has an engine that may take requests.
func (c *Chooser) HasEngines() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, engine := range c.routingTable.Engines {
		if !engine.IsDraining && !engine.IsUnresponsive {
			return true
		}
	}
	return false
}
