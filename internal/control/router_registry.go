package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Changes that the leader makes to the document by itself, without an operator's operation: it registers routers,
// appoints zone coordinators, and marks draining engines.

// nodeReport is what a node's last lease request told this leader.
type nodeReport struct {
	reportedAt kernel.Micros
	applied    uint64
	received   uint64 // newest revision that the node holds; zero: its configuration has to be sent in full
	zone       string
	isRouter   bool
}

// reconcileRouters registers routers that report, and deregisters those that were silent for DeregisterTimeout. Under
// the rule Strict, acknowledgements depend on the registry, so it changes one step at a time.
func (c *Core) reconcileRouters(next *cluster.Document, reasons *[]string) {
	// Under the rule Strict, an acknowledgement needs a majority of the registered routers. The registry may then
	// change only after majorities of both the prior and the current registry have applied its last change.
	isCounted := c.settings.AckRule != Disseminated
	if isCounted && !c.isRouterChangeApplied() {
		return
	}
	changed := slices.Clone(next.Routers)
	for _, address := range slices.Sorted(maps.Keys(c.nodeReports)) {
		report := c.nodeReports[address]
		if report.isRouter && c.now-report.reportedAt < 2*kernel.Second && !slices.Contains(changed, address) {
			changed = append(changed, address)
			*reasons = append(*reasons, "router registered: "+address)
		}
	}
	if len(changed) == len(next.Routers) && c.now-c.leaderSince > c.settings.Timing.DeregisterTimeout {
		for i := 0; i < len(changed); i++ {
			address := changed[i]
			report := c.nodeReports[address]
			if report == nil || c.now-report.reportedAt > c.settings.Timing.DeregisterTimeout {
				changed = slices.Delete(changed, i, i+1)
				*reasons = append(*reasons, "router deregistered: "+address)
				// Under the rule Strict, routers are deregistered one at a time, so that a majority has applied each
				// step before the next.
				if isCounted {
					break
				}
				i--
			}
		}
	}
	if len(changed) != len(next.Routers) {
		next.PriorRouters, next.RoutersRevision = next.Routers, next.Revision
		next.Routers = cluster.Sorted(changed)
	}
}

// onCoordinatorHandover records the successor that a zone's coordinator has chosen. The next document appoints it.
func (c *Core) onCoordinatorHandover(m *wire.CoordinatorHandover) {
	if c.role == leader {
		c.coordinatorSuccessors[m.Zone] = m.To
	}
}

// reconcileCoordinators makes sure that each zone with reporting nodes has a coordinator that was heard recently.
func (c *Core) reconcileCoordinators(next *cluster.Document, reasons *[]string) {
	nodes := map[string][]string{}
	for _, address := range slices.Sorted(maps.Keys(c.nodeReports)) {
		if report := c.nodeReports[address]; c.now-report.reportedAt < c.settings.Timing.CoordinatorTimeout {
			nodes[report.zone] = append(nodes[report.zone], address)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(nodes)) {
		c.reconcileCoordinator(next, reasons, zone, nodes[zone])
	}
}

// reconcileCoordinator replaces the coordinator of a zone by the successor that it chose. If there is no coordinator,
// or it has been silent for CoordinatorTimeout, the first other address in nodes takes its place.
func (c *Core) reconcileCoordinator(next *cluster.Document, reasons *[]string, zone string, nodes []string) {
	coordinator := next.Coordinators[zone]
	if successor := c.coordinatorSuccessors[zone]; successor != "" && successor != coordinator {
		delete(c.coordinatorSuccessors, zone)
		next.Coordinators[zone] = successor
		*reasons = append(*reasons, "coordinator of "+zone+": "+successor+", named by "+coordinator)
		c.coordinatorSeenAt[zone] = c.now
		return
	}
	lastSeen, isSeen := c.coordinatorSeenAt[zone]
	if !isSeen {
		lastSeen = c.leaderSince
	}
	if coordinator != "" && c.now-lastSeen < c.settings.Timing.CoordinatorTimeout {
		return
	}
	index := slices.IndexFunc(nodes, func(address string) bool { return address != coordinator })
	if index < 0 {
		return
	}
	next.Coordinators[zone] = nodes[index]
	c.coordinatorSeenAt[zone] = c.now
	reason := "the previous coordinator is silent"
	if coordinator == "" {
		reason = "the zone had no coordinator"
	}
	*reasons = append(*reasons, "coordinator of "+zone+": "+nodes[index]+", "+reason)
}

// DrainingReport says that an engine is draining, as reported by the engine itself or the platform's list. It holds for
// one start of the engine.
type DrainingReport struct {
	Engine string
	Start  uint64
}

// ReportDraining passes to the core the draining engines that its node knows. A leader marks them in the next document;
// other members ignore the call. What engines reported themselves is otherwise kept in memory only. It would be lost if
// all processes stopped, while the platform's list still names these engines as serving.
func (c *Core) ReportDraining(reports []DrainingReport) {
	if c.role == leader {
		c.drainingReports = reports
	}
}

// reconcileDrainingMarks marks the reported draining engines in the next document.
func (c *Core) reconcileDrainingMarks(next *cluster.Document, reasons *[]string) {
	for _, report := range c.drainingReports {
		if known, isKnown := next.Draining[report.Engine]; !isKnown || known.Start < report.Start {
			next.MarkDraining(report.Engine, report.Start)
			*reasons = append(*reasons, "engine draining: "+report.Engine)
		}
	}
	c.drainingReports = nil
}
