package router

import (
	"dunlinloom/internal/kernel"
)

// Attempt is one attempt of a call at one engine. Number counts from 1.
type Attempt struct {
	Engine          Engine
	Number          int
	Reason          string
	sequence        uint64 // orders all attempts of a Chooser
	startedAt       kernel.Micros
	remainingTokens int64 // outstanding tokens that still count towards the engine's load
	promptTokens    int64
	queuedTokens    float64 // prompt tokens queued at the engine when the attempt started, its own included
	hasHead         bool
	isClosed        bool
}

// isBefore reports whether an attempt started before another one.
func (a *Attempt) isBefore(other *Attempt) bool { return a.sequence < other.sequence }

// Call is the state of one request. Only the goroutine that serves the request passes it to the Chooser, except for
// MayAbandon.
type Call struct {
	Request      Request
	Attempt      *Attempt
	number       uint64 // in order of admission at its Chooser
	sentAttempts int    // attempts of which bytes may have reached an engine
	// isBoundToEngine is set once the caller was sent a part of an answer that only the same engine can complete.
	isBoundToEngine bool
	triedEngines    map[string]bool
	prefix          uint64
	// isCounted is set once the retry budget has counted the request. Unsent does not reset it, so that a request
	// counts only once.
	isCounted      bool
	isRetryCharged bool // the next attempt has already been charged to the retry budget
	// mayHaveRun is set once an attempt has ended without proof that its engine did not run the request.
	mayHaveRun     bool
	failedAttempts []failedAttempt // attempts that did not serve the request
}

// maxAttempts is the number of engines to which the request may be sent: MaxAttempts of its route, but at least one.
func (c *Call) maxAttempts() int { return max(c.Request.Route.MaxAttempts, 1) }

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts. Served and Failed end the call with the engine's response. CallerDisconnected, Withheld and
// RouterStopped end it as well; after the other outcomes another attempt may follow. Metrics and journals use the names
// that String returns.
const (
	Served             Outcome = iota // the response was read to its end
	NotSent                           // no byte was written
	RejectedByEngine                  // the engine stated that it did not run the request
	AddressReused                     // another engine now has the address
	Unresponsive                      // the engine sent nothing before the timeout
	ConnectionLost                    // bytes were written, and nothing proves that the request did not run
	CallerDisconnected                // the caller closed its connection
	Failed                            // the engine reported a failure in a complete response
	Withheld                          // this router may not send to any engine now
	RouterStopped                     // this router stopped during the attempt
)

func (o Outcome) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed", "withheld", "router stopped"}[o]
}

// isProvenNotRun reports whether the engine provably has not run the request and will not run it.
func (o Outcome) isProvenNotRun() bool {
	return o == NotSent || o == RejectedByEngine || o == AddressReused || o == Withheld
}
