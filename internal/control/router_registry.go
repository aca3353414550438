package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// What the leader reconciles without an operation: registered routers, zone coordinators, marks of draining engines.

// nodeReport is what a node last reported to this leader with a lease request.
type nodeReport struct {
	reportedAt kernel.Micros
	applied    uint64
	received   uint64 // at least what is applied
	zone       string
	isRouter   bool
}

// reconcileRouters registers routers that report, and deregisters those silent for DeregisterTimeout. The registry
// counts towards acknowledgements under the rule Strict, and then changes by one step at a time.
func (c *Core) reconcileRouters(next *cluster.Document, reasons *[]string) {
	// The registry may change only once a majority of the prior one has applied the last change. Where
	// acknowledgements do not count it, nothing depends on that.
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
				*reasons = append(*reasons, "router struck off: "+address)
				// One at a time, so that each step is applied by a majority before the next.
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

// onCoordinatorHandover remembers whom a zone's coordinator chose as its successor, for the next document.
func (c *Core) onCoordinatorHandover(m *wire.CoordinatorHandover) {
	if c.role == leader {
		c.coordinatorSuccessors[m.Zone] = m.To
	}
}

// reconcileCoordinators gives each zone that has reporting nodes a coordinator that was heard recently.
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

// reconcileCoordinator gives a zone the successor that its coordinator chose, or the first other node
// where there is no coordinator or it has been silent for CoordinatorTimeout.
func (c *Core) reconcileCoordinator(next *cluster.Document, reasons *[]string, zone string, nodes []string) {
	coordinator := next.Coordinators[zone]
	if named := c.coordinatorSuccessors[zone]; named != "" && named != coordinator {
		delete(c.coordinatorSuccessors, zone)
		next.Coordinators[zone] = named
		*reasons = append(*reasons, "home of "+zone+": "+named+", named by "+coordinator)
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
	why := "the last fell silent"
	if coordinator == "" {
		why = "the zone had none"
	}
	*reasons = append(*reasons, "home of "+zone+": "+nodes[index]+", "+why)
}

// DrainingReport is a draining engine, with the start number that the mark is for, as the engine itself or the
// platform's list reported it.
type DrainingReport struct {
	Engine string
	Start  uint64
}

// ReportDraining takes the leaving engines that the leader's node knows of. Those that said so
// themselves live in memory only, and would be forgotten when all processes stop while
// the platform's list still names them as serving.
func (c *Core) ReportDraining(reports []DrainingReport) {
	if c.role == leader {
		c.drainingReports = reports
	}
}

// reconcileDrainingMarks puts the reported draining engines into the next document.
func (c *Core) reconcileDrainingMarks(next *cluster.Document, reasons *[]string) {
	for _, report := range c.drainingReports {
		if known, isKnown := next.Draining[report.Engine]; !isKnown || known.Start < report.Start {
			next.MarkDraining(report.Engine, report.Start)
			*reasons = append(*reasons, "engine leaving: "+report.Engine)
		}
	}
	c.drainingReports = nil
}
