package flowcontrol

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/kernel"
)

// Flow control of documents. A document holds a whole configuration and can take seconds on a slow
// link, so a receiver has one large one under way at a time: a newer document waits until that one
// has arrived or is taken for lost. Without it each change would put another copy behind those
// under way, and a receiver slower than the changes would never hold one that is current.

const (
	// SmallDocumentSize is the size up to which documents go as they come.
	SmallDocumentSize = 32 << 10
	// unpacedDocumentSize is the size up to which a document goes to a node although another is on its way.
	unpacedDocumentSize = 4 << 10
	// TransferWindow is how much may be under way to a member in small documents.
	TransferWindow = 128 << 10
	// MinTransferRate is the slowest pace that a receiver nothing is known of is taken to have,
	// in bytes a second.
	MinTransferRate = 200_000
	// maxMicrosPerMebibyte bounds what is made of one arrival, in microseconds for a megabyte.
	maxMicrosPerMebibyte = 16 * kernel.Second
	// maxTransferTimeout bounds the wait for a document that may be lost.
	maxTransferTimeout = 30 * kernel.Second
)

// Transfer is what is under way to one receiver.
type Transfer struct {
	Position  cluster.Position // the newest that was sent; zero: none
	Bytes     int              // of all that is under way
	sentAt    kernel.Micros    // when the first of that was sent
	expiresAt kernel.Micros    // afterwards it counts as lost
	attempts  int              // in a row without an arrival
	// microsPerMebibyte is the slowest of the last arrivals, in microseconds for a megabyte.
	microsPerMebibyte kernel.Micros
}

// IsUnderWay tells whether a document was sent and has neither arrived nor expired.
func (t *Transfer) IsUnderWay(now kernel.Micros) bool {
	return t.Position != (cluster.Position{}) && now < t.expiresAt
}

// Timeout is how long so many bytes may take before they count as lost.
func (t *Transfer) Timeout(bytes int, base kernel.Micros) kernel.Micros {
	pace := max(kernel.Micros(1e6*(1<<20)/MinTransferRate), 2*t.microsPerMebibyte)
	timeout := base + pace*kernel.Micros(bytes)/(1<<20)
	return min(timeout<<min(t.attempts, 5), maxTransferTimeout)
}

// Begin notes that a document was sent.
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

// Arrived notes that the receiver holds what was sent.
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

// Cancel forgets what is under way: it surely won't arrive, or was of no use.
func (t *Transfer) Cancel() { *t = Transfer{microsPerMebibyte: t.microsPerMebibyte} }

// Transfers paces the large documents that go to nodes, by address.
type Transfers map[string]*Transfer

const (
	// LargeTransferTimeout is how long a large document may take to a node beyond its bytes, and to say so;
	// smallTransferTimeout is that of a small one.
	LargeTransferTimeout = kernel.Second
	smallTransferTimeout = 300 * kernel.Millisecond
)

// Offer gives the committed document as it is to go to a node that holds a revision; nil: it
// holds it, or a large one is on its way to it. A member of the core gets the configuration by a
// heartbeat, so the first offer to it leaves that out.
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

// Sweep forgets those that were given up long ago.
func (t Transfers) Sweep(now kernel.Micros) {
	for address, known := range t {
		if now-known.expiresAt > maxTransferTimeout {
			delete(t, address)
		}
	}
}
