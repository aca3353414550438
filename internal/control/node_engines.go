package control

import (
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// How a node learns of engines and disseminates what it learns.

// urgentUpdate is a set of engine records that is sent several times. A draining mark has to reach every router within
// seconds, so the loss of a single message must not delay it.
type urgentUpdate struct {
	records   []registry.EngineRecord
	sendAt    kernel.Micros // when it is sent next
	remaining int           // how often it is still to be sent
}

// ReportEngines handles engine records that this node learned itself, not from another node. It converts the ages in
// the records to times of this node's clock, in place.
func (n *Node) ReportEngines(now kernel.Micros, records []registry.EngineRecord) []commands.Command {
	n.now = now
	for i := range records {
		records[i] = records[i].WithTimes(now)
	}
	n.reportEngines(records)
	return n.finish()
}

// ReportListing handles a list of engines that this node has polled from the platform.
func (n *Node) ReportListing(now kernel.Micros, listing registry.Listing) []commands.Command {
	n.now = now
	if n.directory.MergeListing(now, listing) {
		n.announceDraining(n.drainingRecords())
	}
	return n.finish()
}

// Probed handles the result of this node's probe of an engine. The result is ignored if the engine was restarted since.
func (n *Node) Probed(now kernel.Micros, id string, start uint64, isUnresponsive bool) []commands.Command {
	n.now = now
	if engine, isThere := n.directory.Engine(id); isThere && engine.Start == start && engine.IsUnresponsive != isUnresponsive {
		engine.IsUnresponsive, engine.ReachabilityChangedAt = isUnresponsive, now
		engine.UnresponsiveSeq++
		n.reportEngines([]registry.EngineRecord{engine})
		// A request to an unresponsive engine can't be retried, so routers learn of it at once.
		n.disseminate([]registry.EngineRecord{engine.WithAges(now)}, true)
	}
	return n.finish()
}

// Restarted handles an engine's answer to a router on this node if the answer shows a later start of the engine than
// was known here. It takes precedence over reports and lists, because it comes from the engine itself.
func (n *Node) Restarted(now kernel.Micros, id string, start uint64) []commands.Command {
	n.now = now
	if engine, isThere := n.directory.Engine(id); isThere && engine.Start < start {
		n.reportEngines([]registry.EngineRecord{{ID: id, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: start, StartedAt: now, SeenAt: now, ReportedAt: now}})
	}
	return n.finish()
}

// Suspect handles a router's report that it could not reach an engine. The router runs on this node, and the failure
// may be its own. So the coordinator of the engine's zone probes the engine before it informs other nodes.
func (n *Node) Suspect(now kernel.Micros, id string, start uint64) []commands.Command {
	n.now = now
	n.suspect(&wire.Suspect{Engine: id, Start: start})
	return n.finish()
}

func (n *Node) suspect(m *wire.Suspect) {
	engine, isThere := n.directory.Engine(m.Engine)
	// An engine that announces itself is judged by its heartbeats.
	if !isThere || engine.AnnouncementSeq > 0 || engine.Start != m.Start || engine.IsUnresponsive || n.lease.Applied() == nil {
		return
	}
	coordinator := n.lease.Applied().Coordinators[engine.Zone]
	if coordinator != n.self() {
		n.send(coordinator, wire.Message{Suspect: m})
		return
	}
	if at, isProbed := n.probedAt[m.Engine]; isProbed && n.now-at < 200*kernel.Millisecond {
		return
	}
	n.probedAt[m.Engine] = n.now
	n.out = append(n.out, commands.Probe{Engine: engine})
}

func (n *Node) drainingRecords() []registry.EngineRecord {
	found := []registry.EngineRecord{}
	for engine := range n.directory.AllEngines() {
		if engine.IsDraining {
			found = append(found, engine.WithAges(n.now))
		}
	}
	return found
}

// drainingReports returns the draining engines that the leader should mark in the document; see ReportDraining. It
// leaves out removed engines and those that announce themselves.
func (n *Node) drainingReports() []DrainingReport {
	reports := []DrainingReport{}
	for engine := range n.directory.AllEngines() {
		// The reports are limited to half of the marks that the core keeps; otherwise two nodes' marks could evict each
		// other forever. An engine that announces itself is left out, since it repeats the mark with its next heartbeat.
		if engine.IsDraining && engine.AnnouncementSeq == 0 && !engine.IsUnlisted && len(reports) < cluster.MaxDrainingMarks/2 {
			reports = append(reports, DrainingReport{engine.ID, engine.Start})
		}
	}
	return reports
}

func (n *Node) reportEngines(records []registry.EngineRecord) {
	n.mergeEngineReports(records)
	if n.isCoordinator() {
		return
	}
	aged := make([]registry.EngineRecord, 0, len(records))
	for _, record := range records {
		aged = append(aged, record.WithAges(n.now))
	}
	n.send(n.coordinator(), wire.Message{EngineReports: &wire.EngineReports{Engines: aged}})
}

// mergeEngineReports merges records that were learned in this zone and announces the draining marks among them.
func (n *Node) mergeEngineReports(records []registry.EngineRecord) {
	draining := []registry.EngineRecord{}
	for _, record := range records {
		if n.directory.MergeEngine(n.now, record, true) {
			draining = append(draining, record.WithAges(n.now))
		}
	}
	n.announceDraining(draining)
}

// announceDraining disseminates draining marks at once and twice more, after about 300 and 900 ms. This node sends them
// to the nodes of its zone directly, because the zone's coordinator may have failed a moment ago without anybody
// noticing yet.
func (n *Node) announceDraining(records []registry.EngineRecord) {
	if len(records) == 0 {
		return
	}
	n.disseminate(records, true)
	n.urgent = append(n.urgent, urgentUpdate{records, n.now + 300*kernel.Millisecond, 2})
}

func (n *Node) tickUrgent() {
	remaining := n.urgent[:0]
	for _, update := range n.urgent {
		if n.now >= update.sendAt {
			n.disseminate(update.records, true)
			update.sendAt, update.remaining = n.now+600*kernel.Millisecond, update.remaining-1
		}
		if update.remaining > 0 {
			remaining = append(remaining, update)
		}
	}
	n.urgent = remaining
}

// disseminate pushes urgent records to the nodes of this zone. With isBeyondZone it also sends them to the other
// zones' coordinators, and to all known nodes while this zone's coordinator is lost.
func (n *Node) disseminate(records []registry.EngineRecord, isBeyondZone bool) {
	if len(records) == 0 {
		return
	}
	targets := n.zoneNodes()
	if isBeyondZone {
		targets = append(targets, n.otherCoordinators()...)
		if n.isCoordinatorLost() {
			for node := range n.directory.AllNodes() {
				targets = append(targets, node.Address)
			}
		}
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target != n.self() {
			n.send(target, wire.Message{DirectoryUpdate: &registry.DirectoryUpdate{Incarnation: n.directory.Incarnation(), Engines: records}})
		}
	}
}

// onEngineReports merges engine records from another node. Records of engines that announce themselves are also pushed
// to all zones.
func (n *Node) onEngineReports(m *wire.EngineReports) {
	records := make([]registry.EngineRecord, 0, len(m.Engines))
	announced := []registry.EngineRecord{}
	for _, record := range m.Engines {
		if record.AnnouncementSeq > 0 {
			announced = append(announced, record.WithTimes(n.now))
			continue
		}
		records = append(records, record.WithTimes(n.now))
	}
	n.mergeEngineReports(records)
	n.pushToCoordinators(n.mergeAnnounced(announced))
}

// onSuspect handles a suspicion forwarded to this node as the zone's coordinator. It never forwards the suspicion
// again: if two nodes disagree on who the coordinator is, a later report reaches the right one.
func (n *Node) onSuspect(m *wire.Suspect) {
	if n.isCoordinator() {
		n.suspect(m)
	}
}
