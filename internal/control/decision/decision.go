// Package decision names the decisions that nodes note in their journals: whom one is about, and what was decided. Journals
// outlive builds, so that a name that changes goes into the table of former names.
package decision

import (
	"strings"

	"dunlinloom/internal/kernel"
)

// Subject is whom or what a decision is about.
type Subject string

// The subjects of which a node has one.
const (
	Core          Subject = "core"
	Disk          Subject = "disk"
	Lease         Subject = "lease"         // this node's to serve
	Coordinator   Subject = "coordinator"   // of this node's zone, while it is this node
	AntiEntropy   Subject = "anti-entropy"  // of engine and node records
	Configuration Subject = "configuration" // in force
	History       Subject = "history"       // of configurations
	Snapshot      Subject = "snapshot"
)

// Beginnings of the subjects that are one of many.
const (
	submissionPrefix = "submission "
	enginePrefix     = "engine "
	nodePrefix       = "node "
)

// Submission is the subject of one operation of an operator.
func Submission(id string) Subject { return Subject(submissionPrefix + id) }

// Engine is the subject of one engine.
func Engine(id string) Subject { return Subject(enginePrefix + id) }

// Node is the subject of one node.
func Node(address string) Subject { return Subject(nodePrefix + address) }

// Decision is what was decided, or came to be known.
type Decision string

// Decisions of the core.
const (
	StartElection          Decision = "start election"
	BecomeLeader           Decision = "become leader"
	Follow                 Decision = "follow"
	StepDown               Decision = "step down"
	TransferLeadership     Decision = "transfer leadership"
	AcceptLeadership       Decision = "accept leadership"
	Leave                  Decision = "leave"
	Propose                Decision = "propose"
	AddLearner             Decision = "add learner"
	DelayOperations        Decision = "delay operations" // a member that should vote is catching up
	Health                 Decision = "health"
	Bootstrap              Decision = "bootstrap"
	ProposeBootstrap       Decision = "propose bootstrap"
	ChooseBootstrapMembers Decision = "choose bootstrap members"
	Unhealthy              Decision = "unhealthy" // of the disk
	Healthy                Decision = "healthy"
	Fence                  Decision = "fence" // of a folder that was put back from an older copy
	Fetch                  Decision = "fetch" // configurations of the past
	Skip                   Decision = "skip"
	HandOver               Decision = "hand over" // the role of a zone's coordinator
	NoQuorum               Decision = "no quorum"
	QuorumBack             Decision = "quorum back"
	Apply                  Decision = "apply"
	Unreadable             Decision = "unreadable"
	Stale                  Decision = "stale" // of the configuration: it may have been replaced
	Fresh                  Decision = "fresh"
	Ignore                 Decision = "ignore"
	Load                   Decision = "load"
	Repair                 Decision = "repair" // records that differ are sent
	RequestAll             Decision = "request all"
	RaiseIncarnation       Decision = "raise incarnation" // the fleet remembers a later start of this node
	RejectMessage          Decision = "reject message"
	Dropped                Decision = "dropped"
	Known                  Decision = "known"
	Restarted              Decision = "restarted"
	Draining               Decision = "draining"
	ConfirmEnd             Decision = "confirm end"           // of an engine, known to everyone who was waited for
	ConfirmEndPartially    Decision = "confirm end partially" // known to most
	LeaveUnconfirmed       Decision = "leave end unconfirmed" // the engine asks another node
	LearnEndLate           Decision = "learn end late"        // this node may have used the engine for too long
	Listing                Decision = "listing"
	Responsiveness         Decision = "responsiveness"
	Accept                 Decision = "accept" // a submission
	Reject                 Decision = "reject"
	LeaveUnknown           Decision = "leave unknown"
	Abort                  Decision = "abort"
	answerPrefix                    = "answer "
)

// Answer is that a submission's outcome was told to its operator.
func Answer(outcome string) Decision { return Decision(answerPrefix + outcome) }

// formerNames are names of earlier builds. A subject that ends with a space stands for all that begin with it, and an
// empty decision for all.
var formerNames = []struct {
	subject, decision string
	newSubject        Subject // empty: it stays
	newDecision       Decision
}{
	{"core", "stand", "", StartElection}, {"core", "lead", "", BecomeLeader}, {"core", "name successor", "", TransferLeadership},
	{"core", "take over", "", AcceptLeadership}, {"core", "take standby", "", AddLearner}, {"core", "hold orders", "", DelayOperations},
	{"core", "found", "", Bootstrap}, {"core", "propose founding", "", ProposeBootstrap}, {"core", "name founders", "", ChooseBootstrapMembers},
	{"disk", "ail", "", Unhealthy}, {"disk", "mend", "", Healthy},
	{"licence", "core dark", Lease, NoQuorum}, {"licence", "core back", Lease, QuorumBack}, {"licence", "", Lease, ""},
	{"home", "name successor", Coordinator, HandOver}, {"home", "", Coordinator, ""},
	{"cell", "mend", AntiEntropy, Repair}, {"cell", "ask for all", AntiEntropy, RequestAll}, {"cell", "", AntiEntropy, ""},
	{"spec", "", Configuration, ""},
	{"history", "mend", "", Fetch}, {"history", "leave out", "", Skip},
	{"snapshot", "pass over", "", Ignore}, {"snapshot", "begin with", "", Load}, {"snapshot", "leave out", "", Skip},
	{nodePrefix, "count as later", "", RaiseIncarnation}, {nodePrefix, "decline message", "", RejectMessage},
	{enginePrefix, "leaving", "", Draining}, {enginePrefix, "reach", "", Responsiveness},
	{submissionPrefix, "yes", "", Accept}, {submissionPrefix, "decline", "", Reject}, {submissionPrefix, "leave unclear", "", LeaveUnknown},
	{submissionPrefix, "fence", "", Abort},
	{submissionPrefix, "acknowledgement yes", "", Answer("yes")}, {submissionPrefix, "acknowledgement no", "", Answer("no")},
	{submissionPrefix, "acknowledgement unproved", "", Answer("unproved")},
}

// Current gives a journal's entry with the names of this build, whichever build wrote it.
func Current(entry kernel.Entry) kernel.Entry {
	for _, former := range formerNames {
		isMany := strings.HasSuffix(former.subject, " ")
		isSubject := entry.Subject == former.subject || isMany && strings.HasPrefix(entry.Subject, former.subject)
		if !isSubject || former.decision != "" && entry.Decision != former.decision {
			continue
		}
		if former.newSubject != "" {
			entry.Subject = string(former.newSubject)
		}
		if former.newDecision != "" {
			entry.Decision = string(former.newDecision)
		}
		return entry
	}
	return entry
}
