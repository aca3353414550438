package router

import (
	"math"

	"dunlinloom/internal/kernel"
)

type engineState struct {
	engine          Engine
	attempts        map[*Attempt]bool
	tokens          int64 // outstanding, of own attempts
	failures        int
	ejectedUntil    kernel.Micros
	isProbing       bool
	lastSeenAt      kernel.Micros // when anything was last heard from it
	foreignRequests float64       // requests of other routers there, by its late word
	waiting         float64       // of those, the ones that waited for their first event
	foreignAt       kernel.Micros
	hasLoadReport   bool
	// pace is the learned time to the first event for each token that had to be read first.
	pace   float64
	paceAt kernel.Micros
}

// current is the prompt of the request that an engine is working on, which the source adds
// to the load once more; the oldest of ours that waits for its first event is taken for it.
func (s *engineState) current() int64 {
	var oldest *Attempt
	for attempt := range s.attempts {
		if !attempt.hasHead && (oldest == nil || attempt.startedAt < oldest.startedAt) {
			oldest = attempt
		}
	}
	if oldest == nil {
		return 0
	}
	return oldest.remainingTokens
}

// latencyTargetShare is the part of the aim within which a first event has to be foreseen for a divert
// to be spared. The rest is for what a router can't foresee.
const latencyTargetShare = 0.4

// isInTime is the admission check: it tells that an engine's first event is foreseen well
// within the aim. Twice of a low mean is no load; what is diverted then is read again
// elsewhere for nothing.
func (c *Chooser) isInTime(now kernel.Micros, state *engineState, call *Call) bool {
	goal := call.Request.Route.LatencyTarget
	if goal == 0 || state.pace == 0 || now-state.paceAt > paceTTL {
		return false
	}
	foreseen := state.pace * (c.unread(now, state) + float64(call.Request.PromptTokens))
	return foreseen < latencyTargetShare*float64(goal)
}

// unread reckons the prompt tokens that an engine has to read before it comes to a new one.
func (c *Chooser) unread(now kernel.Micros, state *engineState) float64 {
	tokens, own := 0.0, 0
	for attempt := range state.attempts {
		if !attempt.hasHead {
			tokens += float64(attempt.promptTokens)
			own++
		}
	}
	if state.hasLoadReport {
		// Prompts are read within a second or so: an older word says nothing.
		weight := math.Exp(-float64(now-state.foreignAt) / float64(waitingDecay))
		tokens += state.waiting * weight * c.meanPrompt
	}
	return tokens
}

// learnPace takes how long a first event took.
func (s *engineState) learnPace(now kernel.Micros, attempt *Attempt) {
	if attempt.hasHead || attempt.queuedTokens <= 0 {
		return
	}
	seen := float64(now-attempt.startedAt) / attempt.queuedTokens
	if s.pace == 0 || now-s.paceAt > paceTTL {
		s.pace = seen
	}
	s.pace += paceWeight * (seen - s.pace)
	s.paceAt = now
}

// foreign reckons the tokens that other routers have on an engine, from its late word on
// how many requests it had: less ours then, fading towards the mean of all engines.
func (c *Chooser) foreign(now kernel.Micros, state *engineState, mean float64) float64 {
	if !state.hasLoadReport {
		return mean * c.meanSize
	}
	weight := math.Exp(-float64(now-state.foreignAt) / float64(foreignDecay))
	return (mean + (state.foreignRequests-mean)*weight) * c.meanSize
}

// learnSize looks how many tokens a request has outstanding, on the mean of those that are
// under way now. Long ones are under way for longer, so a mean over arrivals would make what
// other routers have look far lighter than what this one has.
func (c *Chooser) learnSize() {
	tokens, attempts := int64(0), 0
	for _, state := range c.engines {
		tokens += state.tokens
		attempts += len(state.attempts)
	}
	if attempts == 0 {
		return
	}
	size := float64(tokens) / float64(attempts)
	if c.meanSize == 0 {
		c.meanSize = size
	}
	c.meanSize += meanWeight * (size - c.meanSize)
}

// meanForeignRequests is how many requests of other routers a service's engines have, on the mean.
func (c *Chooser) meanForeignRequests(service string) float64 {
	sum, known := 0.0, 0.0
	for _, state := range c.services[service] {
		if state.hasLoadReport {
			sum += state.foreignRequests
			known++
		}
	}
	return sum / max(known, 1)
}

// HasSeenSince tells whether anything came from an engine since a moment.
func (c *Chooser) HasSeenSince(id string, moment kernel.Micros) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	state := c.engines[id]
	return state != nil && state.lastSeenAt >= moment
}

// recordOutcome keeps the engine's record of failures.
func (c *Chooser) recordOutcome(now kernel.Micros, state *engineState, outcome Outcome) {
	switch outcome {
	case NotSent, ConnectionLost, Unresponsive, AddressReused:
		state.isProbing = false
		state.failures++
		state.ejectedUntil = now + min(baseEjectionTime<<min(state.failures-1, 6), maxEjectionTime)
	case RejectedByEngine:
		state.isProbing = false
		state.ejectedUntil = max(state.ejectedUntil, now+overloadEjectionTime)
	case Served, Failed:
		state.failures, state.isProbing, state.ejectedUntil = 0, false, 0
	case CallerDisconnected:
		state.isProbing = false
	}
}

// ReportLoad takes an engine's word on its load that came without an answer.
func (c *Chooser) ReportLoad(now kernel.Micros, id string, load Load) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if state := c.engines[id]; state != nil {
		state.lastSeenAt = now
		state.learnLoad(now, load)
	}
}

// learnLoad takes an engine's word on its load, less what is ours of it.
func (s *engineState) learnLoad(now kernel.Micros, load Load) {
	waiting := 0
	for attempt := range s.attempts {
		if !attempt.hasHead {
			waiting++
		}
	}
	s.foreignRequests = max(float64(load.Running+load.Waiting-len(s.attempts)), 0)
	s.waiting = max(float64(load.Waiting-waiting), 0)
	s.foreignAt, s.hasLoadReport = now, true
}
