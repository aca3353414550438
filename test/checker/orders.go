package checker

import (
	"fmt"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules of versioned configurations, whichever node is asked and whatever it is in touch with.
const (
	StaleRead                   Rule = "a read shows a configuration older than one acknowledged before it"
	ReadMismatch                Rule = "a read shows a configuration that is not what was sent under its number"
	ConflictingAcknowledgements Rule = "two changes on top of one version were both acknowledged"
	AcknowledgedRepeatRejected  Rule = "a change that was acknowledged was sent again and refused"
	InvalidAccepted             Rule = "an invalid configuration was acknowledged or is in force"
	RejectedInForce             Rule = "a configuration is in force that was refused"
	FinalReadMissing            Rule = "the configuration could not be read back at the end"
	FinalReadStale              Rule = "the configuration read back at the end is older than the newest acknowledged one"
)

// OperationEventKind says what an event of operators is about.
type OperationEventKind string

// What operators do and see.
const (
	OperationSent  OperationEventKind = "order_sent"    // for the first time, or again
	OperationEnded OperationEventKind = "order_ended"   // one sending of it, with a status; zero: no answer
	ReadSent       OperationEventKind = "read_sent"     // a read was sent
	ReadAnswered   OperationEventKind = "read_answered" // and answered
)

// OperationEvent is one thing that an operator did or saw. Sendings and reads are told apart by Call.
type OperationEvent struct {
	At        kernel.Micros      `json:"at_us"`
	EventKind OperationEventKind `json:"what"`
	Call      int                `json:"call"`
	Node      string             `json:"node,omitempty"`
	// Of orders. Digest is of the configuration that the order leads to.
	Operation string `json:"order,omitempty"`
	Base      uint64 `json:"base,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	IsInvalid bool   `json:"invalid,omitempty"`
	Status    int    `json:"status,omitempty"`
	// IsLast marks the reads at the end, when all is well again.
	IsLast bool `json:"last,omitempty"`
}

// isAcknowledgement and isRejection sort the answers to orders.
func isAcknowledgement(status int) bool { return status >= 200 && status < 300 }

func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

type operationHistory struct {
	first, last    OperationEvent // sendings
	acknowledgedAt kernel.Micros
	isAcknowledged bool
	isRejected     bool // by every clear answer so far
}

// operationChecker takes the events of operators in their order.
type operationChecker struct {
	operations map[string]*operationHistory
	byVersion  map[uint64][]*operationHistory
	byBase     map[uint64]*operationHistory // acknowledged
	newest     uint64                       // acknowledged until now
	asked      map[int]uint64               // by call of a read: what was acknowledged before it
	sent       map[int]kernel.Micros        // by call of an order
	othersSent kernel.Micros                // when the last order that is not a repeat was first sent
	violations []Violation
	isReadBack bool
	lastReadAt kernel.Micros
}

// CheckOperations holds the history of a deployment's operators against every rule.
func CheckOperations(events []OperationEvent) []Violation {
	ordered := append([]OperationEvent(nil), events...)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	j := &operationChecker{
		operations: map[string]*operationHistory{}, byVersion: map[uint64][]*operationHistory{}, byBase: map[uint64]*operationHistory{},
		asked: map[int]uint64{}, sent: map[int]kernel.Micros{},
	}
	for _, event := range ordered {
		j.apply(event)
	}
	if !j.isReadBack {
		j.violation(FinalReadMissing, j.lastReadAt, "no read at the end was answered")
	}
	return j.violations
}

func (j *operationChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	j.violations = append(j.violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (j *operationChecker) apply(event OperationEvent) {
	switch event.EventKind {
	case OperationSent:
		j.applySent(event)
	case OperationEnded:
		j.applyEnded(event)
	case ReadSent:
		j.asked[event.Call] = j.newest
		j.lastReadAt = event.At
	case ReadAnswered:
		j.applyRead(event)
	}
}

func (j *operationChecker) applySent(event OperationEvent) {
	j.sent[event.Call] = event.At
	if known := j.operations[event.Operation]; known != nil {
		known.last = event
		return
	}
	history := &operationHistory{first: event, last: event}
	j.operations[event.Operation] = history
	j.byVersion[event.Version] = append(j.byVersion[event.Version], history)
	j.othersSent = event.At
}

func (j *operationChecker) applyEnded(event OperationEvent) {
	history := j.operations[event.Operation]
	switch {
	case history == nil:
	case isAcknowledgement(event.Status):
		j.applyAcknowledged(event, history)
	case isRejection(event.Status):
		// With no other order sent since the acknowledgement nothing can have taken its place.
		isAlone := j.othersSent < history.acknowledgedAt
		if history.isAcknowledged && isAlone && j.sent[event.Call] > history.acknowledgedAt {
			j.violation(AcknowledgedRepeatRejected, event.At, "%s was acknowledged at %d us and refused with %d by %s", event.Operation, history.acknowledgedAt, event.Status, event.Node)
		}
		history.isRejected = !history.isAcknowledged
	}
}

func (j *operationChecker) applyAcknowledged(event OperationEvent, history *operationHistory) {
	if history.first.IsInvalid {
		j.violation(InvalidAccepted, event.At, "%s was acknowledged by %s", event.Operation, event.Node)
	}
	if !history.isAcknowledged {
		history.isAcknowledged, history.acknowledgedAt = true, event.At
	}
	history.isRejected = false
	if known := j.byBase[history.first.Base]; known != nil && known != history {
		j.violation(ConflictingAcknowledgements, event.At, "%s and %s on version %d", known.first.Operation, event.Operation, history.first.Base)
	}
	j.byBase[history.first.Base] = history
	j.newest = max(j.newest, history.first.Version)
}

func (j *operationChecker) applyRead(event OperationEvent) {
	if event.Status != 200 {
		return
	}
	if floor := j.asked[event.Call]; event.Version < floor {
		rule := StaleRead
		if event.IsLast {
			rule = FinalReadStale
		}
		j.violation(rule, event.At, "%s shows version %d, and %d was acknowledged before it was asked", event.Node, event.Version, floor)
	}
	j.isReadBack = j.isReadBack || event.IsLast
	isSent := false
	for _, history := range j.byVersion[event.Version] {
		if history.first.Digest != event.Digest {
			continue
		}
		isSent = true
		if history.first.IsInvalid {
			j.violation(InvalidAccepted, event.At, "%s shows version %d", event.Node, event.Version)
		}
		if history.isRejected {
			j.violation(RejectedInForce, event.At, "%s shows version %d of %s", event.Node, event.Version, history.first.Operation)
		}
	}
	if !isSent {
		j.violation(ReadMismatch, event.At, "%s shows version %d, which nobody sent as it is", event.Node, event.Version)
	}
}
