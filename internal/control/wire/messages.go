package wire

import (
	"reflect"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/gossip"
	"dunlinloom/internal/control/registry"
	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// StartupQuery is what a node that has just started says to whoever may know the fleet. Any node
// with a document in force answers with a Grant that brings it and the engines; no leader
// is needed for that, since it takes no lease from it.
type StartupQuery struct {
	Received      uint64              `json:"held,omitempty"` // the revision it holds
	WantsDocument bool                `json:"keen,omitempty"` // it wants the document, however large
	Node          registry.NodeRecord `json:"node"`
	// LacksDirectory: nobody has sent it the directory in this incarnation, whatever document it holds. Older builds
	// do not say so, and answer as if all did.
	LacksDirectory bool `json:"lacks_directory,omitempty"`
}

// Envelope is one message between two nodes. Messages may be lost, doubled,
// late or out of order; every owner has to bear that.
type Envelope struct {
	Fleet     string  `json:"fleet"`              // the fleet's name in the settings
	ClusterID string  `json:"founding,omitempty"` // the founding the sender belongs to, once it knows
	From      string  `json:"from"`
	To        string  `json:"to"`
	Format    int     `json:"format,omitempty"` // messages from before it was written count as 1
	Message   Message `json:"message"`
}

// Message holds exactly one of its fields.
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

// Kind names the one field that is set, by the name under which its bytes are counted in the
// metrics and in reports: the field's kind tag, which is as fixed as its JSON tag.
func (m Message) Kind() string {
	fields := reflect.ValueOf(m)
	for i := range fields.NumField() {
		if !fields.Field(i).IsNil() {
			return fields.Type().Field(i).Tag.Get("kind")
		}
	}
	return "none"
}

// IsBootstrap tells of the messages of a first start with announced founders.
func (m Message) IsBootstrap() bool {
	isAnnouncement := m.BootstrapAnnounce != nil || m.AnnounceStateLoss != nil
	isWitness := m.WitnessRequest != nil || m.WitnessResponse != nil || m.FirstSeeds != nil
	isPaxos := m.BootstrapPrepare != nil || m.BootstrapPromise != nil || m.BootstrapAccept != nil || m.BootstrapAccepted != nil
	return isAnnouncement || isWitness || isPaxos || m.BootstrapCommit != nil
}

// count is how many fields are set.
func (m Message) count() int {
	fields, count := reflect.ValueOf(m), 0
	for i := range fields.NumField() {
		if !fields.Field(i).IsNil() {
			count++
		}
	}
	return count
}

// SubmitRetry repeats a large submission without its configuration: it asks the leader whether it holds the one with this
// id. It never adds an operation; only a Submit does.
type SubmitRetry struct {
	ID        string            `json:"id"`
	Operation cluster.Operation `json:"order"`
	Digest    string            `json:"digest"` // of the submission that the sender holds
}

// SubmitRetryResponse tells whether a leader holds a submission. If it does not, it wants the whole one.
type SubmitRetryResponse struct {
	ID     string `json:"id"`
	IsHeld bool   `json:"held,omitempty"`
}

// ReadRequest asks the leader for the newest committed document.
type ReadRequest struct {
	Token    uint64 `json:"token"`
	Received uint64 `json:"held"` // the newest committed revision the asker holds
}

// ReadResponse brings it, without its configuration where the asker holds that.
type ReadResponse struct {
	Token    uint64            `json:"token"`
	Document *cluster.Document `json:"document"`
}

// Push brings engine records that can't wait. A token asks for a PushResponse.
type Push struct {
	Token       uint64                  `json:"token,omitempty"`
	IsForwarded bool                    `json:"onward,omitempty"` // the receiver carries it into its zone
	Engines     []registry.EngineRecord `json:"engines"`
}

// PushResponse confirms a Push.
type PushResponse struct {
	Token      uint64 `json:"token"`
	Zone       string `json:"zone"`
	IsComplete bool   `json:"whole"` // every living node of the zone has confirmed as well
	// IsSingle: the sender speaks for itself alone, not for its zone.
	IsSingle bool `json:"single,omitempty"`
	Others   int  `json:"others,omitempty"`
}

// Suspect tells the home that a router could not reach an engine.
type Suspect struct {
	Engine string `json:"engine"`
	Start  uint64 `json:"start"`
}

// FetchConfig asks another member for a configuration of the past that this one lacks.
type FetchConfig struct {
	Config cluster.ConfigRef `json:"mark"`
}

// FetchConfigResponse brings it, or says that it is not held there any more.
type FetchConfigResponse struct {
	Config   cluster.ConfigRef `json:"mark,omitzero"`
	Document *cluster.Document `json:"document"`
}

// VoteRequest asks one member, by its id, for its vote.
type VoteRequest struct {
	Term         uint64           `json:"term"`
	IsPreVote    bool             `json:"pre,omitempty"`
	IsTransfer   bool             `json:"named,omitempty"` // the leader itself named this candidate
	Candidate    cluster.Member   `json:"candidate"`
	Voter        cluster.MemberID `json:"voter"`
	LastPosition cluster.Position `json:"newest"`
}

// VoteResponse is a member's word on a VoteRequest.
type VoteResponse struct {
	Term      uint64           `json:"term"` // the term that was asked for
	KnownTerm uint64           `json:"known"`
	IsPreVote bool             `json:"pre,omitempty"`
	IsGranted bool             `json:"granted"`
	Voter     cluster.MemberID `json:"voter"`
}

// Heartbeat is the leader's regular word to voters and standbys.
type Heartbeat struct {
	Term         uint64            `json:"term"`
	Leader       cluster.Member    `json:"leader"`
	Target       cluster.MemberID  `json:"target"`
	Round        uint64            `json:"round"`
	Committed    cluster.Position  `json:"committed"`
	Acknowledged cluster.Position  `json:"promised,omitzero"` // the newest that the receiver has said to have synced
	Document     *cluster.Document `json:"document,omitempty"`
	// IsReleased tells a member that is leaving that others hold all that it holds.
	IsReleased bool `json:"released,omitempty"`
}

// HeartbeatResponse tells the leader what its receiver has synced.
type HeartbeatResponse struct {
	Term                uint64           `json:"term"`
	Round               uint64           `json:"round"`
	Member              cluster.Member   `json:"member"`
	Synced              cluster.Position `json:"synced"`
	Incarnation         uint64           `json:"life,omitempty"` // the start identity of the process
	IsLeaving           bool             `json:"leaving,omitempty"`
	IsDiskUnhealthy     bool             `json:"ailing,omitempty"`  // the disk stalls or is full
	IsHistoryIncomplete bool             `json:"partial,omitempty"` // configurations of the past are still missing
	LacksConfig         bool             `json:"bare,omitempty"`    // the document came without its configuration, and that is not held here
}

// TransferLeadership names the receiver as the successor in the lead.
type TransferLeadership struct {
	Term   uint64           `json:"term"`
	Target cluster.MemberID `json:"target"`
}

// Join makes a controller known to the leader as a standby.
type Join struct {
	Member      cluster.Member   `json:"member"`
	Synced      cluster.Position `json:"synced"`
	HasFolder   bool             `json:"folder"`
	Incarnation uint64           `json:"life,omitempty"` // the start identity of the process
}

// RouterLeaseRequest is one node's ask for a lease, as it goes to the leader.
type RouterLeaseRequest struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Seq      uint64 `json:"seq"`
	Applied  uint64 `json:"applied"`
	Received uint64 `json:"held,omitempty"` // the document it holds, if that is not yet applied
	IsRouter bool   `json:"router,omitempty"`
	// LacksConfig: it could not put a configuration together from the changes that it was sent.
	LacksConfig bool `json:"bare,omitempty"`
}

// BaseRevision is the newest revision whose configuration the asker can go on from; zero: it needs the whole.
func (a *RouterLeaseRequest) BaseRevision() uint64 {
	if a.LacksConfig {
		return 0
	}
	return max(a.Applied, a.Received)
}

// LeaseRequestBatch carries a zone's asks from its home, or one node's own.
type LeaseRequestBatch struct {
	Zone          string               `json:"zone"`
	IsCoordinator bool                 `json:"home,omitempty"`
	Revision      uint64               `json:"generation"` // the document the sender holds
	Requests      []RouterLeaseRequest `json:"asks"`
}

// LeaseGrantBatch grants what a batch asked for, under one revision.
type LeaseGrantBatch struct {
	Revision uint64               `json:"generation"`
	Leader   string               `json:"leader"`
	Requests []RouterLeaseRequest `json:"asks"`
	Document *cluster.Document    `json:"document,omitempty"`
	Freshness
}

// Freshness says since when a revision was the newest that is committed.
type Freshness struct {
	IsFresh bool `json:"fresh,omitempty"` // false: nothing is known of that
	// Age is how long ago, by the sender's clock, no newer one was committed for sure.
	Age kernel.Micros `json:"age,omitempty"`
}

// CoordinatorHandover is a home's own naming of its successor.
type CoordinatorHandover struct {
	Zone string `json:"zone"`
	To   string `json:"to"`
}

// Redirect tells who leads, or who may know.
type Redirect struct {
	Leader string   `json:"leader,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

// LeaseRequest is a node's ask to its home: for a lease, for news, and to be known.
type LeaseRequest struct {
	RouterLeaseRequest
	Node            registry.NodeRecord `json:"node,omitzero"` // only when it has changed
	SeenIncarnation string              `json:"seen_home,omitempty"`
	SeenWatermark   uint64              `json:"seen_news,omitempty"`
	Digests         []uint64            `json:"digests,omitempty"` // now and then, to mend what was lost
	// WantsZoneNodes: the sender needs the records of its own zone's nodes, of other zones those of a few, and the
	// count of all routers. Earlier builds do not say so and are sent the records of all nodes.
	WantsZoneNodes bool `json:"zone_nodes,omitempty"`
}

// LeaseGrant lets a router serve under a revision for a while from its ask on.
type LeaseGrant struct {
	Seq      uint64                    `json:"seq"`
	Revision uint64                    `json:"generation"`
	Leader   string                    `json:"leader,omitempty"`
	Document *cluster.Document         `json:"document,omitempty"`
	Update   *registry.DirectoryUpdate `json:"news,omitempty"` // of the home, where its answer is one message
	// RequestSeq is the number of the ask that the home's own word on the freshness of Revision answers.
	RequestSeq uint64 `json:"ask,omitempty"`
	Freshness
	// KnownRouters is how many routers the sender knows in the entire fleet, where Update leaves nodes of other
	// zones out; zero: not said.
	KnownRouters int `json:"routers,omitempty"`
}

// RevisionNotice says that there is a newer revision to ask for.
type RevisionNotice struct {
	Revision uint64 `json:"generation"`
}

// AttestRequest asks another router what revision it holds, while the core is dark.
type AttestRequest struct {
	Seq           uint64 `json:"seq"`
	Applied       uint64 `json:"applied"`
	WantsDocument bool   `json:"keen,omitempty"` // the asker wants the newer document from this one
}

// AttestResponse is a router's word on its own revision.
type AttestResponse struct {
	Seq      uint64            `json:"seq"`
	Revision uint64            `json:"generation"`
	IsProven bool              `json:"proven"`
	Document *cluster.Document `json:"document,omitempty"`
}

// EngineReports carries engine records that a node learned first-hand to its home.
type EngineReports struct {
	Engines []registry.EngineRecord `json:"engines"`
}

// AntiEntropy compares two cells by digests over ranges of keys.
type AntiEntropy struct {
	SeenIncarnation string   `json:"seen_home,omitempty"`
	SeenWatermark   uint64   `json:"seen_news,omitempty"`
	Digests         []uint64 `json:"digests,omitempty"`
	IsCoordinator   bool     `json:"home,omitempty"`
}
