package capacity

// Founding of a measured fleet, up to the state in which it is measured.

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
)

// start founds the fleet, puts a configuration in force, gives the homes to routers and lets the
// engines register.
func (f *Fleet) start() error {
	for _, h := range f.nodes {
		f.after(f.jitter(500*ms), h.start)
	}
	if err := f.run(sec); err != nil {
		return err
	}
	if err := f.runUntil("found the fleet", 200*ms, 60*sec, func() string { return f.unsettledReason(0) }); err != nil {
		return err
	}
	accepted := false
	for range 5 {
		isOver := false
		f.submit(f.router(0), cluster.PutConfig, f.config(0), func(reply cluster.SubmitResponse) {
			isOver, accepted = true, reply.Outcome == cluster.Accepted
		})
		if err := f.runUntil("put a configuration in force", 50*ms, 20*sec, func() string {
			if !isOver {
				return "no acknowledgement came"
			}
			return ""
		}); err != nil {
			return err
		}
		if accepted {
			break
		}
	}
	if !accepted {
		return UnsettledError{"put a configuration in force", 100 * sec, "no yes came"}
	}
	if err := f.moveCoordinators(); err != nil {
		return err
	}
	for i := range f.sizes.Engines {
		f.startReports(i, f.jitter(f.sizes.Report))
	}
	return f.runUntil("know all engines", 500*ms, 60*sec, func() string { return f.unsettledReason(f.sizes.Engines) })
}

// moveCoordinators lets routers keep the zones, where the first who asked was a control machine.
func (f *Fleet) moveCoordinators() error {
	return f.runUntil("move the homes", sec, 60*sec, func() string {
		why := ""
		leader := f.leader()
		if leader == nil {
			return "nobody leads"
		}
		homes := leader.node.State(nil).Document.Coordinators
		for _, zone := range slices.Sorted(maps.Keys(homes)) {
			address := homes[zone]
			if home := f.byAddress[address]; home == nil || !home.isController {
				continue
			}
			for _, h := range f.nodes {
				if h.identity.Zone == zone && !h.isController && h.isUp {
					why = "control machines keep zones"
					envelope := wire.Envelope{Fleet: "capacity", From: address, To: leader.identity.Address,
						Message: wire.Message{CoordinatorHandover: &wire.CoordinatorHandover{Zone: zone, To: h.identity.Address}}}
					leader.event(func() []commands.Command { return leader.node.Deliver(f.now, envelope) })
					break
				}
			}
		}
		return why
	})
}

func (f *Fleet) leader() *node {
	for _, h := range f.nodes {
		if h.isUp && h.isController && h.node.State(h.state).IsLeader {
			return h
		}
	}
	return nil
}

// unsettledReason tells what some node still lacks: a lease, the newest document, nodes, engines.
func (f *Fleet) unsettledReason(engines int) string {
	newest, states := uint64(0), map[*node]*control.State{}
	for _, h := range f.nodes {
		if !h.isUp || h.node == nil {
			return h.identity.Address + " is down"
		}
		state := h.node.State(nil)
		states[h] = state
		if state.Document == nil {
			return h.identity.Address + " has no document"
		}
		newest = max(newest, state.Document.Revision)
	}
	for _, h := range f.nodes {
		state := states[h]
		switch {
		case state.Document.Revision < newest:
			return h.identity.Address + " is behind"
		case !h.isController && state.Until <= f.now:
			return h.identity.Address + " has no lease"
		case len(state.Document.Coordinators) < f.sizes.Zones:
			return "a zone has no home"
		case len(state.Document.Routers) < f.sizes.Nodes-f.sizes.Control:
			return "a router is not registered"
		case f.missingNode(h, state) != "":
			return fmt.Sprintf("%s does not know %s", h.identity.Address, f.missingNode(h, state))
		case state.KnownRouters() < f.sizes.Nodes-f.sizes.Control:
			return fmt.Sprintf("%s counts %d routers", h.identity.Address, state.KnownRouters())
		case len(state.Engines) < engines:
			return fmt.Sprintf("%s knows %d engines", h.identity.Address, len(state.Engines))
		}
	}
	return ""
}

// missingNode names a node whose record another one lacks: every node needs those of its own zone and of the
// coordinators, and where it is to have all nodes, those of all; empty: none is missing.
func (f *Fleet) missingNode(h *node, state *control.State) string {
	known := map[string]bool{}
	for _, record := range state.Nodes {
		known[record.Address] = true
	}
	for _, other := range f.nodes {
		address, zone := other.identity.Address, other.identity.Zone
		isNeeded := state.HasAllNodes() || zone == h.identity.Zone || state.Document.Coordinators[zone] == address
		if isNeeded && !known[address] {
			return address
		}
	}
	return ""
}
