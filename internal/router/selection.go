package router

import (
	"net/http"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/relay"
)

// selectEngine chooses the engine of the call's next attempt.
func (c *Chooser) selectEngine(now kernel.Micros, call *Call) *Rejection {
	candidates, states := c.eligible(now, call)
	if len(candidates) == 0 {
		return &Rejection{"no_engine", "service " + call.Request.Service + " has no engine that may take it", http.StatusServiceUnavailable, startupRetryAfter}
	}
	call.prefix = c.prefixOf(now, call)
	index, reason := c.chooseOrDivert(now, call, candidates, states)
	c.startAttempt(now, call, states[index], reason)
	return nil
}

// eligible gives the engines that the choice is among: the healthy ones. Where none is left it is those that
// failed lately: one of them may have recovered, and a rejection would surely serve nobody.
func (c *Chooser) eligible(now kernel.Micros, call *Call) ([]relay.Candidate, []*engineState) {
	candidates, states, avoided := c.candidates(now, call)
	if len(candidates) > 0 {
		return candidates, states
	}
	others := c.meanForeignRequests(call.Request.Service)
	for _, state := range avoided {
		candidates, states = append(candidates, c.candidate(now, state, others)), append(states, state)
	}
	return candidates, states
}

// candidateBuffers are the slices that a choice is made from, kept from one choice to the next.
type candidateBuffers struct {
	candidates      []relay.Candidate
	states, avoided []*engineState
}

// candidates sorts the engines of a call's service that it has not tried into healthy ones and those to avoid. What it
// gives is valid until the next call.
func (c *Chooser) candidates(now kernel.Micros, call *Call) (candidates []relay.Candidate, states, avoided []*engineState) {
	buffers := &c.buffers
	candidates, states, avoided = buffers.candidates[:0], buffers.states[:0], buffers.avoided[:0]
	others := c.meanForeignRequests(call.Request.Service)
	for _, state := range c.services[call.Request.Service] {
		if state.engine.IsDraining || call.triedEngines[state.engine.ID] {
			continue
		}
		if c.isAvoided(now, state, call) {
			avoided = append(avoided, state)
			continue
		}
		candidates = append(candidates, c.candidate(now, state, others))
		states = append(states, state)
	}
	buffers.candidates, buffers.states, buffers.avoided = candidates, states, avoided
	return candidates, states, avoided
}

func (c *Chooser) candidate(now kernel.Micros, state *engineState, others float64) relay.Candidate {
	load := float64(state.outstandingTokens) + float64(state.currentPromptTokens()) + c.foreignTokens(now, state, others)
	return relay.Candidate{ID: state.engine.ID, Weight: 1, Load: load}
}

// startAttempt counts the call's next attempt to an engine.
func (c *Chooser) startAttempt(now kernel.Micros, call *Call, state *engineState, reason string) {
	request := &call.Request
	attempt := &Attempt{
		Engine: state.engine, Number: len(call.triedEngines) + 1, Reason: reason, startedAt: now, sequence: c.counts.Attempts,
		remainingTokens: int64(request.PromptTokens + request.MaxTokens),
		promptTokens:    int64(request.PromptTokens),
		queuedTokens:    c.unreadPromptTokens(now, state) + float64(request.PromptTokens),
	}
	call.Attempt = attempt
	call.triedEngines[state.engine.ID] = true
	state.attempts[attempt] = true
	state.outstandingTokens += attempt.remainingTokens
	if state.failures > 0 {
		state.isProbing = true
	}
	c.updateMeanAttemptTokens()
	c.counts.Attempts++
}
