package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/kernel"
)

// The parts of a core's state. Only its own event handlers touch them, all on one goroutine.

// electionState is the term, the vote, and what this member knows of who leads.
type electionState struct {
	role     role
	term     uint64
	votedFor cluster.MemberID
	votes    map[cluster.MemberID]bool // granted in the present election
	refusals map[cluster.MemberID]bool // in the present election

	leaderMember    cluster.Member
	lastHeartbeatAt kernel.Micros // when the last heartbeat of a leader came; zero: none since the start
	startedAt       kernel.Micros
	electionTimer   kernel.Micros // the next election
}

// replicatedState is the document, as far as this member has it.
type replicatedState struct {
	doc    *cluster.Document // the newest accepted, maybe still being written; never behind synced
	synced cluster.Position  // the newest that is known to be on disk
	// acknowledged is the newest document that this member has ever acknowledged, as far as known; later
	// than synced only where its folder has lost that document.
	acknowledged cluster.Position
	// committed is the newest document known to be synced by a majority; its position never falls.
	committed *cluster.Document
	// releasedPosition is the newest document of which the leader says that enough others hold it without this
	// member, so that it may end unless it has accepted a newer one.
	releasedPosition cluster.Position
	// voterPosition is the newest document that this incarnation has accepted as one of its voters.
	voterPosition cluster.Position
}

// joinState is how a member that hears no leader looks for one.
type joinState struct {
	joinTimer      kernel.Micros
	nextJoinTarget int
	leaderHints    []string
	fleetVoters    []string // of the document that the process applied as a router
}

// diskState is the writes that are not synced yet, in their order, and what is wrong with the disk.
type diskState struct {
	saves     []*pendingSave
	nextToken uint64
	diskWhy   string // empty: the disk is healthy
}

// leaderState is what a leader knows of the voters and learners. It says nothing while this member does not lead.
type leaderState struct {
	leaderSince        kernel.Micros
	peers              map[cluster.MemberID]*peer
	round              uint64
	roundTimer         kernel.Micros
	isRoundWanted      bool
	sentRounds         []sentRound
	noticeTimer        kernel.Micros
	buildTimer         kernel.Micros
	hasCommittedInTerm bool // a document of this term is committed
	// committedAt is when the newest revisions were committed under this leadership.
	committedAt map[uint64]kernel.Micros
	health      *Health // the last view of the voters
	// dissemination is how far the newest acknowledged revision had spread when it was acknowledged.
	dissemination Dissemination
}

// operationState is the operations and reads that a leader has not answered yet.
type operationState struct {
	queue             []queuedSubmit
	pendingReplies    []pendingReply
	pendingRejections []pendingRejection
	pendingReads      []pendingRead
	delayStartedAt    kernel.Micros // when operations last began to wait for a learner
}

// nodeState is what a leader knows of routers, zone coordinators and draining engines.
type nodeState struct {
	pendingBatches        []pendingBatch
	nodeReports           map[string]*nodeReport
	coordinatorSeenAt     map[string]kernel.Micros
	coordinatorSuccessors map[string]string
	drainingReports       []DrainingReport // draining engines that the document does not name yet
}

// pushState paces the documents that go out without a heartbeat.
type pushState struct {
	pushTimer     kernel.Micros
	pushUntil     kernel.Micros
	pushTransfers flowcontrol.Transfers // of the large ones
}

// bootstrapState is the strict first start: what the seeds have said of themselves.
type bootstrapState struct {
	bootstrapProbes map[string]probeResult
	bootstrapTimer  kernel.Micros
}
