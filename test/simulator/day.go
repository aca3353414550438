package simulator

// A whole simulated run: random faults drawn from a seed, the recovery at its end, and the checks.

import (
	"fmt"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Plan holds the parameters of one simulated run.
type Plan struct {
	Seed       uint64
	Deployment string // qurum or cronometro
	Span       kernel.Micros
	Rate       float64
	Trace      func(at kernel.Micros, line string)
}

// Outcome is the result of a run.
type Outcome struct {
	Plan               Plan
	Report             checker.Report
	InternalViolations []string // violations that only show in the internal state of nodes
	Operations         [3]int   // accepted, rejected, unknown
	CrossZoneBytes     map[string]int
	InZoneBytes        int
	FinalFault         string // the last fault before the recovery
	// ProtectionCounts counts the actions of each protection, FaultCounts the injections of each
	// fault.
	ProtectionCounts, FaultCounts map[string]int
	Callers, ServedCallers        int // callers, and those that were served in the end
	Repaired                      bool
	// Events holds all recorded events; equal seeds give equal events.
	Events []checker.Event
}

// IsClean reports whether the run had no violation.
func (o Outcome) IsClean() bool {
	return len(o.Lines()) == 0
}

// Lines describes each violation in one line.
func (o Outcome) Lines() []string {
	lines := []string{}
	for _, violation := range o.Report.Violations {
		lines = append(lines, fmt.Sprintf("%.3f s: %s: %s", float64(violation.At-beginning)/1e6, violation.Rule, violation.Detail))
	}
	lines = append(lines, o.InternalViolations...)
	if !o.Repaired {
		lines = append(lines, "after the recovery no submission was accepted")
	}
	if o.Report.Outcomes[string(checker.Served)] == 0 {
		lines = append(lines, "no request was served, so the checks had nothing to verify")
	}
	return lines
}

// WorldOf returns the world of a named deployment: cronometro, two-losses, or qurum for any other name.
func WorldOf(seed uint64, deployment string) *World {
	switch deployment {
	case "cronometro":
		return NewWorld(seed, 3, 12, 3, 18)
	case "two-losses":
		return twoLossesWorld(seed)
	}
	return NewWorld(seed, 4, 11, 4, 18)
}

// twoLossesWorld returns a fleet of which two of the eight machines with a disk may be lost at once.
func twoLossesWorld(seed uint64) *World {
	options := defaultOptions()
	options.Kinds, options.Pools, options.AnnouncedFounders, options.Voters = runCallKinds, 6, true, 5
	return newWorld(seed, 4, 16, 8, 18, options)
}

// Open bootstraps the fleet and submits the first configuration. It reports whether the
// configuration was accepted and every router serves within 20 s.
func (w *World) Open() bool {
	w.operator.putConfig(nil)
	for range 200 {
		w.Run(100 * ms)
		if w.operator.Accepted > 0 && w.ready() == len(w.machines) {
			return true
		}
	}
	return false
}

// ready returns the number of routers that serve now.
func (w *World) ready() int {
	count := 0
	for _, m := range w.machines {
		if m.isUp && m.serves() {
			count++
		}
	}
	return count
}

// Run runs a whole simulation with random faults from the plan's seed.
func Run(plan Plan) Outcome {
	w := WorldOf(plan.Seed, plan.Deployment)
	w.Trace = plan.Trace
	outcome := Outcome{Plan: plan}
	if !w.Open() {
		w.addInternalViolation("the fleet did not bootstrap within 20 s")
	}
	w.hasTriggeredFaults = true
	w.operator.readAndResubmit()
	w.Traffic(plan.Rate, kernel.Micros(1<<60), 0.1)
	for end := w.now + plan.Span; w.now < end; {
		w.Run(w.between(300*ms, 4*sec))
		w.inject(drawFault(w, faults))
	}
	last := drawFault(w, finalFaults)
	outcome.FinalFault = last.name
	w.inject(last)
	w.Run(6 * sec)
	w.recoverAndCheck(&outcome)
	return outcome
}

// recoverAndCheck ends all faults, checks that submissions are accepted again, and fills in the
// outcome of the run.
func (w *World) recoverAndCheck(outcome *Outcome) {
	w.endFaults()
	w.Run(checker.DefaultBounds().RecoveryTimeout + 500*ms)
	w.probeAll()
	accepted := w.operator.Accepted
	w.operator.putConfig(nil)
	w.Run(13 * sec)
	outcome.Repaired = w.operator.Accepted > accepted
	w.operator.readBack()
	w.totals()
	outcome.ProtectionCounts, outcome.FaultCounts = w.ProtectionCounts, w.FaultCounts
	outcome.Callers, outcome.ServedCallers = w.callers.begun, w.callers.served
	outcome.Report = checker.Check(w.events, checker.DefaultBounds())
	outcome.InternalViolations, outcome.Events = w.internalViolations, w.events
	outcome.Operations = [3]int{w.operator.Accepted, w.operator.Rejected, w.operator.Unknown}
	outcome.CrossZoneBytes, outcome.InZoneBytes = w.CrossZoneBytes, w.InZoneBytes
}

// endFaults ends all faults and restarts all machines and engines that can be restarted.
func (w *World) endFaults() {
	w.trace("REPAIR")
	w.areFaultsOver, w.afterAccepted = true, nil
	w.lossShare, w.dupShare, w.networkDelay, w.listLag = 0, 0, 0, 2*sec
	w.blocked = map[[2]string]int{}
	for _, m := range w.machines {
		m.powerLossCountdown = 0
		if m.disk != nil {
			m.disk.isFull, m.disk.isStalled, m.disk.slowness = false, false, 0
		}
		if m.isLeaving && m.isUp {
			m.halt() // otherwise the shutdown in progress would keep one more machine away
		}
		if !m.isUp && !m.isRemoved {
			m.boot()
		}
		if m.isFrozen {
			m.isFrozen = false
			deferred := m.deferred
			m.deferred = nil
			for _, event := range deferred {
				event()
			}
		}
	}
	for _, e := range w.engines {
		e.becomeResponsive()
		e.isRejecting = false
		e.boot()
	}
	w.record(w.recoveryEvent())
}

// recoveryEvent returns the event that marks the end of all faults, with the machines and request
// classes that have to work from then on.
func (w *World) recoveryEvent() checker.Event {
	repaired := checker.Event{EventKind: checker.Repaired}
	for _, m := range w.machines {
		if !m.isRemoved {
			repaired.Roster = append(repaired.Roster, m.name)
		}
	}
	for _, kind := range w.options.Kinds {
		repaired.Kinds = append(repaired.Kinds, kind.name)
	}
	return repaired
}

func (w *World) totals() {
	counts := w.retired
	for _, m := range w.machines {
		if m.isUp {
			now := m.dispatcher.Counts()
			counts.FirstAttempts += now.FirstAttempts
			counts.Retries += now.Retries
		}
	}
	w.record(checker.Event{EventKind: checker.Totals, First: counts.FirstAttempts, Retries: counts.Retries})
}
