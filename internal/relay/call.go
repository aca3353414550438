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

// Round is one try at one engine.
type Round struct {
	Number  int
	Engine  Engine
	Binding string
	// Revision is the configuration's under which the round was picked.
	Revision uint64
	opened   kernel.Micros
	load     float64 // of the engine when the round was opened, the request included
	placed   int64   // tokens still on the ledger
	prompt   int64
	isFirst  bool // the first token has come
	isOver   bool
}

// Call is the request owner's state of one request.
type Call struct {
	Request Request
	Round   *Round
	tried   map[string]bool
	rounds  int
}

// Ending is how a round ended.
type Ending int

// The endings of a round.
const (
	Served     Ending = iota // to its closing mark
	NotSent                  // not one byte was written to the engine
	Withdrawn                // the round was called off before a byte was written
	SaidNotRun               // the engine said that it did not run it
	Lost                     // after bytes were written, without the engine's word
	CallerGone               // the caller hung up
)

func (e Ending) String() string {
	return [...]string{"served", "not sent", "withdrawn", "engine said not run", "lost", "caller gone"}[e]
}
