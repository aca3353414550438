package router

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Spans and weights of what is known of an engine's load.
const (
	foreignDecay      = 1500 * kernel.Millisecond // in which a late report loses most of its weight
	waitingDecay      = 300 * kernel.Millisecond  // the same, of how many requests wait
	prefillTimeTTL    = 3 * kernel.Second         // for which a pace counts
	prefillTimeWeight = 0.3                       // of a new value in the pace
	meanWeight        = 0.03                      // of a new value in a running mean
)

// currentPromptTokens is the prompt of the request that an engine is working on, which the source adds
// to the load once more; the oldest of ours that waits for its first event is taken for it.
func (s *engineState) currentPromptTokens() int64 {
	if len(s.attempts) == 0 {
		return 0
	}
	var oldest *Attempt
	for attempt := range s.attempts {
		if !attempt.hasHead && (oldest == nil || attempt.isBefore(oldest)) {
			oldest = attempt
		}
	}
	if oldest == nil {
		return 0
	}
	return oldest.promptTokens
}

// unreadPromptTokens estimates the prompt tokens that an engine has to read before it comes to a new one.
func (c *Chooser) unreadPromptTokens(now kernel.Micros, state *engineState) float64 {
	tokens := 0.0
	for attempt := range state.attempts {
		if !attempt.hasHead {
			tokens += float64(attempt.promptTokens)
		}
	}
	if state.hasLoadReport {
		// Prompts are read within a second or so: an older report says nothing.
		weight := math.Exp(-float64(now-state.loadReportedAt) / float64(waitingDecay))
		tokens += state.foreignWaiting * weight * c.meanPromptTokens
	}
	return tokens
}

// foreignTokens estimates the tokens that other routers have on an engine, from its last report on how many
// requests it had: less ours then, decaying towards the mean of all engines.
func (c *Chooser) foreignTokens(now kernel.Micros, state *engineState, mean float64) float64 {
	if !state.hasLoadReport {
		return mean * c.meanAttemptTokens
	}
	weight := math.Exp(-float64(now-state.loadReportedAt) / float64(foreignDecay))
	return (mean + (state.foreignRequests-mean)*weight) * c.meanAttemptTokens
}

// meanForeignRequests is how many requests of other routers one of a service's engines has, on average.
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

// ReportLoad takes an engine's report on its load that came without an answer.
func (c *Chooser) ReportLoad(now kernel.Micros, id string, load Load) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionReportLoad, Engine: id, Load: &load})
	}
	if state := c.engines[id]; state != nil {
		state.lastSeenAt = now
		state.updateLoad(now, load)
	}
}

// updateLoad takes an engine's report on its load, less what is ours of it.
func (s *engineState) updateLoad(now kernel.Micros, load Load) {
	waiting := 0
	for attempt := range s.attempts {
		if !attempt.hasHead {
			waiting++
		}
	}
	s.foreignRequests = max(float64(load.Running+load.Waiting-len(s.attempts)), 0)
	s.foreignWaiting = max(float64(load.Waiting-waiting), 0)
	s.loadReportedAt, s.hasLoadReport = now, true
}

// updatePrefillTime takes how long a first event took; its running mean starts anew after prefillTimeTTL.
func (s *engineState) updatePrefillTime(now kernel.Micros, attempt *Attempt) {
	if attempt.hasHead || attempt.queuedTokens <= 0 {
		return
	}
	seen := float64(now-attempt.startedAt) / attempt.queuedTokens
	if s.prefillTimePerToken == 0 || now-s.prefillTimeAt > prefillTimeTTL {
		s.prefillTimePerToken = seen
	}
	s.prefillTimePerToken += prefillTimeWeight * (seen - s.prefillTimePerToken)
	s.prefillTimeAt = now
}

// updateMeanAttemptTokens averages the outstanding tokens of the requests in flight. Long ones are in flight for longer, so
// a mean over arrivals would underestimate the load of other routers beside this one's.
func (c *Chooser) updateMeanAttemptTokens() {
	tokens, attempts := int64(0), 0
	for _, state := range c.engines {
		tokens += state.outstandingTokens
		attempts += len(state.attempts)
	}
	if attempts == 0 {
		return
	}
	size := float64(tokens) / float64(attempts)
	if c.meanAttemptTokens == 0 {
		c.meanAttemptTokens = size
	}
	c.meanAttemptTokens += meanWeight * (size - c.meanAttemptTokens)
}
