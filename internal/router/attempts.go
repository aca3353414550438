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
func (c *Chooser) Sent(now kernel.Micros, attempt *Attempt) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	isAllowed := c.sent(now, attempt)
	c.record(attempt, Decision{At: now, Kind: DecisionSent, IsAllowed: isAllowed})
	return isAllowed
}

// sent implements Sent; the lock is held.
func (c *Chooser) sent(now kernel.Micros, attempt *Attempt) bool {
	call, state := attempt.call, c.engines[attempt.Engine.ID]
	if state == nil || state.engine.IsDraining || state.engine.Address != attempt.Engine.Address {
		return false
	}
	if !call.isCounted {
		call.isCounted = true
		c.budget(call.Request.Service).countRequest(now, c.retry)
	}
	call.sentAttempts++
	attempt.isSent, attempt.isRepeat = true, call.sentAttempts > 1
	c.checkSent(attempt)
	return true
}

// Unsent undoes Sent for an attempt of which no byte was written.
func (c *Chooser) Unsent(attempt *Attempt) {
	c.lock.Lock()
	defer c.lock.Unlock()
	attempt.call.sentAttempts--
	attempt.isSent = false
	c.record(attempt, Decision{Kind: DecisionUnsent})
}

// Answered records that the engine's response has begun, and the load that the response reports, if any.
func (c *Chooser) Answered(now kernel.Micros, attempt *Attempt, load Load, hasLoad bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	recorded := Decision{At: now, Kind: DecisionAnswered}
	if hasLoad {
		recorded.Load = &load
	}
	c.record(attempt, recorded)
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
func (c *Chooser) Produced(now kernel.Micros, attempt *Attempt, tokens int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.record(attempt, Decision{At: now, Kind: DecisionProduced, Tokens: tokens})
	state := c.engines[attempt.Engine.ID]
	if state == nil || attempt.isClosed {
		return
	}
	state.lastSeenAt = now
	attempt.hasHead = true
	// A request counts at least its prompt tokens until it ends, however many tokens were produced.
	produced := min(int64(tokens), max(attempt.remainingTokens-int64(attempt.call.Request.PromptTokens), 0))
	attempt.remainingTokens -= produced
	state.outstandingTokens -= produced
}

// Bind records that the caller is sent a part of an answer that only the engine of this attempt can complete. The call
// is not retried after that.
func (c *Chooser) Bind(attempt *Attempt) {
	c.lock.Lock()
	defer c.lock.Unlock()
	attempt.call.isBoundToEngine = true
	c.record(attempt, Decision{Kind: DecisionBind})
}

// Hedge starts another attempt beside one whose engine is unresponsive, and returns it, or nil if there may be none. It
// requires another engine that can take the request and a retry within the budget, which is charged here. Only the newest
// attempt in progress leads to another one: an older one is unresponsive as well, or it would have ended the newer one.
func (c *Chooser) Hedge(now kernel.Micros, attempt *Attempt) *Attempt {
	c.lock.Lock()
	defer c.lock.Unlock()
	next := c.hedge(now, attempt)
	recorded := Decision{At: now, Kind: DecisionHedge, IsAllowed: next != nil}
	if next != nil {
		recorded.Chosen = next.Engine.ID
	}
	c.record(attempt, recorded)
	return next
}

// hedge implements Hedge; the lock is held.
func (c *Chooser) hedge(now kernel.Micros, attempt *Attempt) *Attempt {
	call := attempt.call
	if attempt != call.newestOpenAttempt() || call.hasEnded || call.isBoundToEngine || !call.Request.Route.IsRepeatable() {
		return nil
	}
	if now >= call.Request.Deadline || c.hasStopped(now) || !call.mayAttempt() {
		return nil
	}
	candidates, _, _ := c.candidates(now, call)
	if len(candidates) == 0 || !c.chargeRetry(now, call) {
		return nil
	}
	if c.selectEngine(now, call) != nil {
		return nil
	}
	call.Attempt.isCharged = true
	return call.Attempt
}

// chargeRetry charges a retry to the budget, unless one has been charged that reached no engine. It reports whether the
// budget allows it.
func (c *Chooser) chargeRetry(now kernel.Micros, call *Call) bool {
	if call.isRetryCharged {
		call.isRetryCharged = false
		return true
	}
	if !c.spend(now, call.Request.Service) {
		return false
	}
	c.counts.Extras++
	return true
}

// Next says how a call goes on after one of its attempts has ended. The zero value says that the call has ended: with
// the engine's response (Served or Failed), or because the caller has disconnected.
type Next struct {
	Attempt *Attempt // the attempt to make; nil: none
	// IsPending is set if another attempt decides: it is in progress, or it has ended the call.
	IsPending bool
	Rejection *Rejection // for the caller; nil: none
}

// Close ends an attempt and returns how its call goes on. Closing an attempt a second time has no effect.
func (c *Chooser) Close(now kernel.Micros, attempt *Attempt, outcome Outcome, reason string) Next {
	c.lock.Lock()
	defer c.lock.Unlock()
	next := c.close(now, attempt, outcome, reason)
	if next.Rejection != nil {
		c.checkRejection(attempt.call, next.Rejection)
	}
	recorded := Decision{At: now, Kind: DecisionClose, Outcome: outcome, Reason: reason, IsAllowed: next.Attempt != nil, Rejection: reasonOf(next.Rejection)}
	if next.Attempt != nil {
		recorded.Chosen = next.Attempt.Engine.ID
	}
	c.record(attempt, recorded)
	return next
}

// close implements Close; the lock is held.
func (c *Chooser) close(now kernel.Micros, attempt *Attempt, outcome Outcome, reason string) Next {
	call := attempt.call
	if attempt.isClosed {
		return Next{}
	}
	c.endAttempt(now, attempt, outcome)
	if outcome != Served && outcome != Failed {
		call.failedAttempts = append(call.failedAttempts, failedAttempt{attempt.Engine.ID, outcome, reason, now - call.Request.ArrivedAt})
	}
	if call.hasEnded {
		return Next{IsPending: true}
	}
	if outcome == Served || outcome == Failed || outcome == CallerDisconnected {
		call.hasEnded = true
		return Next{}
	}
	call.mayHaveRun = call.mayHaveRun || !outcome.isProvenNotRun()
	if outcome == RejectedByEngine || outcome == AddressReused {
		call.rejectedAttempts++
	}
	if call.newestOpenAttempt() != nil {
		call.isRetryCharged = call.isRetryCharged || outcome == NotSent && attempt.isCharged
		return Next{IsPending: true}
	}
	if outcome == Withheld {
		return Next{Rejection: c.reject(rejectWithheld(call))}
	}
	return c.retryOrReject(now, attempt, outcome, reason)
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

// retryOrReject selects the engine of the next attempt after a failed one, or rejects the request if no attempt may
// follow.
func (c *Chooser) retryOrReject(now kernel.Micros, attempt *Attempt, outcome Outcome, reason string) Next {
	call := attempt.call
	failure := &Rejection{"engine_lost", fmt.Sprintf("attempt %d at %s: %s", attempt.Number, attempt.Engine.ID, reason), http.StatusBadGateway, 0}
	if !call.mayHaveRun {
		failure.Reason, failure.Status, failure.RetryAfter = "engines_failed", http.StatusServiceUnavailable, shortRetryAfter
	} else if !call.Request.Route.IsRepeatable() {
		return Next{Rejection: c.reject(failure)}
	}
	if now >= call.Request.Deadline || call.isBoundToEngine || c.hasStopped(now) || outcome == RouterStopped {
		return Next{Rejection: c.reject(failure)}
	}
	// An attempt of which no byte was written has reached no engine. So it does not count as one of the route's
	// attempts, and the next attempt does not count as a retry. maxTriedEngines limits this.
	if outcome == NotSent && len(call.triedEngines) < maxTriedEngines {
		return c.retryElsewhere(now, call, failure)
	}
	if !call.mayAttempt() {
		return Next{Rejection: c.reject(failure)}
	}
	if !c.chargeRetry(now, call) {
		failure.Detail += "; the retry budget is spent"
		return Next{Rejection: c.reject(failure)}
	}
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
func (c *Chooser) retryElsewhere(now kernel.Micros, call *Call, failure *Rejection) Next {
	if rejection := c.selectEngine(now, call); rejection != nil {
		failure.Detail += "; " + rejection.Detail
		return Next{Rejection: c.reject(failure)}
	}
	return Next{Attempt: call.Attempt}
}
