package relay

import "dunlinloom/internal/kernel"

// RunState says whether an engine may have started on a request.
type RunState string

// What a rejection can promise. NotRun is final: nothing will run the request later.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// The reasons of rejections, which callers and operators read.
const (
	reasonBadRequest     = "bad_request"
	reasonTooLarge       = "too_large"
	reasonOverloaded     = "crowded"
	reasonShutdown       = "stopping"
	reasonNoLease        = "no_licence"
	reasonUnknownBinding = "unknown_binding"
	reasonNoEngine       = "no_engine"
	reasonSlowStart      = "ramping"
	reasonLate           = "late"
	reasonEngineLost     = "engine_lost"
	reasonEnginesFailed  = "engines_failed"
	reasonRetryBudget    = "retry_budget"
)

// defaultRetryAfter is when a caller may come back if nothing better is known.
const defaultRetryAfter = kernel.Second

// Rejection is the final answer to a request that is not served. It is an answer and no error: a nil
// *Rejection means that there is none.
type Rejection struct {
	Reason     string // one word, for programs
	Detail     string // one sentence, for people
	Status     int    // the HTTP status
	Run        RunState
	RetryAfter kernel.Micros // when to come back; zero: coming back is of no use
}

func newRejection(reason, detail string, status int, run RunState, retryAfter kernel.Micros) *Rejection {
	return &Rejection{Reason: reason, Detail: detail, Status: status, Run: run, RetryAfter: retryAfter}
}
