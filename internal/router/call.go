package router

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// Attempt is one attempt of a call at one engine. Number counts from 1. The unexported fields are guarded by the
// Chooser's lock.
type Attempt struct {
	Engine          Engine
	Number          int
	Reason          string
	call            *Call
	sequence        uint64 // orders all attempts of a Chooser
	startedAt       kernel.Micros
	remainingTokens int64 // outstanding tokens that still count towards the engine's load
	promptTokens    int64
	queuedTokens    float64 // prompt tokens queued at the engine when the attempt started, its own included
	hasHead         bool
	isSent          bool // bytes may have reached the engine
	isRepeat        bool // bytes of an earlier attempt may have reached an engine when it was sent
	isCharged       bool // the retry budget was charged for the attempt
	isClosed        bool
}

// isBefore reports whether an attempt started before another one.
func (a *Attempt) isBefore(other *Attempt) bool { return a.sequence < other.sequence }

// Call is the state of one request. Its fields, but for Request and Attempt, are guarded by the Chooser's lock.
type Call struct {
	Request  Request
	Attempt  *Attempt // the newest one
	number   uint64   // in order of admission at its Chooser
	attempts []*Attempt
	// sentAttempts counts the attempts of which bytes may have reached an engine, and rejectedAttempts those of them that
	// provably did not run the request.
	sentAttempts, rejectedAttempts int
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
	hasEnded       bool            // with a response, or because the caller has disconnected
	failedAttempts []failedAttempt // attempts that did not serve the request
}

// maxAttempts is the number of engines to which the request may be sent: MaxAttempts of its route, but at least one.
func (c *Call) maxAttempts() int { return max(c.Request.Route.MaxAttempts, 1) }

// newestOpenAttempt returns the newest attempt in progress, or nil.
func (c *Call) newestOpenAttempt() *Attempt {
	for _, attempt := range slices.Backward(c.attempts) {
		if !attempt.isClosed {
			return attempt
		}
	}
	return nil
}

// maxTriedEngines limits the engines that are tried for a request beyond its route's attempts, since some of them
// provably did not run it.
const maxTriedEngines = 6

// mayAttempt reports whether the limit of the route's attempts allows another one. A request that may have run can't be
// refused any more, so then an engine that rejected it does not count.
func (c *Call) mayAttempt() bool {
	isOpen := func(attempt *Attempt) bool { return attempt.isSent && !attempt.isClosed }
	if c.mayHaveRun || slices.ContainsFunc(c.attempts, isOpen) {
		return c.sentAttempts-c.rejectedAttempts < c.maxAttempts() && len(c.triedEngines) < maxTriedEngines
	}
	return c.sentAttempts < c.maxAttempts()
}

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
	Superseded                        // the caller gets the response of another attempt
)

func (o Outcome) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed", "withheld", "router stopped", "superseded"}[o]
}

// isProvenNotRun reports whether the engine provably has not run the request and will not run it.
func (o Outcome) isProvenNotRun() bool {
	return o == NotSent || o == RejectedByEngine || o == AddressReused || o == Withheld
}
