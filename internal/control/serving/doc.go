// Package serving implements the lease under which this node's router serves requests. The leader grants it through the
// zone's coordinator, and it is counted from the time of the request. While the core has no quorum, the router asks the
// other routers which revision they have applied, and their answers, called attestations, extend the lease.
// docs/design.md explains why this is safe. A Lease has no lock and belongs to one goroutine.
package serving
