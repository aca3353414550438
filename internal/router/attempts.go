package router

import (
	"fmt"
	"net/http"

	"dunlinloom/internal/kernel"
)

// Admit admits a new request and selects the engine of its first attempt, or rejects it.
func (c *Chooser) Admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call, rejection := c.admit(now, request)
	if c.recorder != nil {
		c.recorder.write(Decision{
			At: now, Kind: DecisionAdmit, Call: c.counts.Requests, Request: c.recorder.request(&request),
			Chosen: engineOf(call), Rejection: reasonOf(rejection),
		})
	}
	return call, rejection
}

// admit implements Admit; the lock is held.
func (c *Chooser) admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	c.counts.Requests++
	call := &Call{Request: request, number: c.counts.Requests, triedEngines: map[string]bool{}}
	if c.mayOutlast(&request) {
		return nil, c.reject(&Rejection{"stopping", "this router is shutting down; retry at another one", http.StatusServiceUnavailable, shortRetryAfter})
	}
	if rejection := c.selectEngine(now, call); rejection != nil {
		return nil, c.reject(rejection)
	}
	return call, nil
}

// Sent records that the bytes of the attempt are about to be written. It returns false if the attempt must not be sent
// because its engine is draining or has changed its address. An engine that is no longer in the routing table keeps its
// last state while it has attempts, so this check does not notice that it has left.
func (c *Chooser) Sent(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAllowed := c.sent(now, call)
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionSent, Call: call.number, IsAllowed: isAllowed})
	}
	return isAllowed
}

// sent implements Sent; the lock is held.
func (c *Chooser) sent(now kernel.Micros, call *Call) bool {
	state := c.engines[call.Attempt.Engine.ID]
	if state == nil || state.engine.IsDraining || state.engine.Address != call.Attempt.Engine.Address {
		return false
	}
	if !call.isCounted {
		call.isCounted = true
		c.budget(call.Request.Service).countRequest(now, c.retry)
	}
	call.sentAttempts++
	c.checkSent(call)
	return true
}

// Unsent undoes Sent for an attempt of which no byte was written.
func (c *Chooser) Unsent(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.sentAttempts--
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionUnsent, Call: call.number})
	}
}

// Answered records that the engine's response has begun, and the load that the response reports, if any.
func (c *Chooser) Answered(now kernel.Micros, call *Call, load Load, hasLoad bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.recorder != nil {
		recorded := Decision{At: now, Kind: DecisionAnswered, Call: call.number}
		if hasLoad {
			recorded.Load = &load
		}
		c.recorder.write(recorded)
	}
	attempt := call.Attempt
	state := c.engines[attempt.Engine.ID]
	if state == nil {
		return
	}
	state.lastSeenAt = now
	state.updatePrefillTime(now, attempt)
	attempt.hasHead = true
	c.meanPromptTokens += meanWeight * (float64(attempt.promptTokens) - c.meanPromptTokens)
	state.recover()
	if hasLoad {
		state.updateLoad(now, load)
	}
}

// Produced records that the engine has sent events that carry this many tokens.
func (c *Chooser) Produced(now kernel.Micros, call *Call, tokens int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionProduced, Call: call.number, Tokens: tokens})
	}
	attempt := call.Attempt
	state := c.engines[attempt.Engine.ID]
	if state == nil || attempt.isClosed {
		return
	}
	state.lastSeenAt = now
	attempt.hasHead = true
	// A request counts at least its prompt tokens until it ends, however many tokens were produced.
	produced := min(int64(tokens), max(attempt.remainingTokens-int64(call.Request.PromptTokens), 0))
	attempt.remainingTokens -= produced
	state.outstandingTokens -= produced
}

// Bind records that the caller is sent a part of an answer that only the same engine can complete. The call is not
// retried after that.
func (c *Chooser) Bind(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.isBoundToEngine = true
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionBind, Call: call.number})
	}
}

// MayAbandon reports whether an attempt at an unresponsive engine may be abandoned for another attempt. It requires
// another engine that can take the request and a retry within the budget; that retry is charged here.
func (c *Chooser) MayAbandon(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAllowed := c.mayAbandon(now, call)
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionAbandon, Call: call.number, IsAllowed: isAllowed})
	}
	return isAllowed
}

// mayAbandon implements MayAbandon; the lock is held.
func (c *Chooser) mayAbandon(now kernel.Micros, call *Call) bool {
	if call.isRetryCharged {
		return true
	}
	candidates, _, _ := c.candidates(now, call)
	if len(candidates) == 0 || now >= call.Request.Deadline || call.isBoundToEngine || call.sentAttempts >= call.maxAttempts() {
		return false
	}
	call.isRetryCharged = c.spend(now, call.Request.Service)
	return call.isRetryCharged
}

// Close ends the call's attempt. If another attempt may follow, Close returns true and the call holds the next attempt.
// Otherwise it returns the rejection for the caller. There is none if the engine's response was the answer (Served or
// Failed) or the caller has disconnected. Closing an attempt a second time has no effect.
func (c *Chooser) Close(now kernel.Micros, call *Call, outcome Outcome, reason string) (isRetry bool, rejection *Rejection) {
	c.lock.Lock()
	defer c.lock.Unlock()
	isRetry, rejection = c.close(now, call, outcome, reason)
	if rejection != nil {
		c.checkRejection(call, rejection)
	}
	if c.recorder != nil {
		recorded := Decision{At: now, Kind: DecisionClose, Call: call.number, Outcome: outcome, Reason: reason, IsAllowed: isRetry, Rejection: reasonOf(rejection)}
		if isRetry {
			recorded.Chosen = engineOf(call)
		}
		c.recorder.write(recorded)
	}
	return isRetry, rejection
}

// close implements Close; the lock is held.
func (c *Chooser) close(now kernel.Micros, call *Call, outcome Outcome, reason string) (isRetry bool, rejection *Rejection) {
	attempt := call.Attempt
	if attempt.isClosed {
		return false, nil
	}
	c.endAttempt(now, attempt, outcome)
	if outcome == Served || outcome == Failed {
		return false, nil
	}
	call.failedAttempts = append(call.failedAttempts, failedAttempt{attempt.Engine.ID, outcome, reason, now - call.Request.ArrivedAt})
	if outcome == CallerDisconnected {
		return false, nil
	}
	if outcome == Withheld {
		return false, c.reject(rejectWithheld(call))
	}
	return c.retryOrReject(now, call, outcome, reason)
}

// endAttempt subtracts an attempt from its engine's load and records its outcome.
func (c *Chooser) endAttempt(now kernel.Micros, attempt *Attempt, outcome Outcome) {
	attempt.isClosed = true
	c.counts.Endings[outcome.String()]++
	if state := c.engines[attempt.Engine.ID]; state != nil {
		delete(state.attempts, attempt)
		state.outstandingTokens -= attempt.remainingTokens
		c.checkLoad(state)
		state.recordOutcome(now, outcome)
	}
}

// maxUnsentEngines limits the engines that are tried for a request without being charged as retries, because no byte
// could be written to them.
const maxUnsentEngines = 6

// retryOrReject selects the engine of the next attempt after a failed one, or rejects the request if no attempt may
// follow.
func (c *Chooser) retryOrReject(now kernel.Micros, call *Call, outcome Outcome, reason string) (isRetry bool, rejection *Rejection) {
	attempt := call.Attempt
	failure := &Rejection{"engine_lost", fmt.Sprintf("attempt %d at %s: %s", attempt.Number, attempt.Engine.ID, reason), http.StatusBadGateway, 0}
	call.mayHaveRun = call.mayHaveRun || !outcome.isProvenNotRun()
	if !call.mayHaveRun {
		failure.Reason, failure.Status, failure.RetryAfter = "engines_failed", http.StatusServiceUnavailable, shortRetryAfter
	} else if !call.Request.Route.IsRepeatable() {
		return false, c.reject(failure)
	}
	if now >= call.Request.Deadline || call.isBoundToEngine || c.hasStopped(now) {
		return false, c.reject(failure)
	}
	// An attempt of which no byte was written has reached no engine. So it does not count as one of the route's
	// attempts, and the next attempt does not count as a retry. maxUnsentEngines limits this.
	if outcome == NotSent && len(call.triedEngines) < maxUnsentEngines {
		return c.retryElsewhere(now, call, failure)
	}
	if call.sentAttempts >= call.maxAttempts() {
		return false, c.reject(failure)
	}
	isCharged := call.isRetryCharged
	call.isRetryCharged = false
	if !isCharged && !c.spend(now, call.Request.Service) {
		failure.Detail += "; the retry budget is spent"
		return false, c.reject(failure)
	}
	c.counts.Extras++
	return c.retryElsewhere(now, call, failure)
}

// rejectWithheld rejects a request whose attempt was withheld. No other engine is tried, since the router may not
// send to any. If an earlier attempt may have run the request, the status must not say that it did not run.
func rejectWithheld(call *Call) *Rejection {
	rejection := rejectForUnconfirmedEngines()
	if call.mayHaveRun {
		return &Rejection{"engine_lost", rejection.Detail, http.StatusBadGateway, 0}
	}
	return rejection
}

// retryElsewhere selects the engine of the next attempt. If there is none, it rejects the request with failure.
func (c *Chooser) retryElsewhere(now kernel.Micros, call *Call, failure *Rejection) (bool, *Rejection) {
	if rejection := c.selectEngine(now, call); rejection != nil {
		failure.Detail += "; " + rejection.Detail
		return false, c.reject(failure)
	}
	return true, nil
}
