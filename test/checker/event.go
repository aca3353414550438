package checker

// The events that Check evaluates.

import "dunlinloom/internal/kernel"

// EventKind is what an event reports.
type EventKind string

// The kinds of events.
const (
	RunStarted      EventKind = "run_began"      // an engine began to run a request
	RunRejected     EventKind = "run_declined"   // an engine answered that it will not run a request
	RunOverloaded   EventKind = "run_overcrowd"  // an engine in slow start got more requests than its limit
	CallEnded       EventKind = "call_ended"     // a request ended for its caller
	ConfigSent      EventKind = "spec_sent"      // an operator sent a configuration
	ConfigAccepted  EventKind = "spec_yes"       // a configuration was acknowledged
	ConfigRejected  EventKind = "spec_no"        // a configuration was rejected permanently
	ConfigRead      EventKind = "spec_read"      // an operator read a configuration back
	ZoneDrained     EventKind = "zone_emptied"   // the drain of a zone was acknowledged
	ZoneUndraining  EventKind = "zone_refilling" // an operator requested the end of a drain
	ZoneUndrained   EventKind = "zone_refilled"  // that operation ended, with or without success
	EngineDraining  EventKind = "engine_leaving" // the first node learned that an engine is draining
	NodeStopping    EventKind = "node_stopping"  // a planned stop of a node was requested
	NodeStopped     EventKind = "node_stopped"
	NodeKilled      EventKind = "node_killed"   // a fault ended a node, which supersedes a planned stop
	EngineFailed    EventKind = "engine_failed" // a fault hit an engine: it crashed, became unresponsive or broke off a stream
	EngineRecovered EventKind = "engine_mended" // that fault is over
	AttemptSent     EventKind = "round_sent"    // a router wrote a request to an engine, or could not connect
	FaultInjected   EventKind = "fault_struck"  // a fault was injected, for Report.Unserved
	Repaired        EventKind = "repaired"      // all machines are back; see Roster and Kinds
	ConfigCurrent   EventKind = "spec_current"  // an operator read the configuration in force
	NewestRead      EventKind = "newest_read"   // an operator read the newest configuration, requested at StartedAt
	RepeatAccepted  EventKind = "repeat_yes"    // an acknowledged operation was sent again and acknowledged again
	RepeatRejected  EventKind = "repeat_no"     // an acknowledged operation was sent again and rejected
	ZonesRead       EventKind = "zones_read"    // an operator read which zones are drained
	Totals          EventKind = "totals"        // the fleet's own counters at the end
)

// Event is one thing that was observed from outside.
type Event struct {
	At        kernel.Micros `json:"at_us"`
	EventKind EventKind     `json:"what"`
	// Tag identifies a caller's request, at the caller and at the engines alike.
	Tag            string `json:"tag,omitempty"`
	Node           string `json:"node,omitempty"`
	Engine         string `json:"engine,omitempty"`
	Start          uint64 `json:"start,omitempty"`
	IsAcknowledged bool   `json:"kept,omitempty"` // the draining mark was acknowledged
	Zone           string `json:"zone,omitempty"`
	Kind           string `json:"kind,omitempty"`
	// StartedAt is when the caller sent its request, or the operator sent its read.
	StartedAt kernel.Micros `json:"began_us,omitempty"`
	FirstAt   kernel.Micros `json:"first_at_us,omitempty"` // when the first byte of the body arrived
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
	// Pool is the pool of the engine. Pools are those to which a configuration permits requests.
	Pool  string   `json:"pool,omitempty"`
	Pools []string `json:"pools,omitempty"`
	Zones []string `json:"zones,omitempty"` // the drained ones, as read
	// Roster lists the nodes that have to serve after a repair, Kinds the kinds of requests sent to them.
	Roster []string `json:"roster,omitempty"`
	Kinds  []string `json:"kinds,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes a caller can see.
const (
	Served      Outcome = "served"       // complete up to the end marker, every byte as the engine sent it
	EngineError Outcome = "engine_says"  // the engine's own error response, passed on unchanged
	NotRun      Outcome = "not_run"      // rejected, with the guarantee that no engine ran it
	MayHaveRun  Outcome = "may_have_run" // rejected, without that guarantee
	Truncated   Outcome = "torn"         // cut off, and the caller can tell
	Corrupted   Outcome = "wrong"        // has bytes that the engine did not send, or bytes of two runs
	FalseEnd    Outcome = "false_end"    // ended as if complete although it was not
	NoResponse  Outcome = "no_receipt"   // the connection closed without any response
	Unreached   Outcome = "unreached"    // no connection could be opened
	Abandoned   Outcome = "hung_up"      // the caller canceled
)
