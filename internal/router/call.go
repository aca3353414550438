package router

import (
	"dunlinloom/internal/kernel"
)

// Attempt is one request at one engine; Number counts from 1.
type Attempt struct {
	Engine          Engine
	Number          int
	Reason          string
	sequence        uint64 // of all attempts of its Chooser
	startedAt       kernel.Micros
	remainingTokens int64 // outstanding tokens still counted
	promptTokens    int64
	queuedTokens    float64 // tokens to be read on the engine when it was sent, the own ones included
	hasHead         bool
	isClosed        bool
}

// isBefore reports whether an attempt began before another one.
func (a *Attempt) isBefore(other *Attempt) bool { return a.sequence < other.sequence }

// Call is the state of one request. But for MayAbandon, its owner's goroutine alone hands it to the Chooser.
type Call struct {
	Request      Request
	Attempt      *Attempt
	number       uint64 // by the order of admissions at its Chooser
	sentAttempts int    // attempts of which bytes may have reached an engine
	// isBoundToEngine: a part of an answer went out which only the same engine can complete.
	isBoundToEngine bool
	triedEngines    map[string]bool
	prefix          uint64
	// isCounted: the retry budget has counted the request. Unsent takes back an attempt, not the
	// request.
	isCounted      bool
	isRetryCharged bool // the budget has been charged for the next attempt
	// mayHaveRun: an attempt ended without proof that its engine did not run it.
	mayHaveRun     bool
	failedAttempts []failedAttempt // of the attempts that did not serve it
}

// maxAttempts is on how many engines a call may run.
func (c *Call) maxAttempts() int { return max(c.Request.Route.MaxAttempts, 1) }

// Outcome is how an attempt ended.
type Outcome int

// The endings of an attempt.
const (
	Served             Outcome = iota // the answer was read to its end
	NotSent                           // not one byte was written
	RejectedByEngine                  // the engine stated that it did not run it
	AddressReused                     // another engine has the address
	Unresponsive                      // the engine sent nothing in time
	ConnectionLost                    // after bytes were written, without a proof that nothing ran
	CallerDisconnected                // the caller hung up
	Failed                            // the engine's own failure, a complete answer
	Withheld                          // this router may not send now, to whichever engine
)

func (o Outcome) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed", "withheld"}[o]
}

// isProvenNotRun reports whether the engine has not run and will not run the request.
func (o Outcome) isProvenNotRun() bool {
	return o == NotSent || o == RejectedByEngine || o == AddressReused || o == Withheld
}
