package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// How a committed document reaches the nodes, and when it counts as disseminated.

// maxCommitTimes bounds the revisions whose moment of commit is remembered.
const maxCommitTimes = 64

// recordCommit remembers when a revision was committed under this leadership, and has it pushed where the
// acknowledgement waits for the dissemination.
func (c *Core) recordCommit() {
	revision := c.committed.Revision
	if _, isThere := c.committedAt[revision]; !isThere {
		c.committedAt[revision] = c.now
	}
	if revision > maxCommitTimes {
		delete(c.committedAt, revision-maxCommitTimes)
	}
	if c.settings.AckRule != Disseminated {
		return
	}
	// The acknowledgement follows soon, and all reachable nodes have to apply the document before: it goes
	// out unasked, to the coordinators first, which forward it in their zones.
	for _, address := range c.coordinators() {
		c.pushTo(address)
	}
	c.pushTimer, c.pushUntil = c.now+pushRetryInterval, c.now+pushTimeout
}

// coordinators lists the zone coordinators of the committed document, sorted.
func (c *Core) coordinators() []string {
	return slices.Compact(slices.Sorted(maps.Values(c.committed.Coordinators)))
}

const (
	pushRetryInterval = 300 * kernel.Millisecond
	pushTimeout       = 2 * kernel.Second
)

// pushTo sends the newest committed revision to a node, with its document unless one is under way to it.
func (c *Core) pushTo(address string) {
	var document *cluster.Document
	if report := c.nodeReports[address]; report != nil {
		document = c.pushTransfers.Offer(c.now, address, c.committed, report.received, c.isMemberAt(address))
	} else if c.committed.ConfigRevision < c.committed.Revision {
		// It has not reported to this leader: most likely it holds the configuration, and asks if it does not.
		document = c.committed.WithoutConfig()
	} else {
		document = c.pushTransfers.Offer(c.now, address, c.committed, 0, c.isMemberAt(address))
	}
	c.send(address, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Document: document}})
}

// retryPush sends the newest document to every node that has not applied it. Coordinators may have failed or
// be cut off, so this goes to the nodes themselves. A large document that a coordinator is sending in its zone
// would only be delayed by a second copy: such a node asks by itself if its coordinator is silent.
func (c *Core) retryPush() {
	if c.committed == nil || c.now < c.pushTimer || c.now > c.pushUntil {
		return
	}
	c.pushTimer = c.now + pushRetryInterval
	targets := map[string]bool{}
	for address, report := range c.nodeReports {
		if c.now-report.reportedAt < c.settings.Timing.NodeExpiryTimeout {
			targets[address] = report.applied < c.committed.Revision
		}
	}
	for _, address := range c.committed.Routers {
		if c.nodeReports[address] == nil {
			targets[address] = true
		}
	}
	coordinators := c.coordinators()
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		isLarge := c.committed.WireSize() > flowcontrol.SmallDocumentSize && (c.nodeReports[address] == nil || c.nodeReports[address].received < c.committed.ConfigRevision)
		if targets[address] && (!isLarge || slices.Contains(coordinators, address)) {
			c.pushTo(address)
		}
	}
}

// isLeftToCoordinator tells whether a node that has received a revision is to get the newest document from
// its coordinator: a large one that was committed just now is most likely on its way from there.
func (c *Core) isLeftToCoordinator(received uint64) bool {
	bytes := c.committed.DeltaFor(received).WireSize()
	if bytes <= flowcontrol.SmallDocumentSize || len(c.committed.Coordinators) == 0 {
		return false
	}
	at, isKnown := c.committedAt[c.committed.Revision]
	return isKnown && c.now-at < new(flowcontrol.Transfer).Timeout(bytes, flowcontrol.LargeTransferTimeout)
}

// isDisseminated tells whether a committed revision has spread as far as its acknowledgement waits for: every
// node that reported within ContactTimeout, and so may count as in touch, has applied it, or DisseminationTimeout is
// over. A node that can't be reached is not waited for beyond that; it gets the document when it is reachable again.
func (c *Core) isDisseminated(revision uint64) bool {
	at, isKnown := c.committedAt[revision]
	if !isKnown || c.now-at >= c.settings.DisseminationTimeout {
		return true
	}
	// A new leader has not yet heard from every node.
	if c.now-c.leaderSince < kernel.Second {
		return false
	}
	for _, report := range c.nodeReports {
		if c.now-report.reportedAt < c.settings.ContactTimeout && report.applied < revision {
			return false
		}
	}
	return true
}

// notifyUnresponsiveRouters sends the newest revision to registered routers that do not report. One that was
// restarted and whose seeds have all been removed meanwhile learns the leader in this way.
func (c *Core) notifyUnresponsiveRouters() {
	if c.now < c.noticeTimer || !c.hasCommittedInTerm {
		return
	}
	c.noticeTimer = c.now + 2*kernel.Second
	for _, address := range c.committed.Routers {
		if report := c.nodeReports[address]; report == nil || c.now-report.reportedAt > kernel.Second {
			c.send(address, wire.Message{RevisionNotice: &wire.RevisionNotice{Revision: c.committed.Revision}})
		}
	}
}
