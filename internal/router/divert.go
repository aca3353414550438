package router

import (
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// chooseOrDivert chooses among candidates: the prefix's preferred engine, or the one with the fewest
// outstanding tokens if the preferred one's load is above the configuration's multiple of the mean, 2.0
// unless it says otherwise (relay.Choose), and its first event is not foreseen in time.
func (c *Chooser) chooseOrDivert(now kernel.Micros, call *Call, candidates []relay.Candidate, states []*engineState) (index int, reason string) {
	policy := c.routingTable.Config.Policy
	preferred := relay.Preferred(relay.SlotOf(call.prefix), candidates)
	// Among engines that count as tied, a hash of what the prompt shares beyond the prefix decides, so that
	// a diverted prompt finds its segments again, on whichever router.
	choice := relay.Choose(candidates, preferred, policy.MaxImbalance, policy.NearTie, sharedHash(call.Request.Segments))
	if !choice.IsDivert {
		return choice.Index, choice.Reason
	}
	if c.meetsLatencyTarget(now, states[preferred], call) {
		c.counts.AvoidedDiverts++
		return preferred, choice.Reason
	}
	c.counts.Diverts++
	return choice.Index, choice.Reason
}

// latencyTargetShare is the part of the latency target within which a first event has to be foreseen for a
// divert to be spared. The rest is for what a router can't foresee.
const latencyTargetShare = 0.4

// meetsLatencyTarget reports whether an engine's first event is foreseen well within the latency target. Twice of a
// low mean is no load; a prompt diverted then would be read again elsewhere to no use.
func (c *Chooser) meetsLatencyTarget(now kernel.Micros, state *engineState, call *Call) bool {
	latencyTarget := call.Request.Route.LatencyTarget
	if latencyTarget == 0 || state.prefillTimePerToken == 0 || now-state.prefillTimeAt > prefillTimeTTL {
		return false
	}
	foreseen := state.prefillTimePerToken * (c.unreadPromptTokens(now, state) + float64(call.Request.PromptTokens))
	return foreseen < latencyTargetShare*float64(latencyTarget)
}
