package control

import (
	"fmt"
	"maps"
	"slices"

	"dunlinloom/kernel"
	"github.com/cespare/xxhash/v2"
)

// Registered answers what Node.Register took from an engine.
type Registered struct {
	Token  uint64
	BeatTo string // the public address for its later words; empty: no better one is known
	Err    error
}

// NotConfirmed says that an engine's word of its end could not be shown to have gone round.
type NotConfirmed struct {
	Engine string
	Why    string
}

func (b NotConfirmed) Error() string {
	return fmt.Sprintf("the end of engine %s was not confirmed: %s", b.Engine, b.Why)
}

// Isolated says that a node has heard from no leader lately, so that the fleet may not hear of an
// engine by it. The engine is to beat at another node as well.
type Isolated struct{ Node string }

func (b Isolated) Error() string { return b.Node + " has heard from no leader lately" }

// Spans of a push that has to be confirmed. An engine waits a second for its answer.
const (
	pushResend  = 150 * kernel.Millisecond
	pushDeputy  = 250 * kernel.Millisecond // after which another node of a silent zone is asked
	pushPartial = 400 * kernel.Millisecond // after which a zone says what it has so far
	pushEnough  = 600 * kernel.Millisecond // after which most zones are enough
	pushGiveUp  = 850 * kernel.Millisecond
	pushEnd     = 1600 * kernel.Millisecond // until which a zone goes on after its word
	nodeNear    = 1500 * kernel.Millisecond // a node of the own zone that was heard within it lives
	nodeFar     = 2500 * kernel.Millisecond // how late a node's word may be when it gets here
	judgeEvery  = 200 * kernel.Millisecond
	frozenSpan  = kernel.Second // between two ticks: this process was not there
)

// pushing is a push that this node carries into its zone.
type pushing struct {
	from       string
	token      uint64 // the sender's
	records    []EngineRecord
	waiting    map[string]bool
	confirmed  int
	resendAt   kernel.Micros
	answerAt   kernel.Micros
	endAt      kernel.Micros
	isAnswered bool
}

// promise is an engine's word of its end that waits for the fleet to know it.
type promise struct {
	tokens  []uint64 // of the calls that wait for it
	key     endKey
	records []EngineRecord
	zone    string
	zones   map[string]bool // that have spoken; true: wholly
	nodes   map[string]bool // other than this one that have spoken for themselves or a zone
	others  int             // nodes that have confirmed within the zones
	since   kernel.Micros
	resend  kernel.Micros
}

// endKey names an engine and which of its ends: that it leaves, or that it is gone.
type endKey struct {
	engine     string
	isUnlisted bool
}

// words is a node's part in what engines say of themselves.
type words struct {
	nextToken uint64
	pushes    map[uint64]*pushing
	carried   map[string]uint64 // sender and its token to the own
	promises  map[uint64]*promise
	kept      map[endKey]kernel.Micros // ends confirmed by this node
	passedAt  map[string]kernel.Micros // when a plain beat last went to the engine's home
	// judgeSince is the moment from which silence of an engine counts here.
	judgeSince kernel.Micros
	judgeAt    kernel.Micros
	wasHome    bool
	tickedAt   kernel.Micros
	sweepAt    kernel.Micros
}

func newWords(firstToken uint64) words {
	return words{
		nextToken: firstToken, pushes: map[uint64]*pushing{}, carried: map[string]uint64{}, promises: map[uint64]*promise{},
		kept: map[endKey]kernel.Micros{}, passedAt: map[string]kernel.Micros{},
	}
}

// judge is the node that judges whether the engines of a zone live: the zone's home, or
// for a zone without nodes some other, the same one on every node.
func (n *Node) judge(zone string) string {
	if n.lease.applied == nil || len(n.lease.applied.Homes) == 0 {
		return ""
	}
	homes := n.lease.applied.Homes
	if home := homes[zone]; home != "" {
		return home
	}
	zones := slices.Sorted(maps.Keys(homes))
	return homes[zones[xxhash.Sum64String(zone)%uint64(len(zones))]]
}

// beatTo is where an engine of a zone should beat, if that node is known to live.
func (n *Node) beatTo(zone string) string {
	home := n.judge(zone)
	if home == n.self() && !n.isLeaving {
		return n.settings.Identity.Public
	}
	node, isThere := n.directory.nodes.Get(home)
	isSilent := home == n.home() && n.isHomeless()
	if !isThere || isSilent || node.IsLeaving || !n.mayLive(node) {
		return ""
	}
	return node.Public
}

// Register takes an engine's word on itself. Seq numbers its words. The command Registered
// answers it: at once (with an error by a node that is isolated), or, where it says that the engine is leaving or gone, once the
// fleet's routers know.
func (n *Node) Register(now kernel.Micros, token uint64, record EngineRecord) []any {
	n.now = now
	record = record.placed(now)
	record.Word, record.Seq = max(record.Seq, 1), 0
	record.Start = max(record.Start, 1)
	zone := record.Zone
	known, isKnown := n.directory.engines.Get(record.ID)
	if isKnown && zone == "" {
		zone = known.Zone
	}
	fresh := n.takeWords([]EngineRecord{record})
	if !isKnown && !record.IsUnlisted && record.Address != "" {
		fresh = append(fresh, n.doubtOthersAt(record)...)
	}
	if !record.IsLeaving && !record.IsUnlisted {
		n.pushOut(fresh)
		n.passOn(record.ID, len(fresh) > 0)
		answer := Registered{Token: token, BeatTo: n.beatTo(zone)}
		if n.isIsolated() {
			answer = Registered{Token: token, Err: Isolated{n.self()}}
		}
		n.out = append(n.out, answer)
		return n.finish()
	}
	if len(fresh) == 0 {
		fresh = []EngineRecord{record.aged(now)}
	}
	n.promise(token, record, zone, fresh)
	return n.finish()
}

// doubtOthersAt calls engines dark whose address another one now names for the first time, and gives what
// is news. An address is given away only after its last engine ended; but this first word may be a late one,
// of an engine that ended before the other began. So the doubt ends with the other's next word.
func (n *Node) doubtOthersAt(newcomer EngineRecord) []EngineRecord {
	fresh := []EngineRecord{}
	for _, other := range n.directory.Engines() {
		if !other.isBeating() || other.Address != newcomer.Address || other.ID == newcomer.ID {
			continue
		}
		other.IsDark, other.BackAt = true, n.now
		other.DarkSeq++
		if _, isNews := n.directory.takeEngine(n.now, other, true); isNews {
			fresh = append(fresh, other.aged(n.now))
		}
	}
	return fresh
}

// takeWords takes what engines said first-hand, here or at a node that passed it on, and
// gives what is news.
func (n *Node) takeWords(records []EngineRecord) []EngineRecord {
	fresh := []EngineRecord{}
	for _, record := range records {
		if known, isKnown := n.directory.engines.Get(record.ID); isKnown && known.Start == record.Start {
			record.IsDark, record.DarkSeq, record.BackAt = known.IsDark, known.DarkSeq, known.BackAt
			// It spoke after it was called dark.
			if known.IsDark && !record.IsUnlisted && record.Seen > known.BackAt && record.Word > known.Word {
				record.IsDark, record.BackAt = false, n.now
				record.DarkSeq++
			}
		}
		if _, isNews := n.directory.takeEngine(n.now, record, n.judge(record.Zone) == n.self()); isNews {
			taken, _ := n.directory.engines.Get(record.ID)
			fresh = append(fresh, taken.aged(n.now))
		}
	}
	return fresh
}

// passOn tells an engine's home of a beat that came here. What is news goes round anyway.
func (n *Node) passOn(id string, isNews bool) {
	engine, _ := n.directory.engines.Get(id)
	judge := n.judge(engine.Zone)
	if judge == "" || judge == n.self() || isNews {
		return
	}
	if at, isPassed := n.words.passedAt[id]; isPassed && n.now-at < max(kernel.Second/2, n.settings.Timing.BeatGone/4) {
		return
	}
	n.words.passedAt[id] = n.now
	n.send(judge, Message{Heard: &Heard{[]EngineRecord{engine.aged(n.now)}}})
}

// pushOut sends records to every home, which carry them into their zones.
func (n *Node) pushOut(records []EngineRecord) {
	if len(records) == 0 || n.lease.applied == nil {
		return
	}
	homes := append(n.otherHomes(), n.self())
	if !n.isHome() && !n.isHomeless() {
		homes = homes[:len(homes)-1]
	}
	for _, home := range homes {
		n.send(home, Message{Push: &Push{IsOnward: true, Engines: records}})
	}
}

// mayLive tells whether a node was heard of lately, as far as its word can be expected here.
func (n *Node) mayLive(node NodeRecord) bool {
	heard, isNear := n.zoneHeard[node.Address]
	if isNear && n.isHome() {
		return n.now-heard < nodeNear
	}
	return n.now-node.AsOf < n.nodeRefresh()+nodeFar
}

// living gives the other nodes of a zone that may live.
func (n *Node) living(zone string) []string {
	found := []string{}
	for _, node := range n.directory.Nodes() {
		if node.Zone == zone && node.Address != n.self() && n.mayLive(node) {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) onPush(from string, m *Push) {
	isNews := false
	for _, record := range m.Engines {
		record = record.placed(n.now)
		_, isFresh := n.directory.takeEngine(n.now, record, n.judge(record.Zone) == n.self())
		isNews = isNews || isFresh
	}
	w, zone := &n.words, n.settings.Identity.Zone
	if !m.IsOnward {
		if m.Token != 0 {
			n.send(from, Message{PushReply: &PushReply{Token: m.Token, Zone: zone, IsSingle: true}})
		}
		return
	}
	targets := slices.DeleteFunc(n.living(zone), func(node string) bool { return node == from })
	if m.Token == 0 {
		if isNews || from == n.self() {
			for _, target := range targets {
				n.send(target, Message{Push: &Push{Engines: m.Engines}})
			}
		}
		return
	}
	key := fmt.Sprint(from, "/", m.Token)
	if own, isCarried := w.carried[key]; isCarried {
		// A reply may be lost like anything else.
		if p := w.pushes[own]; p != nil && p.isAnswered {
			n.answerPush(p)
		}
		return
	}
	w.nextToken++
	p := &pushing{
		from: from, token: m.Token, records: m.Engines, waiting: map[string]bool{},
		answerAt: n.now + pushPartial, endAt: n.now + pushEnd,
	}
	for _, target := range targets {
		p.waiting[target] = true
	}
	w.pushes[w.nextToken], w.carried[key] = p, w.nextToken
	n.tickPush(w.nextToken, p)
}

func (n *Node) answerPush(p *pushing) {
	p.isAnswered = true
	n.send(p.from, Message{PushReply: &PushReply{
		Token: p.token, Zone: n.settings.Identity.Zone, IsWhole: len(p.waiting) == 0, Others: p.confirmed}})
}

func (n *Node) tickPush(token uint64, p *pushing) {
	if len(p.waiting) > 0 && n.now >= p.resendAt {
		p.resendAt = n.now + pushResend
		for _, target := range slices.Sorted(maps.Keys(p.waiting)) {
			n.send(target, Message{Push: &Push{Token: token, Engines: p.records}})
		}
	}
	if !p.isAnswered && (len(p.waiting) == 0 || n.now >= p.answerAt) {
		n.answerPush(p)
	}
	if n.now >= p.endAt {
		delete(n.words.pushes, token)
		delete(n.words.carried, fmt.Sprint(p.from, "/", p.token))
	}
}

func (n *Node) onPushReply(from string, m *PushReply) {
	if p := n.words.pushes[m.Token]; p != nil && p.waiting[from] {
		delete(p.waiting, from)
		p.confirmed++
		if len(p.waiting) == 0 {
			n.answerPush(p)
		}
		return
	}
	if p := n.words.promises[m.Token]; p != nil {
		if !m.IsSingle {
			p.zones[m.Zone] = p.zones[m.Zone] || m.IsWhole
		}
		if from != n.self() {
			p.nodes[from] = true
		}
		p.others = max(p.others, m.Others)
		n.judgePromise(m.Token, p)
	}
}

// promise has an engine's end go round, and answers once it did.
func (n *Node) promise(token uint64, record EngineRecord, zone string, records []EngineRecord) {
	key := endKey{record.ID, record.IsUnlisted}
	if _, isKept := n.words.kept[key]; isKept {
		n.out = append(n.out, Registered{Token: token, BeatTo: n.beatTo(zone)})
		return
	}
	if n.lease.applied == nil {
		n.out = append(n.out, Registered{Token: token, Err: NotConfirmed{record.ID, "this node knows no fleet yet"}})
		return
	}
	for _, promise := range n.words.promises {
		if promise.key == key {
			promise.tokens = append(promise.tokens, token)
			return
		}
	}
	n.words.nextToken++
	p := &promise{tokens: []uint64{token}, key: key, records: records, zone: zone, zones: map[string]bool{}, nodes: map[string]bool{}, since: n.now}
	n.words.promises[n.words.nextToken] = p
	n.tickPromise(n.words.nextToken, p)
}

func (n *Node) tickPromise(token uint64, p *promise) {
	if n.now >= p.resend {
		p.resend = n.now + pushResend
		push := Message{Push: &Push{Token: token, IsOnward: true, Engines: p.records}}
		homes := n.lease.applied.Homes
		for _, zone := range slices.Sorted(maps.Keys(homes)) {
			isWhole, hasSpoken := p.zones[zone]
			if isWhole {
				continue
			}
			n.send(homes[zone], push)
			if hasSpoken || n.now-p.since < pushDeputy {
				continue
			}
			// The home may have died a moment ago and nobody know it yet.
			if zone == n.settings.Identity.Zone {
				n.send(n.self(), push)
			}
			for _, node := range n.living(zone) {
				if node != homes[zone] {
					n.send(node, push)
					break
				}
			}
		}
		n.tellVoters(token, p)
	}
	n.judgePromise(token, p)
}

// tellVoters sends a promise to the voters and the leader that have not confirmed it, except for
// homes that are asked for their zones. What a majority of the voters knows outlives this node,
// and is known on the side of a cut that goes on.
func (n *Node) tellVoters(token uint64, p *promise) {
	asked := map[string]bool{n.self(): true}
	for zone, home := range n.lease.applied.Homes {
		asked[home] = asked[home] || !p.zones[zone]
	}
	targets := append(n.lease.applied.voterAddresses(), n.leaderTarget())
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if !asked[target] && !p.nodes[target] {
			n.send(target, Message{Push: &Push{Token: token, Engines: p.records}})
		}
	}
}

// judgePromise answers once every living node has confirmed, or after a while once so
// many have that the mark outlives this node and whoever is in touch hears of it.
func (n *Node) judgePromise(token uint64, p *promise) {
	if n.words.promises[token] != p {
		return
	}
	homes := n.lease.applied.Homes
	spoken, isAll := 0, true
	for zone := range homes {
		isWhole, hasSpoken := p.zones[zone]
		if hasSpoken {
			spoken++
		}
		// A zone without a living node has nobody to wait for.
		isAll = isAll && (isWhole || !hasSpoken && zone != n.settings.Identity.Zone && len(n.living(zone)) == 0)
	}
	isMost := spoken*2 > len(homes) || p.nodes[n.leaderTarget()]
	// Without a majority of the voters this may be a minority's side of a cut.
	isHeld := majority(n.lease.applied.voterAddresses(), func(voter string) bool { return voter == n.self() || p.nodes[voter] })
	// A mark that only this node holds dies with it.
	isShared := len(p.nodes) > 0 || p.others > 0 || len(n.lease.applied.Register) < 2 && len(n.directory.Nodes()) < 2
	age := n.now - p.since
	switch {
	case isHeld && isMost && isShared && (isAll || age >= pushEnough):
		n.words.kept[p.key] = n.now
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, BeatTo: n.beatTo(p.zone)})
		}
	case age >= pushGiveUp:
		for _, call := range p.tokens {
			n.out = append(n.out, Registered{Token: call, Err: NotConfirmed{p.records[0].ID, fmt.Sprintf("%d of %d zones answered", spoken, len(homes))}})
		}
	default:
		return
	}
	delete(n.words.promises, token)
}

func (n *Node) tickWords() {
	w := &n.words
	isAwake := n.now-w.tickedAt < frozenSpan
	w.tickedAt = n.now
	for _, token := range slices.Sorted(maps.Keys(w.pushes)) {
		n.tickPush(token, w.pushes[token])
	}
	for _, token := range slices.Sorted(maps.Keys(w.promises)) {
		n.tickPromise(token, w.promises[token])
	}
	n.judgeBeats(isAwake)
	n.checkConfirmedEnds()
	if n.now >= w.sweepAt {
		w.sweepAt = n.now + 5*kernel.Second
		dropOld(w.passedAt, n.now-engineGone)
		dropOld(w.kept, n.now-engineGone)
	}
}

// dropOld forgets what was noted before a moment.
func dropOld[K comparable](noted map[K]kernel.Micros, before kernel.Micros) {
	for key, at := range noted {
		if at < before {
			delete(noted, key)
		}
	}
}

// judgeBeats calls engines dark that have not been heard for long, at the home of their zone.
func (n *Node) judgeBeats(isAwake bool) {
	w, span := &n.words, n.settings.Timing.BeatGone
	isHome := n.isHome()
	// Silence says something only to who could have heard: not to one that has just become
	// home, was frozen, or is cut off from the core and so perhaps from the engines too.
	isInTouch := n.now-n.leaderWord < kernel.Second+2*n.settings.Timing.Ask
	if !isHome || !w.wasHome || !isAwake || !isInTouch {
		w.judgeSince = n.now
	}
	w.wasHome = isHome
	if !isHome || span == 0 || n.now-w.judgeSince <= span || n.now < w.judgeAt {
		return
	}
	w.judgeAt = n.now + judgeEvery
	dark := []EngineRecord{}
	for _, engine := range n.directory.Engines() {
		if engine.isBeating() && n.now-max(engine.Seen, w.judgeSince) > span && n.judge(engine.Zone) == n.self() {
			engine.IsDark, engine.BackAt = true, n.now
			engine.DarkSeq++
			n.directory.takeEngine(n.now, engine, true)
			dark = append(dark, engine.aged(n.now))
		}
	}
	n.pushOut(dark)
}

// serving counts the routers that are known to live.
func (n *Node) serving(nodes []NodeRecord) int {
	count := 0
	for _, node := range nodes {
		if node.Address != n.self() && node.IsRouter && !node.IsLeaving && n.mayLive(node) {
			count++
		}
	}
	if n.settings.IsRouter && !n.isLeaving {
		count++
	}
	return count
}
