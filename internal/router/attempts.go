package router

import (
	"fmt"
	"net/http"

	"dunlinloom/internal/kernel"
)

// Admit takes a new request and gives its first attempt, or rejects it.
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

// admit is Admit under the lock.
func (c *Chooser) admit(now kernel.Micros, request Request) (*Call, *Rejection) {
	c.counts.Requests++
	call := &Call{Request: request, number: c.counts.Requests, triedEngines: map[string]bool{}}
	if c.isShutdown {
		return nil, c.reject(&Rejection{"stopping", "this router is stopping; another one serves", http.StatusServiceUnavailable, shortRetryAfter})
	}
	if rejection := c.selectEngine(now, call); rejection != nil {
		return nil, c.reject(rejection)
	}
	return call, nil
}

// Sent records that the attempt's bytes are about to go out. False: it must not be sent, since its engine
// has left, is draining or has another address by now.
func (c *Chooser) Sent(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAllowed := c.sent(now, call)
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionSent, Call: call.number, IsAllowed: isAllowed})
	}
	return isAllowed
}

// sent is Sent under the lock.
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

// Unsent takes back what Sent recorded: not one byte went out.
func (c *Chooser) Unsent(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.sentAttempts--
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionUnsent, Call: call.number})
	}
}

// Answered records that the engine's answer has begun, with its report on its load, if any.
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

// Produced records that events of the answer passed, of so many tokens.
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
	// The tokens produced can't make the load of a request less than its prompt.
	produced := min(int64(tokens), max(attempt.remainingTokens-int64(call.Request.PromptTokens), 0))
	attempt.remainingTokens -= produced
	state.outstandingTokens -= produced
}

// Bind records that a part of the answer goes out which only the same engine can complete.
func (c *Chooser) Bind(call *Call) {
	c.lock.Lock()
	defer c.lock.Unlock()
	call.isBoundToEngine = true
	if c.recorder != nil {
		c.recorder.write(Decision{Kind: DecisionBind, Call: call.number})
	}
}

// MayAbandon asks whether an attempt at an unresponsive engine may be given up for one at another:
// whether there is such an engine, and a retry within the budget, which it takes.
func (c *Chooser) MayAbandon(now kernel.Micros, call *Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAllowed := c.mayAbandon(now, call)
	if c.recorder != nil {
		c.recorder.write(Decision{At: now, Kind: DecisionAbandon, Call: call.number, IsAllowed: isAllowed})
	}
	return isAllowed
}

// mayAbandon is MayAbandon under the lock.
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

// Close ends the call's attempt. It gives true, and the next attempt in the call, when one may follow;
// otherwise the rejection for the caller, unless the attempt served it or the caller has gone.
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

// close is Close under the lock.
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

// endAttempt takes an attempt out of its engine's load and records how it ended.
func (c *Chooser) endAttempt(now kernel.Micros, attempt *Attempt, outcome Outcome) {
	attempt.isClosed = true
	c.counts.Outcomes[outcome.String()]++
	if state := c.engines[attempt.Engine.ID]; state != nil {
		delete(state.attempts, attempt)
		state.outstandingTokens -= attempt.remainingTokens
		c.checkLoad(state)
		state.recordOutcome(now, outcome)
	}
}

// maxUnsentEngines is how many engines a request is tried at although none can be reached.
const maxUnsentEngines = 6

// retryOrReject selects the engine of another attempt after one that failed, if one may follow.
func (c *Chooser) retryOrReject(now kernel.Micros, call *Call, outcome Outcome, reason string) (isRetry bool, rejection *Rejection) {
	attempt := call.Attempt
	fail := &Rejection{"engine_lost", fmt.Sprintf("attempt %d at %s: %s", attempt.Number, attempt.Engine.ID, reason), http.StatusBadGateway, 0}
	call.mayHaveRun = call.mayHaveRun || !outcome.isProvenNotRun()
	if !call.mayHaveRun {
		fail.Reason, fail.Status, fail.RetryAfter = "engines_failed", http.StatusServiceUnavailable, shortRetryAfter
	} else if !call.Request.Route.IsRepeatable() {
		return false, c.reject(fail)
	}
	if now >= call.Request.Deadline || call.isBoundToEngine {
		return false, c.reject(fail)
	}
	// What was never sent has reached no engine, so it counts neither as one of the route's
	// attempts nor as a retry; that many engines can't be reached is still an end.
	if outcome == NotSent && len(call.triedEngines) < maxUnsentEngines {
		return c.retryElsewhere(now, call, fail)
	}
	if call.sentAttempts >= call.maxAttempts() {
		return false, c.reject(fail)
	}
	isPaid := call.isRetryCharged
	call.isRetryCharged = false
	if !isPaid && !c.spend(now, call.Request.Service) {
		fail.Detail += "; the retry budget is spent"
		return false, c.reject(fail)
	}
	c.counts.Retries++
	return c.retryElsewhere(now, call, fail)
}

// rejectWithheld rejects a request of which an attempt was withheld: no other engine would do. An earlier attempt may
// have run it.
func rejectWithheld(call *Call) *Rejection {
	rejection := rejectForUnconfirmedEngines()
	if call.mayHaveRun {
		return &Rejection{"engine_lost", rejection.Detail, http.StatusBadGateway, 0}
	}
	return rejection
}

// retryElsewhere selects the engine of another attempt; fail is the rejection if there is none.
func (c *Chooser) retryElsewhere(now kernel.Micros, call *Call, fail *Rejection) (bool, *Rejection) {
	if rejection := c.selectEngine(now, call); rejection != nil {
		fail.Detail += "; " + rejection.Detail
		return false, c.reject(fail)
	}
	return true, nil
}
