// Package control is the control plane of one process. A Node joins the owners of a process and routes messages between
// them: the Core (agreement on the replicated document: election, replication, reads, changes of voters), the
// bootstrap of the first start, the serving lease, the directory of engines and nodes, partial views, and quota
// allocation. Their state, messages and disk formats live in the packages below this one.
//
// Nothing here does I/O or reads a clock. Events go in as methods with the steady time in microseconds; commands come
// out as values of package commands and of this one, to be carried out in their order. What a command Save holds is
// synced before the outcome comes back as an event, and only then answers leave that depend on it. The daemons, the simulator, the
// model checker and the tests in virtual time run the same code.
//
// A Node and its owners have no lock: one goroutine, the process's loop, calls every method except Validate, which
// may run beside it.
package control
