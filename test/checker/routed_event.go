package checker

// The events that CheckRouted evaluates.

import "dunlinloom/internal/kernel"

// RoutedEventKind is what a RoutedEvent reports.
type RoutedEventKind string

// The kinds of routed events.
const (
	AttemptSentByCaller RoutedEventKind = "try_sent"       // a caller sent the last byte of an attempt
	AttemptEnded        RoutedEventKind = "try_over"       // an attempt ended for its caller
	Arrived             RoutedEventKind = "arrived"        // an engine read a request
	Rejected            RoutedEventKind = "turned_away"    // an engine answered that it did not run a request
	Started             RoutedEventKind = "began"          // an engine began to run a request
	EngineCrashed       RoutedEventKind = "engine_crashed" // the process of an engine crashed
	Aborted             RoutedEventKind = "broke_off"      // an engine broke off a response by itself
	Finished            RoutedEventKind = "finished"       // an engine wrote its complete response
	DrainAcknowledged   RoutedEventKind = "leave_known"    // the drain or removal of an engine was acknowledged
	RouterStopping      RoutedEventKind = "router_leaving" // a planned stop of a router was requested
	FaultStarted        RoutedEventKind = "trouble_struck" // a fault was injected
	FaultEnded          RoutedEventKind = "trouble_over"
	// ContactLost and ContactRestored delimit a period in which a router, or every router if none is named,
	// was disconnected from the control plane. Rules about what a router has to know apply again
	// RoutedBounds.ContactTimeout after it.
	ContactLost     RoutedEventKind = "touch_lost"
	ContactRestored RoutedEventKind = "touch_back"
	// EngineCutOff and EngineReachable delimit a period in which nothing got through between an engine and the routers.
	EngineCutOff    RoutedEventKind = "engine_cut_off"
	EngineReachable RoutedEventKind = "engine_reachable"
	// InvariantBroken means that a process counted a violation of its own invariant, which Why names.
	InvariantBroken RoutedEventKind = "invariant_broken"
	// KeyHeld means that a configuration which gives Key to Tenant was sent. KeyWithdrawn means that one which no
	// longer does was acknowledged.
	KeyHeld      RoutedEventKind = "key_held"
	KeyWithdrawn RoutedEventKind = "key_withdrawn"
)

// Chunk is one event of a stream as a caller received it.
type Chunk struct {
	Run  string `json:"run"`
	ID   int    `json:"id"`
	Last bool   `json:"last,omitempty"` // the engine marked it as the last one
}

// Ending is how the response to an attempt ended on the wire.
type Ending string

// The endings of a response.
const (
	Complete   Ending = "whole"
	Incomplete Ending = "broken"  // a header, followed by less than it announced
	NoAnswer   Ending = "nothing" // the connection closed without a header
	Malformed  Ending = "garbage" // bytes that are not a response, or a response to no pending request
	Canceled   Ending = "left_it" // the caller canceled
)

// RoutedEvent is one event observed from outside a routed fleet.
type RoutedEvent struct {
	At        kernel.Micros   `json:"at_us"`
	EventKind RoutedEventKind `json:"what"`
	ID        string          `json:"id,omitempty"` // identifies one attempt
	// Digest covers method, target and body.
	Digest       string `json:"digest,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Router       string `json:"router,omitempty"`
	Engine       string `json:"engine,omitempty"`
	Service      string `json:"service,omitempty"`
	Run          string `json:"run,omitempty"` // the engine's id of the run
	From         int    `json:"from,omitempty"`
	HasRestarted bool   `json:"anew,omitempty"` // an engine that was asked to continue after From restarted the stream
	Status       int    `json:"status,omitempty"`
	Why          string `json:"why,omitempty"`
	// Of sent attempts: whether the request may run again and be resumed, to which services it may go, and
	// how long the caller waits.
	IsIdempotent bool          `json:"repeatable,omitempty"`
	IsResumable  bool          `json:"resumable,omitempty"`
	IsStream     bool          `json:"stream,omitempty"`
	Services     []string      `json:"services,omitempty"` // to which any configuration has ever routed it
	Deadline     kernel.Micros `json:"until_us,omitempty"`
	MaxAttempts  int           `json:"tries,omitempty"` // of the route: the number of engines on which one attempt may run
	IsKeepAlive  bool          `json:"kept,omitempty"`  // the connection had served a request before
	// Of fleets with tenants: the key of the request, its cost under a quota, and whether its route accepts requests
	// without a key.
	Key    string  `json:"key,omitempty"`
	Cost   float64 `json:"cost,omitempty"`
	IsOpen bool    `json:"open,omitempty"`
	// Of arrivals: the tenant that was forwarded to the engine, and whether the key was. Of keys: the tenant that
	// holds it.
	Tenant   string `json:"tenant,omitempty"`
	ShowsKey bool   `json:"shows_key,omitempty"`
	// The response that the caller got.
	Ending  Ending        `json:"ended,omitempty"`
	Chunks  []Chunk       `json:"pieces,omitempty"`
	IsOwn   bool          `json:"own,omitempty"`      // the body is byte for byte the one that the run sent
	GotID   string        `json:"got_id,omitempty"`   // the request id that the response repeats
	FirstAt kernel.Micros `json:"first_us,omitempty"` // when the first chunk arrived
}
