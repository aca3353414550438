// Package checker checks a fleet from the outside, by what callers, engines and operators observed. The
// simulator, the local fleet and the soak test record the same events for it.
//
// Check evaluates the Events of a fleet. CheckRouted evaluates the RoutedEvents of a fleet that routes
// requests to registered engines. CheckOperations evaluates the OperationEvents of a deployment's operators.
// CheckLinearizable evaluates the operations on a register. The first three list each violation in their
// result; CheckLinearizable returns an error.
//
// Times are in microseconds on one clock. The functions keep no state and do not modify their arguments, so
// they are safe for concurrent use.
package checker
