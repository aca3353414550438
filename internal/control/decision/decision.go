// Package decision names the decisions that nodes record in their journals: the subject of a decision, and what
// was decided. Journals are read by later builds, so a name that is changed has to be added to formerNames.
package decision

import (
	"strings"

	"dunlinloom/internal/kernel"
)

// Subject is the component or object that a decision is about.
type Subject string

// The subjects that exist once per node.
const (
	Core          Subject = "core"
	Disk          Subject = "disk"
	Lease         Subject = "lease"         // the lease under which this node's router serves
	Coordinator   Subject = "coordinator"   // this node's role as the coordinator of its zone
	AntiEntropy   Subject = "anti-entropy"  // comparison of engine and node records with other nodes
	Configuration Subject = "configuration" // the configuration in force
	History       Subject = "history"       // earlier configurations
	Snapshot      Subject = "snapshot"
)

// Prefixes of the subjects that exist once per submission, engine or node; an id or address follows.
const (
	submissionPrefix = "submission "
	enginePrefix     = "engine "
	nodePrefix       = "node "
)

// Submission returns the subject for an operator's submission.
func Submission(id string) Subject { return Subject(submissionPrefix + id) }

// Engine returns the subject for an engine.
func Engine(id string) Subject { return Subject(enginePrefix + id) }

// Node returns the subject for a node.
func Node(address string) Subject { return Subject(nodePrefix + address) }

// Decision is what was decided or observed.
type Decision string

// The decisions of all subjects, those of the core first.
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
	DelayOperations        Decision = "delay operations" // a member that should become a voter is catching up
	Health                 Decision = "health"
	Bootstrap              Decision = "bootstrap"
	ProposeBootstrap       Decision = "propose bootstrap"
	ChooseBootstrapMembers Decision = "choose bootstrap members"
	Unhealthy              Decision = "unhealthy" // the disk stalls or is full
	Healthy                Decision = "healthy"
	Fence                  Decision = "fence" // the data folder was restored from an older copy
	Fetch                  Decision = "fetch" // earlier configurations
	Skip                   Decision = "skip"
	HandOver               Decision = "hand over" // the role of zone coordinator
	NoQuorum               Decision = "no quorum"
	QuorumBack             Decision = "quorum back"
	Apply                  Decision = "apply"
	Unreadable             Decision = "unreadable"
	Stale                  Decision = "stale" // the configuration may have been replaced by a newer one
	Fresh                  Decision = "fresh"
	Ignore                 Decision = "ignore"
	Load                   Decision = "load"
	Repair                 Decision = "repair" // send records that differ
	RequestAll             Decision = "request all"
	RaiseIncarnation       Decision = "raise incarnation" // the fleet has a record of a later start of this node
	RejectMessage          Decision = "reject message"
	Dropped                Decision = "dropped"
	Known                  Decision = "known"
	Restarted              Decision = "restarted"
	Draining               Decision = "draining"
	ConfirmEnd             Decision = "confirm end"           // all nodes waited for know of the engine's drain or removal
	ConfirmEndPartially    Decision = "confirm end partially" // most of them know it
	LeaveUnconfirmed       Decision = "leave end unconfirmed" // too few know it; the engine has to ask another node
	LearnEndLate           Decision = "learn end late"        // so late that requests may have reached the engine too late
	Listing                Decision = "listing"
	Responsiveness         Decision = "responsiveness"
	Accept                 Decision = "accept" // a submission
	Reject                 Decision = "reject"
	LeaveUnknown           Decision = "leave unknown"
	Abort                  Decision = "abort"
	answerPrefix                    = "answer "
)

// Answer returns the decision that the outcome of a submission was reported to the operator.
func Answer(outcome string) Decision { return Decision(answerPrefix + outcome) }

// formerNames maps the names that earlier builds wrote to the current ones. A subject that ends with a space
// matches all subjects with that prefix, and an empty decision matches all decisions. The first match applies.
var formerNames = []struct {
	subject, decision string
	newSubject        Subject // empty: unchanged
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

// Current returns a journal entry with the names of this build, whichever build wrote it.
func Current(entry kernel.Entry) kernel.Entry {
	for _, former := range formerNames {
		isPrefix := strings.HasSuffix(former.subject, " ")
		isSubject := entry.Subject == former.subject || isPrefix && strings.HasPrefix(entry.Subject, former.subject)
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
