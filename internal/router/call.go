package router

import (
	"dunlinloom/internal/kernel"
)

// Refusal is the final answer to a request that no engine's answer ends.
type Refusal struct {
	Reason     string // a word for programs
	Detail     string // a sentence for people
	Status     int
	RetryAfter kernel.Micros // when to come back; zero: no use
}

// Reasons of refusals for what this router does not know and another one may.
const (
	reasonUnsureRoute = "unsure_route"
	reasonUnsureKey   = "unsure_key"
	reasonUnsureQuota = "unsure_quota"
)

// isOurs tells that the refusal is for what this router alone does not know.
func (r *Refusal) isOurs() bool {
	return r.Reason == reasonUnsureRoute || r.Reason == reasonUnsureKey || r.Reason == reasonUnsureQuota
}

func (r *Refusal) Error() string { return r.Reason + ": " + r.Detail }

// Attempt is one request at one engine.
type Attempt struct {
	Engine  Engine
	Number  int
	Why     string
	started kernel.Micros
	left    int64 // outstanding tokens still counted
	prompt  int64
	ahead   float64 // tokens to be read on the engine when it was sent, the own ones included
	hasHead bool
	isOver  bool
}

// Call is the state of one request.
type Call struct {
	Request Request
	Attempt *Attempt
	sent    int // attempts of which bytes may have reached an engine
	// isBound tells that a part of an answer went out which only the same engine can end.
	isBound bool
	tried   map[string]bool
	prefix  uint64
	// isCounted tells that the retry budget knows of the request. Bytes that did not go out
	// after all take back an attempt, not the request.
	isCounted bool
	isPaid    bool // the budget has been charged for the next attempt
	// mayHaveRun tells that an attempt ended without proof that its engine did not run it.
	mayHaveRun bool
	ends       []attemptEnd // of the attempts that did not serve it
}

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	Served     Ending = iota // the whole answer was read
	NotSent                  // not one byte was written
	SaidNotRun               // the engine said that it did not run it
	Moved                    // another engine has the address
	Silent                   // the engine showed no sign of life in time
	Lost                     // after bytes were written, without the engine's word
	CallerGone               // the caller hung up
	Failed                   // the engine's own failure, whole
)

func (e Ending) String() string {
	return [...]string{"served", "not sent", "said not run", "moved", "silent", "lost", "caller gone", "failed"}[e]
}

// isProven tells that the engine has not run and will not run the request.
func (e Ending) isProven() bool { return e == NotSent || e == SaidNotRun || e == Moved }
