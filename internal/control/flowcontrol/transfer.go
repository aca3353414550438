package flowcontrol

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// A document contains a complete configuration, so sending it can take seconds on a slow link. At most one large
// document is therefore in flight to a receiver, and a newer one is sent once it has arrived or timed out. Otherwise
// each change would queue another copy behind those in flight, and a receiver that is slower than the changes would
// never have a current document.

const (
	// SmallDocumentSize is the size up to which a document is sent to a member of the core while others are in
	// flight to it, as long as all of them fit within TransferWindow.
	SmallDocumentSize = 32 << 10
	// unpacedDocumentSize is the size up to which Transfers.Offer does not record a document as in flight, so
	// that it delays no other.
	unpacedDocumentSize = 4 << 10
	// TransferWindow is the total size of documents in flight up to which a small one may be added.
	TransferWindow = 128 << 10
	// MinTransferRate is the assumed rate, in bytes per second, of a receiver whose rate is not known yet.
	MinTransferRate = 200_000
	// maxMicrosPerMebibyte limits the pace that is derived from one arrival.
	maxMicrosPerMebibyte = 16 * kernel.Second
	// maxTransferTimeout limits the timeout of a transfer.
	maxTransferTimeout = 30 * kernel.Second
)

// Transfer is the state of the documents in flight to one receiver.
type Transfer struct {
	Position  cluster.Position // the newest document that was sent; zero: none
	Bytes     int              // total size of the documents in flight
	sentAt    kernel.Micros    // when the first document since the last arrival was sent
	expiresAt kernel.Micros    // afterwards they count as lost
	attempts  int              // consecutive attempts that timed out
	// microsPerMebibyte is the pace of the slowest recent transfer. It drops by at most a quarter with each arrival.
	microsPerMebibyte kernel.Micros
}

// IsUnderWay reports whether a document is in flight: it was sent and has neither arrived nor timed out.
func (t *Transfer) IsUnderWay(now kernel.Micros) bool {
	return t.Position != (cluster.Position{}) && now < t.expiresAt
}

// Timeout returns the time after which the given number of bytes counts as lost. It is base plus the time that they
// take at half the measured rate of the receiver, or at MinTransferRate if that is lower. The timeout doubles with each
// attempt that timed out, up to maxTransferTimeout.
func (t *Transfer) Timeout(bytes int, base kernel.Micros) kernel.Micros {
	microsPerMebibyte := max(kernel.Micros(1e6*(1<<20)/MinTransferRate), 2*t.microsPerMebibyte)
	timeout := base + microsPerMebibyte*kernel.Micros(bytes)/(1<<20)
	return min(timeout<<min(t.attempts, 5), maxTransferTimeout)
}

// Begin records that a document was sent. The base is the part of the timeout that does not depend on the size.
func (t *Transfer) Begin(now kernel.Micros, position cluster.Position, bytes int, base kernel.Micros) {
	if t.IsUnderWay(now) {
		t.Bytes += bytes
	} else {
		if t.Position == (cluster.Position{}) {
			t.sentAt = now
		} else {
			t.attempts++
		}
		t.Bytes = bytes
	}
	t.Position = position
	t.expiresAt = now + t.Timeout(t.Bytes, base)
}

// Arrived records that the receiver has what was sent, and updates the pace if the transfer was large.
func (t *Transfer) Arrived(now kernel.Micros) {
	if t.Position == (cluster.Position{}) {
		return
	}
	if t.Bytes > SmallDocumentSize {
		taken := (now - t.sentAt) * (1 << 20) / kernel.Micros(t.Bytes)
		t.microsPerMebibyte = min(max(taken, t.microsPerMebibyte*3/4), maxMicrosPerMebibyte)
	}
	*t = Transfer{microsPerMebibyte: t.microsPerMebibyte}
}

// Cancel discards the documents in flight, because they can't arrive any more or the receiver could not use
// them. The measured pace is retained.
func (t *Transfer) Cancel() { *t = Transfer{microsPerMebibyte: t.microsPerMebibyte} }

// Transfers has the transfers to nodes, by address.
type Transfers map[string]*Transfer

const (
	// LargeTransferTimeout is the base timeout of a large document. It covers the delay of the network and of
	// the acknowledgement. smallTransferTimeout is the base timeout of a small document.
	LargeTransferTimeout = kernel.Second
	smallTransferTimeout = 300 * kernel.Millisecond
)

// Offer returns the committed document in the form in which it should be sent to a node that has the revision
// received. It returns nil if the node already has the document or another one is in flight to it. A member of
// the core receives the configuration with a heartbeat, so the first offer to it leaves the configuration out.
func (t Transfers) Offer(now kernel.Micros, address string, document *cluster.Document, received uint64, isMember bool) *cluster.Document {
	if document == nil || received >= document.Revision {
		return nil
	}
	known := t[address]
	if known == nil {
		known = &Transfer{}
		t[address] = known
	}
	if received >= known.Position.Revision {
		known.Arrived(now)
	}
	if known.IsUnderWay(now) {
		return nil
	}
	document = document.DeltaFor(received)
	bytes := document.WireSize()
	if bytes <= unpacedDocumentSize && len(document.Changes) == 0 {
		return document
	}
	if isMember && known.Position != document.Position() {
		document = document.WithoutConfig()
	}
	wait := LargeTransferTimeout
	if bytes <= SmallDocumentSize {
		wait = smallTransferTimeout
	}
	known.Begin(now, document.Position(), bytes, wait)
	return document
}

// Sweep removes the transfers that timed out more than maxTransferTimeout ago.
func (t Transfers) Sweep(now kernel.Micros) {
	for address, known := range t {
		if now-known.expiresAt > maxTransferTimeout {
			delete(t, address)
		}
	}
}
