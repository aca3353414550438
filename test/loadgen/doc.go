// Package loadgen makes the requests of callers: of kinds with shared prefixes, each answer checked
// byte for byte against what the engine must have sent.
//
// A Generator sends requests to the nodes that a Platform gives, and passes the results on as events of
// package checker. A Caller sends single requests. Platform and Caller may be used by any goroutine.
// Spans are microseconds.
package loadgen
