package router

import (
	"net/http"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// isNotRunStatus tells that a status says to a caller that its request has not run and never will.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRejection takes that a call is about to be refused.
func (c *Chooser) checkRejection(call *Call, rejection *Rejection) {
	isProven := !call.mayHaveRun || call.Request.Route.IsRepeatable()
	c.invariants.Check(invariant.NotRunIsProven, isProven || !isNotRunStatus(rejection.Status),
		"request %s is refused with %d and may have run", call.Request.ID, rejection.Status)
}

// checkSent takes that the bytes of a call's attempt are about to go out.
func (c *Chooser) checkSent(call *Call) {
	route, request := call.Request.Route, &call.Request
	c.invariants.Check(invariant.RunsOnce, route.IsRepeatable() || !call.mayHaveRun,
		"request %s goes to %s and may have run before", request.ID, call.Attempt.Engine.ID)
	c.invariants.Check(invariant.AttemptsWithinLimit, call.sentAttempts <= max(route.MaxAttempts, 1),
		"request %s goes to engine %d of %d", request.ID, call.sentAttempts, route.MaxAttempts)
}

// checkLoad holds an engine's outstanding tokens against its attempts.
func (c *Chooser) checkLoad(state *engineState) {
	isBalanced := state.tokens >= 0 && (len(state.attempts) > 0 || state.tokens == 0)
	c.invariants.Check(invariant.LoadIsBalanced, isBalanced, "engine %s has %d tokens outstanding of %d attempts",
		state.engine.ID, state.tokens, len(state.attempts))
}

// checkRetries holds this router's retries of a service against what the whole fleet may have.
func (c *Chooser) checkRetries(now kernel.Micros, service string) {
	firsts, extras := c.budget(service).window(now, c.retry)
	allowed := c.retry.Ratio*float64(firsts) + c.retry.Slack
	c.invariants.Check(invariant.RetriesWithinBudget, float64(extras) <= allowed, "service %s got %d retries of %d requests from this router",
		service, extras, firsts)
}

// checkAnswer takes that an engine's answer is about to be relayed.
func (u *Router) checkAnswer(call *Call, header http.Header) {
	named := header.Get(u.Wire.RequestID)
	u.Invariants.Check(invariant.ResponseMatchesRequest, named == "" || named == call.Request.ID, "request %s gets the answer to %s", call.Request.ID, named)
}

// checkEventOrder takes that events go out, the first of which follows one that went out before.
func (u *Router) checkEventOrder(call *Call, before, first string) {
	u.Invariants.Check(invariant.EventIDsIncrease, before == "" || first == "" || isAfter(before, first),
		"the stream of request %s goes on with event %q after %q", call.Request.ID, first, before)
}

// unreserve takes bytes of bodies off what is held.
func (u *Router) unreserve(count int64) {
	left := u.reservedBytes.Add(-count)
	u.Invariants.Check(invariant.BodiesBalanced, left >= 0, "%d bytes of bodies are held", left)
}
