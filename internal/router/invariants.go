package router

import (
	"net/http"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// isPromise tells that a status says to a caller that its request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkPromise takes that a call is about to be refused.
func (c *Chooser) checkPromise(call *Call, refusal *Refusal) {
	isProven := !call.mayHaveRun || call.Request.Route.IsRepeatable()
	c.invariants.Check(invariant.PromiseIsProven, isProven || !isPromise(refusal.Status),
		"request %s is refused with %d and may have run", call.Request.ID, refusal.Status)
}

// checkSent takes that the bytes of a call's attempt are about to go out.
func (c *Chooser) checkSent(call *Call) {
	route, request := call.Request.Route, &call.Request
	c.invariants.Check(invariant.RunsOnce, route.IsRepeatable() || !call.mayHaveRun,
		"request %s goes to %s and may have run before", request.ID, call.Attempt.Engine.ID)
	c.invariants.Check(invariant.TriesHold, call.sent <= max(route.Tries, 1),
		"request %s goes to engine %d of %d", request.ID, call.sent, route.Tries)
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
	u.Invariants.Check(invariant.AnswerIsOurs, named == "" || named == call.Request.ID, "request %s gets the answer to %s", call.Request.ID, named)
}

// checkRise takes that events go out, the first of which follows one that went out before.
func (u *Router) checkRise(call *Call, before, first string) {
	u.Invariants.Check(invariant.EventsRise, before == "" || first == "" || isAfter(before, first),
		"the stream of request %s goes on with event %q after %q", call.Request.ID, first, before)
}

// giveBack takes bytes of bodies off what is held.
func (u *Router) giveBack(count int64) {
	left := u.held.Add(-count)
	u.Invariants.Check(invariant.BodiesBalanced, left >= 0, "%d bytes of bodies are held", left)
}
