package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
)

func (n *Node) tickAnnouncements() {
	a := &n.announcements
	isAwake := n.now-a.tickedAt < frozenTickGap
	a.tickedAt = n.now
	for _, token := range slices.Sorted(maps.Keys(a.pushes)) {
		n.tickPush(token, a.pushes[token])
	}
	for _, token := range slices.Sorted(maps.Keys(a.confirmations)) {
		n.tickConfirmation(token, a.confirmations[token])
	}
	n.checkHeartbeats(isAwake)
	n.checkConfirmedEnds()
	if n.now >= a.sweepAt {
		a.sweepAt = n.now + 5*kernel.Second
		deleteBefore(a.forwardedAt, n.now-registry.EngineExpiry)
		deleteBefore(a.confirmedEnds, n.now-registry.EngineExpiry)
		maps.DeleteFunc(a.ends, func(_ string, end *knownEnd) bool { return n.now-end.firstSeenAt > registry.EngineExpiry })
	}
}

// deleteBefore deletes the entries that are older than the given time.
func deleteBefore[K comparable](times map[K]kernel.Micros, before kernel.Micros) {
	for key, at := range times {
		if at < before {
			delete(times, key)
		}
	}
}

// checkHeartbeats marks engines as unresponsive once their heartbeats have stopped. Each engine is judged only by the
// node that monitors its zone; see engineMonitor.
func (n *Node) checkHeartbeats(isAwake bool) {
	a, timeout := &n.announcements, n.settings.Timing.EngineHeartbeatTimeout
	isCoordinator := n.isCoordinator()
	// Missing heartbeats count only where they could have arrived: not on a node that has just become coordinator,
	// was frozen, or is disconnected from the core and so perhaps from the engines too.
	isInContact := n.now-n.hints.seenAt < kernel.Second+2*n.settings.Timing.LeaseRequestInterval
	if !isCoordinator || !a.wasCoordinator || !isAwake || !isInContact {
		a.checkSince = n.now
	}
	a.wasCoordinator = isCoordinator
	if !isCoordinator || timeout == 0 || n.now-a.checkSince <= timeout || n.now < a.nextCheckAt {
		return
	}
	a.nextCheckAt = n.now + heartbeatCheckInterval
	unresponsive := []registry.EngineRecord{}
	for engine := range n.directory.AllEngines() {
		if engine.HasHeartbeat() && n.now-max(engine.SeenAt, a.checkSince) > timeout && n.engineMonitor(engine.Zone) == n.self() {
			engine.IsUnresponsive, engine.ReachabilityChangedAt = true, n.now
			engine.UnresponsiveSeq++
			n.directory.MergeRecord(n.now, engine, true)
			unresponsive = append(unresponsive, engine.WithAges(n.now))
		}
	}
	n.pushToCoordinators(unresponsive)
}

// countServingRouters returns how many of the given nodes are routers that are likely alive and not leaving. This node
// is counted by its own state.
func (n *Node) countServingRouters(nodes []registry.NodeRecord) int {
	count := 0
	for _, node := range nodes {
		if node.Address != n.self() && node.IsRouter && !node.IsLeaving && n.isLikelyAlive(node) {
			count++
		}
	}
	if n.settings.IsRouter && !n.isLeaving {
		count++
	}
	return count
}
