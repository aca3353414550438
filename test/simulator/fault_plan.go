package simulator

// The catalog of faults, each with the weight of its random selection.

import (
	"dunlinloom/internal/kernel"
)

// fault is a change to the world that ends by itself.
type fault struct {
	name   string
	weight int
	inject func(w *World)
}

// faults may be injected at any time of a run.
var faults = []fault{
	{"kill a node", 4, func(w *World) { killAndRestart(w.anyMachine(), w.between(200*ms, 6*sec)) }},
	{"kill the leader", 3, func(w *World) { killAndRestart(w.leader(), w.between(200*ms, 6*sec)) }},
	{"freeze a node", 4, func(w *World) { w.anyMachine().freeze(w.between(200*ms, 8*sec)) }},
	{"freeze the leader", 3, func(w *World) { w.leader().freeze(w.between(500*ms, 10*sec)) }},
	{"shut down a node gracefully", 2, func(w *World) { w.leave(w.anyMachine()) }},
	{"shut down the leader gracefully", 2, func(w *World) { w.leave(w.leader()) }},
	{"split the core", 2, func(w *World) {
		core := w.core()
		cut := 1 + w.random.IntN(max(len(core)-1, 1))
		w.cut(core[:cut], core[cut:], false, w.between(sec, 8*sec))
	}},
	{"messages from the leader are cut", 2, func(w *World) {
		leader := w.leader()
		w.cut([]*machine{leader}, w.others([]*machine{leader}), true, w.between(sec, 6*sec))
	}},
	{"messages to the leader are cut", 2, func(w *World) {
		leader := w.leader()
		w.cut(w.others([]*machine{leader}), []*machine{leader}, true, w.between(sec, 6*sec))
	}},
	{"the core is cut off", 2, func(w *World) {
		core := w.core()
		w.cut(core, w.others(core), false, w.between(sec, 8*sec))
	}},
	{"a machine is cut off", 3, func(w *World) {
		one := []*machine{w.anyMachine()}
		w.cut(one, w.others(one), false, w.between(sec, 8*sec))
	}},
	{"a zone is cut off", 2, func(w *World) {
		zone := w.inZone(w.anyZone())
		w.cut(zone, w.others(zone), false, w.between(sec, 8*sec))
	}},
	{"a zone is lost", 1, func(w *World) {
		for _, m := range w.inZone(w.anyZone()) {
			killAndRestart(m, w.between(2*sec, 8*sec))
		}
	}},
	{"the network drops and duplicates messages", 2, func(w *World) {
		w.loseMessages(0.1+0.2*w.random.Float64(), 0.1, 50*ms)
		w.after(w.between(sec, 6*sec), w.healNetwork)
	}},
	{"a disk is slow", 2, func(w *World) {
		w.slowDisk(w.anyCore().disk, w.between(50*ms, 900*ms), w.between(2*sec, 10*sec))
	}},
	{"the leader's disk stalls", 2, func(w *World) {
		w.stallDisk(w.leader().disk, w.between(sec, 8*sec))
	}},
	{"a disk is full", 2, func(w *World) {
		d := w.anyCore().disk
		d.isFull = true
		w.after(w.between(sec, 8*sec), func() { d.isFull = false })
	}},
	{"a disk is lost", 1, func(w *World) {
		m := w.anyCore()
		w.loseDisk(m)
		m.restart(w.between(500*ms, 5*sec))
	}},
	{"a core machine is replaced by an empty one elsewhere", 1, func(w *World) {
		if len(w.machines) < 20 && w.canLoseDisk() {
			w.replace(w.anyCore())
		}
	}},
	{"all of the core is killed", 1, func(w *World) {
		for _, m := range w.core() {
			killAndRestart(m, w.between(sec, 4*sec))
		}
	}},
	{"the whole fleet is killed", 1, func(w *World) {
		for _, m := range w.machines {
			killAndRestart(m, w.between(sec, 3*sec))
		}
	}},
	{"disks are lost while all other machines lose power", 1, func(w *World) {
		if w.loseDisksAndPower() {
			w.restartAll(sec, 3*sec)
		}
	}},
	{"disks are lost just after an acknowledgement while all other machines lose power", 1, func(w *World) {
		w.afterAccepted = func(*machine) {
			if w.loseDisksAndPower() {
				w.restartAll(sec, 3*sec)
			}
		}
		w.operator.putConfig(nil)
	}},
	{"an engine crashes", 4, func(w *World) {
		e := w.anyEngine()
		e.halt()
		w.after(w.between(500*ms, 8*sec), e.boot)
	}},
	{"engines reject everything for a while", 1, func(w *World) {
		some := w.engines[w.random.IntN(len(w.engines)):]
		for _, e := range some {
			e.isRejecting = true
		}
		w.after(w.between(sec, 4*sec), func() {
			for _, e := range some {
				e.isRejecting = false
			}
		})
	}},
	{"an engine stops responding", 2, func(w *World) {
		e := w.anyEngine()
		e.becomeUnresponsive(w.between(sec, 8*sec))
	}},
	{"an engine drains", 4, func(w *World) { w.retireEngine(w.anyEngine()) }},
	{"an engine is marked draining at one node", 3, func(w *World) { w.markDraining(w.anyMachine(), w.anyEngine()) }},
	{"six engines are restarted in turn", 1, func(w *World) {
		for i, e := range w.engines[:6] {
			w.after(kernel.Micros(i)*1500*ms, func() { w.retireEngine(e) })
		}
	}},
	{"a configuration", 6, func(w *World) { w.operator.putConfig(nil) }},
	{"two configurations at once", 3, func(w *World) {
		w.operator.putTwoOnOneBase()
	}},
	{"many configurations in a row", 1, func(w *World) {
		for range 12 {
			w.operator.putConfig(nil)
		}
	}},
	{"a zone is drained", 3, func(w *World) { w.operator.drainZone(w.anyZone(), w.between(6*sec, 12*sec)) }},
	{"the platform's list lags", 1, func(w *World) {
		w.listLag = w.between(5*sec, 15*sec)
		w.after(10*sec, func() { w.listLag = 2 * sec })
	}},
	{"power is lost between sync and response", 3, func(w *World) { w.anyCore().powerLossCountdown = 1 + w.random.IntN(3) }},
	{"power is lost between the leader's sync and response", 2, func(w *World) { w.leader().powerLossCountdown = 1 + w.random.IntN(2) }},
	{"the accepting node crashes just after an acknowledgement", 2, func(w *World) {
		w.afterAccepted = func(m *machine) { killAndRestart(m, w.between(200*ms, 4*sec)) }
		w.operator.putConfig(nil)
	}},
	{"the leader loses its disk just after an acknowledgement", 1, func(w *World) {
		w.afterAccepted = func(*machine) {
			m := w.leader()
			w.loseDisk(m)
			m.restart(w.between(500*ms, 5*sec))
		}
		w.operator.putConfig(nil)
	}},
	{"a voter loses power just after an acknowledgement", 2, func(w *World) {
		w.afterAccepted = func(*machine) { killAndRestart(w.anyCore(), w.between(100*ms, 4*sec)) }
		w.operator.putConfig(nil)
	}},
	{"the platform kills a node that shuts down slowly", 1, func(w *World) {
		m := w.anyMachine()
		w.leave(m)
		epoch := m.epoch
		w.after(5*sec, func() {
			if m.epoch == epoch && m.isLeaving && !w.areFaultsOver {
				killAndRestart(m, sec)
			}
		})
	}},
	{"an engine is removed from the list", 1, func(w *World) {
		e := w.anyEngine()
		e.halt()
		e.isUnlisted = true
		w.updateListing()
		w.after(15*sec, e.boot)
	}},
	{"all engines are restarted in turn", 1, func(w *World) {
		for i, e := range w.engines {
			w.after(kernel.Micros(i)*800*ms, func() {
				if !w.areFaultsOver {
					w.retireEngine(e)
				}
			})
		}
	}},
	{"a burst of requests", 2, func(w *World) { w.Traffic(60, 4*sec, 0) }},
	{"a burst of requests with one prefix", 2, func(w *World) { w.Traffic(60, 4*sec, 0.9) }},
}

// finalFaults are the last faults of a run; they end with the recovery.
var finalFaults = []fault{
	{"no fault", 1, func(*World) {}},
	{"all of the core is killed", 2, func(w *World) {
		for _, m := range w.core() {
			m.halt()
		}
	}},
	{"the whole fleet is killed", 2, func(w *World) {
		for _, m := range w.machines {
			m.halt()
		}
	}},
	{"a zone is lost", 2, func(w *World) {
		for _, m := range w.inZone(w.anyZone()) {
			m.halt()
		}
	}},
	{"the core is split", 2, func(w *World) {
		core := w.core()
		w.cut(core[:2], core[2:], false, 6*sec)
	}},
	{"a disk is lost for good", 2, func(w *World) {
		if w.canLoseDisk() {
			w.loseDisk(w.anyCore())
		}
	}},
	{"disks are lost while all other machines lose power", 2, func(w *World) { w.loseDisksAndPower() }},
	{"the leader freezes", 2, func(w *World) { w.leader().freeze(6 * sec) }},
}

func drawFault(w *World, from []fault) fault {
	total := 0
	for _, fault := range from {
		total += fault.weight
	}
	at := w.random.IntN(total)
	for _, fault := range from {
		if at < fault.weight {
			return fault
		}
		at -= fault.weight
	}
	return from[0]
}
