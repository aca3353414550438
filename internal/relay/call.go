package relay

import (
	"fmt"

	"dunlinloom/internal/kernel"
)

// RunState says whether an engine may have started on a request.
type RunState string

// What a decline can promise. NotRun is final: nothing will run it later.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// Rejection is the final answer to a request that is not served.
type Rejection struct {
	Reason     string // a word for programs
	Detail     string // a sentence for people
	Status     int
	Run        RunState
	RetryAfter kernel.Micros // when to come back; zero: no use
}

func (d *Rejection) Error() string { return fmt.Sprintf("%s: %s (%s)", d.Reason, d.Detail, d.Run) }

// Request is what the policy needs to know of a request.
type Request struct {
	ID           string
	Kind, Model  string
	Prefix       []uint32 // at least as many tokens as any prefix length asks for, or all
	PromptTokens int
	MaxTokens    int
}

// Attempt is one try at one engine.
type Attempt struct {
	Number  int
	Engine  Engine
	Binding string
	// Revision is the configuration's under which the round was picked.
	Revision          uint64
	openedAt          kernel.Micros
	load              float64 // of the engine when the round was opened, the request included
	outstandingTokens int64   // tokens still on the ledger
	promptTokens      int64
	hasFirstToken     bool // the first token has come
	isClosed          bool
}

// Call is the request owner's state of one request.
type Call struct {
	Request      Request
	Attempt      *Attempt
	triedEngines map[string]bool
	attempts     int
}

// Outcome is how a round ended.
type Outcome int

// The endings of a round.
const (
	Served             Outcome = iota // to its closing mark
	NotSent                           // not one byte was written to the engine
	Canceled                          // the round was called off before a byte was written
	RejectedByEngine                  // the engine said that it did not run it
	ConnectionLost                    // after bytes were written, without the engine's word
	CallerDisconnected                // the caller hung up
)

func (e Outcome) String() string {
	return [...]string{"served", "not sent", "withdrawn", "engine said not run", "lost", "caller gone"}[e]
}
