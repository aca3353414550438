package control

import (
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// CoreSettings is what a core is told at its start.
type CoreSettings struct {
	Self        Member
	HasFolder   bool
	Founders    []string // the three seeds
	Timing      Timing
	Random      *rand.Rand
	CheckConfig func([]byte) error
	// ChangeConfig puts a change of named items into a configuration; nil: there are no such orders.
	ChangeConfig func(current, change []byte) ([]byte, error)
	// VersionOf reads the operator's own number of a configuration; nil: configurations carry none.
	VersionOf func(config []byte) (uint64, error)
	Note      func(subject, decision, why string)
	// See NodeSettings.
	Voters     int
	AckRule    AckRule
	SpreadWait kernel.Micros
	ServeOn    kernel.Micros
	Founding   FoundingRule
	// Restored from the data folder.
	Ballot   Ballot
	Document *Document
	Kept     []uint64 // revisions of the configurations in the folder
	Promised Stamp    // the newest document that the folder ever held, though it may be damaged now
	Life     uint64   // the start identity of the process
	// Invariants counts violations; nil: nobody does.
	Invariants *invariant.Monitor
	Pushed     transfers
}

// Core agrees on the document. A nil document is a member that knows no fleet yet.
type Core struct {
	settings CoreSettings
	now      kernel.Micros
	out      []any

	role     role
	term     uint64
	votedFor MemberID
	votes    map[MemberID]bool
	doc      *Document // the newest accepted, maybe still on its way to disk
	synced   Stamp     // the newest that is surely on disk
	// promised is the newest document that this member has ever acknowledged, as far as known; later
	// than synced only where its folder has lost that document.
	promised Stamp
	// committed is the newest document known to be kept by a majority.
	committed *Document

	leaderMember  Member
	lastHeartbeat kernel.Micros // when a leader was last heard
	bornAt        kernel.Micros
	timer         kernel.Micros // the next election
	joinTimer     kernel.Micros
	hintTurn      int
	hints         []string
	fleetVoters   []string // of the document that the process applied as a router

	saves     []*pendingSave
	nextToken uint64
	diskWhy   string

	// Leading only.
	leadSince     kernel.Micros
	peers         map[MemberID]*peer
	round         uint64
	roundTimer    kernel.Micros
	isRoundWanted bool
	nudgeTimer    kernel.Micros
	isOwnTerm     bool // a document of this term is committed
	batches       []waitingBatch
	seen          map[string]*sighting
	homeSeen      map[string]kernel.Micros
	successors    map[string]string
	marks         []LearnedMark // leaving engines that the document does not name yet
	queue         []heldSubmit
	replies       []waitingSubmit
	reads         []waitingRead
	// When the newest revisions were committed under this lead.
	committedAt map[uint64]kernel.Micros
	buildTimer  kernel.Micros
	pushTimer   kernel.Micros
	pushUntil   kernel.Micros
	isLeaving   bool
	sentRounds  []sentRound
	refusals    []waitingRefusal
	health      *Health       // the last view of the voters
	holdSince   kernel.Micros // when orders last began to wait for a newcomer

	// releasedAt is the newest document of which the leader says that enough others hold it without this
	// member, so that it may end unless it has accepted a newer one.
	releasedAt Stamp
	// voterAt is the newest document that this life has accepted as one of its voters.
	voterAt Stamp

	watch coreWatch

	past past
	// pushed paces the large documents that go out without a heartbeat.
	pushed transfers

	mustered    map[string]musterNote
	musterTimer kernel.Micros
}

// NewCore makes a core from what the data folder held.
func NewCore(settings CoreSettings, now kernel.Micros) *Core {
	c := &Core{
		settings: settings, now: now, bornAt: now,
		term: settings.Ballot.Term, votedFor: settings.Ballot.VotedFor,
		doc: settings.Document, synced: settings.Document.stamp(), promised: settings.Promised,
		mustered: map[string]musterNote{}, past: newPast(settings.Kept), pushed: settings.Pushed,
	}
	if c.pushed == nil {
		c.pushed = transfers{}
	}
	if c.settings.SpreadWait == 0 {
		c.settings.SpreadWait = defaultSpreadWait
	}
	if c.doc != nil && c.doc.Term > c.term {
		c.term = c.doc.Term
	}
	c.watch.term = c.term
	// A first election soon after the start: a fleet started cold must serve quickly. Where
	// a leader lives, its heartbeats come first, and a pre-vote against it gets nothing.
	c.timer = now + c.electionSpan()/firstElection
	if c.isLeaderless() {
		c.timer = now + c.leaderlessSpan()
	}
	return c
}

func (c *Core) note(subject, decision, why string, args ...any) {
	if c.settings.Note != nil {
		c.settings.Note(subject, decision, fmt.Sprintf(why, args...))
	}
}

func (c *Core) send(to string, message Message) {
	if to != "" {
		c.out = append(c.out, Send{to, message})
	}
}

// take hands over the commands that have gathered.
func (c *Core) take() []any {
	c.checkInvariants()
	out := c.out
	c.out = nil
	return out
}

func (c *Core) isVoter() bool {
	_, isIn := c.doc.voter(c.settings.Self.ID)
	return isIn && c.settings.HasFolder
}

// Committed gives the newest committed document, or nil.
func (c *Core) Committed() *Document { return c.committed }

// Leader gives the address of the leader as far as known.
func (c *Core) Leader() string {
	if c.role == leader {
		return c.settings.Self.Address
	}
	if c.now-c.lastHeartbeat < 2*c.settings.Timing.ElectionHigh {
		return c.leaderMember.Address
	}
	return ""
}

// Receive takes a message meant for the core.
func (c *Core) Receive(now kernel.Micros, from string, m Message) {
	c.now = now
	// After a freeze messages come before the next tick. A late confirmation may still renew the
	// lease; nothing else is handled as a leader without one.
	if c.role == leader && m.HeartbeatReply == nil && !c.hasLeaderLease() {
		c.stepDown(leaseLapsed)
	}
	switch {
	case m.VoteAsk != nil:
		c.onVoteAsk(from, m.VoteAsk)
	case m.Vote != nil:
		c.onVote(m.Vote)
	case m.Heartbeat != nil:
		c.onHeartbeat(from, m.Heartbeat)
	case m.HeartbeatReply != nil:
		c.onHeartbeatReply(m.HeartbeatReply)
	case m.Inherit != nil:
		if m.Inherit.Target == c.settings.Self.ID && m.Inherit.Term == c.term && c.role == follower {
			c.note("core", "take over", "the leader named this member")
			c.startElection(false, true)
		}
	case m.Join != nil:
		c.onJoin(from, m.Join)
	case m.Muster != nil:
		c.send(from, Message{MusterReply: &MusterReply{c.settings.Self, c.doc == nil, c.settings.HasFolder}})
	case m.MusterReply != nil:
		c.mustered[from] = musterNote{now, *m.MusterReply}
	case m.Submit != nil:
		c.onSubmit(from, m.Submit)
	case m.AskBatch != nil:
		c.onAskBatch(from, m.AskBatch)
	case m.ReadAsk != nil:
		c.onReadAsk(from, m.ReadAsk)
	case m.Succeed != nil:
		if c.role == leader {
			c.successors[m.Succeed.Zone] = m.Succeed.To
		}
	case m.Recall != nil:
		c.onRecall(from, m.Recall)
	case m.Recalled != nil:
		c.onRecalled(from, m.Recalled)
	case m.Elsewhere != nil:
		c.hints = append([]string{m.Elsewhere.Leader}, m.Elsewhere.Voters...)
		if c.settings.Voters > 0 && m.Elsewhere.Leader != "" {
			// A fresh member is wanted soon; the pause keeps two that err from a storm.
			c.joinTimer = min(c.joinTimer, now+50*kernel.Millisecond)
		}
	}
}

// elsewhere tells an asker whom to ask instead.
func (c *Core) elsewhere(from string) {
	c.send(from, Message{Elsewhere: &Elsewhere{c.Leader(), c.doc.voterAddresses()}})
}

// Tick lets due timers go off.
func (c *Core) Tick(now kernel.Micros) {
	c.now = now
	c.tickDisk()
	c.recall()
	switch c.role {
	case leader:
		if !c.hasLeaderLease() {
			c.stepDown(leaseLapsed)
			return
		}
		if now >= c.roundTimer || c.isRoundWanted {
			c.heartbeat()
		}
		// What the leader tends by itself can wait a little; looking copies the document.
		if len(c.queue) > 0 || now >= c.buildTimer {
			c.buildTimer = now + buildEvery
			c.dropGonePeers()
			c.build()
			c.lookAtHealth()
		}
		c.settleReplies()
		c.nudgeSilent()
		c.pushAgainToSilent()
		if c.isLeaving && len(c.doc.Voters) > 1 && c.committed.stamp() == c.doc.stamp() {
			c.yieldLead("this member is leaving")
		}
	default:
		if now >= c.timer && c.isVoter() && !c.isLeaving {
			c.startElection(true, false)
		}
		c.found()
		c.join()
	}
}
