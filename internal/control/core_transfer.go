package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/kernel"
)

// transferBaseTimeout is how long a small document may take.
func (c *Core) transferBaseTimeout() kernel.Micros { return 5 * c.settings.Timing.HeartbeatInterval }

// documentFor is the document that goes to a member with this heartbeat; nil: none.
func (c *Core) documentFor(p *peer) *cluster.Document {
	newest := c.doc.Position()
	if p.synced == newest {
		return nil
	}
	document := c.doc
	// Nearly every document keeps the configuration of the one before, and one that is proposed
	// again under another term is known to most. A member that lacks it says so, and is sent
	// the document with its configuration.
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

// isMemberAt tells whether a member that heartbeats reach is at an address.
func (c *Core) isMemberAt(address string) bool {
	for _, p := range c.peers {
		if p.member.Address == address && p.hasFolder && c.now-p.lastContact < c.settings.Timing.MinElectionTimeout {
			return true
		}
	}
	return false
}
