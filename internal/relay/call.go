package relay

import "dunlinloom/internal/kernel"

// Request has the properties of a caller's request that the policy uses.
type Request struct {
	ID           string
	Kind, Model  string   // select the binding
	Prefix       []uint32 // first tokens of the prompt, at least as many as Policy.PrefixLength if it has so many
	PromptTokens int
	MaxTokens    int // the output budget, in tokens
}

// Attempt is one attempt to serve a request on one engine. It counts towards the engine's load from the selection of
// the engine, before a connection is opened, until Dispatcher.CloseAttempt.
type Attempt struct {
	Number  int // from 1
	Engine  Engine
	Binding string
	// Revision is the revision of the configuration under which the engine was selected.
	Revision          uint64
	openedAt          kernel.Micros
	load              float64 // the engine's load in tokens when the attempt was opened, including this prompt
	outstandingTokens int64   // tokens of this attempt that still count towards the engine's load
	promptTokens      int64
	hasFirstToken     bool
	isClosed          bool
}

// Call is the dispatcher's state of one request. It belongs to the goroutine that serves the request.
type Call struct {
	Request      Request
	Attempt      *Attempt // the latest attempt
	triedEngines map[string]bool
	attempts     int
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt. After NotSent, Canceled and RejectedByEngine the request provably has not run, so it may
// be retried.
const (
	Served             Outcome = iota // the whole response was relayed
	NotSent                           // no byte was written to the engine
	Canceled                          // the dispatcher canceled the attempt before a byte was written
	RejectedByEngine                  // the engine declared that it did not run the request
	ConnectionLost                    // the connection failed after bytes were written; the request may have run
	CallerDisconnected                // the caller closed its connection
)

// String returns the outcome as it is written to the journal.
func (o Outcome) String() string {
	return [...]string{"served", "not sent", "withdrawn", "engine said not run", "lost", "caller gone"}[o]
}
