package capacity

// Bootstrap of a fleet, up to the state in which it is measured.

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
)

// start bootstraps the fleet, applies a configuration, moves the coordinators to routers and starts
// the engines.
func (f *Fleet) start() error {
	for _, h := range f.nodes {
		f.after(f.jitter(500*ms), h.start)
	}
	if err := f.run(sec); err != nil {
		return err
	}
	if err := f.runUntil("bootstrap the fleet", 200*ms, 60*sec, func() string { return f.unsettledReason(0) }); err != nil {
		return err
	}
	accepted := false
	for range 5 {
		isOver := false
		f.submit(f.router(0), cluster.PutConfig, f.config(0), func(reply cluster.SubmitResponse) {
			isOver, accepted = true, reply.Outcome == cluster.Accepted
		})
		if err := f.runUntil("apply a configuration", 50*ms, 20*sec, func() string {
			if !isOver {
				return "no acknowledgement was received"
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
		return UnsettledError{"apply a configuration", 100 * sec, "it was never accepted"}
	}
	if err := f.moveCoordinators(); err != nil {
		return err
	}
	for i := range f.sizes.Engines {
		f.startReports(i, f.jitter(f.sizes.Report))
	}
	return f.runUntil("know all engines", 500*ms, 60*sec, func() string { return f.unsettledReason(f.sizes.Engines) })
}

// moveCoordinators moves the coordination of each zone to a router if a control machine holds it because it asked
// first.
func (f *Fleet) moveCoordinators() error {
	return f.runUntil("move the coordinators", sec, 60*sec, func() string {
		why := ""
		leader := f.leader()
		if leader == nil {
			return "there is no leader"
		}
		coordinators := leader.node.State(nil).Document.Coordinators
		for _, zone := range slices.Sorted(maps.Keys(coordinators)) {
			address := coordinators[zone]
			if coordinator := f.byAddress[address]; coordinator == nil || !coordinator.isController {
				continue
			}
			for _, h := range f.nodes {
				if h.identity.Zone == zone && !h.isController && h.isUp {
					why = "control machines coordinate zones"
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

// unsettledReason returns what a node still lacks, such as a lease, the newest document, nodes or engines.
// It returns "" if the fleet has settled.
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
		case !h.isController && state.LeaseExpiresAt <= f.now:
			return h.identity.Address + " has no lease"
		case len(state.Document.Coordinators) < f.sizes.Zones:
			return "a zone has no coordinator"
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

// missingNode returns the address of a node whose record a node lacks, or "" if none is missing. Every node needs
// the records of its own zone and of the coordinators, or of all nodes if its state has all nodes.
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
