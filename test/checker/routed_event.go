package checker

// The events that a routed fleet is checked by.

import "dunlinloom/internal/kernel"

// RoutedEventKind says what an event of a routed fleet is about.
type RoutedEventKind string

// What callers, engines and operators of a routed fleet see.
const (
	AttemptSentByCaller RoutedEventKind = "try_sent"       // a caller sent one attempt, with its last byte
	AttemptEnded        RoutedEventKind = "try_over"       // and knows how it ended
	Arrived             RoutedEventKind = "arrived"        // an engine read a request
	Rejected            RoutedEventKind = "turned_away"    // an engine said that it did not run one
	Started             RoutedEventKind = "began"          // an engine began to work on one
	EngineCrashed       RoutedEventKind = "engine_crashed" // an engine's process ended unplanned
	Aborted             RoutedEventKind = "broke_off"      // an engine ended an answer too early, by itself
	Finished            RoutedEventKind = "finished"       // an engine wrote its complete answer
	DrainAcknowledged   RoutedEventKind = "leave_known"    // it was acknowledged that an engine drains or is removed
	RouterStopping      RoutedEventKind = "router_leaving" // a planned stop was requested
	FaultStarted        RoutedEventKind = "trouble_struck" // something unplanned
	FaultEnded          RoutedEventKind = "trouble_over"
	// ContactLost and ContactRestored bound a time in which a router, or all of them where none is named, was
	// disconnected: rules about what a router has to know apply again RoutedBounds.ContactTimeout later.
	ContactLost     RoutedEventKind = "touch_lost"
	ContactRestored RoutedEventKind = "touch_back"
	// InvariantBroken is a violation that a process counted itself; Why names it.
	InvariantBroken RoutedEventKind = "invariant_broken"
	// KeyHeld says that a configuration was sent which gives Key to Tenant, KeyWithdrawn that one was acknowledged
	// which no longer does.
	KeyHeld      RoutedEventKind = "key_held"
	KeyWithdrawn RoutedEventKind = "key_withdrawn"
)

// Chunk is one event of a stream as a caller got it.
type Chunk struct {
	Run  string `json:"run"`
	ID   int    `json:"id"`
	Last bool   `json:"last,omitempty"` // the engine said that it is the last
}

// Ending is how the answer to an attempt ended on the wire.
type Ending string

// The ends of an answer.
const (
	Complete   Ending = "whole"
	Incomplete Ending = "broken"  // a header, then not all that it announced
	NoAnswer   Ending = "nothing" // the connection closed without a header
	Malformed  Ending = "garbage" // bytes that are no answer, or of no pending request
	Canceled   Ending = "left_it" // the caller gave up
)

// RoutedEvent is one thing that was observed from outside a routed fleet.
type RoutedEvent struct {
	At        kernel.Micros   `json:"at_us"`
	EventKind RoutedEventKind `json:"what"`
	ID        string          `json:"id,omitempty"` // of one attempt
	// Digest is of method, target and body.
	Digest       string `json:"digest,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Router       string `json:"router,omitempty"`
	Engine       string `json:"engine,omitempty"`
	Service      string `json:"service,omitempty"`
	Run          string `json:"run,omitempty"` // an engine's id of a run
	From         int    `json:"from,omitempty"`
	HasRestarted bool   `json:"anew,omitempty"` // an engine that was asked to continue after From started again
	Status       int    `json:"status,omitempty"`
	Why          string `json:"why,omitempty"`
	// What a caller sent: whether it may run again and be resumed, where it may go, how long
	// the caller waits.
	IsIdempotent bool          `json:"repeatable,omitempty"`
	IsResumable  bool          `json:"resumable,omitempty"`
	IsStream     bool          `json:"stream,omitempty"`
	Services     []string      `json:"services,omitempty"` // that any configuration ever led it to
	Deadline     kernel.Micros `json:"until_us,omitempty"`
	MaxAttempts  int           `json:"tries,omitempty"` // of its route: the engines that one attempt may run on
	IsKeepAlive  bool          `json:"kept,omitempty"`  // its connection had served a request before
	// Of fleets with tenants: the key that a request came with, what it counts under a quota, and whether its route takes
	// requests without a key.
	Key    string  `json:"key,omitempty"`
	Cost   float64 `json:"cost,omitempty"`
	IsOpen bool    `json:"open,omitempty"`
	// What an engine was told: the tenant, and whether it was shown a key. Of a key: who holds it.
	Tenant   string `json:"tenant,omitempty"`
	ShowsKey bool   `json:"shows_key,omitempty"`
	// What the caller got.
	Ending  Ending        `json:"ended,omitempty"`
	Chunks  []Chunk       `json:"pieces,omitempty"`
	IsOwn   bool          `json:"own,omitempty"`      // the body is the run's, byte for byte
	GotID   string        `json:"got_id,omitempty"`   // the id that the answer repeats
	FirstAt kernel.Micros `json:"first_us,omitempty"` // when the first chunk came
}
