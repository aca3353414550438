package router

import (
	"net/http"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// checkRejection is called as a call is about to be rejected.
func (c *Chooser) checkRejection(call *Call, rejection *Rejection) {
	isProven := !call.mayHaveRun || call.Request.Route.IsRepeatable()
	c.invariants.Check(invariant.NotRunIsProven, isProven || !isNotRunStatus(rejection.Status),
		"request %s is refused with %d and may have run", call.Request.ID, rejection.Status)
}

// checkSent is called as the bytes of a call's attempt are about to go out.
func (c *Chooser) checkSent(call *Call) {
	route, request := call.Request.Route, &call.Request
	c.invariants.Check(invariant.RunsOnce, route.IsRepeatable() || !call.mayHaveRun,
		"request %s goes to %s and may have run before", request.ID, call.Attempt.Engine.ID)
	c.invariants.Check(invariant.AttemptsWithinLimit, call.sentAttempts <= call.maxAttempts(),
		"request %s goes to engine %d of %d", request.ID, call.sentAttempts, route.MaxAttempts)
}

// checkLoad compares an engine's outstanding tokens with its attempts.
func (c *Chooser) checkLoad(state *engineState) {
	isBalanced := state.outstandingTokens >= 0 && (len(state.attempts) > 0 || state.outstandingTokens == 0)
	c.invariants.Check(invariant.LoadIsBalanced, isBalanced, "engine %s has %d tokens outstanding of %d attempts",
		state.engine.ID, state.outstandingTokens, len(state.attempts))
}

// checkRetries compares this router's retries of a service with what the fleet may have.
func (c *Chooser) checkRetries(now kernel.Micros, service string) {
	requests, retries := c.budget(service).window(now, c.retry)
	allowed := c.retry.Ratio*float64(requests) + c.retry.Slack
	c.invariants.Check(invariant.RetriesWithinBudget, float64(retries) <= allowed, "service %s got %d retries of %d requests from this router",
		service, retries, requests)
}

// checkAnswer is called as an engine's answer is about to be forwarded.
func (rt *Router) checkAnswer(call *Call, header http.Header) {
	named := header.Get(rt.Wire.RequestID)
	rt.Invariants.Check(invariant.ResponseMatchesRequest, named == "" || named == call.Request.ID, "request %s gets the answer to %s", call.Request.ID, named)
}

// checkEventOrder is called as events go out, with the ids of the last one before and the first of them.
func (rt *Router) checkEventOrder(call *Call, before, first string) {
	rt.Invariants.Check(invariant.EventIDsIncrease, before == "" || first == "" || isAfter(before, first),
		"the stream of request %s goes on with event %q after %q", call.Request.ID, first, before)
}

// unreserve subtracts from the bytes that are reserved for bodies.
func (rt *Router) unreserve(count int64) {
	left := rt.reservedBytes.Add(-count)
	rt.Invariants.Check(invariant.BodiesBalanced, left >= 0, "%d bytes of bodies are held", left)
}
