package checker

import (
	"fmt"
	"net/http"
	"slices"
	"sort"

	"dunlinloom/internal/kernel"
)

// The rules of versioned configurations, at any node, whatever it is connected to.
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
	OperationSent  OperationEventKind = "order_sent"    // an operation, for the first time or again
	OperationEnded OperationEventKind = "order_ended"   // one sending of it ended, with a status; zero: no answer
	ReadSent       OperationEventKind = "read_sent"     // a read was sent
	ReadAnswered   OperationEventKind = "read_answered" // and answered
)

// OperationEvent is one thing that an operator did or saw. Call identifies one sending or one read.
type OperationEvent struct {
	At        kernel.Micros      `json:"at_us"`
	EventKind OperationEventKind `json:"what"`
	Call      int                `json:"call"`
	Node      string             `json:"node,omitempty"`
	// Of operations. Digest is of the configuration that the operation leads to.
	Operation string `json:"order,omitempty"`
	Base      uint64 `json:"base,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Digest    string `json:"digest,omitempty"`
	IsInvalid bool   `json:"invalid,omitempty"`
	Status    int    `json:"status,omitempty"`
	// IsLast marks the reads at the end, when no fault is left.
	IsLast bool `json:"last,omitempty"`
}

// isAcknowledgement reports whether a status acknowledges an operation.
func isAcknowledgement(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// isRejection reports whether a status says that an operation took no effect; time-outs and rate limits do
// not.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// operationHistory is what is known of one operation.
type operationHistory struct {
	first, last    OperationEvent // sendings
	acknowledgedAt kernel.Micros
	isAcknowledged bool
	isRejected     bool // by every definite answer so far
}

// operationChecker takes the events of operators in their order.
type operationChecker struct {
	operations map[string]*operationHistory
	byVersion  map[uint64][]*operationHistory
	byBase     map[uint64]*operationHistory // acknowledged
	newest     uint64                       // acknowledged until now
	floors     map[int]uint64               // by call of a read: what was acknowledged before it
	sent       map[int]kernel.Micros        // by call of an operation
	othersSent kernel.Micros                // when the last operation that is not a repeat was first sent
	violations []Violation
	isReadBack bool
	lastReadAt kernel.Micros
}

// CheckOperations checks the history of a deployment's operators against every rule. The events may come
// in any order; those of one time are taken in the given order.
func CheckOperations(events []OperationEvent) []Violation {
	ordered := slices.Clone(events)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].At < ordered[b].At })
	c := &operationChecker{
		operations: map[string]*operationHistory{}, byVersion: map[uint64][]*operationHistory{}, byBase: map[uint64]*operationHistory{},
		floors: map[int]uint64{}, sent: map[int]kernel.Micros{},
	}
	for _, event := range ordered {
		c.apply(event)
	}
	if !c.isReadBack {
		c.violation(FinalReadMissing, c.lastReadAt, "no read at the end was answered")
	}
	return c.violations
}

func (c *operationChecker) violation(rule Rule, at kernel.Micros, detail string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(detail, args...)})
}

func (c *operationChecker) apply(event OperationEvent) {
	switch event.EventKind {
	case OperationSent:
		c.applySent(event)
	case OperationEnded:
		c.applyEnded(event)
	case ReadSent:
		c.floors[event.Call] = c.newest
		c.lastReadAt = event.At
	case ReadAnswered:
		c.applyRead(event)
	}
}

func (c *operationChecker) applySent(event OperationEvent) {
	c.sent[event.Call] = event.At
	if known := c.operations[event.Operation]; known != nil {
		known.last = event
		return
	}
	history := &operationHistory{first: event, last: event}
	c.operations[event.Operation] = history
	c.byVersion[event.Version] = append(c.byVersion[event.Version], history)
	c.othersSent = event.At
}

func (c *operationChecker) applyEnded(event OperationEvent) {
	history := c.operations[event.Operation]
	switch {
	case history == nil:
	case isAcknowledgement(event.Status):
		c.applyAcknowledged(event, history)
	case isRejection(event.Status):
		// With no other operation sent since the acknowledgement nothing can have replaced its result.
		isAlone := c.othersSent < history.acknowledgedAt
		if history.isAcknowledged && isAlone && c.sent[event.Call] > history.acknowledgedAt {
			c.violation(AcknowledgedRepeatRejected, event.At, "%s was acknowledged at %d us and refused with %d by %s", event.Operation, history.acknowledgedAt, event.Status, event.Node)
		}
		history.isRejected = !history.isAcknowledged
	}
}

func (c *operationChecker) applyAcknowledged(event OperationEvent, history *operationHistory) {
	if history.first.IsInvalid {
		c.violation(InvalidAccepted, event.At, "%s was acknowledged by %s", event.Operation, event.Node)
	}
	if !history.isAcknowledged {
		history.isAcknowledged, history.acknowledgedAt = true, event.At
	}
	history.isRejected = false
	if known := c.byBase[history.first.Base]; known != nil && known != history {
		c.violation(ConflictingAcknowledgements, event.At, "%s and %s on version %d", known.first.Operation, event.Operation, history.first.Base)
	}
	c.byBase[history.first.Base] = history
	c.newest = max(c.newest, history.first.Version)
}

func (c *operationChecker) applyRead(event OperationEvent) {
	if event.Status != http.StatusOK {
		return
	}
	if floor := c.floors[event.Call]; event.Version < floor {
		rule := StaleRead
		if event.IsLast {
			rule = FinalReadStale
		}
		c.violation(rule, event.At, "%s shows version %d, and %d was acknowledged before it was asked", event.Node, event.Version, floor)
	}
	c.isReadBack = c.isReadBack || event.IsLast
	isSent := false
	for _, history := range c.byVersion[event.Version] {
		if history.first.Digest != event.Digest {
			continue
		}
		isSent = true
		if history.first.IsInvalid {
			c.violation(InvalidAccepted, event.At, "%s shows version %d", event.Node, event.Version)
		}
		if history.isRejected {
			c.violation(RejectedInForce, event.At, "%s shows version %d of %s", event.Node, event.Version, history.first.Operation)
		}
	}
	if !isSent {
		c.violation(ReadMismatch, event.At, "%s shows version %d, which nobody sent as it is", event.Node, event.Version)
	}
}
