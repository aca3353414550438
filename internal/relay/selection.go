package relay

import (
	"fmt"
	"net/http"
	"slices"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// eligibleEngines has the engines that a request may be sent to; candidates[i] is the policy's view of
// engines[i].
type eligibleEngines struct {
	candidates []Candidate
	engines    []Engine
}

// inZone returns the eligible engines in a zone.
func (e eligibleEngines) inZone(zone string) eligibleEngines {
	matching := eligibleEngines{}
	for i, engine := range e.engines {
		if engine.Zone == zone {
			matching.candidates, matching.engines = append(matching.candidates, e.candidates[i]), append(matching.engines, engine)
		}
	}
	return matching
}

// selectEngine selects an engine by the current routing table and opens the call's next attempt there. It
// returns a rejection if there is no valid lease, no binding or no eligible engine.
func (d *Dispatcher) selectEngine(now kernel.Micros, call *Call) *Rejection {
	routingTable := d.routingTable
	if now >= routingTable.LeaseExpiresAt || routingTable.Config == nil {
		why := routingTable.LeaseLapseReason
		if why == "" {
			why = "the lease has lapsed"
		}
		return newRejection(reasonNoLease, why, http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	}
	binding, isBound := routingTable.Config.Bind(call.Request.Kind, call.Request.Model)
	if !isBound {
		detail := fmt.Sprintf("no binding matches kind %q and model %q", call.Request.Kind, call.Request.Model)
		return newRejection(reasonUnknownBinding, detail, http.StatusNotFound, NotRun, 0)
	}
	eligible, why := d.findEligible(now, call, binding)
	if len(eligible.engines) == 0 {
		detail := "no engine of binding " + binding.Name + " is eligible: " + why
		return newRejection(reasonNoEngine, detail, http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	}
	if routingTable.Config.Policy.PrefersOwnZone {
		// Traffic between zones may be expensive. Engines of other zones are considered only if no
		// engine of this router's zone can serve the request in time.
		if near := eligible.inZone(d.zone); len(near.engines) > 0 {
			if rejection := d.selectAmong(now, call, binding, near); rejection == nil {
				return nil
			}
		}
	}
	return d.selectAmong(now, call, binding, eligible)
}

// selectAmong lets the policy choose among eligible engines, applies admission control to the choice, and
// opens the attempt.
func (d *Dispatcher) selectAmong(now kernel.Micros, call *Call, binding *fleetconfig.Binding, eligible eligibleEngines) *Rejection {
	choice := d.choose(call, eligible.candidates)
	if choice.Index < 0 {
		detail := "every engine of binding " + binding.Name + " is in slow start and full"
		return newRejection(reasonSlowStart, detail, http.StatusServiceUnavailable, NotRun, defaultRetryAfter)
	}
	choice, rejection := d.admit(now, call, binding, eligible, choice)
	if rejection != nil {
		return rejection
	}
	if choice.IsDivert {
		d.counts.Diverts++
	}
	d.openAttempt(now, call, binding, eligible, choice)
	return nil
}

// choose lets the policy, or the override that replaces it, choose among the candidates.
func (d *Dispatcher) choose(call *Call, candidates []Candidate) Choice {
	policy := d.routingTable.Config.Policy
	slot := SlotOf(PrefixHash(call.Request.Prefix, policy.PrefixLength))
	preferred := Preferred(slot, candidates)
	d.choiceCount++
	if d.Overrides.Choose != nil {
		index := d.Overrides.Choose(candidates, preferred, d.choiceCount)
		return Choice{Index: index, Preferred: preferred, IsDivert: index != preferred, Reason: "trial"}
	}
	// The salt differs between routers, so that they do not all divert to the same engine. It is constant for a router
	// and slot, so that a router diverts a prefix to the engine that has cached it since the last divert.
	return Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, d.salt^uint64(slot)*goldenRatio)
}

// openAttempt creates the call's next attempt and adds it to the engine's load.
func (d *Dispatcher) openAttempt(now kernel.Micros, call *Call, binding *fleetconfig.Binding, eligible eligibleEngines, choice Choice) {
	engine, load := eligible.engines[choice.Index], eligible.candidates[choice.Index].Load
	call.attempts++
	call.Attempt = &Attempt{
		Number: call.attempts, Engine: engine, Binding: binding.Name, Revision: d.routingTable.Revision, openedAt: now,
		outstandingTokens: int64(call.Request.PromptTokens + call.Request.MaxTokens),
		promptTokens:      int64(call.Request.PromptTokens),
		load:              load + float64(call.Request.PromptTokens),
	}
	d.state(engine.ID).open(now, call.Attempt)
	d.record(now, call.Request.ID, fmt.Sprintf("round %d to %s", call.attempts, engine.ID),
		fmt.Sprintf("%s; binding %s, revision %d, load %.0f of mean %.0f over %d engines, preferred %s",
			choice.Reason, binding.Name, d.routingTable.Revision, load, choice.Mean, len(eligible.engines), eligible.engines[choice.Preferred].ID))
}

// findEligible returns the engines of a binding that are eligible for a call's next attempt. The text, which a
// rejection shows, counts the other engines of the binding by the reason why they are not eligible.
func (d *Dispatcher) findEligible(now kernel.Micros, call *Call, binding *fleetconfig.Binding) (eligibleEngines, string) {
	eligible := eligibleEngines{}
	ineligible := map[string]int{} // engines by reason
	for _, engine := range d.routingTable.Engines {
		weight := binding.Weight(engine.ID, engine.Pool, engine.Zone)
		if weight == 0 {
			continue
		}
		why := d.ineligibleReason(now, engine)
		switch {
		case why != "":
		case d.isExcludedByOverride(engine):
			why = "excluded by a policy override"
		case call.triedEngines[engine.ID]:
			why = "tried already"
		}
		if why != "" {
			ineligible[why]++
			continue
		}
		eligible.candidates = append(eligible.candidates, d.candidate(now, engine, weight))
		eligible.engines = append(eligible.engines, engine)
	}
	if len(ineligible) == 0 {
		return eligible, "[none is known]"
	}
	reasons := []string{}
	for reason, count := range ineligible {
		reasons = append(reasons, fmt.Sprintf("%d %s", count, reason))
	}
	slices.Sort(reasons)
	return eligible, fmt.Sprint(reasons)
}

// candidate returns the policy's view of an eligible engine. It resets the engine's state first if the
// engine runs as a new process.
func (d *Dispatcher) candidate(now kernel.Micros, engine Engine, weight uint32) Candidate {
	state := d.state(engine.ID)
	if state.start != engine.Start {
		state.restart(engine.Start)
	}
	own, foreign := max(state.ledger.own, 0), 0.0
	if !d.Overrides.SkipsCurrentPrompt {
		own += state.currentPromptTokens()
	}
	if engine.HasReport {
		foreign = d.foreignTokens(now, state, engine)
	}
	load := float64(own) + foreign
	if d.Overrides.Load != nil {
		load = d.Overrides.Load(state.ledger.own, engine, foreign)
	}
	return Candidate{ID: engine.ID, Weight: weight, Load: load, IsFull: state.ledger.streams >= d.slowStartShare(now, engine)}
}

// ineligibleReason returns why an engine is not eligible now, or the empty string if it is.
func (d *Dispatcher) ineligibleReason(now kernel.Micros, engine Engine) string {
	switch state := d.states[engine.ID]; {
	case engine.Address == "":
		return "has no address"
	case engine.IsDraining:
		return "leaving"
	case d.routingTable.Drained[engine.Zone]:
		return "in an emptied zone"
	case engine.IsUnlisted:
		return "gone from the platform's list"
	case engine.IsUnresponsive:
		return "dark"
	case state != nil && state.isEjected(now, engine.Start):
		return "broken"
	}
	return ""
}

// MayWrite has to be called immediately before the first byte is written to an engine. It returns why nothing may be
// written, or the empty string if writing is allowed. The process may have been suspended after it selected the engine,
// and must not act on a lease, binding or routing table that no longer holds.
func (d *Dispatcher) MayWrite(now kernel.Micros, call *Call) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	if now >= d.routingTable.LeaseExpiresAt {
		return "the lease lapsed after the engine was selected"
	}
	binding, isBound := d.routingTable.Config.Bind(call.Request.Kind, call.Request.Model)
	if !isBound {
		return "no binding matches the request any more"
	}
	for _, engine := range d.routingTable.Engines {
		if engine.ID != call.Attempt.Engine.ID || engine.Start != call.Attempt.Engine.Start {
			continue
		}
		if engine.IsDraining || engine.IsUnlisted || d.routingTable.Drained[engine.Zone] || binding.Weight(engine.ID, engine.Pool, engine.Zone) == 0 {
			return "the engine is no longer eligible"
		}
		return ""
	}
	return "the engine is no longer in the routing table"
}
