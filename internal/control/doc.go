// Package control is the control plane of one process.
//
// A Node combines the state machines of a process and routes messages between them. They are the Core (agreement on the
// replicated document: elections, replication, reads and changes of voters), the bootstrap of the first start, the
// serving lease, the directory of engines and nodes, partial views, and quota allocation. Their state, messages
// and disk formats are in the packages below this one.
//
// Nothing here does I/O or reads a clock. Events are method calls that carry the monotonic time in microseconds. Commands
// are values of package commands and of this package, which the caller executes in order. The content of a Save command
// is synced to disk before its result is delivered as an event, and responses that depend on it are sent only
// after that. The daemons, the simulator, the model checker and the tests in virtual time run the same code.
//
// There are no locks. One goroutine, the process's event loop, calls every method except Validate, which may run
// concurrently.
package control
