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
	"dunlinloom/internal/control/storage"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/invariant"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// NodeSettings are the settings of a node's control plane, given at its start.
type NodeSettings struct {
	Identity     kernel.Identity
	IsRouter     bool
	IsController bool
	HasFolder    bool
	Member       cluster.MemberID
	Seeds        []string
	Start        uint64 // the process's start identity, larger at each start
	RandomSeed   uint64 // another one at each start, so that no two incarnations number their requests alike
	Timing       cluster.Timing
	CheckConfig  func([]byte) error
	// IsCompiled tells whether a configuration is at hand in the form that the data plane needs;
	// nil: every one is.
	IsCompiled func([]byte) bool
	// PatchConfig puts a change of named items into a configuration, VersionOf reads the operator's own
	// number of a configuration, which has to rise. Nil: there are no such orders, and no numbers.
	PatchConfig func(current, change []byte) ([]byte, error)
	VersionOf   func(config []byte) (uint64, error)
	// Voters is the least number of voters wanted; more members vote as there are, up to
	// five. Nodes without a folder then take no part in the core. Zero: three, always.
	Voters int
	// ServeExtension is how long an answer of the core lets a router serve under its applied document,
	// if that is longer than a lease. Zero: leases alone. See ServeWithoutLimit.
	ServeExtension       kernel.Micros
	AckRule              AckRule
	DisseminationTimeout kernel.Micros // how long an acknowledgement under Disseminated waits for nodes; zero: 600 ms
	// ApplyTimeout is the deployment's bound from an acknowledgement to its effect on every node in touch. A node that is
	// led and can't keep it does not serve, unless leases are strict. Zero: there is no such bound.
	ApplyTimeout  kernel.Micros
	SubmitTimeout kernel.Micros // how long an operation submitted here is tried; zero: 6 s
	// IsAbortDisabled leaves the outcome of an operation without a reply unknown, since it is sent
	// again as it was.
	IsAbortDisabled bool
	BootstrapRule   BootstrapRule
	IsBootstrap     bool // under BootstrapByAnnounce: this is the first start of the entire fleet
	// AcceptorState is what the folder kept of an earlier incarnation; nil: it kept none.
	AcceptorState *cluster.AcceptorState
	// Quota is the account of this node's router, LimitsOf reads the quotas of a configuration. Nil:
	// no quotas are kept here.
	Quota         *quota.Account
	QuotaBounds   quota.Bounds
	LimitsOf      func(config []byte) []quota.Limit
	Journal       *kernel.Journal
	HardState     cluster.HardState
	Document      *cluster.Document
	StoredConfigs []uint64
	Acknowledged  cluster.Position
	// Snapshot is what an earlier incarnation kept for a quick start; nil: there is none. RestoredSpan
	// bounds for how long engines are used that are known from it alone; zero: two of their heartbeats.
	Snapshot     *storage.Snapshot
	RestoredSpan kernel.Micros
	// DrainTimeout is how long after its end was confirmed a request may still reach an engine; zero: no
	// bound is known.
	DrainTimeout kernel.Micros
	// EndConfirmationTimeout is for how long after an engine's end was first heard here only a complete
	// confirmation counts; zero: that of most zones counts at once. See docs/control-safety/drains.md.
	EndConfirmationTimeout kernel.Micros
	// ContactTimeout is for how long after it was heard a node may be in touch, and is bound by what is acknowledged
	// and confirmed; zero: shorter spans of this package's own.
	ContactTimeout kernel.Micros
	// Invariants counts violations; nil: nobody does.
	Invariants *invariant.Monitor
}

// Outgoing is a message for the shell to carry.
type Outgoing struct{ Envelope wire.Envelope }

// IsCommand marks a command.
func (Outgoing) IsCommand() {}

// Reply is the final answer to a submission made at this node.
type Reply struct{ SubmitResponse cluster.SubmitResponse }

// IsCommand marks a command.
func (Reply) IsCommand() {}

// Spans of a submission made here: how long to try, how long to try to abort it after that, and the
// pause between two tries.
const (
	submitTimeout        = 6 * kernel.Second
	abortTimeout         = 3 * kernel.Second
	submitResendInterval = 500 * kernel.Millisecond
)

// recentSpan is for how long a node remembers whom it probed, rejected and answered.
const recentSpan = 10 * kernel.Second

// Node joins the owners of one process and carries messages between them.
type Node struct {
	settings NodeSettings
	// validation is what Validate judges by; never changed, since that runs beside the owners.
	validation CoreSettings
	bornAt     kernel.Micros
	now        kernel.Micros
	random     *rand.Rand
	core       *Core
	lease      *serving.Lease
	directory  *registry.Directory
	views      *gossip.PartialView
	out        []commands.Command
	loop       []wire.Envelope

	hints         leaderHints
	contact       coordinatorContact
	requests      leaseRequests
	fence         configFence
	ownRecord     ownRecord
	isLeaving     bool
	handoverTimer kernel.Micros // when a leaving coordinator names its successor again

	zone          zoneState
	antiEntropy   antiEntropy
	pushTransfers flowcontrol.Transfers // documents on their way to the zone's nodes
	compiling     *cluster.Document

	sweepAt            kernel.Micros
	urgent             []urgentUpdate
	probedAt           map[string]kernel.Micros
	pendingSubmissions map[string]*pendingSubmission
	rejected           map[string]kernel.Micros // foreign senders noted lately
	bootstrapper       *bootstrapper            // nil unless members announce themselves
	reads              map[uint64]*linearizableRead
	announcements      announcements
	snapshots          snapshots
	startup            startupQueries
	watch              nodeWatch
	quotas             quotas
	directoryFreshness directoryFreshness
}

// NewNode makes a node.
func NewNode(settings NodeSettings, now kernel.Micros) *Node {
	random := rand.New(rand.NewPCG(settings.RandomSeed, settings.Start))
	tokens := newIncarnationTokens(settings)
	n := &Node{
		settings: settings, now: now, random: random,
		zone: newZoneState(), antiEntropy: antiEntropy{watermarks: map[string]watermark{}}, pushTransfers: flowcontrol.Transfers{},
		pendingSubmissions: map[string]*pendingSubmission{}, rejected: map[string]kernel.Micros{},
		probedAt: map[string]kernel.Micros{}, reads: map[uint64]*linearizableRead{}, announcements: newAnnouncements(tokens.first()),
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
	n.views = gossip.NewPartialView(gossip.Neighbour{Address: self.Address, Zone: self.Zone}, settings.Seeds, settings.Timing.ShuffleInterval, random.IntN)
	n.validation, n.bornAt = settings.core(nil), now
	if settings.BootstrapRule == BootstrapByAnnounce {
		n.bootstrapper = newBootstrapper(settings, random, now)
	}
	// A standby that can never vote is of use only where three are wanted in any case.
	if settings.IsController && (settings.HasFolder || settings.Voters == 0) {
		coreSettings := settings.core(n.note)
		coreSettings.Random, coreSettings.PushTransfers = random, n.pushTransfers
		n.core = NewCore(coreSettings, now)
	}
	n.startup = newStartupQueries(settings, now)
	n.directoryFreshness = newDirectoryFreshness(settings.DrainTimeout)
	n.restore(settings.Snapshot)
	return n
}

// core gives the settings of the core of a node.
func (s NodeSettings) core(note func(subject decision.Subject, what decision.Decision, why string)) CoreSettings {
	return CoreSettings{
		Self:      cluster.Member{ID: s.Member, Address: s.Identity.Address, Zone: s.Identity.Zone},
		HasFolder: s.HasFolder, Seeds: s.Seeds, Timing: s.Timing, Note: note,
		CheckConfig: s.CheckConfig, PatchConfig: s.PatchConfig, VersionOf: s.VersionOf,
		Voters: s.Voters, AckRule: s.AckRule, DisseminationTimeout: s.DisseminationTimeout, ContactTimeout: cmp.Or(s.ContactTimeout, defaultContactTimeout), ServeExtension: s.ServeExtension, BootstrapRule: s.BootstrapRule,
		HardState: s.HardState, Document: s.Document, StoredConfigs: s.StoredConfigs, Acknowledged: s.Acknowledged, Incarnation: s.Start,
		Invariants: s.Invariants,
	}
}

// Validate checks an operation against a document and changes nothing. It may be called beside
// the owners: what is slow about a large configuration is remembered by the functions of the
// settings, so that the leader has its verdict at hand.
func (n *Node) Validate(submit *cluster.Submit, current *cluster.Document) error {
	if submit.Operation != cluster.PutConfig && submit.Operation != cluster.PatchConfig {
		return nil
	}
	if current == nil {
		current = &cluster.Document{}
	}
	// A conflict now need not be one when the operation is applied.
	alone := *submit
	alone.Base, alone.BaseVersion = nil, nil
	_, _, err := n.validation.evaluateConfig(&alone, current)
	return err
}

func (n *Node) note(subject decision.Subject, what decision.Decision, why string) {
	n.settings.Journal.Record(n.now, "control", string(subject), string(what), why)
}

// TickInterval is how often Tick is to be called.
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
	// A folder may be from before the core was rebuilt, so a restored document binds nobody.
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
		n.loop = append(n.loop, envelope)
		return
	}
	n.out = append(n.out, Outgoing{envelope})
}

// finish drains the core's commands and the messages to oneself, then hands all over.
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
		if len(n.loop) == 0 {
			break
		}
		envelope := n.loop[0]
		n.loop = n.loop[1:]
		n.receive(envelope)
	}
	// An acknowledgement waits for these requests.
	if n.zone.isBatchUrgent && n.settings.AckRule == Disseminated {
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
func (n *Node) applied(isChanged bool) {
	if !isChanged {
		return
	}
	n.settings.Journal.SetRevision(n.lease.Revision())
	n.note(decision.Configuration, decision.Apply, fmt.Sprintf("revision %d", n.lease.Revision()))
	if n.core != nil {
		n.core.setFleetVoters(n.lease.Applied().VoterAddresses())
	}
	// The leader counts who has applied what, so it should hear at once.
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

// Deliver takes a message from another node.
func (n *Node) Deliver(now kernel.Micros, envelope wire.Envelope) []commands.Command {
	n.now = now
	n.fence.listen(now)
	rejection := n.rejection(envelope)
	if r := n.snapshots.restored; r != nil && rejection == nil && envelope.ClusterID == r.ClusterID {
		// A node of that cluster has written, so the restored document binds again.
		n.snapshots.restored = nil
	}
	if rejection != nil {
		n.noteRejection(envelope.From, rejection)
		return n.finish()
	}
	n.receive(envelope)
	return n.finish()
}

// Saved reports on a write.
func (n *Node) Saved(now kernel.Micros, token uint64, err error) []commands.Command {
	n.now = now
	if n.core != nil {
		n.core.Saved(now, token, err)
	}
	return n.finish()
}

// ConfigLoaded brings a configuration of the past that another member asked for.
// The document is nil where the folder does not hold it any more.
func (n *Node) ConfigLoaded(now kernel.Micros, to string, config cluster.ConfigRef, document *cluster.Document) []commands.Command {
	n.now = now
	n.send(to, wire.Message{FetchConfigResponse: &wire.FetchConfigResponse{Config: config, Document: document}})
	return n.finish()
}

// HistoryStored tells what became of configurations of the past that the folder was to keep.
func (n *Node) HistoryStored(now kernel.Micros, outcome commands.SaveHistoryResult) []commands.Command {
	n.now = now
	if n.core == nil {
		return n.finish()
	}
	if len(outcome.Saved) > 0 {
		n.note(decision.History, decision.Fetch, fmt.Sprintf("the configurations of revisions %v were fetched from other members", outcome.Saved))
	}
	if outcome.Err != nil {
		n.note(decision.History, decision.Skip, fmt.Sprintf("the configuration of revision %d: %v", outcome.Rejected, outcome.Err))
	}
	n.core.HistoryStored(now, outcome)
	return n.finish()
}

// ensureCompiled tells whether a document may be applied, and has its configuration compiled if not.
func (n *Node) ensureCompiled(document *cluster.Document) bool {
	if n.settings.IsCompiled == nil || document.ConfigRevision == 0 ||
		n.lease.Applied() != nil && document.ConfigRevision == n.lease.Applied().ConfigRevision {
		return true
	}
	// Asked again at every event; the configuration is looked at once.
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

// ConfigCompiled tells that the shell is done with a document's configuration. One that it can't read
// is never applied: serving under an older one would be worse than not serving.
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

// receive handles one accepted message, also those of this node to itself. The first case that fits
// counts: a message carries one kind, and what only a controller handles comes after the rest.
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

// Tick runs the timers that are due at now, in microseconds of the node's clock. It is called every
// TickInterval by the goroutine that owns the node. The order of the steps shows in the messages.
func (n *Node) Tick(now kernel.Micros) []commands.Command {
	n.now = now
	n.fence.listen(now)
	if n.core != nil {
		n.core.Tick(now)
	}
	n.tickFence()
	n.tickLeaseRequest()
	n.tickDirectoryFreshness()
	n.sendBatch()
	n.tickAttest()
	n.tickViews()
	n.tickSweep()
	n.tickAntiEntropy()
	n.tickUrgent()
	n.tickPendingSubmissions()
	n.tickReads()
	n.tickLeave()
	n.tickBootstrap()
	n.tickStartupQuery()
	n.tickAnnouncements()
	n.tickSnapshot()
	n.tickRestored()
	n.tickQuota()
	return n.finish()
}

// sweepInterval is the pause between two removals of what is no longer needed.
const sweepInterval = 500 * kernel.Millisecond

// tickSweep removes what is known of nodes that have left and of peers not met lately.
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
		dropOld(times, n.now-recentSpan)
	}
}

// sweepZone forgets what nodes of the zone hold that have left the directory: one that comes back
// may hold less.
func (n *Node) sweepZone() {
	for address := range n.zone.nodes {
		if _, isThere := n.directory.Node(address); !isThere {
			delete(n.zone.nodes, address)
		}
	}
}
