package control

import (
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// CoreSettings is what a core is told at its start.
type CoreSettings struct {
	Self        cluster.Member
	HasFolder   bool
	Seeds       []string // the three seeds
	Timing      cluster.Timing
	Random      *rand.Rand
	CheckConfig func([]byte) error
	// PatchConfig puts a change of named items into a configuration; nil: there are no such orders.
	PatchConfig func(current, change []byte) ([]byte, error)
	// VersionOf reads the operator's own number of a configuration; nil: configurations carry none.
	VersionOf func(config []byte) (uint64, error)
	Note      func(subject, decision, why string)
	// See NodeSettings.
	Voters               int
	AckRule              AckRule
	DisseminationTimeout kernel.Micros
	ServeExtension       kernel.Micros
	BootstrapRule        BootstrapRule
	// Restored from the data folder.
	HardState     cluster.HardState
	Document      *cluster.Document
	StoredConfigs []uint64         // revisions of the configurations in the folder
	Acknowledged  cluster.Position // the newest document that the folder ever held, though it may be damaged now
	Incarnation   uint64           // the start identity of the process
	// Invariants counts violations; nil: nobody does.
	Invariants    *invariant.Monitor
	PushTransfers flowcontrol.Transfers
}

// Core agrees on the document. A nil document is a member that knows no fleet yet.
type Core struct {
	settings CoreSettings
	now      kernel.Micros
	out      []any

	role     role
	term     uint64
	votedFor cluster.MemberID
	votes    map[cluster.MemberID]bool
	doc      *cluster.Document // the newest accepted, maybe still on its way to disk
	synced   cluster.Position  // the newest that is surely on disk
	// acknowledged is the newest document that this member has ever acknowledged, as far as known; later
	// than synced only where its folder has lost that document.
	acknowledged cluster.Position
	// committed is the newest document known to be kept by a majority.
	committed *cluster.Document

	leaderMember    cluster.Member
	lastHeartbeatAt kernel.Micros // when a leader was last heard
	startedAt       kernel.Micros
	electionTimer   kernel.Micros // the next election
	joinTimer       kernel.Micros
	nextJoinTarget  int
	leaderHints     []string
	fleetVoters     []string // of the document that the process applied as a router

	saves     []*pendingSave
	nextToken uint64
	diskWhy   string

	// Leading only.
	leaderSince           kernel.Micros
	peers                 map[cluster.MemberID]*peer
	round                 uint64
	roundTimer            kernel.Micros
	isRoundWanted         bool
	noticeTimer           kernel.Micros
	hasCommittedInTerm    bool // a document of this term is committed
	pendingBatches        []pendingBatch
	nodeReports           map[string]*nodeReport
	coordinatorSeenAt     map[string]kernel.Micros
	coordinatorSuccessors map[string]string
	drainingReports       []DrainingReport // leaving engines that the document does not name yet
	queue                 []queuedSubmit
	pendingReplies        []pendingReply
	pendingReads          []pendingRead
	// When the newest revisions were committed under this lead.
	committedAt       map[uint64]kernel.Micros
	buildTimer        kernel.Micros
	pushTimer         kernel.Micros
	pushUntil         kernel.Micros
	isLeaving         bool
	sentRounds        []sentRound
	pendingRejections []pendingRejection
	health            *Health       // the last view of the voters
	delayStartedAt    kernel.Micros // when orders last began to wait for a newcomer

	// releasedPosition is the newest document of which the leader says that enough others hold it without this
	// member, so that it may end unless it has accepted a newer one.
	releasedPosition cluster.Position
	// voterPosition is the newest document that this life has accepted as one of its voters.
	voterPosition cluster.Position

	invariantState coreInvariantState

	history history
	// pushTransfers paces the large documents that go out without a heartbeat.
	pushTransfers flowcontrol.Transfers

	bootstrapProbes map[string]probeResult
	bootstrapTimer  kernel.Micros
}

// NewCore makes a core from what the data folder held.
func NewCore(settings CoreSettings, now kernel.Micros) *Core {
	c := &Core{
		settings: settings, now: now, startedAt: now,
		term: settings.HardState.Term, votedFor: settings.HardState.VotedFor,
		doc: settings.Document, synced: settings.Document.Position(), acknowledged: settings.Acknowledged,
		bootstrapProbes: map[string]probeResult{}, history: newHistory(settings.StoredConfigs), pushTransfers: settings.PushTransfers,
	}
	if c.pushTransfers == nil {
		c.pushTransfers = flowcontrol.Transfers{}
	}
	if c.settings.DisseminationTimeout == 0 {
		c.settings.DisseminationTimeout = defaultDisseminationTimeout
	}
	if c.doc != nil && c.doc.Term > c.term {
		c.term = c.doc.Term
	}
	c.invariantState.term = c.term
	// A first election soon after the start: a fleet started cold must serve quickly. Where
	// a leader lives, its heartbeats come first, and a pre-vote against it gets nothing.
	c.electionTimer = now + c.electionTimeout()/firstElectionDivisor
	if c.isLeaderless() {
		c.electionTimer = now + c.leaderlessElectionTimeout()
	}
	return c
}

func (c *Core) note(subject, decision, why string, args ...any) {
	if c.settings.Note != nil {
		c.settings.Note(subject, decision, fmt.Sprintf(why, args...))
	}
}

func (c *Core) send(to string, message wire.Message) {
	if to != "" {
		c.out = append(c.out, commands.Send{To: to, Message: message})
	}
}

// takeCommands hands over the commands that have gathered.
func (c *Core) takeCommands() []any {
	c.checkInvariants()
	commands := c.out
	c.out = nil
	return commands
}

func (c *Core) isVoter() bool {
	_, isIn := c.doc.Voter(c.settings.Self.ID)
	return isIn && c.settings.HasFolder
}

// Committed gives the newest committed document, or nil.
func (c *Core) Committed() *cluster.Document { return c.committed }

// Leader gives the address of the leader as far as known.
func (c *Core) Leader() string {
	if c.role == leader {
		return c.settings.Self.Address
	}
	if c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MaxElectionTimeout {
		return c.leaderMember.Address
	}
	return ""
}

// Receive takes a message meant for the core.
func (c *Core) Receive(now kernel.Micros, from string, m wire.Message) {
	c.now = now
	// After a freeze messages come before the next tick. A late confirmation may still renew the
	// lease; nothing else is handled as a leader without one.
	if c.role == leader && m.HeartbeatResponse == nil && !c.hasLeaderLease() {
		c.stepDown(leaseExpired)
	}
	switch {
	case m.VoteRequest != nil:
		c.onVoteRequest(from, m.VoteRequest)
	case m.VoteResponse != nil:
		c.onVoteResponse(m.VoteResponse)
	case m.Heartbeat != nil:
		c.onHeartbeat(from, m.Heartbeat)
	case m.HeartbeatResponse != nil:
		c.onHeartbeatResponse(m.HeartbeatResponse)
	case m.TransferLeadership != nil:
		c.onTransferLeadership(m.TransferLeadership)
	case m.Join != nil:
		c.onJoin(from, m.Join)
	case m.BootstrapProbe != nil:
		c.onBootstrapProbe(from)
	case m.BootstrapProbeResponse != nil:
		c.onBootstrapProbeResponse(from, m.BootstrapProbeResponse)
	case m.Submit != nil:
		c.onSubmit(from, m.Submit)
	case m.LeaseRequestBatch != nil:
		c.onLeaseRequestBatch(from, m.LeaseRequestBatch)
	case m.ReadRequest != nil:
		c.onReadRequest(from, m.ReadRequest)
	case m.CoordinatorHandover != nil:
		c.onCoordinatorHandover(m.CoordinatorHandover)
	case m.FetchConfig != nil:
		c.onFetchConfig(from, m.FetchConfig)
	case m.FetchConfigResponse != nil:
		c.onFetchConfigResponse(from, m.FetchConfigResponse)
	case m.Redirect != nil:
		c.onRedirect(m.Redirect)
	}
}

// redirect tells an asker whom to ask instead.
func (c *Core) redirect(from string) {
	c.send(from, wire.Message{Redirect: &wire.Redirect{Leader: c.Leader(), Voters: c.doc.VoterAddresses()}})
}

// Tick lets due timers go off.
func (c *Core) Tick(now kernel.Micros) {
	c.now = now
	c.tickDisk()
	c.fetchHistory()
	if c.role == leader {
		c.tickLeader()
		return
	}
	if now >= c.electionTimer && c.isVoter() && !c.isLeaving {
		c.startElection(true, false)
	}
	c.bootstrapFromSeeds()
	c.join()
}

// tickLeader does what is due while this member leads; without a lease it does nothing but step down.
func (c *Core) tickLeader() {
	if !c.hasLeaderLease() {
		c.stepDown(leaseExpired)
		return
	}
	if c.now >= c.roundTimer || c.isRoundWanted {
		c.heartbeat()
	}
	// What the leader reconciles by itself can wait a little: each look copies the document.
	if len(c.queue) > 0 || c.now >= c.buildTimer {
		c.buildTimer = c.now + buildInterval
		c.removeExpiredPeers()
		c.build()
		c.updateHealth()
	}
	c.sendDueReplies()
	c.notifyUnresponsiveRouters()
	c.retryPush()
	if c.isLeaving && len(c.doc.Voters) > 1 && c.committed.Position() == c.doc.Position() {
		c.transferLeadership("this member is leaving")
	}
}
