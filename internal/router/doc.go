// Package router is the data plane for requests that a deployment's routes lead to engines which register
// themselves: which engine an attempt goes to, what may be tried again, the connections to engines, and the
// forwarding of an answer.
//
// # Use
//
// NewChooser and NewPool make the two parts that a Router needs, NewRouter makes the Router, an http.Handler.
// The control plane's snapshots go in by Chooser.SetRoutingTable; Router.Sweep is called about once a second.
// What it speaks is set by a Wire: the names of headers belong to the deployment, their meaning is here.
//
// A request's way through the files: router.go (ServeHTTP), body.go, tenants.go, request.go, split.go (the
// service), attempts.go (what happens to a request), selection.go, prefix_hash.go and divert.go (which
// engine), load.go and health.go (what is known of engines), exchange.go (one attempt), pool.go and
// connection.go, streaming.go and events.go (the answer), retry_budget.go, rejection.go. The policy's source and
// what was changed of it are in docs/design.md.
//
// # Goroutines
//
// The methods of Router, Chooser and Pool may be called from any goroutine. The fields of Settings are not to
// be changed once requests are served. A Call belongs to the goroutine that serves its request; but for
// Chooser.MayAbandon, which the attempt's idle timer calls beside it.
//
// # Units
//
// Times and spans are kernel.Micros, microseconds of the Env's clock. Loads are outstanding tokens, bodies
// bytes.
//
// # Errors
//
// A Rejection is the final answer to a request, with its HTTP status. Between a router and an engine, a
// NotWrittenError proves that not one byte of a request went out, so that it may be sent elsewhere; after an
// ExchangeError it may have run. A BadHeaderError names the header of a caller that can't be read.
package router
