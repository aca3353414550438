package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinloom/kernel"
)

// NodeSettings is what a node's control plane is told at its start.
type NodeSettings struct {
	Identity     kernel.Identity
	IsRouter     bool
	IsController bool
	HasFolder    bool
	Member       MemberID
	Seeds        []string
	Start        uint64 // the process's start identity, larger at each start
	RandomSeed   uint64
	Timing       Timing
	CheckConfig  func([]byte) error
	// IsCompiled tells whether a configuration is at hand in the form that the data plane needs;
	// nil: every one is.
	IsCompiled func([]byte) bool
	// ChangeConfig puts a change of named items into a configuration, VersionOf reads the operator's own
	// number of a configuration, which has to rise. Nil: there are no such orders, and no numbers.
	ChangeConfig func(current, change []byte) ([]byte, error)
	VersionOf    func(config []byte) (uint64, error)
	// Voters is the least number of voters wanted; more members vote as there are, up to
	// five. Nodes without a folder then take no part in the core. Zero: three, always.
	Voters int
	// ServeOn is how long a word of the core lets a router serve under its applied document,
	// if that is longer than a lease. Zero: leases alone. See ServeOnAlways.
	ServeOn    kernel.Micros
	AckRule    AckRule
	SpreadWait kernel.Micros // how long a Spread yes waits for nodes; zero: 600 ms
	SubmitTry  kernel.Micros // how long an order made here is tried; zero: 6 s
	// NoFence leaves an order without a reply unproved, since it is sent again as it was.
	NoFence   bool
	Founding  FoundingRule
	Bootstrap bool // under FoundersAnnounce: this is the first start of the whole fleet
	Journal   *kernel.Journal
	Ballot    Ballot
	Document  *Document
	Kept      []uint64
	// Snapshot is what an earlier life kept for a quick start; nil: there is none.
	Snapshot *Snapshot
}

// Outgoing is a message for the shell to carry.
type Outgoing struct{ Envelope Envelope }

// Reply is the final word on a submission made at this node.
type Reply struct{ SubmitReply SubmitReply }

// Spans of a submission made here: how long to try, and how long to seek a final no after.
const (
	submitTry    = 6 * kernel.Second
	submitFence  = 3 * kernel.Second
	submitResend = 500 * kernel.Millisecond
)

type errand struct {
	submit   *Submit
	deadline kernel.Micros
	sentAt   kernel.Micros
	resendAt kernel.Micros
	isFence  bool // this errand only asks how the id ended
}

// Node joins the owners of one process and carries messages between them.
type Node struct {
	settings NodeSettings
	now      kernel.Micros
	random   *rand.Rand
	core     *Core
	lease    *Lease
	cell     *Cell
	views    *Views
	out      []any
	loop     []Envelope

	leaderHint   string
	leaderWord   kernel.Micros // when the hint last proved good
	otherHints   []string
	hintTurn     int
	homeWord     kernel.Micros // when the zone's home was last heard
	seenHome     string
	seenNews     uint64
	askTimer     kernel.Micros
	nodeSeq      uint64
	nodeSeqTimer kernel.Micros
	recordHome   string // whom the own record was told, and how often
	recordSeq    uint64
	recordTold   int
	isLeaving    bool

	batch       map[string]RouterAsk
	batchTimer  kernel.Micros
	isBatchHot  bool
	zoneApplied map[string]uint64
	zoneHeld    map[string]uint64 // at least what is applied
	zoneHeard   map[string]kernel.Micros
	preparing   *Document

	peerNews  map[string]newsMark
	mendTimer kernel.Micros
	mendTurn  int
	sweep     kernel.Micros
	askTurn   int
	urgent    []urgentNews
	probedAt  map[string]kernel.Micros
	errands   map[string]*errand
	rejected  map[string]kernel.Micros // foreign senders noted lately
	founder   *founder                 // nil unless members announce themselves
	reads     map[uint64]*reading
	words     words
	snapshots snapshots
	greeting  greeting
}

// urgentNews is sent again a few times: a single loss must not cost the seconds
// in which a leaving mark has to be everywhere.
type urgentNews struct {
	records []EngineRecord
	at      kernel.Micros
	left    int
}

type newsMark struct {
	home string
	upto uint64
}

// NewNode makes a node.
func NewNode(settings NodeSettings, now kernel.Micros) *Node {
	random := rand.New(rand.NewPCG(settings.RandomSeed, settings.Start))
	n := &Node{
		settings: settings, now: now, random: random,
		batch: map[string]RouterAsk{}, zoneApplied: map[string]uint64{}, zoneHeld: map[string]uint64{}, zoneHeard: map[string]kernel.Micros{},
		peerNews: map[string]newsMark{}, errands: map[string]*errand{}, rejected: map[string]kernel.Micros{},
		probedAt: map[string]kernel.Micros{}, reads: map[uint64]*reading{}, words: newWords(settings.Start),
	}
	if settings.SpreadWait == 0 {
		settings.SpreadWait = defaultSpreadWait
	}
	if settings.SubmitTry == 0 {
		settings.SubmitTry = submitTry
	}
	if settings.Bootstrap {
		settings.Founding = FoundersAnnounce
	}
	n.settings = settings
	self := settings.Identity
	n.lease = NewLease(self.Address, settings.IsRouter, settings.Timing, n.note)
	n.lease.isPrepared, n.lease.serveOn = n.prepare, settings.ServeOn
	n.cell = NewCell(fmt.Sprintf("%s/%d", self.Address, settings.Start), settings.Timing, n.note)
	n.views = NewViews(Neighbour{Address: self.Address, Zone: self.Zone}, settings.Seeds, settings.Timing.Shuffle, random.IntN)
	if settings.Founding == FoundersAnnounce {
		n.founder = newFounder(settings.Seeds, self.Address)
	}
	// A standby that can never vote is of use only where three are wanted in any case.
	if settings.IsController && (settings.HasFolder || settings.Voters == 0) {
		coreSettings := settings.core(n.note)
		coreSettings.Random = random
		n.core = NewCore(coreSettings, now)
	}
	n.greeting = greeting{until: now + helloSpan, isOver: settings.ServeOn < ServeOnAlways, answered: map[string]kernel.Micros{}}
	n.restore(settings.Snapshot)
	return n
}

// core gives what the core of a node is told.
func (s NodeSettings) core(note func(subject, decision, why string)) CoreSettings {
	return CoreSettings{
		Self:      Member{s.Member, s.Identity.Address, s.Identity.Zone},
		HasFolder: s.HasFolder, Founders: s.Seeds, Timing: s.Timing, Note: note,
		CheckConfig: s.CheckConfig, ChangeConfig: s.ChangeConfig, VersionOf: s.VersionOf,
		Voters: s.Voters, AckRule: s.AckRule, SpreadWait: s.SpreadWait, ServeOn: s.ServeOn, Founding: s.Founding,
		Ballot: s.Ballot, Document: s.Document, Kept: s.Kept,
	}
}

// Rehearse judges an order against a document and changes nothing. It may be called beside
// the owners: what is slow about a large configuration is remembered by the functions of the
// settings, so that the leader has its verdict at hand.
func (n *Node) Rehearse(submit *Submit, current *Document) error {
	if submit.Order != PutConfig && submit.Order != ChangeConfig {
		return nil
	}
	if current == nil {
		current = &Document{}
	}
	// A clash now need not be one when the order's turn comes.
	alone := *submit
	alone.Base, alone.BaseVersion = nil, nil
	_, _, err := n.settings.core(nil).judgeConfig(&alone, current)
	return err
}

func (n *Node) note(subject, decision, why string) {
	n.settings.Journal.Note(n.now, "control", subject, decision, why)
}

// TickSpan is how often Tick is to be called.
func (n *Node) TickSpan() kernel.Micros {
	if n.settings.Timing.Tick == 0 {
		return 20 * kernel.Millisecond
	}
	return n.settings.Timing.Tick
}

func (n *Node) self() string { return n.settings.Identity.Address }

func (n *Node) founding() string {
	if n.core != nil && n.core.doc != nil {
		return n.core.doc.Founding
	}
	// A folder may be from before the core was rebuilt, so what it held binds nobody.
	if n.lease.applied != nil && !n.isRestored() {
		return n.lease.applied.Founding
	}
	return ""
}

func (n *Node) send(to string, message Message) {
	if to == "" {
		return
	}
	envelope := Envelope{n.settings.Identity.Fleet, n.founding(), n.self(), to, message}
	if to == n.self() {
		n.loop = append(n.loop, envelope)
		return
	}
	n.out = append(n.out, Outgoing{envelope})
}

// finish drains the core's commands and the messages to oneself, then hands all over.
func (n *Node) finish() []any {
	for {
		if n.core != nil {
			for _, command := range n.core.take() {
				if send, isSend := command.(Send); isSend {
					n.send(send.To, send.Message)
					continue
				}
				n.out = append(n.out, command)
			}
			n.applied(n.lease.Apply(n.core.Committed()))
		}
		if len(n.loop) == 0 {
			break
		}
		envelope := n.loop[0]
		n.loop = n.loop[1:]
		n.receive(envelope)
	}
	// A yes waits for these words.
	if n.isBatchHot && n.settings.AckRule == Spread {
		n.sendBatch()
		if len(n.loop) > 0 {
			return n.finish()
		}
	}
	out := n.out
	n.out = nil
	return out
}

// applied follows a change of the document in force.
func (n *Node) applied(isNews bool) {
	if !isNews {
		return
	}
	n.settings.Journal.SetEra(n.lease.Revision())
	n.note("spec", "apply", fmt.Sprintf("generation %d", n.lease.Revision()))
	// The leader counts who has applied what, so it should hear at once.
	n.askTimer = n.now
	if n.settings.AckRule == Spread {
		n.ask()
	}
	if n.isHome() {
		n.isBatchHot = true
		for _, node := range n.zoneNodes() {
			n.send(node, Message{Grant: &Grant{Revision: n.lease.Revision(), Document: n.lease.applied.lightFor(n.zoneHeld[node])}})
		}
	}
}

func (n *Node) home() string {
	if n.lease.applied == nil {
		return ""
	}
	return n.lease.applied.Homes[n.settings.Identity.Zone]
}

func (n *Node) isHome() bool { return n.home() == n.self() }

// isHomeless tells that the zone's home has been silent, so that other ways are taken.
func (n *Node) isHomeless() bool {
	most := max(600*kernel.Millisecond, n.settings.Timing.Ask*12/5)
	if n.isHome() {
		return false
	}
	// A home that is cut off from the core speaks to its zone as ever. Where leases bound
	// that, they lapse; without them a node has to see by itself that no word of the leader
	// comes through, or its whole zone stays behind.
	isMute := n.settings.ServeOn >= ServeOnAlways && n.now-n.lease.grantedAsk > most
	return isMute || n.now-n.homeWord > most
}

func (n *Node) zoneNodes() []string {
	found := []string{}
	for _, node := range n.cell.Nodes() {
		if node.Zone == n.settings.Identity.Zone && node.Address != n.self() {
			found = append(found, node.Address)
		}
	}
	return found
}

func (n *Node) otherHomes() []string {
	found := []string{}
	if n.lease.applied != nil {
		for _, zone := range slices.Sorted(maps.Keys(n.lease.applied.Homes)) {
			if home := n.lease.applied.Homes[zone]; home != n.self() && !slices.Contains(found, home) {
				found = append(found, home)
			}
		}
	}
	return found
}

// leaderTarget is whom to take for the leader now.
func (n *Node) leaderTarget() string {
	if n.core != nil && n.core.Leader() != "" {
		return n.core.Leader()
	}
	if n.leaderHint != "" && n.now-n.leaderWord < max(700*kernel.Millisecond, 2*n.settings.Timing.Ask) {
		return n.leaderHint
	}
	// Whoever may know, one after another: voters first, then seeds and neighbours.
	candidates := append(n.lease.applied.voterAddresses(), n.otherHints...)
	candidates = append(candidates, n.settings.Seeds...)
	candidates = append(candidates, n.views.Neighbours()...)
	if len(candidates) == 0 {
		return ""
	}
	n.hintTurn++
	return candidates[n.hintTurn%len(candidates)]
}

// ---- events ----

// Deliver takes a message from another node.
func (n *Node) Deliver(now kernel.Micros, envelope Envelope) []any {
	n.now = now
	why := ""
	switch mine := n.founding(); {
	case envelope.Fleet != n.settings.Identity.Fleet:
		why = fmt.Sprintf("it belongs to fleet %q", envelope.Fleet)
	case mine != "" && envelope.Founding != "" && mine != envelope.Founding:
		why = "it belongs to another founding of the fleet"
	case envelope.To != n.self():
		why = fmt.Sprintf("it was meant for %s", envelope.To)
	}
	// Whoever belongs to a founding shows that there is one.
	if n.founder != nil && why == "" && envelope.Founding != "" {
		n.founder.stand(envelope.Founding)
	}
	if r := n.snapshots.restored; r != nil && why == "" && envelope.Founding == r.Founding {
		// Someone who belongs to it says so: what the disk held binds again.
		n.snapshots.restored = nil
	}
	if why != "" {
		if _, isNoted := n.rejected[envelope.From]; !isNoted {
			n.rejected[envelope.From] = now
			n.note("node "+envelope.From, "decline message", why)
		}
		return n.finish()
	}
	n.receive(envelope)
	return n.finish()
}

// Saved reports on a write.
func (n *Node) Saved(now kernel.Micros, token uint64, err error) []any {
	n.now = now
	if n.core != nil {
		n.core.Saved(now, token, err)
	}
	return n.finish()
}

// Fetched brings a configuration of the past that another member asked for.
func (n *Node) Fetched(now kernel.Micros, to string, document *Document) []any {
	n.now = now
	n.send(to, Message{Recalled: &Recalled{document}})
	return n.finish()
}

// Kept tells that a configuration of the past is in the folder now.
func (n *Node) Kept(now kernel.Micros, revision uint64) []any {
	n.now = now
	if n.core != nil {
		n.note("history", "mend", fmt.Sprintf("the spec of generation %d was fetched from another member", revision))
		n.core.Kept(revision)
	}
	return n.finish()
}

// prepare tells whether a document may be applied, and has its configuration compiled if not.
func (n *Node) prepare(document *Document) bool {
	if n.settings.IsCompiled == nil || document.ConfigRevision == 0 ||
		n.lease.applied != nil && document.ConfigRevision == n.lease.applied.ConfigRevision {
		return true
	}
	// Asked again at every event; the configuration is looked at once.
	if n.preparing != nil && document.ConfigRevision == n.preparing.ConfigRevision {
		return false
	}
	if n.settings.IsCompiled(document.Config) {
		return true
	}
	n.preparing = document
	n.out = append(n.out, Prepare{document})
	return false
}

// Prepared tells that the shell is done with a document's configuration. One that it can't read
// is never applied: serving under an older one would be worse than not serving.
func (n *Node) Prepared(now kernel.Micros, document *Document, err error) []any {
	n.now = now
	if err != nil {
		n.note("spec", "unreadable", err.Error())
		return n.finish()
	}
	if n.preparing == document {
		n.preparing = nil
	}
	if wanted := n.lease.wanted; wanted != nil {
		n.applied(n.lease.Apply(wanted))
	}
	return n.finish()
}

// Submit takes an operator's order made at this node.
func (n *Node) Submit(now kernel.Micros, submit *Submit) []any {
	n.now = now
	if n.errands[submit.ID] == nil {
		n.errands[submit.ID] = &errand{submit: submit, deadline: now + n.settings.SubmitTry, isFence: submit.Order == Fence}
	}
	n.tickErrands()
	return n.finish()
}

// Hear takes engine records that this node learned first-hand.
func (n *Node) Hear(now kernel.Micros, records []EngineRecord) []any {
	n.now = now
	for i := range records {
		records[i] = records[i].placed(now)
	}
	n.hear(records)
	return n.finish()
}

// TakeListing takes the platform's list as this node polled it.
func (n *Node) TakeListing(now kernel.Micros, listing Listing) []any {
	n.now = now
	if n.cell.TakeListing(now, listing) {
		n.announce(n.leavingRecords())
	}
	return n.finish()
}

// Probed takes what this node found when it tried to reach an engine.
func (n *Node) Probed(now kernel.Micros, id string, start uint64, isDark bool) []any {
	n.now = now
	if engine, isThere := n.cell.engines.Get(id); isThere && engine.Start == start && engine.IsDark != isDark {
		engine.IsDark, engine.BackAt = isDark, now
		engine.DarkSeq++
		n.hear([]EngineRecord{engine})
		// Dark engines swallow requests that can't be tried again, so routers hear at once.
		n.spread([]EngineRecord{engine.aged(now)}, true)
	}
	return n.finish()
}

// Restarted takes that an engine answered a router here under a later start than
// was known: its own word comes before any report or list.
func (n *Node) Restarted(now kernel.Micros, id string, start uint64) []any {
	n.now = now
	if engine, isThere := n.cell.engines.Get(id); isThere && engine.Start < start {
		n.hear([]EngineRecord{{ID: id, Address: engine.Address, Zone: engine.Zone, Pool: engine.Pool, Start: start, StartedAt: now, Seen: now, AsOf: now}})
	}
	return n.finish()
}

// Suspect takes that a router here could not reach an engine. One failure may be
// the router's own, so the home of the engine's zone looks before it tells all.
func (n *Node) Suspect(now kernel.Micros, id string, start uint64) []any {
	n.now = now
	n.suspect(&Suspect{id, start})
	return n.finish()
}

func (n *Node) suspect(m *Suspect) {
	engine, isThere := n.cell.engines.Get(m.Engine)
	// Of one that registers itself its beats tell.
	if !isThere || engine.Word > 0 || engine.Start != m.Start || engine.IsDark || n.lease.applied == nil {
		return
	}
	home := n.lease.applied.Homes[engine.Zone]
	if home != n.self() {
		n.send(home, Message{Suspect: m})
		return
	}
	if at, isProbed := n.probedAt[m.Engine]; isProbed && n.now-at < 200*kernel.Millisecond {
		return
	}
	n.probedAt[m.Engine] = n.now
	n.out = append(n.out, Probe{engine})
}

// Leave begins a planned stop.
func (n *Node) Leave(now kernel.Micros) []any {
	n.now, n.isLeaving = now, true
	if n.core != nil {
		n.core.Leave(now)
	}
	if n.isHome() {
		// The holder names its successor itself: the zone should not wait out a silence.
		for _, node := range n.cell.Nodes() {
			if node.Zone == n.settings.Identity.Zone && node.Address != n.self() && !node.IsLeaving {
				n.note("home", "name successor", node.Address)
				n.send(n.leaderTarget(), Message{Succeed: &Succeed{n.settings.Identity.Zone, node.Address}})
				break
			}
		}
	}
	n.nodeSeqTimer, n.askTimer = now, now
	return n.finish()
}

// HasDuties tells whether a leaving node still leads or keeps its zone's home.
func (n *Node) HasDuties() bool {
	isLeading := n.core != nil && n.core.role == leader
	return isLeading || n.isHome() && len(n.zoneNodes()) > 0
}

func (n *Node) leavingRecords() []EngineRecord {
	found := []EngineRecord{}
	for _, engine := range n.cell.Engines() {
		if engine.IsLeaving {
			found = append(found, engine.aged(n.now))
		}
	}
	return found
}

// learnedMarks names the engines that are leaving and still there.
func (n *Node) learnedMarks() []LearnedMark {
	marks := []LearnedMark{}
	for _, engine := range n.cell.Engines() {
		// No more than half of what is kept, or two marks could push each other out for ever.
		// Who registers itself says it again with its next beat.
		if engine.IsLeaving && engine.Word == 0 && !engine.IsUnlisted && len(marks) < keptLeaving/2 {
			marks = append(marks, LearnedMark{engine.ID, engine.Start})
		}
	}
	return marks
}

func (n *Node) hear(records []EngineRecord) {
	n.takeHeard(records)
	if n.isHome() {
		return
	}
	aged := make([]EngineRecord, 0, len(records))
	for _, record := range records {
		aged = append(aged, record.aged(n.now))
	}
	n.send(n.home(), Message{Heard: &Heard{aged}})
}

// takeHeard takes records that were learned in this zone and announces the
// leaving marks among them.
func (n *Node) takeHeard(records []EngineRecord) {
	fresh := []EngineRecord{}
	for _, record := range records {
		if n.cell.TakeEngine(n.now, record, true) {
			fresh = append(fresh, record.aged(n.now))
		}
	}
	n.announce(fresh)
}

// announce spreads leaving marks at once and twice again. It does not lean on
// the home alone: that one may have died a moment ago and nobody know it yet.
func (n *Node) announce(records []EngineRecord) {
	if len(records) == 0 {
		return
	}
	n.spread(records, true)
	n.urgent = append(n.urgent, urgentNews{records, n.now + 300*kernel.Millisecond, 2})
}

func (n *Node) tickUrgent() {
	kept := n.urgent[:0]
	for _, news := range n.urgent {
		if n.now >= news.at {
			n.spread(news.records, true)
			news.at, news.left = n.now+600*kernel.Millisecond, news.left-1
		}
		if news.left > 0 {
			kept = append(kept, news)
		}
	}
	n.urgent = kept
}

// spread pushes urgent records to the zone, and from a home or a homeless node beyond it.
func (n *Node) spread(records []EngineRecord, isBeyond bool) {
	if len(records) == 0 {
		return
	}
	targets := n.zoneNodes()
	if isBeyond {
		targets = append(targets, n.otherHomes()...)
		if n.isHomeless() {
			for _, node := range n.cell.Nodes() {
				targets = append(targets, node.Address)
			}
		}
	}
	slices.Sort(targets)
	for _, target := range slices.Compact(targets) {
		if target != n.self() {
			n.send(target, Message{News: &News{Home: n.cell.incarnation, Engines: records}})
		}
	}
}

func (n *Node) receive(envelope Envelope) {
	from, m := envelope.From, envelope.Message
	// Before anything else is known, whoever writes is somebody to ask.
	if n.lease.applied == nil && from != n.self() && !slices.Contains(n.otherHints, from) {
		n.otherHints = append(n.otherHints, from)
	}
	switch {
	case m.Ask != nil:
		n.onAsk(from, m.Ask)
	case m.Grant != nil:
		if from == n.home() {
			n.homeWord = n.now
		}
		if m.Grant.Leader != "" {
			n.leaderHint, n.leaderWord = m.Grant.Leader, n.now
		}
		n.applied(n.lease.TakeGrant(n.now, m.Grant))
		if m.Grant.News != nil {
			n.onNews(from, m.Grant.News)
		}
		n.greeted(from, m.Grant)
	case m.Hello != nil:
		n.onHello(from, m.Hello)
	case m.GrantBatch != nil:
		n.onGrantBatch(m.GrantBatch)
	case m.Nudge != nil:
		if m.Nudge.Revision > n.lease.Revision() {
			n.askTimer, n.isBatchHot = n.now, true
			n.ask()
		}
	case m.Attest != nil:
		n.send(from, Message{AttestReply: n.lease.Attest(m.Attest)})
	case m.AttestReply != nil:
		n.applied(n.lease.TakeAttest(n.now, from, m.AttestReply))
	case m.Heard != nil:
		records := make([]EngineRecord, 0, len(m.Heard.Engines))
		said := []EngineRecord{}
		for _, record := range m.Heard.Engines {
			if record.Word > 0 {
				said = append(said, record.placed(n.now))
				continue
			}
			records = append(records, record.placed(n.now))
		}
		n.takeHeard(records)
		n.pushOut(n.takeWords(said))
	case m.Suspect != nil:
		// Passed on no further: where the picture of the homes differs, the next one mends it.
		if n.isHome() {
			n.suspect(m.Suspect)
		}
	case m.News != nil:
		n.onNews(from, m.News)
	case m.Mend != nil:
		n.onMend(from, m.Mend)
	case m.Shuffle != nil:
		if reply := n.views.Take(from, m.Shuffle); reply != nil {
			n.send(from, Message{Shuffle: reply})
		}
	case m.SubmitReply != nil:
		n.onSubmitReply(m.SubmitReply)
	case m.ReadReply != nil:
		n.onReadReply(m.ReadReply)
	case m.Announce != nil, m.FoundAsk != nil, m.FoundReply != nil, m.Found != nil:
		n.onFounding(from, m)
	case m.Push != nil:
		n.onPush(from, m.Push)
	case m.PushReply != nil:
		n.onPushReply(from, m.PushReply)
	case m.Elsewhere != nil:
		if m.Elsewhere.Leader != "" && m.Elsewhere.Leader != n.self() {
			if m.Elsewhere.Leader != n.leaderHint {
				n.hurry()
			}
			if n.lease.applied == nil {
				n.askTimer = min(n.askTimer, n.now+50*kernel.Millisecond)
			}
			n.leaderHint, n.leaderWord = m.Elsewhere.Leader, n.now
		}
		if len(m.Elsewhere.Voters) > 0 {
			n.otherHints = append([]string{from}, m.Elsewhere.Voters...)
		}
		if n.core != nil {
			n.core.Receive(n.now, from, m)
		}
	case n.core != nil:
		n.core.Receive(n.now, from, m)
	case m.AskBatch != nil, m.Submit != nil, m.Join != nil, m.ReadAsk != nil:
		// No controller here, but this node may know who is.
		n.send(from, Message{Elsewhere: &Elsewhere{n.leaderHint, n.lease.applied.voterAddresses()}})
	}
}

func (n *Node) onAsk(from string, m *Ask) {
	n.cell.TakeNode(n.now, m.Node.placed(n.now), true)
	n.zoneHeard[m.Address] = n.now
	if n.settings.ServeOn >= ServeOnAlways {
		n.answerAsk(from, m)
		return
	}
	// Sent even when empty: the node hears by it that its home is there.
	n.send(from, Message{News: n.cell.NewsSince(n.now, m.SeenHome, m.SeenNews, false)})
	// Where the two differ, each gets what the other has: what only this node
	// knows, say a mark from before this home was one, would else stay with it.
	if differing := n.cell.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, Message{News: &News{Home: n.cell.incarnation, Engines: differing}})
		n.send(from, Message{Mend: &Mend{Digests: n.cell.Digests()}})
	}
	// A node that is behind need not wait for the leader's word to get the document.
	n.zoneHeld[m.Address] = max(m.Applied, m.Held)
	if n.zoneHeld[m.Address] < n.lease.Revision() {
		n.send(from, Message{Grant: &Grant{Revision: n.lease.Revision(), Document: n.lease.applied.lightFor(n.zoneHeld[m.Address])}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchHot = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterAsk
}

// answerAsk answers in one message. Nobody serves by the leader's word here, so the home
// need not wait for it: it tells what it holds itself, and who leads if it knows.
func (n *Node) answerAsk(from string, m *Ask) {
	n.zoneHeld[m.Address] = max(m.Applied, m.Held)
	grant := &Grant{Revision: n.lease.Revision(), News: n.cell.NewsSince(n.now, m.SeenHome, m.SeenNews, false)}
	if n.now-n.leaderWord < kernel.Second {
		grant.Leader = n.leaderHint
	}
	if n.zoneHeld[m.Address] < n.lease.Revision() {
		grant.Document = n.lease.applied.lightFor(n.zoneHeld[m.Address])
	}
	n.send(from, Message{Grant: grant})
	if differing := n.cell.Differing(n.now, m.Digests); len(differing) > 0 {
		n.send(from, Message{News: &News{Home: n.cell.incarnation, Engines: differing}})
		n.send(from, Message{Mend: &Mend{Digests: n.cell.Digests()}})
	}
	if m.Applied > n.zoneApplied[m.Address] {
		n.isBatchHot = true
	}
	n.zoneApplied[m.Address] = m.Applied
	n.batch[m.Address] = m.RouterAsk
}

func (n *Node) onGrantBatch(m *GrantBatch) {
	n.leaderHint, n.leaderWord = m.Leader, n.now
	n.applied(n.lease.Apply(m.Document))
	for _, ask := range m.Asks {
		grant := &Grant{Seq: ask.Seq, Revision: m.Revision, Leader: m.Leader}
		if ask.Address == n.self() {
			n.applied(n.lease.TakeGrant(n.now, grant))
			continue
		}
		// They have had their answer; a newer document goes to them as it is applied here.
		if n.settings.ServeOn >= ServeOnAlways {
			continue
		}
		if held := max(n.zoneHeld[ask.Address], ask.Applied); held < m.Revision && n.lease.Revision() >= m.Revision {
			grant.Document = n.lease.applied.lightFor(held)
		}
		n.send(ask.Address, Message{Grant: grant})
	}
}

func (n *Node) onNews(from string, m *News) {
	if from == n.home() {
		n.homeWord = n.now
		if m.Upto > 0 {
			if n.seenHome != m.Home {
				n.seenHome, n.seenNews = m.Home, 0
			}
			n.seenNews = max(n.seenNews, m.Upto)
		}
	}
	if m.Upto > 0 && n.isHome() {
		mark := n.peerNews[from]
		if mark.home != m.Home {
			mark = newsMark{home: m.Home}
		}
		mark.upto = max(mark.upto, m.Upto)
		n.peerNews[from] = mark
	}
	n.outlive(m.Nodes)
	isLeavingNews, isLacking := n.cell.TakeNews(n.now, m, false)
	if isLeavingNews && n.isHome() {
		n.spread(m.Engines, false)
	}
	// The sender goes by what was taken once, and can't know what was dropped here since:
	// it is asked for all again.
	if isLacking {
		n.note("cell", "ask for all", from+" was brief on a node that is not known here")
		delete(n.peerNews, from)
		if from == n.home() {
			n.seenHome, n.seenNews = "", 0
		}
	}
}

// outlive sees to it that this life counts as the later one where the fleet remembers
// another: the time of day may have jumped back between the two.
func (n *Node) outlive(records []NodeRecord) {
	for _, record := range records {
		isOther := record.Start > n.settings.Start || record.Start == n.settings.Start && record.Seq > n.nodeSeq
		if record.Address == n.self() && isOther {
			n.note("node "+n.self(), "count as later", fmt.Sprintf("the fleet remembers start %d, this one began as %d", record.Start, n.settings.Start))
			n.settings.Start, n.nodeSeqTimer, n.askTimer = record.Start+1, n.now, n.now
		}
	}
}

func (n *Node) onMend(from string, m *Mend) {
	if m.IsHome {
		if news := n.cell.NewsSince(n.now, m.SeenHome, m.SeenNews, true); len(news.Engines)+len(news.Nodes) > 0 || news.IsAll {
			n.send(from, Message{News: news})
		}
	}
	if m.Digests != nil {
		if differing := n.cell.Differing(n.now, m.Digests); len(differing) > 0 {
			n.note("cell", "mend", fmt.Sprintf("%d records of differing ranges go to %s", len(differing), from))
			n.send(from, Message{News: &News{Home: n.cell.incarnation, Engines: differing}})
		}
	}
}

// ---- time ----

// Tick lets due timers go off.
func (n *Node) Tick(now kernel.Micros) []any {
	n.now = now
	if n.core != nil {
		n.core.Tick(now)
	}
	if now >= n.askTimer {
		n.ask()
	}
	n.sendBatch()
	if to, ask, keen := n.lease.TickDark(now); ask != nil {
		for _, address := range to {
			each := *ask
			each.IsKeen = address == keen
			n.send(address, Message{Attest: &each})
		}
	}
	if to, shuffle := n.views.Tick(now); shuffle != nil {
		n.send(to, Message{Shuffle: shuffle})
	}
	if now >= n.sweep {
		n.sweep = now + 500*kernel.Millisecond
		n.cell.Sweep(now)
		// Of a node that is gone it is as well not to know what it held.
		for address := range n.zoneHeld {
			if _, isThere := n.cell.nodes.Get(address); !isThere {
				delete(n.zoneHeld, address)
				delete(n.zoneApplied, address)
				delete(n.zoneHeard, address)
			}
		}
		if n.core != nil {
			n.core.Learn(n.learnedMarks())
		}
		for _, noted := range []map[string]kernel.Micros{n.probedAt, n.rejected, n.greeting.answered} {
			for name, at := range noted {
				if now-at > 10*kernel.Second {
					delete(noted, name)
				}
			}
		}
	}
	n.tickMend()
	n.tickUrgent()
	n.tickErrands()
	n.tickReads()
	n.tickFounding()
	n.tickHello()
	n.tickWords()
	n.tickSnapshot()
	return n.finish()
}

func (n *Node) record() NodeRecord {
	if n.now >= n.nodeSeqTimer {
		n.nodeSeqTimer = n.now + n.nodeRefresh()
		n.nodeSeq++
	}
	identity := n.settings.Identity
	return NodeRecord{
		Address: identity.Address, Public: identity.Public, Zone: identity.Zone,
		IsRouter: n.settings.IsRouter, IsController: n.settings.IsController, IsLeaving: n.isLeaving,
		Start: n.settings.Start, Seq: n.nodeSeq, Applied: n.lease.Revision(), AsOf: n.now,
	}
}

// nodeRefresh is how often a node says anew that it lives.
func (n *Node) nodeRefresh() kernel.Micros { return n.settings.Timing.NodeGone / 5 }

func (n *Node) ask() {
	n.askTimer = n.now + n.settings.Timing.Ask
	if n.lease.applied == nil {
		// Until it serves at all it asks round more often; the home is not loaded by that.
		n.askTimer = n.now + min(n.settings.Timing.Ask, 250*kernel.Millisecond)
	}
	record := n.record()
	n.cell.TakeNode(n.now, record, true)
	own := RouterAsk{
		Address: n.self(), Zone: n.settings.Identity.Zone, Seq: n.lease.NewAsk(n.now),
		Applied: n.lease.Revision(), IsRouter: n.settings.IsRouter && !n.isLeaving,
	}
	if held := n.lease.Held(); held > own.Applied {
		own.Held = held
	}
	if n.isHome() {
		n.batch[n.self()] = own
		return
	}
	if home := n.home(); home != "" {
		ask := &Ask{RouterAsk: own, SeenHome: n.seenHome, SeenNews: n.seenNews}
		// Told twice, since one may be lost, and at once to a new home.
		if n.recordHome != home || n.recordSeq != record.Seq {
			n.recordHome, n.recordSeq, n.recordTold = home, record.Seq, 0
		}
		if n.recordTold < 2 {
			n.recordTold++
			ask.Node = record.aged(n.now)
		}
		if n.askTurn++; n.askTurn%4 == 0 {
			ask.Digests = n.cell.Digests()
		}
		n.send(home, Message{Ask: ask})
	}
	// A silent home must not cost the lease: the leader is asked directly as well.
	if n.isHomeless() {
		n.send(n.leaderTarget(), Message{AskBatch: &AskBatch{Zone: own.Zone, Revision: n.lease.Held(), Asks: []RouterAsk{own}}})
	}
}

func (n *Node) sendBatch() {
	if len(n.batch) == 0 || n.now < n.batchTimer && !n.isBatchHot {
		return
	}
	// Waiting a little lets one crossing between zones carry the whole zone's asks.
	n.batchTimer, n.isBatchHot = n.now+100*kernel.Millisecond, false
	if n.settings.ServeOn >= ServeOnAlways {
		// No lease hangs on it.
		n.batchTimer = n.now + max(100*kernel.Millisecond, n.settings.Timing.Ask/2)
	}
	batch := &AskBatch{Zone: n.settings.Identity.Zone, IsHome: n.isHome(), Revision: n.lease.Held()}
	for _, address := range slices.Sorted(maps.Keys(n.batch)) {
		batch.Asks = append(batch.Asks, n.batch[address])
	}
	n.batch = map[string]RouterAsk{}
	n.send(n.leaderTarget(), Message{AskBatch: batch})
}

func (n *Node) tickMend() {
	if n.now < n.mendTimer {
		return
	}
	n.mendTimer = n.now + n.settings.Timing.Mend/4
	n.mendTurn++
	if n.isHome() {
		for _, home := range n.otherHomes() {
			mark := n.peerNews[home]
			mend := &Mend{IsHome: true, SeenHome: mark.home, SeenNews: mark.upto}
			// Digests only now and then: they mend what was lost, news does the rest.
			if n.mendTurn%4 == 0 {
				mend.Digests = n.cell.Digests()
			}
			n.send(home, Message{Mend: mend})
		}
		return
	}
	if n.isHomeless() && n.mendTurn%2 == 0 {
		if neighbours := n.views.Neighbours(); len(neighbours) > 0 {
			n.send(neighbours[n.random.IntN(len(neighbours))], Message{Mend: &Mend{Digests: n.cell.Digests()}})
		}
	}
}

func (n *Node) tickErrands() {
	for _, id := range slices.Sorted(maps.Keys(n.errands)) {
		errand := n.errands[id]
		if n.now >= errand.deadline {
			if errand.submit.Order == MarkEngine {
				// The mark has gone round already, so a no would not be true.
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: "not_kept",
					Detail: "the routers were told, but the core could not keep the mark"})
				continue
			}
			if errand.submit.Order == Fence {
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: "no_majority",
					Detail: "neither a yes nor a final no could be shown; ask again by this id"})
				continue
			}
			if n.settings.NoFence {
				n.finishErrand(SubmitReply{ID: id, Outcome: Unproved, Reason: "no_majority",
					Detail: "neither a yes nor a final no could be shown; send it again as it was"})
				continue
			}
			// Trying is over. A fence makes a no final, or finds that it was a yes after all.
			n.note("submission "+id, "fence", "no receipt in time")
			errand.submit = &Submit{ID: id, Order: Fence}
			errand.deadline, errand.resendAt = n.now+submitFence, n.now
		}
		if n.now >= errand.resendAt {
			errand.sentAt, errand.resendAt = n.now, n.now+submitResend
			n.send(n.leaderTarget(), Message{Submit: errand.submit})
		}
	}
}

func (n *Node) onSubmitReply(m *SubmitReply) {
	errand := n.errands[m.ID]
	// An unproved word from a leader that stepped down is no end: the next one is asked.
	if errand == nil || m.Outcome == Unproved {
		n.hurry()
		return
	}
	// While the order itself is still being tried, a fence's no belongs to an older try.
	n.finishErrand(*m)
}

// hurry sends what waits for a leader again soon: another one is known to lead.
func (n *Node) hurry() {
	for _, errand := range n.errands {
		errand.resendAt = min(errand.resendAt, max(n.now, errand.sentAt+100*kernel.Millisecond))
	}
	for _, read := range n.reads {
		read.resendAt = min(read.resendAt, max(n.now, read.sentAt+100*kernel.Millisecond))
	}
}

func (n *Node) finishErrand(reply SubmitReply) {
	delete(n.errands, reply.ID)
	n.note("submission "+reply.ID, "receipt "+string(reply.Outcome), reply.Reason)
	n.out = append(n.out, Reply{reply})
}

// ---- what the shell and the data plane may see ----

// State is a picture of a node at one moment; nothing in it is changed later.
type State struct {
	Document   *Document
	Until      kernel.Micros
	Why        string
	Leader     string
	Home       string
	IsHome     bool
	IsHomeless bool
	IsLeader   bool
	Role       string
	Term       uint64
	Ailment    string
	Engines    []EngineRecord
	EngineRev  uint64
	Nodes      []NodeRecord
	Neighbours []string
	Founding   string
	Serving    int // router nodes known to live, this one among them

	cellRev uint64
}

// State pictures the node; it gives the earlier picture where nothing has changed, and
// keeps its parts that have not.
func (n *Node) State(earlier *State) *State {
	state := State{
		Document: n.lease.applied, Until: n.lease.until, Why: n.lease.Why(n.now),
		Home: n.home(), IsHome: n.isHome(), IsHomeless: n.isHomeless(),
		EngineRev: n.cell.engineRev, Founding: n.founding(), Leader: n.leaderHint, cellRev: n.cell.rev,
	}
	if n.core != nil {
		state.IsLeader, state.Role, state.Term, state.Ailment = n.core.role == leader, n.core.role.String(), n.core.term, n.core.Ailment()
		if known := n.core.Leader(); known != "" {
			state.Leader = known
		}
	}
	if earlier != nil && earlier.EngineRev == state.EngineRev {
		state.Engines = earlier.Engines
	} else {
		state.Engines = n.cell.Engines()
	}
	if earlier != nil && earlier.cellRev == state.cellRev {
		state.Nodes = earlier.Nodes
	} else {
		state.Nodes = n.cell.Nodes()
	}
	if earlier != nil && n.views.isSeen(earlier.Neighbours) {
		state.Neighbours = earlier.Neighbours
	} else {
		state.Neighbours = n.views.Neighbours()
	}
	state.Serving = n.serving(state.Nodes)
	if earlier != nil && earlier.isLike(&state) {
		return earlier
	}
	return &state
}

// isLike tells whether two pictures are the same, where their parts are the same ones.
func (s *State) isLike(other *State) bool {
	return s.Document == other.Document && s.Until == other.Until && s.Why == other.Why && s.Leader == other.Leader &&
		s.Home == other.Home && s.IsHome == other.IsHome && s.IsHomeless == other.IsHomeless && s.IsLeader == other.IsLeader &&
		s.Role == other.Role && s.Term == other.Term && s.Ailment == other.Ailment && s.EngineRev == other.EngineRev &&
		s.cellRev == other.cellRev && s.Founding == other.Founding && s.Serving == other.Serving && slices.Equal(s.Neighbours, other.Neighbours)
}
