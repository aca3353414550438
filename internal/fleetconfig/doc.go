// Package fleetconfig reads, checks and compiles the operator's configuration: engines, bindings,
// routes, services, zones, tenants and policy.
//
// Read compiles a document in the native format, the protojson encoding of config.proto, into a Config.
// Another Format converts its documents and uses Compile for a converted message, or NewRouteConfig for
// routes that it has checked itself. Compiler caches the results for a process. ChangeByName applies a
// change of named items to a document without decoding the rest.
//
// Durations are kernel.Micros, sizes are in bytes. A document that exceeds a bound is rejected with a
// TooLargeError, and an invalid one with an *InvalidConfigError, which lists all errors at once. Both
// are found with errors.As.
//
// A Config may be read by any goroutine once it is complete; SetTenants has to be called before that.
// Compiler and ItemCache may be used by any goroutine at any time. The functions keep no state.
package fleetconfig
