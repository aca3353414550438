package checker

// The events that a run is judged by.

import "dunlinloom/internal/kernel"

// EventKind says what an event is about.
type EventKind string

// The kinds of events.
const (
	RunStarted      EventKind = "run_began"      // an engine began to run a request
	RunRejected     EventKind = "run_declined"   // an engine answered that it will not run it
	RunOverloaded   EventKind = "run_overcrowd"  // a starting engine got more than its limit
	CallEnded       EventKind = "call_ended"     // a caller knows how its request ended
	ConfigSent      EventKind = "spec_sent"      // an operator's configuration went out
	ConfigAccepted  EventKind = "spec_yes"       // and was acknowledged
	ConfigRejected  EventKind = "spec_no"        // or rejected for good
	ConfigRead      EventKind = "spec_read"      // an operator read a configuration back
	ZoneDrained     EventKind = "zone_emptied"   // a drain was acknowledged
	ZoneUndraining  EventKind = "zone_refilling" // an operator requested its end
	ZoneUndrained   EventKind = "zone_refilled"  // that operation has ended, either way
	EngineDraining  EventKind = "engine_leaving" // the first node learned that an engine drains
	NodeStopping    EventKind = "node_stopping"  // a planned stop of a node was requested
	NodeStopped     EventKind = "node_stopped"
	NodeKilled      EventKind = "node_killed"   // a fault ended it, so that a planned stop no longer counts
	EngineFailed    EventKind = "engine_failed" // a fault struck an engine: it crashed, became unresponsive or broke off a stream
	EngineRecovered EventKind = "engine_mended" // that fault is over
	AttemptSent     EventKind = "round_sent"    // a router wrote a request to an engine, or could not connect
	FaultInjected   EventKind = "fault_struck"  // a fault was injected, for Report.Unserved
	Repaired        EventKind = "repaired"      // every machine is back; Roster says which, and which kinds are requested
	ConfigCurrent   EventKind = "spec_current"  // an operator read the configuration in force
	NewestRead      EventKind = "newest_read"   // an operator read the newest configuration, requested at StartedAt
	RepeatAccepted  EventKind = "repeat_yes"    // an acknowledged operation was sent again and acknowledged again
	RepeatRejected  EventKind = "repeat_no"     // an acknowledged operation was sent again and rejected
	ZonesRead       EventKind = "zones_read"    // an operator read which zones are drained
	Totals          EventKind = "totals"        // the fleet's own counts at the end
)

// Event is one thing that was observed from outside.
type Event struct {
	At        kernel.Micros `json:"at_us"`
	EventKind EventKind     `json:"what"`
	// Tag names a caller's request, the same at the caller and at the engines.
	Tag            string `json:"tag,omitempty"`
	Node           string `json:"node,omitempty"`
	Engine         string `json:"engine,omitempty"`
	Start          uint64 `json:"start,omitempty"`
	IsAcknowledged bool   `json:"kept,omitempty"` // a draining mark that was answered
	Zone           string `json:"zone,omitempty"`
	Kind           string `json:"kind,omitempty"`
	// StartedAt is when the caller sent its request, or the operator its read.
	StartedAt kernel.Micros `json:"began_us,omitempty"`
	FirstAt   kernel.Micros `json:"first_at_us,omitempty"` // when the first byte of the body came
	Outcome   Outcome       `json:"outcome,omitempty"`
	Reason    string        `json:"reason,omitempty"`
	Revision  uint64        `json:"generation,omitempty"`
	ID        string        `json:"id,omitempty"`
	// Base is the revision that a configuration builds on, if HasBase.
	HasBase bool   `json:"has_base,omitempty"`
	Base    uint64 `json:"base,omitempty"`
	Digest  string `json:"digest,omitempty"`
	First   uint64 `json:"first,omitempty"`
	Retries uint64 `json:"retries,omitempty"`
	// Pool is the engine's; Pools are those that a configuration lets requests go to.
	Pool  string   `json:"pool,omitempty"`
	Pools []string `json:"pools,omitempty"`
	Zones []string `json:"zones,omitempty"` // the drained ones, as read
	// Roster names the nodes that have to serve after a repair, Kinds the kinds of requests that they get.
	Roster []string `json:"roster,omitempty"`
	Kinds  []string `json:"kinds,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes a caller can see.
const (
	Served      Outcome = "served"       // complete, to the closing mark, every byte the engine's
	EngineError Outcome = "engine_says"  // the engine's own error, byte for byte
	NotRun      Outcome = "not_run"      // rejected with that promise
	MayHaveRun  Outcome = "may_have_run" // rejected without it
	Truncated   Outcome = "torn"         // broken off, and recognizably so
	Corrupted   Outcome = "wrong"        // bytes that are not the engine's, or of two runs
	FalseEnd    Outcome = "false_end"    // ended as if complete when it was not
	NoResponse  Outcome = "no_receipt"   // the connection closed without any answer
	Unreached   Outcome = "unreached"    // no connection could be opened
	Abandoned   Outcome = "hung_up"      // the caller itself canceled
)
