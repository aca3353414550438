package simulator

// A whole simulated day: faults under a seed, the repair at its end, and the judgement.

import (
	"fmt"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// Plan says what one simulated run is to be like.
type Plan struct {
	Seed       uint64
	Deployment string // qurum or cronometro
	Span       kernel.Micros
	Rate       float64
	Trace      func(at kernel.Micros, line string)
}

// Outcome is what a run ended with.
type Outcome struct {
	Plan             Plan
	Review           checker.Report
	InsideViolations []string // violations that only a look inside shows
	Operations       [3]int   // yes, no, unsure
	CrossZoneBytes   map[string]int
	InZoneBytes      int
	FinalFault       string // the fault that ended the day
	// ProtectionCounts counts what protections did, Struck which faults struck.
	ProtectionCounts, FaultCounts map[string]int
	Callers, Content              int // callers, and those that were served in the end
	Repaired                      bool
	// Events is everything that was seen; equal seeds give equal events.
	Events []checker.Event
}

// IsClean tells that nothing was broken.
func (o Outcome) IsClean() bool {
	return len(o.Lines()) == 0
}

// Lines tells of every violation.
func (o Outcome) Lines() []string {
	lines := []string{}
	for _, violation := range o.Review.Violations {
		lines = append(lines, fmt.Sprintf("%.3f s: %s: %s", float64(violation.At-beginning)/1e6, violation.Rule, violation.Detail))
	}
	lines = append(lines, o.InsideViolations...)
	if !o.Repaired {
		lines = append(lines, "after the repair no order was acknowledged")
	}
	if o.Review.Outcomes[string(checker.Served)] == 0 {
		lines = append(lines, "no request was served, so that the rules hold of nothing")
	}
	return lines
}

// WorldOf lays out a deployment by its name.
func WorldOf(seed uint64, deployment string) *World {
	if deployment == "cronometro" {
		return NewWorld(seed, 3, 12, 3, 18)
	}
	return NewWorld(seed, 4, 11, 4, 18)
}

// Open lets a fleet found itself and takes its first configuration.
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

// ready counts the routers that would serve now.
func (w *World) ready() int {
	count := 0
	for _, m := range w.machines {
		if m.isUp && m.serves() {
			count++
		}
	}
	return count
}

// Run runs a whole day of faults under a seed.
func Run(plan Plan) Outcome {
	w := WorldOf(plan.Seed, plan.Deployment)
	w.Trace = plan.Trace
	outcome := Outcome{Plan: plan}
	if !w.Open() {
		w.addInsideViolation("the fleet did not found itself in 20 s")
	}
	w.isBiased = true
	w.operator.readAndResubmit()
	w.Traffic(plan.Rate, kernel.Micros(1<<60), 0.1)
	for end := w.now + plan.Span; w.now < end; {
		w.Run(w.between(300*ms, 4*sec))
		w.inject(draw(w, faults))
	}
	last := draw(w, finals)
	outcome.FinalFault = last.name
	w.inject(last)
	w.Run(6 * sec)
	w.awaitSettled(&outcome)
	return outcome
}

// awaitSettled repairs everything, sees whether orders go through again and judges the run.
func (w *World) awaitSettled(outcome *Outcome) {
	w.repair()
	w.Run(checker.DefaultBounds().RecoveryTimeout + 500*ms)
	w.probeAll()
	yes := w.operator.Accepted
	w.operator.putConfig(nil)
	w.Run(13 * sec)
	outcome.Repaired = w.operator.Accepted > yes
	w.operator.readBack()
	w.totals()
	outcome.ProtectionCounts, outcome.FaultCounts = w.ProtectionCounts, w.FaultCounts
	outcome.Callers, outcome.Content = w.callers.begun, w.callers.served
	outcome.Review = checker.Check(w.events, checker.DefaultBounds())
	outcome.InsideViolations, outcome.Events = w.insideViolations, w.events
	outcome.Operations = [3]int{w.operator.Accepted, w.operator.Rejected, w.operator.Unknown}
	outcome.CrossZoneBytes, outcome.InZoneBytes = w.CrossZoneBytes, w.InZoneBytes
}

// repair brings everything back that can come back.
func (w *World) repair() {
	w.trace("REPAIR")
	w.isCalm, w.afterAccepted = true, nil
	w.lossShare, w.dupShare, w.networkDelay, w.listLag = 0, 0, 0, 2*sec
	w.blocked = map[[2]string]int{}
	for _, m := range w.machines {
		m.powerLossCountdown = 0
		if m.disk != nil {
			m.disk.isFull, m.disk.isStall, m.disk.slowness = false, false, 0
		}
		if m.isLeaving && m.isUp {
			m.halt() // a stop under way would only be one more machine that is away
		}
		if !m.isUp && !m.isRemoved {
			m.boot()
		}
		if m.isFrozen {
			m.isFrozen = false
			held := m.deferred
			m.deferred = nil
			for _, event := range held {
				event()
			}
		}
	}
	for _, e := range w.engines {
		e.becomeResponsive()
		e.isRejecting = false
		e.boot()
	}
	w.record(w.repaired())
}

// repaired says that every machine is back, and what has to work from then on.
func (w *World) repaired() checker.Event {
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
