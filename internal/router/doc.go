// Package router is the data plane of a deployment: it forwards requests that match a route to engines that
// have registered themselves. It chooses the engine of each attempt, decides which attempts may be retried, keeps
// the connections to engines, and forwards their responses.
//
// # Terms
//
// A call is one request of a caller, and an attempt sends it to one engine. A response is what one engine sends. An
// answer is what the caller gets: one response, or several where a stream is resumed at another engine.
//
// Prompts that share a prefix go to the same engine, the preferred engine of that prefix. If that engine is
// overloaded, a request is diverted to another one. While the engine of an attempt is unresponsive, the request is hedged:
// another attempt is made beside the first.
//
// An attempt has provably not run if no byte of it was written, or if the engine has stated that it did not run the
// request. After any other failed attempt the request may have run.
//
// # Use
//
// NewChooser and NewPool make the two parts that a Router needs; NewRouter makes the Router, an http.Handler.
// Chooser.SetRoutingTable takes the snapshots of the control plane, and Router.Sweep is to be called about once a
// second. A Wire sets the names of the HTTP headers: each deployment chooses the names, and this package defines
// their meaning.
//
// A request passes through the files in this order: router.go (ServeHTTP), body.go, tenants.go, request.go,
// split.go (choice of the service), attempts.go (state transitions of a request), selection.go, prefix_hash.go and
// divert.go (choice of the engine), load.go and health.go (load and health of engines), answer.go (the attempts for one
// answer), exchange.go (one attempt), pool.go and connection.go, streaming.go and events.go (a response),
// retry_budget.go, rejection.go. docs/design.md
// names the publication that the routing policy is taken from, and the changes made to it.
//
// # Goroutines
//
// The methods of Router, Chooser and Pool may be called from any goroutine. The fields of Settings must not be
// changed once requests are served. A request has a goroutine for its first attempt and for those that follow a failed
// one, and one for each attempt beside another. The lock of its answer orders their writes, the lock of the Chooser their
// decisions. The request's goroutine returns after all others.
//
// # Units
//
// Times and durations are kernel.Micros: microseconds of the Env's clock. Loads are counted in outstanding
// tokens, bodies in bytes.
//
// # Errors
//
// A Rejection is the final answer that the router itself gives if it forwards no response of an engine; it has an HTTP
// status. On the connection to an engine, a NotWrittenError proves that no byte of a request was written, so the
// request may be sent elsewhere. After an ExchangeError the request may have run. A BadHeaderError names a header of
// the caller that can't be parsed.
package router
