package control

import (
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/flowcontrol"
	"dunlinloom/internal/kernel"
)

// The state of a Core, by concern. Only the core's event handlers access it, all on one goroutine.

// electionState is the term, the vote and what this member knows of the leader.
type electionState struct {
	role     role
	term     uint64
	votedFor cluster.MemberID
	votes    map[cluster.MemberID]bool // voters that granted their vote in the current election or pre-vote
	refusals map[cluster.MemberID]bool // voters that refused it

	leaderMember    cluster.Member
	lastHeartbeatAt kernel.Micros // when the last heartbeat of a leader arrived; zero: none since the start
	startedAt       kernel.Micros
	electionTimer   kernel.Micros // when this member next stands for election
}

// replicatedState is this member's copy of the document.
type replicatedState struct {
	doc    *cluster.Document // the newest accepted document; never older than synced, and newer while it is being written
	synced cluster.Position  // the newest document that is known to be on disk
	// acknowledged is the newest document that this member is known to have acknowledged. It is newer than
	// synced only if the data folder has lost that document.
	acknowledged cluster.Position
	// committed is the newest document known to be synced by a majority. Its position never decreases.
	committed *cluster.Document
	// releasedPosition is zero unless the leader's last heartbeat allowed this leaving member to end. Then it is the
	// committed document that the heartbeat named. The member may end unless it has accepted a newer one.
	releasedPosition cluster.Position
	// voterPosition is the newest of the documents that this member has accepted from a leader since its start and that
	// name it as a voter.
	voterPosition cluster.Position
}

// joinState is what a member uses to find a leader when it receives no heartbeats; see join.
type joinState struct {
	joinTimer      kernel.Micros
	nextJoinTarget int
	leaderHints    []string // the leader's address, empty if unknown, followed by the voters' addresses
	fleetVoters    []string // addresses of the voters in the document that the process applied as a router
}

// diskState is the writes that are not synced yet, in order, and the state of the disk.
type diskState struct {
	saves     []*pendingSave
	nextToken uint64
	saveError string // the error of the last write; empty: it succeeded
}

// leaderState is what a leader knows of the voters and learners. It is meaningless while this member does not lead.
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
	// committedAt is when this leader committed each of the newest maxCommitTimes revisions.
	committedAt map[uint64]kernel.Micros
	health      *Health // as of the last update
	// dissemination describes the newest acknowledged revision at the time of its acknowledgement.
	dissemination Dissemination
}

// operationState holds the operations and reads that this leader has not answered yet.
type operationState struct {
	queue             []queuedSubmit
	pendingReplies    []pendingReply
	pendingRejections []pendingRejection
	pendingReads      []pendingRead
	delayStartedAt    kernel.Micros // when operations last started to wait for a learner; see delaysOperations
}

// nodeState is what a leader knows of routers, zone coordinators and draining engines.
type nodeState struct {
	pendingBatches        []pendingBatch
	nodeReports           map[string]*nodeReport
	coordinatorSeenAt     map[string]kernel.Micros
	coordinatorSuccessors map[string]string
	drainingReports       []DrainingReport // not in the document yet
}

// pushState is the state of pushes: documents that the leader sends to nodes without a request.
type pushState struct {
	pushTimer     kernel.Micros         // when the newest document is next sent to the nodes that have not applied it
	pushUntil     kernel.Micros         // after which it is no longer sent; see retryPush
	pushTransfers flowcontrol.Transfers // paces large documents
}

// bootstrapState is the state of the first start under BootstrapFromSeeds: the answers of the seeds.
type bootstrapState struct {
	bootstrapProbes map[string]probeResult
	bootstrapTimer  kernel.Micros
}
