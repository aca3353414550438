package router

import (
	"dunlinloom/internal/kernel"
)

// Rejection is the final answer to a request that no engine's answer ends.
type Rejection struct {
	Reason     string // a word for programs
	Detail     string // a sentence for people
	Status     int
	RetryAfter kernel.Micros // when to come back; zero: no use
}

// Reasons of refusals for what this router does not know and another one may.
const (
	reasonUnconfirmedRoute = "unsure_route"
	reasonUnconfirmedKey   = "unsure_key"
	reasonUnconfirmedQuota = "unsure_quota"
)

// isLocalOnly tells that the refusal is for what this router alone does not know.
func (r *Rejection) isLocalOnly() bool {
	return r.Reason == reasonUnconfirmedRoute || r.Reason == reasonUnconfirmedKey || r.Reason == reasonUnconfirmedQuota
}

func (r *Rejection) Error() string { return r.Reason + ": " + r.Detail }

// Attempt is one request at one engine.
type Attempt struct {
	Engine          Engine
	Number          int
	Reason          string
	startedAt       kernel.Micros
	remainingTokens int64 // outstanding tokens still counted
	promptTokens    int64
	queuedTokens    float64 // tokens to be read on the engine when it was sent, the own ones included
	hasHead         bool
	isClosed        bool
}

// Call is the state of one request.
type Call struct {
	Request      Request
	Attempt      *Attempt
	sentAttempts int // attempts of which bytes may have reached an engine
	// isBoundToEngine tells that a part of an answer went out which only the same engine can end.
	isBoundToEngine bool
	triedEngines    map[string]bool
	prefix          uint64
	// isCounted tells that the retry budget knows of the request. Bytes that did not go out
	// after all take back an attempt, not the request.
	isCounted      bool
	isRetryCharged bool // the budget has been charged for the next attempt
	// mayHaveRun tells that an attempt ended without proof that its engine did not run it.
	mayHaveRun     bool
	failedAttempts []failedAttempt // of the attempts that did not serve it
}

// Outcome is how an attempt ended.
type Outcome int

// The endings of an attempt.
const (
	Served             Outcome = iota // the whole answer was read
	NotSent                           // not one byte was written
	RejectedByEngine                  // the engine said that it did not run it
	AddressReused                     // another engine has the address
	Unresponsive                      // the engine showed no sign of life in time
	ConnectionLost                    // after bytes were written, without the engine's word
	CallerDisconnected                // the caller hung up
	Failed                            // the engine's own failure, whole
)

func (e Outcome) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed"}[e]
}

// isProvenNotRun tells that the engine has not run and will not run the request.
func (e Outcome) isProvenNotRun() bool {
	return e == NotSent || e == RejectedByEngine || e == AddressReused
}
