// Package gossip maintains a partial view of the fleet by shuffling: each node knows a few others and exchanges parts
// of its view with them, so that a node that knows one other node learns of more and more of the fleet. A PartialView
// has no lock and belongs to one goroutine.
package gossip
