// Package fleetconfig reads, checks and compiles the operator's configuration: engines, bindings,
// routes, services, zones, tenants and policy.
//
// Read takes a document in the product's own form, protojson of config.proto, to a Config; Compile
// does so for a message that another Form made of its documents, and NewRouteConfig for routes that
// the form checked itself. Compiler caches the results for a process. ChangeByName applies a change
// of named items to a document without decoding the rest.
//
// Durations are kernel.Micros, sizes are bytes. A document above a bound is rejected with a
// TooLargeError; one that is wrong with *InvalidConfigError, which list everything wrong at once.
// Both are found with errors.As.
//
// A Config may be read by any goroutine once it is made; SetTenants is called before. Compiler and
// ItemCache may be used by any goroutine at any time. The functions keep no state.
package fleetconfig
