package simulator

import (
	"strings"

	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
)

// faultTrigger injects a fault right after a decision that a protection has to cover. Faults
// injected at random times rarely fall into the milliseconds after such a decision.
type faultTrigger struct {
	subject, decision, why string // prefixes of the entry's fields; why is a substring of its reason
	percent                float64
	name                   string
	inject                 func(w *World, m *machine)
}

const core = string(decision.Core)

var faultTriggers []faultTrigger

// Set in init because the faults refer, through the events they cause, to watch, which refers
// to faultTriggers: the compiler rejects this as an initialization cycle.
func init() {
	faultTriggers = []faultTrigger{
		{core, string(decision.StartElection), "", 15, "a candidate crashes at the start of its election", func(w *World, m *machine) { killAndRestart(m, w.between(50*ms, sec)) }},
		{core, string(decision.StartElection), "", 10, "a candidate freezes at the start of its election", func(_ *World, m *machine) { m.freeze(2 * sec) }},
		{core, string(decision.BecomeLeader), "", 10, "a new leader crashes", func(w *World, m *machine) { killAndRestart(m, w.between(50*ms, sec)) }},
		{core, string(decision.BecomeLeader), "", 10, "a new leader is cut off", func(w *World, m *machine) {
			one := []*machine{m}
			w.cut(one, w.others(one), w.random.IntN(2) == 0, w.between(500*ms, 3*sec))
		}},
		{core, string(decision.Propose), "voter", 25, "the leader crashes during a change of voters", func(w *World, m *machine) { killAndRestart(m, w.between(50*ms, 2*sec)) }},
		{core, string(decision.Propose), "voter", 25, "the core splits during a change of voters", func(w *World, m *machine) {
			core := w.core()
			w.random.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
			w.cut(core[:len(core)/2], core[len(core)/2:], w.random.IntN(2) == 0, w.between(500*ms, 4*sec))
		}},
		{core, string(decision.Propose), "router", 10, "the leader crashes during a change of the registered routers", func(w *World, m *machine) { killAndRestart(m, w.between(50*ms, sec)) }},
		{core, string(decision.Propose), "submission", 3, "the leader crashes during a submission", func(w *World, m *machine) { killAndRestart(m, w.between(50*ms, 2*sec)) }},
		{core, string(decision.Propose), "submission", 3, "the leader is cut off during a submission", func(w *World, m *machine) {
			one := []*machine{m}
			w.cut(one, w.others(one), w.random.IntN(2) == 0, w.between(500*ms, 3*sec))
		}},
		{string(decision.Lease), string(decision.NoQuorum), "", 0.7, "a router restarts as the core loses its quorum", func(w *World, m *machine) { killAndRestart(m, w.between(20*ms, sec)) }},
		{string(decision.Coordinator), string(decision.HandOver), "", 20, "a stopping coordinator crashes as it names its successor", func(w *World, m *machine) { killAndRestart(m, w.between(200*ms, 2*sec)) }},
		{"c", "round ", "", 0.08, "a router freezes between the choice of an engine and the first byte", func(w *World, m *machine) { m.freeze(w.between(2500*ms, 7*sec)) }},
		{"engine e", string(decision.Draining), "", 1, "a node that learns of a draining engine crashes", func(w *World, m *machine) { killAndRestart(m, w.between(200*ms, 3*sec)) }},
	}
}

// protections are the journal entries by which the actions of protections are counted.
var protections = []faultTrigger{
	{subject: core, decision: string(decision.StepDown)}, {subject: core, decision: string(decision.TransferLeadership)}, {subject: core, decision: string(decision.AcceptLeadership)},
	{subject: core, decision: string(decision.BecomeLeader)}, {subject: core, decision: string(decision.Propose), why: "voter added"}, {subject: core, decision: string(decision.Propose), why: "voter dropped"},
	{subject: core, decision: string(decision.Propose), why: "router deregistered"}, {subject: core, decision: string(decision.Propose), why: "coordinator of"},
	{subject: "submission", decision: string(decision.Abort)}, {subject: "submission", decision: string(decision.Reject)},
	{subject: string(decision.Lease), decision: string(decision.NoQuorum)}, {subject: string(decision.Lease), decision: string(decision.QuorumBack)},
	{subject: string(decision.Coordinator), decision: string(decision.HandOver)},
	{subject: string(decision.History), decision: string(decision.Fetch)}, {subject: string(decision.AntiEntropy), decision: string(decision.Repair)},
	{subject: string(decision.Disk), decision: string(decision.Unhealthy)},
	{subject: "engine e", decision: string(decision.Draining)}, {subject: "engine e", decision: string(decision.Responsiveness)}, {subject: "engine e", decision: string(decision.Restarted)}, {subject: "engine e", decision: "broken"},
	{subject: "c", decision: "round over: withdrawn"}, {subject: "c", decision: "round over: not sent"}, {subject: "c", decision: "round over: engine said not run"},
	{subject: "c", decision: "round 2"}, {subject: "c", decision: "decline no_licence"}, {subject: "c", decision: "decline retry_budget"},
	{subject: "c", decision: "decline ramping"}, {subject: "c", decision: "decline stopping"}, {subject: "c", decision: "round ", why: "in slow start and full"},
	{subject: "c", decision: "round ", why: "above the multiple"},
}

func (t faultTrigger) matches(entry kernel.Entry) bool {
	return strings.HasPrefix(entry.Subject, t.subject) && strings.HasPrefix(entry.Decision, t.decision) && strings.Contains(entry.Reason, t.why)
}

// watch receives each journal entry of a node. It counts protections, tracks leaders and injects
// the triggered faults.
func (w *World) watch(m *machine, entry kernel.Entry) {
	for _, protection := range protections {
		if protection.matches(entry) {
			name := protection.subject + " " + protection.decision
			if protection.why != "" {
				name += " " + protection.why
			}
			w.ProtectionCounts[name]++
		}
	}
	if entry.Subject == core && entry.Decision == string(decision.BecomeLeader) {
		m.isLeader = true
	} else if entry.Subject == core && entry.Decision == string(decision.StepDown) {
		w.recordLostLeader(m)
	}
	if !w.hasTriggeredFaults || w.areFaultsOver {
		return
	}
	for _, trigger := range faultTriggers {
		if !trigger.matches(entry) || w.random.Float64()*100 >= trigger.percent {
			continue
		}
		epoch := m.epoch
		// The fault follows the decision within about the latency of one message.
		w.after(w.between(0, 3*ms), func() {
			if m.epoch == epoch && m.isUp && !w.areFaultsOver {
				w.inject(fault{name: trigger.name, inject: func(w *World) { trigger.inject(w, m) }})
			}
		})
	}
}

// inject causes a fault and counts it, and also counts faults that follow another within a second.
func (w *World) inject(injected fault) {
	w.trace("FAULT %s", injected.name)
	w.FaultCounts[injected.name]++
	if w.lastFault != "" && w.now-w.lastFaultAt < sec {
		w.FaultCounts["(within a second of another)"]++
	}
	w.lastFault, w.lastFaultAt = injected.name, w.now
	w.record(checker.Event{EventKind: checker.FaultInjected, Reason: injected.name})
	injected.inject(w)
}
