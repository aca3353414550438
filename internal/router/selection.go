package router

import (
	"net/http"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// selectEngine selects the engine of the call's next attempt and starts the attempt, or rejects the call.
func (c *Chooser) selectEngine(now kernel.Micros, call *Call) *Rejection {
	candidates, states := c.eligible(now, call)
	if len(candidates) == 0 {
		return &Rejection{"no_engine", "service " + call.Request.Service + " has no available engine", http.StatusServiceUnavailable, startupRetryAfter}
	}
	call.prefix = c.prefixOf(now, call)
	index, reason := c.chooseOrDivert(now, call, candidates, states)
	c.startAttempt(now, call, states[index], reason)
	return nil
}

// eligible returns the engines to choose from: the healthy ones that the call has not tried. If there are none, it
// returns the avoided ones (see isAvoided) that the call has not tried: one of them may have recovered, while a
// rejection would certainly not serve the request.
func (c *Chooser) eligible(now kernel.Micros, call *Call) ([]relay.Candidate, []*engineState) {
	candidates, states, avoided := c.candidates(now, call)
	if len(candidates) > 0 {
		return candidates, states
	}
	meanForeign := c.meanForeignRequests(call.Request.Service)
	for _, state := range avoided {
		candidates, states = append(candidates, c.candidate(now, state, meanForeign)), append(states, state)
	}
	return candidates, states
}

// candidateBuffers holds the slices that candidates returns. They are reused for each choice, to avoid allocations.
type candidateBuffers struct {
	candidates      []relay.Candidate
	states, avoided []*engineState
}

// candidates divides the engines of a call's service into healthy ones and avoided ones (see isAvoided). It leaves out
// draining engines and those that the call has tried. states[i] is the state of candidates[i]. The slices are valid
// until candidates is called again.
func (c *Chooser) candidates(now kernel.Micros, call *Call) (candidates []relay.Candidate, states, avoided []*engineState) {
	buffers := &c.buffers
	candidates, states, avoided = buffers.candidates[:0], buffers.states[:0], buffers.avoided[:0]
	meanForeign := c.meanForeignRequests(call.Request.Service)
	for _, state := range c.services[call.Request.Service] {
		if state.engine.IsDraining || call.triedEngines[state.engine.ID] {
			continue
		}
		if c.isAvoided(now, state, call) {
			avoided = append(avoided, state)
			continue
		}
		candidates = append(candidates, c.candidate(now, state, meanForeign))
		states = append(states, state)
	}
	buffers.candidates, buffers.states, buffers.avoided = candidates, states, avoided
	return candidates, states, avoided
}

func (c *Chooser) candidate(now kernel.Micros, state *engineState, meanForeign float64) relay.Candidate {
	load := float64(state.outstandingTokens) + float64(state.currentPromptTokens()) + c.foreignTokens(now, state, meanForeign)
	return relay.Candidate{ID: state.engine.ID, Weight: 1, Load: load}
}

// startAttempt starts the call's next attempt and adds it to the load of its engine.
func (c *Chooser) startAttempt(now kernel.Micros, call *Call, state *engineState, reason string) {
	request := &call.Request
	attempt := &Attempt{
		Engine: state.engine, Number: len(call.attempts) + 1, Reason: reason, call: call, startedAt: now, sequence: c.counts.Attempts,
		remainingTokens: int64(request.PromptTokens + request.MaxTokens),
		promptTokens:    int64(request.PromptTokens),
		queuedTokens:    c.queuedPromptTokens(now, state) + float64(request.PromptTokens),
	}
	call.Attempt = attempt
	call.attempts = append(call.attempts, attempt)
	call.triedEngines[state.engine.ID] = true
	state.attempts[attempt] = true
	state.outstandingTokens += attempt.remainingTokens
	if state.failures > 0 {
		state.isProbing = true
	}
	c.updateMeanAttemptTokens()
	c.counts.Attempts++
}
