package control

import (
	"slices"

	"dunlinloom/internal/kernel"
)

// Flow control of documents. A document holds a whole configuration and can take seconds on a slow
// link, so a receiver has one large one under way at a time: a newer document waits until that one
// has arrived or is taken for lost. Without it each change would put another copy behind those
// under way, and a receiver slower than the changes would never hold one that is current.

const (
	// smallDocument is the size up to which documents go as they come.
	smallDocument = 32 << 10
	// pacedDocument is the size up to which a document goes to a node although another is on its way.
	pacedDocument = 4 << 10
	// transferWindow is how much may be under way to a member in small documents.
	transferWindow = 128 << 10
	// minTransferRate is the slowest pace that a receiver nothing is known of is taken to have,
	// in bytes a second.
	minTransferRate = 200_000
	// maxTransferPace bounds what is made of one arrival, in microseconds for a megabyte.
	maxTransferPace = 16 * kernel.Second
	// maxTransferTimeout bounds the wait for a document that may be lost.
	maxTransferTimeout = 30 * kernel.Second
)

// What a document takes on the wire besides its configuration, about, in bytes.
const (
	wireSubmission = 64
	wireConfigRef  = 64
	wireAddress    = 24
)

// wireSize is about how many bytes a document takes on its way.
func (d *Document) wireSize() int {
	if d == nil {
		return 0
	}
	addresses := len(d.Routers) + len(d.PriorRouters) + len(d.Coordinators) + len(d.DrainedZones) + len(d.Draining)
	return len(d.Config) + changeBytes(d.Changes)*4/3 + len(d.Submissions)*wireSubmission + len(d.ConfigChain)*wireConfigRef + addresses*wireAddress
}

// Size is about how many bytes the documents and configurations of a message take. Messages of
// smallDocument or less must not wait behind larger ones.
func (m Message) Size() int {
	size := 0
	for _, document := range m.documents() {
		size += document.wireSize()
	}
	if m.Submit != nil {
		size += len(m.Submit.Config)
	}
	return size
}

// IsLarge tells of a message that takes long on a slow link.
func (m Message) IsLarge() bool { return m.Size() > smallDocument }

// documents gives the documents that a message brings; some may be nil.
func (m Message) documents() []*Document {
	switch {
	case m.Heartbeat != nil:
		return []*Document{m.Heartbeat.Document}
	case m.LeaseGrantBatch != nil:
		return []*Document{m.LeaseGrantBatch.Document}
	case m.LeaseGrant != nil:
		return []*Document{m.LeaseGrant.Document}
	case m.AttestResponse != nil:
		return []*Document{m.AttestResponse.Document}
	case m.FetchConfigResponse != nil:
		return []*Document{m.FetchConfigResponse.Document}
	case m.ReadResponse != nil:
		return []*Document{m.ReadResponse.Document}
	case m.BootstrapCommit != nil:
		return []*Document{m.BootstrapCommit.Document}
	}
	return nil
}

// transfer is what is under way to one receiver.
type transfer struct {
	position  Position      // the newest that was sent; zero: none
	bytes     int           // of all that is under way
	sentAt    kernel.Micros // when the first of that was sent
	expiresAt kernel.Micros // afterwards it counts as lost
	attempts  int           // in a row without an arrival
	// pace is the slowest of the last arrivals, in microseconds for a megabyte.
	pace kernel.Micros
}

func (t *transfer) isUnderWay(now kernel.Micros) bool {
	return t.position != (Position{}) && now < t.expiresAt
}

// timeout is how long so many bytes may take before they count as lost.
func (t *transfer) timeout(bytes int, base kernel.Micros) kernel.Micros {
	pace := max(kernel.Micros(1e6*(1<<20)/minTransferRate), 2*t.pace)
	timeout := base + pace*kernel.Micros(bytes)/(1<<20)
	return min(timeout<<min(t.attempts, 5), maxTransferTimeout)
}

// begin notes that a document was sent.
func (t *transfer) begin(now kernel.Micros, position Position, bytes int, base kernel.Micros) {
	if t.isUnderWay(now) {
		t.bytes += bytes
	} else {
		if t.position == (Position{}) {
			t.sentAt = now
		} else {
			t.attempts++
		}
		t.bytes = bytes
	}
	t.position = position
	t.expiresAt = now + t.timeout(t.bytes, base)
}

// arrived notes that the receiver holds what was sent.
func (t *transfer) arrived(now kernel.Micros) {
	if t.position == (Position{}) {
		return
	}
	if t.bytes > smallDocument {
		taken := (now - t.sentAt) * (1 << 20) / kernel.Micros(t.bytes)
		t.pace = min(max(taken, t.pace*3/4), maxTransferPace)
	}
	*t = transfer{pace: t.pace}
}

// cancel forgets what is under way: it surely won't arrive, or was of no use.
func (t *transfer) cancel() { *t = transfer{pace: t.pace} }

// transferBaseTimeout is how long a small document may take.
func (c *Core) transferBaseTimeout() kernel.Micros { return 5 * c.settings.Timing.HeartbeatInterval }

// documentFor gives the document that goes to a member with this heartbeat; nil: none.
func (c *Core) documentFor(p *peer) *Document {
	newest := c.doc.Position()
	if p.synced == newest {
		return nil
	}
	document := c.doc
	// Nearly every document keeps the configuration of the one before, and one that is proposed
	// again under another term is known to most. A member that has it not says so, and is sent
	// the whole.
	isRepeat := c.doc.ConfigRevision < c.doc.Revision || !c.hasCommittedInTerm
	switch {
	case p.lacksConfig:
	case isRepeat:
		document = c.doc.withoutConfig()
	default:
		document = c.doc.deltaFor(p.synced.Revision)
	}
	bytes := document.wireSize()
	if p.transfer.isUnderWay(c.now) {
		fits := bytes <= smallDocument && p.transfer.bytes+bytes <= transferWindow
		if p.transfer.position == newest || !fits {
			return nil
		}
	}
	p.transfer.begin(c.now, newest, bytes, c.transferBaseTimeout())
	return document
}

// transfers paces the large documents that go to nodes, by address.
type transfers map[string]*transfer

const (
	// largeTransferTimeout is how long a large document may take to a node beyond its bytes, and to say so;
	// smallTransferTimeout is that of a small one.
	largeTransferTimeout = kernel.Second
	smallTransferTimeout = 300 * kernel.Millisecond
)

// offer gives the committed document as it is to go to a node that holds a revision; nil: it
// holds it, or a large one is on its way to it. A member of the core gets the configuration by a
// heartbeat, so the first offer to it leaves that out.
func (t transfers) offer(now kernel.Micros, address string, document *Document, received uint64, isMember bool) *Document {
	if document == nil || received >= document.Revision {
		return nil
	}
	known := t[address]
	if known == nil {
		known = &transfer{}
		t[address] = known
	}
	if received >= known.position.Revision {
		known.arrived(now)
	}
	if known.isUnderWay(now) {
		return nil
	}
	document = document.deltaFor(received)
	bytes := document.wireSize()
	if bytes <= pacedDocument && len(document.Changes) == 0 {
		return document
	}
	if isMember && known.position != document.Position() {
		document = document.withoutConfig()
	}
	wait := largeTransferTimeout
	if bytes <= smallDocument {
		wait = smallTransferTimeout
	}
	known.begin(now, document.Position(), bytes, wait)
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

// isVoterAt tells whether a voter of the document in force is at an address.
func (n *Node) isVoterAt(address string) bool {
	return slices.Contains(n.lease.Applied().voterAddresses(), address)
}

// withConfig puts back the configuration that a sender left out, if the core holds it.
func (n *Node) withConfig(document *Document) *Document {
	if n.core == nil {
		return document
	}
	if complete := document.withConfig(n.settings.PatchConfig, n.core.doc, n.core.committed); complete != nil {
		return complete
	}
	return document
}

// sweep forgets those that were given up long ago.
func (t transfers) sweep(now kernel.Micros) {
	for address, known := range t {
		if now-known.expiresAt > maxTransferTimeout {
			delete(t, address)
		}
	}
}
