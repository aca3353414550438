package simulator

// Effects of faults and planned changes on one machine or one engine.

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

func killAndRestart(m *machine, after kernel.Micros) {
	m.halt()
	m.restart(after)
}

// slowDisk makes each synced write of a disk take longer for a span.
func (w *World) slowDisk(d *disk, slowness, span kernel.Micros) {
	d.slowness = slowness
	w.after(span, func() { d.slowness = 0 })
}

// stallDisk keeps every write of a disk from completing for a span.
func (w *World) stallDisk(d *disk, span kernel.Micros) {
	d.isStalled = true
	w.after(span, func() { d.isStalled = false })
}

// loseMessages makes the network drop and duplicate the given shares of all messages, and
// delay messages.
func (w *World) loseMessages(lossShare, dupShare float64, delay kernel.Micros) {
	w.lossShare, w.dupShare, w.networkDelay = lossShare, dupShare, delay
}

func (w *World) healNetwork() { w.loseMessages(0, 0, 0) }

// loseDisk stops a machine and erases its disk, if the rest of the core tolerates the loss.
func (w *World) loseDisk(m *machine) {
	if !w.canLoseDisk() || !m.isUp {
		return
	}
	m.eraseDisk()
}

// eraseDisk stops a machine and erases its disk.
func (m *machine) eraseDisk() {
	m.world.trace("%s loses its disk", m.name)
	m.world.lastDiskLossAt = m.world.now
	m.halt()
	m.disk.files, m.storedRevision = map[string][]byte{}, 0
}

// loseDisksAndPower takes as many disks as the core tolerates, of voters that hold the newest document, while all other
// machines lose power, those without a disk too. It reports whether the core has to tolerate that now; otherwise it does
// nothing.
func (w *World) loseDisksAndPower() bool {
	if !w.mustTolerateLosses() {
		return false
	}
	for _, m := range w.holders(w.toleratedLosses()) {
		m.eraseDisk()
	}
	for _, m := range w.machines {
		m.halt()
	}
	return true
}

// restartAll starts all machines that are down again, each after a time within the span.
func (w *World) restartAll(shortest, longest kernel.Micros) {
	for _, m := range w.machines {
		m.restart(w.between(shortest, longest))
	}
}

// replace removes a machine and adds an empty one at a new address.
func (w *World) replace(m *machine) {
	w.lastDiskLossAt = w.now
	m.halt()
	m.isRemoved = true
	fresh := w.addMachine(m.identity.Zone, true)
	// An operator who adds a machine later lists seeds that are running at that time.
	fresh.seeds = nil
	for _, other := range w.machines {
		if other.isUp && len(fresh.seeds) < 3 {
			fresh.seeds = append(fresh.seeds, other.identity.Address)
		}
	}
	w.trace("%s is replaced by %s", m.name, fresh.name)
	w.after(w.between(500*ms, 3*sec), func() {
		if !fresh.isUp {
			fresh.boot()
		}
	})
}

// leave shuts a node down gracefully: it hands over its roles, finishes its requests and then
// restarts.
func (w *World) leave(m *machine) {
	if !m.isUp || m.isFrozen {
		return
	}
	w.trace("%s shuts down gracefully", m.name)
	epoch := m.epoch
	m.isLeaving = true
	m.execute(m.node.Leave(m.clock()))
	w.record(checker.Event{EventKind: checker.NodeStopping, Node: m.name})
	m.later(sec, m.dispatcher.Shutdown)
	var check func(checks int)
	check = func(checks int) {
		if m.epoch != epoch {
			return
		}
		if len(m.calls) > 0 && checks < 600 {
			w.after(50*ms, func() { check(checks + 1) })
			return
		}
		w.record(checker.Event{EventKind: checker.NodeStopped, Node: m.name})
		killAndRestart(m, w.between(500*ms, 3*sec))
	}
	w.after(1500*ms, func() { check(0) })
}

// becomeUnresponsive makes an engine accept requests without responding for a span.
func (e *engine) becomeUnresponsive(span kernel.Micros) {
	w := e.world
	e.isUnresponsive = true
	w.record(checker.Event{EventKind: checker.EngineFailed, Engine: e.id})
	w.after(span, e.becomeResponsive)
}

func (e *engine) becomeResponsive() {
	if e.isUnresponsive {
		e.isUnresponsive = false
		e.world.record(checker.Event{EventKind: checker.EngineRecovered, Engine: e.id})
	}
}

func (w *World) retireEngine(e *engine) {
	if !e.isUp || e.isDraining {
		return
	}
	start := e.start
	w.trace("engine %s is draining", e.id)
	e.isDraining, e.isListedDraining = true, true
	w.updateListing()
	e.retire(start, 6*sec)
}

// retire stops a draining engine once its streams have ended or the platform's 12 s timeout
// has passed, and then restarts it. Once all faults have ended there is no timeout.
func (e *engine) retire(start uint64, after kernel.Micros) {
	w := e.world
	begun := w.now
	var check func()
	check = func() {
		if e.start != start || !e.isUp {
			return
		}
		if len(e.runs) > 0 && (w.areFaultsOver || w.now-begun < 12*sec) {
			w.after(200*ms, check)
			return
		}
		e.halt()
		w.after(w.between(500*ms, 3*sec), e.boot)
	}
	w.after(after, check)
}

// markDraining tells a single node, once, that an engine is draining. No other node can learn
// of it when that node is cut off or crashes at once.
func (w *World) markDraining(m *machine, e *engine) {
	if !m.isUp || m.isFrozen || !e.isUp || e.isDraining || w.isCutOff(m) {
		return
	}
	start, at := e.start, w.now
	for _, known := range m.node.State(nil).Engines {
		if known.ID != e.id || known.Start != start {
			continue
		}
		w.trace("engine %s is marked draining at %s", e.id, m.name)
		now := m.clock()
		known.IsDraining, known.Age, known.Uptime, known.ReachabilityAge = true, now-known.ReportedAt, now-known.StartedAt, now-known.ReachabilityChangedAt
		m.execute(m.node.ReportEngines(now, []registry.EngineRecord{known}))
		// The mark counts as known once the operator has the reply. Until then the only node
		// that was told may have crashed and lost it.
		mark := cluster.Submit{ID: fmt.Sprintf("leaving-%s-%d", e.id, start), Operation: cluster.MarkDraining, Engine: e.id, Start: start}
		m.replies[mark.ID] = func(reply cluster.SubmitResponse) {
			if reply.Outcome == cluster.Accepted {
				w.trace("the draining mark of engine %s is committed", e.id)
				w.events = append(w.events, checker.Event{At: at, EventKind: checker.EngineDraining, Engine: e.id, Start: start, IsAcknowledged: true})
			}
		}
		m.execute(m.node.Submit(now, &mark))
		e.retire(start, 8*sec)
	}
}
