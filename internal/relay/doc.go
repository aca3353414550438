// Package relay is the data plane of a fleet whose configuration has bindings: it picks an engine
// for each request, passes the request on, and passes the engine's answer back as it comes.
// docs/design.md gives the decisions behind it; each stands in a file of its own:
//
//	policy.go        the choice of an engine: prefix hash, rendezvous, diversion by load
//	selection.go     which engines are eligible, and the attempt that a choice opens
//	admission.go     the estimate of the time to the first token, and the rejection it leads to
//	ledger.go        own outstanding tokens on an engine, and what a late report says of others'
//	slow_start.go    the cap on the streams of an engine that started lately
//	ejection.go      how long an engine that failed gets no requests
//	retry_budget.go  how many attempts beyond the first may be made
//	dispatcher.go    the owner of all requests, which the above belong to
//	forwarder.go     the HTTP handler that carries out what the dispatcher decides
//	transport.go     one connection for each attempt, and what was written to it
//	attempt.go       one attempt: request, answer, and how it ended
//	stream.go        passing on a body, and resuming a stream that broke
//	overload.go      the bounds on what a process holds at once
//	prompt.go        what is read of a request's body; tally.go, of a stream
//
// # Use
//
// A process makes one Dispatcher with NewDispatcher, gives it each new RoutingTable with
// SetRoutingTable, and serves callers with a Forwarder, which is an http.Handler. The simulator uses
// the Dispatcher alone: it has no clock and no connections, every call that needs the time is
// given it.
//
// # Goroutines
//
// The methods of Dispatcher and Forwarder may be called from any goroutine. The dispatcher's one
// lock is held for one decision and calls nothing that takes another; the record function given to
// NewDispatcher is called under it and must not call the dispatcher. The exported fields of both are set
// before the first request and not changed afterwards. A RoutingTable is shared and
// must not be changed once it was given away. A Call belongs to the goroutine that serves its
// request. Tally is for one goroutine.
//
// # Units
//
// Times are kernel.Micros, microseconds of the process's steady clock. Load, prompts and budgets are
// counted in tokens, bodies in bytes.
//
// # Errors
//
// A request that is not served ends in a *Rejection, which says whether an engine may have run
// it: NotRun is a promise that callers act on, so it is given only where it is proven. ReadPrompt
// returns a BadRequestError. How an attempt at an engine ended is an Outcome.
//
// # What is shared with package router
//
// Choose, Preferred, SlotOf and ConnectionHeaders serve both packages. The following look alike
// and stay apart, because their rules differ:
//
//   - Retry budget: here a bucket that first attempts fill, and two windows over this router's own
//     first attempts; there a share of one allowance that a deployment sets for the whole fleet, with
//     a slack that is divided among the routers.
//   - Outstanding load: here engines report tokens, so that our own can be subtracted exactly as
//     of the report; there they report numbers of requests, which are multiplied by a mean size and
//     decay towards the mean of all engines.
//   - Ejection: here a rejection by the engine is proof of health; there it ejects for a moment, since it
//     tells of overload. There an engine also fails by staying silent and by losing its address
//     to another one, which engines of bindings don't show.
//   - Overload: both bound the bytes of bodies in memory. Here every byte that was read counts until its
//     request ends; there a part that finds no room is not counted, and the first reservation is
//     for the announced length.
//   - Copying of streams: here bytes are passed on as they come, and a run is resumed at a byte offset on
//     the same engine; there a stream is cut into complete events and goes on after the last event's
//     id. A stream is here whatever has the media type, with any status; there only with status 200.
package relay
