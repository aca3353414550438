package router

import (
	"math"

	"dunlinloom/internal/kernel"
)

// Durations and weights of the load estimates.
const (
	foreignDecay      = 1500 * kernel.Millisecond // time constant of the decay of a reported load
	waitingDecay      = 300 * kernel.Millisecond  // the same for the reported number of waiting requests
	prefillTimeTTL    = 3 * kernel.Second         // how long a measured prefill time is used
	prefillTimeWeight = 0.3                       // of a new value in the prefill time
	meanWeight        = 0.03                      // of a new value in a running mean
)

// currentPromptTokens estimates the prompt tokens of the request that an engine is working on; the routing policy
// counts them in the load a second time. Engines do not say which request that is. It is assumed to be the oldest of
// this router's attempts that still waits for its response to begin.
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

// queuedPromptTokens estimates the prompt tokens that an engine has to process before it starts on a new request.
func (c *Chooser) queuedPromptTokens(now kernel.Micros, state *engineState) float64 {
	tokens := 0.0
	for attempt := range state.attempts {
		if !attempt.hasHead {
			tokens += float64(attempt.promptTokens)
		}
	}
	if state.hasLoadReport {
		// Prompts are processed within about a second, so an older report is of no use.
		weight := math.Exp(-float64(now-state.loadReportedAt) / float64(waitingDecay))
		tokens += state.foreignWaiting * weight * c.meanPromptTokens
	}
	return tokens
}

// foreignTokens estimates the outstanding tokens of other routers at an engine. The engine's last load report, less
// this router's requests at that time, gives the number of their requests. As the report gets older, this number decays
// towards mean, the mean of the service's engines in requests (see meanForeignRequests).
func (c *Chooser) foreignTokens(now kernel.Micros, state *engineState, mean float64) float64 {
	if !state.hasLoadReport {
		return mean * c.meanAttemptTokens
	}
	weight := math.Exp(-float64(now-state.loadReportedAt) / float64(foreignDecay))
	return (mean + (state.foreignRequests-mean)*weight) * c.meanAttemptTokens
}

// meanForeignRequests is the mean number of requests of other routers at an engine of a service, by the last load
// reports. Engines without a report are left out.
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

// ReportLoad records an engine's load report that came without a response to forward.
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

// updateLoad stores an engine's load report after subtracting this router's own attempts.
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

// updatePrefillTime updates the running mean of the prefill time when the response to an attempt begins. If the last
// measurement is older than prefillTimeTTL, the mean starts again with this one.
func (s *engineState) updatePrefillTime(now kernel.Micros, attempt *Attempt) {
	if attempt.hasHead || attempt.queuedTokens <= 0 {
		return
	}
	observed := float64(now-attempt.startedAt) / attempt.queuedTokens
	if s.prefillTimePerToken == 0 || now-s.prefillTimeAt > prefillTimeTTL {
		s.prefillTimePerToken = observed
	}
	s.prefillTimePerToken += prefillTimeWeight * (observed - s.prefillTimePerToken)
	s.prefillTimeAt = now
}

// updateMeanAttemptTokens averages the outstanding tokens of the attempts in flight. A mean over arrivals would
// underestimate the load of other routers, since long requests are in flight for longer.
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
