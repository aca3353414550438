// Package relay is the data plane of a fleet whose configuration has bindings. A binding assigns requests of a kind and
// model to engines. The package selects an engine for each request, forwards the request, and streams the engine's
// response back to the caller. docs/design.md explains the design. Each part has its own file:
//
//	policy.go        selection of an engine: prefix hash, rendezvous hashing, diversion by load
//	selection.go     which engines are eligible, and opening an attempt at the selected one
//	admission.go     the estimated time to first token, and rejection when it is above the limit
//	ledger.go        this router's outstanding tokens on an engine, and the estimate of other routers' tokens
//	slow_start.go    the cap on streams to an engine that started recently
//	ejection.go      how long an engine that failed gets no requests
//	retry_budget.go  how many attempts beyond the first may be made
//	dispatcher.go    the state of all requests, and every decision about them
//	forwarder.go     the HTTP handler that carries out the dispatcher's decisions
//	transport.go     one connection for each attempt, and the count of bytes written to it
//	attempt.go       one attempt: sending the request, and classifying how it ended
//	stream.go        copying a response body, and resuming a stream that broke
//	overload.go      limits on what a process holds at once
//	prompt.go        parsing of request bodies
//	tally.go         token counting in event streams
//
// # Use
//
// A process makes one Dispatcher with NewDispatcher, passes it each new RoutingTable with
// SetRoutingTable, and serves callers with a Forwarder, which is an http.Handler. The simulator uses
// the Dispatcher alone: it has no clock and no connections, and the current time is an argument of
// each method that needs it.
//
// # Concurrency
//
// The methods of Dispatcher and Forwarder may be called from any goroutine. The dispatcher has one
// lock, which is held for one decision. The record function passed to NewDispatcher is called with the lock
// held and must not call the dispatcher; apart from it, nothing called under the lock takes another lock.
// The exported fields of both types are set before the first request and not changed afterwards. A
// RoutingTable is shared and must not be changed once it was passed to a dispatcher. A Call belongs to the
// goroutine that serves its request. A Tally must be used by one goroutine only.
//
// # Units
//
// Times are kernel.Micros, microseconds of the process's monotonic clock. Load, prompts and output budgets
// are counted in tokens, bodies in bytes.
//
// # Errors
//
// A request that is not served ends in a *Rejection, which says whether an engine may have run the request. A caller
// may send a request again if its rejection says NotRun, so a rejection says this only if it is proven. ReadPrompt
// returns a BadRequestError. An Outcome says how an attempt at an engine ended.
//
// # What is shared with package router
//
// Both packages use Choose, Preferred, SlotOf and ConnectionHeaders. The following parts look alike
// but are separate, because their rules differ. "Here" means this package, "there" package router:
//
//   - Retry budget: here it is a token bucket filled by first attempts, with two windows over this router's
//     own first attempts. There it is a share of one allowance that a deployment sets for the whole fleet,
//     with a slack that is divided among the routers.
//   - Outstanding load: here engines report tokens, so that this router's own tokens at the time of the
//     report can be subtracted exactly. There engines report numbers of requests, which are multiplied by
//     a mean size and decay towards the mean of all engines.
//   - Ejection: here a rejection by the engine proves that it is healthy. There it ejects the engine for a
//     moment, since it indicates overload. There status 421 says that the engine's address now belongs to
//     another engine, and counts as a failure; here such a response is relayed to the caller.
//   - Overload: both limit the bytes of bodies in memory. Here every byte that was read counts until its
//     request ends. There the bytes of a read that exceeds the limit are not counted, and a body with a
//     Content-Length is counted in full before it is read.
//   - Copying of streams: here bytes are copied as they arrive, and a run is resumed at a byte offset on
//     the same engine. There a stream is split into complete events and resumes after the last event's
//     id. Here any response with the media type is a stream, whatever its status; there only one with
//     status 200.
package relay
