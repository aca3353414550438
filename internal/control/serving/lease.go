package serving

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Lease lets this node's router serve. It is counted from the moment the ask
// was sent, so no clock but the own one matters and a slow network only makes
// it shorter.
type Lease struct {
	self     string
	isRouter bool
	timing   cluster.Timing
	note     func(subject decision.Subject, what decision.Decision, why string)

	applied *cluster.Document
	// received is the newest committed document whose configuration is still being compiled. It is
	// held, but neither applied nor attested nor served under.
	received *cluster.Document
	// isCompiled tells whether a document's configuration is compiled, and sees to it if not; nil: all are.
	isCompiled func(*cluster.Document) bool
	// patch puts a configuration together that came as changes; nil: none can be.
	patch cluster.ConfigPatcher
	// lacksConfig: changes came that lead to no configuration here, so that it has to be sent whole.
	lacksConfig bool
	// serveExtension is how long a contact with the core lasts beyond the strict span; see LeaseSettings.
	serveExtension kernel.Micros
	requestSpan    kernel.Micros // for how long a request may be answered
	until          kernel.Micros
	// isProven: the leader itself has granted since this process started. A
	// restarted router has forgotten what it once applied; until the leader has
	// spoken to it, its word must not count towards others' leases, nor theirs
	// towards its own: it may have served under what none of them ever had.
	isProven bool

	// freshAt is the latest moment at which the document in force here was surely the newest one.
	freshAt kernel.Micros

	seq              uint64
	requestedAt      map[uint64]kernel.Micros
	grantedRequestAt kernel.Micros // when the newest granted ask was sent
	attestSeq        uint64
	attestTimer      kernel.Micros
	attested         map[string]uint64
	hasNoQuorum      bool
	// Documents can be large, and every other router may hold a newer one: it is asked of
	// one of them, and of another only after a while.
	newerPeer         string
	documentRequestAt kernel.Micros // the next time at which one may be asked
}

// LeaseSettings is what a lease is made from.
type LeaseSettings struct {
	Self     string // the node's address between nodes
	IsRouter bool
	Timing   cluster.Timing
	Note     func(subject decision.Subject, what decision.Decision, why string) // tells a decision to the journal
	// FirstSeq is the number before that of the first request of this incarnation.
	FirstSeq uint64
	// IsCompiled tells whether a document's configuration is compiled, and sees to it if not; nil: all are.
	IsCompiled func(*cluster.Document) bool
	// PatchConfig puts a configuration together that came as changes; nil: none can be.
	PatchConfig func(current, change []byte) ([]byte, error)
	// ServeExtension is how long, in microseconds, a contact with the core lasts beyond the strict span;
	// zero: leases alone. See NodeSettings.
	ServeExtension kernel.Micros
	// MaxAge is for how long an answer to a request is of use to tell the age of the document; zero: for LeaseSpan.
	MaxAge kernel.Micros
}

// NewLease makes a lease that has lapsed.
func NewLease(settings LeaseSettings) *Lease {
	return &Lease{
		self: settings.Self, isRouter: settings.IsRouter, timing: settings.Timing, note: settings.Note,
		seq: settings.FirstSeq, isCompiled: settings.IsCompiled, patch: settings.PatchConfig,
		serveExtension: settings.ServeExtension, requestSpan: max(settings.Timing.LeaseSpan, settings.MaxAge), requestedAt: map[uint64]kernel.Micros{},
	}
}

// Applied is the document in force here, or nil.
func (l *Lease) Applied() *cluster.Document { return l.applied }

// ReceivedDocument is the newest committed document whose configuration is still being compiled; nil: none is.
func (l *Lease) ReceivedDocument() *cluster.Document { return l.received }

// LacksConfig tells that changes came that lead to no configuration here, so that it has to be sent in full.
func (l *Lease) LacksConfig() bool { return l.lacksConfig }

// GrantedRequestAt is when the newest granted request was sent.
func (l *Lease) GrantedRequestAt() kernel.Micros { return l.grantedRequestAt }

// FreshAt is the latest time at which the document in force here was surely the newest one.
func (l *Lease) FreshAt() kernel.Micros { return l.freshAt }

// Revision of the document in force here.
func (l *Lease) Revision() uint64 {
	if l.applied == nil {
		return 0
	}
	return l.applied.Revision
}

// Received is the revision of the newest document held here, applied or not yet.
func (l *Lease) Received() uint64 {
	if l.received != nil {
		return l.received.Revision
	}
	return l.Revision()
}

// BaseRevision is the newest revision whose configuration this node can go on from; zero: it needs the whole.
func (l *Lease) BaseRevision() uint64 {
	if l.lacksConfig {
		return 0
	}
	return l.Received()
}

// IsProven tells whether the leader itself has granted since this process started. Until then the router's
// attestations do not count towards others' leases, nor theirs towards its own.
func (l *Lease) IsProven() bool { return l.isProven }

// Until is the moment up to which the router may serve.
func (l *Lease) Until() kernel.Micros { return l.until }

// Apply takes a committed document; older ones are passed over, and so are those whose
// configuration was left out and is not held here: the next ask says so and brings it.
func (l *Lease) Apply(document *cluster.Document) bool {
	sent := document
	document = document.WithConfig(l.patch, l.applied, l.received)
	l.lacksConfig = l.lacksConfig || document == nil && sent != nil && len(sent.Changes) > 0
	if document == nil || document.Revision <= l.Revision() || l.received != nil && document.Revision < l.received.Revision {
		return false
	}
	if l.isCompiled != nil && !l.isCompiled(document) {
		l.received = document
		return false
	}
	l.applied, l.received, l.lacksConfig = document, nil, false
	if l.serveExtension >= cluster.ServeWithoutLimit {
		l.until = cluster.ServeWithoutLimit
	}
	return true
}

// NewRequest opens an ask; its number ties the grant to the moment of sending.
func (l *Lease) NewRequest(now kernel.Micros) uint64 {
	l.seq++
	l.requestedAt[l.seq] = now
	for seq, at := range l.requestedAt {
		if now-at > l.requestSpan {
			delete(l.requestedAt, seq)
		}
	}
	return l.seq
}

// HandleGrant takes the leader's grant; true when the document here changed. The lease runs from the time at
// which the grant was requested, so the time of its arrival does not count.
func (l *Lease) HandleGrant(_ kernel.Micros, grant *wire.LeaseGrant) bool {
	isChanged := l.Apply(grant.Document)
	requestedAt, isMine := l.requestedAt[grant.Seq]
	// The grant stands for its revision: with an older document it gives nothing.
	if !isMine || l.Revision() < grant.Revision {
		return isChanged
	}
	delete(l.requestedAt, grant.Seq)
	if l.hasNoQuorum {
		l.note(decision.Lease, decision.QuorumBack, "the leader grants again")
		l.hasNoQuorum = false
	}
	l.isProven = true
	l.grantedRequestAt = max(l.grantedRequestAt, requestedAt)
	l.extend(requestedAt)
	return isChanged
}

// HandleFreshness takes the word that a revision was the newest some time before an ask was answered.
// The span is counted back from when the ask was sent, so that no clock but the own one matters.
func (l *Lease) HandleFreshness(requestSeq, revision uint64, freshness wire.Freshness) {
	requestedAt, isMine := l.requestedAt[requestSeq]
	if !freshness.IsFresh || !isMine || l.Revision() < revision {
		return
	}
	l.freshAt = max(l.freshAt, requestedAt-freshness.Age)
}

// Freshness tells how long ago the document in force here was surely the newest one.
func (l *Lease) Freshness(now kernel.Micros) wire.Freshness {
	if l.freshAt <= 0 {
		return wire.Freshness{}
	}
	return wire.Freshness{IsFresh: true, Age: now - l.freshAt}
}

func (l *Lease) extend(requestedAt kernel.Micros) {
	if l.serveExtension < cluster.ServeWithoutLimit {
		l.until = max(l.until, requestedAt+max(l.timing.LeaseSpan, l.serveExtension))
	}
}

// Attest answers another router's question.
func (l *Lease) Attest(m *wire.AttestRequest) *wire.AttestResponse {
	reply := &wire.AttestResponse{Seq: m.Seq, Revision: l.Revision(), IsProven: l.isProven && l.isRouter}
	if m.WantsDocument && l.Revision() > m.Applied {
		reply.Document = l.applied.DeltaFor(m.Applied)
	}
	return reply
}

// TickNoQuorum asks the registered routers when the core has been silent too long; keen is
// the one to ask for its newer document, if any.
func (l *Lease) TickNoQuorum(now kernel.Micros) (to []string, request *wire.AttestRequest, documentPeer string) {
	if l.serveExtension >= cluster.ServeWithoutLimit || !l.isRouter || !l.isProven || now < l.attestTimer || now-l.grantedRequestAt < 7*kernel.Second/10 {
		return nil, nil, ""
	}
	l.attestTimer = now + 300*kernel.Millisecond
	if !l.hasNoQuorum {
		l.note(decision.Lease, decision.NoQuorum, "no grant for 700 ms; asking the registered routers")
		l.hasNoQuorum = true
	}
	l.attestSeq = l.NewRequest(now)
	l.attested = map[string]uint64{}
	for _, address := range l.applied.Routers {
		if address != l.self {
			to = append(to, address)
		}
	}
	l.evaluateAttestations()
	if documentPeer, l.newerPeer = l.newerPeer, ""; documentPeer != "" {
		l.documentRequestAt = now + DocumentRequestInterval
	}
	return to, &wire.AttestRequest{Seq: l.attestSeq, Applied: l.Revision()}, documentPeer
}

// DocumentRequestInterval leaves a document of megabytes the time to arrive.
const DocumentRequestInterval = kernel.Second / 2

// HandleAttestResponse counts a router's word; true when the document here changed.
func (l *Lease) HandleAttestResponse(now kernel.Micros, from string, m *wire.AttestResponse) bool {
	isChanged := l.Apply(m.Document)
	if m.Revision > l.Received() && now >= l.documentRequestAt && l.newerPeer == "" {
		// Asked for at once: without it there is no lease to be had.
		l.newerPeer, l.attestTimer = from, 0
	}
	if m.Seq != l.attestSeq || l.attested == nil {
		return isChanged
	}
	if isChanged {
		// Words given on the older revision say nothing on this one; ask anew.
		l.attestTimer = 0
	}
	if m.IsProven {
		l.attested[from] = m.Revision
	}
	l.evaluateAttestations()
	return isChanged
}

func (l *Lease) evaluateAttestations() {
	requestedAt, isMine := l.requestedAt[l.attestSeq]
	if !l.isProven || !isMine || len(l.applied.Routers) == 0 {
		return
	}
	count := 0
	for _, address := range l.applied.Routers {
		revision, hasAttested := l.attested[address]
		if address == l.self {
			revision, hasAttested = l.Revision(), l.isProven
		}
		if !hasAttested {
			continue
		}
		if revision > l.Revision() {
			return
		}
		count++
	}
	if count > len(l.applied.Routers)/2 {
		l.extend(requestedAt)
	}
}

// LapseReason explains a lapsed lease.
func (l *Lease) LapseReason(now kernel.Micros) string {
	switch {
	case l.applied == nil:
		return "no document has reached this router yet"
	case now >= l.until && !l.isProven:
		return "the leader has not granted since this router started; it may have forgotten a newer revision"
	case now >= l.until:
		return fmt.Sprintf("the lease lapsed %d us ago: neither the core nor a majority of the %d registered routers vouched for revision %d",
			now-l.until, len(l.applied.Routers), l.Revision())
	}
	return ""
}
