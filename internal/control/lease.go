package control

import (
	"fmt"
	"slices"

	"dunlinloom/internal/kernel"
)

// Lease lets this node's router serve. It is counted from the moment the ask
// was sent, so no clock but the own one matters and a slow network only makes
// it shorter.
type Lease struct {
	self     string
	isRouter bool
	timing   Timing
	note     func(subject, decision, why string)

	applied *Document
	// wanted is the newest committed document whose configuration is still being compiled. It is
	// held, but neither applied nor attested nor served under.
	received *Document
	// isCompiled tells whether a document's configuration is compiled, and sees to it if not; nil: all are.
	isCompiled func(*Document) bool
	// patch puts a configuration together that came as changes; nil: none can be.
	patch configPatcher
	// lacksConfig: changes came that lead to no configuration here, so that it has to be sent whole.
	lacksConfig bool
	// serveExtension is how long a word of the core lasts beyond the strict span; see NodeSettings.
	serveExtension kernel.Micros
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

// NewLease makes a lease that has lapsed.
func NewLease(self string, isRouter bool, timing Timing, note func(subject, decision, why string)) *Lease {
	return &Lease{self: self, isRouter: isRouter, timing: timing, note: note, requestedAt: map[uint64]kernel.Micros{}}
}

// Applied is the document in force here, or nil.
func (l *Lease) Applied() *Document { return l.applied }

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

// baseRevision is the newest revision whose configuration this node can go on from; zero: it needs the whole.
func (l *Lease) baseRevision() uint64 {
	if l.lacksConfig {
		return 0
	}
	return l.Received()
}

// Until is the moment up to which the router may serve.
func (l *Lease) Until() kernel.Micros { return l.until }

// Apply takes a committed document; older ones are passed over, and so are those whose
// configuration was left out and is not held here: the next ask says so and brings it.
func (l *Lease) Apply(document *Document) bool {
	sent := document
	document = document.withConfig(l.patch, l.applied, l.received)
	l.lacksConfig = l.lacksConfig || document == nil && sent != nil && len(sent.Changes) > 0
	if document == nil || document.Revision <= l.Revision() || l.received != nil && document.Revision < l.received.Revision {
		return false
	}
	if l.isCompiled != nil && !l.isCompiled(document) {
		l.received = document
		return false
	}
	l.applied, l.received, l.lacksConfig = document, nil, false
	if l.serveExtension >= ServeWithoutLimit {
		l.until = ServeWithoutLimit
	}
	return true
}

// NewRequest opens an ask; its number ties the grant to the moment of sending.
func (l *Lease) NewRequest(now kernel.Micros) uint64 {
	l.seq++
	l.requestedAt[l.seq] = now
	for seq, at := range l.requestedAt {
		if now-at > l.timing.LeaseSpan {
			delete(l.requestedAt, seq)
		}
	}
	return l.seq
}

// TakeGrant takes the leader's grant; true when the document here changed.
func (l *Lease) TakeGrant(now kernel.Micros, grant *LeaseGrant) bool {
	isChanged := l.Apply(grant.Document)
	requestedAt, isMine := l.requestedAt[grant.Seq]
	// The grant stands for its revision: with an older document it gives nothing.
	if !isMine || l.Revision() < grant.Revision {
		return isChanged
	}
	delete(l.requestedAt, grant.Seq)
	if l.hasNoQuorum {
		l.note("licence", "core back", "the leader grants again")
		l.hasNoQuorum = false
	}
	l.isProven = true
	l.grantedRequestAt = max(l.grantedRequestAt, requestedAt)
	l.extend(requestedAt)
	return isChanged
}

// TakeFreshness takes the word that a revision was the newest some time before an ask was answered.
// The span is counted back from when the ask was sent, so that no clock but the own one matters.
func (l *Lease) TakeFreshness(requestSeq, revision uint64, freshness Freshness) {
	requestedAt, isMine := l.requestedAt[requestSeq]
	if !freshness.IsFresh || !isMine || l.Revision() < revision {
		return
	}
	l.freshAt = max(l.freshAt, requestedAt-freshness.Age)
}

// Freshness tells how long ago the document in force here was surely the newest one.
func (l *Lease) Freshness(now kernel.Micros) Freshness {
	if l.freshAt <= 0 {
		return Freshness{}
	}
	return Freshness{IsFresh: true, Age: now - l.freshAt}
}

func (l *Lease) extend(requestedAt kernel.Micros) {
	if l.serveExtension < ServeWithoutLimit {
		l.until = max(l.until, requestedAt+max(l.timing.LeaseSpan, l.serveExtension))
	}
}

// Attest answers another router's question.
func (l *Lease) Attest(m *AttestRequest) *AttestResponse {
	reply := &AttestResponse{Seq: m.Seq, Revision: l.Revision(), IsProven: l.isProven && l.isRouter}
	if m.WantsDocument && l.Revision() > m.Applied {
		reply.Document = l.applied.deltaFor(m.Applied)
	}
	return reply
}

// TickNoQuorum asks the registered routers when the core has been silent too long; keen is
// the one to ask for its newer document, if any.
func (l *Lease) TickNoQuorum(now kernel.Micros) (to []string, request *AttestRequest, documentPeer string) {
	if l.serveExtension >= ServeWithoutLimit || !l.isRouter || !l.isProven || now < l.attestTimer || now-l.grantedRequestAt < 7*kernel.Second/10 {
		return nil, nil, ""
	}
	l.attestTimer = now + 300*kernel.Millisecond
	if !l.hasNoQuorum {
		l.note("licence", "core dark", "no grant for 700 ms; asking the registered routers")
		l.hasNoQuorum = true
	}
	l.attestSeq = l.NewRequest(now)
	l.attested = map[string]uint64{}
	for _, address := range l.applied.Routers {
		if address != l.self {
			to = append(to, address)
		}
	}
	l.evaluate()
	if documentPeer, l.newerPeer = l.newerPeer, ""; documentPeer != "" {
		l.documentRequestAt = now + documentRequestInterval
	}
	return to, &AttestRequest{Seq: l.attestSeq, Applied: l.Revision()}, documentPeer
}

// documentRequestInterval leaves a document of megabytes the time to arrive.
const documentRequestInterval = kernel.Second / 2

// TakeAttestResponse counts a router's word; true when the document here changed.
func (l *Lease) TakeAttestResponse(now kernel.Micros, from string, m *AttestResponse) bool {
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
	l.evaluate()
	return isChanged
}

func (l *Lease) evaluate() {
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

// Views keeps a partial view of the fleet's nodes and shuffles it with neighbours.
type Views struct {
	self     Neighbour
	view     []Neighbour
	seeds    []string
	timer    kernel.Micros
	interval kernel.Micros
	sentTo   string
	sent     []Neighbour
	pick     func(int) int
}

const (
	viewSize    = 8
	shuffleSize = 4
)

// NewViews starts from the seeds.
func NewViews(self Neighbour, seeds []string, every kernel.Micros, pick func(int) int) *Views {
	return &Views{self: self, seeds: seeds, interval: every, pick: pick}
}

// Neighbours gives the addresses in view.
func (v *Views) Neighbours() []string {
	addresses := make([]string, 0, len(v.view))
	for _, neighbour := range v.view {
		addresses = append(addresses, neighbour.Address)
	}
	return addresses
}

// isSeen tells whether these are the addresses in view.
func (v *Views) isSeen(addresses []string) bool {
	if len(addresses) != len(v.view) {
		return false
	}
	for i, neighbour := range v.view {
		if neighbour.Address != addresses[i] {
			return false
		}
	}
	return true
}

// Tick gives the neighbour to shuffle with, when it is time.
func (v *Views) Tick(now kernel.Micros) (to string, shuffle *Shuffle) {
	if now < v.timer {
		return "", nil
	}
	v.timer = now + v.interval
	if len(v.view) == 0 {
		seeds := slices.DeleteFunc(slices.Clone(v.seeds), func(seed string) bool { return seed == v.self.Address })
		if len(seeds) == 0 {
			return "", nil
		}
		v.sentTo, v.sent = seeds[v.pick(len(seeds))], nil
		return v.sentTo, &Shuffle{View: []Neighbour{v.self}}
	}
	oldest := 0
	for i := range v.view {
		v.view[i].Age++
		if v.view[i].Age > v.view[oldest].Age {
			oldest = i
		}
	}
	// The oldest leaves the view: if it lives it comes back with its reply.
	v.sentTo = v.view[oldest].Address
	v.view = slices.Delete(v.view, oldest, oldest+1)
	v.sent = v.sample(shuffleSize - 1)
	return v.sentTo, &Shuffle{View: append(slices.Clone(v.sent), v.self)}
}

func (v *Views) sample(limit int) []Neighbour {
	rest := slices.Clone(v.view)
	chosen := []Neighbour{}
	for len(rest) > 0 && len(chosen) < limit {
		index := v.pick(len(rest))
		chosen = append(chosen, rest[index])
		rest = slices.Delete(rest, index, index+1)
	}
	return chosen
}

// Take merges a neighbour's part; it gives the own part when one is owed.
func (v *Views) Take(from string, m *Shuffle) *Shuffle {
	var reply *Shuffle
	given := v.sent
	if !m.IsReply {
		given = v.sample(shuffleSize)
		reply = &Shuffle{View: given, IsReply: true}
	} else if from == v.sentTo {
		v.merge([]Neighbour{{Address: from}}, nil)
	}
	v.merge(m.View, given)
	return reply
}

func (v *Views) merge(received, given []Neighbour) {
	for _, neighbour := range received {
		if neighbour.Address == v.self.Address {
			continue
		}
		index := slices.IndexFunc(v.view, func(known Neighbour) bool { return known.Address == neighbour.Address })
		if index >= 0 {
			v.view[index].Age = min(v.view[index].Age, neighbour.Age)
			if neighbour.Zone != "" {
				v.view[index].Zone = neighbour.Zone
			}
			continue
		}
		if len(v.view) >= viewSize {
			// What was handed over makes room first, so that entries are traded and not copied.
			drop := slices.IndexFunc(v.view, func(known Neighbour) bool {
				return slices.ContainsFunc(given, func(sent Neighbour) bool { return sent.Address == known.Address })
			})
			if drop < 0 {
				continue
			}
			v.view = slices.Delete(v.view, drop, drop+1)
		}
		v.view = append(v.view, neighbour)
	}
}
