// Package gossip maintains a partial view of the fleet by shuffling: each node knows a few others and exchanges parts
// of its view with them. A node that knows a single other node at first thereby learns of more and more nodes. A
// PartialView has no lock and belongs to one goroutine.
package gossip
