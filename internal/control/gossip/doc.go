// Package gossip keeps a partial view of the fleet by shuffles: each node knows a few others and trades parts of its
// view with them, so that a node which knows one other comes to know the rest. Views have no lock: one
// goroutine owns them.
package gossip
