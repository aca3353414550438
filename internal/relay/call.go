package relay

import "dunlinloom/internal/kernel"

// Request is what the policy needs to know of a request.
type Request struct {
	ID           string
	Kind, Model  string   // what a binding is found by
	Prefix       []uint32 // at least as many tokens as any prefix length asks for, or all
	PromptTokens int
	MaxTokens    int // the output budget, in tokens
}

// Attempt is one try of a request at one engine.
type Attempt struct {
	Number  int // from 1
	Engine  Engine
	Binding string
	// Revision is that of the configuration under which the engine was chosen.
	Revision          uint64
	openedAt          kernel.Micros
	load              float64 // the engine's, in tokens, when the attempt was opened, the prompt included
	outstandingTokens int64   // tokens still in the ledger
	promptTokens      int64
	hasFirstToken     bool
	isClosed          bool
}

// Call is the dispatcher's state of one request. It belongs to the goroutine that serves the request.
type Call struct {
	Request      Request
	Attempt      *Attempt // the newest one
	triedEngines map[string]bool
	attempts     int
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served             Outcome = iota // the answer was passed on to its end
	NotSent                           // not one byte was written to the engine
	Canceled                          // the dispatcher withdrew the attempt before a byte was written
	RejectedByEngine                  // the engine said that it did not run the request
	ConnectionLost                    // after bytes were written, without a statement of the engine
	CallerDisconnected                // the caller closed its connection
)

// String gives the outcome as the journal has it.
func (o Outcome) String() string {
	return [...]string{"served", "not sent", "withdrawn", "engine said not run", "lost", "caller gone"}[o]
}
