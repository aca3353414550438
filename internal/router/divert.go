package router

import (
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// chooseOrDivert chooses the engine of an attempt among candidates and returns its index. states[i] is the state of
// candidates[i]. The preferred engine of the prefix is chosen unless it is overloaded. An overloaded one is chosen only
// if it is predicted to meet the latency target (see meetsLatencyTarget); otherwise the engine with the fewest
// outstanding tokens is chosen. An engine is overloaded if its load is above a multiple of the mean, which the
// configuration sets (default 2.0, see relay.Choose).
func (c *Chooser) chooseOrDivert(now kernel.Micros, call *Call, candidates []relay.Candidate, states []*engineState) (index int, reason string) {
	policy := c.routingTable.Config.Policy
	preferred := relay.Preferred(relay.SlotOf(call.prefix), candidates)
	// Among engines with nearly the same load, a hash of the segments that other prompts may share decides. Every
	// router then diverts a prompt to the engine that has already processed those segments.
	choice := relay.Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, sharedHash(call.Request.Segments))
	if !choice.IsDivert {
		return choice.Index, choice.Reason
	}
	if c.meetsLatencyTarget(now, states[preferred], call) {
		c.counts.Spared++
		return preferred, choice.Reason
	}
	c.counts.Diverts++
	return choice.Index, choice.Reason
}

// latencyTargetShare is the largest predicted time to the first event at which a request stays at its overloaded
// preferred engine, as a share of the latency target. The rest of the target is a reserve for delays that a router
// can't predict.
const latencyTargetShare = 0.4

// meetsLatencyTarget reports whether an engine's first event is predicted well within the latency target. If the mean
// load is low, even twice the mean is a low load, and a divert would only make another engine process the prompt again.
// Without a recent measurement of the engine's prefill time it returns false.
func (c *Chooser) meetsLatencyTarget(now kernel.Micros, state *engineState, call *Call) bool {
	latencyTarget := call.Request.Route.LatencyTarget
	if latencyTarget == 0 || state.prefillTimePerToken == 0 || now-state.prefillTimeAt > prefillTimeTTL {
		return false
	}
	predicted := state.prefillTimePerToken * (c.queuedPromptTokens(now, state) + float64(call.Request.PromptTokens))
	return predicted < latencyTargetShare*float64(latencyTarget)
}
