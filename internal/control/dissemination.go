package control

import (
	"maps"
	"slices"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Under the rule Disseminated, the leader pushes each committed document to all nodes. It acknowledges an operation
// once every node that reported recently has applied the operation's revision, or once DisseminationTimeout is over.

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
	// The acknowledgement waits until all reachable nodes have applied the document. So the leader pushes the document
	// at once, to the zone coordinators, which forward it in their zones.
	for _, address := range c.coordinators() {
		c.pushTo(address)
	}
	c.pushTimer, c.pushUntil = c.now+pushRetryInterval, c.now+pushTimeout
}

// coordinators returns the sorted addresses of the zone coordinators in the committed document.
func (c *Core) coordinators() []string {
	return slices.Compact(slices.Sorted(maps.Values(c.committed.Coordinators)))
}

// Timing of retryPush, which runs every pushRetryInterval until pushTimeout after a commit.
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
		// The node has not reported to this leader yet. Most likely it holds the configuration. If not, it requests it.
		document = c.committed.WithoutConfig()
	} else {
		document = c.pushTransfers.Offer(c.now, address, c.committed, 0, c.isMemberAt(address))
	}
	c.send(address, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Document: document}})
}

// retryPush sends the newest document to every node that has not applied it. It sends to the nodes directly, because
// their coordinators may have failed or be cut off. A large document goes only to coordinators: a second copy would
// delay the one that the coordinator sends in its zone, and a node whose coordinator is silent requests the document by
// itself.
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

// isLeftToCoordinator reports whether the leader leaves it to the zone coordinator to send the newest document to a
// node that last received the given revision. It does so for a large document that was committed recently, because most
// likely the coordinator is already sending it.
func (c *Core) isLeftToCoordinator(received uint64) bool {
	bytes := c.committed.DeltaFor(received).WireSize()
	if bytes <= flowcontrol.SmallDocumentSize || len(c.committed.Coordinators) == 0 {
		return false
	}
	at, isKnown := c.committedAt[c.committed.Revision]
	return isKnown && c.now-at < new(flowcontrol.Transfer).Timeout(bytes, flowcontrol.LargeTransferTimeout)
}

// isDisseminated reports whether a committed revision may be acknowledged under the rule Disseminated. That is the case
// once DisseminationTimeout is over, or every node that reported within ContactTimeout has applied the revision. Such a
// node may still consider itself in contact. Any other node gets the document when it is back. A revision that this
// leader has not committed itself, or too long ago to keep its commit time, may always be acknowledged.
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
