package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/kernel"
)

// transferBaseTimeout is the time-out of the transfer of a small document.
func (c *Core) transferBaseTimeout() kernel.Micros { return 5 * c.settings.Timing.HeartbeatInterval }

// documentFor returns the document to send to a member with the next heartbeat. It returns nil if the member has synced
// the newest document, or if a transfer under way contains that document or leaves no room for it.
func (c *Core) documentFor(p *peer) *cluster.Document {
	newest := c.doc.Position()
	if p.synced == newest {
		return nil
	}
	document := c.doc
	// Nearly every document keeps the configuration of the one before it. A new leader proposes the newest document
	// again, which most members already hold. In both cases the configuration is omitted. A member that lacks it
	// reports that, and is then sent the document with its configuration.
	isRepeat := c.doc.ConfigRevision < c.doc.Revision || !c.hasCommittedInTerm
	switch {
	case p.lacksConfig:
	case isRepeat:
		document = c.doc.WithoutConfig()
	default:
		document = c.doc.DeltaFor(p.synced.Revision)
	}
	bytes := document.WireSize()
	if p.transfer.IsUnderWay(c.now) {
		fits := bytes <= flowcontrol.SmallDocumentSize && p.transfer.Bytes+bytes <= flowcontrol.TransferWindow
		if p.transfer.Position == newest || !fits {
			return nil
		}
	}
	p.transfer.Begin(c.now, newest, bytes, c.transferBaseTimeout())
	return document
}

// isMemberAt reports whether this leader has recently heard a member with a data folder at the address. Such a member
// gets documents with heartbeats.
func (c *Core) isMemberAt(address string) bool {
	for _, p := range c.peers {
		if p.member.Address == address && p.hasFolder && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout {
			return true
		}
	}
	return false
}
