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
	wanted *Document
	// isPrepared tells whether a document's configuration is compiled, and sees to it if not; nil: all are.
	isPrepared func(*Document) bool
	// change puts a configuration together that came as changes; nil: none can be.
	change changer
	// isBare: changes came that lead to no configuration here, so that it has to be sent whole.
	isBare bool
	// serveOn is how long a word of the core lasts beyond the strict span; see NodeSettings.
	serveOn kernel.Micros
	until   kernel.Micros
	// isProven: the leader itself has granted since this process started. A
	// restarted router has forgotten what it once applied; until the leader has
	// spoken to it, its word must not count towards others' leases, nor theirs
	// towards its own: it may have served under what none of them ever had.
	isProven bool

	// freshAt is the latest moment at which the document in force here was surely the newest one.
	freshAt kernel.Micros

	seq         uint64
	askedAt     map[uint64]kernel.Micros
	grantedAsk  kernel.Micros // when the newest granted ask was sent
	attestSeq   uint64
	attestTimer kernel.Micros
	attested    map[string]uint64
	isDark      bool
	// Documents can be large, and every other router may hold a newer one: it is asked of
	// one of them, and of another only after a while.
	newerAt  string
	keenFrom kernel.Micros // the next time at which one may be asked
}

// NewLease makes a lease that has lapsed.
func NewLease(self string, isRouter bool, timing Timing, note func(subject, decision, why string)) *Lease {
	return &Lease{self: self, isRouter: isRouter, timing: timing, note: note, askedAt: map[uint64]kernel.Micros{}}
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

// Held is the revision of the newest document held here, applied or not yet.
func (l *Lease) Held() uint64 {
	if l.wanted != nil {
		return l.wanted.Revision
	}
	return l.Revision()
}

// holds is the newest revision whose configuration this node can go on from; zero: it needs the whole.
func (l *Lease) holds() uint64 {
	if l.isBare {
		return 0
	}
	return l.Held()
}

// Until is the moment up to which the router may serve.
func (l *Lease) Until() kernel.Micros { return l.until }

// Apply takes a committed document; older ones are passed over, and so are those whose
// configuration was left out and is not held here: the next ask says so and brings it.
func (l *Lease) Apply(document *Document) bool {
	sent := document
	document = document.whole(l.change, l.applied, l.wanted)
	l.isBare = l.isBare || document == nil && sent != nil && len(sent.Changes) > 0
	if document == nil || document.Revision <= l.Revision() || l.wanted != nil && document.Revision < l.wanted.Revision {
		return false
	}
	if l.isPrepared != nil && !l.isPrepared(document) {
		l.wanted = document
		return false
	}
	l.applied, l.wanted, l.isBare = document, nil, false
	if l.serveOn >= ServeOnAlways {
		l.until = ServeOnAlways
	}
	return true
}

// NewAsk opens an ask; its number ties the grant to the moment of sending.
func (l *Lease) NewAsk(now kernel.Micros) uint64 {
	l.seq++
	l.askedAt[l.seq] = now
	for seq, at := range l.askedAt {
		if now-at > l.timing.Lease {
			delete(l.askedAt, seq)
		}
	}
	return l.seq
}

// TakeGrant takes the leader's grant; true when the document here changed.
func (l *Lease) TakeGrant(now kernel.Micros, grant *Grant) bool {
	isNews := l.Apply(grant.Document)
	askedAt, isMine := l.askedAt[grant.Seq]
	// The grant stands for its revision: with an older document it gives nothing.
	if !isMine || l.Revision() < grant.Revision {
		return isNews
	}
	delete(l.askedAt, grant.Seq)
	if l.isDark {
		l.note("licence", "core back", "the leader grants again")
		l.isDark = false
	}
	l.isProven = true
	l.grantedAsk = max(l.grantedAsk, askedAt)
	l.extend(askedAt)
	return isNews
}

// TakeFreshness takes the word that a revision was the newest some time before an ask was answered.
// The span is counted back from when the ask was sent, so that no clock but the own one matters.
func (l *Lease) TakeFreshness(ask, revision uint64, word Freshness) {
	askedAt, isMine := l.askedAt[ask]
	if !word.IsFresh || !isMine || l.Revision() < revision {
		return
	}
	l.freshAt = max(l.freshAt, askedAt-word.Age)
}

// Freshness tells how long ago the document in force here was surely the newest one.
func (l *Lease) Freshness(now kernel.Micros) Freshness {
	if l.freshAt <= 0 {
		return Freshness{}
	}
	return Freshness{IsFresh: true, Age: now - l.freshAt}
}

func (l *Lease) extend(askedAt kernel.Micros) {
	if l.serveOn < ServeOnAlways {
		l.until = max(l.until, askedAt+max(l.timing.Lease, l.serveOn))
	}
}

// Attest answers another router's question.
func (l *Lease) Attest(m *Attest) *AttestReply {
	reply := &AttestReply{Seq: m.Seq, Revision: l.Revision(), IsProven: l.isProven && l.isRouter}
	if m.IsKeen && l.Revision() > m.Applied {
		reply.Document = l.applied.lightFor(m.Applied)
	}
	return reply
}

// TickDark asks the registered routers when the core has been silent too long; keen is
// the one to ask for its newer document, if any.
func (l *Lease) TickDark(now kernel.Micros) (to []string, ask *Attest, keen string) {
	if l.serveOn >= ServeOnAlways || !l.isRouter || !l.isProven || now < l.attestTimer || now-l.grantedAsk < 7*kernel.Second/10 {
		return nil, nil, ""
	}
	l.attestTimer = now + 300*kernel.Millisecond
	if !l.isDark {
		l.note("licence", "core dark", "no grant for 700 ms; asking the registered routers")
		l.isDark = true
	}
	l.attestSeq = l.NewAsk(now)
	l.attested = map[string]uint64{}
	for _, address := range l.applied.Register {
		if address != l.self {
			to = append(to, address)
		}
	}
	l.judge()
	if keen, l.newerAt = l.newerAt, ""; keen != "" {
		l.keenFrom = now + keenPause
	}
	return to, &Attest{Seq: l.attestSeq, Applied: l.Revision()}, keen
}

// keenPause leaves a document of megabytes the time to arrive.
const keenPause = kernel.Second / 2

// TakeAttest counts a router's word; true when the document here changed.
func (l *Lease) TakeAttest(now kernel.Micros, from string, m *AttestReply) bool {
	isNews := l.Apply(m.Document)
	if m.Revision > l.Held() && now >= l.keenFrom && l.newerAt == "" {
		// Asked for at once: without it there is no lease to be had.
		l.newerAt, l.attestTimer = from, 0
	}
	if m.Seq != l.attestSeq || l.attested == nil {
		return isNews
	}
	if isNews {
		// Words given on the older revision say nothing on this one; ask anew.
		l.attestTimer = 0
	}
	if m.IsProven {
		l.attested[from] = m.Revision
	}
	l.judge()
	return isNews
}

func (l *Lease) judge() {
	askedAt, isMine := l.askedAt[l.attestSeq]
	if !l.isProven || !isMine || len(l.applied.Register) == 0 {
		return
	}
	count := 0
	for _, address := range l.applied.Register {
		revision, hasSpoken := l.attested[address]
		if address == l.self {
			revision, hasSpoken = l.Revision(), l.isProven
		}
		if !hasSpoken {
			continue
		}
		if revision > l.Revision() {
			return
		}
		count++
	}
	if count > len(l.applied.Register)/2 {
		l.extend(askedAt)
	}
}

// Why explains a lapsed lease.
func (l *Lease) Why(now kernel.Micros) string {
	switch {
	case l.applied == nil:
		return "no document has reached this router yet"
	case now >= l.until && !l.isProven:
		return "the leader has not granted since this router started; it may have forgotten a newer revision"
	case now >= l.until:
		return fmt.Sprintf("the lease lapsed %d us ago: neither the core nor a majority of the %d registered routers vouched for revision %d",
			now-l.until, len(l.applied.Register), l.Revision())
	}
	return ""
}

// Views keeps a partial view of the fleet's nodes and shuffles it with neighbours.
type Views struct {
	self   Neighbour
	view   []Neighbour
	seeds  []string
	timer  kernel.Micros
	every  kernel.Micros
	sentTo string
	sent   []Neighbour
	pick   func(int) int
}

const (
	viewSize    = 8
	shuffleSize = 4
)

// NewViews starts from the seeds.
func NewViews(self Neighbour, seeds []string, every kernel.Micros, pick func(int) int) *Views {
	return &Views{self: self, seeds: seeds, every: every, pick: pick}
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
	v.timer = now + v.every
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

func (v *Views) sample(most int) []Neighbour {
	rest := slices.Clone(v.view)
	chosen := []Neighbour{}
	for len(rest) > 0 && len(chosen) < most {
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

func (v *Views) merge(brought, given []Neighbour) {
	for _, neighbour := range brought {
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
				return slices.ContainsFunc(given, func(gone Neighbour) bool { return gone.Address == known.Address })
			})
			if drop < 0 {
				continue
			}
			v.view = slices.Delete(v.view, drop, drop+1)
		}
		v.view = append(v.view, neighbour)
	}
}
