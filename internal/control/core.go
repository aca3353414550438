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

// CoreSettings configures a Core. It does not change after NewCore.
type CoreSettings struct {
	Self        cluster.Member
	HasFolder   bool
	Seeds       []string // internal addresses of the seeds, including this member's own if it is one
	Timing      cluster.Timing
	Random      *rand.Rand
	CheckConfig func([]byte) error
	// PatchConfig applies a patch to a configuration. If nil, patch operations are rejected.
	PatchConfig func(current, change []byte) ([]byte, error)
	// VersionOf reads the operator's own version from a configuration. If nil, configurations carry none.
	VersionOf func(config []byte) (uint64, error)
	// Note writes an entry to the decision journal. If nil, none is written.
	Note func(subject decision.Subject, what decision.Decision, reason string)
	// The next six settings are described at NodeSettings and at their types.
	Voters               int
	AckRule              AckRule
	DisseminationTimeout kernel.Micros
	ContactTimeout       kernel.Micros
	ServeExtension       kernel.Micros
	BootstrapRule        BootstrapRule
	// HardState and the three fields after it are restored from the data folder.
	HardState     cluster.HardState
	Document      *cluster.Document
	StoredConfigs []uint64         // revisions of the configurations in the folder
	Acknowledged  cluster.Position // the newest document that the folder ever held, even if it is damaged now
	Incarnation   uint64           // the start number of the process; see NodeSettings.Start
	// Invariants counts violations. If nil, they are not counted.
	Invariants    *invariant.Monitor
	PushTransfers flowcontrol.Transfers // shared with the node, so that both send a node one large document at a time
}

// Core replicates the document among the voters, much like Raft with a log of one entry. It covers elections, commits
// by a majority, linearizable reads and changes of the voters. While its document is nil, this member does not belong
// to a cluster yet.
//
// Core does no I/O. It appends commands to out, and takeCommands takes them after each event.
//
// A message that confirms or relies on a term, a vote or a document is sent only after that state is synced to disk:
// the callback that is passed to save sends it. The exception is a leader's own proposal, which is replicated while
// the leader still writes it; see propose. A leader that steps down drops every request that only a leader may answer;
// see stepDown. Only the goroutine of the process's event loop calls the methods.
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

	isLeaving      bool // a planned stop was requested
	history        history
	invariantState coreInvariantState
}

// NewCore returns a core that continues from the state restored from the data folder. All times are in
// microseconds of the process's monotonic clock.
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
	// The first election time-out is short, because a fleet whose nodes all start together must elect a leader
	// quickly. A working leader is not disturbed: its heartbeats arrive earlier, and the voters reject a pre-vote.
	c.electionTimer = now + c.electionTimeout()/firstElectionDivisor
	if c.isLeaderless() {
		c.electionTimer = now + c.leaderlessElectionTimeout()
	}
	return c
}

func (c *Core) note(subject decision.Subject, what decision.Decision, format string, args ...any) {
	if c.settings.Note != nil {
		c.settings.Note(subject, what, fmt.Sprintf(format, args...))
	}
}

func (c *Core) send(to string, message wire.Message) {
	if to != "" {
		c.out = append(c.out, commands.Send{To: to, Message: message})
	}
}

// takeCommands checks the invariants and returns the pending commands. The caller executes them in order.
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

// Committed returns the newest document that this member knows to be committed, or nil. It may lag behind
// the leader; only a read through the leader is linearizable.
func (c *Core) Committed() *cluster.Document { return c.committed }

// Leader returns the address of the leader that this member last heard from. It is empty if the last
// heartbeat is older than twice the maximum election time-out.
func (c *Core) Leader() string {
	if c.role == leader {
		return c.settings.Self.Address
	}
	if c.now-c.lastHeartbeatAt < 2*c.settings.Timing.MaxElectionTimeout {
		return c.leaderMember.Address
	}
	return ""
}

// Receive handles a message of the core's protocol and ignores all others. now is the monotonic time.
func (c *Core) Receive(now kernel.Micros, from string, m wire.Message) {
	c.now = now
	// After the process was frozen, queued messages arrive before the next tick, and the leader lease may have expired.
	// A leader without a lease therefore steps down before it handles a message. Heartbeat responses are the exception,
	// because a late one may still renew the lease.
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

// redirect answers a request that only the leader can handle with the addresses of the leader and the voters.
func (c *Core) redirect(from string) {
	c.send(from, wire.Message{Redirect: &wire.Redirect{Leader: c.Leader(), Voters: c.doc.VoterAddresses()}})
}

// Tick runs what is due: retries of writes and fetches, and the periodic work of the member's role.
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

// tickLeader runs the leader's periodic work. A leader without a lease steps down instead.
func (c *Core) tickLeader() {
	if !c.hasLeaderLease() {
		c.stepDown(leaseExpired)
		return
	}
	if c.now >= c.roundTimer || c.isRoundWanted {
		c.heartbeat()
	}
	// Each attempt to build a document copies the current one. So without queued operations, this function makes an
	// attempt only every buildInterval.
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
