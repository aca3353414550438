package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// The leader disseminates each committed document to all nodes, and acknowledges operations by how far it has spread.

// maxCommitTimes bounds the revisions whose commit times are kept.
const maxCommitTimes = 64

// recordCommit records the commit time of the newest revision. Under the rule Disseminated it also pushes the document.
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
	// All reachable nodes have to apply the document before the acknowledgement, which should follow soon. So the
	// leader pushes it, first to the zone coordinators, which forward it in their zones.
	for _, address := range c.coordinators() {
		c.pushTo(address)
	}
	c.pushTimer, c.pushUntil = c.now+pushRetryInterval, c.now+pushTimeout
}

// coordinators returns the sorted addresses of the zone coordinators in the committed document.
func (c *Core) coordinators() []string {
	return slices.Compact(slices.Sorted(maps.Values(c.committed.Coordinators)))
}

const (
	pushRetryInterval = 300 * kernel.Millisecond
	pushTimeout       = 2 * kernel.Second
)

// pushTo sends the newest committed revision to a node, with its document unless a transfer to it is in progress.
func (c *Core) pushTo(address string) {
	var document *cluster.Document
	if report := c.nodeReports[address]; report != nil {
		document = c.pushTransfers.Offer(c.now, address, c.committed, report.received, c.isMemberAt(address))
	} else if c.committed.ConfigRevision < c.committed.Revision {
		// The node has not reported to this leader yet. Most likely it holds the configuration; otherwise it asks for it.
		document = c.committed.WithoutConfig()
	} else {
		document = c.pushTransfers.Offer(c.now, address, c.committed, 0, c.isMemberAt(address))
	}
	c.send(address, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Document: document}})
}

// retryPush sends the newest document to every node that has not applied it. It sends to the nodes directly, because
// their coordinators may have failed or be cut off. A large document goes only to coordinators: a second copy would
// delay the one that the coordinator sends in its zone, and a node whose coordinator is silent asks by itself.
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

// isLeftToCoordinator reports whether a node that has received a revision should get the newest document from its
// zone coordinator. That holds for a large document that was committed recently: most likely the coordinator is
// already sending it.
func (c *Core) isLeftToCoordinator(received uint64) bool {
	bytes := c.committed.DeltaFor(received).WireSize()
	if bytes <= flowcontrol.SmallDocumentSize || len(c.committed.Coordinators) == 0 {
		return false
	}
	at, isKnown := c.committedAt[c.committed.Revision]
	return isKnown && c.now-at < new(flowcontrol.Transfer).Timeout(bytes, flowcontrol.LargeTransferTimeout)
}

// isDisseminated reports whether a committed revision may be acknowledged under the rule Disseminated: every node
// that reported within ContactTimeout, and so may still consider itself in contact, has applied it, or
// DisseminationTimeout is over. Nodes that are still unreachable then get the document when they are back.
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

// notifyUnresponsiveRouters sends a notice of the newest revision to registered routers that do not report. A router
// that was restarted learns the leader from it, even if all its seeds have been removed meanwhile.
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
