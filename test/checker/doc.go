// Package checker checks a fleet from the outside, by what callers, engines and operators observed. The
// simulator, the local fleet and the soak give it the same events.
//
// Check evaluates a fleet by its Events, CheckRouted one whose requests are routed to registered engines by
// its RoutedEvents, CheckOperations the operators of a deployment by their OperationEvents, and
// CheckLinearizable a register by its operations. A violation is an entry of the report; only
// CheckLinearizable gives an error.
//
// Times are microseconds on one clock. The functions keep no state and do not change their arguments, so
// that any goroutine may call them.
package checker
