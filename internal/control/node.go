package control

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
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
	RandomSeed   uint64 // another one at each start, so that no two lives number their calls alike
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
	// FoundingVote is what the folder kept of an earlier life; nil: it kept none.
	FoundingVote *FoundingVote
	// Quota is the account of this node's router, LimitsOf reads the quotas of a configuration. Nil:
	// no quotas are kept here.
	Quota       *quota.Account
	QuotaBounds quota.Bounds
	LimitsOf    func(config []byte) []quota.Limit
	Journal     *kernel.Journal
	Ballot      Ballot
	Document    *Document
	Kept        []uint64
	Promised    Stamp
	// Snapshot is what an earlier life kept for a quick start; nil: there is none. RestoredSpan bounds for
	// how long engines are used that are known from it alone; zero: two of their beats.
	Snapshot     *Snapshot
	RestoredSpan kernel.Micros
	// Invariants counts violations; nil: nobody does.
	Invariants *invariant.Monitor
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

// notedSpan is for how long a node remembers whom it probed, rejected and answered.
const notedSpan = 10 * kernel.Second

// Node joins the owners of one process and carries messages between them.
type Node struct {
	settings NodeSettings
	// validation is what Validate judges by; never changed, since that runs beside the owners.
	validation CoreSettings
	bornAt     kernel.Micros
	now        kernel.Micros
	random     *rand.Rand
	core       *Core
	lease      *Lease
	directory  *Directory
	views      *Views
	out        []any
	loop       []Envelope

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
	succeedTimer kernel.Micros // when a leaving home names its successor again

	batch       map[string]RouterAsk
	batchTimer  kernel.Micros
	isBatchHot  bool
	zoneApplied map[string]uint64
	zoneHeld    map[string]uint64 // at least what is applied
	zoneHeard   map[string]kernel.Micros
	pushed      transfers // documents on their way to the zone's nodes
	preparing   *Document

	peerNews      map[string]newsMark
	mendTimer     kernel.Micros
	mendTurn      int
	sweep         kernel.Micros
	askTurn       int
	urgent        []urgentNews
	probedAt      map[string]kernel.Micros
	errands       map[string]*errand
	rejected      map[string]kernel.Micros // foreign senders noted lately
	founder       *founder                 // nil unless members announce themselves
	reads         map[uint64]*reading
	announcements announcements
	snapshots     snapshots
	greeting      greeting
	watch         nodeWatch
	quotas        quotas
}

// NewNode makes a node.
func NewNode(settings NodeSettings, now kernel.Micros) *Node {
	random := rand.New(rand.NewPCG(settings.RandomSeed, settings.Start))
	tokens := newLifeTokens(settings)
	n := &Node{
		settings: settings, now: now, random: random,
		batch: map[string]RouterAsk{}, zoneApplied: map[string]uint64{}, zoneHeld: map[string]uint64{}, zoneHeard: map[string]kernel.Micros{}, pushed: transfers{},
		peerNews: map[string]newsMark{}, errands: map[string]*errand{}, rejected: map[string]kernel.Micros{},
		probedAt: map[string]kernel.Micros{}, reads: map[uint64]*reading{}, announcements: newAnnouncements(tokens.first()),
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
	n.lease.seq = tokens.first()
	n.lease.isPrepared, n.lease.serveOn, n.lease.change = n.prepare, settings.ServeOn, settings.ChangeConfig
	n.directory = NewDirectory(fmt.Sprintf("%s/%d", self.Address, settings.Start), settings.Timing, n.note)
	n.views = NewViews(Neighbour{Address: self.Address, Zone: self.Zone}, settings.Seeds, settings.Timing.Shuffle, random.IntN)
	n.validation, n.bornAt = settings.core(nil), now
	if settings.Founding == FoundersAnnounce {
		n.founder = newFounder(settings, random, now)
	}
	// A standby that can never vote is of use only where three are wanted in any case.
	if settings.IsController && (settings.HasFolder || settings.Voters == 0) {
		coreSettings := settings.core(n.note)
		coreSettings.Random, coreSettings.Pushed = random, n.pushed
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
		Ballot: s.Ballot, Document: s.Document, Kept: s.Kept, Promised: s.Promised, Life: s.Start,
		Invariants: s.Invariants,
	}
}

// Validate checks an order against a document and changes nothing. It may be called beside
// the owners: what is slow about a large configuration is remembered by the functions of the
// settings, so that the leader has its verdict at hand.
func (n *Node) Validate(submit *Submit, current *Document) error {
	if submit.Order != PutConfig && submit.Order != ChangeConfig {
		return nil
	}
	if current == nil {
		current = &Document{}
	}
	// A clash now need not be one when the order's turn comes.
	alone := *submit
	alone.Base, alone.BaseVersion = nil, nil
	_, _, err := n.validation.judgeConfig(&alone, current)
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
	envelope := Envelope{Fleet: n.settings.Identity.Fleet, Founding: n.founding(), From: n.self(), To: to, Message: message}
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
	n.checkInvariants()
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
	n.note("spec", "apply", fmt.Sprintf("revision %d", n.lease.Revision()))
	if n.core != nil {
		n.core.learnVoters(n.lease.applied.voterAddresses())
	}
	// The leader counts who has applied what, so it should hear at once.
	n.askTimer = n.now
	if n.settings.AckRule == Spread {
		n.ask()
	}
	if n.isHome() {
		n.isBatchHot = true
		for _, node := range n.zoneNodes() {
			document := n.pushed.offer(n.now, node, n.lease.applied, n.zoneHeld[node], n.isVoterAt(node))
			n.send(node, Message{Grant: &Grant{Revision: n.lease.Revision(), Document: document}})
		}
	}
}

// Deliver takes a message from another node.
func (n *Node) Deliver(now kernel.Micros, envelope Envelope) []any {
	n.now = now
	refusal := n.refusal(envelope)
	if r := n.snapshots.restored; r != nil && refusal == nil && envelope.Founding == r.Founding {
		// Someone who belongs to it says so: what the disk held binds again.
		n.snapshots.restored = nil
	}
	if refusal != nil {
		n.noteRefusal(envelope.From, refusal)
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
// The document is nil where the folder does not hold it any more.
func (n *Node) Fetched(now kernel.Micros, to string, mark ConfigMark, document *Document) []any {
	n.now = now
	n.send(to, Message{Recalled: &Recalled{mark, document}})
	return n.finish()
}

// Kept tells what became of configurations of the past that the folder was to keep.
func (n *Node) Kept(now kernel.Micros, outcome KeepOutcome) []any {
	n.now = now
	if n.core == nil {
		return n.finish()
	}
	if len(outcome.Kept) > 0 {
		n.note("history", "mend", fmt.Sprintf("the configurations of revisions %v were fetched from other members", outcome.Kept))
	}
	if outcome.Err != nil {
		n.note("history", "leave out", fmt.Sprintf("the configuration of revision %d: %v", outcome.Refused, outcome.Err))
	}
	n.core.Kept(now, outcome)
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

func (n *Node) receive(envelope Envelope) {
	from, m := envelope.From, envelope.Message
	if n.founder != nil && envelope.Founding != "" {
		n.founder.isFleetHeard = true
	}
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
		grant := *m.Grant
		grant.Document = n.filled(grant.Document)
		n.applied(n.lease.TakeGrant(n.now, &grant))
		n.lease.TakeFreshness(grant.Ask, grant.Revision, grant.Freshness)
		if m.Grant.News != nil {
			n.onNews(from, m.Grant.News)
		}
		n.greeted(from, m.Grant)
	case m.Hello != nil:
		n.onHello(from, m.Hello)
	case m.QuotaAsk != nil:
		n.onQuotaAsk(from, m.QuotaAsk)
	case m.QuotaGrant != nil:
		n.onQuotaGrant(m.QuotaGrant)
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
		n.pushOut(n.takeAnnounced(said))
	case m.Suspect != nil:
		// Passed on no further: where the view of the homes differs, the next one mends it.
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
	case m.isFounding():
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
			n.redirectQuota()
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
		n.directory.Sweep(now)
		// Of a node that is gone it is as well not to know what it held.
		for address := range n.zoneHeld {
			if _, isThere := n.directory.nodes.Get(address); !isThere {
				delete(n.zoneHeld, address)
				delete(n.zoneApplied, address)
				delete(n.zoneHeard, address)
			}
		}
		n.pushed.sweep(now)
		if n.core != nil {
			n.core.Learn(n.learnedMarks())
		}
		for _, noted := range []map[string]kernel.Micros{n.probedAt, n.rejected, n.greeting.answered} {
			dropOld(noted, now-notedSpan)
		}
	}
	n.tickMend()
	n.tickUrgent()
	n.tickErrands()
	n.tickReads()
	n.tickLeave()
	n.tickFounding()
	n.tickHello()
	n.tickAnnouncements()
	n.tickSnapshot()
	n.tickRestored()
	n.tickQuota()
	return n.finish()
}
