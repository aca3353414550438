// Package serving holds the lease under which this node's router serves: granted by the leader through the zone's
// coordinator, counted from the moment at which it was requested, and extended by peers' attestations while no quorum is
// reachable. docs/design.md gives the argument. A Lease has no lock: one goroutine owns it.
package serving
