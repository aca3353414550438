package wire

import (
	"reflect"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// StartupQuery is sent under ServeWithoutLimit by a node that has just started, to nodes that may know the fleet. A
// node with an applied document answers with a LeaseGrant. It has the parts of the document and of the directory that
// the sender lacks, as far as the answering node's budget for such answers allows. The answering node need not be the
// leader, since the answer grants no lease.
type StartupQuery struct {
	Received      uint64              `json:"held,omitempty"` // see RouterLeaseRequest.BaseRevision
	WantsDocument bool                `json:"keen,omitempty"` // the sender wants the document, however large it is
	Node          registry.NodeRecord `json:"node"`
	// LacksDirectory: the sender has not received a directory in this process, whatever document it has. Older
	// builds neither set the field nor read it, and always answer with the directory.
	LacksDirectory bool `json:"lacks_directory,omitempty"`
}

// Envelope is a message with its sender and receiver. Messages may be lost, duplicated,
// delayed or reordered, and every receiver has to tolerate that.
type Envelope struct {
	Fleet     string  `json:"fleet"`              // the fleet's name in the settings
	ClusterID string  `json:"founding,omitempty"` // the sender's cluster id, once it has one
	From      string  `json:"from"`
	To        string  `json:"to"`
	Format    int     `json:"format,omitempty"` // missing in messages of early builds, which have format 1
	Message   Message `json:"message"`
}

// Message is a sum type: exactly one of its fields is set. A message of a kind that only a newer build knows is decoded
// with no field set.
type Message struct {
	VoteRequest            *VoteRequest              `json:"vote_ask,omitempty" kind:"VoteAsk"`
	VoteResponse           *VoteResponse             `json:"vote,omitempty" kind:"Vote"`
	Heartbeat              *Heartbeat                `json:"pulse,omitempty" kind:"Heartbeat"`
	HeartbeatResponse      *HeartbeatResponse        `json:"pulse_receipt,omitempty" kind:"HeartbeatReply"`
	TransferLeadership     *TransferLeadership       `json:"inherit,omitempty" kind:"Inherit"`
	Join                   *Join                     `json:"join,omitempty" kind:"Join"`
	BootstrapProbe         *BootstrapProbe           `json:"muster,omitempty" kind:"Muster"`
	BootstrapProbeResponse *BootstrapProbeResponse   `json:"muster_receipt,omitempty" kind:"MusterReply"`
	Submit                 *cluster.Submit           `json:"submit,omitempty" kind:"Submit"`
	SubmitResponse         *cluster.SubmitResponse   `json:"submit_receipt,omitempty" kind:"SubmitReply"`
	LeaseRequestBatch      *LeaseRequestBatch        `json:"ask_batch,omitempty" kind:"AskBatch"`
	LeaseGrantBatch        *LeaseGrantBatch          `json:"grant_batch,omitempty" kind:"GrantBatch"`
	CoordinatorHandover    *CoordinatorHandover      `json:"succeed,omitempty" kind:"Succeed"`
	Redirect               *Redirect                 `json:"elsewhere,omitempty" kind:"Elsewhere"`
	LeaseRequest           *LeaseRequest             `json:"ask,omitempty" kind:"Ask"`
	LeaseGrant             *LeaseGrant               `json:"grant,omitempty" kind:"Grant"`
	RevisionNotice         *RevisionNotice           `json:"nudge,omitempty" kind:"Nudge"`
	AttestRequest          *AttestRequest            `json:"attest,omitempty" kind:"Attest"`
	AttestResponse         *AttestResponse           `json:"attest_receipt,omitempty" kind:"AttestReply"`
	DirectoryUpdate        *registry.DirectoryUpdate `json:"news,omitempty" kind:"News"`
	EngineReports          *EngineReports            `json:"heard,omitempty" kind:"Heard"`
	AntiEntropy            *AntiEntropy              `json:"mend,omitempty" kind:"Mend"`
	Shuffle                *gossip.Shuffle           `json:"shuffle,omitempty" kind:"Shuffle"`
	FetchConfig            *FetchConfig              `json:"recall,omitempty" kind:"Recall"`
	FetchConfigResponse    *FetchConfigResponse      `json:"recalled,omitempty" kind:"Recalled"`
	Suspect                *Suspect                  `json:"suspect,omitempty" kind:"Suspect"`
	ReadRequest            *ReadRequest              `json:"read_ask,omitempty" kind:"ReadAsk"`
	ReadResponse           *ReadResponse             `json:"read_receipt,omitempty" kind:"ReadReply"`
	BootstrapAnnounce      *BootstrapAnnounce        `json:"announce,omitempty" kind:"Announce"`
	AnnounceStateLoss      *AnnounceStateLoss        `json:"announce_amnesiac,omitempty" kind:"AnnounceAmnesiac"`
	FirstSeeds             *FirstSeeds               `json:"first_seeds,omitempty" kind:"FirstSeeds"`
	WitnessRequest         *WitnessRequest           `json:"found_witness_ask,omitempty" kind:"FoundWitnessAsk"`
	WitnessResponse        *WitnessResponse          `json:"found_witness,omitempty" kind:"FoundWitness"`
	BootstrapPrepare       *BootstrapPrepare         `json:"found_prepare,omitempty" kind:"FoundPrepare"`
	BootstrapPromise       *BootstrapPromise         `json:"found_promise,omitempty" kind:"FoundPromise"`
	BootstrapAccept        *BootstrapAccept          `json:"found_accept,omitempty" kind:"FoundAccept"`
	BootstrapAccepted      *BootstrapAccepted        `json:"found_accepted,omitempty" kind:"FoundAccepted"`
	BootstrapCommit        *BootstrapCommit          `json:"found,omitempty" kind:"Found"`
	Push                   *Push                     `json:"push,omitempty" kind:"Push"`
	PushResponse           *PushResponse             `json:"push_receipt,omitempty" kind:"PushReply"`
	StartupQuery           *StartupQuery             `json:"hello,omitempty" kind:"Hello"`
	QuotaRequest           *quota.Request            `json:"quota_ask,omitempty" kind:"QuotaAsk"`
	QuotaGrant             *quota.Grant              `json:"quota_grant,omitempty" kind:"QuotaGrant"`
	SubmitRetry            *SubmitRetry              `json:"submit_retry,omitempty" kind:"SubmitRetry"`
	SubmitRetryResponse    *SubmitRetryResponse      `json:"submit_retry_receipt,omitempty" kind:"SubmitRetryReply"`
}

// Kind returns the kind tag of the field that is set, or "none". Metrics and reports count bytes
// under this name, so a kind tag must not change, like a JSON tag.
func (m Message) Kind() string {
	fields := reflect.ValueOf(m)
	for i := range fields.NumField() {
		if !fields.Field(i).IsNil() {
			return fields.Type().Field(i).Tag.Get("kind")
		}
	}
	return "none"
}

// IsBootstrap reports whether the message is part of a bootstrap with announced initial members.
func (m Message) IsBootstrap() bool {
	isAnnouncement := m.BootstrapAnnounce != nil || m.AnnounceStateLoss != nil
	isWitness := m.WitnessRequest != nil || m.WitnessResponse != nil || m.FirstSeeds != nil
	isPaxos := m.BootstrapPrepare != nil || m.BootstrapPromise != nil || m.BootstrapAccept != nil || m.BootstrapAccepted != nil
	return isAnnouncement || isWitness || isPaxos || m.BootstrapCommit != nil
}

// count returns the number of fields that are set.
func (m Message) count() int {
	fields, count := reflect.ValueOf(m), 0
	for i := range fields.NumField() {
		if !fields.Field(i).IsNil() {
			count++
		}
	}
	return count
}

// SubmitRetry repeats a large submission without its configuration, to ask the leader whether it has the submission
// with this id. Only a Submit can add a submission.
type SubmitRetry struct {
	ID        string            `json:"id"`
	Operation cluster.Operation `json:"order"`
	Digest    string            `json:"digest"` // as returned by Submit.Digest for the submission
}

// SubmitRetryResponse states whether the leader has a submission. If it does not, the sender has to repeat the Submit.
type SubmitRetryResponse struct {
	ID     string `json:"id"`
	IsHeld bool   `json:"held,omitempty"` // the leader has the submission
}

// ReadRequest asks the leader for the newest committed document.
type ReadRequest struct {
	Token    uint64 `json:"token"`
	Received uint64 `json:"held"` // the newest committed revision that the sender has
}

// ReadResponse answers a ReadRequest. The configuration is left out if the receiver has it.
type ReadResponse struct {
	Token    uint64            `json:"token"`
	Document *cluster.Document `json:"document"`
}

// Push carries engine records that must not wait for the next DirectoryUpdate. If Token is set, the receiver confirms
// the push with a PushResponse.
type Push struct {
	Token       uint64                  `json:"token,omitempty"`
	IsForwarded bool                    `json:"onward,omitempty"` // the receiver is to forward it to the nodes of its zone
	Engines     []registry.EngineRecord `json:"engines"`
}

// PushResponse answers the Push with the same token. The sender confirms that it has the engine records. Unless
// IsSingle is set, it also reports how far the nodes of its zone have confirmed them.
type PushResponse struct {
	Token uint64 `json:"token"`
	Zone  string `json:"zone"` // the sender's zone
	// IsComplete: every node of the zone that may still use the old records has confirmed as well. If IsSingle is set, the
	// records are synced to the sender's disk instead.
	IsComplete bool `json:"whole"`
	// IsSingle: the sender confirms for itself only, not for its zone.
	IsSingle bool `json:"single,omitempty"`
	Others   int  `json:"others,omitempty"` // how many other nodes have confirmed to the sender
}

// IsStored reports whether the sender has the records on its disk. Earlier builds never say so.
func (m *PushResponse) IsStored() bool { return m.IsSingle && m.IsComplete }

// Suspect tells the coordinator of an engine's zone that a router could not reach the engine. The coordinator probes
// the engine before it informs other nodes. Start identifies the process of the engine; a suspicion of another process
// is ignored.
type Suspect struct {
	Engine string `json:"engine"`
	Start  uint64 `json:"start"`
}

// FetchConfig asks another member for an earlier configuration that the sender lacks.
type FetchConfig struct {
	Config cluster.ConfigRef `json:"mark"`
}

// FetchConfigResponse answers a FetchConfig. A missing document means that the sender's folder does not have the
// configuration.
type FetchConfigResponse struct {
	Config   cluster.ConfigRef `json:"mark,omitzero"`
	Document *cluster.Document `json:"document"`
}

// VoteRequest asks a voter for its vote in a term. A pre-vote only asks whether the voter would grant the vote, and
// binds it to nothing.
type VoteRequest struct {
	Term         uint64           `json:"term"`
	IsPreVote    bool             `json:"pre,omitempty"`
	IsTransfer   bool             `json:"named,omitempty"` // the leader has transferred leadership to the candidate
	Candidate    cluster.Member   `json:"candidate"`
	Voter        cluster.MemberID `json:"voter"`  // a member with another id at the same address ignores the request
	LastPosition cluster.Position `json:"newest"` // of the newest document that the candidate has synced
}

// VoteResponse is a member's answer to a VoteRequest.
type VoteResponse struct {
	Term      uint64           `json:"term"`  // the term of the request
	KnownTerm uint64           `json:"known"` // the voter's own term; if it is later, the candidate gives up and adopts it
	IsPreVote bool             `json:"pre,omitempty"`
	IsGranted bool             `json:"granted"`
	Voter     cluster.MemberID `json:"voter"`
}

// Heartbeat is sent regularly by the leader to voters and learners.
type Heartbeat struct {
	Term         uint64            `json:"term"`
	Leader       cluster.Member    `json:"leader"`
	Target       cluster.MemberID  `json:"target"`
	Round        uint64            `json:"round"`             // number of the heartbeat round; the response repeats it
	Committed    cluster.Position  `json:"committed"`         // zero until the leader has committed a document of its term
	Acknowledged cluster.Position  `json:"promised,omitzero"` // the newest position that the receiver reported as synced
	Document     *cluster.Document `json:"document,omitempty"`
	// IsReleased tells a leaving member that it may stop: it is no longer a voter, or enough other voters have the
	// document at Committed. A member that has accepted a newer document than that does not stop yet.
	IsReleased bool `json:"released,omitempty"`
}

// HeartbeatResponse reports to the leader what the member has synced.
type HeartbeatResponse struct {
	Term                uint64           `json:"term"`  // the member's term
	Round               uint64           `json:"round"` // of the heartbeat; zero if the heartbeat had an earlier term
	Member              cluster.Member   `json:"member"`
	Synced              cluster.Position `json:"synced"`
	Incarnation         uint64           `json:"life,omitempty"` // the start number of the member's process
	IsLeaving           bool             `json:"leaving,omitempty"`
	IsDiskUnhealthy     bool             `json:"ailing,omitempty"`  // the disk stalls or is full
	IsHistoryIncomplete bool             `json:"partial,omitempty"` // the folder still lacks configurations of the chain
	// LacksConfig: a document came without its configuration, which could not be restored. The member ignored it.
	LacksConfig bool `json:"bare,omitempty"`
}

// TransferLeadership is sent by the leader to the member that is to become the next leader.
type TransferLeadership struct {
	Term   uint64           `json:"term"`
	Target cluster.MemberID `json:"target"`
}

// Join announces a controller to the leader as a learner.
type Join struct {
	Member      cluster.Member   `json:"member"`
	Synced      cluster.Position `json:"synced"`
	HasFolder   bool             `json:"folder"`         // the controller has a data folder, so it may become a voter
	Incarnation uint64           `json:"life,omitempty"` // the start number of the controller's process
}

// RouterLeaseRequest is a node's request for a lease, as it is sent to the leader.
type RouterLeaseRequest struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Seq      uint64 `json:"seq"`              // number of the request, which the grant repeats
	Applied  uint64 `json:"applied"`          // revision of the applied document; zero: none
	Received uint64 `json:"held,omitempty"`   // revision of the newest received document, if that is not applied yet
	IsRouter bool   `json:"router,omitempty"` // false also for a router that is leaving
	// LacksConfig: the node could not make a configuration from the changes that it received. It needs the whole
	// configuration.
	LacksConfig bool `json:"bare,omitempty"`
}

// BaseRevision returns the newest revision to whose configuration the node can apply changes, or zero if the
// configuration has to be sent in full.
func (m *RouterLeaseRequest) BaseRevision() uint64 {
	if m.LacksConfig {
		return 0
	}
	return max(m.Applied, m.Received)
}

// LeaseRequestBatch is sent to the leader. It carries the lease requests of a zone from its coordinator, or the request
// of a single node that queries the leader directly.
type LeaseRequestBatch struct {
	Zone          string               `json:"zone"`
	IsCoordinator bool                 `json:"home,omitempty"` // the sender is the coordinator of Zone
	Revision      uint64               `json:"generation"`     // see RouterLeaseRequest.BaseRevision
	Requests      []RouterLeaseRequest `json:"asks"`
}

// LeaseGrantBatch is the leader's answer to a LeaseRequestBatch. It repeats the requests and grants all of them under
// one revision. Under ServeWithoutLimit routers need no lease, so the leader answers without a confirmed heartbeat
// round.
type LeaseGrantBatch struct {
	Revision uint64               `json:"generation"`
	Leader   string               `json:"leader"`
	Requests []RouterLeaseRequest `json:"asks"`
	Document *cluster.Document    `json:"document,omitempty"`
	Freshness
}

// Freshness states how long ago a revision was certainly the newest committed one.
type Freshness struct {
	IsFresh bool `json:"fresh,omitempty"` // false: Age is not known
	// Age: this long before the message was sent, certainly no newer revision was committed. The time is measured by
	// the sender's clock.
	Age kernel.Micros `json:"age,omitempty"`
}

// CoordinatorHandover is sent to the leader by a zone's coordinator that is leaving. To is the address of the node that
// the next document should name as the zone's coordinator.
type CoordinatorHandover struct {
	Zone string `json:"zone"`
	To   string `json:"to"`
}

// Redirect answers a message that only the leader can process. It names the leader, if the sender knows it, and the
// voters.
type Redirect struct {
	Leader string   `json:"leader,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

// LeaseRequest is sent by a node to its zone's coordinator. It requests a lease and a directory update, and may have
// the node's own record. While the coordinator is late, it is also sent to a node of another zone.
type LeaseRequest struct {
	RouterLeaseRequest
	// Node is zero in most requests. It is sent twice after each change of the record, and twice to a new coordinator.
	Node registry.NodeRecord `json:"node,omitzero"`
	// SeenIncarnation and SeenWatermark are those of the newest DirectoryUpdate that the sender has from the receiver.
	// The answer has only later changes.
	SeenIncarnation string   `json:"seen_home,omitempty"`
	SeenWatermark   uint64   `json:"seen_news,omitempty"`
	Digests         []uint64 `json:"digests,omitempty"` // in every fourth request, to repair lost updates
	// WantsZoneNodes: the sender needs the records of the nodes in its zone, those of a few nodes in other zones, and
	// the number of all routers. Earlier builds don't set the field and are sent the records of all nodes.
	WantsZoneNodes bool `json:"zone_nodes,omitempty"`
}

// LeaseGrant permits a router to serve under a revision. The lease is counted from the time of the request. A node also
// sends a LeaseGrant that grants no lease, with Seq zero: as the answer to a StartupQuery, and under ServeWithoutLimit
// as the answer to a LeaseRequest.
type LeaseGrant struct {
	Seq      uint64                    `json:"seq"` // number of the granted request; zero: no lease is granted
	Revision uint64                    `json:"generation"`
	Leader   string                    `json:"leader,omitempty"`
	Document *cluster.Document         `json:"document,omitempty"`
	Update   *registry.DirectoryUpdate `json:"news,omitempty"` // changes of the sender's directory; nil: not sent
	// RequestSeq is the number of the LeaseRequest that the sender answers from its own state, without the leader.
	// Freshness refers to the time of that request. Zero: the message is no such answer.
	RequestSeq uint64 `json:"ask,omitempty"`
	Freshness
	// KnownRouters is the number of routers in the fleet that the sender knows. It is set if Update leaves out nodes
	// of other zones; zero: not stated.
	KnownRouters int `json:"routers,omitempty"`
}

// RevisionNotice announces a newer revision, which the receiver should request.
type RevisionNotice struct {
	Revision uint64 `json:"generation"`
}

// AttestRequest asks another router which revision it has applied. A router sends it to all registered routers while it
// is granted no lease. If a majority of them responds, and none with a newer revision, the router may continue to
// serve.
type AttestRequest struct {
	Seq           uint64 `json:"seq"`
	Applied       uint64 `json:"applied"`
	WantsDocument bool   `json:"keen,omitempty"` // the sender wants the newer document from this router
}

// AttestResponse states which revision a router has applied.
type AttestResponse struct {
	Seq      uint64 `json:"seq"` // of the request
	Revision uint64 `json:"generation"`
	// IsProven: the leader has granted a lease to the sender since its process started. Otherwise the response does not
	// count.
	IsProven bool              `json:"proven"`
	Document *cluster.Document `json:"document,omitempty"` // if the request wanted it and it is newer
}

// EngineReports is sent to a coordinator by a node that engines have reported to. It carries the records of these
// engines.
type EngineReports struct {
	Engines []registry.EngineRecord `json:"engines"`
}

// AntiEntropy asks the receiver for records that the sender's directory lacks. To a coordinator (IsCoordinator), the
// receiver sends the changes of its own zone since the update that the sender has seen, as in a LeaseRequest. If
// Digests are set, it also sends the engines of the ranges in which the two directories differ.
type AntiEntropy struct {
	SeenIncarnation string   `json:"seen_home,omitempty"`
	SeenWatermark   uint64   `json:"seen_news,omitempty"`
	Digests         []uint64 `json:"digests,omitempty"` // see Directory.Digests
	IsCoordinator   bool     `json:"home,omitempty"`    // the sender is the coordinator of its zone
}
