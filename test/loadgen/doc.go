// Package loadgen generates load as clients do. Requests have configurable kinds with shared prompt prefixes, and
// each response is checked byte for byte against the body that the engine must have sent.
//
// A Generator sends requests to the nodes that a Platform assigns, and passes the results on as events of
// package checker. A Caller sends single requests. Platform and Caller are safe for concurrent use.
// Durations are in microseconds.
package loadgen
