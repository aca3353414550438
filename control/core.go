package control

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"

	"dunlinloom/kernel"
)

// firstElection is by how much the first span after a start is shorter than the others.
const firstElection = 3

// voterCount is how many voters the core keeps.
const voterCount = 3

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

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
}

type peer struct {
	member    Member
	lastHeard kernel.Micros
	lastSent  kernel.Micros // when a document last went to it
	sentDoc   Stamp
	round     uint64
	synced    Stamp
	isLeaving bool
	isAiling  bool
	isPartial bool
	isBare    bool // it does not hold the configuration in force
	hasFolder bool
	since     kernel.Micros // when it was first heard in this term
}

type sighting struct {
	at       kernel.Micros
	applied  uint64
	held     uint64 // at least what is applied
	zone     string
	isRouter bool
}

type waitingBatch struct {
	from  string
	batch *AskBatch
	round uint64
}

type waitingSubmit struct {
	from     string
	id       string
	revision uint64
	isFence  bool // the asker wants the id fenced
	isFenced bool // the id is fenced at that revision
}

// waitingRead is a newest read that waits for a round that was sent after it came.
type waitingRead struct {
	from  string
	ask   *ReadAsk
	round uint64
}

type heldSubmit struct {
	from   string
	submit *Submit
}

type pendingSave struct {
	save    Save
	since   kernel.Micros
	retryAt kernel.Micros
	isLost  bool // the last try failed
	after   []func()
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
	// committed is the newest document known to be kept by a majority.
	committed *Document

	leaderMember  Member
	lastHeartbeat kernel.Micros // when a leader was last heard
	bornAt        kernel.Micros
	timer         kernel.Micros // the next election
	joinTimer     kernel.Micros
	hintTurn      int
	hints         []string

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
	committedAt  map[uint64]kernel.Micros
	buildTimer   kernel.Micros
	pushTimer    kernel.Micros
	pushUntil    kernel.Micros
	isLeaving    bool
	lastMajority kernel.Micros

	kept        map[uint64]bool // configurations in the own folder
	recallTimer kernel.Micros

	mustered    map[string]musterNote
	musterTimer kernel.Micros
}

type musterNote struct {
	at    kernel.Micros
	reply MusterReply
}

// maxQueue bounds the orders a leader holds; more are told to come back.
const maxQueue = 1024

// NewCore makes a core from what the data folder held.
func NewCore(settings CoreSettings, now kernel.Micros) *Core {
	c := &Core{
		settings: settings, now: now, bornAt: now,
		term: settings.Ballot.Term, votedFor: settings.Ballot.VotedFor,
		doc: settings.Document, synced: settings.Document.stamp(),
		mustered: map[string]musterNote{}, kept: map[uint64]bool{},
	}
	if c.settings.SpreadWait == 0 {
		c.settings.SpreadWait = defaultSpreadWait
	}
	for _, revision := range settings.Kept {
		c.kept[revision] = true
	}
	if c.doc != nil && c.doc.Term > c.term {
		c.term = c.doc.Term
	}
	// A first election soon after the start: a fleet started cold must serve quickly. Where
	// a leader lives, its heartbeats come first, and a pre-vote against it gets nothing.
	c.timer = now + c.electionSpan()/firstElection
	if c.isLeaderless() {
		c.timer = now + c.leaderlessSpan()
	}
	return c
}

// leaderlessTime is how long a life without any word of a leader makes haste.
const leaderlessTime = 2 * kernel.Second

// isLeaderless tells of a life that has just begun and seen no leader: most likely the
// whole fleet starts, and everyone waits for an election. Where a leader lives its voters
// refuse a pre-vote, so haste costs a few messages and unseats nobody.
func (c *Core) isLeaderless() bool {
	return c.settings.Voters > 0 && c.lastHeartbeat == 0 && c.role != leader && c.leadSince == 0 && c.now-c.bornAt < leaderlessTime
}

// leaderlessSpan is the span to the next pre-vote of such a life: by the member's place,
// so that two seldom stand at once, and a random part for those that started apart.
func (c *Core) leaderlessSpan() kernel.Micros {
	low, place := c.settings.Timing.ElectionLow/6, 0
	if c.doc != nil {
		place = max(slices.IndexFunc(c.doc.Voters, func(m Member) bool { return m.ID == c.settings.Self.ID }), 0)
	}
	return low + kernel.Micros(place)*low/3 + kernel.Micros(c.settings.Random.Int64N(int64(low/2)))
}

func (c *Core) note(subject, decision, why string, args ...any) {
	if c.settings.Note != nil {
		c.settings.Note(subject, decision, fmt.Sprintf(why, args...))
	}
}

func (c *Core) electionSpan() kernel.Micros {
	t := c.settings.Timing
	return t.ElectionLow + kernel.Micros(c.settings.Random.Int64N(int64(t.ElectionHigh-t.ElectionLow)))
}

func (c *Core) send(to string, message Message) {
	if to != "" {
		c.out = append(c.out, Send{to, message})
	}
}

// take hands over the commands that have gathered.
func (c *Core) take() []any {
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

// ---- disk ----

// save queues a write; after runs once it is synced. Writes stay in order, so
// whatever after promises is on disk by then.
func (c *Core) save(document *Document, after func()) {
	c.nextToken++
	save := Save{Token: c.nextToken, Ballot: &Ballot{c.term, c.votedFor}, Document: document}
	pending := &pendingSave{save: save, since: c.now}
	if after != nil {
		pending.after = append(pending.after, after)
	}
	c.saves = append(c.saves, pending)
	if len(c.saves) == 1 {
		c.out = append(c.out, save)
	}
}

// Saved reports on the oldest write.
func (c *Core) Saved(now kernel.Micros, token uint64, err error) {
	c.now = now
	if len(c.saves) == 0 || c.saves[0].save.Token != token {
		return
	}
	head := c.saves[0]
	if err != nil {
		head.isLost, head.retryAt = true, now+c.settings.Timing.DiskRetry
		if c.diskWhy == "" {
			c.note("disk", "ail", "a write failed: %v", err)
		}
		c.diskWhy = err.Error()
		if c.role == leader {
			c.yieldLead("its disk fails: " + c.diskWhy)
		}
		return
	}
	if c.diskWhy != "" {
		c.note("disk", "mend", "a write went through again")
		c.diskWhy = ""
	}
	c.saves = c.saves[1:]
	if document := head.save.Document; document != nil && c.synced.before(document.stamp()) {
		c.synced = document.stamp()
		c.kept[document.ConfigRevision] = true
	}
	if len(c.saves) > 0 {
		c.saves[0].since = now
		c.out = append(c.out, c.saves[0].save)
	}
	for _, run := range head.after {
		run()
	}
}

// Ailment says why this member's disk can't be trusted to keep anything now.
func (c *Core) Ailment() string {
	if c.diskWhy != "" {
		return c.diskWhy
	}
	if len(c.saves) > 0 && c.now-c.saves[0].since > c.settings.Timing.DiskStall {
		return "a write has stalled"
	}
	return ""
}

func (c *Core) tickDisk() {
	if len(c.saves) == 0 {
		return
	}
	head := c.saves[0]
	if head.isLost && c.now >= head.retryAt {
		head.isLost, head.since = false, c.now
		c.out = append(c.out, head.save)
	}
	if c.role == leader && c.Ailment() != "" {
		c.yieldLead("its disk: " + c.Ailment())
	}
}

// ---- terms and elections ----

func (c *Core) adoptTerm(term uint64) {
	if term <= c.term {
		return
	}
	if c.role != follower {
		c.stepDown(fmt.Sprintf("term %d was seen", term))
	}
	c.term, c.votedFor = term, ""
}

func (c *Core) stepDown(why string) {
	if c.role == leader {
		c.note("core", "step down", "term %d: %s", c.term, why)
		// Whoever waits here can be told nothing final by a leader that is none.
		for _, waiting := range c.replies {
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.id, Outcome: Unproved, Reason: "leader_changed"}})
		}
		c.replies, c.batches, c.queue, c.reads = nil, nil, nil, nil
	}
	c.role = follower
	c.timer = c.now + c.electionSpan()
}

// yieldLead names the best successor and steps down.
func (c *Core) yieldLead(why string) {
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := c.doc.voter(p.member.ID); !isIn || p.isAiling || p.isLeaving || c.now-p.lastHeard > c.settings.Timing.ElectionLow {
			continue
		}
		if best == nil || best.synced.before(p.synced) {
			best = p
		}
	}
	if best != nil {
		c.note("core", "name successor", "%s, because %s", best.member.Address, why)
		c.send(best.member.Address, Message{Inherit: &Inherit{c.term, best.member.ID}})
	}
	c.stepDown(why)
	// The successor needs time to be elected before this member stands again.
	c.timer = c.now + 2*c.settings.Timing.ElectionHigh
}

func (c *Core) startElection(isPre, isNamed bool) {
	if !c.isVoter() || c.Ailment() != "" {
		c.timer = c.now + c.electionSpan()
		return
	}
	c.timer = c.now + c.electionSpan()
	if isPre && c.isLeaderless() {
		// Those that it asks may not have started yet.
		c.timer = c.now + c.leaderlessSpan()
	}
	c.votes = map[MemberID]bool{c.settings.Self.ID: true}
	ask := func() {
		for _, member := range c.doc.Voters {
			if member.ID == c.settings.Self.ID {
				continue
			}
			term := c.term
			if isPre {
				term++
			}
			c.send(member.Address, Message{VoteAsk: &VoteAsk{
				Term: term, IsPre: isPre, IsNamed: isNamed, Candidate: c.settings.Self, Voter: member.ID, Newest: c.synced,
			}})
		}
		c.countVotes()
	}
	if isPre {
		c.role = preCandidate
		ask()
		return
	}
	c.term++
	c.votedFor = c.settings.Self.ID
	c.role = candidate
	term := c.term
	c.note("core", "stand", "term %d, holding generation %d", term, c.doc.Revision)
	// The own vote counts only once it is on disk.
	c.save(nil, func() {
		if c.role == candidate && c.term == term {
			ask()
		}
	})
}

func (c *Core) onVoteAsk(from string, m *VoteAsk) {
	if m.Voter != c.settings.Self.ID || !c.settings.HasFolder {
		return
	}
	vote := Vote{Term: m.Term, IsPre: m.IsPre, Voter: c.settings.Self.ID}
	// A member that heard a leader just now keeps to it, so that one that merely
	// lost touch can't unseat a working leader.
	isLed := c.role == leader || c.now-c.lastHeartbeat < c.settings.Timing.ElectionLow && c.leaderMember.ID != m.Candidate.ID
	isBehind := m.Newest.before(c.synced)
	if c.Ailment() != "" || isBehind || (isLed && !m.IsNamed) {
		vote.Known = c.term
		c.send(from, Message{Vote: &vote})
		return
	}
	if m.IsPre {
		vote.IsGranted, vote.Known = m.Term > c.term, c.term
		c.send(from, Message{Vote: &vote})
		return
	}
	c.adoptTerm(m.Term)
	vote.Known = c.term
	if m.Term < c.term || (c.votedFor != "" && c.votedFor != m.Candidate.ID) || c.role != follower {
		c.send(from, Message{Vote: &vote})
		return
	}
	c.votedFor = m.Candidate.ID
	c.timer = c.now + c.electionSpan()
	vote.IsGranted = true
	c.save(nil, func() { c.send(from, Message{Vote: &vote}) })
}

func (c *Core) onVote(m *Vote) {
	if m.Known > c.term {
		c.adoptTerm(m.Known)
		c.save(nil, nil)
		return
	}
	isCurrent := m.IsPre && c.role == preCandidate && m.Term == c.term+1 || !m.IsPre && c.role == candidate && m.Term == c.term
	if !isCurrent || !m.IsGranted {
		return
	}
	c.votes[m.Voter] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	count := 0
	for _, member := range c.doc.Voters {
		if c.votes[member.ID] {
			count++
		}
	}
	if count <= len(c.doc.Voters)/2 {
		return
	}
	switch c.role {
	case preCandidate:
		c.startElection(false, false)
	case candidate:
		c.lead()
	}
}

func (c *Core) lead() {
	c.role, c.leadSince, c.lastMajority = leader, c.now, c.now
	c.peers, c.round, c.isOwnTerm = map[MemberID]*peer{}, 0, false
	c.seen, c.homeSeen = map[string]*sighting{}, map[string]kernel.Micros{}
	c.successors, c.marks = map[string]string{}, nil
	c.committedAt, c.pushUntil = map[uint64]kernel.Micros{}, 0
	for _, member := range c.doc.Voters {
		if member.ID != c.settings.Self.ID {
			c.peers[member.ID] = &peer{member: member, lastHeard: c.now, hasFolder: true}
		}
	}
	c.note("core", "lead", "term %d, elected by a majority of %d voters", c.term, len(c.doc.Voters))
	// What an earlier leader left may or may not be committed. Proposing it again
	// under this term settles that before anything new is built on it.
	again := *c.doc
	again.Term = c.term
	c.propose(&again)
}

// ---- replication ----

func (c *Core) propose(document *Document) {
	c.save(document, func() { c.countCommit() })
	c.doc = document
	for _, member := range document.Voters {
		if c.peers[member.ID] == nil && member.ID != c.settings.Self.ID {
			c.peers[member.ID] = &peer{member: member, lastHeard: c.now, hasFolder: true}
		}
	}
	c.heartbeat()
}

// peerIDs in a fixed order: ranging over a map would make runs differ under one seed.
func (c *Core) peerIDs() []MemberID {
	ids := make([]MemberID, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) heartbeat() {
	c.round++
	c.isRoundWanted = false
	c.roundTimer = c.now + c.settings.Timing.Heartbeat
	newest := c.doc.stamp()
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		message := &Heartbeat{Term: c.term, Leader: c.settings.Self, Target: id, Round: c.round, Committed: c.committedStamp()}
		// A document is large: it goes again only after a pause without a word of it.
		if p.synced != newest && (p.sentDoc != newest || c.now-p.lastSent > 5*c.settings.Timing.Heartbeat) {
			message.Document, p.sentDoc, p.lastSent = c.doc, newest, c.now
			// Nearly every document keeps the configuration of the one before. A member that has
			// it not says so, and is sent the whole.
			if c.doc.ConfigRevision < c.doc.Revision && !p.isBare {
				message.Document = c.doc.light()
			}
		}
		c.send(p.member.Address, Message{Heartbeat: message})
	}
	c.confirmRounds()
}

// committedStamp is what followers may take as committed: only documents of the
// present term count, as those of older terms are not settled by being stored.
func (c *Core) committedStamp() Stamp {
	if !c.isOwnTerm {
		return Stamp{}
	}
	return c.committed.stamp()
}

func (c *Core) onHeartbeat(from string, m *Heartbeat) {
	if m.Target != c.settings.Self.ID {
		return
	}
	reply := &HeartbeatReply{Term: c.term, Round: m.Round, Member: c.settings.Self, IsLeaving: c.isLeaving, IsAiling: c.Ailment() != "", IsPartial: c.isPartial()}
	if m.Term < c.term {
		reply.Round, reply.Synced = 0, c.synced
		c.send(from, Message{HeartbeatReply: reply})
		return
	}
	isNewTerm := m.Term > c.term
	c.adoptTerm(m.Term)
	if c.role != follower {
		c.stepDown("another leads this term")
	}
	if c.leaderMember.ID != m.Leader.ID || isNewTerm {
		c.note("core", "follow", "%s leads term %d", m.Leader.Address, m.Term)
	}
	c.leaderMember, c.lastHeartbeat = m.Leader, c.now
	c.timer = c.now + c.electionSpan()
	reply.Term = c.term
	respond := func() {
		reply.Synced = c.synced
		c.send(from, Message{HeartbeatReply: reply})
	}
	document := m.Document.whole(c.doc, c.committed)
	reply.IsBare = document == nil && m.Document != nil
	isNews := document != nil && document.Term == m.Term && c.doc.stamp().before(document.stamp())
	switch {
	case isNews:
		c.save(document, respond)
		c.doc = document
	case isNewTerm:
		c.save(nil, respond)
	default:
		respond()
	}
	if c.doc != nil && m.Committed.Term == c.term && c.doc.stamp() == m.Committed {
		c.commit(c.doc)
	}
}

func (c *Core) onHeartbeatReply(m *HeartbeatReply) {
	if m.Term > c.term {
		c.adoptTerm(m.Term)
		c.save(nil, nil)
		return
	}
	if c.role != leader || m.Term != c.term {
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil {
		return
	}
	p.lastHeard, p.isLeaving, p.isAiling, p.isPartial = c.now, m.IsLeaving, m.IsAiling, m.IsPartial
	p.member.Address = m.Member.Address
	if m.IsBare && !p.isBare {
		p.isBare, p.sentDoc, c.isRoundWanted = true, Stamp{}, true
	}
	if m.Round > p.round {
		p.round = m.Round
	}
	if p.synced.before(m.Synced) {
		p.synced = m.Synced
		p.isBare = p.isBare && p.synced != c.doc.stamp()
	}
	c.countCommit()
	c.confirmRounds()
}

// countVoters counts the voters of the newest document that meet a test, this one by isSelf.
func (c *Core) hasVoters(isSelf bool, isMet func(*peer) bool) bool {
	count := 0
	for _, member := range c.doc.Voters {
		if member.ID == c.settings.Self.ID {
			if isSelf {
				count++
			}
		} else if p := c.peers[member.ID]; p != nil && isMet(p) {
			count++
		}
	}
	return count > len(c.doc.Voters)/2
}

func (c *Core) countCommit() {
	if c.role != leader {
		return
	}
	newest := c.doc.stamp()
	if c.committed.stamp() == newest && c.isOwnTerm {
		return
	}
	if !c.hasVoters(c.synced == newest, func(p *peer) bool { return p.synced == newest }) {
		return
	}
	c.isOwnTerm = true
	c.commit(c.doc)
	c.noteCommit()
	c.build()
	if c.settings.AckRule == Spread {
		c.isRoundWanted = true
		c.settleReplies()
		return
	}
	// Homes ask again at once, so that a new revision need not wait for their next turn.
	homes := map[string]bool{}
	for _, address := range c.committed.Homes {
		homes[address] = true
	}
	for _, address := range slices.Sorted(maps.Keys(homes)) {
		c.send(address, Message{Nudge: &Nudge{c.committed.Revision}})
	}
	c.isRoundWanted = true
	c.settleReplies()
}

func (c *Core) commit(document *Document) {
	if c.committed != nil && !c.committed.stamp().before(document.stamp()) {
		return
	}
	c.committed = document
}

const buildEvery = 100 * kernel.Millisecond

// keptCommits bounds the revisions whose moment of commit is remembered.
const keptCommits = 64

// noteCommit remembers when a revision was committed under this lead and has it pushed.
func (c *Core) noteCommit() {
	revision := c.committed.Revision
	if _, isThere := c.committedAt[revision]; !isThere {
		c.committedAt[revision] = c.now
	}
	if revision > keptCommits {
		delete(c.committedAt, revision-keptCommits)
	}
	if c.settings.AckRule != Spread {
		return
	}
	// A yes follows soon, and all in touch have to know by then: the document goes out
	// without being asked for, to the homes first, which carry it into their zones.
	homes := map[string]bool{}
	for _, address := range c.committed.Homes {
		homes[address] = true
	}
	for _, address := range slices.Sorted(maps.Keys(homes)) {
		c.pushTo(address)
	}
	c.pushTimer, c.pushUntil = c.now+pushAgain, c.now+pushSpan
}

const (
	pushAgain = 300 * kernel.Millisecond
	pushSpan  = 2 * kernel.Second
)

func (c *Core) pushTo(address string) {
	document := c.committed
	if seen := c.seen[address]; seen != nil {
		document = c.committed.lightFor(seen.held)
	} else if c.committed.ConfigRevision < c.committed.Revision {
		// Unheard under this lead: most likely it holds the configuration, and asks if it has it not.
		document = c.committed.light()
	}
	c.send(address, Message{Grant: &Grant{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Document: document}})
}

// pushAgainToSilent sends the newest document to everyone who has not confirmed it. Homes
// may be gone or cut, so this goes to the nodes themselves.
func (c *Core) pushAgainToSilent() {
	if c.committed == nil || c.now < c.pushTimer || c.now > c.pushUntil {
		return
	}
	c.pushTimer = c.now + pushAgain
	targets := map[string]bool{}
	for address, seen := range c.seen {
		if c.now-seen.at < c.settings.Timing.NodeGone {
			targets[address] = seen.applied < c.committed.Revision
		}
	}
	for _, address := range c.committed.Register {
		if c.seen[address] == nil {
			targets[address] = true
		}
	}
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		if targets[address] {
			c.pushTo(address)
		}
	}
}

// isSpread tells whether a committed revision has gone round as far as a yes waits for:
// all who were heard just now have applied it, or they had their time. Whoever can't be
// reached is not waited for; he is not bound by the yes, and gets the document when he is back.
func (c *Core) isSpread(revision uint64) bool {
	at, isThere := c.committedAt[revision]
	if !isThere || c.now-at >= c.settings.SpreadWait {
		return true
	}
	// A fresh leader has not heard all yet.
	if c.now-c.leadSince < kernel.Second {
		return false
	}
	for _, seen := range c.seen {
		if c.now-seen.at < kernel.Second && seen.applied < revision {
			return false
		}
	}
	return true
}

// confirmRounds grants the batches whose round a majority has confirmed: at that
// moment no later leader could have committed anything newer.
func (c *Core) confirmRounds() {
	if c.role != leader || !c.isOwnTerm {
		return
	}
	kept := c.batches[:0]
	for _, waiting := range c.batches {
		if !c.hasVoters(true, func(p *peer) bool { return p.round >= waiting.round }) {
			kept = append(kept, waiting)
			continue
		}
		c.grant(waiting)
	}
	c.batches = kept
	reads := c.reads[:0]
	for _, waiting := range c.reads {
		if !c.hasVoters(true, func(p *peer) bool { return p.round >= waiting.round }) {
			reads = append(reads, waiting)
			continue
		}
		c.send(waiting.from, Message{ReadReply: &ReadReply{waiting.ask.Token, c.committed.lightFor(waiting.ask.Held)}})
	}
	c.reads = reads
}

func (c *Core) grant(waiting waitingBatch) {
	grant := &GrantBatch{Revision: c.committed.Revision, Leader: c.settings.Self.Address, Asks: waiting.batch.Asks}
	if waiting.batch.Revision < c.committed.Revision {
		grant.Document = c.committed.lightFor(waiting.batch.Revision)
	}
	c.send(waiting.from, Message{GrantBatch: grant})
}

// onReadAsk takes an ask for the newest committed document. Like a grant it is answered
// after a round that was sent later: until then another may have led and acknowledged more.
func (c *Core) onReadAsk(from string, m *ReadAsk) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	for _, waiting := range c.reads {
		if waiting.from == from && waiting.ask.Token == m.Token {
			return
		}
	}
	if len(c.reads) < maxQueue {
		c.reads = append(c.reads, waitingRead{from, m, c.round + 1})
		c.isRoundWanted = true
	}
}

// ---- receiving ----

// Receive takes a message meant for the core.
func (c *Core) Receive(now kernel.Micros, from string, m Message) {
	c.now = now
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
		if c.kept[m.Recall.Mark.Revision] {
			c.out = append(c.out, Fetch{from, m.Recall.Mark})
		}
	case m.Recalled != nil:
		c.onRecalled(m.Recalled.Document)
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

func (c *Core) onJoin(from string, m *Join) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	p := c.peers[m.Member.ID]
	if p == nil {
		p = &peer{since: c.now, isPartial: true}
		c.peers[m.Member.ID] = p
		c.note("core", "take standby", "%s in zone %s asked to join", m.Member.Address, m.Member.Zone)
		c.isRoundWanted = true
	}
	p.member, p.hasFolder, p.lastHeard = m.Member, m.HasFolder, c.now
	// A member that joins anew says what it really holds, even if that is less.
	p.synced, p.sentDoc, p.isBare = m.Synced, Stamp{}, m.Synced.Revision == 0
}

func (c *Core) onAskBatch(from string, m *AskBatch) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	for _, ask := range m.Asks {
		old := c.seen[ask.Address]
		if old == nil || ask.Applied >= old.applied || ask.Applied == 0 {
			c.seen[ask.Address] = &sighting{c.now, ask.Applied, max(ask.Applied, ask.Held), ask.Zone, ask.IsRouter}
		} else {
			old.at = c.now
		}
	}
	if m.IsHome {
		c.homeSeen[m.Zone] = c.now
	}
	switch {
	case c.settings.ServeOn < ServeOnAlways:
		c.batches = append(c.batches, waitingBatch{from, m, c.round + 1})
		c.isRoundWanted = true
	case c.isOwnTerm:
		// Nobody serves by this grant: it says who leads and what is committed, and that
		// needs no round of its own.
		c.grant(waitingBatch{from: from, batch: m})
	}
	c.settleReplies()
}

// ---- orders ----

func (c *Core) onSubmit(from string, m *Submit) {
	if c.role != leader {
		c.elsewhere(from)
		return
	}
	if len(c.queue) >= maxQueue {
		c.send(from, Message{SubmitReply: &SubmitReply{ID: m.ID, Outcome: Unproved, Reason: "busy"}})
		return
	}
	// The sender repeats itself until it hears; one copy in the queue is enough.
	for _, held := range c.queue {
		if held.submit.ID == m.ID && held.submit.Order == m.Order && held.from == from {
			return
		}
	}
	for _, waiting := range c.replies {
		if waiting.id == m.ID && waiting.from == from && waiting.isFence == (m.Order == Fence) {
			return
		}
	}
	c.queue = append(c.queue, heldSubmit{from, m})
	c.build()
}

func (c *Core) rejection(to string, m *Submit, reason, why string, args ...any) {
	detail := fmt.Sprintf(why, args...)
	c.note("submission "+m.ID, "decline", "%s: %s", reason, detail)
	c.send(to, Message{SubmitReply: &SubmitReply{ID: m.ID, Outcome: No, Reason: reason, Detail: detail}})
}

// build makes the next document out of what is due, if none is in flight.
func (c *Core) build() {
	if c.role != leader || !c.isOwnTerm || c.committed.stamp() != c.doc.stamp() {
		return
	}
	next := c.doc.next(c.term)
	reasons := []string{}
	c.tendVoters(next, &reasons)
	c.tendRegister(next, &reasons)
	c.tendHomes(next, &reasons)
	c.tendMarks(next, &reasons)
	for len(c.queue) > 0 {
		held := c.queue[0]
		c.queue = c.queue[1:]
		// One order a document: each yes stays readable under its own revision.
		if c.order(next, held) {
			reasons = append(reasons, "submission "+held.submit.ID)
			break
		}
	}
	if len(reasons) == 0 {
		return
	}
	c.note("core", proposes, proposeForm+"%v", next.Revision, reasons)
	c.propose(next)
}

// How a proposal stands in the journal, to be written and read by the same form.
const (
	proposes    = "propose"
	proposeForm = "generation %d: "
)

// Proposes tells which revision an entry of a journal proposes; zero for none.
func Proposes(entry kernel.Entry) (revision uint64) {
	if entry.Subject != "core" || entry.Decision != proposes {
		return 0
	}
	if _, err := fmt.Sscanf(entry.Why, proposeForm, &revision); err != nil {
		return 0
	}
	return revision
}

// order applies one submission to the next document; false when nothing has to change.
func (c *Core) order(next *Document, held heldSubmit) bool {
	m := held.submit
	wait := func(revision uint64, isFenced bool) {
		c.replies = append(c.replies, waitingSubmit{held.from, m.ID, revision, m.Order == Fence, isFenced})
	}
	if entry, isThere := c.doc.submission(m.ID); isThere {
		switch {
		case entry.IsFenced:
			c.rejection(held.from, m, "fenced", "this submission was given up on and will never take effect")
		case m.Order != Fence && entry.Digest != m.digest():
			c.rejection(held.from, m, "id_reused", "another submission had this id at generation %d", entry.Revision)
		default:
			wait(entry.Revision, false)
		}
		c.settleReplies()
		return false
	}
	switch m.Order {
	case Fence:
		next.remember(Submission{ID: m.ID, Revision: next.Revision, IsFenced: true})
		wait(next.Revision, true)
		return true
	case PutConfig, ChangeConfig:
		config, version, err := c.settings.judgeConfig(m, next)
		var refused ConfigRefused
		if errors.As(err, &refused) {
			c.rejection(held.from, m, refused.Reason, "%v", refused.Cause)
			return false
		}
		next.putConfig(config)
		next.ConfigVersion = version
	case EmptyZone:
		next.Drained[m.Zone] = next.Revision
	case RefillZone:
		delete(next.Drained, m.Zone)
	case Forget:
		// Should it ask again after all, it is registered anew like any other.
		delete(c.seen, m.Zone)
		if index := slices.Index(next.Register, m.Zone); index >= 0 {
			next.Register = slices.Delete(next.Register, index, index+1)
		}
		// The operator vouches that the router is dead, so it needs no counting in the old register either.
		if index := slices.Index(next.PriorRegister, m.Zone); index >= 0 {
			next.PriorRegister = slices.Delete(next.PriorRegister, index, index+1)
		}
	case MarkEngine:
		next.markLeaving(m.Engine, m.Start)
	default:
		c.rejection(held.from, m, "unknown_order", "%q", m.Order)
		return false
	}
	next.remember(Submission{ID: m.ID, Digest: m.digest(), Revision: next.Revision})
	wait(next.Revision, false)
	return true
}

// isApplied tells whether a majority of every register that counts has applied a revision.
func (c *Core) isApplied(revision uint64) bool {
	return c.hasMajority(c.committed.Register, revision) && (c.isSettled() || c.hasMajority(c.committed.PriorRegister, revision))
}

// isSettled tells whether the newest change of the register has been applied by a
// majority of the one before and of its own; until then that one counts as well.
func (c *Core) isSettled() bool {
	since := c.committed.RegisterSince
	return c.hasMajority(c.committed.PriorRegister, since) && c.hasMajority(c.committed.Register, since)
}

// hasMajority tells whether a majority of a register has applied a revision.
func (c *Core) hasMajority(register []string, revision uint64) bool {
	return majority(register, func(address string) bool {
		seen := c.seen[address]
		return seen != nil && seen.applied >= revision
	})
}

func (c *Core) settleReplies() {
	if c.role != leader || !c.isOwnTerm {
		return
	}
	kept := c.replies[:0]
	for _, waiting := range c.replies {
		isDone := waiting.revision <= c.committed.Revision
		switch {
		case isDone && waiting.isFenced:
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{
				ID: waiting.id, Outcome: No, Reason: "fenced", Detail: "given up on; it will never take effect"}})
		case isDone && c.settings.AckRule == Spread && c.isSpread(waiting.revision):
			c.note("submission "+waiting.id, "yes", "generation %d is kept by the voters and has gone round", waiting.revision)
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.id, Outcome: Yes, Revision: waiting.revision}})
		case isDone && c.settings.AckRule != Spread && c.isApplied(waiting.revision):
			c.note("submission "+waiting.id, "yes", "generation %d is kept by the voters and applied by a majority of routers", waiting.revision)
			c.send(waiting.from, Message{SubmitReply: &SubmitReply{ID: waiting.id, Outcome: Yes, Revision: waiting.revision}})
		default:
			kept = append(kept, waiting)
		}
	}
	c.replies = kept
}

// ---- what the leader tends by itself ----

func (c *Core) isLost(member Member) bool {
	if member.ID == c.settings.Self.ID {
		return false
	}
	p := c.peers[member.ID]
	return p == nil || c.now-p.lastHeard > c.settings.Timing.Replace
}

// isSucceeded tells of a voter at whose address another member has come up since it was
// last heard: most likely its folder is lost. To wait out its silence besides would leave
// the core with no voter to spare meanwhile. Should the folder come back after all, no
// harm is done, since voters still change one at a time, by majorities that intersect.
func (c *Core) isSucceeded(voter Member) bool {
	if voter.ID == c.settings.Self.ID {
		return false
	}
	old := c.peers[voter.ID]
	for id, p := range c.peers {
		if id != voter.ID && p.member.Address == voter.Address && p.hasFolder && (old == nil || old.lastHeard <= p.since) {
			return true
		}
	}
	return false
}

func (c *Core) isGoing(member Member) bool {
	if member.ID == c.settings.Self.ID {
		return c.isLeaving
	}
	p := c.peers[member.ID]
	return p != nil && p.isLeaving
}

func (c *Core) tendVoters(next *Document, reasons *[]string) {
	// An address may change under the same member: the folder moved to another machine's name.
	for i, member := range next.Voters {
		if p := c.peers[member.ID]; p != nil && p.member.Address != "" && p.member.Address != member.Address {
			next.Voters[i].Address = p.member.Address
			*reasons = append(*reasons, "voter moved to "+p.member.Address)
			return
		}
	}
	if c.settings.Voters > 0 {
		c.tendWanted(next, reasons)
		return
	}
	zones := map[string]int{}
	weak := -1
	for i, member := range next.Voters {
		zones[member.Zone]++
		if c.isLost(member) || c.isSucceeded(member) || c.isGoing(member) {
			weak = i
		}
	}
	if len(next.Voters) > voterCount {
		// Fewer voters again: the lost one first, then one that goes, then one that shares a zone.
		drop := weak
		for i, member := range next.Voters {
			if c.isLost(member) || c.isSucceeded(member) {
				drop = i
			}
		}
		for i := 0; drop < 0 && i < len(next.Voters); i++ {
			if zones[next.Voters[i].Zone] > 1 && next.Voters[i].ID != c.settings.Self.ID {
				drop = i
			}
		}
		if drop < 0 {
			drop = len(next.Voters) - 1
		}
		if next.Voters[drop].ID == c.settings.Self.ID {
			return // a leader that goes names its successor first
		}
		*reasons = append(*reasons, "voter dropped: "+next.Voters[drop].Address)
		next.Voters = slices.Delete(next.Voters, drop, drop+1)
		return
	}
	hasDouble := len(zones) < len(next.Voters)
	if len(next.Voters) == voterCount && weak < 0 && !hasDouble {
		return
	}
	if weak >= 0 {
		zones[next.Voters[weak].Zone]--
	}
	var best *peer
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if _, isIn := next.voter(id); isIn || !p.hasFolder || p.isLeaving || p.isAiling {
			continue
		}
		isCaughtUp := p.synced == c.committed.stamp() && c.now-p.lastHeard < c.settings.Timing.ElectionLow
		// A voter should hold the past too, or losing disks one after the other loses
		// it. What nobody has any more must not keep a place empty for ever.
		isCaughtUp = isCaughtUp && (!p.isPartial || c.now-p.since > 30*kernel.Second)
		if isCaughtUp && (best == nil || zones[p.member.Zone] < zones[best.member.Zone]) {
			best = p
		}
	}
	if best == nil {
		return
	}
	// With all voters well, a swap is worth it only for a zone that has none.
	if len(next.Voters) == voterCount && weak < 0 && zones[best.member.Zone] > 0 {
		return
	}
	next.Voters = append(next.Voters, best.member)
	*reasons = append(*reasons, "voter added: "+best.member.Address)
}

func (c *Core) tendRegister(next *Document, reasons *[]string) {
	// A register may change only once a majority of the last one knows of the last change.
	// Where replies do not count it, nothing hangs on that.
	isCounted := c.settings.AckRule != Spread
	if isCounted && !c.isSettled() {
		return
	}
	changed := slices.Clone(next.Register)
	for _, address := range slices.Sorted(maps.Keys(c.seen)) {
		seen := c.seen[address]
		if seen.isRouter && c.now-seen.at < 2*kernel.Second && !slices.Contains(changed, address) {
			changed = append(changed, address)
			*reasons = append(*reasons, "router registered: "+address)
		}
	}
	if len(changed) == len(next.Register) && c.now-c.leadSince > c.settings.Timing.Strike {
		for i := 0; i < len(changed); i++ {
			address := changed[i]
			seen := c.seen[address]
			if seen == nil || c.now-seen.at > c.settings.Timing.Strike {
				changed = slices.Delete(changed, i, i+1)
				*reasons = append(*reasons, "router struck off: "+address)
				// One at a time, so that each step is applied by a majority before the next.
				if isCounted {
					break
				}
				i--
			}
		}
	}
	if len(changed) != len(next.Register) {
		next.PriorRegister, next.RegisterSince = next.Register, next.Revision
		next.Register = sorted(changed)
	}
}

func (c *Core) tendHomes(next *Document, reasons *[]string) {
	nodes := map[string][]string{}
	for _, address := range slices.Sorted(maps.Keys(c.seen)) {
		if seen := c.seen[address]; c.now-seen.at < c.settings.Timing.HomeSilent {
			nodes[seen.zone] = append(nodes[seen.zone], address)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(nodes)) {
		home := next.Homes[zone]
		if named := c.successors[zone]; named != "" && named != home {
			delete(c.successors, zone)
			next.Homes[zone] = named
			*reasons = append(*reasons, "home of "+zone+": "+named+", named by "+home)
			c.homeSeen[zone] = c.now
			continue
		}
		lastSeen, isSeen := c.homeSeen[zone]
		if !isSeen {
			lastSeen = c.leadSince
		}
		if home != "" && c.now-lastSeen < c.settings.Timing.HomeSilent {
			continue
		}
		for _, address := range nodes[zone] {
			if address != home {
				next.Homes[zone] = address
				c.homeSeen[zone] = c.now
				why := "the last fell silent"
				if home == "" {
					why = "the zone had none"
				}
				*reasons = append(*reasons, "home of "+zone+": "+address+", "+why)
				break
			}
		}
	}
}

// LearnedMark is a leaving engine that the fleet heard of from the engine or the list.
type LearnedMark struct {
	Engine string
	Start  uint64
}

// Learn takes the leaving engines that the leader's node knows of. Those that said so
// themselves live in memory only, and would be forgotten with the whole fleet while
// the platform's list still names them as serving.
func (c *Core) Learn(marks []LearnedMark) {
	if c.role == leader {
		c.marks = marks
	}
}

func (c *Core) tendMarks(next *Document, reasons *[]string) {
	for _, mark := range c.marks {
		if known, isThere := next.Leaving[mark.Engine]; !isThere || known.Start < mark.Start {
			next.markLeaving(mark.Engine, mark.Start)
			*reasons = append(*reasons, "engine leaving: "+mark.Engine)
		}
	}
	c.marks = nil
}

// recall mends the own history: a member that was empty a while ago holds only
// what came since, and the others may be the next to lose their disks.
func (c *Core) recall() {
	if c.now < c.recallTimer || !c.settings.HasFolder || c.committed == nil || c.Ailment() != "" {
		return
	}
	c.recallTimer = c.now + 3*c.settings.Timing.Heartbeat
	for _, mark := range c.committed.Chain {
		if c.kept[mark.Revision] {
			continue
		}
		others := []string{}
		for _, member := range c.committed.Voters {
			if member.ID != c.settings.Self.ID {
				others = append(others, member.Address)
			}
		}
		for _, id := range c.peerIDs() {
			others = append(others, c.peers[id].member.Address)
		}
		if len(others) > 0 {
			c.send(others[c.settings.Random.IntN(len(others))], Message{Recall: &Recall{mark}})
		}
		return
	}
}

// isPartial tells that configurations of the chain are missing in the own folder.
func (c *Core) isPartial() bool {
	if c.committed == nil {
		return true
	}
	for _, mark := range c.committed.Chain {
		if !c.kept[mark.Revision] {
			return true
		}
	}
	return false
}

func (c *Core) onRecalled(document *Document) {
	if document == nil || c.committed == nil || c.kept[document.ConfigRevision] {
		return
	}
	mark, isThere := c.committed.ConfigAt(document.ConfigRevision)
	if isThere && mark.Revision == document.ConfigRevision && mark.Digest == digestOf(document.Config) {
		c.out = append(c.out, Keep{document})
	}
}

// Kept tells that a configuration of the past is in the folder now.
func (c *Core) Kept(revision uint64) {
	c.kept[revision] = true
	c.recallTimer = 0
}

// ---- time ----

// Tick lets due timers go off.
func (c *Core) Tick(now kernel.Micros) {
	c.now = now
	c.tickDisk()
	c.recall()
	switch c.role {
	case leader:
		if c.hasVoters(true, func(p *peer) bool { return now-p.lastHeard < c.settings.Timing.ElectionHigh }) {
			c.lastMajority = now
		} else if now-c.lastMajority > c.settings.Timing.ElectionLow {
			c.stepDown("no majority of voters was heard")
			return
		}
		if now >= c.roundTimer || c.isRoundWanted {
			c.heartbeat()
		}
		// What the leader tends by itself can wait a little; looking copies the document.
		if len(c.queue) > 0 || now >= c.buildTimer {
			c.buildTimer = now + buildEvery
			c.build()
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

// nudgeSilent writes to registered routers that are not heard of. One that was
// restarted and whose seeds are all gone by now learns in this way who is there.
func (c *Core) nudgeSilent() {
	if c.now < c.nudgeTimer || !c.isOwnTerm {
		return
	}
	c.nudgeTimer = c.now + 2*kernel.Second
	for _, address := range c.committed.Register {
		if seen := c.seen[address]; seen == nil || c.now-seen.at > kernel.Second {
			c.send(address, Message{Nudge: &Nudge{c.committed.Revision}})
		}
	}
}

// found makes the first document, if every founder is there and empty. The
// lowest address does it, so that there is only one who may.
func (c *Core) found() {
	if c.settings.Founding != FoundersAreSeeds || c.doc != nil || !c.settings.HasFolder || c.now < c.musterTimer {
		return
	}
	founders := slices.Clone(c.settings.Founders)
	sort.Strings(founders)
	if len(founders) == 0 || founders[0] != c.settings.Self.Address {
		return
	}
	c.musterTimer = c.now + 3*c.settings.Timing.Heartbeat
	voters := []Member{c.settings.Self}
	for _, address := range founders[1:] {
		c.send(address, Message{Muster: &Muster{}})
		note, isThere := c.mustered[address]
		if isThere && c.now-note.at < kernel.Second && note.reply.IsEmpty && note.reply.HasFolder {
			voters = append(voters, note.reply.Member)
		}
	}
	if len(voters) < len(founders) {
		return
	}
	first := &Document{
		Founding: digestOf([]byte(fmt.Sprint(c.settings.Random.Uint64(), c.settings.Random.Uint64()))),
		Revision: 1, Term: 1, Voters: voters, Homes: map[string]string{}, Drained: map[string]uint64{},
	}
	c.note("core", "found", "all %d founders are there and empty", len(founders))
	c.term = max(c.term, 1)
	c.save(first, func() { c.startElection(true, false) })
	c.doc = first
}

// join makes this controller known while no leader speaks to it.
func (c *Core) join() {
	if c.now < c.joinTimer || c.now-c.lastHeartbeat < 2*c.settings.Timing.ElectionLow {
		return
	}
	c.joinTimer = c.now + 3*c.settings.Timing.Heartbeat
	// The leader if someone named it, then one other in turn.
	targets := []string{}
	if len(c.hints) > 0 && c.hints[0] != "" {
		targets = append(targets, c.hints[0])
	}
	others := slices.Clone(c.settings.Founders)
	if len(c.hints) > 1 {
		others = append(others, c.hints[1:]...)
	}
	others = append(others, c.doc.voterAddresses()...)
	switch {
	case c.settings.Voters > 0:
		// Seeds may be gone by now; a place in the core is not to wait out their turns.
		targets = slices.Compact(sorted(append(targets, others...)))
	case len(others) > 0:
		c.hintTurn++
		targets = append(targets, others[c.hintTurn%len(others)])
	}
	for _, target := range targets {
		if target != c.settings.Self.Address {
			c.send(target, Message{Join: &Join{c.settings.Self, c.synced, c.settings.HasFolder}})
		}
	}
}

// Leave begins a planned stop: the lead and the vote go to others.
func (c *Core) Leave(now kernel.Micros) {
	c.now, c.isLeaving = now, true
	c.note("core", "leave", "a planned stop was asked for")
}
