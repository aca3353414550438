package router

import (
	"net/http"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// checkRejection checks that a rejection whose status promises that the request did not run is true. Repeatable
// requests are exempt, since running them twice does no harm.
func (c *Chooser) checkRejection(call *Call, rejection *Rejection) {
	isProven := !call.mayHaveRun || call.Request.Route.IsRepeatable()
	c.invariants.Check(invariant.NotRunIsProven, isProven || !isNotRunStatus(rejection.Status),
		"request %s is rejected with status %d and may have run", call.Request.ID, rejection.Status)
}

// checkSent checks before an attempt's bytes are written that the request may run on no more engines than its route
// allows, and that a request that may run only once has not run before.
func (c *Chooser) checkSent(attempt *Attempt) {
	call := attempt.call
	route, request := call.Request.Route, &call.Request
	c.invariants.Check(invariant.RunsOnce, route.IsRepeatable() || !call.mayHaveRun,
		"request %s is sent to %s and may have run before", request.ID, attempt.Engine.ID)
	mayRun := call.sentAttempts - call.rejectedAttempts
	c.invariants.Check(invariant.AttemptsWithinLimit, mayRun <= call.maxAttempts(),
		"request %s may run on %d engines, above the limit of %d", request.ID, mayRun, route.MaxAttempts)
}

// checkLoad checks that an engine's outstanding tokens are not negative, and zero if it has no attempts.
func (c *Chooser) checkLoad(state *engineState) {
	isBalanced := state.outstandingTokens >= 0 && (len(state.attempts) > 0 || state.outstandingTokens == 0)
	c.invariants.Check(invariant.LoadIsBalanced, isBalanced, "engine %s has %d tokens outstanding of %d attempts",
		state.engine.ID, state.outstandingTokens, len(state.attempts))
}

// checkRetries compares this router's retries of a service with an upper limit of its part of the budget: Ratio times
// its own requests, plus the slack of the whole fleet.
func (c *Chooser) checkRetries(now kernel.Micros, service string) {
	requests, retries := c.budget(service).window(now, c.retry)
	allowed := c.retry.Ratio*float64(requests) + c.retry.Slack
	c.invariants.Check(invariant.RetriesWithinBudget, float64(retries) <= allowed, "service %s got %d retries for %d requests from this router",
		service, retries, requests)
}

// checkResponse checks before a response is forwarded that it does not have the ID of another request.
func (rt *Router) checkResponse(call *Call, header http.Header) {
	responseID := header.Get(rt.Wire.RequestID)
	rt.Invariants.Check(invariant.ResponseMatchesRequest, responseID == "" || responseID == call.Request.ID, "request %s gets the response to request %s", call.Request.ID, responseID)
}

// checkEventOrder checks the IDs of events before they are forwarded. before is the ID of the last event sent, and
// first is the first ID of the next events.
func (rt *Router) checkEventOrder(call *Call, before, first string) {
	rt.Invariants.Check(invariant.EventIDsIncrease, before == "" || first == "" || isAfter(before, first),
		"the stream of request %s continues with event %q after event %q", call.Request.ID, first, before)
}

// unreserve subtracts from the bytes reserved for bodies, and checks that they do not become negative.
func (rt *Router) unreserve(count int64) {
	remaining := rt.reservedBytes.Add(-count)
	rt.Invariants.Check(invariant.BodiesBalanced, remaining >= 0, "%d bytes are reserved for bodies", remaining)
}
