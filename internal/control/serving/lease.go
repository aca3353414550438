package serving

import (
	"fmt"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Lease permits this node's router to serve. It is counted from the time at which it was requested, so
// it depends on no clock but this node's own, and a slow network only makes it shorter.
type Lease struct {
	self     string
	isRouter bool
	timing   cluster.Timing
	note     func(subject decision.Subject, what decision.Decision, why string)

	applied *cluster.Document
	// received is the newest committed document if its configuration is still being compiled, otherwise nil. It
	// is not applied yet, so it is neither attested nor served under.
	received *cluster.Document
	// isCompiled reports whether a document's configuration is compiled, and starts the compilation if it is
	// not. If nil, every configuration counts as compiled.
	isCompiled func(*cluster.Document) bool
	// patch applies configuration changes. If nil, changes can't be applied.
	patch cluster.ConfigPatcher
	// lacksConfig is set if received changes did not lead to a configuration, so that it has to be sent in full.
	lacksConfig    bool
	serveExtension kernel.Micros // see LeaseSettings
	requestSpan    kernel.Micros // how long after a request its response is accepted
	expiresAt      kernel.Micros
	// isProven is set once the leader has granted a lease since this process started. A restarted router does
	// not know what it once applied, and may have served under a revision that no other router has. Until the
	// leader has granted a lease, the router's attestations therefore don't count for other routers, nor theirs
	// for it.
	isProven bool

	// freshAt is the latest time at which the applied document was certainly the newest one.
	freshAt kernel.Micros

	seq              uint64
	requestedAt      map[uint64]kernel.Micros
	grantedRequestAt kernel.Micros     // when the newest granted request was sent
	attestSeq        uint64            // number of the newest attest request
	attestTimer      kernel.Micros     // the earliest time of the next attest request
	attested         map[string]uint64 // revisions that proven routers attested in answer to attestSeq, by address
	hasNoQuorum      bool              // no lease was granted for so long that the core counts as without quorum
	// newerPeer is the router from which a newer document is requested next. Documents can be large, and every other
	// router may have the newer one. It is therefore requested from one router at a time, and from the next one only
	// after DocumentRequestInterval.
	newerPeer         string
	documentRequestAt kernel.Micros // the earliest time of the next request for a document
}

// LeaseSettings has the settings of a Lease.
type LeaseSettings struct {
	Self     string // the node's internal address
	IsRouter bool
	Timing   cluster.Timing
	Note     func(subject decision.Subject, what decision.Decision, why string) // records a decision in the journal
	// FirstSeq starts the numbers of this process's requests: the first request has the number FirstSeq+1. It has to
	// differ between processes, so that a late response to an earlier process matches no request.
	FirstSeq uint64
	// IsCompiled reports whether a document's configuration is compiled, and starts the compilation if it is
	// not. If nil, every configuration counts as compiled.
	IsCompiled func(*cluster.Document) bool
	// PatchConfig applies a configuration change. If nil, changes can't be applied.
	PatchConfig func(current, change []byte) ([]byte, error)
	// ServeExtension is how long the router may serve, counted from when it sent the newest request that was granted.
	// It applies if it is longer than LeaseSpan. With ServeWithoutLimit the router needs no lease and may serve as soon
	// as a document is applied. See NodeSettings.
	ServeExtension kernel.Micros
	// MaxAge is how long after a request its response is still used to determine the age of the document. It applies
	// if it is longer than LeaseSpan.
	MaxAge kernel.Micros
}

// NewLease returns a lease that has lapsed and has no document.
func NewLease(settings LeaseSettings) *Lease {
	return &Lease{
		self: settings.Self, isRouter: settings.IsRouter, timing: settings.Timing, note: settings.Note,
		seq: settings.FirstSeq, isCompiled: settings.IsCompiled, patch: settings.PatchConfig,
		serveExtension: settings.ServeExtension, requestSpan: max(settings.Timing.LeaseSpan, settings.MaxAge), requestedAt: map[uint64]kernel.Micros{},
	}
}

// Applied returns the applied document, or nil.
func (l *Lease) Applied() *cluster.Document { return l.applied }

// ReceivedDocument returns the newest committed document if its configuration is still being compiled, otherwise nil.
func (l *Lease) ReceivedDocument() *cluster.Document { return l.received }

// LacksConfig reports whether received changes did not lead to a configuration, so that it has to be sent in full.
func (l *Lease) LacksConfig() bool { return l.lacksConfig }

// GrantedRequestAt returns when the newest granted request was sent.
func (l *Lease) GrantedRequestAt() kernel.Micros { return l.grantedRequestAt }

// FreshAt returns the latest time at which the applied document was certainly the newest one.
func (l *Lease) FreshAt() kernel.Micros { return l.freshAt }

// Revision returns the revision of the applied document, or zero.
func (l *Lease) Revision() uint64 {
	if l.applied == nil {
		return 0
	}
	return l.applied.Revision
}

// Received returns the revision of the newest received document, whether it is applied or not.
func (l *Lease) Received() uint64 {
	if l.received != nil {
		return l.received.Revision
	}
	return l.Revision()
}

// BaseRevision returns the newest revision to whose configuration changes can be applied, or zero if the
// configuration has to be sent in full.
func (l *Lease) BaseRevision() uint64 {
	if l.lacksConfig {
		return 0
	}
	return l.Received()
}

// IsProven reports whether the leader has granted a lease since this process started. Until then the router's
// attestations don't count for other routers, nor theirs for it.
func (l *Lease) IsProven() bool { return l.isProven }

// ExpiresAt returns the time until which the router may serve.
func (l *Lease) ExpiresAt() kernel.Micros { return l.expiresAt }

// Apply applies a committed document and reports whether it is now the applied one. An older document is ignored,
// and so is one whose configuration was left out and can't be restored. If the latter came with changes, the next
// request asks for the whole configuration. A document whose configuration is not compiled yet is stored as received.
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
		l.expiresAt = cluster.ServeWithoutLimit
	}
	return true
}

// NewRequest records that a request is sent now, and returns its number. A grant repeats the number and is thereby
// matched with the time of the request.
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

// HandleGrant processes the leader's grant and reports whether the applied document changed. The lease is counted
// from the time of the request, so the time of arrival is not used.
func (l *Lease) HandleGrant(_ kernel.Micros, grant *wire.LeaseGrant) bool {
	isChanged := l.Apply(grant.Document)
	requestedAt, isKnown := l.requestedAt[grant.Seq]
	// A grant counts only if its request is known and this router has applied the granted revision or a later one.
	if !isKnown || l.Revision() < grant.Revision {
		return isChanged
	}
	delete(l.requestedAt, grant.Seq)
	if l.hasNoQuorum {
		l.note(decision.Lease, decision.QuorumBack, "the leader granted a lease again")
		l.hasNoQuorum = false
	}
	l.isProven = true
	l.grantedRequestAt = max(l.grantedRequestAt, requestedAt)
	l.extend(requestedAt)
	return isChanged
}

// HandleFreshness processes the answer to a request in which the sender states how long ago a revision was certainly
// the newest one. That age is subtracted from the time of the request, so that no times of two clocks are compared.
func (l *Lease) HandleFreshness(requestSeq, revision uint64, freshness wire.Freshness) {
	requestedAt, isKnown := l.requestedAt[requestSeq]
	if !freshness.IsFresh || !isKnown || l.Revision() < revision {
		return
	}
	l.freshAt = max(l.freshAt, requestedAt-freshness.Age)
}

// Freshness returns how long ago the applied document was certainly the newest one.
func (l *Lease) Freshness(now kernel.Micros) wire.Freshness {
	if l.freshAt <= 0 {
		return wire.Freshness{}
	}
	return wire.Freshness{IsFresh: true, Age: now - l.freshAt}
}

func (l *Lease) extend(requestedAt kernel.Micros) {
	if l.serveExtension < cluster.ServeWithoutLimit {
		l.expiresAt = max(l.expiresAt, requestedAt+max(l.timing.LeaseSpan, l.serveExtension))
	}
}

// Attest returns the response to another router's attest request.
func (l *Lease) Attest(m *wire.AttestRequest) *wire.AttestResponse {
	reply := &wire.AttestResponse{Seq: m.Seq, Revision: l.Revision(), IsProven: l.isProven && l.isRouter}
	if m.WantsDocument && l.Revision() > m.Applied {
		reply.Document = l.applied.DeltaFor(m.Applied)
	}
	return reply
}

// TickNoQuorum returns an attest request and the registered routers to send it to, if no request of the last 700 ms
// has been granted. If one of the routers is known to have a newer document, documentPeer is the router to request
// it from.
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

// DocumentRequestInterval is the minimum time between two requests for a newer document. A document of several
// megabytes needs that long to arrive.
const DocumentRequestInterval = kernel.Second / 2

// HandleAttestResponse processes another router's attestation and reports whether the applied document changed.
func (l *Lease) HandleAttestResponse(now kernel.Micros, from string, m *wire.AttestResponse) bool {
	isChanged := l.Apply(m.Document)
	if m.Revision > l.Received() && now >= l.documentRequestAt && l.newerPeer == "" {
		// The newer document is requested at once, because a router with an older one can't get a lease.
		l.newerPeer, l.attestTimer = from, 0
	}
	if m.Seq != l.attestSeq || l.attested == nil {
		return isChanged
	}
	if isChanged {
		// Attestations for the older revision are not valid for this one, so they are requested again.
		l.attestTimer = 0
	}
	if m.IsProven {
		l.attested[from] = m.Revision
	}
	l.evaluateAttestations()
	return isChanged
}

func (l *Lease) evaluateAttestations() {
	requestedAt, isKnown := l.requestedAt[l.attestSeq]
	if !l.isProven || !isKnown || len(l.applied.Routers) == 0 {
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

// LapseReason returns why the lease has lapsed, or an empty string if it has not.
func (l *Lease) LapseReason(now kernel.Micros) string {
	switch {
	case l.applied == nil:
		return "no document has reached this router yet"
	case now >= l.expiresAt && !l.isProven:
		return "the leader has not granted a lease since this router started; the router may have applied a newer revision before the restart"
	case now >= l.expiresAt:
		return fmt.Sprintf("the lease lapsed %d us ago: neither the core nor a majority of the %d registered routers confirmed revision %d",
			now-l.expiresAt, len(l.applied.Routers), l.Revision())
	}
	return ""
}
