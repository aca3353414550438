package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/commands"
	"dunlinloom/internal/control/decision"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/control/serving"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// NodeSettings are the settings of a node's control plane at its start.
type NodeSettings struct {
	Identity     kernel.Identity
	IsRouter     bool
	IsController bool
	HasFolder    bool
	// IsFolderPending is set if the node has a data folder that could not be opened yet. It then starts without the
	// folder, and AttachFolder follows. HasFolder and IsController are false meanwhile.
	IsFolderPending bool
	FolderState
	Seeds       []string
	Start       uint64 // start number of the process, larger at each start
	RandomSeed  uint64 // different at each start, so that no two incarnations number their requests alike
	Timing      cluster.Timing
	CheckConfig func([]byte) error
	// IsCompiled reports whether a configuration has been compiled to the form that the data plane needs. If nil, every
	// configuration counts as compiled.
	IsCompiled func([]byte) bool
	// PatchConfig applies a change of named items to a configuration. If nil, patch operations are rejected.
	// VersionOf reads the operator's own version number from a configuration. Each new configuration must have a larger
	// one. If nil, configurations carry no such number.
	PatchConfig func(current, change []byte) ([]byte, error)
	VersionOf   func(config []byte) (uint64, error)
	// Voters is the least number of voters wanted. If there are more members, up to five of them vote. Nodes without a
	// data folder take no part in the core. Zero means that three voters are wanted, however many members there are.
	// Controllers without a data folder are then learners that never vote.
	Voters int
	// ServeExtension is how long a router may serve under its applied document after it sent a request that the core
	// granted, if that is longer than a lease. Zero means that leases alone count. Under cluster.ServeWithoutLimit a
	// router needs no lease and serves for as long as it has an applied document.
	ServeExtension       kernel.Micros
	AckRule              AckRule
	DisseminationTimeout kernel.Micros // how long an acknowledgement under the rule Disseminated waits for nodes; zero: 600 ms
	// ApplyTimeout is the deployment's bound on the time from the acknowledgement of a configuration until every node
	// in contact serves under it. Under ServeWithoutLimit, a node that may exceed the bound while a leader is active
	// stops serving; see configFence. Zero means no bound.
	ApplyTimeout  kernel.Micros
	SubmitTimeout kernel.Micros // how long an operation submitted here is retried; zero: 6 s
	// IsAbortDisabled is for a caller that resubmits an operation unchanged if it got no reply. Such an operation is
	// then not aborted, and its outcome stays unknown.
	IsAbortDisabled bool
	BootstrapRule   BootstrapRule
	IsBootstrap     bool // under BootstrapByAnnounce: this is the first start of the whole fleet
	// Quota is the account of this node's router. LimitsOf reads the quotas from a configuration. Nil means that this
	// node keeps no quotas.
	Quota       *quota.Account
	QuotaBounds quota.Bounds
	LimitsOf    func(config []byte) []quota.Limit
	Journal     *kernel.Journal
	// RestoredSpan limits how long after the start engines that are known only from the snapshot are used. It can only
	// shorten the default of two of their heartbeat intervals; zero: the default.
	RestoredSpan kernel.Micros
	// DrainTimeout is how long requests may still reach an engine after the fleet has confirmed the engine's end, that
	// is, its drain or its removal. Zero means that no bound is known.
	DrainTimeout kernel.Micros
	// EndConfirmationTimeout is counted from when this node first learned of an engine's end. Until it is over, all
	// zones have to confirm the end completely. After it, a majority of the zones is enough. Zero means that a majority
	// is enough as soon as pushMajorityTimeout is over. See docs/control-safety/drains.md.
	EndConfirmationTimeout kernel.Micros
	// ContactTimeout is how long a node may still be in contact after its last message. For this long, acknowledgements
	// and confirmations have to wait for the node. Zero means shorter timeouts that this package defines.
	ContactTimeout kernel.Micros
	// Invariants counts violations; nil: they are not counted.
	Invariants *invariant.Monitor
}

// Outgoing is a message for the process to send. Delivery is not guaranteed.
type Outgoing struct{ Envelope wire.Envelope }

// IsCommand marks a command.
func (Outgoing) IsCommand() {}

// Reply is the final answer to a submission made at this node. The outcome may be Unknown.
type Reply struct{ SubmitResponse cluster.SubmitResponse }

// IsCommand marks a command.
func (Reply) IsCommand() {}

// Timing of a submission made at this node: how long to retry it by default, how long to try to abort it after that,
// and the pause between two attempts.
const (
	submitTimeout        = 6 * kernel.Second
	abortTimeout         = 3 * kernel.Second
	submitResendInterval = 500 * kernel.Millisecond
)

// recentSpan is how long a node remembers which engines it probed, which senders it rejected, and which startup
// queries it answered.
const recentSpan = 10 * kernel.Second

// Node holds the state machines of one process's control plane and routes messages between them.
type Node struct {
	settings NodeSettings
	// validation has the settings for Validate. It does not change after NewNode, because Validate may run concurrently
	// with the event loop.
	validation  CoreSettings
	startedAt   kernel.Micros
	now         kernel.Micros
	random      *rand.Rand
	core        *Core  // nil: this node is no controller, or its data folder is pending
	folderFault string // why the pending data folder could not be opened; empty: no attempt has failed
	lease       *serving.Lease
	directory   *registry.Directory
	partialView *gossip.PartialView
	out         []commands.Command
	loopback    []wire.Envelope

	hints         leaderHints
	contact       coordinatorContact
	requests      leaseRequests
	fence         configFence
	ownRecord     ownRecord
	isLeaving     bool
	handoverTimer kernel.Micros // when a leaving coordinator next nominates its successor

	zone          zoneState
	antiEntropy   antiEntropy
	pushTransfers flowcontrol.Transfers // documents being sent to nodes by this node and by its core
	compiling     *cluster.Document     // whose compilation was requested and has not ended; nil: none

	sweepAt            kernel.Micros
	urgent             []urgentUpdate
	probedAt           map[string]kernel.Micros
	pendingSubmissions map[string]*pendingSubmission
	rejected           map[string]kernel.Micros // when a sender of another fleet or cluster was last noted
	bootstrapper       *bootstrapper            // nil unless members bootstrap by announcement
	reads              map[uint64]*linearizableRead
	announcements      announcements
	storedEnds         storedEnds
	snapshots          snapshots
	startup            startupQueries
	invariantState     nodeInvariantState
	quotas             quotas
	directoryFreshness directoryFreshness
}

// NewNode returns a node with the state machines that its settings call for, and restores the snapshot if there is one.
// Only controllers can have a core. now is the monotonic time.
func NewNode(settings NodeSettings, now kernel.Micros) *Node {
	random := rand.New(rand.NewPCG(settings.RandomSeed, settings.Start))
	tokens := newIncarnationTokens(settings)
	n := &Node{
		settings: settings, now: now, random: random,
		zone: newZoneState(), antiEntropy: antiEntropy{watermarks: map[string]watermark{}}, pushTransfers: flowcontrol.Transfers{},
		pendingSubmissions: map[string]*pendingSubmission{}, rejected: map[string]kernel.Micros{},
		probedAt: map[string]kernel.Micros{}, reads: map[uint64]*linearizableRead{}, announcements: newAnnouncements(tokens.first()),
		storedEnds: newStoredEnds(),
	}
	if settings.DisseminationTimeout == 0 {
		settings.DisseminationTimeout = defaultDisseminationTimeout
	}
	if settings.SubmitTimeout == 0 {
		settings.SubmitTimeout = submitTimeout
	}
	if settings.IsBootstrap {
		settings.BootstrapRule = BootstrapByAnnounce
	}
	n.settings = settings
	n.fence = newConfigFence(settings, n.TickInterval(), now)
	self := settings.Identity
	n.lease = serving.NewLease(serving.LeaseSettings{
		Self: self.Address, IsRouter: settings.IsRouter, Timing: settings.Timing, Note: n.note, FirstSeq: tokens.first(),
		IsCompiled: n.ensureCompiled, PatchConfig: settings.PatchConfig, ServeExtension: settings.ServeExtension,
		MaxAge: n.fence.maxAge,
	})
	n.directory = registry.NewDirectory(fmt.Sprintf("%s/%d", self.Address, settings.Start), settings.Timing, n.note)
	n.partialView = gossip.NewPartialView(gossip.Neighbour{Address: self.Address, Zone: self.Zone}, settings.Seeds, settings.Timing.ShuffleInterval, random.IntN)
	n.validation, n.startedAt = settings.core(nil), now
	if settings.BootstrapRule == BootstrapByAnnounce {
		n.bootstrapper = newBootstrapper(settings, random, now)
	}
	n.openCore()
	n.startup = newStartupQueries(settings, now)
	n.directoryFreshness = newDirectoryFreshness(settings.DrainTimeout)
	n.restore(settings.Snapshot)
	n.restoreEnds(settings.Ends)
	return n
}

// core returns the settings of a node's core, without Random and PushTransfers. note may be nil.
func (s NodeSettings) core(note func(subject decision.Subject, what decision.Decision, reason string)) CoreSettings {
	return CoreSettings{
		Self:      cluster.Member{ID: s.Member, Address: s.Identity.Address, Zone: s.Identity.Zone},
		HasFolder: s.HasFolder, Seeds: s.Seeds, Timing: s.Timing, Note: note,
		CheckConfig: s.CheckConfig, PatchConfig: s.PatchConfig, VersionOf: s.VersionOf,
		Voters: s.Voters, AckRule: s.AckRule, DisseminationTimeout: s.DisseminationTimeout, ContactTimeout: cmp.Or(s.ContactTimeout, defaultContactTimeout), ServeExtension: s.ServeExtension, BootstrapRule: s.BootstrapRule,
		HardState: s.HardState, Document: s.Document, StoredConfigs: s.StoredConfigs, Acknowledged: s.Acknowledged, Incarnation: s.Start,
		Invariants: s.Invariants,
	}
}

// Validate checks a configuration operation against the current document without changing anything, and returns nil for
// any other operation. It may run concurrently with the event loop. The functions in the settings cache the results of
// slow checks of a large configuration. So when the leader checks the same configuration again in the event loop, that
// is fast.
func (n *Node) Validate(submit *cluster.Submit, current *cluster.Document) error {
	if submit.Operation != cluster.PutConfig && submit.Operation != cluster.PatchConfig {
		return nil
	}
	if current == nil {
		current = &cluster.Document{}
	}
	// The base revision and version are left out. A conflict with the current document may be gone when the operation
	// is applied.
	alone := *submit
	alone.Base, alone.BaseVersion = nil, nil
	_, _, err := n.validation.evaluateConfig(&alone, current)
	return err
}

func (n *Node) note(subject decision.Subject, what decision.Decision, reason string) {
	n.settings.Journal.Record(n.now, "control", string(subject), string(what), reason)
}

// TickInterval returns the interval at which Tick is to be called.
func (n *Node) TickInterval() kernel.Micros {
	if n.settings.Timing.TickInterval == 0 {
		return 20 * kernel.Millisecond
	}
	return n.settings.Timing.TickInterval
}

func (n *Node) self() string { return n.settings.Identity.Address }

func (n *Node) clusterID() string {
	if n.core != nil && n.core.doc != nil {
		return n.core.doc.ClusterID
	}
	// The core may have been rebuilt since the snapshot was stored, so the cluster ID of a restored document does not
	// count.
	if n.lease.Applied() != nil && !n.isRestored() {
		return n.lease.Applied().ClusterID
	}
	return ""
}

func (n *Node) send(to string, message wire.Message) {
	if to == "" {
		return
	}
	envelope := wire.Envelope{Fleet: n.settings.Identity.Fleet, ClusterID: n.clusterID(), From: n.self(), To: to, Message: message}
	if to == n.self() {
		n.loopback = append(n.loopback, envelope)
		return
	}
	n.out = append(n.out, Outgoing{envelope})
}

// finish processes the core's commands and the node's messages to itself, and returns the resulting commands.
func (n *Node) finish() []commands.Command {
	for {
		if n.core != nil {
			for _, command := range n.core.takeCommands() {
				if send, isSend := command.(commands.Send); isSend {
					n.send(send.To, send.Message)
					continue
				}
				n.out = append(n.out, command)
			}
			n.applied(n.lease.Apply(n.core.Committed()))
		}
		if len(n.loopback) == 0 {
			break
		}
		envelope := n.loopback[0]
		n.loopback = n.loopback[1:]
		n.receive(envelope)
	}
	// Under the rule Disseminated, an acknowledgement waits for the requests in this batch, so they are sent at once.
	if n.zone.isBatchUrgent && n.settings.AckRule == Disseminated {
		n.sendBatch()
		if len(n.loopback) > 0 {
			return n.finish()
		}
	}
	n.checkInvariants()
	out := n.out
	n.out = nil
	return out
}

// applied reacts to a change of the applied document. It does nothing unless isChanged is set.
func (n *Node) applied(isChanged bool) {
	if !isChanged {
		return
	}
	n.settings.Journal.SetRevision(n.lease.Revision())
	n.note(decision.Configuration, decision.Apply, fmt.Sprintf("revision %d", n.lease.Revision()))
	if n.core != nil {
		n.core.setFleetVoters(n.lease.Applied().VoterAddresses())
	}
	// The leader counts which nodes have applied a revision, so it is informed at once.
	n.requests.timer = n.now
	if n.settings.AckRule == Disseminated {
		n.requestLease()
	}
	if n.isCoordinator() {
		n.zone.isBatchUrgent = true
		for _, node := range n.zoneNodes() {
			document := n.pushTransfers.Offer(n.now, node, n.lease.Applied(), n.zone.nodes[node].received, n.isVoterAt(node))
			n.send(node, wire.Message{LeaseGrant: &wire.LeaseGrant{Revision: n.lease.Revision(), Document: document}})
		}
	}
}

// Deliver handles a message from another node.
func (n *Node) Deliver(now kernel.Micros, envelope wire.Envelope) []commands.Command {
	n.now = now
	n.fence.advanceListened(now)
	rejection := n.rejection(envelope)
	if r := n.snapshots.restored; r != nil && rejection == nil && envelope.ClusterID == r.ClusterID {
		// A node of that cluster has sent a message, so the restored document's cluster ID counts again.
		n.snapshots.restored = nil
	}
	if rejection != nil {
		n.noteRejection(envelope.From, rejection)
		return n.finish()
	}
	n.receive(envelope)
	return n.finish()
}

// Saved handles the result of the Save command with the given token. A nil err means that the write is synced.
func (n *Node) Saved(now kernel.Micros, token uint64, err error) []commands.Command {
	n.now = now
	if n.core != nil {
		n.core.Saved(now, token, err)
	}
	return n.finish()
}

// ConfigLoaded handles the result of a LoadConfig command: it sends the document with the earlier configuration to the
// member that requested it. The document is nil if the folder no longer holds it.
func (n *Node) ConfigLoaded(now kernel.Micros, to string, config cluster.ConfigRef, document *cluster.Document) []commands.Command {
	n.now = now
	n.send(to, wire.Message{FetchConfigResponse: &wire.FetchConfigResponse{Config: config, Document: document}})
	return n.finish()
}

// HistoryStored handles the result of a SaveHistory command.
func (n *Node) HistoryStored(now kernel.Micros, outcome commands.SaveHistoryResult) []commands.Command {
	n.now = now
	if n.core == nil {
		return n.finish()
	}
	if len(outcome.Saved) > 0 {
		n.note(decision.History, decision.Fetch, fmt.Sprintf("fetched the configurations of revisions %v from other members", outcome.Saved))
	}
	if outcome.Err != nil {
		n.note(decision.History, decision.Skip, fmt.Sprintf("storing the configuration of revision %d: %v", outcome.Rejected, outcome.Err))
	}
	n.core.HistoryStored(now, outcome)
	return n.finish()
}

// ensureCompiled reports whether a document may be applied, that is, whether its configuration is compiled. If not, it
// requests the compilation.
func (n *Node) ensureCompiled(document *cluster.Document) bool {
	if n.settings.IsCompiled == nil || document.ConfigRevision == 0 ||
		n.lease.Applied() != nil && document.ConfigRevision == n.lease.Applied().ConfigRevision {
		return true
	}
	// This function is called again at every event, but compilation is requested once.
	if n.compiling != nil && document.ConfigRevision == n.compiling.ConfigRevision {
		return false
	}
	if n.settings.IsCompiled(document.Config) {
		return true
	}
	n.compiling = document
	n.out = append(n.out, commands.CompileConfig{Document: document})
	return false
}

// ConfigCompiled handles the result of a CompileConfig command. A configuration that cannot be compiled blocks every
// document that contains it: the document is never applied, not even with an older configuration. Serving under an
// older one would be worse than not serving.
func (n *Node) ConfigCompiled(now kernel.Micros, document *cluster.Document, err error) []commands.Command {
	n.now = now
	if err != nil {
		n.note(decision.Configuration, decision.Unreadable, err.Error())
		return n.finish()
	}
	if n.compiling == document {
		n.compiling = nil
	}
	if wanted := n.lease.ReceivedDocument(); wanted != nil {
		n.applied(n.lease.Apply(wanted))
	}
	return n.finish()
}

// receive handles one accepted message, also one from this node to itself. A message has one field set, and the first
// matching case handles it. A core gets every message that no earlier case matches. A node without a core instead
// redirects the sender if the message is a request to the leader.
func (n *Node) receive(envelope wire.Envelope) {
	from, m := envelope.From, envelope.Message
	n.learnSender(envelope)
	switch {
	case m.LeaseRequest != nil:
		n.onLeaseRequest(from, m.LeaseRequest)
	case m.LeaseGrant != nil:
		n.onLeaseGrant(from, m.LeaseGrant)
	case m.StartupQuery != nil:
		n.onStartupQuery(from, m.StartupQuery)
	case m.QuotaRequest != nil:
		n.onQuotaRequest(from, m.QuotaRequest)
	case m.QuotaGrant != nil:
		n.onQuotaGrant(m.QuotaGrant)
	case m.LeaseGrantBatch != nil:
		n.onLeaseGrantBatch(m.LeaseGrantBatch)
	case m.RevisionNotice != nil:
		n.onRevisionNotice(m.RevisionNotice)
	case m.AttestRequest != nil:
		n.onAttestRequest(from, m.AttestRequest)
	case m.AttestResponse != nil:
		n.onAttestResponse(from, m.AttestResponse)
	case m.EngineReports != nil:
		n.onEngineReports(m.EngineReports)
	case m.Suspect != nil:
		n.onSuspect(m.Suspect)
	case m.DirectoryUpdate != nil:
		n.onDirectoryUpdate(from, m.DirectoryUpdate)
	case m.AntiEntropy != nil:
		n.onAntiEntropy(from, m.AntiEntropy)
	case m.Shuffle != nil:
		n.onShuffle(from, m.Shuffle)
	case m.SubmitResponse != nil:
		n.onSubmitResponse(m.SubmitResponse)
	case m.SubmitRetryResponse != nil:
		n.onSubmitRetryResponse(from, m.SubmitRetryResponse)
	case m.ReadResponse != nil:
		n.onReadResponse(m.ReadResponse)
	case m.IsBootstrap():
		n.onBootstrap(from, m)
	case m.Push != nil:
		n.onPush(from, m.Push)
	case m.PushResponse != nil:
		n.onPushResponse(from, m.PushResponse)
	case m.Redirect != nil:
		n.onRedirect(from, m)
	case n.core != nil:
		n.core.Receive(n.now, from, m)
	case m.LeaseRequestBatch != nil, m.Submit != nil, m.SubmitRetry != nil, m.Join != nil, m.ReadRequest != nil:
		n.redirectToLeader(from)
	}
}

// Tick runs the timers that are due at now, in microseconds of the monotonic clock. The goroutine that owns the node
// calls it every TickInterval. The order of the steps determines the order of the messages.
func (n *Node) Tick(now kernel.Micros) []commands.Command {
	n.now = now
	n.fence.advanceListened(now)
	if n.core != nil {
		n.core.Tick(now)
	}
	n.tickFence()
	n.tickLeaseRequest()
	n.tickDirectoryFreshness()
	n.sendBatch()
	n.tickAttest()
	n.tickShuffle()
	n.tickSweep()
	n.tickAntiEntropy()
	n.tickUrgent()
	n.tickPendingSubmissions()
	n.tickReads()
	n.tickLeave()
	n.tickBootstrap()
	n.tickStartupQuery()
	n.tickAnnouncements()
	n.tickStoredEnds()
	n.tickSnapshot()
	n.tickRestored()
	n.tickQuota()
	return n.finish()
}

// sweepInterval is the pause between two removals of expired state.
const sweepInterval = 500 * kernel.Millisecond

// tickSweep removes expired records and other state that is no longer needed. On a coordinator it also chooses anew
// which records of other zones are forwarded; see chooseRepresentatives. It reports draining engines to the core.
func (n *Node) tickSweep() {
	if n.now < n.sweepAt {
		return
	}
	n.sweepAt = n.now + sweepInterval
	n.noteDropped(n.directory.Sweep(n.now))
	n.sweepZone()
	n.chooseRepresentatives()
	n.pushTransfers.Sweep(n.now)
	if n.core != nil {
		n.core.ReportDraining(n.drainingReports())
	}
	for _, times := range []map[string]kernel.Micros{n.probedAt, n.rejected, n.startup.answeredAt} {
		deleteBefore(times, n.now-recentSpan)
	}
}

// sweepZone removes the state of zone nodes that are no longer in the directory. Such a node may come back with an
// older document than the one recorded for it.
func (n *Node) sweepZone() {
	for address := range n.zone.nodes {
		if _, isThere := n.directory.Node(address); !isThere {
			delete(n.zone.nodes, address)
		}
	}
}
