package control

import (
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// Quotas: the leader's node allocates them, and every node's router spends them.

// quotas is a node's state as an allocator.
type quotas struct {
	// allocator is the allocator of the term in which this node leads; nil: this node may not allocate now.
	allocator      *quota.Allocator
	term           uint64
	configRevision uint64        // revision of the configuration whose limits are allocated
	sweepAt        kernel.Micros // when the allocator is next told the number of routers and swept
}

// RequestQuota sends the quota request that is due for this node's router, if there is one, without waiting for the
// next tick.
func (n *Node) RequestQuota(now kernel.Micros) []commands.Command {
	n.now = now
	n.tickQuota()
	return n.finish()
}

func (n *Node) tickQuota() {
	n.updateAllocator()
	if n.settings.Quota == nil || n.lease.Applied() == nil {
		return
	}
	// If no leader is known, the request is not sent. It counts as unanswered and is retried.
	if request := n.settings.Quota.NextRequest(n.now); request != nil {
		n.send(n.knownLeader(), wire.Message{QuotaRequest: request})
	}
}

// updateAllocator keeps an allocator exactly while this node may allocate quotas. Each term gets a new allocator, and
// the allocator's limits follow the newest configuration.
func (n *Node) updateAllocator() {
	if n.settings.LimitsOf == nil || n.core == nil || n.lease.Applied() == nil || !n.core.mayAllocate(n.now) {
		n.quotas.allocator = nil
		return
	}
	if n.quotas.allocator == nil || n.quotas.term != n.core.term {
		n.quotas = quotas{allocator: quota.NewAllocator(n.now, n.settings.QuotaBounds), term: n.core.term}
	}
	if revision := n.lease.Applied().ConfigRevision; revision != n.quotas.configRevision {
		n.quotas.configRevision = revision
		n.quotas.allocator.SetLimits(n.now, n.settings.LimitsOf(n.lease.Applied().Config))
	}
	if n.now >= n.quotas.sweepAt {
		n.quotas.sweepAt = n.now + kernel.Second/2
		n.quotas.allocator.SetRouterCount(n.knownRouters())
		n.quotas.allocator.Sweep(n.now)
	}
}

func (n *Node) onQuotaRequest(from string, m *quota.Request) {
	n.updateAllocator()
	if n.quotas.allocator == nil {
		leader := n.hints.leader
		if n.core != nil {
			leader = n.core.Leader()
		}
		// A leader that may not allocate yet has no other node to redirect to.
		if leader != "" && leader != n.self() {
			n.send(from, wire.Message{Redirect: &wire.Redirect{Leader: leader, Voters: n.lease.Applied().VoterAddresses()}})
		}
		return
	}
	if grant := n.quotas.allocator.Allocate(n.now, from, m); grant != nil {
		n.send(from, wire.Message{QuotaGrant: grant})
	}
}

func (n *Node) onQuotaGrant(m *quota.Grant) {
	if n.settings.Quota != nil {
		n.settings.Quota.ApplyGrant(n.now, m)
		// Client requests that arrived after the quota request need more quota, and cannot wait for the next tick.
		n.tickQuota()
	}
}

// redirectQuota repeats the quota request after a redirect to another leader.
func (n *Node) redirectQuota() {
	if n.settings.Quota != nil {
		n.settings.Quota.Redirect()
		n.tickQuota()
	}
}
