package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"dunlinloom/internal/server"
)

func (s *session) printFleet(got []byte) error {
	var view server.FleetView
	if err := json.Unmarshal(got, &view); err != nil {
		return malformedResponseError{"the fleet view", err}
	}
	view.Nodes, view.IsPartial = s.allNodes(&view)
	fmt.Fprintf(s.out, "revision %d, configuration of %d, seen from %s in %s\n", view.Revision, view.ConfigRevision, view.Self.Address, view.Self.Zone)
	if view.Reason != "" {
		fmt.Fprintf(s.out, "NO LEASE: %s\n", view.Reason)
	}
	if view.DiskFault != "" {
		fmt.Fprintf(s.out, "DISK: %s\n", view.DiskFault)
	}
	if view.Core != nil {
		printCore(s.out, view.Core)
	} else {
		fmt.Fprintln(s.out, "core: known only to its leader; see `dunlinctl status`")
	}
	for _, zone := range slices.Sorted(maps.Keys(view.Drained)) {
		fmt.Fprintf(s.out, "zone %s is drained since revision %d\n", zone, view.Drained[zone])
	}
	isVoter, isCoordinator, isRegistered := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, member := range view.Voters {
		isVoter[member.Address] = true
	}
	for _, coordinator := range view.Coordinators {
		isCoordinator[coordinator] = true
	}
	for _, address := range view.Routers {
		isRegistered[address] = true
	}
	fmt.Fprintf(s.out, "\n%-22s %-22s %-8s %10s  %s\n", "NODE", "PUBLIC", "ZONE", "REVISION", "DUTIES")
	seen := map[string]bool{}
	for _, node := range view.Nodes {
		seen[node.Address] = true
		duties := []string{}
		for _, duty := range []struct {
			name    string
			hasDuty bool
		}{{"leads", node.Address == view.Leader}, {"votes", isVoter[node.Address]}, {"home", isCoordinator[node.Address]}, {"routes", isRegistered[node.Address]}, {"leaving", node.IsLeaving}} {
			if duty.hasDuty {
				duties = append(duties, duty.name)
			}
		}
		fmt.Fprintf(s.out, "%-22s %-22s %-8s %10d  %s\n", node.Address, node.PublicAddress, node.Zone, node.Applied, strings.Join(duties, " "))
	}
	s.printUnseenRouters(&view, seen)
	for _, member := range view.Voters {
		if !seen[member.Address] {
			fmt.Fprintf(s.out, "%-22s votes but is not heard of\n", member.Address)
		}
	}
	fmt.Fprintf(s.out, "\n%-16s %-22s %-8s %10s %10s %8s  %s\n", "ENGINE", "ADDRESS", "ZONE", "OWN", "FOREIGN", "STREAMS", "")
	for _, engine := range view.Engines {
		fmt.Fprintf(s.out, "%-16s %-22s %-8s %10d %10.0f %8d  %s\n", engine.ID, engine.Address, engine.Zone, engine.Own, engine.Foreign, engine.Streams, engine.IneligibleReason)
	}
	fmt.Fprintf(s.out, "\n%-16s %-8s %12s  sent by %s\n", "MESSAGES", "TO", "BYTES", view.Self.Address)
	for _, traffic := range view.Traffic[:min(len(view.Traffic), 12)] {
		fmt.Fprintf(s.out, "%-16s %-8s %12d\n", traffic.Kind, traffic.To, traffic.Bytes)
	}
	return nil
}

// allNodes returns the nodes of the fleet and reports whether the list is partial. If the view is
// partial, it queries the coordinator of the view's zone, which knows all nodes. The list stays
// partial if the coordinator does not respond with a complete view.
func (s *session) allNodes(view *server.FleetView) (nodes []server.NodeView, isPartial bool) {
	if !view.IsPartial {
		return view.Nodes, false
	}
	coordinator := view.Coordinators[view.Self.Zone]
	index := slices.IndexFunc(view.Nodes, func(node server.NodeView) bool { return node.Address == coordinator })
	if index < 0 {
		return view.Nodes, true
	}
	status, got, err := s.doAt(view.Nodes[index].PublicAddress, http.MethodGet, "/v1/fleet", nil, "")
	var complete server.FleetView
	if err != nil || status != http.StatusOK || json.Unmarshal(got, &complete) != nil || complete.IsPartial {
		return view.Nodes, true
	}
	return complete.Nodes, false
}

// printUnseenRouters prints the registered routers that the view's node does not hear of. In a
// partial view it prints only their number, because most of them are merely in other zones.
func (s *session) printUnseenRouters(view *server.FleetView, seen map[string]bool) {
	unseen := slices.DeleteFunc(slices.Clone(view.Routers), func(address string) bool { return seen[address] })
	if view.IsPartial {
		fmt.Fprintf(s.out, "%d more registered routers, of other zones or not heard of: ask a zone's coordinator; %d routers are known in all\n", len(unseen), view.KnownRouters)
		return
	}
	for _, address := range unseen {
		fmt.Fprintf(s.out, "%-22s registered but not heard of\n", address)
	}
}
