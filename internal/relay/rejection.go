package relay

import "dunlinloom/internal/kernel"

// RunState says whether an engine may have started on a request.
type RunState string

// The run states of a rejection. NotRun is final: the request will not run later either.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// The reasons of rejections, as callers and operators see them.
const (
	reasonBadRequest     = "bad_request"
	reasonTooLarge       = "too_large"
	reasonOverloaded     = "crowded"
	reasonShutdown       = "stopping"
	reasonNoLease        = "no_licence"
	reasonUnknownBinding = "unknown_binding"
	reasonNoEngine       = "no_engine"
	reasonSlowStart      = "ramping"
	reasonTTFTLimit      = "late"
	reasonEngineLost     = "engine_lost"
	reasonEnginesFailed  = "engines_failed"
	reasonRetryBudget    = "retry_budget"
)

// defaultRetryAfter is the Retry-After of rejections for which no better estimate is known.
const defaultRetryAfter = kernel.Second

// Rejection is the final response to a request that is not served. It does not implement error; a nil
// *Rejection means that the request was not rejected.
type Rejection struct {
	Reason     string // one word, for programs
	Detail     string // one sentence, for people
	Status     int    // the HTTP status
	Run        RunState
	RetryAfter kernel.Micros // when the caller may retry; zero: a retry would fail again or might run twice
}

func newRejection(reason, detail string, status int, run RunState, retryAfter kernel.Micros) *Rejection {
	return &Rejection{Reason: reason, Detail: detail, Status: status, Run: run, RetryAfter: retryAfter}
}
