package checker

// The events that a run is judged by.

import "dunlinloom/internal/kernel"

// Happening says what an event is about.
type Happening string

// What can happen.
const (
	RunBegan      Happening = "run_began"      // an engine began to run a request
	RunRejected   Happening = "run_declined"   // an engine said that it will not run it
	RunOvercrowd  Happening = "run_overcrowd"  // a starting engine got more than it can bear
	CallEnded     Happening = "call_ended"     // a caller knows how its request ended
	ConfigSent    Happening = "spec_sent"      // an operator's configuration went out
	ConfigYes     Happening = "spec_yes"       // and was acknowledged
	ConfigNo      Happening = "spec_no"        // or rejected for good
	ConfigRead    Happening = "spec_read"      // an operator read a configuration back
	ZoneEmptied   Happening = "zone_emptied"   // an drain was acknowledged
	ZoneRefilling Happening = "zone_refilling" // an operator asked for its end
	ZoneRefilled  Happening = "zone_refilled"  // that order has ended, either way
	EngineLeaving Happening = "engine_leaving" // the first node learned that an engine leaves
	NodeStopping  Happening = "node_stopping"  // a planned stop of a node was asked for
	NodeStopped   Happening = "node_stopped"
	NodeKilled    Happening = "node_killed"   // a fault ended it, so a planned stop is none any more
	EngineFailed  Happening = "engine_failed" // a fault struck an engine: it died, went dark or tore a stream
	EngineMended  Happening = "engine_mended" // that fault is over
	RoundSent     Happening = "round_sent"    // a router wrote a request to an engine, or was refused a channel
	FaultStruck   Happening = "fault_struck"  // a fault was caused, for the telling of what was not served
	Repaired      Happening = "repaired"      // every machine is back; Roster says which, and which kinds are asked for
	ConfigCurrent Happening = "spec_current"  // an operator read the configuration in force
	NewestRead    Happening = "newest_read"   // an operator read the newest configuration, asked for at Began
	RepeatYes     Happening = "repeat_yes"    // an acknowledged order was sent again and acknowledged again
	RepeatNo      Happening = "repeat_no"     // an acknowledged order was sent again and rejected
	ZonesRead     Happening = "zones_read"    // an operator read which zones are emptied
	Totals        Happening = "totals"        // the fleet's own counts at the end
)

// Event is one thing that someone outside saw.
type Event struct {
	At   kernel.Micros `json:"at_us"`
	What Happening     `json:"what"`
	// Tag names a caller's request, the same at the caller and at the engines.
	Tag    string `json:"tag,omitempty"`
	Node   string `json:"node,omitempty"`
	Engine string `json:"engine,omitempty"`
	Start  uint64 `json:"start,omitempty"`
	IsKept bool   `json:"kept,omitempty"` // a leaving mark with a reply
	Zone   string `json:"zone,omitempty"`
	Kind   string `json:"kind,omitempty"`
	// Began is when the caller sent its request, or the operator its read.
	Began    kernel.Micros `json:"began_us,omitempty"`
	Outcome  Outcome       `json:"outcome,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	Revision uint64        `json:"generation,omitempty"`
	ID       string        `json:"id,omitempty"`
	// Base is the revision that a configuration builds on, if HasBase.
	HasBase bool   `json:"has_base,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Digest  string `json:"digest,omitempty"`
	First   uint64 `json:"first,omitempty"`
	Retries uint64 `json:"retries,omitempty"`
	// Pool is the engine's; Pools are those that a configuration lets requests go to.
	Pool  string   `json:"pool,omitempty"`
	Pools []string `json:"pools,omitempty"`
	Zones []string `json:"zones,omitempty"` // the emptied ones, as read
	// Roster names the nodes that have to serve after a repair, Kinds what they are asked for.
	Roster []string `json:"roster,omitempty"`
	Kinds  []string `json:"kinds,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes a caller can see.
const (
	Served     Outcome = "served"       // whole, to the closing mark, every byte the engine's
	EngineSays Outcome = "engine_says"  // the engine's own error, byte for byte
	NotRun     Outcome = "not_run"      // rejected with that promise
	MayHaveRun Outcome = "may_have_run" // rejected without it
	Torn       Outcome = "torn"         // broken off, and seen to be
	Wrong      Outcome = "wrong"        // bytes that are not the engine's, or of two runs
	FalseEnd   Outcome = "false_end"    // ended as if complete when it was not
	NoAck      Outcome = "no_receipt"   // the channel closed without any answer
	Unreached  Outcome = "unreached"    // no channel could be opened
	HungUp     Outcome = "hung_up"      // the caller itself left
)
