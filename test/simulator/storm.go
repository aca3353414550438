package simulator

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// stormFaults are faults injected into a small core in quick succession, so that elections, lost
// writes and old messages overlap far more often than in an ordinary run.
var stormFaults = []fault{
	{"kill", 6, func(w *World) { killAndRestart(w.anyMachine(), w.between(50*ms, 900*ms)) }},
	{"kill the leader", 6, func(w *World) { killAndRestart(w.leader(), w.between(50*ms, 900*ms)) }},
	{"kill all", 1, func(w *World) {
		for _, m := range w.machines {
			killAndRestart(m, w.between(50*ms, 900*ms))
		}
	}},
	{"freeze", 4, func(w *World) { w.anyMachine().freeze(w.between(100*ms, 3*sec)) }},
	{"freeze the leader", 4, func(w *World) { w.leader().freeze(w.between(500*ms, 3*sec)) }},
	{"cut", 6, func(w *World) {
		at := 1 + w.random.IntN(len(w.machines)-1)
		shuffled := append([]*machine(nil), w.machines...)
		w.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		w.cut(shuffled[:at], shuffled[at:], w.random.IntN(2) == 0, w.between(300*ms, 4*sec))
	}},
	{"cut off the leader", 4, func(w *World) {
		one := []*machine{w.leader()}
		w.cut(one, w.others(one), w.random.IntN(2) == 0, w.between(500*ms, 4*sec))
	}},
	{"the leader pauses while the other voters are cut off from each other", 6, func(w *World) {
		// Each of the other two voters reaches only the leader, so the leader's vote decides.
		leader, voters := w.leader(), w.largestVoterSet()
		others := slices.DeleteFunc(w.others([]*machine{leader}), func(m *machine) bool { return !slices.Contains(voters, m.identity.Address) })
		if len(others) == 2 {
			w.cut(others[:1], others[1:], false, w.between(3*sec, 6*sec))
			if w.random.IntN(2) == 0 {
				leader.freeze(w.between(650*ms, sec))
			} else {
				killAndRestart(leader, w.between(400*ms, 700*ms))
			}
		}
	}},
	{"drop and duplicate messages", 2, func(w *World) {
		w.loseMessages(0.3*w.random.Float64(), 0.2, w.between(0, 500*ms))
		w.after(w.between(300*ms, 3*sec), w.healNetwork)
	}},
	{"slow disk", 2, func(w *World) {
		w.slowDisk(w.anyMachine().disk, w.between(20*ms, 900*ms), w.between(500*ms, 4*sec))
	}},
	{"stalled disk", 2, func(w *World) {
		w.stallDisk(w.anyMachine().disk, w.between(300*ms, 3*sec))
	}},
	{"lost disk", 1, func(w *World) {
		m := w.anyMachine()
		if len(w.largestVoterSet()) == voterCountWanted {
			w.loseDisk(m)
			m.restart(w.between(50*ms, sec))
		}
	}},
	{"disks are lost just after an acknowledgement while all other machines lose power", 2, func(w *World) {
		w.afterAccepted = func(*machine) {
			if w.loseDisksAndPower() {
				w.restartAll(50*ms, sec)
			}
		}
	}},
	{"power is lost between sync and response", 6, func(w *World) { w.anyMachine().powerLossCountdown = 1 + w.random.IntN(3) }},
	{"power is lost between the leader's sync and response", 4, func(w *World) { w.leader().powerLossCountdown = 1 + w.random.IntN(2) }},
	{"the accepting node crashes just after an acknowledgement", 3, func(w *World) {
		w.afterAccepted = func(m *machine) { killAndRestart(m, w.between(50*ms, sec)) }
	}},
	{"a configuration", 10, func(w *World) { w.operator.putConfig(nil) }},
	{"two configurations on one base", 4, func(w *World) {
		w.operator.putTwoOnOneBase()
	}},
}

const voterCountWanted = 3

// largestVoterSet returns the addresses of the voters in the document with the most voters that a running node has
// applied.
func (w *World) largestVoterSet() []string {
	found := []string{}
	for _, m := range w.machines {
		if !m.isUp {
			continue
		}
		if document := m.node.State(nil).Document; document != nil && len(document.Voters) > len(found) {
			found = nil
			for _, voter := range document.Voters {
				found = append(found, voter.Address)
			}
		}
	}
	return found
}

// Storm runs one seed of faults in quick succession on a fleet of four core machines.
func Storm(plan Plan) Outcome {
	w := NewWorld(plan.Seed, 3, 4, 4, 6)
	// Half of the storms have election timeouts that nearly coincide, so that votes split.
	w.hasTightElections = plan.Seed%2 == 0
	w.Trace = plan.Trace
	outcome := Outcome{Plan: plan, FinalFault: "storm"}
	if !w.Open() {
		w.addInternalViolation("the fleet did not bootstrap within 20 s")
	}
	w.hasTriggeredFaults = true
	w.operator.readAndResubmit()
	w.Traffic(plan.Rate, kernel.Micros(1<<60), 0)
	for end := w.now + plan.Span; w.now < end; {
		w.Run(w.between(20*ms, 700*ms))
		w.inject(drawFault(w, stormFaults))
	}
	w.Run(5 * sec)
	w.recoverAndCheck(&outcome)
	return outcome
}
