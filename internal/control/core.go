package control

import (
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
)

// CoreSettings is what a core gets at its start and never changes afterwards.
type CoreSettings struct {
	Self        cluster.Member
	HasFolder   bool
	Seeds       []string // the three seeds
	Timing      cluster.Timing
	Random      *rand.Rand
	CheckConfig func([]byte) error
	// PatchConfig puts a change of named items into a configuration; nil: such operations are rejected.
	PatchConfig func(current, change []byte) ([]byte, error)
	// VersionOf reads the operator's own version of a configuration; nil: configurations carry none.
	VersionOf func(config []byte) (uint64, error)
	Note      func(subject decision.Subject, what decision.Decision, why string)
	// See NodeSettings.
	Voters               int
	AckRule              AckRule
	DisseminationTimeout kernel.Micros
	ContactTimeout       kernel.Micros
	ServeExtension       kernel.Micros
	BootstrapRule        BootstrapRule
	// Restored from the data folder.
	HardState     cluster.HardState
	Document      *cluster.Document
	StoredConfigs []uint64         // revisions of the configurations in the folder
	Acknowledged  cluster.Position // the newest document that the folder ever held, though it may be damaged now
	Incarnation   uint64           // the start identity of the process
	// Invariants counts violations; nil: they are not counted.
	Invariants    *invariant.Monitor
	PushTransfers flowcontrol.Transfers
}

// Core replicates the document among the voters: elections, commits by a majority, linearizable reads
// and changes of voters. It does no I/O: what it wants done gathers in out, in its order, and is taken by
// takeCommands after each event. A nil document is a member that knows no fleet yet.
//
// Term and vote, or a document, are synced before any message leaves that depends on them: such a message
// is sent by the function that save runs after the sync. Loss of the leadership drops everything that
// only a leader may answer; see stepDown. All methods are called by the one goroutine of the process's loop.
type Core struct {
	settings CoreSettings
	now      kernel.Micros
	out      []commands.Command

	electionState
	replicatedState
	joinState
	diskState
	leaderState
	operationState
	nodeState
	pushState
	bootstrapState

	isLeaving      bool // a planned stop was asked for
	history        history
	invariantState coreInvariantState
}

// NewCore makes a core from what the data folder held. Times are steady microseconds of the process.
func NewCore(settings CoreSettings, now kernel.Micros) *Core {
	c := &Core{
		settings: settings, now: now,
		electionState:   electionState{startedAt: now, term: settings.HardState.Term, votedFor: settings.HardState.VotedFor},
		replicatedState: replicatedState{doc: settings.Document, synced: settings.Document.Position(), acknowledged: settings.Acknowledged},
		pushState:       pushState{pushTransfers: settings.PushTransfers},
		bootstrapState:  bootstrapState{bootstrapProbes: map[string]probeResult{}},
		history:         newHistory(settings.StoredConfigs),
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
	// The first election comes soon after the start, as a fleet that starts as a whole must serve quickly.
	// Where there is a leader, its heartbeats come first, and a pre-vote against it is rejected.
	c.electionTimer = now + c.electionTimeout()/firstElectionDivisor
	if c.isLeaderless() {
		c.electionTimer = now + c.leaderlessElectionTimeout()
	}
	return c
}

func (c *Core) note(subject decision.Subject, what decision.Decision, why string, args ...any) {
	if c.settings.Note != nil {
		c.settings.Note(subject, what, fmt.Sprintf(why, args...))
	}
}

func (c *Core) send(to string, message wire.Message) {
	if to != "" {
		c.out = append(c.out, commands.Send{To: to, Message: message})
	}
}

// takeCommands checks the invariants and returns the commands that have gathered, to be carried out in
// their order.
func (c *Core) takeCommands() []commands.Command {
	c.checkInvariants()
	commands := c.out
	c.out = nil
	return commands
}

func (c *Core) isVoter() bool {
	_, isIn := c.doc.Voter(c.settings.Self.ID)
	return isIn && c.settings.HasFolder
}

// Committed is the newest document that this member knows to be committed, or nil. It may lag behind what
// the leader has committed; only a read through the leader is linearizable.
func (c *Core) Committed() *cluster.Document { return c.committed }

// Leader is the address of the leader as far as known; empty where none was heard for two of the longest
// election time-outs.
func (c *Core) Leader() string {
	if c.role == leader {
		return c.settings.Self.Address
	}
	if c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MaxElectionTimeout {
		return c.leaderMember.Address
	}
	return ""
}

// Receive handles a message meant for the core; others are ignored. now is steady time and never falls.
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
	case m.SubmitRetry != nil:
		c.onSubmitRetry(from, m.SubmitRetry)
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

// redirect answers a request for the leader with the addresses of the leader and the voters.
func (c *Core) redirect(from string) {
	c.send(from, wire.Message{Redirect: &wire.Redirect{Leader: c.Leader(), Voters: c.doc.VoterAddresses()}})
}

// Tick does what is due at a time: retries of writes and fetches, and the work of the member's role.
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
