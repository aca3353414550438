// Package quota enforces tenant quotas across all routers of a fleet.
//
// A quota is a token bucket. Its tokens are in two places: in the [Allocator] of the leader, and as
// credits in the [Account] of each router, which spends them request by request without a round trip.
// The sum of both never exceeds the capacity of the bucket. So whatever the distribution of the credits,
// and whichever router is partitioned, the fleet spends at most the capacity plus the inflow within any
// window. docs/quotas.md explains why.
//
// # Use
//
// A router calls [Account.Claim] for each request of a caller and waits on [Ticket.Done]. It sends
// what [Account.NextRequest] returns to the leader, whose [Allocator.Allocate] answers with a [Grant]
// for [Account.ApplyGrant]. Messages may be lost, duplicated, delayed and reordered.
//
// # Concurrency
//
// All methods of [Account] may be called from any goroutine. An [Allocator] has no lock: its owner
// calls it from one goroutine at a time. Neither uses a clock, the network or a disk: the caller passes
// in the time and transports the messages.
//
// # Units and errors
//
// Costs, credits and capacities are in the unit of the tenant's limit, tokens or requests; rates are in
// units per second. Times and durations are kernel.Micros of the caller's own clock, which has to be
// monotonic; clocks of different nodes are never compared. No function returns an error: a message
// that is stale or duplicated is ignored.
package quota
