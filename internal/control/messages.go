package control

import (
	"fmt"
	"reflect"

	"dunlinloom/internal/kernel"
	"dunlinloom/internal/quota"
)

// Envelope is one message between two nodes. Messages may be lost, doubled,
// late or out of order; every owner has to bear that.
type Envelope struct {
	Fleet    string  `json:"fleet"`              // the fleet's name in the settings
	Founding string  `json:"founding,omitempty"` // the founding the sender belongs to, once it knows
	From     string  `json:"from"`
	To       string  `json:"to"`
	Format   int     `json:"format,omitempty"` // messages from before it was written count as 1
	Message  Message `json:"message"`
}

// Message holds exactly one of its fields.
type Message struct {
	VoteAsk          *VoteAsk          `json:"vote_ask,omitempty" kind:"VoteAsk"`
	Vote             *Vote             `json:"vote,omitempty" kind:"Vote"`
	Heartbeat        *Heartbeat        `json:"pulse,omitempty" kind:"Heartbeat"`
	HeartbeatReply   *HeartbeatReply   `json:"pulse_receipt,omitempty" kind:"HeartbeatReply"`
	Inherit          *Inherit          `json:"inherit,omitempty" kind:"Inherit"`
	Join             *Join             `json:"join,omitempty" kind:"Join"`
	Muster           *Muster           `json:"muster,omitempty" kind:"Muster"`
	MusterReply      *MusterReply      `json:"muster_receipt,omitempty" kind:"MusterReply"`
	Submit           *Submit           `json:"submit,omitempty" kind:"Submit"`
	SubmitReply      *SubmitReply      `json:"submit_receipt,omitempty" kind:"SubmitReply"`
	AskBatch         *AskBatch         `json:"ask_batch,omitempty" kind:"AskBatch"`
	GrantBatch       *GrantBatch       `json:"grant_batch,omitempty" kind:"GrantBatch"`
	Succeed          *Succeed          `json:"succeed,omitempty" kind:"Succeed"`
	Elsewhere        *Elsewhere        `json:"elsewhere,omitempty" kind:"Elsewhere"`
	Ask              *Ask              `json:"ask,omitempty" kind:"Ask"`
	Grant            *Grant            `json:"grant,omitempty" kind:"Grant"`
	Nudge            *Nudge            `json:"nudge,omitempty" kind:"Nudge"`
	Attest           *Attest           `json:"attest,omitempty" kind:"Attest"`
	AttestReply      *AttestReply      `json:"attest_receipt,omitempty" kind:"AttestReply"`
	News             *News             `json:"news,omitempty" kind:"News"`
	Heard            *Heard            `json:"heard,omitempty" kind:"Heard"`
	Mend             *Mend             `json:"mend,omitempty" kind:"Mend"`
	Shuffle          *Shuffle          `json:"shuffle,omitempty" kind:"Shuffle"`
	Recall           *Recall           `json:"recall,omitempty" kind:"Recall"`
	Recalled         *Recalled         `json:"recalled,omitempty" kind:"Recalled"`
	Suspect          *Suspect          `json:"suspect,omitempty" kind:"Suspect"`
	ReadAsk          *ReadAsk          `json:"read_ask,omitempty" kind:"ReadAsk"`
	ReadReply        *ReadReply        `json:"read_receipt,omitempty" kind:"ReadReply"`
	Announce         *Announce         `json:"announce,omitempty" kind:"Announce"`
	AnnounceAmnesiac *AnnounceAmnesiac `json:"announce_amnesiac,omitempty" kind:"AnnounceAmnesiac"`
	FirstSeeds       *FirstSeeds       `json:"first_seeds,omitempty" kind:"FirstSeeds"`
	FoundWitnessAsk  *FoundWitnessAsk  `json:"found_witness_ask,omitempty" kind:"FoundWitnessAsk"`
	FoundWitness     *FoundWitness     `json:"found_witness,omitempty" kind:"FoundWitness"`
	FoundPrepare     *FoundPrepare     `json:"found_prepare,omitempty" kind:"FoundPrepare"`
	FoundPromise     *FoundPromise     `json:"found_promise,omitempty" kind:"FoundPromise"`
	FoundAccept      *FoundAccept      `json:"found_accept,omitempty" kind:"FoundAccept"`
	FoundAccepted    *FoundAccepted    `json:"found_accepted,omitempty" kind:"FoundAccepted"`
	Found            *Found            `json:"found,omitempty" kind:"Found"`
	Push             *Push             `json:"push,omitempty" kind:"Push"`
	PushReply        *PushReply        `json:"push_receipt,omitempty" kind:"PushReply"`
	Hello            *Hello            `json:"hello,omitempty" kind:"Hello"`
	QuotaAsk         *quota.Ask        `json:"quota_ask,omitempty" kind:"QuotaAsk"`
	QuotaGrant       *quota.Grant      `json:"quota_grant,omitempty" kind:"QuotaGrant"`
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

// isFounding tells of the messages of a first start with announced founders.
func (m Message) isFounding() bool {
	isAnnouncement := m.Announce != nil || m.AnnounceAmnesiac != nil
	isWitness := m.FoundWitnessAsk != nil || m.FoundWitness != nil || m.FirstSeeds != nil
	isBallot := m.FoundPrepare != nil || m.FoundPromise != nil || m.FoundAccept != nil || m.FoundAccepted != nil
	return isAnnouncement || isWitness || isBallot || m.Found != nil
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

// ReadAsk asks the leader for the newest committed document.
type ReadAsk struct {
	Token uint64 `json:"token"`
	Held  uint64 `json:"held"` // the newest committed revision the asker holds
}

// ReadReply brings it, without its configuration where the asker holds that.
type ReadReply struct {
	Token    uint64    `json:"token"`
	Document *Document `json:"document"`
}

// Announce tells the seeds of an empty member with a folder.
type Announce struct {
	Member Member `json:"member"`
}

// Found brings the first document to the members that it names.
type Found struct {
	Document *Document `json:"document"`
}

// Push brings engine records that can't wait. A token asks for a PushReply.
type Push struct {
	Token    uint64         `json:"token,omitempty"`
	IsOnward bool           `json:"onward,omitempty"` // the receiver carries it into its zone
	Engines  []EngineRecord `json:"engines"`
}

// PushReply confirms a Push.
type PushReply struct {
	Token   uint64 `json:"token"`
	Zone    string `json:"zone"`
	IsWhole bool   `json:"whole"` // every living node of the zone has confirmed as well
	// IsSingle: the sender speaks for itself alone, not for its zone.
	IsSingle bool `json:"single,omitempty"`
	Others   int  `json:"others,omitempty"`
}

// Suspect tells the home that a router could not reach an engine.
type Suspect struct {
	Engine string `json:"engine"`
	Start  uint64 `json:"start"`
}

// Recall asks another member for a configuration of the past that this one lacks.
type Recall struct {
	Mark ConfigMark `json:"mark"`
}

// Recalled brings it, or says that it is not held there any more.
type Recalled struct {
	Mark     ConfigMark `json:"mark,omitzero"`
	Document *Document  `json:"document"`
}

// VoteAsk asks one member, by its id, for its vote.
type VoteAsk struct {
	Term      uint64   `json:"term"`
	IsPre     bool     `json:"pre,omitempty"`
	IsNamed   bool     `json:"named,omitempty"` // the leader itself named this candidate
	Candidate Member   `json:"candidate"`
	Voter     MemberID `json:"voter"`
	Newest    Stamp    `json:"newest"`
}

// Vote is a member's word on a VoteAsk.
type Vote struct {
	Term      uint64   `json:"term"` // the term that was asked for
	Known     uint64   `json:"known"`
	IsPre     bool     `json:"pre,omitempty"`
	IsGranted bool     `json:"granted"`
	Voter     MemberID `json:"voter"`
}

// Heartbeat is the leader's regular word to voters and standbys.
type Heartbeat struct {
	Term      uint64    `json:"term"`
	Leader    Member    `json:"leader"`
	Target    MemberID  `json:"target"`
	Round     uint64    `json:"round"`
	Committed Stamp     `json:"committed"`
	Promised  Stamp     `json:"promised,omitzero"` // the newest that the receiver has said to have synced
	Document  *Document `json:"document,omitempty"`
	// IsReleased tells a member that is leaving that others hold all that it holds.
	IsReleased bool `json:"released,omitempty"`
}

// HeartbeatReply tells the leader what its receiver has synced.
type HeartbeatReply struct {
	Term      uint64 `json:"term"`
	Round     uint64 `json:"round"`
	Member    Member `json:"member"`
	Synced    Stamp  `json:"synced"`
	Life      uint64 `json:"life,omitempty"` // the start identity of the process
	IsLeaving bool   `json:"leaving,omitempty"`
	IsAiling  bool   `json:"ailing,omitempty"`  // the disk stalls or is full
	IsPartial bool   `json:"partial,omitempty"` // configurations of the past are still missing
	IsBare    bool   `json:"bare,omitempty"`    // the document came without its configuration, and that is not held here
}

// Inherit names the receiver as the successor in the lead.
type Inherit struct {
	Term   uint64   `json:"term"`
	Target MemberID `json:"target"`
}

// Join makes a controller known to the leader as a standby.
type Join struct {
	Member    Member `json:"member"`
	Synced    Stamp  `json:"synced"`
	HasFolder bool   `json:"folder"`
	Life      uint64 `json:"life,omitempty"` // the start identity of the process
}

// Muster asks a founder whether it is empty.
type Muster struct{}

// MusterReply is a founder's word to the one that would found the fleet.
type MusterReply struct {
	Member    Member `json:"member"`
	IsEmpty   bool   `json:"empty"`
	HasFolder bool   `json:"folder"`
}

// Order says what a submission wants.
type Order string

// The orders an operator can give.
const (
	PutConfig    Order = "spec"
	EmptyZone    Order = "empty"
	RefillZone   Order = "refill"
	Forget       Order = "forget" // strike a router off the register: the operator vouches that it is dead
	Fence        Order = "fence"  // make a submission id final
	MarkEngine   Order = "mark"   // keep the mark of a leaving engine
	ChangeConfig Order = "change" // Configuration holds a change of named items of the configuration in force
)

// Submit carries an operator's order to the leader.
type Submit struct {
	ID     string  `json:"id"`
	Order  Order   `json:"order"`
	Config []byte  `json:"spec,omitempty"`
	Zone   string  `json:"zone,omitempty"`
	Base   *uint64 `json:"base,omitempty"`
	// BaseVersion is the operator's version that a configuration or a change builds on.
	BaseVersion *uint64 `json:"base_version,omitempty"`
	// Of a mark.
	Engine string `json:"engine,omitempty"`
	Start  uint64 `json:"start,omitempty"`
}

func (s *Submit) digest() string {
	parts := [][]byte{[]byte(s.Order), s.Config, []byte(s.Zone), []byte(s.Engine), fmt.Append(nil, s.Start)}
	// Only where it is set: orders without it keep the digests that documents remember.
	if s.BaseVersion != nil {
		parts = append(parts, fmt.Append(nil, "on version ", *s.BaseVersion))
	}
	return digestOf(parts...)
}

// Reasons in a SubmitReply.
const (
	ReasonClash         = "clash"          // another configuration is in force than the order builds on
	ReasonInvalid       = "invalid_spec"   // the configuration, or what a change makes of it, has faults
	ReasonOldVersion    = "old_version"    // its version is not above the one in force
	ReasonUnknownOrder  = "unknown_order"  // this build has no such order
	ReasonIDReused      = "id_reused"      // another order had this id
	ReasonFenced        = "fenced"         // the order was given up on
	ReasonBusy          = "busy"           // the leader holds too many orders
	ReasonLeaderChanged = "leader_changed" // the leader stepped down
	ReasonNoMajority    = "no_majority"    // no answer was had in time
	ReasonNotKept       = "not_kept"       // a leaving mark went round but could not be kept
	ReasonForgotten     = "forgotten"      // it may be older than the submissions that are remembered
)

// SubmitReply is the leader's word on a submission.
type SubmitReply struct {
	ID       string  `json:"id"`
	Outcome  Outcome `json:"outcome"`
	Revision uint64  `json:"generation,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	Detail   string  `json:"detail,omitempty"`
}

// RouterAsk is one node's ask for a lease, as it goes to the leader.
type RouterAsk struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Seq      uint64 `json:"seq"`
	Applied  uint64 `json:"applied"`
	Held     uint64 `json:"held,omitempty"` // the document it holds, if that is not yet applied
	IsRouter bool   `json:"router,omitempty"`
	// IsBare: it could not put a configuration together from the changes that it was sent.
	IsBare bool `json:"bare,omitempty"`
}

// holds is the newest revision whose configuration the asker can go on from; zero: it needs the whole.
func (a *RouterAsk) holds() uint64 {
	if a.IsBare {
		return 0
	}
	return max(a.Applied, a.Held)
}

// AskBatch carries a zone's asks from its home, or one node's own.
type AskBatch struct {
	Zone     string      `json:"zone"`
	IsHome   bool        `json:"home,omitempty"`
	Revision uint64      `json:"generation"` // the document the sender holds
	Asks     []RouterAsk `json:"asks"`
}

// GrantBatch grants what a batch asked for, under one revision.
type GrantBatch struct {
	Revision uint64      `json:"generation"`
	Leader   string      `json:"leader"`
	Asks     []RouterAsk `json:"asks"`
	Document *Document   `json:"document,omitempty"`
	Freshness
}

// Freshness says since when a revision was the newest that is committed.
type Freshness struct {
	IsFresh bool `json:"fresh,omitempty"` // false: nothing is known of that
	// Age is how long ago, by the sender's clock, no newer one was committed for sure.
	Age kernel.Micros `json:"age,omitempty"`
}

// Succeed is a home's own naming of its successor.
type Succeed struct {
	Zone string `json:"zone"`
	To   string `json:"to"`
}

// Elsewhere tells who leads, or who may know.
type Elsewhere struct {
	Leader string   `json:"leader,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

// Ask is a node's ask to its home: for a lease, for news, and to be known.
type Ask struct {
	RouterAsk
	Node     NodeRecord `json:"node,omitzero"` // only when it has changed
	SeenHome string     `json:"seen_home,omitempty"`
	SeenNews uint64     `json:"seen_news,omitempty"`
	Digests  []uint64   `json:"digests,omitempty"` // now and then, to mend what was lost
}

// Grant lets a router serve under a revision for a while from its ask on.
type Grant struct {
	Seq      uint64    `json:"seq"`
	Revision uint64    `json:"generation"`
	Leader   string    `json:"leader,omitempty"`
	Document *Document `json:"document,omitempty"`
	News     *News     `json:"news,omitempty"` // of the home, where its answer is one message
	// Ask is the number of the ask that the home's own word on the freshness of Revision answers.
	Ask uint64 `json:"ask,omitempty"`
	Freshness
}

// Nudge says that there is a newer revision to ask for.
type Nudge struct {
	Revision uint64 `json:"generation"`
}

// Attest asks another router what revision it holds, while the core is dark.
type Attest struct {
	Seq     uint64 `json:"seq"`
	Applied uint64 `json:"applied"`
	IsKeen  bool   `json:"keen,omitempty"` // the asker wants the newer document from this one
}

// AttestReply is a router's word on its own revision.
type AttestReply struct {
	Seq      uint64    `json:"seq"`
	Revision uint64    `json:"generation"`
	IsProven bool      `json:"proven"`
	Document *Document `json:"document,omitempty"`
}

// News brings records of a directory that changed.
type News struct {
	Home    string         `json:"home"` // the sender's incarnation
	Upto    uint64         `json:"upto"`
	IsAll   bool           `json:"all,omitempty"`
	Engines []EngineRecord `json:"engines,omitempty"`
	Nodes   []NodeRecord   `json:"nodes,omitempty"`
}

// Heard carries engine records that a node learned first-hand to its home.
type Heard struct {
	Engines []EngineRecord `json:"engines"`
}

// Mend compares two cells by digests over ranges of keys.
type Mend struct {
	SeenHome string   `json:"seen_home,omitempty"`
	SeenNews uint64   `json:"seen_news,omitempty"`
	Digests  []uint64 `json:"digests,omitempty"`
	IsHome   bool     `json:"home,omitempty"`
}

// Shuffle trades parts of two partial views.
type Shuffle struct {
	View    []Neighbour `json:"view"`
	IsReply bool        `json:"reply,omitempty"`
}

// Neighbour is one entry of a partial view.
type Neighbour struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Age     uint32 `json:"age"`
}

// Send asks the shell to carry a message; it may get lost.
type Send struct {
	To      string
	Message Message
}

// Save asks the shell to sync a ballot, a document or both, or a vote on the founding, in
// this order of tokens, and to bring a Saved event back.
type Save struct {
	Token        uint64
	Ballot       *Ballot
	Document     *Document
	FoundingVote *FoundingVote
}

// Prepare asks the shell to compile a document's configuration beside the owners, and to bring a
// Prepared event back.
type Prepare struct{ Document *Document }

// Fetch asks the shell to read a configuration of the past for another member.
type Fetch struct {
	To   string
	Mark ConfigMark
}

// Probe asks the shell to try an engine at once, and to tell with Probed.
type Probe struct{ Engine EngineRecord }

// Keep asks the shell to keep configurations of the past that other members had, in one write.
// Node.Kept takes the outcome.
type Keep struct{ Documents []*Document }

// Ballot is what a voter must not forget.
type Ballot struct {
	Term     uint64   `json:"term"`
	VotedFor MemberID `json:"voted_for,omitempty"`
}
